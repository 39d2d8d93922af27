package forecast

import (
	"math"
	"time"
)

// Sample is a run that has done its task.
type Sample struct {
	Speed *Speed // of its target
	Took  time.Duration
	Cold  float64 // coldness of the target when the run started; 1: none
	Far   bool    // away from the rack of its data
}

// minTime keeps logarithms finite.
const minTime = time.Millisecond

// LearnSiblings learns the speeds of targets, and the factor for another rack, from the runs of
// all tasks of one step. The tasks are alike, so that how far a run is from the mean of all says
// how fast its target is, whatever the length of the job and whichever targets its siblings ran
// on. Learning from all at once, when the last one is done, favours no target: the first to be
// done are the fast ones.
func LearnSiblings(samples []Sample, rack *Rack) {
	if len(samples) < 2 {
		return
	}
	var sum, far, near, farRuns, nearRuns float64
	logs := make([]float64, len(samples))
	for i, x := range samples {
		logs[i] = x.logWork(*rack)
		sum += logs[i]
		switch {
		case x.Far:
			far, farRuns = far+logs[i], farRuns+1
		default:
			near, nearRuns = near+logs[i], nearRuns+1
		}
	}
	mean := sum / float64(len(samples))
	if farRuns > 0 && nearRuns > 0 {
		rack.Observe(far/farRuns-near/nearRuns, min(farRuns, nearRuns))
	}
	n := float64(len(samples))
	for i, x := range samples {
		others := n - float64(runsOn(x.Speed, samples))
		if x.Cold <= 1 && others > 0 {
			// Runs of the same target say nothing of its speed, but are in the mean.
			x.Speed.Observe((logs[i]-mean)*n/others, others/(n-1))
		}
	}
}

// maxCompared bounds the siblings among which those on one target are counted, since the largest
// jobs have thousands of tasks.
const maxCompared = 32

// runsOn returns the number of samples that ran on a target.
func runsOn(s *Speed, samples []Sample) int {
	n := 0
	compared := samples[:min(len(samples), maxCompared)]
	for i := range compared {
		if compared[i].Speed == s {
			n++
		}
	}
	return max(1, n*len(samples)/len(compared))
}

// LearnEstimate learns from a run without siblings, whose work was expected by its job's estimate.
func LearnEstimate(x Sample, expected time.Duration, rack *Rack) {
	if x.Cold > 1 {
		return
	}
	residual := x.logWork(*rack) - math.Log(float64(max(expected, minTime)))
	if x.Far {
		rack.Observe(residual, EstimateWeight)
	}
	x.Speed.Observe(residual, EstimateWeight)
}

// logWork returns the logarithm of the run's work.
func (x Sample) logWork(rack Rack) float64 {
	log := math.Log(float64(max(x.Took, minTime))) + x.Speed.log
	if x.Far {
		log -= math.Log(rack.Factor())
	}
	if x.Cold > 1 {
		log -= math.Log(x.Cold)
	}
	return log
}
