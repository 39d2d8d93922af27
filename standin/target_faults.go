package standin

import (
	"encoding/json"
	"io"
	"net/http"
)

// TargetFaults is the request body of POST /faults. Each request replaces all faults, so
// an empty object restores a healthy target.
type TargetFaults struct {
	FailAll    bool    `json:"fail_all"`    // every task starts and fails immediately
	SlowFactor float64 `json:"slow_factor"` // multiplies run times; zero means 1
	Hang       bool    `json:"hang"`        // tasks start and don't end while this is set
	Refuse     bool    `json:"refuse"`      // every task is refused and reported as not run
	Silent     bool    `json:"silent"`      // /tasks and /status read requests and never respond
	Slots      int     `json:"slots"`       // limit of running tasks; zero: the configured limit
}

// SetFaults replaces all faults. It returns an error if SlowFactor or Slots is negative.
// When Hang is cleared, the hung tasks begin their run time; requests received while
// Silent was set never get a response.
func (t *Target) SetFaults(f TargetFaults) error {
	if f.SlowFactor < 0 || f.Slots < 0 {
		return ErrTarget.New("slow_factor and slots must not be negative")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	close(t.faultsChanged)
	t.faultsChanged = make(chan struct{})
	return nil
}

// Faults returns the faults that are set.
func (t *Target) Faults() TargetFaults {
	f, _ := t.currentFaults()
	return f
}

// currentFaults returns the faults and a channel that closes when they change.
func (t *Target) currentFaults() (TargetFaults, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.faultsChanged
}

func (t *Target) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeTargetJSON(w, t.Faults())
}

// maxFaultsBytes bounds the request body of POST /faults.
const maxFaultsBytes = 4096

func (t *Target) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBytes))
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
	json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}
