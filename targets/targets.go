// Package targets defines the protocol between an agent and the target beside it: requests to
// start and stop runs, polls that renew the lease and list the runs, and the reports that the
// target sends.
package targets

import (
	"context"
	"errors"
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Report is the state that a target periodically reports. The field names are part of the
// encoding in the store.
type Report struct {
	Target        string // id of the target's incarnation
	Service       string
	FailureDomain string
	Labels        []string
	Capacity      workload.Resources
	Draining      bool
	Left          bool   // the target has ended as planned
	Born          int64  // start of the target process, Unix milliseconds; 0: unknown
	Sequence      uint64 // increases with each report of one process
	// ColdLeft is how much longer the target is slow, after its start or an evacuation. It changes
	// with each report, and is not saved.
	ColdLeft time.Duration `json:"-"`
	// FencingToken is the highest token that the agent has sent to the target, which the agent adds
	// before it saves the report; targets do not report it.
	FencingToken uint64 `json:",omitempty"`
	// Crashes are the recent crashes of the agent's targets, which the agent adds before it saves
	// the report; targets do not report them.
	Crashes []crash.Record `json:",omitempty"`
}

// StartResult is the outcome of a request to start a run.
type StartResult uint8

// Outcomes of a request to start a run.
const (
	// Started: the run was started, or was running already.
	Started StartResult = iota + 1
	// StartUnknown: no response; the target may execute the request later.
	StartUnknown
	// StartNoRoom: the target has too few free resources.
	StartNoRoom
	// StartStale: the target has seen the same or a later attempt of the task.
	StartStale
	// StartFenced: a higher fencing token has been used.
	StartFenced
	// StartNotRun: the target did not execute the request, for another reason.
	StartNotRun
)

// StartResponse is the response to a request to start a run.
type StartResponse struct {
	Result StartResult
	Reason string        // why the run was not started
	Clock  time.Duration // the target's clock at the response; 0: not known
}

// StartRequest asks the target to start a run. LeaseEnd is the time on the target's clock at
// which the lease of all its runs expires.
type StartRequest struct {
	Run          workload.RunID
	Spec         string
	LeaseEnd     time.Duration
	FencingToken uint64
}

// PollRequest renews the lease and asks for the list of runs. The target forgets ends with
// numbers up to AckedEnd. If no run ends, it delays the response by up to MaxWait.
type PollRequest struct {
	Target       string // id of the addressed incarnation; empty: any
	LeaseEnd     time.Duration
	FencingToken uint64
	AckedEnd     uint64
	MaxWait      time.Duration
}

// EndedRun is a run that has ended. Number increases within one process of the target.
type EndedRun struct {
	Number uint64
	Run    workload.RunID
	End    wire.EndStatus
	Reason string
}

// PollResponse lists the runs of a target.
type PollResponse struct {
	Clock    time.Duration // the target's clock at the response
	Born     int64         // start of the target process, Unix milliseconds; 0: unknown
	Fenced   bool          // a higher fencing token has been used; no run is listed
	Replaced bool          // the target is another incarnation; no run is listed
	Running  []workload.RunID
	Progress []int // percent, in the order of Running
	Ended    []EndedRun
	// Incomplete says that runs may be missing from the lists, so that the absence of one proves
	// nothing.
	Incomplete bool
}

// ErrNotListening is returned when nothing listens at the target's address, because its
// process has ended.
var ErrNotListening = errors.New("targets: nothing listens at the target's address")

// Client sends requests to a target. Errors from Poll wrap ErrNotListening if the target's
// process has ended.
type Client interface {
	Start(ctx context.Context, target string, r StartRequest) StartResponse
	// Stop reports whether the target has acknowledged the stop. The run may not have ended
	// yet.
	Stop(ctx context.Context, target string, run workload.RunID, fencingToken uint64) bool
	Poll(ctx context.Context, r PollRequest) (PollResponse, error)
}
