// Package forecast predicts how long a run takes on one target, from the target's learnt speed,
// the rack of the task's data, and coldness. It does no I/O.
//
// Times are compared as work: the time that a run would have taken on a target of speed 1 in the
// rack of its data. Work is the same wherever a task runs, so that what is learnt of a target does
// not depend on the targets that its siblings ran on.
package forecast

import (
	"math"
	"time"
)

const (
	// speedWindow is the number of runs after which an observation has lost most of its weight:
	// about what a target of 32 cores completes in 3 s. A steady speed is known within 3% by then,
	// as siblings differ by 15%; one that changes is followed.
	speedWindow = 40.0
	// priorRuns is the number of runs that the assumption of a mean speed weighs as much as. With
	// four runs the speed is known within 8%, far less than targets differ.
	priorRuns = 2.0
	// maxLogResidual limits what one run changes. Steady speeds differ by up to a factor of 2.2; a
	// run that differs by more is a straggler, or its target is faulty.
	maxLogResidual = 1.0
	// minSpeed and maxSpeed bound what counts as a speed rather than a fault: a third and three
	// times of the fleet's mean.
	minSpeed = 1.0 / 3
	maxSpeed = 3.0
	// EstimateWeight is the weight of a run that is compared with its job's estimate, in runs that
	// are compared with siblings: estimates are off by sigma 0.4, siblings by 0.15.
	EstimateWeight = 0.1
	// toldRuns limits the weight of a speed that another process has learnt, so that 10 runs of
	// one's own outweigh it.
	toldRuns = 10.0
	// RestartRuns is the weight that is left when the target's process is another one on a machine
	// of the same kind and size.
	RestartRuns = 2.0
)

// Speed is what is known of the speed of a target relative to the mean of the fleet. The zero
// value is an unknown speed, which counts as 1.
type Speed struct {
	log    float64 // natural logarithm of the relative speed
	runs   float64 // weight of what was observed, up to speedWindow
	factor float64 // cached by update; 0: 1
}

// Known returns a speed that was learnt elsewhere, as Told returns it. Values that are no numbers
// or out of range are cut to what a speed can be.
func Known(log, runs float64) Speed {
	if math.IsNaN(log) || math.IsNaN(runs) {
		return Speed{}
	}
	s := Speed{log: log, runs: min(max(runs, 0), toldRuns)}
	s.update()
	return s
}

// Told returns the logarithm of the speed and the weight in runs, for other processes.
func (s Speed) Told() (log, runs float64) { return s.log, s.runs }

// Runs returns the weight of what was observed, in runs.
func (s Speed) Runs() float64 { return s.runs }

// Confidence returns how well the speed is known, from 0 to 1.
func (s Speed) Confidence() float64 { return s.runs / (s.runs + priorRuns) }

// Factor returns the expected speed: 1 for the fleet's mean, 2 for twice as fast.
func (s Speed) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}

// Observe learns from a run that took exp(residual) times as long as it does at the speed learnt
// so far. Weight is 1 for a run that was compared with its siblings.
func (s *Speed) Observe(residual, weight float64) {
	residual = min(max(residual, -maxLogResidual), maxLogResidual)
	s.runs = min(s.runs+weight, speedWindow)
	s.log -= residual * weight / max(s.runs, 1)
	s.update()
}

// Shift moves the scale on which speeds are measured.
func (s *Speed) Shift(log float64) {
	s.log += log
	s.update()
}

// Restarted returns what is left of the speed when the target's process has been replaced by
// another one on a machine of the same kind and size.
func (s Speed) Restarted() Speed {
	s.runs = min(s.runs, RestartRuns)
	s.update()
	return s
}

func (s *Speed) update() {
	s.log = min(max(s.log, math.Log(minSpeed)), math.Log(maxSpeed))
	s.factor = math.Exp(s.log * s.Confidence())
}

// Run returns the expected duration of a run: work is its run time on a target of speed 1 in the
// rack of its data, rack the factor for its rack, and coldness the factor for a cold target; both
// are at least 1.
func Run(work time.Duration, s Speed, coldness, rack float64) time.Duration {
	return time.Duration(float64(work) * max(1, coldness) * max(1, rack) / s.Factor())
}

// Work returns the work of a run that took a time.
func Work(took time.Duration, s Speed, coldness, rack float64) time.Duration {
	return time.Duration(float64(took) * s.Factor() / (max(1, coldness) * max(1, rack)))
}
