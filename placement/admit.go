package placement

import "time"

// admit refuses a job that cannot be served.
func (s *Scheduler) admit(j *activeJob, now time.Time) *Answer {
	job := &j.request.Job
	if job.Unsupported != "" {
		return &Answer{Outcome: Refused, Reason: "not supported: " + job.Unsupported, RetryAfter: time.Second}
	}
	if !now.Before(j.request.Deadline) {
		return &Answer{Outcome: Refused, Reason: "the caller's time is over", RetryAfter: time.Second}
	}
	return nil
}
