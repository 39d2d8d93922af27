package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// queueLink is one end of a link between two gateways without a network: messages are handled in order by another
// goroutine.
type queueLink struct {
	silentLink
	messages chan wire.Message
}

func (l *queueLink) Send(m wire.Message) error {
	l.messages <- m
	return nil
}

// linkByQueues links two gateways.
func linkByQueues(t *testing.T, a, b *Gateway) {
	t.Helper()
	toA := &queueLink{silentLink{name: a.node.Name, incarnation: a.incarnation}, make(chan wire.Message, 1000)}
	toB := &queueLink{silentLink{name: b.node.Name, incarnation: b.incarnation}, make(chan wire.Message, 1000)}
	a.forwarder.linkUp(toB)
	b.forwarder.linkUp(toA)
	for _, end := range []struct {
		g            *Gateway
		receive, via *queueLink
	}{{a, toA, toB}, {b, toB, toA}} {
		go func() {
			for {
				select {
				case m := <-end.receive.messages:
					end.g.handlePeer(end.via, m)
				case <-t.Context().Done():
					return
				}
			}
		}()
	}
	_ = toA.Send(b.placerState())
	_ = toB.Send(a.placerState())
}

// startRecorder is the link to an agent that records which jobs are started.
type startRecorder struct {
	mu   sync.Mutex
	jobs map[string]bool
}

func (l *startRecorder) Send(m wire.Message) error {
	if start, ok := m.(*wire.RunStart); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.jobs[start.Run.Task.Job] = true
	}
	return nil
}

func (l *startRecorder) started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs[job]
}

// addTarget links a target with room for one task of bigJob.
func addTarget(g *Gateway) *startRecorder {
	l := &startRecorder{jobs: make(map[string]bool)}
	agent := "agent of " + g.node.Name
	g.scheduler.LinkUp(agent, 1, l)
	full := workload.Resources{CPU: 32000}
	g.scheduler.HandleState(agent, l, &wire.TargetState{Target: "i-" + g.node.Name, Capacity: full, Room: wire.Room{Free: full}}, time.Now())
	return l
}

func bigJob(id string) placement.Request {
	return placement.Request{
		Deadline: time.Now().Add(time.Minute), Route: routing.Route{Name: "r", MaxAttempts: 1, Stretch: 2, TargetDuration: time.Second},
		Job: workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 32000}, Estimate: 100 * time.Millisecond}}},
	}
}

func await(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(failure)
}

// beginStop does what begins a planned stop.
func (g *Gateway) beginStop() {
	g.stopping.Store(true)
	g.leaving.add(g.node.Name, g.incarnation)
	g.announceStop()
	g.handOver(time.Now())
}

// Guards against jobs that wait at a placer in a planned stop until it ends, upon which they are cut off or their
// callers' time is over, while other placers have room: those of its own callers, and those that peers sent.
func TestStoppingPlacerHandsOverWhatHasNotStarted(t *testing.T) {
	all := listedGateways(t, 3)
	entry, stopping, other := all[0], all[1], all[2]
	atStopping := addTarget(stopping)
	linkByQueues(t, entry, stopping)
	await(t, "the placer is not known", func() bool { return entry.forwarder.reachable(entry.placers()) })
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	submit := func(g *Gateway, id string) { callers.Go(func() { g.Submit(ctx, bigJob(id)) }) }
	known := func(id string) func() bool {
		return func() bool { known, _ := stopping.scheduler.Status(id); return known }
	}
	submit(entry, "started")
	await(t, "the first job does not start", func() bool { return atStopping.started("started") })
	submit(entry, "of a peer")
	await(t, "the second job does not wait", known("of a peer"))
	submit(stopping, "of a caller")
	await(t, "the third job does not wait", known("of a caller"))

	atOther := addTarget(other)
	linkByQueues(t, entry, other)
	linkByQueues(t, stopping, other)
	await(t, "the other placer is not known", func() bool {
		_, more := entry.forwarder.choose(entry.placers(), nil, time.Now())
		return more && stopping.forwarder.reachable(stopping.placers())
	})
	stopping.beginStop()
	await(t, "no job is handed to the other placer", func() bool { return atOther.started("of a peer") || atOther.started("of a caller") })
	await(t, "not both jobs are at the other placer", func() bool {
		peer, _ := other.scheduler.Status("of a peer")
		caller, _ := other.scheduler.Status("of a caller")
		return peer && caller
	})
	if !known("started")() {
		t.Error("the job that had started is not finished where it runs")
	}
	for i := range 5 {
		id := fmt.Sprint("later ", i)
		submit(stopping, id)
		await(t, "a job of a caller of the stopping placer is not handed over", func() bool { known, _ := other.scheduler.Status(id); return known })
	}
}

// Guards against a request that is cut although it was read: it waits for a placer when the time for the planned
// stop is over.
func TestWaitingJobIsAnsweredAtTheEndOfAStop(t *testing.T) {
	g := listedGateways(t, 1)[0]
	answered := make(chan placement.Answer, 1)
	go func() { answered <- g.Submit(context.Background(), bigJob("1")) }()
	await(t, "the job does not arrive", func() bool { return g.requests.Load() == 1 })
	time.Sleep(50 * time.Millisecond) // it waits for a placer
	g.stopping.Store(true)
	g.scheduler.SetStopDeadline(time.Now())
	g.giveUp()
	select {
	case a := <-answered:
		if a.Outcome != placement.Refused {
			t.Errorf("answered %+v, want refused", a)
		}
	case <-time.After(10 * time.Second):
		t.Error("the job is not answered")
	}
}

// Guards against jobs that are refused, or wait at an entry without targets, because each placer has just declined
// one, as when the jobs of a stopping placer reach the others at once.
func TestJobGoesToPlacerThatHasJustDeclined(t *testing.T) {
	all := listedGateways(t, 3)
	entry := all[0]
	for _, placer := range all[1:] {
		addTarget(placer)
		linkByQueues(t, entry, placer)
	}
	await(t, "the placers are not known", func() bool {
		_, more := entry.forwarder.choose(entry.placers(), nil, time.Now())
		return more
	})
	for _, l := range entry.forwarder.links() {
		entry.forwarder.handleAnswer(l, &wire.JobAnswer{RequestID: 1 << 40, Declined: true}, time.Now().Add(time.Hour))
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	callers.Go(func() { entry.Submit(ctx, bigJob("1")) })
	await(t, "the job does not reach a placer", func() bool {
		first, _ := all[1].scheduler.Status("1")
		second, _ := all[2].scheduler.Status("1")
		return first || second
	})
}

// stuckStore is a store of which no call that ends a lease returns before its time.
type stuckStore struct {
	kv.Store
	revokeBy chan time.Time // the deadline of each call
}

// RevokeLease implements kv.Store.
func (s stuckStore) RevokeLease(ctx context.Context, _ kv.LeaseID) error {
	deadline, _ := ctx.Deadline()
	s.revokeBy <- deadline
	<-ctx.Done()
	return ctx.Err()
}

// newAlone returns a gateway to be run, without peers and agents, and its address for callers.
func newAlone(t *testing.T, store kv.Store) (g *Gateway, address string) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = probe.Addr().String()
	_ = probe.Close()
	g, err = New(Options{
		Node: settings.Node{Name: "edge", IP: "127.0.0.1", CallerAddress: address, ReadyAddress: "127.0.0.1:0", GracePeriod: time.Second},
		Log:  zap.NewNop(), Metrics: metrics.New(nil), Store: store, LinkListen: "127.0.0.1:0",
		RoutesKey: testKey, DecodeRoutes: decodeVersion,
		CallerHandler: func(*Gateway) http.Handler { return http.NotFoundHandler() },
	})
	if err != nil {
		t.Fatal(err)
	}
	return g, address
}

// Guards against a planned stop that takes longer than the grace period: a request is left, a caller has sent half
// of another one, and the store does not answer.
func TestPlannedStopEndsWithinGracePeriod(t *testing.T) {
	store := stuckStore{standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local(), make(chan time.Time, 1)}
	g, address := newAlone(t, store)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	var caller net.Conn
	await(t, "the gateway does not serve", func() bool {
		c, err := net.Dial("tcp", address)
		caller = c
		return err == nil
	})
	defer caller.Close()
	if _, err := io.WriteString(caller, "POST /job/1 HTTP/1.1\r\n"); err != nil {
		t.Fatal(err)
	}
	entries := func() int {
		listed, _, _ := store.List(t.Context(), member.Prefix)
		return len(listed)
	}
	await(t, "the gateway does not register", func() bool { return entries() == 1 })
	g.requests.Add(1)
	stop()
	select {
	case deadline := <-store.revokeBy:
		if limit := g.stopAt.Load().Add(shutdownReserve); !deadline.Before(limit) {
			t.Errorf("the stop may wait for the store until %s after the end of the grace period", deadline.Sub(limit))
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the registration is not ended")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a planned stop that is requested while the gateway starts, and ends later than the grace period: the
// start waits for routes.
func TestStopDuringStartEndsWithinGracePeriod(t *testing.T) {
	g, _ := newAlone(t, standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local())
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := g.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if late := g.stopAt.Load().Sub(g.created) - g.drainTimeout(); late >= initialRoutesTimeout {
		t.Errorf("the time for the stop is counted from %s after the request", late)
	}
}

// Guards against a process that hangs when it fails during a planned stop.
func TestFailureDuringPlannedStopEndsTheProcess(t *testing.T) {
	g, _ := newAlone(t, standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local())
	g.node.GracePeriod = time.Minute
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	stop()
	await(t, "the stop does not begin", g.stopping.Load)
	failure := errors.New("the test's failure")
	g.tomb.Kill(failure)
	select {
	case err := <-ended:
		if !errors.Is(err, failure) {
			t.Errorf("the gateway ends with %v, want the failure", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the gateway does not end")
	}
}
