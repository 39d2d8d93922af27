package placement_test

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/workload"
)

// overloadKinds returns the kinds of job of the two example deployments in
// docs/design/requirements.md, with the rates of the first.
func overloadKinds() []jobKind {
	return []jobKind{
		{"A", 195, 8, 55 * time.Millisecond, 0.00485, 0},
		{"B", 35, 4, 820 * time.Millisecond, 0.0267, 2},
		{"C", 565, 2, 185 * time.Millisecond, 0.00167, 1},
	}
}

// overloadDuration covers one wave and the bursts of each kind.
const overloadDuration = 20 * time.Second

// overloadLoad is one of the two example loads. Its scale stands for the capacity that is lost
// to tasks outside of their data rack, which are not simulated.
type overloadLoad struct {
	name   string
	hosts  int
	speeds []float64
	rate   func(kind int, at time.Duration) float64
}

// burstsAbovePeak is the first example load: the demand reaches 1.5 times its mean, near the
// capacity, and bursts of one kind of 1.5 to 2.4 times exceed it for 4 to 6 s.
func burstsAbovePeak() overloadLoad {
	bursts := []struct {
		kind     int
		from, to time.Duration
		factor   float64
	}{{2, 2 * time.Second, 7 * time.Second, 2.4}, {0, 9 * time.Second, 15 * time.Second, 1.8}, {1, 14 * time.Second, 18 * time.Second, 2}}
	return overloadLoad{"bursts", 61, []float64{1, 1, 1.3}, func(kind int, at time.Duration) float64 {
		x := 1.2 * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/20))
		for _, b := range bursts {
			if kind == b.kind && at >= b.from && at < b.to {
				x *= b.factor
			}
		}
		return x
	}}
}

// waves is the second example load: the demand swings by 0.55 within 15 s and exceeds the
// capacity of unequal targets for a third of the time.
func waves() overloadLoad {
	return overloadLoad{"waves", 58, []float64{0.55, 1.2, 1.2, 1.2}, func(_ int, at time.Duration) float64 {
		return 1.5 * dailyLoad(at)
	}}
}

// spareCapacity is the second load at 0.6 of its height, which no wave brings above capacity.
func spareCapacity() overloadLoad {
	l := waves()
	l.name = "spare"
	l.rate = func(_ int, at time.Duration) float64 { return 0.85 * dailyLoad(at) }
	return l
}

// burstOfLong is the load of the first deployment at which a day was measured: a burst of kind B of 2.3 times for
// 6.7 s, near the peak.
func burstOfLong() overloadLoad {
	l := burstsAbovePeak()
	l.name = "long"
	l.rate = func(kind int, at time.Duration) float64 {
		x := 1.2 * (1 + 0.3*math.Sin(2*math.Pi*at.Seconds()/20))
		if kind == 1 && at >= 3*time.Second && at < 9700*time.Millisecond {
			x *= 2.3
		}
		return x
	}
	return l
}

// newOverloadFleet returns ten unequal entries, a few of which get most callers, and targets of
// 32 and 48 cores.
func newOverloadFleet(seed uint64, l overloadLoad) *simFleet {
	f := newFleet(seed, 10, l.hosts)
	f.kinds, f.taskCPU = overloadKinds(), 2800
	for i, h := range f.hosts {
		h.speed = l.speeds[i%len(l.speeds)]
		if (i/len(l.speeds))%3 == 2 {
			h.cpu = 48000
		}
		h.table.SetCapacity(workload.Resources{CPU: h.cpu, Memory: 131072})
		for _, link := range h.links {
			link.entry.s.HandleState(h.name, link, h.state(link), f.now)
		}
	}
	f.pickEntry = func() *simEntry {
		u := f.random.Float64() // the square gives the first entry three times its even share
		return f.entries[int(u*u*float64(len(f.entries)))]
	}
	return f
}

// overloadScore extends score by what callers lose under overload.
type overloadScore struct {
	score
	unserved       []float64 // by kind
	worstKind      float64   // smallest value share of a kind
	waitedQuarter  float64   // value share of jobs refused unstarted after a quarter of their objective
	waitedHalf     float64   // the same after half of it
	hadRoom        float64   // value share of jobs refused while a target of any placer had free capacity
	declined       float64   // declines for each job
	largest        float64   // served share of the largest tenth of a kind over that of the kind; the worst kind
	nextLargest    float64   // the same for the fifth below it
	refusedAtOnce  float64   // share of jobs refused within a quarter of their objective
	expiredStarted float64   // share of jobs that ended without a useful answer after a start
}

// nines is the unserved share on a logarithmic scale: 2 if 1% are not served.
func (m overloadScore) nines() float64 { return -math.Log10(max(m.unservedShare, 1e-6)) }

func (m overloadScore) String() string {
	return fmt.Sprintf("total %.4f, kinds %.3f, worst kind %.3f, worst windows %.3f, unserved %.4f (%.2f nines, kinds %.3f), refused at once %.4f, useless after a start %.4f, waited a quarter %.4f, half %.4f, refused while a target was free %.5f, declines %.4f, largest tenth %.3f, fifth below %.3f, %d jobs",
		m.total, m.byKind, m.worstKind, m.worstWindows, m.unservedShare, m.nines(), m.unserved, m.refusedAtOnce, m.expiredStarted, m.waitedQuarter, m.waitedHalf, m.hadRoom, m.declined, m.largest, m.nextLargest, m.jobs)
}

func (f *simFleet) computeOverloadScore() overloadScore {
	m := overloadScore{score: f.computeScore(), largest: 1, nextLargest: 1}
	m.worstKind = slices.Min(m.byKind)
	offered := 0.0
	byKind := make([][]served, len(f.kinds))
	for _, s := range f.served {
		offered += s.value
		byKind[s.kind] = append(byKind[s.kind], s)
		if s.hadRoom {
			m.hadRoom += s.value
		}
		switch {
		case s.refusedAfter > 0.5:
			m.waitedHalf += s.value
			fallthrough
		case s.refusedAfter > 0.25:
			m.waitedQuarter += s.value
		case s.answer == placement.Refused:
			m.refusedAtOnce += 1 / float64(len(f.served))
		case !s.inTime && !s.late:
			m.expiredStarted += 1 / float64(len(f.served))
		}
	}
	m.waitedQuarter /= offered
	m.waitedHalf /= offered
	m.hadRoom /= offered
	m.declined = float64(f.declined) / float64(len(f.served))
	for _, jobs := range byKind {
		slices.SortFunc(jobs, func(a, b served) int { return int(b.work) - int(a.work) })
		all := servedShare(jobs)
		m.unserved = append(m.unserved, 1-all)
		m.largest = min(m.largest, servedShare(jobs[:len(jobs)/10])/max(all, 1e-9))
		m.nextLargest = min(m.nextLargest, servedShare(jobs[len(jobs)/10:3*len(jobs)/10])/max(all, 1e-9))
	}
	return m
}

func servedShare(jobs []served) float64 {
	n := 0
	for _, s := range jobs {
		if s.inTime || s.late {
			n++
		}
	}
	return float64(n) / max(1, float64(len(jobs)))
}

// playOverload simulates a load with each seed and returns the scores.
func playOverload(l overloadLoad, seeds []uint64) []overloadScore {
	scores := make([]overloadScore, len(seeds))
	var g sync.WaitGroup
	for i, seed := range seeds {
		g.Go(func() {
			f := newOverloadFleet(seed, l)
			f.load(overloadDuration, l.rate)
			f.run(drainDuration)
			scores[i] = f.computeOverloadScore()
		})
	}
	g.Wait()
	return scores
}
