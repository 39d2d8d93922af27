package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

// counts has counters for every job received: entered = complete + failed + refused +
// running.
type counts struct {
	entered  atomic.Int64
	complete atomic.Int64
	failed   atomic.Int64
	refused  atomic.Int64
	running  atomic.Int64
}

// Counts is a snapshot of an entry's job counters.
type Counts struct {
	Entered  int64 `json:"entered"`
	Complete int64 `json:"complete"`
	Failed   int64 `json:"failed"`
	Refused  int64 `json:"refused"`
	Running  int64 `json:"running"`
}

func (c *counts) end(a job.Answer) {
	if a.Err != nil {
		c.failed.Add(1)
	} else {
		c.complete.Add(1)
	}
	c.running.Add(-1)
}

// Counts returns the job counters. Entered equals the sum of the others unless a
// request is just between two counter updates.
func (e *Entry) Counts() Counts {
	return Counts{
		Entered:  e.counts.entered.Load(),
		Complete: e.counts.complete.Load(),
		Failed:   e.counts.failed.Load(),
		Refused:  e.counts.refused.Load(),
		Running:  e.counts.running.Load(),
	}
}

// jobLimits returns the limits on one job of a service.
func (e *Entry) jobLimits(service string) job.Limits {
	l := job.DefaultLimits()
	if configured, ok := e.config.Current().Service(service); ok {
		l.DefaultDeadline = time.Duration(configured.Deadline.DefaultMS) * time.Millisecond
	}
	s := e.settings.Limits
	l.BodyBytes = s.BodyBytes
	l.PayloadBytes = s.PayloadBytes
	l.ResultBytes = s.ResultBytes
	l.AnswerBytes = s.AnswerBytes
	l.Tasks = s.Tasks
	return l
}

// submit accepts a job for its service, or refuses it before any of its tasks ran.
func (e *Entry) submit(ctx context.Context, service string, spec *job.Spec) (pendingJob, *result.Error) {
	if e.refusing.Load() {
		return pendingJob{}, result.New(result.Stopping, "").WithRetryAfter(time.Second)
	}
	if refusal := e.validate(service, spec); refusal != nil {
		return pendingJob{}, refusal
	}
	e.counts.running.Add(1)
	now := time.Now()
	ticket, refusal := e.scheduler(service).Submit(spec, !spec.Idempotent, now)
	if refusal != nil {
		e.counts.running.Add(-1)
		return pendingJob{}, refusal
	}
	p := pendingJob{done: ticket.Done(), cancel: func() { ticket.Cancel(time.Now()) }}
	if !spec.Idempotent {
		p.done = e.runWithClaim(ctx, service, spec, ticket)
	}
	return p, nil
}

// validate checks a job against the operators' configuration.
func (e *Entry) validate(service string, spec *job.Spec) *result.Error {
	current := e.config.Current()
	if current.Revision() == 0 {
		return result.New(result.NotConfigured, "").WithRetryAfter(time.Second)
	}
	s, ok := current.Service(service)
	if !ok {
		return result.New(result.UnknownService, label.Quote(service))
	}
	if _, ok := current.Workspace(spec.Workspace); !ok {
		return result.New(result.UnknownWorkspace, label.Quote(spec.Workspace))
	}
	if !spec.Idempotent && !s.NonIdempotent {
		return result.New(result.BadRequest, "the service takes idempotent jobs only")
	}
	return checkDeadline(s, spec)
}

func checkDeadline(s *config.CompiledService, spec *job.Spec) *result.Error {
	longest := time.Duration(s.Deadline.MaxMS) * time.Millisecond
	if spec.Deadline > longest {
		return result.Newf(result.BadDeadline, "%v, the service's bound is %v", spec.Deadline, longest)
	}
	return nil
}
