package estimate

import (
	"math"
	"time"
)

// maxWeight bounds the total weight of the observations, so that the statistics
// follow a change of run times within about as many tasks.
const maxWeight = 64

// moments holds decaying weighted moments of pairs of logarithms of run times: x is
// declared, y actual.
type moments struct {
	weight        float64
	x, y          float64 // means
	sxx, sxy, syy float64 // weighted sums of products of deviations from the means
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

// runTimeStats holds the statistics of one key or of the whole service.
type runTimeStats struct {
	key          string
	lastObserved time.Time
	all          moments // of all tasks, x is always 0
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

// prediction predicts the logarithm of a run time: as a mean without a declared run
// time, and as a linear function of its logarithm with one. With slope 0 declared run
// times have no effect; with slope 1 they are trusted up to a constant factor.
type prediction struct {
	mean     float64
	x, y     float64 // a point of the line
	slope    float64
	variance float64 // of the actual logarithm around the predicted one
}

// maxExtrapolation bounds how far from the declared values seen so far the linear
// function is applied, in natural logarithms: a factor of 20.
const maxExtrapolation = 3

func (p prediction) predictLog(declared time.Duration) float64 {
	if declared <= 0 {
		return p.mean
	}
	dx := min(max(toLog(declared)-p.x, -maxExtrapolation), maxExtrapolation)
	return p.y + p.slope*dx
}

const (
	// priorSlope applies the square root of the factor by which a declared run time
	// differs from the typical one, because declared run times are often wrong by a
	// large factor.
	priorSlope = 0.5
	// priorVariance is the variance of the natural logarithm of the run time. It
	// corresponds to a standard deviation of about a factor of two.
	priorVariance = 0.5
	// slopeWeight is the sum of squared deviations of the declared logarithms at
	// which the slope of the observations counts as much as the prior one. Four
	// values that deviate by a factor of e reach it.
	slopeWeight = 4
)

// prior returns the prediction before any observation.
func prior() prediction {
	typical := toLog(defaultRunTime)
	return prediction{mean: typical, x: typical, y: typical, slope: priorSlope, variance: priorVariance}
}

// refine combines a base prediction with the observations in s. The slope is a
// regression of actual on declared run times, so that declared run times without a
// correlation lose their effect.
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
