package placement

import (
	"time"

	"github.com/catkinline/catkinline/forecast"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// fleetInterval is how often the speeds of the fleet are summed up: seldom compared with runs,
// often compared with how fast speeds are learnt.
const fleetInterval = 100 * time.Millisecond

// fleet is what is known of all targets: the best ones, for which a task may wait, and the factor
// for another rack.
type fleet struct {
	rack       forecast.Rack
	fastest    map[labelOfService]float64 // highest speed of a target that may get runs
	updatedAt  time.Time
	hopelessAt time.Time // when started jobs were last examined
}

// labelOfService names the targets of a service that have a label; empty: all of them.
type labelOfService struct{ service, label string }

// isFar reports whether a target is in another rack than a step's data.
func isFar(spec *workload.Step, t *target) bool {
	return spec.DataRack != "" && !t.hasLabel(spec.DataRack)
}

// runTime returns the expected duration of a run of a task on a target that is not cold.
func (s *Scheduler) runTime(work time.Duration, spec *workload.Step, t *target) time.Duration {
	return forecast.Run(work, t.speed, 1, s.rackFactor(isFar(spec, t)))
}

func (s *Scheduler) rackFactor(far bool) float64 {
	if far {
		return s.fleet.rack.Factor()
	}
	return 1
}

// bestRunTime returns the expected duration of a task's run on the best target that may run it.
func (s *Scheduler) bestRunTime(work time.Duration, service string, spec *workload.Step) time.Duration {
	fastest := s.fleet.fastest[labelOfService{service, spec.RequiredLabel}]
	if fastest == 0 {
		return work
	}
	best := float64(work) / fastest
	if spec.DataRack == "" {
		return time.Duration(best)
	}
	best *= s.fleet.rack.Factor()
	if inRack := min(fastest, s.fleet.fastest[labelOfService{service, spec.DataRack}]); inRack > 0 {
		best = min(best, float64(work)/inRack)
	}
	return time.Duration(best)
}

// updateFleet sums up the speeds of the targets that may get runs, and moves the scale so that
// their mean is 1: siblings show how targets compare, but not how fast all of them are.
func (s *Scheduler) updateFleet(now time.Time) {
	if now.Sub(s.fleet.updatedAt) < fleetInterval {
		return
	}
	s.fleet.updatedAt = now
	clear(s.fleet.fastest)
	sum, n := 0.0, 0.0
	for _, t := range s.ordered {
		if !t.placeable() || t.health.ejected {
			continue
		}
		factor := t.speed.Factor()
		s.fleet.raise(labelOfService{t.state.Service, ""}, factor)
		for _, label := range t.state.Labels {
			s.fleet.raise(labelOfService{t.state.Service, label}, factor)
		}
		log, _ := t.speed.Told()
		sum += log * t.speed.Confidence()
		n += t.speed.Confidence()
	}
	if n < 1 {
		return
	}
	for _, t := range s.ordered {
		if t.speed.Runs() > 0 {
			t.speed.Shift(-sum / n)
		}
	}
	s.estimates.shift(-sum / n)
}

// Speeds are the lowest and highest learnt speeds of usable targets, relative to their mean, and the
// factor on the run time away from the rack of a task's data.
type Speeds struct{ Slowest, Fastest, FarFactor float64 }

// Speeds returns the speeds of the targets.
func (s *Scheduler) Speeds() Speeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Speeds{Slowest: 1, Fastest: 1, FarFactor: s.fleet.rack.Factor()}
	for _, t := range s.ordered {
		if t.usable() {
			out.Slowest = min(out.Slowest, t.speed.Factor())
			out.Fastest = max(out.Fastest, t.speed.Factor())
		}
	}
	return out
}

func (f *fleet) raise(l labelOfService, factor float64) { f.fastest[l] = max(f.fastest[l], factor) }

// learn learns from a task that is done: its work for the estimates of its route, and with the
// last task of its step the speeds of the targets.
func (s *Scheduler) learn(j *activeJob, r *run, k *task) {
	declared := j.request.Job.Steps[r.step].Estimate
	k.work = forecast.Work(k.took, r.target.speed, r.coldness, s.rackFactor(r.far))
	if r.coldness <= 1 {
		s.estimates.observe(j.request.Route.Name, declared, k.work)
	}
	tasks := j.tasks[r.step]
	if len(tasks) == 1 {
		forecast.LearnEstimate(k.sample(), r.work, &s.fleet.rack)
		return
	}
	if j.doneTasks[r.step] < len(tasks) {
		s.reviseLength(j, r.step)
		return
	}
	s.samples = s.samples[:0]
	for i := range tasks {
		s.samples = append(s.samples, tasks[i].sample())
	}
	forecast.LearnSiblings(s.samples, &s.fleet.rack)
}

func (k *task) sample() forecast.Sample {
	return forecast.Sample{Speed: &k.doneOn.speed, Took: k.took, Cold: k.coldness, Far: k.far}
}

// recallSpeed takes over the speed that an agent passes on, if it says more than what is known
// here, and drops what was learnt of another process.
func (t *target) recallSpeed(before *wire.TargetState, first bool) {
	switch {
	case before.Target == "":
	case before.Target != t.state.Target || !sameMachine(before, &t.state):
		t.speed = forecast.Speed{}
	case before.Born != 0 && before.Born != t.state.Born:
		t.speed = t.speed.Restarted()
	}
	if told := t.state.Speed; first && told != nil {
		if known := forecast.Known(told.Log, told.Runs); known.Runs() > t.speed.Runs() {
			t.speed = known
		}
	}
}

// speedInterval is how often an agent is told the speed of its target, which a placer that links
// to it later needs to know within some percent.
const speedInterval = time.Second

// speedToTell returns the speed to tell the agent with a start, or nil.
func (t *target) speedToTell(now time.Time) *wire.TargetSpeed {
	if t.speed.Runs() < 1 || now.Sub(t.speedToldAt) < speedInterval {
		return nil
	}
	t.speedToldAt = now
	log, runs := t.speed.Told()
	return &wire.TargetSpeed{Log: log, Runs: runs}
}

// sameMachine reports whether two states describe targets of the same kind and size.
func sameMachine(a, b *wire.TargetState) bool {
	if a.Capacity != b.Capacity || len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return true
}
