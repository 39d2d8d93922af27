package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// speedTasks is the number of tasks in a target's moving average of speed.
	speedTasks = 16
	// speedPriorTasks is the number of tasks after which a target's measured speed
	// weighs as much as the prior that it equals the median.
	speedPriorTasks = 4
	// minSpeedTasks is the minimum number of tasks before a target is ejected for its
	// speed.
	minSpeedTasks = 8
	// minWeight keeps some work on the slowest targets, so that their recovery is
	// observed.
	minWeight = 0.1
	// maxLogRatio limits the effect of one straggler on a target's average to a
	// factor of about 50.
	maxLogRatio = 4
)

// speed is the moving average of the logarithm of actual over expected run time.
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

// medianSpeed returns the median over healthy targets. Comparing with it cancels an
// error common to all estimates.
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

// slowdown returns the difference of a log ratio to that of the median target;
// positive means slower.
func (d *Detector) slowdown(log float64) float64 { return log - d.median }

func (d *Detector) slowLimit() float64 { return math.Log(d.options.SlowFactor) }

func (d *Detector) isSlow(t *target) bool {
	return t.speed.tasks >= minSpeedTasks && d.slowdown(t.speed.log) > d.slowLimit()
}

// Weight returns a target's placement weight, from minWeight to 1: its speed relative
// to the median target if it is slower, else 1.
func (d *Detector) Weight(name string) float64 {
	t, ok := d.targets[name]
	if !ok || d.options.Disabled {
		return 1
	}
	confidence := t.speed.tasks / (t.speed.tasks + speedPriorTasks)
	return min(max(math.Exp(-confidence*d.slowdown(t.speed.log)), minWeight), 1)
}
