package dispatch

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Guards against a target that refuses immediately, for example because it is down,
// and so uses up the attempts of tasks that another target could run.
func TestRefusingTargetDoesNotUseUpAttempts(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	f.agents[0].refuseTasks = true
	ticket := f.submit(0, spec(64, 300*time.Millisecond))
	f.advance(5 * time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.agents[0].refuseTasks = false
	before := f.agents[1].tasksStarted
	after := f.submit(0, spec(64, 300*time.Millisecond))
	f.advance(5 * time.Second)
	if a, ok := pollAnswer(after); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	if got := f.agents[1].tasksStarted - before; got > 48 {
		t.Errorf("the recovered target got %d of 64 tasks, want at least 16", 64-got)
	}
	f.checkStarts()
}

// Guards against a job that hangs or is reported as having run although every
// target refuses it.
func TestJobThatEveryTargetRefusesEndsNotRun(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	f.agents[0].refuseTasks, f.agents[1].refuseTasks = true, true
	ticket := f.submit(0, spec(1, 300*time.Millisecond))
	f.advance(30 * time.Second)
	a, ok := pollAnswer(ticket)
	if !ok || a.Err == nil || a.Err.Code != result.AttemptsSpent || a.Err.Ran != result.NotRun {
		t.Fatalf("answered %v, error %+v; want AttemptsSpent with NotRun", ok, a.Err)
	}
	if len(f.starts) != 0 {
		t.Errorf("%d tasks started", len(f.starts))
	}
}

// Guards against an outcome from a replaced link that arrives after the query on
// the new link and is taken for a second result.
func TestOutcomeOfOldLinkAfterQueryCountsOnce(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	agent, entry := f.agents[0], f.entries[0]
	ticket := f.submit(0, spec(2, 300*time.Millisecond))
	f.advance(100 * time.Millisecond)
	old := agent.links[entry.name]
	agent.connect(entry)
	entry.s.LinkDown(agent.name, old, f.now) // the end of the old link is detected last
	f.advance(250 * time.Millisecond)
	id := ticket.ID()
	for _, index := range []int{0, 1} {
		late := wire.Outcome{Task: taskID(id, index), State: wire.StateDone, Result: []byte("late")}
		late.Task.Attempt = 1
		entry.s.HandleOutcome(agent.name, old, &late, f.now)
	}
	a, ok := pollAnswer(ticket)
	if !ok || a.Err != nil || len(a.Results) != 2 || string(a.Results[0]) == "late" || string(a.Results[1]) == "late" {
		t.Fatalf("answered %v, error %v, results %q; want two results, none of them late, and no error", ok, a.Err, a.Results)
	}
	f.advance(time.Second)
	f.checkStarts()
}

// Guards against a start that was in transit when the agent answered "never seen",
// and that runs although its task has been sent to another target.
func TestStartThatArrivesAfterNeverSeenIsBarred(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	agent, entry := f.agents[0], f.entries[0]
	f.advance(100 * time.Millisecond)
	slow := &holdingLink{fakeLink: agent.links[entry.name]}
	f.replaceLink(agent, entry, slow)
	ticket := f.submit(0, spec(1, 300*time.Millisecond))
	f.advance(100 * time.Millisecond)
	if len(slow.held) != 1 || len(f.starts) != 0 {
		t.Fatalf("%d starts held, %d tasks started; want 1 and 0", len(slow.held), len(f.starts))
	}
	entry.s.LinkDown(agent.name, slow, f.now)
	agent.connect(entry)
	entry.s.HandleLeave(agent.name, agent.links[entry.name], f.now)
	f.advance(50 * time.Millisecond)
	if f.agents[1].tasksStarted != 1 {
		t.Fatalf("the other target ran %d tasks, want 1", f.agents[1].tasksStarted)
	}
	agent.start(agent.links[entry.name], slow.held[0])
	f.advance(time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}

// holdingLink delivers all messages except starts, which it keeps in held.
type holdingLink struct {
	*fakeLink
	held []*wire.Start
}

// Send implements Sender.
func (l *holdingLink) Send(m wire.Message) error {
	if start, ok := m.(*wire.Start); ok {
		l.held = append(l.held, start)
		return nil
	}
	return l.fakeLink.Send(m)
}

// replaceLink replaces the link to an agent and announces the agent again with a
// grant of one slot.
func (f *fleet) replaceLink(a *fakeAgent, e *fakeEntry, l *holdingLink) {
	e.s.LinkUp(a.name, a.incarnation, l, f.now)
	e.s.HandleAnnounce(a.name, l, &wire.Announce{
		Target: a.name, Service: "frames", FailureDomain: "saimaa", Region: "fi", Slots: 8,
	}, f.now)
	e.s.HandleGrant(a.name, l, &wire.Grant{ID: wire.GrantID{Agent: a.incarnation, Seq: 1}, Slots: 1}, f.now)
}

// Guards against an outcome from an agent's earlier incarnation that changes an
// answer already given as unknown, and against a second attempt on another target.
func TestOutcomeAfterSuccessorAnnouncedChangesNothing(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	agent, entry := f.agents[0], f.entries[0]
	ticket := f.submit(0, spec(16, 2*time.Second))
	f.advance(100 * time.Millisecond)
	old := agent.links[entry.name]
	out := entry.s.targets[agent.name].outstanding()
	if len(out) == 0 {
		t.Fatal("no task is in flight")
	}
	successor := &holdingLink{fakeLink: old}
	entry.s.LinkUp(agent.name, agent.incarnation+1, successor, f.now)
	a, ok := pollAnswer(ticket)
	if !ok || a.Err == nil || a.Err.Code != result.TargetLost || a.Err.Ran != result.RanUnknown {
		t.Fatalf("answered %v, error %+v; want TargetLost with RanUnknown", ok, a.Err)
	}
	for _, id := range out {
		entry.s.HandleOutcome(agent.name, old, &wire.Outcome{Task: id, State: wire.StateNeverSeen}, f.now)
		entry.s.HandleOutcome(agent.name, old, &wire.Outcome{Task: id, State: wire.StateDone}, f.now)
	}
	if a, again := pollAnswer(ticket); again {
		t.Errorf("the job was answered a second time: %+v", a)
	}
	if entry.s.LinkUp(agent.name, agent.incarnation, old, f.now) {
		t.Error("LinkUp accepted an earlier incarnation after a newer one")
	}
	f.checkStarts()
}

// Guards against a second attempt of a task whose outcome is unknown, if a further
// outcome arrives after the unknown one.
func TestUnknownOutcomeIsFinal(t *testing.T) {
	states := []wire.OutcomeState{wire.StateUnknown, wire.StateRefused, wire.StateNeverSeen, wire.StateDone}
	for _, second := range states {
		f := newFleet(t, 1, 1, 8, settings.Policy{})
		f.agents[0].dropStarts = true
		ticket := f.submit(0, spec(1, 100*time.Millisecond))
		f.advance(50 * time.Millisecond)
		entry, agent := f.entries[0], f.agents[0]
		out := entry.s.targets[agent.name].outstanding()
		for _, state := range []wire.OutcomeState{wire.StateUnknown, second} {
			o := wire.Outcome{Task: out[0], State: state, Code: result.OutcomeUnknown}
			entry.s.HandleOutcome(agent.name, agent.links[entry.name], &o, f.now)
		}
		agent.dropStarts = false
		f.advance(time.Second)
		a, ok := pollAnswer(ticket)
		if !ok || a.Err == nil || a.Err.Ran != result.RanUnknown {
			t.Errorf("unknown, then %s: answered %v, error %+v; want an error with RanUnknown", second, ok, a.Err)
		}
		if len(f.starts) != 0 {
			t.Errorf("unknown, then %s: a second attempt started", second)
		}
	}
}

// Guards against a passed deadline that is reported as a target that did not
// answer, and counted against the target. Both time limits end at the same moment.
func TestTargetTimeoutAtDeadlineReportsDeadlineExceeded(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	s := spec(1, 20*time.Second)
	s.Deadline = 50*TickInterval + TickInterval/2
	ticket := f.submit(0, s)
	f.advance(s.Deadline + time.Millisecond)
	entry, agent := f.entries[0], f.agents[0]
	out := entry.s.targets[agent.name].outstanding()
	if _, ok := pollAnswer(ticket); ok || len(out) != 1 {
		t.Fatalf("answered %v, %d tasks in flight; want no answer and one task in flight between two ticks", ok, len(out))
	}
	o := wire.Outcome{Task: out[0], State: wire.StateUnknown, Code: result.TargetTimeout}
	entry.s.HandleOutcome(agent.name, agent.links[entry.name], &o, f.now)
	a, ok := pollAnswer(ticket)
	if !ok || a.Err == nil || a.Err.Code != result.DeadlineExceeded || a.Err.Ran != result.RanUnknown {
		t.Fatalf("answered %v, error %+v; want DeadlineExceeded with RanUnknown", ok, a.Err)
	}
}
