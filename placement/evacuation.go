package placement

import (
	"time"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/wire"
)

// evacuationCheckInterval is how often the waiting jobs are checked while domains are evacuated. A
// refusal is useful to its caller within a quarter of the objective, 35 ms for the shortest jobs,
// and most are refused at the change itself; this finds those whose last other target has gone.
const evacuationCheckInterval = 100 * time.Millisecond

// SetEvacuations sets which failure domains are evacuated. Targets there get no runs; those that
// they have go on. Jobs that have not started and that no other target could run are refused.
func (s *Scheduler) SetEvacuations(e *evacuation.State, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations = e
	for _, t := range s.ordered {
		evacuated := e.Covers(t.state.FailureDomain)
		if t.evacuated && !evacuated {
			t.revokedAt = now
		}
		t.evacuated = evacuated
	}
	s.updateSandbox(now)
	s.refuseEvacuated(now)
	s.schedule(now)
}

// evacuatedAnswer is the answer to a job that no target outside the evacuated domains could run.
// Evacuations last for minutes.
func evacuatedAnswer() *Answer {
	return &Answer{Outcome: Refused, Reason: "all targets that could run it are in evacuated failure domains", RetryAfter: maxRetryAfter}
}

// evacuatedStep returns the first unfinished step that only targets in evacuated domains could run,
// or -1. It returns -1 as well if no target is known that could run it.
func (s *Scheduler) evacuatedStep(j *activeJob, now time.Time) int {
	if s.evacuations == nil || len(s.evacuations.Domains) == 0 {
		return -1
	}
	for step := range j.tasks {
		if j.doneTasks[step] < len(j.tasks[step]) && s.onlyEvacuated(j, step, now) {
			return step
		}
	}
	return -1
}

// onlyEvacuated reports whether a step fits targets, all of them in evacuated domains. Targets whose
// link is lost, or that are down after a crash, count for as long as they may come back.
func (s *Scheduler) onlyEvacuated(j *activeJob, step int, now time.Time) bool {
	spec := &j.request.Job.Steps[step]
	evacuated := false
	for _, t := range s.ordered {
		if t.state.Service != j.request.Route.Service || !spec.Need.FitsIn(t.state.Capacity) || !t.hasLabel(spec.RequiredLabel) {
			continue
		}
		switch {
		case t.evacuated:
			evacuated = true
		case t.link != nil, now.Sub(t.linkLostAt) < IsolationTimeout, now.Sub(t.crashedAt) < maxRestartTime:
			return false
		}
	}
	return evacuated
}

// refuseEvacuated refuses the waiting jobs that have not started and that only targets in evacuated
// domains could run.
func (s *Scheduler) refuseEvacuated(now time.Time) {
	s.evacuationsCheckedAt = now
	for _, j := range s.selectJobs(func(j *activeJob) bool { return !j.started() && s.evacuatedStep(j, now) >= 0 }) {
		s.endJob(j, *evacuatedAnswer(), now)
	}
}

// checkEvacuations refuses such jobs from time to time: the last target that could have run them may
// have gone.
func (s *Scheduler) checkEvacuations(now time.Time) {
	if s.evacuations == nil || len(s.evacuations.Domains) == 0 || now.Sub(s.evacuationsCheckedAt) < evacuationCheckInterval {
		return
	}
	s.refuseEvacuated(now)
}

// endEvacuatedRun handles a run that an agent has not started because its domain is evacuated. That
// says nothing about the target. If this entry does not take the target for evacuated, the backoff
// keeps it from sending the next start at once.
func (s *Scheduler) endEvacuatedRun(t *target, r *run, reason string, now time.Time) {
	avoid := r.job.tasks[r.step][r.index].avoid
	backoff, until := t.backoff, t.backoffUntil
	s.endRun(t, r, wire.EndNotRun, 0, reason, now)
	if t.evacuated {
		r.job.tasks[r.step][r.index].avoid = avoid
		t.backoff, t.backoffUntil = backoff, until
	}
	if !r.job.ended && !r.job.started() && s.evacuatedStep(r.job, now) >= 0 {
		s.endJob(r.job, *evacuatedAnswer(), now)
	}
}
