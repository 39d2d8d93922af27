package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// estimate fills in the expected run times and the class of a job.
func (s *Scheduler) estimate(j *activeJob) {
	for i, t := range j.job.Spec().Tasks {
		j.expected[i] = defaultExpected
		if t.RunTime > 0 {
			j.expected[i] = t.RunTime
		}
		j.left += j.expected[i]
	}
}

// admit refuses a job that is over a bound.
func (s *Scheduler) admit(j *activeJob) *result.Error {
	if n := s.opts.Limits.QueuedJobs; n > 0 && len(s.jobs) >= n {
		return result.New(result.QueueFull, "")
	}
	return nil
}

// observe learns from an outcome.
func (s *Scheduler) observe(_ *target, _ *attempt, _ *wire.Outcome, _ time.Time) {}
