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

func (s *Scheduler) usesPushBinding() bool {
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
	t := s.pickTarget(j.group)
	if t == nil {
		s.unbound = append(s.unbound, boundTask{j, index})
		return
	}
	t.boundTasks = append(t.boundTasks, boundTask{j, index})
}

// pickTarget draws a target: one at random, or the less loaded of two.
func (s *Scheduler) pickTarget(g *group) *target {
	if len(g.targets) == 0 {
		return nil
	}
	first := g.targets[s.opts.Random.IntN(len(g.targets))]
	if s.opts.Policy.Binding == bindingRandom {
		return first
	}
	second := g.targets[s.opts.Random.IntN(len(g.targets))]
	if second.effectiveLoad() < first.effectiveLoad() {
		return second
	}
	return first
}

// effectiveLoad is the load that the agent last reported, and at least what this
// entry itself has sent or bound.
func (t *target) effectiveLoad() int {
	return max(int(t.reportedLoad), len(t.attempts)+len(t.boundTasks))
}

// startBoundTasks starts bound tasks in the order of their arrival.
func (s *Scheduler) startBoundTasks(now time.Time) {
	s.rebindStranded()
	for _, t := range s.sortedTargets {
		for s.canStartOn(t, now) && s.startBound(t, now) {
		}
	}
}

func (s *Scheduler) startBound(t *target, now time.Time) bool {
	t.dropEndedHead()
	if len(t.boundTasks) == 0 {
		return false
	}
	b := t.boundTasks[0]
	if t.grantedSlots(b.job.classes[b.index]) == 0 || !s.allow(b.job.job.Spec().Workspace, wire.ClassShort) {
		return false
	}
	t.boundTasks = t.boundTasks[1:]
	return s.startTask(b.job, b.index, t, now)
}

// dropEndedHead removes tasks at the head that no longer wait.
func (t *target) dropEndedHead() {
	for len(t.boundTasks) > 0 && !t.boundTasks[0].job.job.IsWaiting(t.boundTasks[0].index) {
		t.boundTasks = t.boundTasks[1:]
	}
}

// rebindStranded moves tasks away from targets that take no new work.
func (s *Scheduler) rebindStranded() {
	stranded := s.unbound
	s.unbound = nil
	for _, t := range s.sortedTargets {
		if !t.usable() {
			stranded = append(stranded, t.boundTasks...)
			t.boundTasks = nil
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
	t.dropEndedHead()
	if len(t.boundTasks) == 0 {
		return wire.Demand{}
	}
	head := t.boundTasks[0]
	key := queue.Options{Order: queue.FIFO}.Key(head.job.item())
	return wire.Demand{Waiting: uint32(len(t.boundTasks)), Key: key, Class: head.job.classes[head.index]}
}
