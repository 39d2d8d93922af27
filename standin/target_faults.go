package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// TargetFaults is the body of POST /faults. Each request replaces the whole
// set, so an empty object restores a healthy target.
type TargetFaults struct {
	FailAll    bool    `json:"fail_all"`    // every task starts and fails at once
	SlowFactor float64 `json:"slow_factor"` // multiplies run times; zero means 1
	Hang       bool    `json:"hang"`        // tasks start and don't end while set
	Refuse     bool    `json:"refuse"`      // every task is refused as not run
	Silent     bool    `json:"silent"`      // /tasks and /status accept and never answer
	Slots      int     `json:"slots"`       // bound on running tasks; zero: the configured one
}

// SetFaults replaces the faults in force. Hung tasks continue with their run
// time when Hang is taken back; requests that met Silent are never answered.
func (t *Target) SetFaults(f TargetFaults) error {
	if f.SlowFactor < 0 || f.Slots < 0 {
		return ErrTarget.New("slow_factor and slots must not be negative")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

// Faults returns the faults in force.
func (t *Target) Faults() TargetFaults {
	f, _ := t.currentFaults()
	return f
}

// currentFaults returns the faults and a channel that closes when they change.
func (t *Target) currentFaults() (TargetFaults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.changed
}

func (t *Target) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeTargetJSON(w, t.Faults())
}

// targetFaultsBytes bounds the body of POST /faults.
const targetFaultsBytes = 4096

func (t *Target) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, targetFaultsBytes))
	decoder.DisallowUnknownFields()
	var f TargetFaults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeTargetJSON(w, f)
}

func writeTargetJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v) // a failed write means that the client is gone
}
