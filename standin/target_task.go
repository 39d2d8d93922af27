package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// TargetPayload is the JSON text of a task's payload.
type TargetPayload struct {
	RunMS       float64 `json:"run_ms"`
	ResultBytes int     `json:"result_bytes"` // padding in the result
	Fail        bool    `json:"fail"`         // fails after its run time
	Echo        string  `json:"echo"`
}

// TargetResult is the JSON text of a task's result. It names the task and
// repeats the payload's echo, so that a caller can tell its own results.
type TargetResult struct {
	Task    string `json:"task"`
	Echo    string `json:"echo"`
	Padding string `json:"padding,omitempty"`
}

// Limits of the stand-in; a task beyond them is refused as not run.
const (
	targetPayloadBytes = 8 << 20
	targetResultBytes  = 64 << 20
)

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	// The body is read to its end first: net/http watches for a closed
	// connection only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, targetPayloadBytes))
	if err != nil {
		t.refuse(w, http.StatusBadRequest, "unreadable body")
		return
	}
	if t.Faults().Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	id := r.Header.Get(TargetTaskHeader)
	var payload TargetPayload
	if err := json.Unmarshal(body, &payload); err != nil || id == "" {
		t.refuse(w, http.StatusBadRequest, "missing task header or payload that is not valid JSON")
		return
	}
	if payload.ResultBytes < 0 || payload.ResultBytes > targetResultBytes {
		t.refuse(w, http.StatusBadRequest, "result_bytes out of range")
		return
	}
	if !t.start(id, payload.Echo) {
		t.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	t.finish(w, id, payload, t.run(r.Context(), payload))
}

// start counts a start and takes a slot, or reports that the task is refused.
func (t *Target) start(id, echo string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limit()
	if t.faults.Refuse || (limit > 0 && t.running >= limit) {
		return false
	}
	t.starts[id]++
	if echo != "" {
		t.echoes[echo]++
	}
	t.running++
	return true
}

// targetEnd is how a started task ended.
type targetEnd int

const (
	targetDone targetEnd = iota
	targetFailed
	targetCancelled
)

// run waits for the task's run time under the faults in force.
func (t *Target) run(ctx context.Context, payload TargetPayload) targetEnd {
	faults, changed := t.currentFaults()
	for faults.Hang {
		select {
		case <-ctx.Done():
			return targetCancelled
		case <-changed:
		}
		faults, changed = t.currentFaults()
	}
	if faults.FailAll {
		return targetFailed
	}
	ms := payload.RunMS
	if faults.SlowFactor > 0 {
		ms *= faults.SlowFactor
	}
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return targetCancelled
	case <-timer.C:
	}
	if payload.Fail {
		return targetFailed
	}
	return targetDone
}

// finish returns the slot before it answers, so that an agent that starts the
// next task on receipt of the answer always finds the slot free.
func (t *Target) finish(w http.ResponseWriter, id string, payload TargetPayload, end targetEnd) {
	t.mu.Lock()
	t.running--
	switch end {
	case targetDone:
		t.outcomes.Done++
	case targetFailed:
		t.outcomes.Failed++
	case targetCancelled:
		t.outcomes.Cancelled++
	}
	t.mu.Unlock()
	switch end {
	case targetDone:
		writeTargetJSON(w, TargetResult{
			Task:    id,
			Echo:    payload.Echo,
			Padding: strings.Repeat("x", payload.ResultBytes),
		})
	case targetFailed:
		http.Error(w, "task failed", http.StatusInternalServerError)
	case targetCancelled:
		panic(http.ErrAbortHandler) // the client is gone
	}
}

// refuse answers that the task was not run.
func (t *Target) refuse(w http.ResponseWriter, status int, reason string) {
	t.mu.Lock()
	t.outcomes.Refused++
	t.mu.Unlock()
	w.Header().Set(TargetNotRunHeader, "true")
	http.Error(w, reason, status)
}

func (t *Target) serveStatus(w http.ResponseWriter, r *http.Request) {
	if t.Faults().Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writeTargetJSON(w, t.Status())
}

func (t *Target) serveStarts(w http.ResponseWriter, _ *http.Request) {
	writeTargetJSON(w, t.Starts())
}
