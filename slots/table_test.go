package slots

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

const agentIncarnation = wire.Incarnation(1000)

var epoch = time.Unix(1_000_000, 0)

// fixture drives a table with an explicit clock.
type fixture struct {
	*testing.T
	*Table
	now    time.Time
	grants map[string][]wire.Grant
}

func newFixture(t *testing.T, opts Options, entries ...string) *fixture {
	if opts.Policy.Reserve == "" {
		opts.Policy.Reserve = reserveNone
	}
	f := &fixture{T: t, Table: New(agentIncarnation, opts), now: epoch, grants: map[string][]wire.Grant{}}
	for i, name := range entries {
		f.EntryConnected(name, incarnationOf(i), f.now)
	}
	f.allocate()
	return f
}

func incarnationOf(i int) wire.Incarnation { return wire.Incarnation(i + 1) }

// allocate records new grants and returns the number of slots granted per entry.
func (f *fixture) allocate() map[string]int {
	got := map[string]int{}
	for _, a := range f.Allocate(f.now) {
		f.grants[a.Entry] = append(f.grants[a.Entry], a.Grant)
		got[a.Entry] += int(a.Grant.Slots)
	}
	return got
}

// usableGrant returns an unexpired grant of the entry with unused slots.
func (f *fixture) usableGrant(name string) wire.GrantID {
	f.Helper()
	for _, g := range f.grants[name] {
		if f.lookupGrant(f.find(name), g.ID) != nil {
			return g.ID
		}
	}
	f.Fatalf("%s has no unused slots", name)
	return wire.GrantID{}
}

func (f *fixture) demand(name string, waiting uint32, key wire.OrderKey, class wire.Class) {
	f.SetDemand(name, wire.Demand{Waiting: waiting, Key: key, Class: class}, f.now)
}

func task(entry wire.Incarnation, job uint64, attempt uint32) wire.TaskID {
	return wire.TaskID{Job: wire.JobID{Entry: entry, Seq: job}, Attempt: attempt}
}

func startMessage(id wire.TaskID, grant wire.GrantID) *wire.Start {
	return &wire.Start{Task: id, Grant: grant, Revision: 5, TimeLeft: time.Minute}
}

func (f *fixture) start(name string, s *wire.Start) (bool, wire.Outcome) {
	return f.Start(name, s, f.now, f.now)
}

func (f *fixture) mustStart(name string, s *wire.Start) {
	f.Helper()
	if ok, out := f.start(name, s); !ok {
		f.Fatalf("start of %v was not accepted: %+v", s.Task, out)
	}
}

func (f *fixture) mustNotStart(name string, s *wire.Start, state wire.OutcomeState, code result.Code) {
	f.Helper()
	ok, out := f.start(name, s)
	if ok || out.State != state || out.Code != code || out.Task != s.Task {
		f.Fatalf("start of %v: accepted %v, answer %+v; want state %d, code %v", s.Task, ok, out, state, code)
	}
}

func (f *fixture) query(name string, id wire.TaskID) wire.Outcome {
	return f.Query(name, &wire.Query{Tasks: []wire.TaskID{id}, Agent: agentIncarnation}, f.now)[0]
}

func (f *fixture) mustQuery(name string, id wire.TaskID, state wire.OutcomeState) {
	f.Helper()
	if out := f.query(name, id); out.State != state || out.Task != id {
		f.Fatalf("query of %v: %+v, want state %d", id, out, state)
	}
}

func doneOutcome(id wire.TaskID, bytes int) wire.Outcome {
	return wire.Outcome{Task: id, State: wire.StateDone, Result: make([]byte, bytes)}
}

// Guards against a start that passes although one of its checks fails, and against
// a refused attempt that starts when the same message arrives again later.
func TestStartChecks(t *testing.T) {
	cases := []struct {
		name  string
		code  result.Code
		setup func(f *fixture, s *wire.Start)
		clear func(f *fixture, s *wire.Start)
	}{
		{"draining", result.Draining,
			func(f *fixture, _ *wire.Start) { f.SetDraining(true, f.now) },
			func(f *fixture, _ *wire.Start) { f.SetDraining(false, f.now) }},
		{"old revision", result.OldRevision,
			func(f *fixture, _ *wire.Start) { f.SetRevision(6); f.SetRevision(4) },
			func(_ *fixture, s *wire.Start) { s.Revision = 6 }},
		{"grant expired", result.GrantExpired,
			func(f *fixture, _ *wire.Start) { f.now = f.now.Add(DefaultGrantTTL) },
			func(*fixture, *wire.Start) {}},
		{"grant unknown", result.GrantExpired,
			func(_ *fixture, s *wire.Start) { s.Grant.Seq = 99 },
			func(*fixture, *wire.Start) {}},
		{"grant of another entry", result.GrantExpired,
			func(f *fixture, s *wire.Start) { s.Grant = f.grants["b"][0].ID },
			func(*fixture, *wire.Start) {}},
		{"no time left", result.StartTooLate,
			func(_ *fixture, s *wire.Start) { s.TimeLeft = 0 },
			func(_ *fixture, s *wire.Start) { s.TimeLeft = time.Minute }},
		{"slots full", result.SlotsFull,
			func(f *fixture, _ *wire.Start) { f.SetOccupied(DefaultSlots, f.now) },
			func(f *fixture, _ *wire.Start) { f.SetOccupied(0, f.now) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, Options{}, "a", "b")
			f.SetRevision(5)
			s := startMessage(task(1, 1, 1), f.grants["a"][0].ID)
			c.setup(f, s)
			f.mustNotStart("a", s, wire.StateRefused, c.code)
			c.clear(f, s)
			f.allocate()
			s.Grant = f.usableGrant("a")
			f.mustNotStart("a", s, wire.StateRefused, result.IdentityBarred)
			s.Grant = f.usableGrant("a")
			s.Task.Attempt++
			f.mustStart("a", s)
		})
	}
}

// Guards against a start in the buffers of a paused agent that is accepted on
// resume, because a buffered heartbeat renewed its grant first or because its
// remaining time counts from the decision instead of the receipt.
func TestStartAfterAgentPause(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	s := startMessage(task(1, 1, 1), f.grants["a"][0].ID)
	f.now = f.now.Add(time.Hour)
	f.Heartbeat("a", f.now)
	f.mustNotStart("a", s, wire.StateRefused, result.GrantExpired)

	f.allocate()
	late := startMessage(task(1, 2, 1), f.grants["a"][1].ID)
	received := f.now
	f.now = f.now.Add(time.Second)
	late.TimeLeft = time.Second
	if ok, out := f.Start("a", late, received, f.now); ok || out.Code != result.StartTooLate {
		t.Fatalf("start without time left: accepted %v, answer %+v", ok, out)
	}
}

// Guards against a second execution after a delayed start: once a query was
// answered with never seen, that start must not run, but the next attempt may.
func TestLateStartAfterQuery(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	s := startMessage(task(1, 1, 1), f.grants["a"][0].ID)
	f.mustQuery("a", s.Task, wire.StateNeverSeen)
	f.mustNotStart("a", s, wire.StateRefused, result.IdentityBarred)
	f.mustQuery("a", s.Task, wire.StateNeverSeen)
	s.Task.Attempt = 2
	f.mustStart("a", s)
	f.mustQuery("a", task(1, 1, 2), wire.StateRunning)
	f.mustQuery("a", task(1, 1, 1), wire.StateUnknown)
}

// Guards against a task that runs twice because its start arrives again: over
// another link or under another attempt, while it runs or after it ended.
func TestDuplicateStart(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b")
	s := startMessage(task(1, 1, 1), f.grants["a"][0].ID)
	f.mustStart("a", s)
	f.mustNotStart("a", s, wire.StateRunning, 0)
	f.mustNotStart("b", s, wire.StateRunning, 0)
	again := startMessage(task(1, 1, 2), f.grants["a"][0].ID)
	f.mustNotStart("a", again, wire.StateUnknown, result.DuplicateStart)
	foreign := startMessage(task(1, 2, 1), f.grants["b"][0].ID)
	f.mustNotStart("b", foreign, wire.StateRefused, result.IdentityBarred)

	f.Finish(s.Task, doneOutcome(s.Task, 3), f.now)
	f.mustNotStart("a", s, wire.StateDone, 0)
	f.mustNotStart("a", again, wire.StateUnknown, result.DuplicateStart)
	f.Ack("a", &wire.Ack{Tasks: []wire.TaskID{s.Task}}, f.now)
	f.mustNotStart("a", s, wire.StateUnknown, result.OutcomeUnknown)
	f.mustQuery("a", s.Task, wire.StateUnknown)
}

// Guards against a task that cannot be retried although its target refused it, and
// against the refused attempt itself running later.
func TestTargetRefused(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	s := startMessage(task(1, 1, 1), f.grants["a"][0].ID)
	f.mustStart("a", s)
	f.Finish(s.Task, wire.Outcome{Task: s.Task, State: wire.StateRefused, Code: result.TargetRefused}, f.now)
	f.mustQuery("a", s.Task, wire.StateRefused)
	f.mustNotStart("a", s, wire.StateRefused, result.TargetRefused)
	s.Task.Attempt = 2
	f.mustStart("a", s)
	if f.Stats(f.now).Retained != 0 {
		t.Fatal("the outcome of the refused attempt is still retained")
	}
}

// Guards against reporting a task as not run although an earlier incarnation of the
// agent may have run it.
func TestStartForEarlierAgentIncarnation(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	id := task(1, 1, 1)
	f.mustNotStart("a", startMessage(id, wire.GrantID{Agent: agentIncarnation - 1, Seq: 1}), wire.StateUnknown, result.OutcomeUnknown)
	out := f.Query("a", &wire.Query{Tasks: []wire.TaskID{id}, Agent: agentIncarnation - 1}, f.now)
	if out[0].State != wire.StateUnknown {
		t.Fatalf("query to the earlier incarnation: %+v, want state unknown", out[0])
	}
}

// Guards against unbounded retained outcomes, and against reporting a task whose
// outcome was discarded as never seen, after which it would run again.
func TestRetentionBounds(t *testing.T) {
	f := newFixture(t, Options{MaxRetainedBytes: 3000, OutcomeRetention: time.Minute}, "a")
	for job := uint64(1); job <= 4; job++ {
		s := startMessage(task(1, job, 1), f.grants["a"][0].ID)
		f.mustStart("a", s)
		f.Finish(s.Task, doneOutcome(s.Task, 1000), f.now)
		f.now = f.now.Add(time.Second / 2)
	}
	f.mustQuery("a", task(1, 2, 1), wire.StateUnknown)
	f.mustQuery("a", task(1, 3, 1), wire.StateDone)
	f.Expire(epoch.Add(DefaultGrantTTL))
	if next := f.NextDeadline(); !next.Equal(epoch.Add(time.Second + time.Minute)) {
		t.Fatalf("next deadline %v", next)
	}
	f.now = f.now.Add(time.Minute)
	f.mustQuery("a", task(1, 4, 1), wire.StateUnknown)
	if s := f.Stats(f.now); s.RetainedBytes != 0 {
		t.Fatalf("bytes are still retained: %+v", s)
	}
}

// Guards against starts and grants of an entry's earlier incarnation that stay
// valid after its restart, and against a stale link that replaces the new one.
func TestEntryRestart(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	grant := f.grants["a"][0].ID
	f.mustStart("a", startMessage(task(1, 1, 1), grant))
	if !f.EntryConnected("a", 7, f.now) || f.EntryConnected("a", 1, f.now) {
		t.Fatal("the newer incarnation must be accepted and the older one refused")
	}
	f.mustNotStart("a", startMessage(task(1, 2, 1), grant), wire.StateUnknown, result.OutcomeUnknown)
	f.mustNotStart("a", startMessage(task(7, 1, 1), grant), wire.StateRefused, result.GrantExpired)
	if got := f.allocate()["a"]; got != DefaultSlots-1 {
		t.Fatalf("%d slots granted, want all but the one that still runs", got)
	}
	f.Finish(task(1, 1, 1), doneOutcome(task(1, 1, 1), 10), f.now)
	if s := f.Stats(f.now); s.Retained != 0 || s.Running != 0 {
		t.Fatalf("an outcome that no entry can query is retained: %+v", s)
	}
}

// Guards against memory use that grows with the number of jobs, and against an
// identity that can start again once its record was deleted.
func TestIdentitiesAreBounded(t *testing.T) {
	const jobs = 5000
	for _, c := range []struct {
		declared     bool
		limit, bound int
	}{{true, DefaultMaxIdentities, 2 * minSweepRecords}, {false, 400, 400}} {
		f := newFixture(t, Options{MaxIdentities: c.limit}, "a")
		for job := uint64(1); job <= jobs; job++ {
			s := startMessage(task(1, job, 1), f.usableGrant("a"))
			f.mustStart("a", s)
			f.Finish(s.Task, doneOutcome(s.Task, 0), f.now)
			ack := &wire.Ack{Tasks: []wire.TaskID{s.Task}}
			if c.declared {
				ack.BelowSeq = job
			}
			f.Ack("a", ack, f.now)
			f.allocate()
			if n := f.Stats(f.now).Identities; n > c.bound {
				t.Fatalf("%d identities, the bound is %d", n, c.bound)
			}
		}
		f.mustNotStart("a", startMessage(task(1, 1, 2), f.usableGrant("a")), wire.StateUnknown, result.OutcomeUnknown)
		f.mustQuery("a", task(1, 1, 1), wire.StateUnknown)
	}
}

// Guards against an entry that reconnects after a long partition and can start its
// old identities again or cannot start new ones.
func TestDisconnectedEntryIsForgotten(t *testing.T) {
	f := newFixture(t, Options{}, "a")
	s := startMessage(task(1, 5, 1), f.grants["a"][0].ID)
	f.mustStart("a", s)
	f.EntryDisconnected("a", f.now)
	f.now = f.NextDeadline()
	f.Expire(f.now)
	if n := f.Stats(f.now).Identities; n != 0 {
		t.Fatalf("%d identities are still recorded", n)
	}
	f.EntryConnected("a", 1, f.now)
	f.mustQuery("a", s.Task, wire.StateRunning)
	f.Finish(s.Task, doneOutcome(s.Task, 0), f.now)
	f.mustQuery("a", s.Task, wire.StateUnknown)
	f.allocate()
	fresh := f.grants["a"][1].ID
	f.mustNotStart("a", startMessage(task(1, 5, 2), fresh), wire.StateUnknown, result.OutcomeUnknown)
	f.mustStart("a", startMessage(task(1, 6, 1), fresh))
}
