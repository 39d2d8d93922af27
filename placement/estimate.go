package placement

import (
	"math"
	"time"
)

// estimates learns by how much the callers' estimates of a route are off, as
// the mean logarithm of actual over estimated run time.
type estimates struct{ byRoute map[string]*bias }

type bias struct {
	log    float64
	weight float64
	mean   time.Duration // of run times, for jobs without an estimate
}

const (
	// biasMemory is the number of runs after which an observation has lost most
	// of its weight.
	biasMemory = 200.0
	// defaultRun is expected where nothing is known: the middle of the usual
	// range of 50 ms to 1 s.
	defaultRun = 250 * time.Millisecond
	minRun     = time.Millisecond
)

func newEstimates() estimates { return estimates{byRoute: make(map[string]*bias)} }

func (e estimates) observe(route string, declared, took time.Duration) {
	b := e.byRoute[route]
	if b == nil {
		b = &bias{mean: took}
		e.byRoute[route] = b
	}
	b.weight = min(b.weight+1, biasMemory)
	b.mean += time.Duration(float64(took-b.mean) / b.weight)
	if declared > 0 {
		b.log += (math.Log(float64(max(took, minRun))/float64(declared)) - b.log) / b.weight
	}
}

// expect returns the expected run time of a task.
func (e estimates) expect(route string, declared time.Duration) time.Duration {
	b := e.byRoute[route]
	switch {
	case b == nil && declared > 0:
		return declared
	case b == nil:
		return defaultRun
	case declared <= 0:
		return b.mean
	}
	return time.Duration(float64(declared) * math.Exp(b.log))
}

// estimate fills in a job's expected run times and its objective.
func (s *Scheduler) estimate(j *activeJob) {
	route := &j.request.Route
	for i, step := range j.request.Job.Steps {
		j.expected[i] = s.estimates.expect(route.Name, step.Estimate)
	}
	allowed := time.Duration(max(1, route.Stretch)*float64(j.chain())) + route.TargetDuration
	j.objective = j.arrived.Add(allowed)
}
