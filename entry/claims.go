package entry

import (
	"context"
	"errors"
	"time"

	"github.com/catkinline/catkinline/claim"
	"github.com/catkinline/catkinline/dispatch"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/result"
)

// runWithClaim claims a non-idempotent job's request key, releases the job for
// scheduling and records its end. The caller has admitted the job to the queue before,
// so that a job refused by the queue limits causes no store call.
func (e *Entry) runWithClaim(ctx context.Context, service string, spec *job.Spec, t *dispatch.Ticket) <-chan job.Answer {
	answered := make(chan job.Answer, 1)
	e.tomb.Go(func() error {
		answered <- e.runClaimed(ctx, service, spec, t)
		return nil
	})
	return answered
}

func (e *Entry) runClaimed(ctx context.Context, service string, spec *job.Spec, t *dispatch.Ticket) job.Answer {
	claimed, refusal := e.claim(ctx, service, spec, t)
	if refusal != nil {
		t.Fail(refusal, time.Now())
		return <-t.Done()
	}
	t.Release(time.Now())
	answer := <-t.Done()
	claimed.Finish(endState(answer))
	return answer
}

func (e *Entry) claim(ctx context.Context, service string, spec *job.Spec, t *dispatch.Ticket) (*claim.Claim, *result.Error) {
	if e.claims == nil {
		return nil, result.New(result.ClaimUnavailable, "this entry has no store")
	}
	claimed, err := e.claims.Claim(ctx, claim.Request{
		Scope: claim.Scope{Service: service, Workspace: spec.Workspace},
		Key:   spec.Key,
		Job:   t.ID(),
	})
	if err == nil {
		return claimed, nil
	}
	var refusal *result.Error
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	return nil, result.New(result.ClaimUnavailable, err.Error())
}

// endState returns the state to record in the claim of an ended job. Only a job that
// certainly ran no task may be submitted again under its key.
func endState(a job.Answer) claim.State {
	switch {
	case a.Err == nil:
		return claim.Complete
	case a.Err.Ran == result.NotRun:
		return claim.FailedNotRun
	}
	return claim.Failed
}

// claimScopes returns the services and workspaces whose expired claims are deleted.
func (e *Entry) claimScopes() []claim.Scope {
	current := e.config.Current()
	var scopes []claim.Scope
	for service, s := range current.Document().Services {
		if !s.NonIdempotent {
			continue
		}
		for workspace := range current.Workspaces() {
			scopes = append(scopes, claim.Scope{Service: service, Workspace: workspace})
		}
	}
	return scopes
}
