package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/catkinline/catkinline/platform"
)

// takeDrop reports whether the response of a request is to be dropped, and decrements
// the fault count. It also returns the delay after which the request is applied.
func (r *Runner) takeDrop(count func(*RunnerFaults) *int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := count(&r.faults)
	if *n == 0 {
		return false, 0
	}
	*n--
	return true, r.faults.ApplyDelay
}

// reportInterval is the interval of a target's heartbeats.
const reportInterval = 200 * time.Millisecond

// SendReports sends heartbeats to the target's agent until ctx ends. It ignores
// errors and goes on with the next heartbeat.
func (r *Runner) SendReports(ctx context.Context, agent, service string) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		if r.down() || r.silent.Load() {
			sleepUntilReport(ctx)
			continue
		}
		state := "ready"
		if r.draining.Load() {
			state = "draining"
		}
		body, _ := json.Marshal(r.Report(service, state, n)) // plain values always encode
		// An error means that the agent is not running.
		if resp, err := http.Post("http://"+agent+"/instances/"+r.ID()+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		sleepUntilReport(ctx)
	}
}

// Deregister tells the target's agent that the target ends, and reports whether the agent has
// acknowledged it.
func (r *Runner) Deregister(agent string) bool {
	resp, err := http.Post("http://"+agent+"/instances/"+r.ID()+"/deregister", "application/json", bytes.NewReader([]byte("{}")))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func sleepUntilReport(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(reportInterval):
	}
}

// Handler returns an HTTP handler of the platform's target protocol. It answers
// requests for another instance with status 421.
func (r *Runner) Handler() http.Handler {
	router := bunrouter.New().Compat()
	router.POST(platform.PathRunStart, serveRequest(r, func(f *RunnerFaults) *int { return &f.DropStarts },
		func(_ context.Context, q platform.RunStartRequest) (int, platform.TargetResponse) { return r.start(q) }))
	router.POST(platform.PathRunStop, serveRequest(r, func(f *RunnerFaults) *int { return &f.DropStops },
		func(_ context.Context, q platform.RunStopRequest) (int, platform.TargetResponse) { return r.stop(q) }))
	router.POST(platform.PathPoll, serveRequest(r, func(f *RunnerFaults) *int { return &f.DropPolls }, r.poll))
	return router.Router
}

func serveRequest[Q any](r *Runner, dropCount func(*RunnerFaults) *int, apply func(context.Context, Q) (int, platform.TargetResponse)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var q Q
		if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.down() {
			panic(http.ErrAbortHandler)
		}
		instance := req.Header.Get(platform.HeaderTargetInstance)
		if instance != "" && instance != r.ID() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if drop, delay := r.takeDrop(dropCount); drop {
			if delay > 0 {
				time.AfterFunc(delay, func() {
					if r.down() || instance != "" && instance != r.ID() {
						return // another incarnation refuses it
					}
					r.applyingLate.Store(true)
					defer r.applyingLate.Store(false)
					apply(context.Background(), q)
				})
			}
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, response := apply(req.Context(), q)
		if r.down() {
			panic(http.ErrAbortHandler) // crashed while the request waited
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error means that the agent has disconnected.
		_ = json.NewEncoder(w).Encode(response)
	}
}
