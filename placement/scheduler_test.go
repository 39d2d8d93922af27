package placement_test

import (
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// recordingLink is a link that records the messages a scheduler sends to one agent.
type recordingLink struct{ sent []wire.Message }

// Send implements placement.Sender.
func (l *recordingLink) Send(m wire.Message) error {
	l.sent = append(l.sent, m)
	return nil
}

func (l *recordingLink) starts() []*wire.RunStart {
	var out []*wire.RunStart
	for _, m := range l.sent {
		if s, ok := m.(*wire.RunStart); ok {
			out = append(out, s)
		}
	}
	return out
}

func (l *recordingLink) stops() int {
	n := 0
	for _, m := range l.sent {
		if s, ok := m.(*wire.RunStop); ok {
			n += len(s.Runs)
		}
	}
	return n
}

var begin = time.Unix(1_700_000_000, 0)

func after(d time.Duration) time.Time { return begin.Add(d) }

func capacity(cpu int64) workload.Resources { return workload.Resources{CPU: cpu, Memory: 1000} }

// join links an agent whose target is empty.
func join(s *placement.Scheduler, name string, incarnation wire.Incarnation, now time.Time) *recordingLink {
	l := &recordingLink{}
	s.LinkUp(name, incarnation, l)
	s.HandleState(name, l, state(name, 8000, 8000), now)
	return l
}

func state(name string, cpu, free int64) *wire.TargetState {
	return &wire.TargetState{Target: "i-" + name, Service: "frames", Capacity: capacity(cpu), Room: wire.Room{Free: capacity(free)}}
}

func request(id string, tasks int, cpu int64) placement.Request {
	return placement.Request{
		Job:      workload.Job{ID: id, Spec: "s", Steps: []workload.Step{{Tasks: tasks, Need: workload.Resources{CPU: cpu}, Estimate: 100 * time.Millisecond}}},
		Route:    routing.Route{Name: "r", Service: "frames", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 60 * time.Millisecond},
		Deadline: after(5 * time.Second),
	}
}

func submit(t *testing.T, s *placement.Scheduler, r placement.Request, now time.Time) *placement.Ticket {
	t.Helper()
	ticket, refusal := s.Submit(r, now)
	if refusal != nil {
		t.Fatalf("refused: %s", refusal.Reason)
	}
	return ticket
}

func answered(ticket *placement.Ticket) (placement.Answer, bool) {
	select {
	case a := <-ticket.Done():
		return a, true
	default:
		return placement.Answer{}, false
	}
}

// tickUntil calls Tick at its interval, as a gateway does.
func tickUntil(s *placement.Scheduler, from, to time.Duration) {
	for at := from; at <= to; at += placement.TickInterval {
		s.Tick(after(at))
	}
}

// Guards against an answer that nothing ran while a run may continue, and against an answer
// that leaves it open although nothing ran.
func TestAbandonAllAnswersByProgress(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	started := submit(t, s, request("j1", 1, 8000), begin)
	waiting := submit(t, s, request("j2", 1, 8000), begin)
	s.AbandonAll("process paused", after(time.Second))
	if a, ok := answered(started); !ok || a.Outcome != placement.Expired {
		t.Errorf("job with a run: got %+v, want expired", a)
	}
	if a, ok := answered(waiting); !ok || a.Outcome != placement.Refused || a.RetryAfter <= 0 {
		t.Errorf("job without a run: got %+v, want refused with a retry time", a)
	}
	if l.stops() != 1 {
		t.Errorf("%d runs stopped, want 1", l.stops())
	}
}

// Guards against using capacity twice: the free capacity that an agent last reported does
// not account for starts in flight.
func TestStartsInFlightUseCapacity(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	submit(t, s, request("j1", 2, 3000), begin)
	submit(t, s, request("j2", 1, 3000), begin)
	if n := len(l.starts()); n != 2 {
		t.Fatalf("%d starts, want the 2 that fit", n)
	}
	s.HandleRoom("a", l, &wire.Room{Free: capacity(5000), StartsReceived: 1}, begin)
	if n := len(l.starts()); n != 2 {
		t.Errorf("%d starts, want 2: the need of the second start is not subtracted", n)
	}
	s.HandleRoom("a", l, &wire.Room{Free: capacity(5000), StartsReceived: 2}, begin)
	if n := len(l.starts()); n != 3 {
		t.Errorf("%d starts with capacity for the third", n)
	}
}

func newRunEnd(l *recordingLink, i int, e wire.EndStatus) *wire.RunEnd {
	return &wire.RunEnd{Run: l.starts()[i].Run, Status: e, Room: wire.Room{Free: capacity(8000), StartsReceived: uint64(len(l.starts()))}}
}

// Guards against failing a job before a task has failed MaxAttempts times, and against
// counting refused or lost runs as failures.
func TestJobFailsOnlyAfterMaxAttempts(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	ticket := submit(t, s, request("j", 1, 1000), begin)
	for i, e := range []wire.EndStatus{wire.EndStopped, wire.EndNoRoom, wire.EndFailed, wire.EndStopped} {
		s.HandleRunEnd("a", l, newRunEnd(l, i, e), after(time.Duration(i)*time.Millisecond))
		if a, ok := answered(ticket); ok {
			t.Fatalf("answered after %s: %+v", e, a)
		}
	}
	s.HandleRunEnd("a", l, newRunEnd(l, 4, wire.EndFailed), after(5*time.Millisecond))
	if a, ok := answered(ticket); !ok || a.Outcome != placement.Failed {
		t.Errorf("after two failed runs: got %+v, want failed", a)
	}
}

// Guards against jobs that wait although they cannot run: jobs with an unsupported feature,
// too large a need or an unknown label, and jobs at an entry without targets.
func TestInfeasibleJobsAreRefusedImmediately(t *testing.T) {
	s := placement.New(placement.Options{})
	r := request("j", 1, 1000)
	r.Job.Unsupported = "gangs"
	if _, refusal := s.Submit(r, begin); refusal == nil || refusal.Outcome != placement.Refused || !strings.Contains(refusal.Reason, "gangs") {
		t.Errorf("job with an unsupported feature: got %+v, want a refusal that names it", refusal)
	}
	big := join(s, "a", 1, begin)
	if _, refusal := s.Submit(request("big", 1, 9000), begin); refusal == nil || refusal.Outcome != placement.Refused {
		t.Errorf("task that fits no target: got %+v, want refused", refusal)
	}
	labelled := request("labelled", 1, 1000)
	labelled.Job.Steps[0].RequiredLabel = "b"
	if _, refusal := s.Submit(labelled, begin); refusal == nil {
		t.Error("a job is accepted whose label no target has")
	}
	s.LinkDown("a", big, begin)
	tickUntil(s, 0, 4*time.Second)
	if _, refusal := s.Submit(request("k", 1, 1000), after(4*time.Second)); refusal == nil || refusal.RetryAfter <= 0 {
		t.Errorf("entry without targets: got %+v, want a refusal with a retry time", refusal)
	}
}

// Guards against steps that start before the steps that they depend on are done.
func TestStepsWaitForEarlierSteps(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	r := request("j", 2, 1000)
	r.Job.Steps = append(r.Job.Steps, workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, After: []int{0}})
	ticket := submit(t, s, r, begin)
	s.HandleRunEnd("a", l, newRunEnd(l, 0, wire.EndDone), begin)
	if n := len(l.starts()); n != 2 {
		t.Fatalf("%d starts while a task of the first step runs", n)
	}
	s.HandleRunEnd("a", l, newRunEnd(l, 1, wire.EndDone), begin)
	if n := len(l.starts()); n != 3 || l.starts()[2].Run.Task.Step != 1 {
		t.Fatalf("%d starts, want 3, the last of the second step", n)
	}
	s.HandleRunEnd("a", l, newRunEnd(l, 2, wire.EndDone), begin)
	if a, ok := answered(ticket); !ok || a.Outcome != placement.Done {
		t.Errorf("after all tasks are done: got %+v, want done", a)
	}
}

// Guards against reporting a job whose answer would be useless to agents as the most urgent
// one.
func TestTooLateJobIsLeastUrgent(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	submit(t, s, request("j", 2, 5000), begin) // capacity for one task only
	tickUntil(s, 0, 3*time.Second)
	var last *wire.Backlog
	for _, m := range l.sent {
		if b, ok := m.(*wire.Backlog); ok {
			last = b
		}
	}
	if last == nil || last.Tasks != 1 || last.Urgency < time.Hour {
		t.Errorf("last backlog: got %+v, want one task that is not urgent", last)
	}
}

// Guards against a target that stays unused for a second because it refused several starts
// that were in flight together.
func TestConcurrentRefusalsCountOnce(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	submit(t, s, request("j", 6, 1000), begin)
	for i := range 6 {
		s.HandleRunEnd("a", l, newRunEnd(l, i, wire.EndNotRun), begin)
	}
	tickUntil(s, 0, 70*time.Millisecond)
	if n := len(l.starts()); n != 12 {
		t.Errorf("%d starts 70 ms after the refusals, want 12", n)
	}
}

// Guards against running a job twice when it is submitted again before the entry has
// noticed that the first connection is broken.
func TestResubmittedJobRunsOnce(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	first := submit(t, s, request("j", 1, 1000), begin)
	again := submit(t, s, request("j", 1, 1000), after(10*time.Millisecond))
	if n := len(l.starts()); n != 1 {
		t.Fatalf("%d starts, want 1", n)
	}
	first.Cancel(after(20 * time.Millisecond))
	if a, ok := answered(first); !ok || a.Outcome != placement.Cancelled || l.stops() != 0 {
		t.Errorf("first caller: got %+v and %d stops, want cancelled and 0", a, l.stops())
	}
	s.HandleRunEnd("a", l, newRunEnd(l, 0, wire.EndDone), after(30*time.Millisecond))
	if a, ok := answered(again); !ok || a.Outcome != placement.Done {
		t.Errorf("second caller: got %+v, want done", a)
	}
}

// Guards against a stopping entry that refuses jobs it has time for, and against one that
// accepts jobs it would have to abandon.
func TestStoppingEntryAcceptsJobsThatEndInTime(t *testing.T) {
	s := placement.New(placement.Options{})
	join(s, "a", 1, begin)
	s.SetStopDeadline(after(5700 * time.Millisecond))
	short := request("0000000000000001", 1, 100)
	short.Deadline = after(8 * time.Second)
	submit(t, s, short, after(5*time.Second))
	long := request("0000000000000002", 1, 100)
	long.Job.Steps[0].Estimate = 2 * time.Second
	long.Deadline = after(8 * time.Second)
	if _, refusal := s.Submit(long, after(3*time.Second)); refusal == nil || refusal.Outcome != placement.Refused || refusal.RetryAfter <= 0 {
		t.Errorf("job that ends after the stop: got %+v, want a refusal with a retry time", refusal)
	}
	short.Job.ID = "0000000000000003"
	if _, refusal := s.Submit(short, after(5600*time.Millisecond)); refusal == nil {
		t.Error("a job is accepted 100 ms before the stop")
	}
}

// Guards against slow heartbeats on a link while this entry has a run in flight: a lost
// agent would be noticed too late for the run's task.
func TestLinkWithRunsIsNotIdle(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	if !s.Idle("a") || !s.Idle("unknown") {
		t.Error("an agent without runs is not idle")
	}
	submit(t, s, request("0000000000000001", 1, 100), begin)
	if s.Idle("a") {
		t.Error("an agent with a run is idle")
	}
	s.HandleRunEnd("a", l, &wire.RunEnd{Run: l.starts()[0].Run, Status: wire.EndDone}, after(time.Second))
	if !s.Idle("a") {
		t.Error("an agent is not idle after the end of its run")
	}
}

// Guards against agents that order entries by an outdated backlog: if the agents have been
// sent a backlog, each start carries what remains of it.
func TestStartsCarryBacklog(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	for _, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003"} {
		submit(t, s, request(id, 1, 8000), begin)
	}
	if starts := l.starts(); len(starts) != 1 || starts[0].Backlog != nil {
		t.Fatalf("first start: got %+v, want one without a backlog", starts)
	}
	at := after(100 * time.Millisecond)
	s.HandleRunEnd("a", l, &wire.RunEnd{Run: l.starts()[0].Run, Status: wire.EndDone, Room: wire.Room{Free: capacity(8000), StartsReceived: 1}}, at)
	starts := l.starts()
	if len(starts) != 2 || starts[1].Backlog == nil || starts[1].Backlog.Tasks != 1 || starts[1].Backlog.MinNeed.CPU != 8000 {
		t.Fatalf("second start: got %+v, want a backlog of one task", starts)
	}
	s.HandleRunEnd("a", l, &wire.RunEnd{Run: starts[1].Run, Status: wire.EndDone, Room: wire.Room{Free: capacity(8000), StartsReceived: 2}}, at)
	if starts = l.starts(); len(starts) != 3 || starts[2].Backlog != nil && starts[2].Backlog.Tasks != 0 {
		t.Errorf("last start: got %+v, want no waiting task", starts)
	}
}

// Guards against a start on a target that may have shrunk unseen, where targets start what does
// not fit; where they refuse it, waiting for a report would only cost time.
func TestStaleCapacityIsNotUsedUnguarded(t *testing.T) {
	for _, unguarded := range []bool{false, true} {
		s := placement.New(placement.Options{})
		l := &recordingLink{}
		s.LinkUp("a", 1, l)
		stale := state("a", 8000, 8000)
		stale.CapacityStale = true
		s.HandleState("a", l, stale, begin)
		r := request("j", 1, 1000)
		r.Route.Unguarded = unguarded
		submit(t, s, r, begin)
		if started := len(l.starts()) > 0; started == unguarded {
			t.Errorf("unguarded %t: started %t on a target with stale capacity", unguarded, started)
		}
		s.HandleState("a", l, state("a", 8000, 8000), begin)
		if len(l.starts()) != 1 {
			t.Errorf("unguarded %t: %d starts once the capacity is known, want 1", unguarded, len(l.starts()))
		}
	}
}
