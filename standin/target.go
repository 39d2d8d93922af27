// Package standin holds the stand-ins that replace the platform and the users'
// targets in tests, experiments and the demo: a target and a store, both over
// HTTP and with faults that can be switched at run time.
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

// ErrTarget is the class of errors of the stand-in target.
var ErrTarget = errs.Class("stand-in target")

// Headers of the target protocol.
const (
	TargetTaskHeader   = "Catkinline-Task"
	TargetNotRunHeader = "Catkinline-Not-Run"
)

// TargetOptions configures a stand-in target.
type TargetOptions struct {
	// Slots bounds the tasks that run at once; zero means no bound.
	Slots int
	// Listening, if set, is called once with the bound address.
	Listening func(address string)
}

// Target is a stand-in for a user's target: an http.Handler that runs each task
// as a timer and counts starts by task identity. It doesn't suppress a second
// start of an identity, since it is the judge of at-most-once and not a part of
// its enforcement.
type Target struct {
	handler http.Handler

	mu       sync.Mutex
	faults   TargetFaults
	changed  chan struct{} // closed and replaced when faults change
	slots    int           // configured bound, used when faults set none
	running  int
	starts   map[string]int
	echoes   map[string]int
	outcomes TargetOutcomes
}

// TargetOutcomes counts how the requests of a target ended.
type TargetOutcomes struct {
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"` // connection closed while the task ran
	Refused   int `json:"refused"`   // answered as not run
}

// NewTarget returns a target without faults.
func NewTarget(options TargetOptions) *Target {
	t := &Target{
		changed: make(chan struct{}),
		slots:   options.Slots,
		starts:  map[string]int{},
		echoes:  map[string]int{},
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

// ServeHTTP implements the target protocol and the stand-in's own endpoints
// /starts and /faults.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.handler.ServeHTTP(w, r)
}

// readHeaderTimeout closes connections that send no request; agents reuse
// connections, and an idle one doesn't count against it.
const readHeaderTimeout = 10 * time.Second

// RunTarget serves a stand-in target at a TCP address until ctx ends, then
// closes every connection, which stops the running tasks.
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

// TargetStatus is the answer of GET /status.
type TargetStatus struct {
	Running int `json:"running"`
	Slots   int `json:"slots"` // zero: no bound
}

// Status returns the number of running tasks and the bound in force.
func (t *Target) Status() TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetStatus{Running: t.running, Slots: t.limit()}
}

// TargetStarts is the answer of GET /starts: the record by which at-most-once
// is judged.
type TargetStarts struct {
	Starts map[string]int `json:"starts"` // task identity to number of starts
	// Echoes counts starts by the payload's echo. A caller that gives each task
	// its own echo learns from it whether a job that was answered as not run
	// did run, and whether one task ran under two identities.
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

// limit returns the bound on running tasks; t.mu is held.
func (t *Target) limit() int {
	if t.faults.Slots > 0 {
		return t.faults.Slots
	}
	return t.slots
}
