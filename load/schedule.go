package load

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the form of a distribution's density between its bounds.
type Shape string

// Shapes of distributions. An empty shape is uniform.
const (
	ShapeUniform    Shape = "uniform"
	ShapeLogUniform Shape = "log-uniform" // uniform in the logarithm
	// ShapeInverseSquare has a density proportional to 1/x², as is typical of job
	// sizes: each range of a factor of two has half the probability of the one
	// below it and contributes equally to the mean.
	ShapeInverseSquare Shape = "inverse-square"
)

// Distribution is a bounded probability distribution. Equal bounds give a constant.
type Distribution struct {
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
	Shape Shape   `json:"shape"`
}

func (d Distribution) validate() error {
	if d.Min < 0 || d.Max < d.Min {
		return Err.New("min %v and max %v must satisfy 0 <= min <= max", d.Min, d.Max)
	}
	switch d.Shape {
	case "", ShapeUniform:
		return nil
	case ShapeLogUniform, ShapeInverseSquare:
		if d.Min > 0 {
			return nil
		}
		return Err.New("shape %s needs min above 0", d.Shape)
	}
	return Err.New("unknown shape %q", d.Shape)
}

// sample returns a random value by inverse transform sampling.
func (d Distribution) sample(random *rand.Rand) float64 {
	u := random.Float64()
	switch d.Shape {
	case ShapeLogUniform:
		return d.Min * math.Pow(d.Max/d.Min, u)
	case ShapeInverseSquare:
		return 1 / (1/d.Min - u*(1/d.Min-1/d.Max))
	}
	return d.Min + u*(d.Max-d.Min)
}

// mean returns the expected value of the distribution.
func (d Distribution) mean() float64 {
	switch {
	case d.Max == d.Min:
		return d.Min
	case d.Shape == ShapeLogUniform:
		return (d.Max - d.Min) / math.Log(d.Max/d.Min)
	case d.Shape == ShapeInverseSquare:
		return math.Log(d.Max/d.Min) / (1/d.Min - 1/d.Max)
	}
	return (d.Min + d.Max) / 2
}

// plannedJob is one job of the schedule, with all of its random values.
type plannedJob struct {
	at        time.Duration // intended arrival, from the start of the run
	class     *Class
	workspace string
	entry     float64   // random value in [0, 1) that selects the entry
	cancel    float64   // random value in [0, 1); a wave with a larger share cancels the job
	runMS     []float64 // actual run times in ms, one per task
	declared  []float64 // declared run times in ms
}

// taskSeconds returns the sum of the run times in seconds.
func (j *plannedJob) taskSeconds() float64 {
	var ms float64
	for _, run := range j.runMS {
		ms += run
	}
	return ms / 1000
}

// longest returns the run time of the longest task.
func (j *plannedJob) longest() time.Duration {
	return time.Duration(slices.Max(j.runMS) * float64(time.Millisecond))
}

// factor returns the load factor at a time in seconds after the start.
func (s Swing) factor(at float64) float64 {
	if s.peak(at) {
		return s.Factor
	}
	return 1
}

// peak reports whether a time in seconds after the start is in a load peak.
func (s Swing) peak(at float64) bool {
	if s.Factor == 0 || at < s.FirstAt {
		return false
	}
	return math.Mod(at-s.FirstAt, s.Every) < s.Seconds
}

// jobsPerSecond returns the arrival rate outside peaks that gives the offered load.
func (r *resolvedExperiment) jobsPerSecond() float64 {
	var shares, seconds float64
	for _, c := range r.Classes {
		shares += c.Share
		seconds += c.Share * c.Tasks.mean() * c.RunMS.mean() / 1000
	}
	if seconds == 0 {
		return 0
	}
	slots := float64(r.Fleet.Targets * r.Fleet.Slots)
	return r.Load * slots * shares / seconds
}

// schedule generates all jobs of a run, with Poisson arrivals. A seed gives the same
// jobs to all variants with the same load, so that a comparison of variants isn't
// affected by differences in their jobs.
func (r *resolvedExperiment) schedule(seed uint64) ([]plannedJob, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	maxRate := r.jobsPerSecond() * max(1, r.Swing.Factor)
	if maxRate <= 0 {
		return nil, Err.New("the arrival rate is zero: load, or every class's share or run time, is 0")
	}
	if expected := maxRate * r.Seconds; expected > float64(r.MaxJobs) {
		return nil, Err.New("the schedule may have %.0f jobs, above max_jobs %d", expected, r.MaxJobs)
	}
	var jobs []plannedJob
	tasks := 0
	for at := random.ExpFloat64() / maxRate; at < r.Seconds; at += random.ExpFloat64() / maxRate {
		// Thinning: arrivals are generated at the peak rate and accepted with
		// the ratio of the current rate to it.
		if random.Float64()*max(1, r.Swing.Factor) >= r.Swing.factor(at) {
			continue
		}
		job := r.drawJob(random, time.Duration(at*float64(time.Second)))
		if tasks += len(job.runMS); tasks > maxTasksTotal || len(jobs) >= r.MaxJobs {
			return nil, Err.New("the schedule has more than %d jobs (max_jobs) or %d tasks", r.MaxJobs, maxTasksTotal)
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

func (r *resolvedExperiment) drawJob(random *rand.Rand, at time.Duration) plannedJob {
	class := r.drawClass(random)
	job := plannedJob{
		at:        at,
		class:     class,
		workspace: drawWorkspace(random, class.Workspaces),
		entry:     random.Float64(),
		cancel:    random.Float64(),
	}
	tasks := int(math.Round(class.Tasks.sample(random)))
	for range tasks {
		run := class.RunMS.sample(random)
		job.runMS = append(job.runMS, run)
		job.declared = append(job.declared, run*class.Declared.sample(random))
	}
	return job
}

// drawClass selects a class with a probability in proportion to its share.
func (r *resolvedExperiment) drawClass(random *rand.Rand) *Class {
	var total float64
	for _, c := range r.Classes {
		total += c.Share
	}
	u := random.Float64() * total
	for i := range r.Classes {
		u -= r.Classes[i].Share
		if u < 0 {
			return &r.Classes[i]
		}
	}
	return &r.Classes[len(r.Classes)-1]
}

// drawWorkspace selects a workspace with a probability in proportion to its share.
// The names are sorted, so that a seed always gives the same choice.
func drawWorkspace(random *rand.Rand, shares map[string]float64) string {
	names := slices.Sorted(maps.Keys(shares))
	var total float64
	for _, name := range names {
		total += shares[name]
	}
	u := random.Float64() * total
	for _, name := range names {
		u -= shares[name]
		if u < 0 {
			return name
		}
	}
	return names[len(names)-1]
}
