package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// recordingLink is a link to a peer that records the messages sent to it.
type recordingLink struct {
	silentLink
	sent []wire.Message
}

func (l *recordingLink) Send(m wire.Message) error {
	l.sent = append(l.sent, m)
	return nil
}

// discardLink is an agent's link that drops all messages.
type discardLink struct{}

func (discardLink) Send(wire.Message) error { return nil }

// newPlacer returns a gateway, without its loops, that has one usable target.
func newPlacer(t *testing.T) *Gateway {
	t.Helper()
	g, err := New(Options{Log: zap.NewNop(), Metrics: metrics.New(nil)})
	if err != nil {
		t.Fatal(err)
	}
	g.adoptEvacuations(evacuation.New(1, nil), "test")
	link := discardLink{}
	g.scheduler.LinkUp("agent", 1, link)
	state := &wire.TargetState{Target: "i-1", Capacity: workload.Resources{CPU: 32000}, Room: wire.Room{Free: workload.Resources{CPU: 32000}}}
	g.scheduler.HandleState("agent", link, state, time.Now())
	return g
}

// Guards against one malformed message of a peer that takes the whole process down: a job that
// the scheduler cannot index, and an answer with an outcome that does not exist.
func TestMalformedMessagesOfPeer(t *testing.T) {
	g := newPlacer(t)
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	for i, steps := range [][]workload.Step{
		nil, {{Tasks: -1}}, {{Tasks: 1 << 40}}, {{Tasks: 1, After: []int{7}}},
	} {
		number := uint64(i + 1)
		g.handleForward(l, &wire.JobForward{RequestID: number, Job: workload.Job{ID: "1", Steps: steps}, TimeLeft: time.Second})
		a, ok := l.sent[len(l.sent)-1].(*wire.JobAnswer)
		if !ok || a.RequestID != number || !a.Declined {
			t.Errorf("answer to a job with steps %+v: %+v, want declined", steps, l.sent[len(l.sent)-1])
		}
	}
	if a := answerOf(wire.JobAnswer{Outcome: 77}); a.Outcome != placement.Expired {
		t.Errorf("an answer with outcome 77 is %v, want expired", a.Outcome)
	}
	if name := placement.Outcome(200).String(); name != "invalid" {
		t.Errorf("outcome 200 is named %q", name)
	}
}

// Guards against tasks of a peer's job that start although the peer may have died since it sent the job, and
// against heartbeats to agents that report a dead peer as alive.
func TestJobOfSilentPeer(t *testing.T) {
	g := newPlacer(t)
	l := &recordingLink{silentLink: silentLink{name: "peer", quiet: 300 * time.Millisecond}}
	g.forwarder.linkUp(l)
	forward := func(number uint64) {
		g.handleForward(l, &wire.JobForward{
			RequestID: number, TimeLeft: 10 * time.Second, Route: routing.Route{Name: "r", MaxAttempts: 1, Stretch: 2, TargetDuration: time.Second},
			Job: workload.Job{ID: fmt.Sprintf("%016x", number), Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 100}, Estimate: 100 * time.Millisecond}}},
		})
	}
	forward(1)
	if got := g.scheduler.OriginAge("agent"); len(l.sent) != 0 || got != l.quiet {
		t.Errorf("sent %+v, origin age %s; want the job to run, and %s", l.sent, got, l.quiet)
	}
	l.quiet = sidecar.MaxStartSilence + time.Millisecond
	forward(2)
	if a, ok := l.sent[0].(*wire.JobAnswer); !ok || a.RequestID != 2 || !a.Declined {
		t.Errorf("answer to a job of a peer that may have died: %+v, want declined", l.sent[0])
	}
}

// Guards against a placer that gets no jobs for a while because it declined one that was hopeless there, and against
// jobs that are sent to one that declines all.
func TestDeclineOfHopelessJobIsNoBackoff(t *testing.T) {
	for _, hopeless := range []bool{false, true} {
		f, now := newForwarder(), time.Now()
		l := &recordingLink{silentLink: silentLink{name: "peer"}}
		f.linkUp(l)
		f.handleState(l, &wire.PlacerState{Targets: 1}, now)
		f.handleAnswer(l, &wire.JobAnswer{Declined: true, Hopeless: hopeless}, now)
		if chosen, _ := f.choose([]string{"peer"}, nil, now); (chosen != nil) != hopeless {
			t.Errorf("hopeless %v: chosen %v", hopeless, chosen)
		}
	}
}

// Guards against a placer that refuses a job that cannot be answered in useful time there while the sender can ask
// another placer, and against the last one that keeps it.
func TestHopelessJobIsRefusedByLastPlacerOnly(t *testing.T) {
	g := newPlacer(t)
	g.members = member.New(nil, g.self(), member.Options{Log: zap.NewNop()})
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	forward := func(number uint64, tasks int, last bool) {
		g.handleForward(l, &wire.JobForward{
			RequestID: number, LastChoice: last, TimeLeft: time.Minute,
			Route: routing.Route{Name: "C", MaxAttempts: 1, Stretch: 1.6, TargetDuration: 60 * time.Millisecond, Timeout: time.Minute},
			Job: workload.Job{ID: fmt.Sprint(number), Steps: []workload.Step{{
				Tasks: tasks, Need: workload.Resources{CPU: 32000}, Estimate: time.Second,
			}}},
		})
	}
	g.scheduler.Tick(time.Now())
	forward(1, 21, false) // one task starts and occupies the target; 20 s of work wait
	g.scheduler.Tick(time.Now())
	forward(2, 1, false)
	forward(3, 1, true)
	if len(l.sent) != 2 {
		t.Fatalf("%d answers, want 2: %v", len(l.sent), l.sent)
	}
	if a := l.sent[0].(*wire.JobAnswer); a.RequestID != 2 || !a.Declined || !a.Hopeless {
		t.Errorf("answer while another placer can be asked: %+v, want a decline as hopeless", a)
	}
	if a := l.sent[1].(*wire.JobAnswer); a.RequestID != 3 || a.Declined || a.Outcome != uint8(placement.Refused) || a.RetryAfter == 0 {
		t.Errorf("answer of the last placer: %+v, want a refusal with a hint", a)
	}
}
