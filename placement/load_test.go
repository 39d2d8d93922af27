package placement_test

import (
	"math"
	"sync"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {

	for _, c := range []string{"calm", "burst", "slow", "overload", "hang", "errors"} {
		var mu sync.Mutex
		var whole, worst, failed float64
		var kinds [3]float64
		const seeds = 8
		var g sync.WaitGroup
		for seed := uint64(1); seed <= seeds; seed++ {
			g.Go(func() {
				f := newFleet(seed, 3, 11)
				rate := func(_ int, at time.Duration) float64 { return 0.8 * wave(at) }
				switch c {
				case "burst":
					rate = func(k int, at time.Duration) float64 {
						x := wave(at)
						if at < 4*time.Second {
							x *= 1.3
						}
						if k == 2 && at > 2*time.Second && at < 5500*time.Millisecond {
							x *= 1.8
						}
						return x
					}
				case "slow":
					rate = func(k int, at time.Duration) float64 { return wave(at) }
					f.after(3*time.Second, func() { f.hosts[0].slow, f.hosts[1].slow = 6.7, 6.7 })
					f.after(9*time.Second, func() { f.hosts[0].slow, f.hosts[1].slow = 1, 1 })
				case "hang":
					rate = func(k int, at time.Duration) float64 { return wave(at) }
					f.after(3*time.Second, func() { f.hosts[0].hanging = true })
					f.after(9*time.Second, func() { f.hosts[0].hanging = false })
				case "errors":
					rate = func(k int, at time.Duration) float64 { return wave(at) }
					f.after(3*time.Second, func() { f.hosts[0].failing = true })
					f.after(9*time.Second, func() { f.hosts[0].failing = false })
				case "overload":
					rate = func(int, time.Duration) float64 { return 1.7 }
				}
				f.load(15*time.Second, rate)
				cpu, rej := 0.0, 0
				for _, h := range f.hosts {
					cpu += h.cpuTime
					rej += h.rejected
				}
				if seed == 1 {
					t.Logf("%s util %.3f rejected %d load %+v", c, cpu/11/32000/15, rej, f.entries[0].s.Load())
				}
				f.run(8 * time.Second)
				m := f.judge()
				mu.Lock()
				defer mu.Unlock()
				whole += m.whole / seeds
				worst += m.worst / seeds
				failed += m.failed / seeds
				for i := range kinds {
					kinds[i] += m.kinds[i] / seeds
				}
			})
		}
		g.Wait()
		wk := min(kinds[0], kinds[1], kinds[2])
		nines := min(1, -math.Log10(max(failed, 0.001))/3)
		t.Logf("%-9s L %.3f Z %.3f whole %.3f kinds %.3f worst %.3f unserved %.4f", c, .4*whole+.35*nines+.15*worst+.1*wk, .7*whole+.15*worst+.15*wk, whole, kinds, worst, failed)
	}
}
