package load

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape is the form of a distribution between its bounds.
type Shape string

// The shapes. The empty shape is uniform.
const (
	ShapeUniform    Shape = "uniform"
	ShapeLogUniform Shape = "log-uniform" // every factor of two is equally likely
	// ShapeInverseSquare has a density in proportion to 1/x²: every factor of two
	// has half the probability of the one below and contributes equally to the
	// mean, as with job sizes.
	ShapeInverseSquare Shape = "inverse-square"
)

// Distribution is a bounded distribution; equal bounds give a constant.
type Distribution struct {
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
	Shape Shape   `json:"shape"`
}

func (d Distribution) validate() error {
	if d.Min < 0 || d.Max < d.Min {
		return Err.New("bounds %v and %v", d.Min, d.Max)
	}
	switch d.Shape {
	case "", ShapeUniform:
		return nil
	case ShapeLogUniform, ShapeInverseSquare:
		if d.Min > 0 {
			return nil
		}
		return Err.New("%s needs a lower bound above 0", d.Shape)
	}
	return Err.New("unknown shape %q", d.Shape)
}

func (d Distribution) draw(random *rand.Rand) float64 {
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

// plannedJob is one job of the schedule.
type plannedJob struct {
	at        time.Duration // intended arrival after the start
	class     *Class
	workspace string
	entry     float64 // draws of the entry and of cancellation, 0 to 1
	cancel    float64
	runMS     []float64
	declared  []float64
}

// taskSeconds returns the sum of the run times.
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

// factor returns the swing's factor at a time in seconds.
func (s Swing) factor(at float64) float64 {
	if s.peak(at) {
		return s.Factor
	}
	return 1
}

// peak reports whether a time in seconds is in a peak.
func (s Swing) peak(at float64) bool {
	if s.Factor == 0 || at < s.FirstAt {
		return false
	}
	return math.Mod(at-s.FirstAt, s.Every) < s.Seconds
}

// jobsPerSecond returns the base rate of arrivals that gives the load.
func (r *resolved) jobsPerSecond() float64 {
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

// schedule draws all jobs of a run. One seed gives the same jobs to every
// variant with the same load, so that variants differ in policy only.
func (r *resolved) schedule(seed uint64) ([]plannedJob, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	highest := r.jobsPerSecond() * max(1, r.Swing.Factor)
	if highest <= 0 {
		return nil, Err.New("the load gives no arrivals")
	}
	if expected := highest * r.Seconds; expected > float64(r.MaxJobs) {
		return nil, Err.New("up to %.0f jobs, max_jobs is %d", expected, r.MaxJobs)
	}
	var jobs []plannedJob
	tasks := 0
	for at := random.ExpFloat64() / highest; at < r.Seconds; at += random.ExpFloat64() / highest {
		// Thinning: arrivals are drawn at the highest rate and kept in
		// proportion to the rate of the moment.
		if random.Float64()*max(1, r.Swing.Factor) >= r.Swing.factor(at) {
			continue
		}
		job := r.draw(random, time.Duration(at*float64(time.Second)))
		if tasks += len(job.runMS); tasks > maxTasksTotal || len(jobs) >= r.MaxJobs {
			return nil, Err.New("more than %d jobs or %d tasks", r.MaxJobs, maxTasksTotal)
		}
		jobs = append(jobs, job)
	}
	return jobs, nil
}

func (r *resolved) draw(random *rand.Rand, at time.Duration) plannedJob {
	class := r.drawClass(random)
	job := plannedJob{
		at:        at,
		class:     class,
		workspace: drawWorkspace(random, class.Workspaces),
		entry:     random.Float64(),
		cancel:    random.Float64(),
	}
	tasks := int(math.Round(class.Tasks.draw(random)))
	for range tasks {
		run := class.RunMS.draw(random)
		job.runMS = append(job.runMS, run)
		job.declared = append(job.declared, run*class.Declared.draw(random))
	}
	return job
}

func (r *resolved) drawClass(random *rand.Rand) *Class {
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
