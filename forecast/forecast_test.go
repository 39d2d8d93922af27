package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Speeds of the second deployment in docs/design/requirements.md.
const (
	slowSpeed = 0.55
	fastSpeed = 1.2
)

// learnFleet lets a quarter of 58 targets be slow and the others fast, and runs jobs of 2 to 8
// alike tasks of any length on random ones. It returns what was learnt of a slow and a fast target.
func learnFleet(t *testing.T, jobs int, sigma, farFactor float64, rack *Rack) (slow, fast Speed) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	speeds := make([]Speed, 58)
	for range jobs {
		work := 0.2 * math.Exp(0.4*random.NormFloat64())
		if random.Float64() < 0.03 {
			work *= 7
		}
		samples := make([]Sample, 2+random.IntN(7))
		for i := range samples {
			n := random.IntN(len(speeds))
			actual := fastSpeed
			if n%4 == 0 {
				actual = slowSpeed
			}
			took := work * math.Exp(sigma*random.NormFloat64()) / actual
			far := farFactor > 1 && random.IntN(2) == 0
			if far {
				took *= farFactor
			}
			samples[i] = Sample{Speed: &speeds[n], Took: time.Duration(took * float64(time.Second)), Far: far}
		}
		LearnSiblings(samples, rack)
	}
	return speeds[0], speeds[1]
}

// Guards against speeds that depend on the mix of targets on which siblings ran, or on the lengths
// of jobs, of which 3 of 100 are seven times as long: 0.55 beside 1.2 is a ratio of 2.18.
func TestSpeedsAreLearntFromSiblings(t *testing.T) {
	rack := NewRack(0)
	slow, fast := learnFleet(t, 1000, 0.15, 1, &rack)
	if ratio := fast.Factor() / slow.Factor(); ratio < 1.95 || ratio > 2.4 {
		t.Errorf("fast targets are %.2f times as fast as slow ones, want %.2f", ratio, fastSpeed/slowSpeed)
	}
}

// Guards against a far rack that counts as a slow target: a task takes three times as long there.
func TestFactorOfAnotherRackIsLearnt(t *testing.T) {
	rack := NewRack(0)
	slow, fast := learnFleet(t, 1000, 0.15, 3, &rack)
	if f := rack.Factor(); f < 2.7 || f > 3.3 {
		t.Errorf("factor %.2f for another rack, want 3", f)
	}
	if ratio := fast.Factor() / slow.Factor(); ratio < 1.9 || ratio > 2.5 {
		t.Errorf("fast targets are %.2f times as fast as slow ones, want %.2f", ratio, fastSpeed/slowSpeed)
	}
	if f := NewRack(3).Factor(); math.Abs(f-3) > 0.01 {
		t.Errorf("factor %.2f, want the configured 3", f)
	}
}

// Guards against a speed that is believed after one run, and one that is learnt from runs on one
// target only, which cannot be compared.
func TestFewRunsSayLittle(t *testing.T) {
	rack := NewRack(0)
	var one, other Speed
	LearnSiblings([]Sample{{Speed: &one, Took: 2 * time.Second}, {Speed: &other, Took: time.Second}}, &rack)
	if f := one.Factor(); f < 0.7 || f >= 1 {
		t.Errorf("speed %.2f after one run that took twice as long, want less than 1, but near", f)
	}
	var alone Speed
	LearnSiblings([]Sample{{Speed: &alone, Took: 2 * time.Second}, {Speed: &alone, Took: time.Second}}, &rack)
	if alone.Runs() != 0 {
		t.Errorf("learnt %.1f runs from siblings on the same target", alone.Runs())
	}
}

// Guards against a cold target, one with a straggler, or a told speed that is no number or out of
// range being taken for a speed.
func TestWhatIsNoSpeed(t *testing.T) {
	rack := NewRack(0)
	var cold, warm, strange Speed
	LearnSiblings([]Sample{{Speed: &cold, Took: 4 * time.Second, Cold: 4}, {Speed: &warm, Took: time.Second}}, &rack)
	if cold.Runs() != 0 || warm.Factor() < 0.99 || warm.Factor() > 1.01 {
		t.Errorf("a cold target changed speeds to %.2f, %.2f", cold.Factor(), warm.Factor())
	}
	for range 30 {
		LearnSiblings([]Sample{{Speed: &strange, Took: time.Second}, {Speed: &warm, Took: time.Second}}, &rack)
	}
	LearnSiblings([]Sample{{Speed: &strange, Took: 50 * time.Second}, {Speed: &warm, Took: time.Second}}, &rack)
	if f := strange.Factor(); f < 0.9 {
		t.Errorf("speed %.2f after one straggler, want at least 0.9", f)
	}
	for _, told := range [][2]float64{{math.NaN(), 5}, {0, math.NaN()}, {math.Inf(-1), 1e9}, {1e9, math.Inf(1)}, {0, -5}} {
		s := Known(told[0], told[1])
		if f := s.Factor(); !(f >= minSpeed-0.01 && f <= maxSpeed+0.01) || s.Runs() > toldRuns || s.Runs() < 0 {
			t.Errorf("told %v: speed %.2f with weight %.1f", told, f, s.Runs())
		}
	}
}

// Guards against a restart of the target's process that makes everything unknown, or nothing.
func TestRestartLowersConfidence(t *testing.T) {
	rack := NewRack(0)
	slow, _ := learnFleet(t, 1000, 0.15, 1, &rack)
	again := slow.Restarted()
	if again.Factor() >= 1 || again.Factor() <= slow.Factor() || again.Runs() > RestartRuns {
		t.Errorf("speed %.2f with weight %.1f after a restart, %.2f before", again.Factor(), again.Runs(), slow.Factor())
	}
}

// Guards against a forecast that is not the run time of what it is made of.
func TestRunAndWorkAreInverse(t *testing.T) {
	rack := NewRack(0)
	slow, _ := learnFleet(t, 1000, 0.15, 1, &rack)
	took := Run(760*time.Millisecond, slow, 1.5, 3)
	if took < 4*time.Second || Work(took, slow, 1.5, 3).Round(time.Millisecond) != 760*time.Millisecond {
		t.Errorf("a run of 0.76 s takes %v, whose work is %v", took, Work(took, slow, 1.5, 3))
	}
	if Run(time.Second, Speed{}, 0, 0) != time.Second {
		t.Error("a run at an unknown speed, not cold, in its rack, does not take its work")
	}
}
