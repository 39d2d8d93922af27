package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// newSupply returns a Supply with 100 cores in flight of runs of 100 ms that take as long as expected.
func newSupply() *Supply {
	s := NewSupply()
	s.Age(epoch)
	for range 100 {
		s.Started("C", false, 1000, 100*time.Millisecond, 500*time.Millisecond)
	}
	return s
}

// Guards against refusals on a guess: without runs in flight nothing is known of the capacity.
func TestWaitWithoutKnownRateIsZero(t *testing.T) {
	if w := NewSupply().Wait(1e9, time.Second); w != 0 {
		t.Errorf("wait %v, want 0", w)
	}
}

// Guards against a rate that drifts away from the capacity since starts and ends are not counted alike.
func TestRateFollowsRunsInFlight(t *testing.T) {
	s := newSupply()
	for range 100 {
		s.Ended(1000, 100*time.Millisecond, 0)
	}
	if r := s.Rate(); r != 0 {
		t.Errorf("rate %v after all runs ended, want 0", r)
	}
}

// Load: targets half as fast as estimated. Guards against forecasts that trust declared run times.
func TestRateCountsActualRunTimes(t *testing.T) {
	s := newSupply()
	for range 50 {
		s.Ended(1000, 100*time.Millisecond, 200*time.Millisecond)
	}
	if r := s.Rate(); r != 25_000 {
		t.Errorf("rate %v, want half of 50 cores", r)
	}
}

// Load: a burst of short jobs. Guards against long jobs that are kept although short ones overtake
// them for all of their time.
func TestWaitCountsOvertakers(t *testing.T) {
	s := newSupply()
	alone := s.Wait(50_000, 500*time.Millisecond) // half a second of work, and nothing overtakes
	if alone != 500*time.Millisecond {
		t.Errorf("wait %v, want 500ms", alone)
	}
	// Jobs that start 10 cores' work a second overtake for 1 s: 0.1 of the rate of 100 cores.
	if w := s.Wait(50_000, 1500*time.Millisecond); w < 550*time.Millisecond || w > 560*time.Millisecond {
		t.Errorf("wait %v, want 555ms", w)
	}
}

// Guards against early refusals: an arriving job is kept until even 0.4 of the expected wait is too long.
func TestHopelessKeepsMargin(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want bool
	}{{2400 * time.Millisecond, false}, {2600 * time.Millisecond, true}} {
		if got := waitingJob.Hopeless(epoch, c.wait); got != c.want {
			t.Errorf("expected wait %v: hopeless %v, want %v", c.wait, got, c.want)
		}
	}
}

// waitingJob has a run time of 200 ms, an objective of 400 ms, and 1 s until its last useful start.
var waitingJob = Job{Arrived: epoch, Objective: epoch.Add(400 * time.Millisecond), Useful: epoch.Add(1200 * time.Millisecond), Run: 200 * time.Millisecond}

// Guards against waiting jobs that are refused on a chance, and, once a quarter of the objective has passed,
// against a refusal by any forecast, since the value is lost then.
func TestWaitingJobIsRefusedOnlyWhenCertainlyLate(t *testing.T) {
	for _, c := range []struct {
		waited, shortest time.Duration
		want             bool
	}{{50 * time.Millisecond, 900 * time.Millisecond, false}, {50 * time.Millisecond, time.Second, true}, {101 * time.Millisecond, time.Hour, false}} {
		if got := waitingJob.CertainlyLate(epoch.Add(c.waited), c.shortest); got != c.want {
			t.Errorf("after %v, shortest wait %v: certainly late %v, want %v", c.waited, c.shortest, got, c.want)
		}
	}
}

// Load: the first moments of a burst, when few runs are in flight. Guards against forecasts from a rate that is
// lower than this placer's share of the capacity, and against a shortest wait that counts less than all of it.
func TestRateIsAtLeastShareOfCapacity(t *testing.T) {
	s := newSupply()
	s.SetCapacity(400_000, 2)
	if r := s.Rate(); r != 200_000 {
		t.Errorf("rate %v, want half of 400 cores", r)
	}
	if w := s.ShortestWait(400_000); w != time.Second {
		t.Errorf("shortest wait %v, want 1s", w)
	}
}

// Guards against callers that return together: hints for one backlog differ by more than a second.
func TestRetryAfterIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	low, high := time.Hour, time.Duration(0)
	for range 100 {
		d := RetryAfter(3000, 1000, random)
		low, high = min(low, d), max(high, d)
	}
	if low < 3*time.Second || high-low < time.Second || high > 5*time.Second {
		t.Errorf("hints from %v to %v, want 3 to 5 s", low, high)
	}
}
