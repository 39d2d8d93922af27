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

// assignedTask is a task that waits for the target it is assigned to.
type assignedTask struct {
	job   *activeJob
	index int
}

func (s *Scheduler) usesPushBinding() bool {
	return s.opts.Policy.Binding == bindingRandom || s.opts.Policy.Binding == bindingTwoChoices
}

// assignAll assigns every waiting task of a job.
func (s *Scheduler) assignAll(j *activeJob) {
	for i := range j.expected {
		if j.job.IsWaiting(i) {
			s.assign(j, i)
		}
	}
}

// assign appends a task to the queue of the chosen target. A task whose group has no
// target stays unassigned until reassignStranded finds one.
func (s *Scheduler) assign(j *activeJob, index int) {
	t := s.pickTarget(j.group)
	if t == nil {
		s.unassigned = append(s.unassigned, assignedTask{j, index})
		return
	}
	t.assignedTasks = append(t.assignedTasks, assignedTask{j, index})
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
// tasks that this entry has sent or assigned if that is higher.
func (t *target) effectiveLoad() int {
	return max(int(t.reportedLoad), len(t.attempts)+len(t.assignedTasks))
}

// startAssignedTasks starts assigned tasks on every target in order of arrival.
func (s *Scheduler) startAssignedTasks(now time.Time) {
	s.reassignStranded()
	for _, t := range s.sortedTargets {
		for s.canStartOn(t, now) && s.startNextAssignedTask(t, now) {
		}
	}
}

func (s *Scheduler) startNextAssignedTask(t *target, now time.Time) bool {
	t.dropEndedHead()
	if len(t.assignedTasks) == 0 {
		return false
	}
	next := t.assignedTasks[0]
	if t.grantedSlots(next.job.classes[next.index]) == 0 || !s.allow(next.job.job.Spec().Workspace, wire.ClassShort) {
		return false
	}
	t.assignedTasks = t.assignedTasks[1:]
	return s.startTask(next.job, next.index, t, now)
}

// dropEndedHead removes tasks from the head of the queue that no longer wait.
func (t *target) dropEndedHead() {
	for len(t.assignedTasks) > 0 && !t.assignedTasks[0].job.job.IsWaiting(t.assignedTasks[0].index) {
		t.assignedTasks = t.assignedTasks[1:]
	}
}

// reassignStranded moves tasks to other targets if theirs accepts no new work.
func (s *Scheduler) reassignStranded() {
	stranded := s.unassigned
	s.unassigned = nil
	for _, t := range s.sortedTargets {
		if !t.usable() {
			stranded = append(stranded, t.assignedTasks...)
			t.assignedTasks = nil
		}
	}
	for _, task := range stranded {
		if task.job.job.IsWaiting(task.index) {
			s.assign(task.job, task.index)
		}
	}
}

// assignedDemand returns the demand under a push binding: the tasks assigned to this
// target, in order of arrival.
func (t *target) assignedDemand() wire.Demand {
	t.dropEndedHead()
	if len(t.assignedTasks) == 0 {
		return wire.Demand{}
	}
	head := t.assignedTasks[0]
	key := queue.Options{Order: queue.FIFO}.Key(head.job.item())
	return wire.Demand{Waiting: uint32(len(t.assignedTasks)), Key: key, Class: head.job.classes[head.index]}
}
