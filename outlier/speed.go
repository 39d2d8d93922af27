package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// speedTasks is the number of tasks over which a target's speed is averaged.
	speedTasks = 16
	// speedPrior is the number of tasks after which a target's own speed counts
	// as much as the assumption that it is like the median.
	speedPrior = 4
	// minSpeedTasks is the number of tasks before a target is ejected for its
	// speed.
	minSpeedTasks = 8
	// minWeight keeps some work on the slowest targets, so that they are seen to
	// recover.
	minWeight = 0.1
	// maxLogRatio bounds what one straggler does to a target's average, a factor
	// of 50.
	maxLogRatio = 4
)

// speed is the moving average of the logarithm of observed over expected run
// time.
type speed struct {
	tasks float64
	log   float64
}

func logRatio(runTime, expected time.Duration) float64 {
	if runTime <= 0 || expected <= 0 {
		return 0
	}
	return min(max(math.Log(float64(runTime)/float64(expected)), -maxLogRatio), maxLogRatio)
}

func (d *Detector) observeSpeed(t *target, runTime, expected time.Duration) {
	if runTime <= 0 || expected <= 0 {
		return
	}
	s := &t.speed
	s.tasks = min(s.tasks+1, speedTasks)
	s.log += (logRatio(runTime, expected) - s.log) / s.tasks
	d.sinceMedian++
	if d.sinceMedian >= len(d.targets) {
		d.sinceMedian = 0
		d.median = d.medianSpeed()
	}
}

// medianSpeed is the median over targets that are in full use. It cancels an
// error that all estimates share.
func (d *Detector) medianSpeed() float64 {
	logs := make([]float64, 0, len(d.targets))
	for _, t := range d.targets {
		if t.speed.tasks > 0 && !t.restricted {
			logs = append(logs, t.speed.log)
		}
	}
	if len(logs) == 0 {
		return 0
	}
	slices.Sort(logs)
	return (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
}

// slowdown returns how much slower than the median target a ratio is.
func (d *Detector) slowdown(log float64) float64 { return log - d.median }

func (d *Detector) slowLimit() float64 { return math.Log(d.options.SlowFactor) }

func (d *Detector) isSlow(t *target) bool {
	return t.speed.tasks >= minSpeedTasks && d.slowdown(t.speed.log) > d.slowLimit()
}

// Weight returns how much a target is to be preferred, from minWeight to 1: its
// speed relative to the median target, where it is slower than that.
func (d *Detector) Weight(name string) float64 {
	t, ok := d.targets[name]
	if !ok || d.options.Disabled {
		return 1
	}
	confidence := t.speed.tasks / (t.speed.tasks + speedPrior)
	return min(max(math.Exp(-confidence*d.slowdown(t.speed.log)), minWeight), 1)
}
