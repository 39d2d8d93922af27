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

// dropped takes one off a count of answers to drop.
func (r *Runner) dropped(count func(*RunnerFaults) *int) (bool, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := count(&r.faults)
	if *n == 0 {
		return false, 0
	}
	*n--
	return true, r.faults.Late
}

// reportInterval is the time between two reports of a target.
const reportInterval = 200 * time.Millisecond

// Announce sends the target's reports to its agent until ctx ends.
func (r *Runner) Announce(ctx context.Context, agent, service string) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		body, _ := json.Marshal(r.Report(service, "ready", n)) // plain values always encode
		// An error is an agent that is not there.
		if resp, err := http.Post("http://"+agent+"/instances/"+r.id()+"/heartbeat", "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// Handler returns the target's HTTP side.
func (r *Runner) Handler() http.Handler {
	router := bunrouter.New().Compat()
	router.POST(platform.PathRunStart, order(r, func(f *RunnerFaults) *int { return &f.DropStarts },
		func(_ context.Context, q platform.RunStartRequest) (int, platform.TargetResponse) { return r.start(q) }))
	router.POST(platform.PathRunStop, order(r, func(f *RunnerFaults) *int { return &f.DropStops },
		func(_ context.Context, q platform.RunStopRequest) (int, platform.TargetResponse) { return r.stop(q) }))
	router.POST(platform.PathPoll, order(r, func(f *RunnerFaults) *int { return &f.DropHolds }, r.hold))
	return router.Router
}

func order[Q any](r *Runner, drop func(*RunnerFaults) *int, apply func(context.Context, Q) (int, platform.TargetResponse)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var q Q
		if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if meant := req.Header.Get(platform.HeaderTargetInstance); meant != "" && meant != r.id() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if lost, late := r.dropped(drop); lost {
			if late > 0 {
				time.AfterFunc(late, func() { apply(context.Background(), q) })
			}
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, answer := apply(req.Context(), q)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// An error here is an agent that has gone.
		_ = json.NewEncoder(w).Encode(answer)
	}
}
