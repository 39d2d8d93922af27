package estimate

import (
	"math"
	"time"
)

// maxWeight bounds the number of observations that count, so that a change of
// run times is followed within about as many tasks.
const maxWeight = 64

// moments are decayed weighted moments of pairs of logarithms: x declared, y
// actual.
type moments struct {
	weight        float64
	x, y          float64 // means
	sxx, sxy, syy float64 // sums of products of deviations
}

func (m *moments) scale(f float64) {
	m.weight *= f
	m.sxx *= f
	m.sxy *= f
	m.syy *= f
}

func (m *moments) add(x, y float64) {
	m.weight++
	dx, dy := x-m.x, y-m.y
	m.x += dx / m.weight
	m.y += dy / m.weight
	m.sxx += dx * (x - m.x)
	m.sxy += dx * (y - m.y)
	m.syy += dy * (y - m.y)
	if m.weight > maxWeight {
		m.scale(maxWeight / m.weight)
	}
}

// runTimeStats are the statistics of one key, or of the whole service.
type runTimeStats struct {
	key          string
	lastObserved time.Time
	all          moments // of every task, without x
	declared     moments // of tasks with a declared run time
}

func (s *runTimeStats) observe(declared, actual time.Duration, now time.Time, halfLife time.Duration) {
	if gap := now.Sub(s.lastObserved); !s.lastObserved.IsZero() && gap > 0 {
		f := math.Exp2(-float64(gap) / float64(halfLife))
		s.all.scale(f)
		s.declared.scale(f)
	}
	if now.After(s.lastObserved) {
		s.lastObserved = now
	}
	y := toLog(actual)
	s.all.add(0, y)
	if declared > 0 {
		s.declared.add(toLog(declared), y)
	}
}

// prediction predicts the logarithm of a run time: a mean without a declaration, and
// a line over the declared one. A slope of 0 ignores declarations, 1 trusts them
// but for a constant factor.
type prediction struct {
	mean     float64
	x, y     float64 // a point of the line
	slope    float64
	variance float64 // of the actual around the guess
}

// maxExtrapolation bounds how far from the declared values seen so far the line is
// followed, a factor of 20.
const maxExtrapolation = 3

func (g prediction) predictLog(declared time.Duration) float64 {
	if declared <= 0 {
		return g.mean
	}
	dx := min(max(toLog(declared)-g.x, -maxExtrapolation), maxExtrapolation)
	return g.y + g.slope*dx
}

const (
	// priorSlope takes the square root of the factor by which a declaration
	// differs from the typical run time, since declarations are often off by a
	// large factor.
	priorSlope = 0.5
	// priorVariance is that of a typical spread by a factor of two.
	priorVariance = 0.5
	// slopeWeight is the spread of declared values, in squared logarithms, that
	// a series needs before its own slope counts as much as the prior one. It is
	// reached by four values that differ by a factor of e.
	slopeWeight = 4
)

// prior is the guess before any observation.
func prior() prediction {
	typical := toLog(defaultRunTime)
	return prediction{mean: typical, x: typical, y: typical, slope: priorSlope, variance: priorVariance}
}

// refine corrects a guess by the series' own observations. The slope is a
// regression of actual on declared run times, so that declarations which do not
// correlate lose their effect.
func (s *runTimeStats) refine(base prediction, declared time.Duration) prediction {
	out := base
	all, pairs := &s.all, &s.declared
	trust := all.weight / (all.weight + priorWeight)
	out.mean = interpolate(base.mean, all.y, trust)
	out.variance = (all.syy + priorWeight*base.variance) / (all.weight + priorWeight)
	if declared <= 0 {
		return out
	}
	undeclared := max(0, all.weight-pairs.weight)
	undeclaredMean := interpolate(base.predictLog(declared), all.y, undeclared/(undeclared+priorWeight))
	slope := (pairs.sxy + slopeWeight*base.slope) / (pairs.sxx + slopeWeight)
	out.slope = min(max(slope, 0), 1)
	out.x = toLog(declared)
	own := prediction{x: pairs.x, y: pairs.y, slope: out.slope}
	trust = pairs.weight / (pairs.weight + priorWeight)
	out.y = interpolate(undeclaredMean, own.predictLog(declared), trust)
	residual := pairs.syy - 2*out.slope*pairs.sxy + out.slope*out.slope*pairs.sxx
	out.variance = (max(0, residual) + priorWeight*out.variance) / (pairs.weight + priorWeight)
	return out
}

func interpolate(a, b, share float64) float64 { return a + share*(b-a) }
