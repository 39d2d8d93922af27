package standin

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
)

// ErrTarget is the class of errors from the stand-in target.
var ErrTarget = errs.Class("stand-in target")

// Headers of the target protocol.
const (
	TargetTaskHeader   = "Catkinline-Task"
	TargetNotRunHeader = "Catkinline-Not-Run"
)

// TargetOptions configures a Target. Zero fields take the defaults.
type TargetOptions struct {
	// Slots is the maximum number of concurrent tasks; zero means no limit.
	Slots int
	// Listening is called once with the bound address; it may be nil.
	Listening func(address string)
}

// Target is a stand-in for a user's target: an http.Handler that runs each task as a
// timer and counts starts by task identity. It doesn't suppress a second start of an
// identity, since it exists to detect violations of at-most-once execution and not to
// prevent them.
type Target struct {
	handler http.Handler

	mu            sync.Mutex
	faults        TargetFaults
	faultsChanged chan struct{} // closed and replaced when faults change
	slots         int           // configured limit, used when faults set none
	running       int
	starts        map[string]int
	echoes        map[string]int
	outcomes      TargetOutcomes
}

// TargetOutcomes counts the requests of a target by outcome.
type TargetOutcomes struct {
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"` // connection closed while the task ran
	Refused   int `json:"refused"`   // reported as not run
}

// NewTarget returns a target without faults.
func NewTarget(options TargetOptions) *Target {
	t := &Target{
		faultsChanged: make(chan struct{}),
		slots:         options.Slots,
		starts:        map[string]int{},
		echoes:        map[string]int{},
	}
	router := bunrouter.New().Compat()
	router.POST("/tasks", t.serveTask)
	router.GET("/status", t.serveStatus)
	router.GET("/starts", t.serveStarts)
	router.GET("/faults", t.serveFaults)
	router.POST("/faults", t.serveSetFaults)
	t.handler = router.Router
	return t
}

// ServeHTTP serves the target protocol (/tasks, /status) and the stand-in's own
// endpoints /starts and /faults.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.handler.ServeHTTP(w, r)
}

// readHeaderTimeout bounds the time in which a client sends its request headers. Agents
// reuse connections; idle time between requests doesn't count.
const readHeaderTimeout = 10 * time.Second

// RunTarget serves a Target on a TCP address until ctx ends, then closes all
// connections, which cancels the running tasks.
func RunTarget(ctx context.Context, address string, options TargetOptions) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return ErrTarget.Wrap(err)
	}
	server := &http.Server{
		Handler:           NewTarget(options),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if options.Listening != nil {
		options.Listening(listener.Addr().String())
	}
	err = server.Serve(listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return ErrTarget.Wrap(err)
}

// TargetStatus is the response body of GET /status.
type TargetStatus struct {
	Running int `json:"running"`
	Slots   int `json:"slots"` // zero: no limit
}

// Status returns the number of running tasks and the limit in effect.
func (t *Target) Status() TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetStatus{Running: t.running, Slots: t.limit()}
}

// TargetStarts is the response body of GET /starts, from which at-most-once execution
// is verified.
type TargetStarts struct {
	Starts map[string]int `json:"starts"` // task identity to number of starts
	// Echoes counts starts by the payload's echo. If each task has an echo of its
	// own, this shows whether a job that was reported as not run did run, and
	// whether one task ran under two identities.
	Echoes       map[string]int `json:"echoes"`
	Identities   int            `json:"identities"`
	StartedAgain int            `json:"started_again"` // identities started more than once
	Outcomes     TargetOutcomes `json:"outcomes"`
}

// Starts returns a copy of the start counts.
func (t *Target) Starts() TargetStarts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := TargetStarts{
		Starts:     make(map[string]int, len(t.starts)),
		Echoes:     maps.Clone(t.echoes),
		Identities: len(t.starts),
		Outcomes:   t.outcomes,
	}
	for id, n := range t.starts {
		out.Starts[id] = n
		if n > 1 {
			out.StartedAgain++
		}
	}
	return out
}

// limit returns the maximum number of running tasks, zero for no limit. It is called
// with t.mu held.
func (t *Target) limit() int {
	if t.faults.Slots > 0 {
		return t.faults.Slots
	}
	return t.slots
}
