package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// joinKnown links an agent whose target has a speed that earlier placers have learnt, and a rack.
func joinKnown(s *placement.Scheduler, name string, speed float64, rack string, free int64) *recordingLink {
	l := &recordingLink{}
	s.LinkUp(name, 1, l)
	m := state(name, 8000, free)
	m.Labels = []string{"kind", rack}
	m.Speed = &wire.TargetSpeed{Log: math.Log(speed), Runs: 10}
	s.HandleState(name, l, m, begin)
	s.Tick(begin)
	return l
}

// slowAndFast returns a scheduler with a target of speed 0.55 that is free and three of 1.2 that are
// full.
func slowAndFast() (s *placement.Scheduler, slow, fast *recordingLink) {
	s = placement.New(placement.Options{})
	slow = joinKnown(s, "slow", 0.55, "r1", 8000)
	fast = joinKnown(s, "fast", 1.2, "r2", 0)
	joinKnown(s, "fast2", 1.2, "r2", 0)
	joinKnown(s, "fast3", 1.2, "r2", 0)
	tickUntil(s, 0, 200*time.Millisecond)
	return s, slow, fast
}

func lasting(id string, estimate time.Duration) placement.Request {
	r := request(id, 1, 1000)
	r.Job.Steps[0].Estimate = estimate
	return r
}

// Guards against long tasks that miss their objective on a slow target although a fast one is
// about to have room: a task of 0.76 s takes 1.4 s at a speed of 0.55, and its objective is 1.28 s.
// One of 0.05 s is in time there, and leaves the fast target to the long one.
func TestLongTaskWaitsForFastTarget(t *testing.T) {
	s, slow, fast := slowAndFast()
	at := after(210 * time.Millisecond)
	submit(t, s, lasting("0000000000000001", 760*time.Millisecond), at)
	submit(t, s, lasting("0000000000000002", 50*time.Millisecond), at)
	if starts := slow.starts(); len(starts) != 1 || starts[0].Run.Task.Job != "0000000000000002" {
		t.Fatalf("%d starts on the slow target, want the short task only", len(starts))
	}
	s.HandleRoom("fast", fast, &wire.Room{Free: capacity(8000)}, at)
	if starts := fast.starts(); len(starts) != 1 || starts[0].Run.Task.Job != "0000000000000001" {
		t.Fatalf("%d starts on the fast target, want the long task", len(starts))
	}
}

// Guards against a long task that waits for a fast target for ever: it starts on the slow one
// when its answer would be late anywhere but still useful there.
func TestLongTaskStartsOnSlowTargetInTheEnd(t *testing.T) {
	s, slow, _ := slowAndFast()
	submit(t, s, lasting("0000000000000001", 760*time.Millisecond), after(210*time.Millisecond))
	tickUntil(s, 220*time.Millisecond, 3*time.Second)
	if n := len(slow.starts()); n != 1 {
		t.Fatalf("%d starts on the slow target, want 1", n)
	}
}

// Guards against a task that waits for a fast target although all that are fast enough are too small for it:
// a fleet of fast small targets and a slow large one.
func TestTaskThatFitsSlowTargetOnlyStartsThere(t *testing.T) {
	s, _, _ := slowAndFast()
	large := &recordingLink{}
	s.LinkUp("large", 1, large)
	m := state("large", 16000, 16000)
	m.Speed = &wire.TargetSpeed{Log: math.Log(0.55), Runs: 10}
	s.HandleState("large", large, m, after(205*time.Millisecond))
	r := lasting("0000000000000001", 760*time.Millisecond)
	r.Job.Steps[0].Need.CPU = 10000
	submit(t, s, r, after(210*time.Millisecond))
	if n := len(large.starts()); n != 1 {
		t.Errorf("%d starts on the only target that is large enough, want 1", n)
	}
}

// Guards against tasks that run away from their data at three times the run time although their
// rack is about to have room, and against tasks that wait for a rack although they would be in
// time elsewhere.
func TestTaskWaitsForItsRackByExpectedEnd(t *testing.T) {
	for _, c := range []struct {
		far   float64
		waits bool
	}{{3, true}, {1.1, false}} {
		s := placement.New(placement.Options{FarFactor: c.far})
		joinKnown(s, "in-rack", 1, "r1", 0)
		elsewhere := joinKnown(s, "elsewhere", 1, "r2", 8000)
		tickUntil(s, 0, 200*time.Millisecond)
		r := lasting("0000000000000001", 200*time.Millisecond)
		r.Job.Steps[0].DataRack = "r1"
		submit(t, s, r, after(210*time.Millisecond))
		if waits := len(elsewhere.starts()) == 0; waits != c.waits {
			t.Errorf("factor %.1f: the task waits: %t, want %t", c.far, waits, c.waits)
		}
	}
}

// Guards against a placer that tells agents nothing of what it has learnt, so that the next one
// starts long tasks on slow targets until it has learnt it again, and against a speed that is kept
// for a target of another size.
func TestSpeedIsPassedOn(t *testing.T) {
	f := newDeployment(1, secondDeployment())
	f.load(5*time.Second, secondDeployment().load)
	for _, h := range f.hosts {
		if h.told == nil {
			t.Fatalf("%s was told nothing", h.name)
		}
		if slow := h.told.Log < -0.35; slow != (h.speed < 1) {
			t.Errorf("%s of speed %.2f was told %.2f", h.name, h.speed, math.Exp(h.told.Log))
		}
	}
	s, slow, _ := slowAndFast()
	larger := state("slow", 16000, 16000)
	s.HandleState("slow", slow, larger, after(210*time.Millisecond))
	submit(t, s, lasting("0000000000000001", 760*time.Millisecond), after(220*time.Millisecond))
	if n := len(slow.starts()); n != 1 {
		t.Errorf("%d starts on a target of another size, want 1", n)
	}
}

// Guards against steady slow targets, and runs away from their data, that count as faulty: with
// speeds of 0.55 beside 1.2, siblings that differ by 15% and three times the run time in another
// rack, no target is ejected and no run is stopped.
func TestSteadySlowTargetsAreNotFaulty(t *testing.T) {
	d := secondDeployment()
	f := newDeployment(1, d)
	f.load(loadDuration, func(int, time.Duration) float64 { return 0.6 })
	f.run(drainDuration)
	if f.ejections > 0 || f.stopped > 0 {
		t.Errorf("%d targets were ejected and %d runs stopped, want none", f.ejections, f.stopped)
	}
}

// Guards against a task that waits for a fast target on which it may not run.
func TestTaskWithLabelOfSlowTargetsStarts(t *testing.T) {
	s, slow, _ := slowAndFast()
	r := lasting("0000000000000001", 760*time.Millisecond)
	r.Job.Steps[0].RequiredLabel = "r1"
	submit(t, s, r, after(210*time.Millisecond))
	if n := len(slow.starts()); n != 1 {
		t.Errorf("%d starts on the only target with the label, want 1", n)
	}
}

// Guards against a run that goes on although its siblings show that it takes seven times as long as
// usual, and against a second restart of the same task; and against a restart of the tasks of a job
// that are all long.
func TestStragglerIsRestartedOnce(t *testing.T) {
	s := placement.New(placement.Options{})
	links := map[string]*recordingLink{}
	for _, name := range []string{"a", "b"} {
		links[name] = joinKnown(s, name, 1, "r1", 8000)
	}
	r := request("0000000000000001", 2, 5000)
	submit(t, s, r, begin)
	if len(links["a"].starts()) != 1 || len(links["b"].starts()) != 1 {
		t.Fatal("the tasks did not start on both targets")
	}
	end := newRunEnd(links["a"], 0, wire.EndDone)
	end.RunTime = 100 * time.Millisecond
	s.HandleRunEnd("a", links["a"], end, after(100*time.Millisecond))
	tickUntil(s, 100*time.Millisecond, 240*time.Millisecond)
	if n := links["b"].stops(); n != 0 {
		t.Fatalf("%d stops after 0.24 s, want none", n)
	}
	tickUntil(s, 250*time.Millisecond, 340*time.Millisecond)
	if n := links["b"].stops(); n != 1 {
		t.Fatalf("%d stops after 0.34 s, want 1", n)
	}
	if n := len(links["a"].starts()); n != 1 {
		t.Fatalf("the task started again before its end was listed")
	}
	s.HandleRunEnd("b", links["b"], newRunEnd(links["b"], 0, wire.EndStopped), after(350*time.Millisecond))
	if n := len(links["a"].starts()); n != 2 {
		t.Fatalf("%d starts on the other target, want a second one", n)
	}
	tickUntil(s, 360*time.Millisecond, 900*time.Millisecond)
	if n := links["a"].stops(); n != 0 {
		t.Errorf("the task was stopped a second time")
	}
}

// Guards against a started job that keeps its capacity although its answer will be useless, while
// others wait; a job as long as its longest run so far may still be useful.
func TestHopelessJobReleasesCapacity(t *testing.T) {
	s := placement.New(placement.Options{})
	l := joinKnown(s, "a", 1, "r1", 8000)
	hopeless := submit(t, s, request("0000000000000001", 3, 8000), begin)
	submit(t, s, request("0000000000000002", 1, 8000), after(500*time.Millisecond))
	s.HandleRunEnd("a", l, newRunEnd(l, 0, wire.EndStopped), after(600*time.Millisecond))
	tickUntil(s, 610*time.Millisecond, 1500*time.Millisecond)
	if a, ok := answered(hopeless); !ok || a.Outcome != placement.Expired {
		t.Errorf("got %+v, want expired: a task has run", a)
	}
}
