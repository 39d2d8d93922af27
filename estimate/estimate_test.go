package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

const second = time.Second

var epoch = time.Unix(1_700_000_000, 0)

func timeAt(i int) time.Time { return epoch.Add(time.Duration(i) * 100 * time.Millisecond) }

// observeMany observes n tasks of a key, 100 ms apart, with run times drawn by f.
func observeMany(e *Estimator, key string, n int, f func(r *rand.Rand) (declared, actual time.Duration)) {
	r := rand.New(rand.NewPCG(3, 4))
	for i := range n {
		declared, actual := f(r)
		e.Observe(key, declared, actual, timeAt(i))
	}
}

func checkWithin(t *testing.T, what string, got, want time.Duration, factor float64) {
	t.Helper()
	if off := math.Abs(math.Log(got.Seconds() / want.Seconds())); off > math.Log(factor) {
		t.Errorf("%s: %v, want %v within a factor of %v", what, got, want, factor)
	}
}

func logUniform(r *rand.Rand, lo, hi time.Duration) time.Duration {
	return time.Duration(float64(lo) * math.Pow(float64(hi)/float64(lo), r.Float64()))
}

// Guards against a wrong declared run time that prevails over observations, and
// against one that is trusted before there are any.
func TestObservationsOverrideDeclaredRunTime(t *testing.T) {
	e := New(Options{})
	if first := e.Estimate("a", 100*second); first.Confident || first.Expected > 20*second {
		t.Errorf("unknown key, declared 100 s: %+v, want at most 20 s and not confident", first)
	}
	observeMany(e, "a", 30, func(*rand.Rand) (time.Duration, time.Duration) { return 100 * second, second / 5 })
	checkWithin(t, "same declared run time", e.ExpectedRunTime("a", 100*second), second/5, 1.3)
	checkWithin(t, "no declared run time", e.ExpectedRunTime("a", 0), second/5, 1.3)
	observeMany(e, "plain", 30, func(*rand.Rand) (time.Duration, time.Duration) { return 0, 4 * second })
	checkWithin(t, "first declared run time of a known key", e.ExpectedRunTime("plain", second/10), 4*second, 1.6)
	if got := e.Estimate("a", 100*second); !got.Confident || got.Class != wire.ClassShort {
		t.Errorf("after 30 tasks: %+v, want confident and short", got)
	}
}

// Guards against a constant factor between declared and actual run times that is not
// corrected, also for keys without observations.
func TestConstantFactorOfDeclaredRunTimes(t *testing.T) {
	e := New(Options{})
	observeMany(e, "a", 300, func(r *rand.Rand) (time.Duration, time.Duration) {
		declared := logUniform(r, second/10, 10*second)
		return declared, declared / 8
	})
	checkWithin(t, "short", e.ExpectedRunTime("a", second/2), second/16, 1.4)
	checkWithin(t, "long", e.ExpectedRunTime("a", 8*second), second, 1.4)
	checkWithin(t, "new key", e.ExpectedRunTime("b", 8*second), second, 1.4)
}

// Guards against trusting declared run times that do not correlate with actual ones.
func TestUncorrelatedDeclaredRunTimes(t *testing.T) {
	e := New(Options{})
	observeMany(e, "a", 300, func(r *rand.Rand) (time.Duration, time.Duration) {
		return logUniform(r, second/100, 100*second), logUniform(r, 4*second/10, 6*second/10)
	})
	checkWithin(t, "declared short", e.ExpectedRunTime("a", second/100), second/2, 1.4)
	checkWithin(t, "declared long", e.ExpectedRunTime("a", 100*second), second/2, 1.4)
}

// Guards against estimates that do not follow a change of run times, and against
// confidence because of observations that are long past.
func TestDecay(t *testing.T) {
	e := New(Options{})
	observeMany(e, "a", 500, func(*rand.Rand) (time.Duration, time.Duration) { return 0, second / 5 })
	e.Observe("a", 0, 10*second, epoch.Add(2*time.Hour))
	if got := e.Estimate("a", 0); got.Confident {
		t.Errorf("after two hours: %+v, want not confident", got)
	}
	observeMany(e, "b", 200, func(*rand.Rand) (time.Duration, time.Duration) { return 0, second / 5 })
	for i := range 200 {
		e.Observe("b", 0, 4*second, timeAt(200+i))
	}
	checkWithin(t, "after a change", e.ExpectedRunTime("b", 0), 4*second, 1.5)
}

// Guards against a single outlier that makes the tasks of a key count as long.
func TestSingleOutlier(t *testing.T) {
	e := New(Options{})
	observeMany(e, "a", 50, func(*rand.Rand) (time.Duration, time.Duration) { return 0, second / 5 })
	e.Observe("a", 0, 60*second, timeAt(50))
	checkWithin(t, "after an outlier", e.ExpectedRunTime("a", 0), second/5, 2)
}

// Guards against memory use that callers can increase with ever new labels, and
// against the eviction of a key in use because of them.
func TestKeysAreBounded(t *testing.T) {
	e := New(Options{MaxKeys: 10})
	observeMany(e, "used", 20, func(*rand.Rand) (time.Duration, time.Duration) { return 0, second })
	for i := range 1000 {
		e.Observe(fmt.Sprint(i), 0, second, timeAt(i))
		e.ExpectedRunTime("used", 0)
	}
	if e.Keys() != 10 || !e.Estimate("used", 0).Confident {
		t.Errorf("got %d keys, want 10; estimate of the key in use %+v, want it confident", e.Keys(), e.Estimate("used", 0))
	}
	if len(e.keys) != e.lru.Len() {
		t.Errorf("%d keys, %d in the LRU list", len(e.keys), e.lru.Len())
	}
}

// Guards against a boundary that leaves its bounds or lies within the range of short
// or long tasks, and against a wrong share of long work.
func TestBoundaryAndLongShare(t *testing.T) {
	e := New(Options{})
	if e.LongShare() != 0 {
		t.Errorf("share of long work is %v before any task", e.LongShare())
	}
	long := 0
	observeMany(e, "a", 4000, func(r *rand.Rand) (time.Duration, time.Duration) {
		if long++; long%50 == 0 {
			return 0, logUniform(r, 10*second, 30*second)
		}
		return 0, logUniform(r, second/20, 2*second)
	})
	if b := e.Boundary(); b < 2*second || b > 8*second {
		t.Errorf("boundary %v; short tasks take up to 2 s, long ones from 10 s, its maximum is 8 s", b)
	}
	// 80 long tasks of 18.2 s and 3920 short ones of 0.53 s on average.
	if s := e.LongShare(); s < 0.33 || s > 0.50 {
		t.Errorf("share of long work is %v, want 0.33 to 0.50", s)
	}
	e.Observe("a", 0, second/10, timeAt(4000).Add(3*time.Hour))
	for i := range 1000 {
		e.Observe("a", 0, second/10, timeAt(4000+i).Add(3*time.Hour))
	}
	if s := e.LongShare(); s > 0.01 {
		t.Errorf("share of long work is %v three hours after the last long task", s)
	}
}

// Guards against a boundary that does not follow the run times or leaves its bounds.
func TestBoundaryFollowsRunTimes(t *testing.T) {
	for _, c := range []struct{ short, long, least, most time.Duration }{
		{second, 2700 * time.Millisecond, second, 2700 * time.Millisecond},
		{3 * second, 20 * second, 3 * second, 8 * second},
		{second / 50, second / 3, 1500 * time.Millisecond, 8 * second},
		{20 * second, 200 * second, 1500 * time.Millisecond, 8 * second},
	} {
		e := New(Options{})
		n := 0
		observeMany(e, "a", 1000, func(*rand.Rand) (time.Duration, time.Duration) {
			if n++; n%10 == 0 {
				return 0, c.long
			}
			return 0, c.short
		})
		if b := e.Boundary(); b < c.least || b > c.most {
			t.Errorf("boundary %v, want %v to %v", b, c.least, c.most)
		}
	}
}

// Guards against long work that stays classed as short while its first tasks run,
// and against short tasks that are reclassified because of a small delay.
func TestOverrun(t *testing.T) {
	e := New(Options{})
	observeMany(e, "a", 50, func(r *rand.Rand) (time.Duration, time.Duration) { return 0, logUniform(r, second/10, second/5) })
	e.Observe("few", 0, second/10, timeAt(50))
	half := e.Boundary()/2 + second/10
	for _, c := range []struct {
		key     string
		elapsed time.Duration
		want    bool
	}{{"a", second / 2, false}, {"a", half, true}, {"new", half, false}, {"few", half, false}, {"new", e.Boundary(), true}} {
		if got := e.HasOverrun(c.key, 0, c.elapsed); got != c.want {
			t.Errorf("overrun of key %s after %v: %v", c.key, c.elapsed, got)
		}
	}
	for range 8 {
		e.ObserveOverrun("new", 0, e.Boundary(), timeAt(50))
	}
	if e.Class("new", 0) != wire.ClassLong || e.Class("a", 0) != wire.ClassShort {
		t.Errorf("expected run time of key new is %v, of key a %v", e.ExpectedRunTime("new", 0), e.ExpectedRunTime("a", 0))
	}
	if RemainingTime(second, second/4) != 3*second/4 || RemainingTime(second, 5*second) != 5*second {
		t.Error("wrong remaining time")
	}
}

// Guards against a UseDeclared baseline that depends on observations.
func TestUseDeclared(t *testing.T) {
	e := New(Options{UseDeclared: true})
	observeMany(e, "a", 50, func(*rand.Rand) (time.Duration, time.Duration) { return 0, second })
	if e.ExpectedRunTime("a", 7*second) != 7*second || e.ExpectedRunTime("a", 0) != defaultRunTime || e.HasOverrun("a", 0, second*7/4) {
		t.Errorf("expected run time %v with and %v without a declared one", e.ExpectedRunTime("a", 7*second), e.ExpectedRunTime("a", 0))
	}
}
