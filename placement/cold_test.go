package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// joinCold links an agent whose target is cold for another while.
func joinCold(s *placement.Scheduler, name string, left time.Duration, now time.Time) *recordingLink {
	l := &recordingLink{}
	s.LinkUp(name, 1, l)
	m := state(name, 8000, 8000)
	m.ColdLeft, m.FailureDomain = left, "d1"
	s.HandleState(name, l, m, now)
	return l
}

// Guards against urgent or long tasks on a target that is slow after its start while a warm one has
// free capacity, and against tasks that wait although only the cold one is free.
func TestUrgentAndLongTasksPreferWarmTargets(t *testing.T) {
	for _, c := range []struct {
		priority int
		estimate time.Duration
	}{{0, 55 * time.Millisecond}, {2, 800 * time.Millisecond}} {
		s := placement.New(placement.Options{})
		cold, warm := joinCold(s, "a", 10*time.Second, begin), join(s, "b", 1, begin)
		r := request("1", 6, 2000)
		r.Route.Priority, r.Job.Steps[0].Estimate = c.priority, c.estimate
		submit(t, s, r, begin)
		if len(warm.starts()) != 4 || len(cold.starts()) != 2 {
			t.Errorf("priority %d, %s: %d starts on the warm target, %d on the cold one; want 4, which fill it, and 2", c.priority, c.estimate, len(warm.starts()), len(cold.starts()))
		}
	}
}

// Guards against more tasks on a cold target than it takes without harm, and against a limit that
// outlasts its cold time.
func TestColdTargetTakesFewTasks(t *testing.T) {
	s := placement.New(placement.Options{})
	l := joinCold(s, "a", time.Second, begin)
	r := request("1", 4, 2000)
	r.Route.Priority, r.Route.ColdRate, r.Route.ColdStart = 1, 5, time.Second
	submit(t, s, r, begin)
	for _, c := range []struct {
		until time.Duration
		most  int
	}{{190 * time.Millisecond, 1}, {390 * time.Millisecond, 2}, {1050 * time.Millisecond, 4}} {
		tickUntil(s, 0, c.until)
		if n := len(l.starts()); n != c.most {
			t.Errorf("%d starts after %s, want %d", n, c.until, c.most)
		}
	}
}

// Guards against a rush to the targets of a domain whose evacuation was revoked, before they report
// that they are cold.
func TestTargetsAreColdRightAfterRevocation(t *testing.T) {
	s := placement.New(placement.Options{})
	l := joinCold(s, "a", 0, begin)
	warm := joinIn(s, "b", "d2", begin)
	s.SetEvacuations(evacuation.New(1, []string{"d1"}), begin)
	s.SetEvacuations(evacuation.New(2, nil), after(time.Minute))
	r := request("1", 8, 2000)
	r.Route.Priority, r.Route.ColdRate, r.Route.ColdStart, r.Deadline = 1, 5, 10*time.Second, after(2*time.Minute)
	submit(t, s, r, after(time.Minute))
	if len(l.starts()) != 1 || len(warm.starts()) != 4 {
		t.Errorf("%d starts on the target whose evacuation was revoked, %d on the other one; want 1 and 4", len(l.starts()), len(warm.starts()))
	}
}

// Guards against a target that is distrusted because it is slow while it is cold. A warm one is.
func TestSlownessOfColdTargetIsNoFault(t *testing.T) {
	for _, left := range []time.Duration{time.Minute, 0} {
		s := placement.New(placement.Options{})
		l := joinCold(s, "a", left, begin)
		fast := join(s, "b", 1, begin)
		for _, full := range []string{"c", "d"} { // at most half of the targets are distrusted
			other := &recordingLink{}
			s.LinkUp(full, 1, other)
			s.HandleState(full, other, state(full, 8000, 0), begin)
		}
		now := begin
		for i := range 8 {
			r := request(fmt.Sprint(i), 2, 2000)
			r.Job.Steps[0].MaxPerTarget, r.Deadline = 1, now.Add(20*time.Second)
			submit(t, s, r, now)
			if len(l.starts()) != i+1 || len(fast.starts()) != i+1 {
				break
			}
			now = now.Add(100 * time.Millisecond)
			end := func(name string, link *recordingLink, took time.Duration) {
				s.HandleRunEnd(name, link, &wire.RunEnd{
					Run: link.starts()[i].Run, Status: wire.EndDone, RunTime: took, Room: wire.Room{Free: capacity(8000), StartsReceived: uint64(i + 1)},
				}, now)
			}
			end("b", fast, 100*time.Millisecond)
			now = now.Add(800 * time.Millisecond)
			end("a", l, 900*time.Millisecond)
		}
		if all := len(l.starts()) == 8; all != (left > 0) {
			t.Errorf("%d starts on a target that is cold for %s", len(l.starts()), left)
		}
	}
}
