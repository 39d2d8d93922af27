package placement

import (
	"fmt"
	"time"

	"github.com/catkinline/catkinline/crash"
)

// Bounds of Answer.RetryAfter. Demand changes within seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// crashRetryAfter is the hint when targets have to come back from a crash, which takes 3 to
	// 3.4 s.
	crashRetryAfter = 3 * time.Second
)

// During a planned stop, a job is accepted if stopSafetyFactor times its expected duration
// plus stopMargin ends before the stop: callers' estimates are off by a factor of 1.5,
// targets differ in speed, and a job may have to wait for free capacity.
const (
	stopSafetyFactor = 2
	stopMargin       = 150 * time.Millisecond
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// admit returns nil, or the refusal of a job that cannot be served.
func (s *Scheduler) admit(j *activeJob, now time.Time) *Answer {
	job := &j.request.Job
	if job.Unsupported != "" {
		return &Answer{Outcome: Refused, Reason: "not supported: " + job.Unsupported, RetryAfter: minRetryAfter}
	}
	if s.isolated(now) {
		return &Answer{Outcome: Refused, Reason: "no target can be reached from this entry", RetryAfter: minRetryAfter}
	}
	if step := s.infeasibleStep(j); step >= 0 {
		reason := fmt.Sprintf("no target has the room or the label that step %d needs", step)
		return &Answer{Outcome: Refused, Reason: reason, RetryAfter: maxRetryAfter}
	}
	if s.evacuatedStep(j, now) >= 0 {
		return evacuatedAnswer()
	}
	end := now.Add(stopSafetyFactor*j.criticalPath() + stopMargin)
	if !s.stopDeadline.IsZero() && end.After(s.stopDeadline) || !j.request.StopAt.IsZero() && end.After(j.request.StopAt) {
		return &Answer{Outcome: Refused, Reason: "the entry is stopping", RetryAfter: minRetryAfter}
	}
	if s.sandboxDown(j, now) {
		return &Answer{Outcome: Refused, Reason: "jobs of this route crash targets, and those that may run it are down", RetryAfter: crashRetryAfter}
	}
	switch s.verdictOn(j, now) {
	case crash.Guilty:
		a := crashAnswer()
		return &a
	case crash.PrimeSuspect:
		j.prime = true
	}
	if !now.Before(j.request.Deadline) {
		return &Answer{Outcome: Refused, Reason: "the caller's time is over", RetryAfter: minRetryAfter}
	}
	return nil
}

// infeasibleStep returns the first step whose tasks no known target could run even
// without other runs, or -1. It returns -1 while no target of the service is known.
func (s *Scheduler) infeasibleStep(j *activeJob) int {
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
