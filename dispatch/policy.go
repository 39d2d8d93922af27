package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/admission"
	"github.com/catkinline/catkinline/estimate"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/outlier"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Values of settings.Policy that select a baseline for measurements.
const (
	estimatesDeclared = "declared"
	admissionBounds   = "bounds"
	outliersNone      = "none"
)

func newEstimator(p settings.Policy) *estimate.Estimator {
	return estimate.New(estimate.Options{UseDeclared: p.Estimates == estimatesDeclared})
}

func admissionOptions(o Options) admission.Options {
	return admission.Options{
		Bound: admission.Usage{
			Jobs:  o.Limits.QueuedJobs,
			Tasks: o.Limits.QueuedTasks,
			Bytes: o.Limits.QueuedBytes,
		},
		BoundsOnly: o.Policy.Admission == admissionBounds,
	}
}

// estimate sets the expected run times and classes of a job's tasks.
func (s *Scheduler) estimate(j *activeJob) {
	j.confident = true
	for i := range j.expected {
		estimated := s.estimateTask(j, i)
		j.expected[i], j.classes[i] = estimated.Expected, estimated.Class
		j.remainingWork += estimated.Expected
		j.confident = j.confident && estimated.Confident
	}
}

func (s *Scheduler) estimateTask(j *activeJob, index int) estimate.Estimate {
	t := &j.job.Spec().Tasks[index]
	return s.estimates.Estimate(estimate.Key(j.labels, t.SizeBytes), t.RunTime)
}

// nextClass returns the class of the task that the job would start next, or
// ClassShort if none waits.
func (j *activeJob) nextClass() wire.Class {
	if index, _, ok := j.job.NextTask(); ok {
		return j.classes[index]
	}
	return wire.ClassShort
}

func (j *activeJob) item() queue.Item {
	return queue.Item{
		Job:       j.job.ID(),
		Workspace: j.job.Spec().Workspace,
		Group:     j.group.id,
		Class:     j.nextClass(),
		Remaining: max(0, j.remainingWork),
		Waiting:   j.job.Waiting(),
		Arrived:   j.job.Arrived(),
		Deadline:  j.job.Deadline(),
	}
}

// admit rejects a job that exceeds an admission limit or cannot finish before its
// deadline.
func (s *Scheduler) admit(j *activeJob, now time.Time) *result.Error {
	competing, share := s.competingGroups(j.group)
	s.rate.SetExpectedSlots(s.equalShareSlots())
	longest := time.Duration(0)
	for _, d := range j.expected {
		longest = max(longest, d)
	}
	j.usage = admission.Usage{Jobs: 1, Tasks: len(j.expected), Bytes: j.payloadBytes}
	return s.admission.Admit(admission.Request{
		Workspace:   j.job.Spec().Workspace,
		Usage:       j.usage,
		Deadline:    j.job.Deadline().Sub(now),
		Work:        j.remainingWork,
		LongestTask: longest,
		WorkAhead:   s.queue.WorkAhead(j.item(), competing) + s.inFlightWork(now),
		SlotShare:   share,
		Confident:   j.confident,
	}, now)
}

// competingGroups returns the groups that share targets with g, and the fraction of
// all slots that belong to the targets of g.
func (s *Scheduler) competingGroups(g *group) ([]queue.Group, float64) {
	seen := make([]bool, len(s.groupsByID))
	var groups []queue.Group
	slots := uint32(0)
	for _, t := range g.targets {
		slots += t.announce.Slots
		for _, id := range t.groups {
			if !seen[id] {
				seen[id] = true
				groups = append(groups, id)
			}
		}
	}
	return groups, float64(slots) / float64(max(1, s.totalSlots()))
}

func (s *Scheduler) totalSlots() uint32 {
	n := uint32(0)
	for _, t := range s.sortedTargets {
		if t.announced {
			n += t.announce.Slots
		}
	}
	return n
}

// equalShareSlots returns the share of all slots that this entry has if the entries
// share them equally.
func (s *Scheduler) equalShareSlots() float64 {
	entries := 1
	if s.opts.LiveEntries != nil {
		entries = max(1, s.opts.LiveEntries())
	}
	return float64(s.totalSlots()) / float64(entries)
}

// inFlightWork returns the expected remaining run time of all in-flight tasks.
func (s *Scheduler) inFlightWork(now time.Time) time.Duration {
	var sum time.Duration
	for _, t := range s.sortedTargets {
		for _, a := range t.attempts {
			sum += estimate.RemainingTime(a.expected, now.Sub(a.sent))
		}
	}
	return sum
}

// trackRate updates the measured service rate with the slots that this entry holds
// and whether tasks wait.
func (s *Scheduler) trackRate(now time.Time) {
	s.rate.SetSlots(s.inFlight+s.totalGrantedSlots, s.queue.Waiting() > 0, now)
}

// adjustUsage changes what a job counts towards the admission limits.
func (s *Scheduler) adjustUsage(j *activeJob, tasks int, bytes int64) {
	d := admission.Usage{Tasks: tasks, Bytes: bytes}
	j.usage.Tasks += tasks
	j.usage.Bytes += bytes
	s.admission.Adjust(j.job.Spec().Workspace, d)
}

// releaseUsage removes an ended job from the admission limits.
func (s *Scheduler) releaseUsage(j *activeJob) {
	s.admission.Adjust(j.job.Spec().Workspace, admission.Usage{Jobs: -j.usage.Jobs, Tasks: -j.usage.Tasks, Bytes: -j.usage.Bytes})
	j.usage = admission.Usage{}
}

// observeOutcome updates the run-time estimates, the service rate and the outlier
// detector from a task that has run.
func (s *Scheduler) observeOutcome(t *target, a *attempt, o *wire.Outcome, now time.Time) {
	done := o.State == wire.StateDone
	if done || !a.job.job.Ended() { // the run time or failure of a cancelled task says nothing about its target
		key := a.job.job.Spec().Workspace + " " + a.job.labels
		before := s.outliers.State(t.name, now)
		s.outliers.Observe(t.name, key, done, o.RunTime, a.expected, now)
		if before == outlier.Healthy && s.outliers.State(t.name, now) != outlier.Healthy {
			s.recorder.Add(metrics.TargetEjections, 1)
		}
	}
	if !done {
		return
	}
	s.recorder.RecordDuration(metrics.TaskSeconds, o.RunTime, metrics.TagWorkspace, a.job.job.Spec().Workspace, metrics.TagClass, a.class.String())
	task := &a.job.job.Spec().Tasks[a.id.Index]
	s.estimates.Observe(estimate.Key(a.job.labels, task.SizeBytes), task.RunTime, o.RunTime, now)
	s.rate.RecordFinished(a.expected, o.RunTime, now)
}

// reclassify finds running tasks that must be long by their elapsed run time. It
// estimates the waiting tasks of their jobs again, so that the rest of such a job
// no longer overtakes short work, and repeats this each time the run time of the
// task has doubled.
func (s *Scheduler) reclassify(now time.Time) {
	for _, t := range s.sortedTargets {
		for _, a := range t.attempts {
			s.checkOverrun(a, now)
		}
	}
}

func (s *Scheduler) checkOverrun(a *attempt, now time.Time) {
	task := &a.job.job.Spec().Tasks[a.id.Index]
	key := estimate.Key(a.job.labels, task.SizeBytes)
	elapsed := now.Sub(a.sent)
	if elapsed < 2*a.overran || !s.estimates.HasOverrun(key, task.RunTime, elapsed) {
		return
	}
	if a.overran == 0 {
		s.estimates.ObserveOverrun(key, task.RunTime, elapsed, now)
	}
	a.overran = elapsed
	j := a.job
	if j.job.Ended() {
		return
	}
	for i := range j.expected {
		if j.job.IsWaiting(i) {
			s.reestimate(j, i, elapsed)
		}
	}
	s.updateItem(j)
}

// reestimate raises the estimate of a waiting task to at least the elapsed run time
// of another task of its job.
func (s *Scheduler) reestimate(j *activeJob, index int, elapsed time.Duration) {
	estimated := s.estimateTask(j, index)
	expected := max(estimated.Expected, elapsed)
	j.remainingWork += expected - j.expected[index]
	j.expected[index], j.classes[index] = expected, wire.ClassLong
}
