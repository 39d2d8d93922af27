package placement_test

import (
	"math"
	"sync"
	"testing"
	"time"
)

// loadSeeds are the seeds that each pattern of load is played with; the marks are
// means over them.
var loadSeeds = []uint64{1, 2, 3, 4, 5, 6}

const (
	loadEntries = 3
	loadHosts   = 11
	loadTime    = 15 * time.Second
	settleTime  = 8 * time.Second // after which every job has its answer
)

// play offers a pattern of load to a fleet and returns the mean marks.
func play(rate func(kind int, at time.Duration) float64, trouble func(*fleet)) marks {
	var mu sync.Mutex
	var g sync.WaitGroup
	sum := marks{kinds: make([]float64, len(userKinds()))}
	n := float64(len(loadSeeds))
	for _, seed := range loadSeeds {
		g.Go(func() {
			f := newFleet(seed, loadEntries, loadHosts)
			if trouble != nil {
				trouble(f)
			}
			f.load(loadTime, rate)
			f.run(settleTime)
			m := f.judge()
			mu.Lock()
			defer mu.Unlock()
			sum.whole += m.whole / n
			sum.worst += m.worst / n
			sum.failed += m.failed / n
			sum.jobs += m.jobs
			for i := range sum.kinds {
				sum.kinds[i] += m.kinds[i] / n
			}
		})
	}
	g.Wait()
	return sum
}

// hostsBetween changes the first hosts of a fleet for a time.
func hostsBetween(from, to time.Duration, hosts int, change, back func(*simHost)) func(*fleet) {
	return func(f *fleet) {
		for _, h := range f.hosts[:hosts] {
			f.after(from, func() { change(h) })
			f.after(to, func() { back(h) })
		}
	}
}

// The users' aims: on calm days every job in time; with trouble a mean worth of
// 0.82; in a burst no window of two seconds, and no kind, served less than half.
const (
	calmAim    = 0.99
	troubleAim = 0.82
	burstAim   = 0.5
)

// want checks that marks reach an aim for the whole, and half in the worst windows
// and for each kind.
func (m marks) want(t *testing.T, whole float64) {
	t.Helper()
	t.Log(m)
	if m.whole < whole || m.worst < burstAim {
		t.Errorf("whole %.3f and worst windows %.3f, want %.2f and %.2f", m.whole, m.worst, whole, burstAim)
	}
	for i, k := range m.kinds {
		if k < burstAim {
			t.Errorf("%s: %.3f, want %.2f", userKinds()[i].name, k, burstAim)
		}
	}
}

func daily(_ int, at time.Duration) float64 { return wave(at) }

// Guards against jobs that wait although targets have room: on a calm day every
// job is served within its objective.
func TestCalmDay(t *testing.T) {
	m := play(func(_ int, at time.Duration) float64 { return 0.8 * wave(at) }, nil)
	m.want(t, calmAim)
	if m.failed > 0.001 {
		t.Errorf("%.4f of the jobs were not served", m.failed)
	}
}

// Guards against everyone waiting behind everyone in a burst: no window of two
// seconds is served less than half.
func TestBurstOfAllAndOfOneKind(t *testing.T) {
	burst := func(kind int, at time.Duration) float64 {
		x := wave(at)
		if at < 4*time.Second {
			x *= 1.3
		}
		if kind == 2 && at > 2*time.Second && at < 5500*time.Millisecond {
			x *= 1.8
		}
		return x
	}
	play(burst, nil).want(t, burstAim)
}

// Guards against short work that waits behind long work, and against entries that
// take room from each other's more urgent work: at lasting overload previews are
// served no worse than the mean, less a tenth.
func TestLastingOverload(t *testing.T) {
	m := play(func(int, time.Duration) float64 { return 1.7 }, nil)
	m.want(t, burstAim)
	if m.kinds[0] < 0.9*m.whole {
		t.Errorf("previews %.3f against a mean of %.3f", m.kinds[0], m.whole)
	}
}

// Guards against targets that turn slow and keep getting work.
func TestSlowTargets(t *testing.T) {
	slow := hostsBetween(3*time.Second, 9*time.Second, 2, func(h *simHost) { h.slow = 6.7 }, func(h *simHost) { h.slow = 1 })
	play(daily, slow).want(t, troubleAim)
}

// Guards against tasks that are held to their deadline on a target that stands
// still, and against distrust without a way back.
func TestHangingTarget(t *testing.T) {
	hang := hostsBetween(3*time.Second, 9*time.Second, 1, func(h *simHost) { h.hanging = true }, func(h *simHost) { h.hanging = false })
	m := play(daily, hang)
	m.want(t, troubleAim)
	if m.failed > 0.03 {
		t.Errorf("%.4f of the jobs were not served", m.failed)
	}
}

// Guards against a target that fails everything at once and so is always free.
func TestFailingTarget(t *testing.T) {
	fail := hostsBetween(3*time.Second, 9*time.Second, 1, func(h *simHost) { h.failing = true }, func(h *simHost) { h.failing = false })
	play(daily, fail).want(t, troubleAim)
}

// Guards against a fleet that serves less after a burst than before it: once the
// load is low again, everything is in time within two seconds.
func TestServiceReturnsAfterOverload(t *testing.T) {
	peak := func(_ int, at time.Duration) float64 {
		if at < 5*time.Second {
			return 3
		}
		return 0.8
	}
	for _, seed := range loadSeeds[:3] {
		f := newFleet(seed, loadEntries, loadHosts)
		f.load(loadTime, peak)
		f.run(settleTime)
		late, jobs := 0, 0
		for _, s := range f.served {
			if s.arrived < 7*time.Second {
				continue
			}
			jobs++
			if !s.inTime {
				late++
			}
		}
		if share := float64(late) / math.Max(1, float64(jobs)); share > 0.05 {
			t.Errorf("seed %d: %.3f of %d jobs late after the burst", seed, share, jobs)
		}
	}
}

// Guards against agents that tell every entry of each change of their room: in a
// large fleet that costs the entries more than their jobs. The bound is an agent's
// share of a core, 1.7%, at some 30 us a message and the 21 starts a second of the
// target size: 26 messages a start, of which a start and its end take four.
func TestRoomMessagesOfLargeFleet(t *testing.T) {
	const entries, hosts, most = 14, 76, 22
	for _, c := range []struct{ load, aim float64 }{{5, calmAim}, {11.7, burstAim}} {
		f := newFleet(1, entries, hosts)
		f.load(4*time.Second, func(int, time.Duration) float64 { return c.load })
		f.run(settleTime)
		starts := 0
		for _, h := range f.hosts {
			starts += h.started
		}
		each := float64(f.messages) / float64(starts)
		m := f.judge()
		t.Logf("load %.1f: %.1f messages of room for each of %d starts; %s", c.load, each, starts, m)
		if each > most {
			t.Errorf("load %.1f: %.1f messages of room a start, want at most %d", c.load, each, most)
		}
		if m.whole < c.aim {
			t.Errorf("load %.1f: %.3f of the worth, want %.2f", c.load, m.whole, c.aim)
		}
	}
}

// Guards against many entries that place against each other in a crest, each with a
// part of the jobs: 14 entries with 1,290 jobs a second, 1.1 times what 76 targets can
// do, for four seconds. While targets are full, three of them place for all.
func TestCrestOverManyEntries(t *testing.T) {
	const entries, hosts, load = 14, 76, 10.4
	play := func(placers int) marks {
		f := newFleet(1, entries, hosts)
		f.taskCPU, f.placers = 3600, placers
		f.load(4*time.Second, func(int, time.Duration) float64 { return load })
		f.run(settleTime)
		return f.judge()
	}
	t.Logf("each for itself: %v", play(0))
	play(3).want(t, troubleAim)
}
