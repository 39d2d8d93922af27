package placement

import (
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// RunReport is the end of a run, for logs and metrics.
type RunReport struct {
	Run       workload.RunID
	Route     string
	Agent     string
	Target    string
	End       wire.EndStatus
	Reason    string
	SinceSent time.Duration // since it was sent
	RunTime   time.Duration // as the agent measured it
	Expected  time.Duration
	JobEnded  bool
}

// HandleRunEnd handles an agent's report of the end of a run.
func (s *Scheduler) HandleRunEnd(name string, link Sender, m *wire.RunEnd, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.linked(name, link)
	if t == nil {
		return
	}
	t.state.Room = m.Room
	r := t.runs[m.Run]
	if r != nil {
		s.ended(t, r, m.Status, m.RunTime, m.Reason, now)
	}
	if r == nil || m.Status == wire.EndDone && len(r.job.tasks) == 1 {
		s.pumpOn([]*target{t}, now)
		return
	}
	s.pump(now) // a task is back, or a later step may start
}

// ended takes a run off its target and decides what becomes of its task.
func (s *Scheduler) ended(t *target, r *run, end wire.EndStatus, took time.Duration, reason string, now time.Time) {
	delete(t.runs, r.id)
	j := r.job
	s.observe(t, r, end, took, now)
	if s.opts.Observer != nil {
		s.opts.Observer.RunEnded(RunReport{
			Run: r.id, Route: j.request.Route.Name, Agent: t.name, Target: t.state.Target, End: end, Reason: reason,
			SinceSent: now.Sub(r.sent), RunTime: took, Expected: r.expected, JobEnded: j.ended,
		})
	}
	if j.ended {
		return
	}
	k := &j.tasks[r.step][r.index]
	k.run = nil
	j.out--
	if end == wire.EndDone {
		k.doneOn, k.took = t, took
		s.estimates.observe(j.request.Route.Name, j.request.Job.Steps[r.step].Estimate, took)
		s.taskDone(j, r, k, now)
		return
	}
	k.state = taskWaiting
	j.waiting++
	s.retry(t, j, k, end, now)
}

func (s *Scheduler) taskDone(j *activeJob, r *run, k *task, now time.Time) {
	k.state = taskDone
	j.ran = true
	j.doneTasks[r.step]++
	j.left--
	if j.left == 0 {
		s.end(j, Answer{Outcome: Done}, now)
		return
	}
	if j.waiting > 0 {
		s.enqueue(j) // a later step may start now
	}
}

// attemptStep is by how much the attempt rises after a target knew a greater
// one, from an earlier submission of the same job.
const attemptStep = 4

// retry puts a task back, or ends its job.
func (s *Scheduler) retry(t *target, j *activeJob, k *task, end wire.EndStatus, now time.Time) {
	switch end {
	case wire.EndFailed:
		j.ran = true
		k.failures++
		k.avoid = t
		if k.failures >= max(1, j.request.Route.MaxAttempts) {
			s.end(j, Answer{Outcome: Failed, Reason: "a task failed as often as the route allows"}, now)
			return
		}
	case wire.EndStopped:
		j.ran = true
		k.avoid = t
	case wire.EndNotRun:
		k.avoid = t
		t.pauseStarts(now)
	case wire.EndNoRoom:
		j.noRoom++
	case wire.EndStale:
		k.attempt += attemptStep
	}
	s.enqueue(j)
}

// end delivers the answer of a job and stops what is still out.
func (s *Scheduler) end(j *activeJob, a Answer, now time.Time) {
	if j.ended {
		return
	}
	j.ended = true
	s.dequeue(j)
	delete(s.jobs, j)
	if s.byID[j.request.Job.ID] == j {
		delete(s.byID, j.request.Job.ID)
	}
	s.stopRuns(j)
	s.reportJob(j, a, now)
	for _, c := range j.callers {
		c <- a
	}
}

func (s *Scheduler) stopRuns(j *activeJob) {
	byTarget := make(map[*target][]workload.RunID)
	var targets []*target
	for step := range j.tasks {
		for index := range j.tasks[step] {
			if r := j.tasks[step][index].run; r != nil && !r.stopping {
				r.stopping = true
				if byTarget[r.target] == nil {
					targets = append(targets, r.target)
				}
				byTarget[r.target] = append(byTarget[r.target], r.id)
			}
		}
	}
	for _, t := range targets {
		s.send(t, &wire.RunStop{Runs: byTarget[t]})
	}
}

// giveUp is the answer to a job that is not finished.
func (s *Scheduler) giveUp(j *activeJob, reason string) Answer {
	if j.started() {
		return Answer{Outcome: Expired, Reason: reason}
	}
	return Answer{Outcome: Refused, Reason: reason, RetryAfter: s.retryAfter()}
}

// Tick does what is due: jobs whose time ran out, runs that were lost with their
// agent, targets that may be used again.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.IsZero() {
		s.begun = now
	}
	if s.usableTargets() > 0 {
		s.reachable = now
	}
	for _, t := range s.ordered {
		if t.link == nil && !t.lostAt.IsZero() && now.Sub(t.lostAt) >= s.opts.LostRunTimeout && len(t.runs) > 0 {
			s.endLost(t, now, func(*run) bool { return true })
		}
	}
	s.expire(now)
	s.checkOverdue(now)
	s.demote(now)
	s.pump(now)
}

func (s *Scheduler) expire(now time.Time) {
	for _, j := range s.inOrder(func(j *activeJob) bool { return !now.Before(j.request.Deadline) }) {
		s.end(j, s.giveUp(j, "the caller's time is over"), now)
	}
}
