package placement

import (
	"time"

	"github.com/catkinline/catkinline/forecast"
)

// reviseLength raises what is expected of the remaining tasks of a step, and the objective, if the
// siblings that are done took longer: they are alike within 15%, while estimates are off by a
// factor of 1.5, and a few jobs are seven times as long as estimated. A job whose tasks are all long
// is long as a whole: it has the objective of a long job, and starting its tasks elsewhere would not
// help. Lowering it gave up more runs and served no more jobs.
func (s *Scheduler) reviseLength(j *activeJob, step int) {
	sum, n := time.Duration(0), 0
	for i := range j.tasks[step] {
		if k := &j.tasks[step][i]; k.state == taskDone {
			sum += k.work
			n++
		}
	}
	j.expected[step] = max(j.expected[step], sum/time.Duration(n))
	j.objective = j.arrived.Add(j.allowedTime())
}

// worthRestart reports whether a run that is overdue by what its siblings say should be stopped
// and its task started elsewhere: once, and if there is enough time left for another run.
func (s *Scheduler) worthRestart(r *run, now time.Time) bool {
	work := r.job.siblingWork(r)
	if work == 0 || r.job.tasks[r.step][r.index].restarts > 0 {
		return false
	}
	spec := &r.job.request.Job.Steps[r.step]
	again := time.Duration(siblingSpread * float64(s.bestRunTime(work, r.job.request.Route.Service, spec)))
	return !now.Add(bestTargetWait + again).After(r.job.usefulUntil())
}

// releaseHopeless ends started jobs that can no longer be answered in useful time while others
// wait, so that their capacity is used at once.
func (s *Scheduler) releaseHopeless(now time.Time) {
	if len(s.queue) == 0 || now.Sub(s.fleet.hopelessAt) < hopelessInterval {
		return
	}
	s.fleet.hopelessAt = now
	for _, j := range s.selectJobs(func(j *activeJob) bool {
		return j.started() && s.othersWait(j) && s.outOfTime(j, now)
	}) {
		s.endJob(j, s.unfinishedAnswer(j, "cannot be answered within its time"), now)
	}
}

// othersWait reports whether another job waits for capacity.
func (s *Scheduler) othersWait(j *activeJob) bool { return len(s.queue) > 1 || s.queue[0] != j }

// hopelessInterval is how often started jobs are examined: often compared with how long jobs
// run for that are worth stopping.
const hopelessInterval = 50 * time.Millisecond

// outOfTime reports whether a job's answer will be useless even if none of its waiting tasks had to
// wait, and its runs were done now. A run that takes long may belong to a long job, which has a
// later objective; the job counts as as long as its longest run so far.
func (s *Scheduler) outOfTime(j *activeJob, now time.Time) bool {
	if !now.Add(j.waitingPath()).After(j.usefulUntil()) {
		return false
	}
	if len(j.tasks) > 1 {
		return now.After(j.request.Deadline)
	}
	work := j.expected[0]
	for i := range j.tasks[0] {
		if r := j.tasks[0][i].run; r != nil {
			work = max(work, forecast.Work(now.Sub(r.sent), r.target.speed, r.coldness, s.rackFactor(r.far)))
		}
	}
	route := &j.request.Route
	allowed := time.Duration(max(1, route.Stretch)*float64(work)) + route.TargetDuration
	return now.Add(j.waitingPath()).After(j.arrived.Add(lateFactor * allowed))
}

// waitingPath returns the run time of the job's tasks that have not started.
func (j *activeJob) waitingPath() time.Duration {
	longest := time.Duration(0)
	for step := range j.tasks {
		if j.waitingTasks(step) > 0 {
			longest = max(longest, j.expected[step])
		}
	}
	return longest
}
