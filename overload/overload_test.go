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

// Guards against early refusals: a job is kept until even half of the expected wait is too long, and
// after a quarter of its objective, when a refusal costs its whole value, until 0.3 of it is.
func TestHopelessKeepsMargin(t *testing.T) {
	j := Job{Arrived: epoch, Objective: epoch.Add(400 * time.Millisecond), Useful: epoch.Add(1200 * time.Millisecond), Run: 200 * time.Millisecond}
	for _, c := range []struct {
		waited, wait time.Duration
		want         bool
	}{{0, 1900 * time.Millisecond, false}, {0, 2100 * time.Millisecond, true}, {101 * time.Millisecond, 2100 * time.Millisecond, false}, {101 * time.Millisecond, 3200 * time.Millisecond, true}} {
		if got := j.Hopeless(epoch.Add(c.waited), c.wait); got != c.want {
			t.Errorf("after %v, expected wait %v: hopeless %v, want %v", c.waited, c.wait, got, c.want)
		}
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

// Load: a burst of kind C while B gets half of what it asks for. Guards against kinds that pay for
// others' bursts, and against weights without overload.
func TestSharesFavorKindBelowItsDue(t *testing.T) {
	s := NewShares()
	now := epoch
	step := func(n int, wantedC, servedB, servedC float64) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			s.Wanted("B", 10)
			s.Wanted("C", wantedC)
			s.Served("B", servedB)
			s.Served("C", servedC)
			s.Age(now)
		}
	}
	step(1000, 10, 10, 10)
	if b, c := s.Weight("B"), s.Weight("C"); b != 1 || c != 1 {
		t.Errorf("weights %v and %v without overload, want 1", b, c)
	}
	step(200, 24, 5, 15)
	if b, c := s.Weight("B"), s.Weight("C"); b > 0.8 || c != 1 {
		t.Errorf("weights %v of B and %v of the kind with the burst, want at most 0.8, and 1", b, c)
	}
}
