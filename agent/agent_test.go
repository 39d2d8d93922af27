package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/wire"
)

const agentIncarnation = wire.Incarnation(500)

// fakeLink records what the agent sends.
type fakeLink struct {
	mu          sync.Mutex
	name        string
	incarnation wire.Incarnation
	sent        []wire.Message
	closed      []error
	broken      bool
}

func (l *fakeLink) Name() string                  { return l.name }
func (l *fakeLink) Incarnation() wire.Incarnation { return l.incarnation }
func (l *fakeLink) Close(err error)               { l.closed = append(l.closed, err) }
func (l *fakeLink) Send(m wire.Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken {
		return errors.New("lost")
	}
	l.sent = append(l.sent, m)
	return nil
}

// take returns the messages of one type sent since the last call for any type.
func take[M wire.Message](l *fakeLink) []M {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []M
	for _, m := range l.sent {
		if m, ok := m.(M); ok {
			out = append(out, m)
		}
	}
	l.sent = nil
	return out
}

// fakeRunner runs every task for runTime or until it is cancelled. It reports that the
// target may still be running a cancelled task.
type fakeRunner struct {
	runTime    time.Duration
	otherTasks atomic.Int32 // running tasks that Status reports; -1: it fails
	mu         sync.Mutex
	limits     []time.Duration
}

func (r *fakeRunner) Run(ctx context.Context, id wire.TaskID, payload []byte, limit time.Duration) runner.Report {
	r.mu.Lock()
	r.limits = append(r.limits, limit)
	r.mu.Unlock()
	select {
	case <-time.After(r.runTime):
		return runner.Report{Outcome: wire.Outcome{Task: id, State: wire.StateDone, Result: payload}}
	case <-ctx.Done():
		return runner.Report{Outcome: wire.Outcome{Task: id, State: wire.StateUnknown, Code: result.Cancelled}, MayBeRunning: true}
	}
}

func (r *fakeRunner) Status(context.Context) (int, error) {
	n := int(r.otherTasks.Load())
	if n < 0 {
		return 0, errors.New("connection refused")
	}
	return n, nil
}

type noMetrics struct{}

func (noMetrics) Started(wire.Class)             {}
func (noMetrics) Refused(result.Code)            {}
func (noMetrics) Sent(wire.Type)                 {}
func (noMetrics) GrantsExpired(int)              {}
func (noMetrics) GrantsUnused(int)               {}
func (noMetrics) IdleWhileWaiting(time.Duration) {}
func (noMetrics) BadView()                       {}
func (noMetrics) StatusFailed()                  {}

// withAgent runs a test in virtual time with an agent of two slots and a link to entry
// e1.
func withAgent(t *testing.T, r *fakeRunner, test func(t *testing.T, a *Agent, l *fakeLink)) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{
			Incarnation: agentIncarnation,
			Target:      settings.Target{Name: "runner-1", Service: "frames", Slots: 2, Labels: label.Set{"lens": "wide"}},
			Slots:       slots.Options{Policy: settings.Policy{Reserve: "none"}},
			Runner:      r,
			Metrics:     noMetrics{},
			Decode: func(spec []byte) (View, error) {
				if len(spec) == 0 {
					return View{}, errors.New("empty")
				}
				return View{Draining: string(spec) == "drain", ShortLimit: time.Minute, Labels: label.Set{"spec": string(spec)}}, nil
			},
		})
		defer func() {
			if err := a.Kill(); err != nil {
				t.Error(err)
			}
		}()
		l := &fakeLink{name: "e1", incarnation: 1}
		a.LinkUp(l)
		test(t, a, l)
	})
}

func startOf(job uint64, g *wire.Grant, revision uint64) *wire.Start {
	id := wire.TaskID{Job: wire.JobID{Entry: 1, Seq: job}, Attempt: 1}
	return &wire.Start{Task: id, Grant: g.ID, Revision: revision, TimeLeft: time.Hour, Payload: []byte("p")}
}

func only[M any](t *testing.T, list []M) M {
	t.Helper()
	if len(list) != 1 {
		t.Fatalf("%d messages of type %T, want 1", len(list), list)
	}
	return list[0]
}

// Guards against an outcome that is lost with its link, one that is sent again after
// its acknowledgement, and a grant of a freed slot that is sent as a separate message.
func TestOutcomeSurvivesReconnect(t *testing.T) {
	withAgent(t, &fakeRunner{runTime: time.Second}, func(t *testing.T, a *Agent, l *fakeLink) {
		g := only(t, take[*wire.Grant](l))
		first := startOf(1, g, 0)
		a.Handle(l, first)
		time.Sleep(2 * time.Second)
		if out := only(t, take[*wire.Outcome](l)); out.Grant == nil || string(out.Result) != "p" {
			t.Fatalf("got %+v, want the result \"p\" and a grant", out)
		}
		second := startOf(2, g, 0)
		a.Handle(l, second)
		a.LinkDown(l)
		time.Sleep(2 * time.Second)
		again := &fakeLink{name: "e1", incarnation: 1}
		a.LinkUp(again)
		a.Handle(l, startOf(9, g, 0)) // on the lost link
		a.Handle(again, &wire.Ack{Tasks: []wire.TaskID{first.Task}})
		third := startOf(3, g, 0)
		a.Handle(again, &wire.Query{Agent: agentIncarnation, Tasks: []wire.TaskID{first.Task, second.Task, third.Task}})
		a.Handle(again, third)
		var states []wire.OutcomeState
		for _, out := range take[*wire.Outcome](again) {
			states = append(states, out.State)
		}
		if !slices.Equal(states, []wire.OutcomeState{wire.StateUnknown, wire.StateDone, wire.StateNeverSeen, wire.StateRefused}) {
			t.Fatalf("got states %v, want unknown, done, never seen, refused", states)
		}
	})
}

// Guards against granting slots on which tasks of an earlier agent still run, and
// against grants before the target has reported whether there are such tasks.
func TestSlotsOfEarlierAgentAreNotGranted(t *testing.T) {
	r := &fakeRunner{}
	r.otherTasks.Store(-1)
	withAgent(t, r, func(t *testing.T, _ *Agent, l *fakeLink) {
		time.Sleep(time.Minute)
		if n := len(take[*wire.Grant](l)); n != 0 {
			t.Fatalf("%d grants while the target does not answer", n)
		}
		r.otherTasks.Store(1)
		time.Sleep(2 * time.Second)
		if g := only(t, take[*wire.Grant](l)); g.Slots != 1 {
			t.Fatalf("%d slots granted", g.Slots)
		}
		r.otherTasks.Store(0)
		time.Sleep(time.Second / 2)
		only(t, take[*wire.Grant](l))
		time.Sleep(slots.DefaultGrantTTL)
		if len(take[*wire.Grant](l)) == 0 {
			t.Fatal("grants without a heartbeat did not expire")
		}
	})
}

// Guards against granting a slot that is in use: if a task has ended on the target but
// its response has not arrived, the target seems to run one task fewer.
func TestOccupiedSlotsAreReleasedAfterTwoEstimates(t *testing.T) {
	r := &fakeRunner{runTime: time.Hour}
	withAgent(t, r, func(t *testing.T, a *Agent, l *fakeLink) {
		g := only(t, take[*wire.Grant](l))
		cancelled := startOf(1, g, 0)
		a.Handle(l, cancelled)
		a.Handle(l, startOf(2, g, 0))
		r.otherTasks.Store(2)
		a.Handle(l, &wire.Cancel{Tasks: []wire.TaskID{cancelled.Task}})
		time.Sleep(statusInterval * 3 / 2)
		r.otherTasks.Store(1)
		for _, want := range []int{1, 0} {
			time.Sleep(statusInterval)
			if s := a.Stats(); s.Occupied != want {
				t.Fatalf("%+v, want %d occupied", s, want)
			}
		}
	})
}

// Guards against granting a cancelled task's slot while the target still runs the
// task, and against running a cancelled task whose start arrives late.
func TestCancelledTaskKeepsItsSlot(t *testing.T) {
	r := &fakeRunner{runTime: time.Hour}
	withAgent(t, r, func(t *testing.T, a *Agent, l *fakeLink) {
		g := only(t, take[*wire.Grant](l))
		s, late := startOf(1, g, 0), startOf(2, g, 0)
		r.otherTasks.Store(1)
		a.Handle(l, s)
		a.Handle(l, &wire.Cancel{Tasks: []wire.TaskID{s.Task, late.Task}})
		a.Handle(l, late)
		time.Sleep(time.Second)
		out := take[*wire.Outcome](l)
		if len(out) != 3 || out[0].State != wire.StateNeverSeen || out[1].Code != result.IdentityBarred && out[2].Code != result.IdentityBarred {
			t.Fatalf("got %+v, want three outcomes: never seen, then at least one with the code IdentityBarred", out)
		}
		if s := a.Stats(); s.Occupied != 1 || s.Granted != 1 {
			t.Fatalf("got %+v, want 1 occupied and 1 granted slot", s)
		}
		r.otherTasks.Store(0)
		time.Sleep(time.Second)
		if s := a.Stats(); s.Occupied != 0 || s.Granted != 2 {
			t.Fatalf("got %+v, want no occupied and 2 granted slots", s)
		}
	})
}

// Guards against accepting starts with an older configuration revision, applying an
// older view, and changes that are not announced to entries.
func TestConfigurationChanges(t *testing.T) {
	r := &fakeRunner{runTime: time.Second}
	withAgent(t, r, func(t *testing.T, a *Agent, l *fakeLink) {
		g := only(t, take[*wire.Grant](l))
		a.Handle(l, &wire.View{Revision: 7, Config: []byte("seven")})
		if n := only(t, take[*wire.Announce](l)); n.Labels["spec"] != "seven" || n.Labels["lens"] != "wide" {
			t.Fatalf("got %+v, want the labels spec=seven and lens=wide", n)
		}
		a.Handle(l, startOf(1, g, 6))
		if v := only(t, take[*wire.View](l)); v.Revision != 7 || string(v.Config) != "seven" {
			t.Fatalf("got %+v, want the view of revision 7", v)
		}
		a.Handle(l, &wire.View{Revision: 6, Config: []byte("drain")})
		a.Handle(l, &wire.View{Revision: 8})
		a.Handle(l, startOf(2, g, 7))
		synctest.Wait()
		if !slices.Equal(r.limits, []time.Duration{time.Minute}) || a.Revision() != 7 {
			t.Fatalf("run limits %v, revision %d", r.limits, a.Revision())
		}
		take[*wire.View](l)
		a.Handle(l, &wire.Heartbeat{Revision: 9})
		a.Handle(l, &wire.View{Revision: 8, Config: []byte("drain")})
		if v := only(t, take[*wire.View](l)); v.Revision != 9 {
			t.Fatalf("got %+v, want the view of revision 9", v)
		}
		a.Handle(l, &wire.View{Revision: 10, Config: []byte("drain")})
		take[*wire.Announce](l)
		a.Handle(l, startOf(3, g, 10))
		if out := only(t, take[*wire.Outcome](l)); out.Code != result.Draining {
			t.Fatalf("got %+v, want the code Draining", out)
		}
	})
}

// Guards against a planned stop that interrupts a task, starts another one, ends
// before the outcome is acknowledged, or never ends without an acknowledgement.
func TestPlannedStop(t *testing.T) {
	for _, acked := range []bool{true, false} {
		withAgent(t, &fakeRunner{runTime: time.Minute}, func(t *testing.T, a *Agent, l *fakeLink) {
			g := only(t, take[*wire.Grant](l))
			s := startOf(1, g, 0)
			a.Handle(l, s)
			begin := time.Now()
			ended := make(chan time.Duration)
			go func() {
				_ = a.Stop(context.Background())
				ended <- time.Since(begin)
			}()
			only(t, take[*wire.Leave](l))
			a.Handle(l, startOf(2, g, 0))
			if out := only(t, take[*wire.Outcome](l)); out.Code != result.Draining {
				t.Fatalf("got %+v, want the code Draining", out)
			}
			time.Sleep(time.Minute + time.Second)
			if out := only(t, take[*wire.Outcome](l)); out.State != wire.StateDone {
				t.Fatalf("got %+v, want the state done", out)
			}
			want := time.Minute + DefaultAckLimit
			if acked {
				a.Handle(l, &wire.Ack{Tasks: []wire.TaskID{s.Task}})
				want = time.Minute + time.Second
			}
			if took := <-ended; took != want || !slices.Equal(l.closed, []error{nil}) {
				t.Fatalf("ended after %v, want %v; link closed with %v", took, want, l.closed)
			}
		})
	}
}

// Guards against a grant that outlives its entry's heartbeats, a link that stays open
// after a failed send, a stale link that replaces a newer one, and an outcome or grant
// that is sent to the wrong entry.
func TestLinks(t *testing.T) {
	withAgent(t, &fakeRunner{runTime: time.Second}, func(t *testing.T, a *Agent, l *fakeLink) {
		first := only(t, take[*wire.Grant](l))
		time.Sleep(slots.DefaultGrantTTL)
		if g := only(t, take[*wire.Grant](l)); g.ID == first.ID || a.Stats().GrantsExpired != 2 {
			t.Fatalf("got %+v, want a new grant and 2 expired ones", g)
		}
		newer := &fakeLink{name: "e1", incarnation: 2}
		a.Handle(l, startOf(1, &wire.Grant{ID: wire.GrantID{Agent: agentIncarnation, Seq: first.ID.Seq + 1}}, 0))
		a.LinkUp(newer)
		a.LinkUp(&fakeLink{name: "e1", incarnation: 1})
		a.LinkDown(l)
		if len(l.closed) != 1 || len(newer.closed) != 0 || len(take[*wire.Grant](newer)) != 1 {
			t.Fatalf("closed: %v, %v", l.closed, newer.closed)
		}
		other := &fakeLink{name: "e2", incarnation: 3}
		a.LinkUp(other)
		a.Handle(other, &wire.Demand{Waiting: 9})
		time.Sleep(time.Second)
		if outs := take[*wire.Outcome](newer); len(outs) != 0 {
			t.Fatalf("outcome of an earlier incarnation: %+v", outs[0])
		}
		g := only(t, take[*wire.Grant](other))
		foreign := startOf(1, g, 0)
		foreign.Task.Job.Entry = 3
		a.Handle(other, foreign)
		a.Handle(newer, &wire.Demand{Waiting: 9, Key: -10})
		time.Sleep(time.Second)
		if outs := take[*wire.Outcome](other); outs[0].Grant != nil {
			t.Fatalf("the grant of another entry: %+v", outs[0])
		}
		newer.broken = true
		a.Handle(newer, &wire.Query{Tasks: []wire.TaskID{{}, {}}})
		a.LinkUp(&fakeLink{name: "e1", incarnation: 2})
		if len(newer.closed) != 1 {
			t.Fatalf("%d closes", len(newer.closed))
		}
	})
}
