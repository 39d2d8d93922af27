package wire

import (
	"time"

	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/workload"
)

// JobForward hands a job that a caller sent to one entry over to another.
// RequestID is chosen by the sender and rises on a link. TimeLeft is the time until
// the caller no longer waits. The receiver ends the job when the link ends.
type JobForward struct {
	RequestID     uint64        `cbor:"1,keyasint"`
	Job           workload.Job  `cbor:"2,keyasint"`
	Route         routing.Route `cbor:"3,keyasint"` // as the sender's routes have it
	RoutesVersion uint64        `cbor:"4,keyasint"` // of the sender's routes
	TimeLeft      time.Duration `cbor:"5,keyasint"`
}

// JobAnswer answers a JobForward. Declined says that the receiver has not taken the
// job and that nothing of it runs there.
type JobAnswer struct {
	RequestID  uint64        `cbor:"1,keyasint"`
	Declined   bool          `cbor:"2,keyasint,omitempty"`
	Outcome    uint8         `cbor:"3,keyasint,omitempty"` // a placement.Outcome
	Reason     string        `cbor:"4,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Contended says that tasks wait for room at the receiver, or did just now.
	Contended bool `cbor:"6,keyasint,omitempty"`
}

// JobCancel says that the caller of a JobForward went away.
type JobCancel struct {
	RequestID uint64 `cbor:"1,keyasint"`
}
