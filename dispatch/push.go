package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/wire"
)

// Push bindings assign every task to a target on arrival; each target serves its
// tasks in FIFO order. They are baselines for comparison with late binding, the
// default.
const (
	bindingRandom     = "random"
	bindingTwoChoices = "two-choices"
)

// boundTask is a task that waits for the target it is bound to.
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

// bind appends a task to the queue of the chosen target. A task whose group has no
// target stays unbound and is bound by rebindStranded once a target is available.
func (s *Scheduler) bind(j *activeJob, index int) {
	t := s.pickTarget(j.group)
	if t == nil {
		s.unbound = append(s.unbound, boundTask{j, index})
		return
	}
	t.boundTasks = append(t.boundTasks, boundTask{j, index})
}

// pickTarget returns a random target, or the less loaded of two random targets.
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

// effectiveLoad returns the load that the agent last reported, or the number of
// tasks that this entry has sent or bound if that is higher.
func (t *target) effectiveLoad() int {
	return max(int(t.reportedLoad), len(t.attempts)+len(t.boundTasks))
}

// startBoundTasks starts bound tasks on every target in order of arrival.
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

// dropEndedHead removes tasks from the head of the queue that no longer wait.
func (t *target) dropEndedHead() {
	for len(t.boundTasks) > 0 && !t.boundTasks[0].job.job.IsWaiting(t.boundTasks[0].index) {
		t.boundTasks = t.boundTasks[1:]
	}
}

// rebindStranded moves tasks to other targets if theirs accepts no new work.
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

// boundDemand returns the demand under a push binding: the tasks bound to this
// target, in order of arrival.
func (t *target) boundDemand() wire.Demand {
	t.dropEndedHead()
	if len(t.boundTasks) == 0 {
		return wire.Demand{}
	}
	head := t.boundTasks[0]
	key := queue.Options{Order: queue.FIFO}.Key(head.job.item())
	return wire.Demand{Waiting: uint32(len(t.boundTasks)), Key: key, Class: head.job.classes[head.index]}
}
