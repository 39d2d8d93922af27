package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// directLink is one end of a link between two gateways without a network: messages are handled at once.
type directLink struct {
	silentLink
	to   *Gateway
	back *directLink
	sent *int // messages over all links
}

func (l *directLink) Send(m wire.Message) error {
	*l.sent++
	l.to.handlePeer(l.back, m)
	return nil
}

// listedGateways returns gateways without their loops that know each other and have no links.
func listedGateways(t *testing.T, n int) (all []*Gateway) {
	t.Helper()
	for i := range n {
		node := settings.Node{Name: fmt.Sprintf("edge-%02d", i), FailureDomain: string(rune('a' + i%3)), IP: fmt.Sprintf("127.0.0.%d", i+1), CPU: 400}
		g, err := New(Options{Node: node, Log: zap.NewNop(), Metrics: metrics.New(nil)})
		if err != nil {
			t.Fatal(err)
		}
		g.members = member.New(nil, g.self(), member.Options{Log: zap.NewNop()})
		g.adoptEvacuations(evacuation.New(1, nil), "test")
		all = append(all, g)
	}
	for _, g := range all {
		for _, other := range all {
			if other != g {
				g.members.AddLinked(other.self())
			}
		}
	}
	return all
}

// linkedGateways returns gateways without their loops that are linked as those of a deployment are: each
// to the placers, and these to all.
func linkedGateways(t *testing.T, n int) (all []*Gateway, sent *int) {
	t.Helper()
	all, sent = listedGateways(t, n), new(int)
	for i, g := range all {
		for _, other := range all[i+1:] {
			if placers := g.placers(); slices.Contains(placers, g.node.Name) || slices.Contains(placers, other.node.Name) {
				linkDirectly(g, other, sent)
			}
		}
	}
	return all, sent
}

func linkDirectly(a, b *Gateway, sent *int) {
	there := &directLink{silentLink: silentLink{name: b.node.Name, incarnation: b.incarnation}, to: b, sent: sent}
	back := &directLink{silentLink: silentLink{name: a.node.Name, incarnation: a.incarnation}, to: a, back: there, sent: sent}
	there.back = back
	a.forwarder.linkUp(there)
	b.forwarder.linkUp(back)
}

// Guards against a cancelling that reaches another entry than the job and is not passed on: the job runs
// to its end. The messages of one cancelling are bounded.
func TestCancellingReachesEveryEntry(t *testing.T) {
	for n, most := range map[int]int{3: 4, 14: 27, 35: 70} {
		for at := range n {
			all, sent := linkedGateways(t, n)
			if !all[at].Cancel(t.Context(), "5c0e7a21d94b36f8") {
				t.Errorf("%d entries, cancelled at %s: not confirmed", n, all[at].node.Name)
			}
			for _, g := range all {
				if g.cancelledAnswer("5c0e7a21d94b36f8") == nil {
					t.Fatalf("%d entries, cancelled at %s: %s does not know", n, all[at].node.Name, g.node.Name)
				}
			}
			if *sent > most {
				t.Errorf("%d entries, cancelled at %s: %d messages, want at most %d", n, all[at].node.Name, *sent, most)
			}
		}
	}
}

// Guards against a job that runs on at the placer that a peer has handed it to, and against a copy of its
// request that runs it again.
func TestCancelledJobEndsAndStaysCancelled(t *testing.T) {
	g := newPlacer(t)
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	g.handlePeer(l, &wire.JobForward{RequestID: 1, Job: smallJob("1"), TimeLeft: time.Second})
	if known, _ := g.scheduler.Status("1"); !known {
		t.Fatal("the job was not accepted")
	}
	g.handlePeer(l, &wire.JobsCancelled{IDs: []string{"1"}})
	if known, _ := g.scheduler.Status("1"); known {
		t.Error("the job goes on after its cancelling")
	}
	// The answer to the first request comes from another goroutine.
	await(t, "the first request is not answered", func() bool { return len(l.answersTo(1)) > 0 })
	g.handlePeer(l, &wire.JobForward{RequestID: 2, Job: smallJob("1"), TimeLeft: time.Second})
	sent := l.sent()
	if a, ok := sent[len(sent)-1].(*wire.JobAnswer); !ok || a.RequestID != 2 || placement.Outcome(a.Outcome) != placement.Cancelled {
		t.Errorf("a copy of the request gets %+v, want cancelled", sent[len(sent)-1])
	}
	if answers := l.answersTo(1); len(answers) != 1 || placement.Outcome(answers[0].Outcome) != placement.Cancelled {
		t.Errorf("the first request is answered %+v, want one answer, cancelled", answers)
	}
}

// Guards against a cancelling that a job escapes which waits for a placer, as after the start of its gateway.
func TestCancellingReachesWaitingJob(t *testing.T) {
	all, _ := linkedGateways(t, 1)
	g := all[0]
	answered := make(chan placement.Answer, 1)
	go func() {
		answered <- g.Submit(context.Background(), placement.Request{Job: smallJob("1"), Deadline: time.Now().Add(time.Minute)})
	}()
	time.Sleep(50 * time.Millisecond)
	g.Cancel(t.Context(), "1")
	select {
	case a := <-answered:
		if a.Outcome != placement.Cancelled {
			t.Errorf("the waiting job is answered %+v, want cancelled", a)
		}
	case <-time.After(10 * time.Second):
		t.Error("the waiting job is not answered")
	}
}

// Guards against an entry that learns nothing of a cancelling since it was cut off.
func TestNewLinkBeginsWithRecentCancellings(t *testing.T) {
	g := newPlacer(t)
	g.cancelHere("1", "test")
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.sendCancelled(l)
	if m, ok := l.sent()[0].(*wire.JobsCancelled); !ok || !slices.Equal(m.IDs, []string{"1"}) || m.Relay {
		t.Errorf("sent %+v, want the cancelled job", l.sent())
	}
}

// Guards against ids that are kept for ever, or of which a flood takes the memory.
func TestCancelledIDsAreBounded(t *testing.T) {
	c, now := newCancelledJobs(), time.Now()
	for i := range maxCancelled + 10 {
		c.add(fmt.Sprint(i), now)
	}
	if n := len(c.recent(now)); n != maxCancelled || c.has("9", now) || !c.has("10", now) {
		t.Errorf("%d ids are kept, want the last %d", n, maxCancelled)
	}
	if later := now.Add(cancelledTTL); len(c.recent(later)) != 0 || c.has("10", later) {
		t.Error("ids are kept after their time")
	}
}

// Guards against a cancelling that is acknowledged by an entry which is cut off from the others: they run the job.
func TestCutOffEntryConfirmsNoCancelling(t *testing.T) {
	all, _ := linkedGateways(t, 3)
	g := all[0]
	deaf := &recordingLink{silentLink: silentLink{name: "edge-01"}}
	for _, l := range g.forwarder.links() {
		g.forwarder.linkDown(l)
	}
	if g.Cancel(t.Context(), "1") {
		t.Error("without a link: confirmed, although other entries are known")
	}
	g.forwarder.linkUp(deaf)
	began := time.Now()
	if g.Cancel(t.Context(), "2") || time.Since(began) > 2*receiptTimeout {
		t.Errorf("without an answer: confirmed, or not answered in time, after %s", time.Since(began))
	}
	if m, ok := deaf.sent()[0].(*wire.JobsCancelled); !ok || m.Request == 0 {
		t.Errorf("sent %+v, want a cancelling that asks for a receipt", deaf.sent())
	}
	if g.cancelledAnswer("2") == nil {
		t.Error("the job is not cancelled here")
	}
	single, _ := linkedGateways(t, 1)
	if !single[0].Cancel(t.Context(), "3") {
		t.Error("the only entry does not confirm")
	}
}

// Guards against a cancelling that does not reach all entries because those that were placers before, and are still
// linked, are asked to pass it on in place of the placers: only these are linked to all.
func TestCancellingIsPassedOnByPlacers(t *testing.T) {
	g := listedGateways(t, 14)[13]
	placers := g.placers()
	links := make(map[string]*recordingLink)
	for _, name := range append([]string{"edge-09", "edge-10", "edge-11"}, placers...) {
		links[name] = &recordingLink{silentLink: silentLink{name: name}}
		g.forwarder.linkUp(links[name])
	}
	for i := range 10 {
		g.tellCancelled(fmt.Sprint(i), 1)
		relays := 0
		for name, l := range links {
			if m := l.sent()[i].(*wire.JobsCancelled); m.Relay {
				relays++
				if !slices.Contains(placers, name) {
					t.Errorf("%s is asked to pass the cancelling on, and is no placer", name)
				}
			}
		}
		if relays != cancelRelays {
			t.Errorf("%d entries are asked to pass the cancelling on, want %d", relays, cancelRelays)
		}
	}
}
