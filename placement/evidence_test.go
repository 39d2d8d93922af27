package placement_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Guards against a second run of a task while the first may continue on an agent without a
// link.
func TestRunsOfLostAgentWaitForLease(t *testing.T) {
	s := placement.New(placement.Options{LostRunTimeout: 1200 * time.Millisecond})
	first := join(s, "a", 1, begin)
	submit(t, s, request("j", 1, 1000), begin)
	if len(first.starts()) != 1 {
		t.Fatalf("%d starts, want 1", len(first.starts()))
	}
	second := join(s, "b", 1, begin)
	s.LinkDown("a", first, after(100*time.Millisecond))
	tickUntil(s, 100*time.Millisecond, 1290*time.Millisecond)
	if n := len(second.starts()); n != 0 {
		t.Fatalf("%d starts elsewhere before the lease ended", n)
	}
	tickUntil(s, 1300*time.Millisecond, 1320*time.Millisecond)
	starts := second.starts()
	if len(starts) != 1 || starts[0].Run.Attempt != 2 {
		t.Errorf("starts after the lease: got %+v, want one with attempt 2", starts)
	}
}

// Guards against waiting for the lease after a new incarnation of the agent has reported
// its state, which means that no earlier run is left, and against restarts before that.
func TestNewAgentIncarnationEndsEarlierRuns(t *testing.T) {
	s := placement.New(placement.Options{})
	first := join(s, "a", 1, begin)
	submit(t, s, request("j", 1, 1000), begin)
	s.LinkDown("a", first, after(10*time.Millisecond))
	next := &recordingLink{}
	s.LinkUp("a", 2, next)
	s.Tick(after(20 * time.Millisecond))
	if n := len(next.starts()); n != 0 {
		t.Fatalf("%d starts before the new agent reported its state", n)
	}
	s.HandleState("a", next, state("a", 8000, 8000), after(30*time.Millisecond))
	if n := len(next.starts()); n != 1 {
		t.Errorf("%d starts after the new agent reported its state, want 1", n)
	}
	if s.LinkUp("a", 1, first) {
		t.Error("a link of an earlier incarnation is accepted")
	}
}

// Guards against an entry that starts tasks after a pause of its process: the callers may have been
// served elsewhere, and whichever message it reads first must not start what waited before.
func TestPausedEntryStartsNothing(t *testing.T) {
	for name, event := range map[string]func(*placement.Scheduler, *recordingLink){
		"room": func(s *placement.Scheduler, l *recordingLink) {
			s.HandleRoom("a", l, &wire.Room{Free: capacity(8000)}, after(time.Second))
		},
		"state": func(s *placement.Scheduler, l *recordingLink) {
			s.HandleState("a", l, state("a", 8000, 8000), after(time.Second))
		},
		"tick": func(s *placement.Scheduler, _ *recordingLink) { s.Tick(after(time.Second)) },
		"submit": func(s *placement.Scheduler, _ *recordingLink) {
			s.Submit(request("other", 1, 1000), after(time.Second))
		},
		"end": func(s *placement.Scheduler, l *recordingLink) {
			s.HandleRunEnd("a", l, &wire.RunEnd{Run: l.starts()[0].Run, Status: wire.EndDone, Room: wire.Room{Free: capacity(8000)}}, after(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			paused := false
			s := placement.New(placement.Options{Paused: func() bool { p := paused; paused = false; return p }})
			l := join(s, "a", 1, begin)
			submit(t, s, request("full", 1, 8000), begin)
			waiting := submit(t, s, request("waits", 1, 8000), begin)
			before := len(l.starts())
			paused = true
			event(s, l)
			a, ok := answered(waiting)
			if len(l.starts()) != before || !ok || a.Outcome != placement.Refused {
				t.Errorf("%d starts after the pause, answer %+v (%t); want none and a refusal", len(l.starts())-before, a, ok)
			}
			submit(t, s, request("later", 1, 1000), after(1100*time.Millisecond))
		})
	}
}

// Guards against runs that stay in the books after their agent's link was lost for a moment: the agent
// stops them, and their ends are lost with the link. Their jobs would wait for nothing, and the target
// would be distrusted for good as its runs are overdue.
func TestRunsThatReturnedAgentDoesNotHaveHaveEnded(t *testing.T) {
	s := placement.New(placement.Options{LostRunTimeout: 1200 * time.Millisecond})
	l := join(s, "a", 1, begin)
	submit(t, s, request("lost", 1, 1000), begin)
	submit(t, s, request("kept", 1, 1000), begin)
	kept := l.starts()[1].Run
	s.LinkDown("a", l, after(100*time.Millisecond))
	next := &recordingLink{}
	s.LinkUp("a", 1, next)
	tickUntil(s, 100*time.Millisecond, 200*time.Millisecond)
	if n := len(next.starts()); n != 0 {
		t.Fatalf("%d starts before the agent has reported what it has", n)
	}
	m := state("a", 8000, 7000)
	m.Runs = []workload.RunID{kept}
	s.HandleState("a", next, m, after(200*time.Millisecond))
	starts := next.starts()
	if len(starts) != 1 || starts[0].Run.Task.Job != "lost" || starts[0].Run.Attempt != 2 {
		t.Fatalf("starts after the agent has reported: %+v, want the second attempt of the lost one", starts)
	}
	// Later states name no runs, which proves nothing.
	s.HandleState("a", next, state("a", 8000, 6000), after(300*time.Millisecond))
	if n := len(next.starts()); n != 1 || s.Load().Runs != 2 {
		t.Errorf("%d starts and %+v after a later state, want one start and two runs", n, s.Load())
	}
}

// Guards against a job that is sent again to the same entry and starts while a run of its earlier
// request is still at work: the caller had left, and the stop of the run has no response yet.
func TestResubmittedJobWaitsForItsEarlierRuns(t *testing.T) {
	s := placement.New(placement.Options{})
	a := join(s, "a", 1, begin)
	first := submit(t, s, request("j", 1, 1000), begin)
	first.Cancel(after(100 * time.Millisecond))
	b := join(s, "b", 1, after(100*time.Millisecond))
	submit(t, s, request("j", 1, 1000), after(200*time.Millisecond))
	submit(t, s, request("other", 1, 1000), after(200*time.Millisecond))
	tickUntil(s, 200*time.Millisecond, 300*time.Millisecond)
	for _, m := range append(a.starts()[1:], b.starts()...) {
		if m.Run.Task.Job == "j" {
			t.Fatalf("%v starts before the earlier run has ended", m.Run)
		}
	}
	s.HandleRunEnd("a", a, &wire.RunEnd{Run: a.starts()[0].Run, Status: wire.EndStopped, Room: wire.Room{Free: capacity(8000)}}, after(400*time.Millisecond))
	started := 0
	for _, m := range append(a.starts()[1:], b.starts()...) {
		if m.Run.Task.Job == "j" {
			started++
		}
	}
	if started != 1 {
		t.Errorf("%d starts after the earlier run has ended, want 1", started)
	}
}
