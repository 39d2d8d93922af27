package sidecar

import (
	"context"
	"time"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
)

const (
	// startRepeatDelay is the time without a response after which a start is requested again, and which
	// doubles with each request. Targets respond within a millisecond. The shortest tasks' callers can wait
	// for about 80 ms more than the task takes: two requests may be lost before an answer is late.
	startRepeatDelay = 15 * time.Millisecond
	// maxStartRequests is the number of requests to start one run. With a twentieth of the requests
	// lost, one run of 8,000 is stopped and started elsewhere.
	maxStartRequests = 3
)

// startResponse is a target's response to one of the requests to start a run.
type startResponse struct {
	targets.StartResponse
	sentAt     time.Time // of the request
	unanswered int       // requests without a response, which the target may execute later
}

// requestStart requests the start of a run, and repeats the request while there is no response. The target
// executes one of the requests at most: it confirms a run that it has, and refuses one that has ended. A
// refusal counts only if no other request is unanswered, since that one may be executed after it.
func (s *Sidecar) requestStart(r *runs.Run, incarnation string, request targets.StartRequest) startResponse {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.RequestTimeout)
	defer cancel()
	responses := make(chan startResponse, maxStartRequests)
	send := func() {
		s.tomb.Go(func() error {
			sentAt := time.Now()
			responses <- startResponse{StartResponse: s.opts.Target.Start(ctx, incarnation, request), sentAt: sentAt}
			return nil
		})
	}
	send()
	sent, refused, unknown, mayRepeat := 1, 0, 0, true
	delay := startRepeatDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var last startResponse
	for {
		select {
		case last = <-responses:
			switch last.Result {
			case targets.Started:
				last.unanswered = sent - refused - 1
				return last
			case targets.StartUnknown:
				unknown++
			default:
				refused++
			}
		case <-timer.C:
			if mayRepeat = mayRepeat && sent < maxStartRequests && ctx.Err() == nil && s.mayRepeatStart(r); mayRepeat {
				send()
				sent++
				delay *= 2
				timer.Reset(delay)
			}
		}
		switch {
		case refused == sent:
			return last
		case refused+unknown == sent && (!mayRepeat || sent == maxStartRequests || ctx.Err() != nil):
			return startResponse{StartResponse: targets.StartResponse{Result: targets.StartUnknown}, sentAt: last.sentAt, unanswered: unknown}
		}
	}
}

// mayRepeatStart reports whether a run has to be started still: this process goes on and was not paused, no
// poll has listed the run, it was neither given up nor reported as ended, and its domain is not evacuated. It
// records that the last request is unanswered, and that the run may start late; sendStart withdraws the
// latter when all other requests were refused.
func (s *Sidecar) mayRepeatStart(r *runs.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Paused() {
		s.closeStaleLinks()
	}
	if s.killed || s.table.Get(r.ID) != r || r.State != runs.Starting || r.StopRequested || s.evacuated() {
		return false
	}
	if state := s.links[r.Owner.Name]; state == nil || ownerOf(state.link) != r.Owner || state.stale {
		return false
	}
	s.recordUnanswered("start_attempt")
	r.MayStartLate = true // a poll may list the run before the requests have responses
	return true
}
