package placement

import (
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// RunReport describes an ended run for logs and metrics.
type RunReport struct {
	Run       workload.RunID
	Route     string
	Agent     string
	Target    string
	End       wire.EndStatus
	Reason    string
	SinceSent time.Duration // since the start was sent
	RunTime   time.Duration // as the agent measured it; 0: not known
	Expected  time.Duration
	JobEnded  bool // the job ended before the run
	Far       bool // the task's data is in another rack
	Restarted bool // the run was stopped because it took much longer than its siblings
}

// HandleRunEnd handles an agent's report of the end of a run.
func (s *Scheduler) HandleRunEnd(name string, link Sender, m *wire.RunEnd, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOnLink(name, link)
	if t == nil {
		return
	}
	t.state.Room = m.Room
	r := t.runs[m.Run]
	if r != nil {
		if m.Evacuations != nil {
			s.endEvacuatedRun(t, r, m.Reason, now)
		} else {
			s.endRun(t, r, m.Status, m.RunTime, m.Reason, now)
		}
	}
	if r == nil || m.Status == wire.EndDone && len(r.job.tasks) == 1 {
		s.scheduleOn([]*target{t}, now)
		return
	}
	s.schedule(now) // a task waits again, or a later step may have become ready
}

// endRun removes an ended run from its target and completes its task, or retries it.
func (s *Scheduler) endRun(t *target, r *run, end wire.EndStatus, took time.Duration, reason string, now time.Time) {
	delete(t.runs, r.id)
	j := r.job
	done := time.Duration(0)
	if end == wire.EndDone {
		done = took
	}
	s.loadOf(j.request.Route.Service).supply.Ended(r.need.CPU, r.work, done)
	s.observe(t, r, end, took, now)
	if s.opts.Observer != nil {
		s.opts.Observer.RunEnded(RunReport{
			Run: r.id, Route: j.request.Route.Name, Agent: t.name, Target: t.state.Target, End: end, Reason: reason,
			SinceSent: now.Sub(r.sent), RunTime: took, Expected: r.expected, JobEnded: j.ended, Far: r.far, Restarted: r.restarted,
		})
	}
	if j.ended {
		s.lingers(r, -1)
		return
	}
	k := &j.tasks[r.step][r.index]
	k.run = nil
	j.inFlight--
	if end == wire.EndDone {
		k.doneOn, k.took, k.far, k.coldness = t, took, r.far, r.coldness
		s.crashes.Done(r.id.Task, now)
		s.completeTask(j, r, k, now)
		return
	}
	k.state = taskWaiting
	j.waiting++
	s.retryTask(t, j, k, end, now)
}

func (s *Scheduler) completeTask(j *activeJob, r *run, k *task, now time.Time) {
	k.state = taskDone
	j.ran = true
	j.doneTasks[r.step]++
	s.learn(j, r, k)
	j.unfinished--
	if j.unfinished == 0 {
		s.endJob(j, Answer{Outcome: Done}, now)
		return
	}
	if j.waiting > 0 {
		s.enqueue(j) // a later step may have become ready
	}
}

// staleAttemptStep is added to the attempt after a target refused the start as stale,
// because it has seen a greater attempt from an earlier submission of the same job.
const staleAttemptStep = 4

// retryTask queues a task again, or ends its job after too many failures.
func (s *Scheduler) retryTask(t *target, j *activeJob, k *task, end wire.EndStatus, now time.Time) {
	switch end {
	case wire.EndFailed:
		j.ran = true
		k.failures++
		k.avoid = t
		if k.failures >= max(1, j.request.Route.MaxAttempts) {
			s.endJob(j, Answer{Outcome: Failed, Reason: "a task failed as often as the route allows"}, now)
			return
		}
	case wire.EndStopped, wire.EndCrashed:
		j.ran = true
		k.avoid = t
	case wire.EndNotRun:
		k.avoid = t
		t.extendBackoff(now)
	case wire.EndNoRoom:
		j.noRoom++
	case wire.EndStale:
		k.attempt += staleAttemptStep
	}
	s.enqueue(j)
}

// endJob delivers a job's answer to its callers and stops its runs in flight.
func (s *Scheduler) endJob(j *activeJob, a Answer, now time.Time) {
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
		c.answer <- a
	}
}

// lingers adds n to the number of runs of a task whose job has ended.
func (s *Scheduler) lingers(r *run, n int) {
	if s.lingering[r.id.Task] += n; s.lingering[r.id.Task] == 0 {
		delete(s.lingering, r.id.Task)
	}
}

// stopRuns stops the runs in flight of a job that has ended.
func (s *Scheduler) stopRuns(j *activeJob) {
	byTarget := make(map[*target][]workload.RunID)
	var targets []*target
	for step := range j.tasks {
		for index := range j.tasks[step] {
			r := j.tasks[step][index].run
			if r == nil {
				continue
			}
			s.lingers(r, 1)
			if !r.stopping {
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

// unfinishedAnswer returns the answer to a job that ends before it is done: Refused only if
// none of its tasks can have run.
func (s *Scheduler) unfinishedAnswer(j *activeJob, reason string) Answer {
	if j.started() {
		return Answer{Outcome: Expired, Reason: reason}
	}
	return Answer{Outcome: Refused, Reason: reason, RetryAfter: s.retryAfter(j)}
}

// Tick does the work that is due at a time: it ends jobs past their deadline and runs that
// were lost with their agent, handles overdue runs, and schedules tasks on targets that may
// be used again. See TickInterval.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstTick.IsZero() {
		s.firstTick = now
	}
	if s.usableTargets() > 0 {
		s.lastUsable = now
	}
	for _, t := range s.ordered {
		if t.link == nil && !t.linkLostAt.IsZero() && now.Sub(t.linkLostAt) >= s.opts.LostRunTimeout && len(t.runs) > 0 {
			all := func(*run) bool { return true }
			t.lostRuns = append(t.lostRuns, t.suspects(t.linkLostAt, all)...)
			s.endLostRuns(t, now, all)
		}
	}
	s.expire(now)
	if s.crashes.Refresh(now) {
		s.judge(now)
	}
	s.demand.age(now)
	s.updateSandbox(now)
	s.updateFleet(now)
	s.checkOverdue(now)
	s.releaseHopeless(now)
	s.updateLoads(now)
	s.demote(now)
	s.checkEvacuations(now)
	s.schedule(now)
	s.updateWaitingCPU()
}

func (s *Scheduler) expire(now time.Time) {
	for _, j := range s.selectJobs(func(j *activeJob) bool { return !now.Before(j.request.Deadline) }) {
		s.endJob(j, s.unfinishedAnswer(j, "the caller's time is over"), now)
	}
}
