package wire

import (
	"time"

	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/workload"
)

// JobForward forwards a job from the entry that received it to another entry.
// RequestID is chosen by the sender and rises on a link. TimeLeft is the time until
// the caller no longer waits. The receiver ends the job when the link ends.
type JobForward struct {
	RequestID     uint64        `cbor:"1,keyasint"`
	Job           workload.Job  `cbor:"2,keyasint"`
	Route         routing.Route `cbor:"3,keyasint"` // in the sender's routing table
	RoutesVersion uint64        `cbor:"4,keyasint"` // of the sender's routing table
	TimeLeft      time.Duration `cbor:"5,keyasint"`
	// StopIn is the time until the sender ends a planned stop, 0 without one. A job that
	// will probably take longer is refused.
	StopIn time.Duration `cbor:"6,keyasint,omitempty"`
	// LastChoice says that no other entry is left to ask, so that an overloaded receiver
	// should not decline.
	LastChoice bool `cbor:"7,keyasint,omitempty"`
}

// JobAnswer is the response to a JobForward. Declined says that the receiver has not
// accepted the job and runs no part of it.
type JobAnswer struct {
	RequestID  uint64        `cbor:"1,keyasint"`
	Declined   bool          `cbor:"2,keyasint,omitempty"`
	Outcome    uint8         `cbor:"3,keyasint,omitempty"` // a placement.Outcome
	Reason     string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Number 6 is not used again.

	// WaitingCPU is the sum of the CPU needs of the tasks that wait at the receiver, in
	// thousandths of a core.
	WaitingCPU int64 `cbor:"7,keyasint,omitempty"`
	// Hopeless says that the job was declined because it cannot be answered in useful time there. Other jobs
	// may still be sent.
	Hopeless bool `cbor:"8,keyasint,omitempty"`
}

// PlacerState tells a peer whether this entry places jobs, and how much work waits. It is
// sent at the start of a link between entries, when the number of targets changes much, and at the start of a
// planned stop.
type PlacerState struct {
	Targets    uint32 `cbor:"1,keyasint,omitempty"` // usable targets; 0: forwarded jobs are declined
	WaitingCPU int64  `cbor:"2,keyasint,omitempty"` // as in JobAnswer
	// Stopping says that the process has begun a planned stop: it is no placer any more.
	Stopping bool `cbor:"9,keyasint,omitempty"`
}

// JobCancel asks the receiver of a JobForward to cancel the job because its caller has
// gone.
type JobCancel struct {
	RequestID uint64 `cbor:"1,keyasint"`
}

// JobsCancelled tells a peer which jobs callers have cancelled. The receiver ends those that it has, and starts
// none with these ids for a while.
type JobsCancelled struct {
	IDs   []string `cbor:"1,keyasint"`
	Relay bool     `cbor:"2,keyasint,omitempty"` // pass it on to the entries that place no jobs
	// Request, if not 0, asks for a CancelReceipt with this number.
	Request uint64 `cbor:"3,keyasint,omitempty"`
}

// CancelReceipt says that the sender has recorded the jobs of a JobsCancelled.
type CancelReceipt struct {
	Request uint64 `cbor:"1,keyasint"`
}
