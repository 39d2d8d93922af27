package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// TargetPayload is the JSON encoding of a task's payload, which controls how the
// stand-in runs the task.
type TargetPayload struct {
	RunMS       float64 `json:"run_ms"`
	ResultBytes int     `json:"result_bytes"` // padding in the result
	Fail        bool    `json:"fail"`         // fails after its run time
	Echo        string  `json:"echo"`         // copied to the result
}

// TargetResult is the JSON encoding of a task's result. It contains the task identity
// and the payload's echo, so that a caller can recognize its own results.
type TargetResult struct {
	Task    string `json:"task"`
	Echo    string `json:"echo"`
	Padding string `json:"padding,omitempty"`
}

// Size limits; a task that exceeds one is refused and reported as not run.
const (
	maxPayloadBytes = 8 << 20
	maxResultBytes  = 64 << 20
)

func (t *Target) serveTask(w http.ResponseWriter, r *http.Request) {
	// Read the whole body first: net/http detects a closed connection only after
	// that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		t.refuse(w, http.StatusBadRequest, "unreadable body")
		return
	}
	if t.Faults().Silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	id := r.Header.Get(TargetTaskHeader)
	var payload TargetPayload
	if err := json.Unmarshal(body, &payload); err != nil || id == "" {
		t.refuse(w, http.StatusBadRequest, "missing task header or payload that is not valid JSON")
		return
	}
	if payload.ResultBytes < 0 || payload.ResultBytes > maxResultBytes {
		t.refuse(w, http.StatusBadRequest, "result_bytes out of range")
		return
	}
	if !t.start(id, payload.Echo) {
		t.refuse(w, http.StatusServiceUnavailable, "refused")
		return
	}
	t.finish(w, id, payload, t.run(r.Context(), payload))
}

// start takes a slot and counts a start. It returns false if the task is refused.
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

// taskOutcome is the outcome of a started task.
type taskOutcome int

const (
	taskDone taskOutcome = iota
	taskFailed
	taskCancelled
)

// run waits for the task's run time, as modified by the faults.
func (t *Target) run(ctx context.Context, payload TargetPayload) taskOutcome {
	faults, faultsChanged := t.currentFaults()
	for faults.Hang {
		select {
		case <-ctx.Done():
			return taskCancelled
		case <-faultsChanged:
		}
		faults, faultsChanged = t.currentFaults()
	}
	if faults.FailAll {
		return taskFailed
	}
	ms := payload.RunMS
	if faults.SlowFactor > 0 {
		ms *= faults.SlowFactor
	}
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return taskCancelled
	case <-timer.C:
	}
	if payload.Fail {
		return taskFailed
	}
	return taskDone
}

// finish frees the slot before it writes the response, so that an agent that starts the
// next task on receipt of the response always finds the slot free.
func (t *Target) finish(w http.ResponseWriter, id string, payload TargetPayload, outcome taskOutcome) {
	t.mu.Lock()
	t.running--
	switch outcome {
	case taskDone:
		t.outcomes.Done++
	case taskFailed:
		t.outcomes.Failed++
	case taskCancelled:
		t.outcomes.Cancelled++
	}
	t.mu.Unlock()
	switch outcome {
	case taskDone:
		writeTargetJSON(w, TargetResult{
			Task:    id,
			Echo:    payload.Echo,
			Padding: strings.Repeat("x", payload.ResultBytes),
		})
	case taskFailed:
		http.Error(w, "task failed", http.StatusInternalServerError)
	case taskCancelled:
		panic(http.ErrAbortHandler) // the client has disconnected
	}
}

// refuse responds with an error status and the header that marks the task as not run.
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
