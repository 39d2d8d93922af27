package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/wire"
)

// The push baselines bind every task to a target on arrival, first in first out
// there. They are for comparison with late binding, which is the default.
const (
	bindingRandom     = "random"
	bindingTwoChoices = "two-choices"
)

// boundTask is a task that waits for the one target it was bound to.
type boundTask struct {
	job   *activeJob
	index int
}

func (s *Scheduler) pushes() bool {
	return s.opts.Policy.Binding == bindingRandom || s.opts.Policy.Binding == bindingTwoChoices
}

// bindAll binds every waiting task of a job.
func (s *Scheduler) bindAll(j *activeJob) {
	for i := range j.expected {
		if j.job.IsWaiting(i) {
			s.bind(j, i)
		}
	}
}

// bind puts a task behind those that are bound to the chosen target. A task
// whose group has no target waits with the first target that comes back.
func (s *Scheduler) bind(j *activeJob, index int) {
	t := s.pick(j.group)
	if t == nil {
		s.unbound = append(s.unbound, boundTask{j, index})
		return
	}
	t.bound = append(t.bound, boundTask{j, index})
}

// pick draws a target: one at random, or the less loaded of two.
func (s *Scheduler) pick(g *group) *target {
	if len(g.targets) == 0 {
		return nil
	}
	first := g.targets[s.opts.Random.IntN(len(g.targets))]
	if s.opts.Policy.Binding == bindingRandom {
		return first
	}
	second := g.targets[s.opts.Random.IntN(len(g.targets))]
	if second.heardLoad() < first.heardLoad() {
		return second
	}
	return first
}

// heardLoad is the load that the agent last reported, and at least what this
// entry itself has sent or bound.
func (t *target) heardLoad() int {
	return max(int(t.load), len(t.out)+len(t.bound))
}

// pumpBound starts bound tasks in the order of their arrival.
func (s *Scheduler) pumpBound(now time.Time) {
	s.rebindStranded()
	for _, t := range s.ordered {
		for s.mayStart(t, now) && s.startBound(t, now) {
		}
	}
}

func (s *Scheduler) startBound(t *target, now time.Time) bool {
	t.dropEnded()
	if len(t.bound) == 0 {
		return false
	}
	b := t.bound[0]
	if t.credit(b.job.classes[b.index]) == 0 || !s.allow(b.job.job.Spec().Workspace, wire.ClassShort) {
		return false
	}
	t.bound = t.bound[1:]
	return s.startTask(b.job, b.index, t, now)
}

// dropEnded removes tasks at the head that no longer wait.
func (t *target) dropEnded() {
	for len(t.bound) > 0 && !t.bound[0].job.job.IsWaiting(t.bound[0].index) {
		t.bound = t.bound[1:]
	}
}

// rebindStranded moves tasks away from targets that take no new work.
func (s *Scheduler) rebindStranded() {
	stranded := s.unbound
	s.unbound = nil
	for _, t := range s.ordered {
		if !t.usable() {
			stranded = append(stranded, t.bound...)
			t.bound = nil
		}
	}
	for _, b := range stranded {
		if b.job.job.IsWaiting(b.index) {
			s.bind(b.job, b.index)
		}
	}
}

// boundDemand is the demand of a push baseline: what is bound to this target, in
// the order of arrival.
func (t *target) boundDemand() wire.Demand {
	t.dropEnded()
	if len(t.bound) == 0 {
		return wire.Demand{}
	}
	head := t.bound[0]
	key := queue.Options{Order: queue.FIFO}.Key(head.job.item())
	return wire.Demand{Waiting: uint32(len(t.bound)), Key: key, Class: head.job.classes[head.index]}
}
