package forecast

import "math"

const (
	// defaultFarFactor is expected of a task away from its data's rack until one has run there: the
	// lower one of the factors that deployments have, so that a rack is worth a short wait.
	defaultFarFactor = 1.5
	// configuredRuns and assumedRuns are the weights of a configured factor and of the default, in
	// runs.
	configuredRuns = 40.0
	assumedRuns    = 2.0
	// rackWindow is the number of runs after which an observation has lost most of its weight. All
	// targets share one factor, so that there are many runs.
	rackWindow = 200.0
	// maxFarFactor bounds the factor.
	maxFarFactor = 20.0
)

// Rack is the factor by which a task takes longer away from the rack of its data.
type Rack struct {
	log  float64
	runs float64
}

// NewRack returns the factor before any run. Configured is that of the settings; below 1: none.
func NewRack(configured float64) Rack {
	if configured >= 1 {
		return Rack{log: math.Log(min(configured, maxFarFactor)), runs: configuredRuns}
	}
	return Rack{log: math.Log(defaultFarFactor), runs: assumedRuns}
}

// Factor returns the expected factor, at least 1.
func (r Rack) Factor() float64 { return max(1, math.Exp(r.log)) }

// Observe learns from a run in another rack that took exp(residual) times as long as the factor
// learnt so far predicts.
func (r *Rack) Observe(residual, weight float64) {
	residual = min(max(residual, -maxLogResidual), maxLogResidual)
	r.runs = min(r.runs+weight, rackWindow)
	r.log = min(max(r.log+residual*weight/max(r.runs, 1), 0), math.Log(maxFarFactor))
}
