package placement

import (
	"fmt"
	"time"
)

// Bounds of the time after which a refused caller may come back. Demand swings
// within seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// A job is taken during a planned stop if stopFactor times its expected duration
// and stopSlack fit in: callers' estimates are off by a factor of 1.5, targets'
// speeds differ, and a job may wait for room for a moment.
const (
	stopFactor = 2
	stopSlack  = 150 * time.Millisecond
)

// retryAfter is about when what waits now will have been served by the room that
// the targets have.
func (s *Scheduler) retryAfter() time.Duration {
	work, room := 0.0, 0.0
	for j := range s.jobs {
		for step := range j.tasks {
			left := len(j.tasks[step]) - j.doneTasks[step]
			work += float64(left) * j.expected[step].Seconds() * float64(j.request.Job.Steps[step].Need.CPU)
		}
	}
	for _, t := range s.ordered {
		if t.usable() && !t.health.distrusted {
			room += float64(t.state.Capacity.CPU)
		}
	}
	if room == 0 {
		return minRetryAfter
	}
	entries := 1.0
	if s.opts.Entries != nil {
		entries = max(1, float64(s.opts.Entries()))
	}
	return min(max(seconds(work*entries/room), minRetryAfter), maxRetryAfter)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// admit refuses a job that cannot be served.
func (s *Scheduler) admit(j *activeJob, now time.Time) *Answer {
	job := &j.request.Job
	if job.Unsupported != "" {
		return &Answer{Outcome: Refused, Reason: "not supported: " + job.Unsupported, RetryAfter: minRetryAfter}
	}
	if s.cutOff(now) {
		return &Answer{Outcome: Refused, Reason: "no target can be reached from this entry", RetryAfter: minRetryAfter}
	}
	if step := s.impossibleStep(j); step >= 0 {
		reason := fmt.Sprintf("no target has the room or the label that step %d needs", step)
		return &Answer{Outcome: Refused, Reason: reason, RetryAfter: maxRetryAfter}
	}
	if !s.stopAt.IsZero() && now.Add(stopFactor*j.chain()+stopSlack).After(s.stopAt) {
		return &Answer{Outcome: Refused, Reason: "the entry is stopping", RetryAfter: minRetryAfter}
	}
	if !now.Before(j.request.Deadline) {
		return &Answer{Outcome: Refused, Reason: "the caller's time is over", RetryAfter: minRetryAfter}
	}
	return nil
}

// impossibleStep returns the first step whose tasks no known target could run
// even if it were empty, or -1. Without any target of the service it says nothing.
func (s *Scheduler) impossibleStep(j *activeJob) int {
	for i, step := range j.request.Job.Steps {
		known, possible := false, false
		for _, t := range s.ordered {
			if t.state.Service != j.request.Route.Service {
				continue
			}
			known = true
			possible = possible || step.Need.FitsIn(t.state.Capacity) && t.hasLabel(step.RequiredLabel)
		}
		if known && !possible {
			return i
		}
	}
	return -1
}
