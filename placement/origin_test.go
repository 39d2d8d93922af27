package placement_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
)

// fixedOrigin is an entry that was last known to be alive some time ago.
type fixedOrigin time.Duration

// SinceAlive implements placement.Origin.
func (o *fixedOrigin) SinceAlive() time.Duration { return time.Duration(*o) }

func originOf(age time.Duration) *fixedOrigin { return (*fixedOrigin)(&age) }

// Guards against agents that renew the lease of a dead entry's runs because the entry which placed them is
// alive, and against runs that end although another caller waits for their job.
func TestOriginAgeIsThatOfTheEntryWhoseJobRuns(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	check := func(want time.Duration, when string) {
		t.Helper()
		if got := s.OriginAge("a"); got != want {
			t.Errorf("%s: %s, want %s", when, got, want)
		}
	}
	check(0, "without runs")
	submit(t, s, request("own", 1, 100), begin)
	check(0, "with a job of this entry's caller")
	forwarded := request("forwarded", 1, 100)
	dying := originOf(300 * time.Millisecond)
	forwarded.Origin = dying
	first := submit(t, s, forwarded, begin)
	check(300*time.Millisecond, "with a job of a peer")
	if starts := l.starts(); len(starts) != 2 || starts[0].OriginAge != 0 || starts[1].OriginAge != 300*time.Millisecond {
		t.Errorf("starts %+v, want the second with the age of its origin", starts)
	}
	*dying = fixedOrigin(time.Second)
	forwarded.Origin = originOf(20 * time.Millisecond)
	again := submit(t, s, forwarded, after(time.Millisecond))
	check(20*time.Millisecond, "after another peer has sent the job again")
	first.Cancel(after(2 * time.Millisecond))
	check(20*time.Millisecond, "after the first peer has gone")
	again.Cancel(after(3 * time.Millisecond))
	check(0, "after the job's runs were stopped")
	if got := s.OriginAge("unknown"); got != 0 {
		t.Errorf("unknown agent: %s, want 0", got)
	}
}
