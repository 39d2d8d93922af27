package placement

import (
	"time"
)

// Withdraw ends the jobs of which nothing has run, with the outcome Withdrawn, and returns their
// number: an entry that begins a planned stop hands them to others, which have as long for them as
// their callers wait. A job stays if several callers wait for it, since each of them would hand it
// to another entry, and if runs of an earlier request for it have not ended: another entry does not
// know of them.
func (s *Scheduler) Withdraw(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := s.selectJobs(s.withdrawable)
	for _, j := range jobs {
		s.endJob(j, Answer{Outcome: Withdrawn, Reason: "the entry stops"}, now)
	}
	return len(jobs)
}

// withdrawable reports whether another entry may run a job in place of this one.
func (s *Scheduler) withdrawable(j *activeJob) bool {
	if j.started() || len(j.callers) != 1 {
		return false
	}
	if len(s.lingering) == 0 {
		return true
	}
	for step := range j.tasks {
		for index := range j.tasks[step] {
			if s.lingering[j.taskID(step, index)] > 0 {
				return false
			}
		}
	}
	return true
}
