package placement

import (
	"math"
	"time"
)

// estimates corrects the callers' run time estimates by route, with a moving average of
// the logarithm of actual over estimated run time. Run times are work as package forecast has it,
// so that an estimate does not depend on the targets that served the route.
type estimates struct{ byRoute map[string]*bias }

type bias struct {
	logRatio    float64
	weight      float64       // runs observed, up to biasWindow
	meanRunTime time.Duration // used for jobs without an estimate
}

const (
	// biasWindow is the number of runs after which an observation has lost most
	// of its weight.
	biasWindow = 200.0
	// defaultRunTime is expected without an estimate or an observation. It is in the
	// middle of the range of 50 ms to 1 s in which most run times are.
	defaultRunTime = 250 * time.Millisecond
	minRunTime     = time.Millisecond
)

func newEstimates() estimates { return estimates{byRoute: make(map[string]*bias)} }

func (e estimates) observe(route string, declared, work time.Duration) {
	b := e.byRoute[route]
	if b == nil {
		b = &bias{meanRunTime: work}
		e.byRoute[route] = b
	}
	b.weight = min(b.weight+1, biasWindow)
	b.meanRunTime += time.Duration(float64(work-b.meanRunTime) / b.weight)
	if declared > 0 {
		b.logRatio += (math.Log(float64(max(work, minRunTime))/float64(declared)) - b.logRatio) / b.weight
	}
}

// shift moves the scale on which run times are measured.
func (e estimates) shift(log float64) {
	for _, b := range e.byRoute {
		b.logRatio += log
		b.meanRunTime = time.Duration(float64(b.meanRunTime) * math.Exp(log))
	}
}

// expect returns the expected run time of a task, given the caller's estimate or 0.
func (e estimates) expect(route string, declared time.Duration) time.Duration {
	b := e.byRoute[route]
	switch {
	case b == nil && declared > 0:
		return declared
	case b == nil:
		return defaultRunTime
	case declared <= 0:
		return b.meanRunTime
	}
	return time.Duration(float64(declared) * math.Exp(b.logRatio))
}

// estimate sets a job's expected run times and its latency objective.
func (s *Scheduler) estimate(j *activeJob) {
	for i, step := range j.request.Job.Steps {
		j.expected[i] = s.estimates.expect(j.request.Route.Name, step.Estimate)
	}
	j.objective = j.arrived.Add(j.allowedTime())
}

// allowedTime returns the job's latency objective as a duration.
func (j *activeJob) allowedTime() time.Duration {
	route := &j.request.Route
	return time.Duration(max(1, route.Stretch)*float64(j.longestPath(false))) + route.TargetDuration
}
