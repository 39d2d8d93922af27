package placement_test

import "testing"

// overloadSeeds are the seeds of the overload tests.
var overloadSeeds = []uint64{1, 2, 3}

// meanOverload returns the mean of the scores of a load over overloadSeeds.
func meanOverload(t *testing.T, l overloadLoad) overloadScore {
	t.Helper()
	mean := overloadScore{score: score{byKind: make([]float64, len(overloadKinds()))}, unserved: make([]float64, len(overloadKinds()))}
	n := float64(len(overloadSeeds))
	for _, m := range playOverload(l, overloadSeeds) {
		mean.total += m.total / n
		mean.worstKind += m.worstKind / n
		mean.worstWindows += m.worstWindows / n
		mean.unservedShare += m.unservedShare / n
		mean.refusedAtOnce += m.refusedAtOnce / n
		mean.expiredStarted += m.expiredStarted / n
		mean.waitedQuarter += m.waitedQuarter / n
		mean.waitedHalf += m.waitedHalf / n
		mean.largest += m.largest / n
		mean.nextLargest += m.nextLargest / n
		mean.jobs += m.jobs
		for i := range mean.byKind {
			mean.byKind[i] += m.byKind[i] / n
			mean.unserved[i] += m.unserved[i] / n
		}
	}
	t.Log(l.name, mean)
	return mean
}

// overloadLimits bound what callers lose. Each is between the measured values with and without
// the decisions of package overload, see docs/design/overload.md.
type overloadLimits struct {
	total, worstKind, worstWindows float64 // at least
	unserved, waitedQuarter        float64 // at most
}

// minLargeShare is the least served share of the largest jobs of a kind over that of the kind.
const minLargeShare = 0.5

func (m overloadScore) checkLimits(t *testing.T, l overloadLimits) {
	t.Helper()
	if m.total < l.total || m.worstKind < l.worstKind || m.worstWindows < l.worstWindows {
		t.Errorf("total %.4f, worst kind %.3f, worst windows %.3f, want at least %v", m.total, m.worstKind, m.worstWindows, l)
	}
	if m.unservedShare > l.unserved || m.waitedQuarter > l.waitedQuarter {
		t.Errorf("unserved %.4f, waited a quarter %.4f, want at most %v", m.unservedShare, m.waitedQuarter, l)
	}
	if m.largest < minLargeShare || m.nextLargest < minLargeShare {
		t.Errorf("largest tenth %.3f, fifth below %.3f, want at least %.1f", m.largest, m.nextLargest, minLargeShare)
	}
}

// Load: bursts of one kind of 1.8 to 2.4 times for 4 to 6 s on a peak of 1.5 times the mean demand.
// Guards against jobs that are refused unstarted after they have waited for most of their time,
// and against a kind that pays for the bursts of the others.
func TestBurstsAbovePeak(t *testing.T) {
	meanOverload(t, burstsAbovePeak()).checkLimits(t, overloadLimits{0.845, 0.77, 0.65, 0.1, 0.06})
}

// Load: waves of 0.55 within 15 s that exceed the capacity of targets of unequal speed. Guards
// against the same in swings of all kinds.
func TestWavesAboveCapacity(t *testing.T) {
	meanOverload(t, waves()).checkLimits(t, overloadLimits{0.72, 0.5, 0.61, 0.065, 0.07})
}

// Load: the same waves at 0.57 of the height, below the capacity. Guards against refusals while there
// is capacity.
func TestWavesBelowCapacityRefuseNothing(t *testing.T) {
	m := meanOverload(t, spareCapacity())
	if m.unservedShare > 0 || m.total < 0.95 {
		t.Errorf("total %.4f, unserved %.4f, want at least 0.95 and 0", m.total, m.unservedShare)
	}
}
