package ingress_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// connection records whether it was closed for others.
type connection struct {
	evicted bool
	whole   bool
}

// Evict implements ingress.Connection.
func (c *connection) Evict() bool {
	c.evicted = !c.whole
	return c.evicted
}

var start = time.Unix(1_000_000, 0)

func admit(t *testing.T, b *ingress.Budget, at time.Duration) (*ingress.Client, *connection) {
	t.Helper()
	c := &connection{}
	client, evict := b.Admit(c, start.Add(at))
	ingress.Evict(evict)
	if client == nil {
		t.Fatalf("a connection at %s is not admitted", at)
	}
	return client, c
}

// hold adds bytes, closes the connections that are chosen, and lets their clients leave.
func hold(c *ingress.Client, bytes int64, at time.Duration) bool {
	ok, evict := c.Hold(bytes, start.Add(at))
	ingress.Evict(evict)
	for _, e := range evict {
		e.Leave()
	}
	return ok
}

// Guards against a small whole request that is refused for others that hold much for long.
func TestThoseThatHoldMostForLongestAreClosedFirst(t *testing.T) {
	b := ingress.NewBudget(ingress.Limits{Connections: 100, Bytes: 1 << 20})
	old, oldConnection := admit(t, b, 0)
	old.Begin(ingress.Body, start)
	hold(old, 400<<10, 0)
	later, laterConnection := admit(t, b, 9*time.Second)
	later.Begin(ingress.Body, start.Add(9*time.Second))
	hold(later, 400<<10, 9*time.Second)
	_, smallConnection := admit(t, b, 9*time.Second)
	newest, newestConnection := admit(t, b, 10*time.Second)
	if !hold(newest, 250<<10, 10*time.Second) {
		t.Error("the newest request does not fit although another was closed for it")
	}
	if !oldConnection.evicted || laterConnection.evicted || smallConnection.evicted || newestConnection.evicted {
		t.Errorf("closed: oldest %t, later %t, small %t, newest %t", oldConnection.evicted, laterConnection.evicted, smallConnection.evicted, newestConnection.evicted)
	}
}

// Guards against closing a connection whose whole request is being answered.
func TestWholeRequestsAreNotClosed(t *testing.T) {
	b := ingress.NewBudget(ingress.Limits{Connections: 100, Bytes: 1 << 20})
	var serving []*connection
	for range 4 {
		client, c := admit(t, b, 0)
		hold(client, 200<<10, 0)
		client.Begin(ingress.Serving, start)
		serving = append(serving, c)
	}
	newest, _ := admit(t, b, time.Hour)
	if hold(newest, 500<<10, time.Hour) {
		t.Error("a request fits beside others that fill the budget")
	}
	if !hold(newest, 50<<10, time.Hour) {
		t.Error("a smaller request does not fit")
	}
	for i, c := range serving {
		if c.evicted {
			t.Errorf("connection %d was closed while its request was answered", i)
		}
	}
}

// Guards against a client that sent the rest of its request as it was chosen: it stays, and can be chosen
// again later.
func TestChosenClientMayHaveBecomeWhole(t *testing.T) {
	b := ingress.NewBudget(ingress.Limits{Connections: 100, Bytes: 1 << 20})
	first, firstConnection := admit(t, b, 0)
	hold(first, 900<<10, 0)
	firstConnection.whole = true
	newest, _ := admit(t, b, time.Second)
	_, evict := newest.Hold(300<<10, start.Add(time.Second))
	if len(evict) != 1 || ingress.Evict(evict) != 0 {
		t.Fatalf("%d clients are chosen", len(evict))
	}
	firstConnection.whole = false
	if _, evict = newest.Hold(300<<10, start.Add(time.Second)); len(evict) != 1 {
		t.Error("the client is not chosen again")
	}
}

// Guards against new callers who are refused, since connections that are kept open and idle fill the
// budget, and against idle ones that go before silent ones.
func TestConnectionsAreTakenFromSilentThenFromIdleClients(t *testing.T) {
	const limit = 64
	b := ingress.NewBudget(ingress.Limits{Connections: limit, Bytes: 1 << 30})
	var idle, silent []*connection
	for range limit / 2 {
		client, c := admit(t, b, 0)
		client.Begin(ingress.Idle, start)
		idle = append(idle, c)
	}
	for range limit / 2 {
		_, c := admit(t, b, 9*time.Second)
		silent = append(silent, c)
	}
	_, newest := admit(t, b, 10*time.Second)
	closed := func(list []*connection) (n int) {
		for _, c := range list {
			if c.evicted {
				n++
			}
		}
		return n
	}
	if closed(idle) != 0 || closed(silent) == 0 || newest.evicted {
		t.Errorf("closed: %d idle, %d silent, newest %t", closed(idle), closed(silent), newest.evicted)
	}
}

// Guards against more connections than descriptors while those that were chosen are not closed yet.
func TestConnectionsHaveAHardLimit(t *testing.T) {
	b := ingress.NewBudget(ingress.Limits{Connections: 64, Bytes: 1 << 30})
	admitted := 0
	for range 200 {
		if client, _ := b.Admit(&connection{}, start); client != nil {
			admitted++
		}
	}
	if admitted != 68 {
		t.Errorf("%d connections are open, with a limit of 64 and 4 more", admitted)
	}
}

// Guards against memory that counts as held after its client left, or before it came.
func TestUsageReturnsToZero(t *testing.T) {
	b := ingress.NewBudget(ingress.Limits{Connections: 10, Bytes: 1 << 20})
	for range 50 {
		a, _ := admit(t, b, 0)
		c, _ := admit(t, b, 0)
		hold(a, 600<<10, 0)
		hold(c, 600<<10, time.Second)
		c.Reset(1 << 10)
		c.Reset(0)
		for _, client := range []*ingress.Client{a, c} {
			client.Leave()
			client.Leave()
		}
	}
	if connections, bytes := b.Usage(); connections != 0 || bytes != 0 {
		t.Errorf("%d connections and %d bytes are left", connections, bytes)
	}
}

// Guards against a division of a machine that leaves nothing for ordinary callers, or gives away more than
// there is.
func TestPlanFitsTheMachine(t *testing.T) {
	const mb = 1 << 20
	for _, m := range []ingress.Machine{
		{}, {Memory: 80 * mb, Descriptors: 512}, {Memory: 144 * mb, Descriptors: 3075}, {Memory: 152 * mb, Descriptors: 4096},
		{Memory: 184 * mb, Descriptors: 4100}, {Memory: 536 * mb, Descriptors: 10250}, {Memory: 64 * mb, Descriptors: 256},
	} {
		p := ingress.NewPlan(m)
		if m.Memory > 0 && p.Clients.Bytes+2*p.Probes.Bytes > m.Memory/2 {
			t.Errorf("%+v: clients may hold %d bytes", m, p.Clients.Bytes)
		}
		if m.Descriptors > 0 && p.Clients.Connections*17/16+2*p.Probes.Connections*17/16 > m.Descriptors-100 { // links, the store and a target need about 100
			t.Errorf("%+v: %d connections", m, p.Clients.Connections)
		}
		if p.Clients.Bytes < 2*(4<<20) || p.Clients.Connections < 32 {
			t.Errorf("%+v: not enough for one report of the largest size: %+v", m, p.Clients)
		}
	}
}

// Guards against log lines by the thousand.
func TestLogLinesAreBounded(t *testing.T) {
	var l ingress.LogLimiter
	for second := range 3 {
		written := 0
		for range 1000 {
			if l.Allow(start.Add(time.Duration(second) * time.Second)) {
				written++
			}
		}
		if written < 1 || written > 20 {
			t.Errorf("%d lines in second %d", written, second)
		}
	}
}
