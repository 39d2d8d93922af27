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
}

// JobAnswer is the response to a JobForward. Declined says that the receiver has not
// accepted the job and runs no part of it.
type JobAnswer struct {
	RequestID  uint64        `cbor:"1,keyasint"`
	Declined   bool          `cbor:"2,keyasint,omitempty"`
	Outcome    uint8         `cbor:"3,keyasint,omitempty"` // a placement.Outcome
	Reason     string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Contended says that tasks at the receiver wait for free capacity, or did until
	// just now.
	Contended bool `cbor:"6,keyasint,omitempty"`
}

// JobCancel asks the receiver of a JobForward to cancel the job because its caller has
// gone.
type JobCancel struct {
	RequestID uint64 `cbor:"1,keyasint"`
}
