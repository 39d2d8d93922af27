// Package targets is what an agent and the target beside it tell each other:
// orders to start and stop runs, their listings, and the target's reports.
package targets

import (
	"context"
	"errors"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Report is what a target says of itself from time to time.
type Report struct {
	Target        string // id of the target's incarnation
	Service       string
	FailureDomain string
	Labels        []string
	Capacity      workload.Resources
	Draining      bool
	Left          bool   // the target has ended as planned
	Born          int64  // Unix ms of its start; 0: not said
	Sequence      uint64 // rises with each report of one life
}

// StartResult is what an order to start a run came to.
type StartResult uint8

// Results of orders to start a run.
const (
	// Started also stands for a run that was there already.
	Started StartResult = iota + 1
	// StartUnknown: no answer; the order may be carried out later.
	StartUnknown
	// StartNoRoom: the target has no room for it.
	StartNoRoom
	// StartStale: the target has seen a greater or equal attempt.
	StartStale
	// StartFenced: another agent has used a higher fencing token.
	StartFenced
	// StartNotRun: the target did nothing, for another reason.
	StartNotRun
)

// StartRequest is an order to start a run. Lease is the time on the target's clock
// until which the target keeps what it runs.
type StartRequest struct {
	Run          workload.RunID
	Spec         string
	LeaseEnd     time.Duration
	FencingToken uint64
}

// PollRequest renews the lease and asks for the runs. Ends up to Seen are
// forgotten. Wait is how long the target may wait for an end.
type PollRequest struct {
	Target       string // the incarnation that is meant; empty: any
	LeaseEnd     time.Duration
	FencingToken uint64
	AckedEnd     uint64
	MaxWait      time.Duration
}

// EndedRun is a run that has ended. Number rises within a life of the target.
type EndedRun struct {
	Number uint64
	Run    workload.RunID
	End    wire.End
	Reason string
}

// PollResponse is a target's answer to an inquiry.
type PollResponse struct {
	Clock    time.Duration // on the target's clock
	Born     int64         // Unix ms of the target's start; 0: not said
	Fenced   bool          // a higher fencing token has been used; nothing is listed
	Replaced bool          // the target is of another incarnation; nothing is listed
	Running  []workload.RunID
	Progress []int // percent, by run
	Ended    []EndedRun
}

// ErrNotListening is the error of a target whose process has ended.
var ErrNotListening = errors.New("targets: nothing listens at its address")

// Client gives orders to a target. Errors of Poll wrap ErrNotListening where nothing
// listens at the target's address, which means that its process has ended.
type Client interface {
	Start(ctx context.Context, target string, o StartRequest) (StartResult, string)
	// Stop reports whether the target has acknowledged the stop.
	Stop(ctx context.Context, target string, run workload.RunID, fence uint64) bool
	Poll(ctx context.Context, q PollRequest) (PollResponse, error)
}
