package outlier

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

var epoch = time.Unix(1_700_000_000, 0)

func at(i int) time.Time { return epoch.Add(time.Duration(i) * 10 * time.Millisecond) }

// newHealthyDetector returns a detector with n targets named "0", "1" and so on, each
// with ten successful tasks of the keys "a" and "b".
func newHealthyDetector(o Options, n int) *Detector {
	d := New(o)
	for i := range 10 * n {
		d.Observe(fmt.Sprint(i%n), string(rune('a'+i/n%2)), true, second, second, at(i))
	}
	return d
}

// observeFailures records up to n failures of a target and returns the number at
// which it was ejected, or n+1.
func observeFailures(d *Detector, name, key string, n int, now time.Time) int {
	for i := range n {
		d.Observe(name, key, false, time.Millisecond, second, now)
		if d.State(name, now) == Ejected {
			return i + 1
		}
	}
	return n + 1
}

// Guards against a target that fails every task quickly and so attracts more and more
// work, whatever its earlier record, and against a disabled detector that still
// ejects.
func TestFailingTargetIsEjected(t *testing.T) {
	if n := observeFailures(newHealthyDetector(Options{}, 10), "3", "a", 32, at(200)); n > 4 {
		t.Errorf("ejected after %d failures, want at most 4", n)
	}
	if n := observeFailures(newHealthyDetector(Options{}, 10), "new", "a", 32, at(200)); n > 4 {
		t.Errorf("new target ejected after %d failures, want at most 4", n)
	}
	if n := observeFailures(newHealthyDetector(Options{Disabled: true}, 10), "3", "a", 32, at(200)); n != 33 {
		t.Errorf("ejected by a disabled detector")
	}
	spread := newHealthyDetector(Options{}, 10)
	for i := range 4 {
		observeFailures(spread, "3", "a", 1, at(200).Add(time.Duration(i)*2*time.Minute))
	}
	if got := spread.State("3", at(200)); got != Healthy {
		t.Errorf("%v after rare failures, want healthy", got)
	}
}

// Guards against ejecting targets for a caller's faulty tasks, also when one target
// happens to run the first of them, and against two targets that fail every task and
// excuse each other.
func TestBadTasksEjectNoTarget(t *testing.T) {
	d := newHealthyDetector(Options{}, 10)
	for i := range 640 {
		d.Observe(fmt.Sprint(i%10), "bad", false, second, second, at(200+i))
		d.Observe(fmt.Sprint(i*3%10), "a", true, second, second, at(200+i))
	}
	for i := range 10 {
		if got := d.State(fmt.Sprint(i), at(900)); got != Healthy {
			t.Errorf("target %d is %v", i, got)
		}
	}
	firstToRun := newHealthyDetector(Options{}, 10)
	if observeFailures(firstToRun, "3", "bad", 8, at(200)) > 8 {
		t.Fatal("not ejected for a key that ran nowhere else")
	}
	for i := 4; i < 10; i++ {
		firstToRun.Observe(fmt.Sprint(i), "bad", false, second, second, at(201))
	}
	if got := firstToRun.State("3", at(202)); got != Healthy {
		t.Errorf("%v after the key failed on six others, want healthy", got)
	}
	bothFailing := newHealthyDetector(Options{}, 10)
	for range 8 {
		observeFailures(bothFailing, "3", "a", 4, at(200))
		observeFailures(bothFailing, "4", "a", 4, at(200))
	}
	if bothFailing.State("3", at(201)) != Ejected || bothFailing.State("4", at(201)) != Ejected {
		t.Errorf("targets are %v and %v", bothFailing.State("3", at(201)), bothFailing.State("4", at(201)))
	}
}

// Guards against a target that returns to full use without a successful task, or
// never does, and against a caller with faulty tasks that keeps a target ejected.
func TestProbation(t *testing.T) {
	d := newHealthyDetector(Options{}, 10)
	now := at(200)
	observeFailures(d, "3", "a", 8, now)
	for _, backoff := range []time.Duration{2 * second, 4 * second, 8 * second} {
		d.Observe("3", "a", true, second, second, now.Add(backoff/2))
		if got := d.State("3", now.Add(backoff-1)); got != Ejected {
			t.Fatalf("%v within the backoff of %v", got, backoff)
		}
		now = now.Add(backoff)
		if got := d.State("3", now); got != Probation {
			t.Fatalf("%v after the backoff of %v", got, backoff)
		}
		d.Observe("3", "a", false, second, second, now)
	}
	now = now.Add(16 * second)
	d.Observe("5", "bad", false, second, second, now)
	d.Observe("6", "bad", false, second, second, now)
	d.Observe("3", "bad", false, second, second, now)
	if got := d.State("3", now); got != Probation {
		t.Fatalf("%v after a failure of a key that fails elsewhere, want probation", got)
	}
	d.Observe("3", "a", true, second, second, now)
	if got := d.State("3", now); got != Healthy {
		t.Fatalf("%v after a success, want healthy", got)
	}
	if n := observeFailures(d, "3", "a", 8, now); n < 4 || n > 5 {
		t.Errorf("ejected again after %d failures, want 4 or 5", n)
	}
	if d.State("3", now.Add(31*second)) != Ejected {
		t.Error("the backoff did not grow")
	}
}

// Guards against ejecting more targets than the rest can replace, and against removed
// targets that still count.
func TestEjectedShareIsBounded(t *testing.T) {
	d := newHealthyDetector(Options{MaxEjectedShare: 0.3}, 10)
	for i := range 6 {
		observeFailures(d, fmt.Sprint(i), "a", 4, at(200))
	}
	if d.restrictedCount != 3 {
		t.Errorf("%d of 10 ejected, want 3", d.restrictedCount)
	}
	d.Remove("0")
	d.Remove("1")
	if d.restrictedCount != 1 {
		t.Errorf("%d counted after removal, want 1", d.restrictedCount)
	}
	for i := range 10 {
		d.Remove(fmt.Sprint(i))
	}
	if len(d.keys)+len(d.targets)+d.restrictedCount != 0 {
		t.Errorf("left after removal: %d keys, %d targets, %d ejected", len(d.keys), len(d.targets), d.restrictedCount)
	}
	single := New(Options{})
	if n := observeFailures(single, "only", "a", 40, epoch); n != 41 {
		t.Error("the only target was ejected")
	}
	if n := len(single.targets["only"].window); n != windowSize {
		t.Errorf("window has %d outcomes, want windowSize", n)
	}
}

// Guards against placing tasks on slow targets, against mistaking an error common to
// all estimates for slowness, and against ejecting a target for one straggler.
func TestSpeed(t *testing.T) {
	d := newHealthyDetector(Options{}, 10)
	d.Observe("3", "a", true, 1000*second, second, at(100))
	d.Observe("new", "a", true, 1000*second, second, at(100))
	if d.State("3", at(100)) != Healthy || d.State("new", at(100)) != Healthy {
		t.Error("ejected for one straggler")
	}
	d.Remove("new")
	for i := range 400 {
		run := 3 * second
		switch i % 10 {
		case 3:
			run = 6 * second
		case 4:
			run = 30 * second
		}
		d.Observe(fmt.Sprint(i%10), "a", true, run, second, at(200+i))
	}
	now := at(610)
	if w := d.Weight("3"); w < 0.5 || w > 0.7 {
		t.Errorf("weight %v at half the speed, want 0.5 to 0.7", w)
	}
	if w := d.Weight("5"); w < 0.95 || d.Weight("unknown") != 1 {
		t.Errorf("weight %v at the median, want at least 0.95, and 1 for an unknown target", w)
	}
	if d.State("4", now) == Healthy || d.State("3", now) != Healthy || d.State("5", now) != Healthy {
		t.Errorf("states %v, %v, %v, want only the first not healthy", d.State("4", now), d.State("3", now), d.State("5", now))
	}
	now = now.Add(2 * time.Minute)
	d.Observe("4", "a", true, 30*second, second, now)
	if got := d.State("4", now); got != Ejected {
		t.Errorf("%v after a task that was slow again, want ejected", got)
	}
	now = now.Add(2 * time.Minute)
	d.Observe("4", "a", true, 3*second, second, now)
	if d.State("4", now) != Healthy || d.Weight("4") != 1 {
		t.Errorf("%v with weight %v after a quick task, want healthy with 1", d.State("4", now), d.Weight("4"))
	}
}
