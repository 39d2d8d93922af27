package estimate

import (
	"math"
	"time"
)

const (
	// binsPerOctave makes each bin about 19% wide.
	binsPerOctave = 4
	// binCount covers minRunTime to maxRunTime.
	binCount = 22*binsPerOctave + 1
	// searchInterval is the number of observations between two searches for the
	// boundary.
	searchInterval = 128
	// minSearchCount is the number of recent observations below which the boundary
	// is not searched.
	minSearchCount = 64
)

// histogram is a decaying histogram of slot time over the logarithm of run time. It
// yields the boundary between short and long tasks and the share of long work.
type histogram struct {
	options     Options
	boundary    time.Duration
	slotSeconds [binCount]float64 // slot time per bin
	count       float64
	sinceSearch int
	lastHalved  time.Time
}

// newHistogram returns an empty histogram whose boundary is the geometric mean of
// its bounds.
func newHistogram(o Options) *histogram {
	middle := math.Sqrt(o.MinBoundary.Seconds() * o.MaxBoundary.Seconds())
	return &histogram{options: o, boundary: time.Duration(middle * float64(time.Second))}
}

func binOf(d time.Duration) int {
	octaves := math.Log2(float64(max(d, minRunTime)) / float64(minRunTime))
	return min(int(octaves*binsPerOctave), binCount-1)
}

// lowerEdge returns the shortest run time of a bin.
func lowerEdge(bin int) time.Duration {
	return time.Duration(float64(minRunTime) * math.Exp2(float64(bin)/binsPerOctave))
}

func (h *histogram) add(run time.Duration, now time.Time) {
	h.halve(now)
	h.slotSeconds[binOf(run)] += min(max(run, minRunTime), maxRunTime).Seconds()
	h.count++
	h.sinceSearch++
	if h.sinceSearch >= searchInterval && h.count >= minSearchCount {
		h.sinceSearch = 0
		h.boundary = h.findBoundary()
	}
}

// halve halves all weights once for each half-life that has passed. After 64 halvings
// the weights are negligible, so it skips the rest.
func (h *histogram) halve(now time.Time) {
	if h.lastHalved.IsZero() {
		h.lastHalved = now
	}
	for halvings := 0; now.Sub(h.lastHalved) >= h.options.HalfLife; halvings++ {
		if halvings == 64 {
			h.lastHalved = now
			return
		}
		h.lastHalved = h.lastHalved.Add(h.options.HalfLife)
		h.count /= 2
		for i := range h.slotSeconds {
			h.slotSeconds[i] /= 2
		}
	}
}

// findBoundary returns the boundary, within its bounds, that separates slot time into
// the two groups that are furthest apart on the logarithmic scale (Otsu's method).
// Tasks are weighted by slot time, since the few long tasks would have no effect by
// count. If no boundary within the bounds has work on both sides, the current one is
// kept.
func (h *histogram) findBoundary() time.Duration {
	var total, sum float64
	for i, w := range h.slotSeconds {
		total += w
		sum += w * float64(i)
	}
	best, first, last := 0.0, h.boundary, h.boundary
	var below, belowSum float64
	for i, w := range h.slotSeconds {
		edge := lowerEdge(i)
		if edge >= h.options.MinBoundary && edge <= h.options.MaxBoundary {
			v := betweenVariance(below, belowSum, total, sum)
			if v > best*(1+relativeTolerance) {
				best, first, last = v, edge, edge
			}
			if v > best*(1-relativeTolerance) {
				last = edge
			}
		}
		below += w
		belowSum += w * float64(i)
	}
	// All edges within a gap without work are equally good: take its middle.
	return time.Duration(math.Sqrt(float64(first) * float64(last)))
}

// relativeTolerance exceeds the rounding errors of sums over the bins, so that equal
// variances compare as equal.
const relativeTolerance = 1e-9

// betweenVariance returns the variance between two groups up to a constant factor,
// given the weight and the weighted sum of the lower group and of both groups.
func betweenVariance(below, belowSum, total, sum float64) float64 {
	above := total - below
	if below <= 0 || above <= 0 {
		return 0
	}
	d := belowSum/below - (sum-belowSum)/above
	return below * above * d * d
}

func (h *histogram) longShare() float64 {
	var long, total float64
	for i, w := range h.slotSeconds {
		total += w
		if lowerEdge(i) >= h.boundary {
			long += w
		}
	}
	if total == 0 {
		return 0
	}
	return long / total
}
