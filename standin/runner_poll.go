package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/catkinline/catkinline/platform"
)

func (r *Runner) poll(ctx context.Context, q platform.PollRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	if r.rejectToken(q.FencingToken) {
		defer r.mu.Unlock()
		return http.StatusConflict, r.response(platform.ReasonFence)
	}
	r.endExpiredRuns()
	r.extendLease(int64(q.Deadline))
	for len(r.ended) > 0 && r.ended[0].seq <= q.AckedEnd {
		r.ended = r.ended[1:]
	}
	runEnded := r.runEnded
	wait := len(r.ended) == 0 && q.Wait > 0
	r.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(q.Wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-runEnded:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return http.StatusOK, r.pollResponse()
}

func (r *Runner) pollResponse() platform.TargetResponse {
	a := r.response("")
	a.Born = r.bornMS()
	for task, run := range r.runs {
		a.Running = append(a.Running, jsonRow(task, run.attempt, "", 0))
	}
	for _, e := range r.ended {
		a.Ended = append(a.Ended, jsonRow(e.seq, e.task, e.attempt, e.outcome, ""))
	}
	return a
}

func jsonRow(values ...any) []json.RawMessage {
	out := make([]json.RawMessage, len(values))
	for i, v := range values {
		out[i], _ = json.Marshal(v) // numbers and strings always encode
	}
	return out
}
