package dispatch

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/admission"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
)

// Guards against an answer with missing, reordered or duplicate results.
func TestAnswerIsCompleteAndInOrder(t *testing.T) {
	f := newFleet(t, 2, 3, 8, settings.Policy{})
	ticket := f.submit(0, spec(100, 50*time.Millisecond))
	f.advance(2 * time.Second)
	a, ok := pollAnswer(ticket)
	if !ok || a.Err != nil || len(a.Results) != 100 {
		t.Fatalf("answer %v, %d results, error %v", ok, len(a.Results), a.Err)
	}
	for i, r := range a.Results {
		id := ticket.ID()
		if want := (taskID(id, i)).String(); string(r) != want {
			t.Errorf("result %d is %s, want %s", i, r, want)
		}
	}
	f.checkStarts()
}

// Guards against a start that is sent again although the first message arrived, and
// against one that is abandoned although it never arrived.
func TestLostStartsAreResolvedByQuery(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	f.agents[0].dropStarts = true
	ticket := f.submit(0, spec(4, 300*time.Millisecond))
	f.advance(100 * time.Millisecond)
	f.agents[0].dropStarts = false
	f.agents[0].disconnect(f.entries[0])
	f.advance(time.Second)
	f.agents[0].connect(f.entries[0])
	f.advance(2 * time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}

// Guards against a second run of a task whose link was lost while it ran.
func TestRunningTaskSurvivesReconnect(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	ticket := f.submit(0, spec(16, 3*time.Second))
	f.advance(500 * time.Millisecond)
	f.agents[0].disconnect(f.entries[0])
	f.advance(time.Second)
	f.agents[0].connect(f.entries[0])
	f.advance(3 * time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Fatalf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}

// Guards against an answer that claims "not run", or arrives only at the deadline,
// after an agent has died with tasks in flight.
func TestLostAgentEndsItsJobsAsUnknown(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	ticket := f.submit(0, spec(2, 20*time.Second))
	f.advance(100 * time.Millisecond)
	f.agents[0].down = true
	f.agents[0].disconnect(f.entries[0])
	f.advance(targetLossTimeout + time.Second)
	a, ok := pollAnswer(ticket)
	if !ok || a.Err == nil || a.Err.Code != result.TargetLost || a.Err.Ran != result.RanUnknown {
		t.Fatalf("answered %v, error %+v; want TargetLost with RanUnknown", ok, a.Err)
	}
}

// Guards against a job that waits until its deadline although no target matches it.
func TestJobThatMatchesNoTargetFailsAtOnce(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	_, refusal := f.entries[0].s.Submit(withLabel(spec(1, time.Second), "kind", "panorama"), false, f.now)
	if refusal == nil || refusal.Code != result.NoMatchingTarget || refusal.Ran != result.NotRun {
		t.Fatalf("refusal %v, want no_matching_target and not run", refusal)
	}
}

// Guards against slots that stay granted to entries without work while tasks of
// another entry wait.
func TestUnusedGrantsMoveToTheEntryWithWork(t *testing.T) {
	f := newFleet(t, 3, 4, 8, settings.Policy{})
	ticket := f.submit(1, spec(32, time.Second))
	f.advance(1500 * time.Millisecond)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Fatalf("32 tasks on 32 slots: answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}

// Guards against long tasks that delay short ones which arrive later.
func TestShortJobOvertakesWaitingLongJob(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	long := f.submit(0, spec(64, 2*time.Second))
	f.advance(100 * time.Millisecond)
	short := f.submit(0, spec(1, 100*time.Millisecond))
	f.advance(2500 * time.Millisecond)
	if _, ok := pollAnswer(short); !ok {
		t.Error("the short job waits behind the long one")
	}
	f.advance(20 * time.Second)
	if _, ok := pollAnswer(long); !ok {
		t.Error("the long job was not answered")
	}
}

// Guards against jobs, slots or grants that are leaked when many jobs are cancelled
// at once.
func TestCancelledJobsLeaveNoState(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	var tickets []*Ticket
	for range 10_000 {
		j := spec(2, 200*time.Millisecond)
		j.Deadline = 10 * time.Minute // long enough for every job
		tickets = append(tickets, f.submit(0, j))
	}
	f.advance(100 * time.Millisecond)
	for _, ticket := range tickets {
		ticket.Cancel(f.now)
	}
	f.advance(2 * time.Second)
	s := f.entries[0].s
	if used := s.admission.Usage(); used != (admission.Usage{}) {
		t.Errorf("the admission limits still count %+v", used)
	}
	if len(s.jobs) != 0 || s.queue.Len() != 0 || s.inFlight != 0 || len(s.expiry) > compactMinimum {
		t.Errorf("remaining: %d jobs, %d queued, %d tasks in flight, %d jobs in the expiry heap", len(s.jobs), s.queue.Len(), s.inFlight, len(s.expiry))
	}
	after := f.submit(0, spec(16, 100*time.Millisecond))
	f.advance(500 * time.Millisecond)
	if a, ok := pollAnswer(after); !ok || a.Err != nil {
		t.Errorf("a job after the cancellations: answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}

// Guards against a push binding that loses tasks, which would invalidate
// comparisons with it.
func TestPushBaselinesAnswerEveryJob(t *testing.T) {
	for _, binding := range []string{bindingRandom, bindingTwoChoices} {
		f := newFleet(t, 2, 4, 8, settings.Policy{Binding: binding, Order: "fifo"})
		var tickets []*Ticket
		for i := range 20 {
			tickets = append(tickets, f.submit(i%2, spec(8, 100*time.Millisecond)))
		}
		f.agents[1].disconnect(f.entries[0])
		f.advance(time.Second)
		f.agents[1].connect(f.entries[0])
		f.advance(10 * time.Second)
		for i, ticket := range tickets {
			if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
				t.Errorf("%s: job %d: answered %v, error %v; want an answer without an error", binding, i, ok, a.Err)
			}
		}
		f.checkStarts()
	}
}

// Guards against identities and outcomes that agents keep after the jobs have
// ended.
func TestAgentsForgetEndedJobs(t *testing.T) {
	f := newFleet(t, 2, 2, 8, settings.Policy{})
	for range 50 {
		f.submit(0, spec(8, 50*time.Millisecond))
		f.submit(1, spec(8, 50*time.Millisecond))
		f.advance(200 * time.Millisecond)
	}
	f.advance(2 * lowWatermarkInterval)
	for _, a := range f.agents {
		if s := a.table.Stats(f.now); s.Identities != 0 || s.Retained != 0 {
			t.Errorf("%s remembers %d identities and %d outcomes", a.name, s.Identities, s.Retained)
		}
	}
}
