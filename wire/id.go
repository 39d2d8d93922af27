// Package wire defines the messages that the system's own processes exchange, their
// CBOR encoding and their framing.
package wire

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Version is the protocol version in Hello and Welcome. A Hello with any other
// version is refused.
const Version = 1

// Incarnation identifies one run of a process. A later run of the same process has
// a greater incarnation.
type Incarnation uint64

// incarnationRandomBits is the number of random bits that distinguish processes
// started in the same microsecond.
const incarnationRandomBits = 12

// NewIncarnation returns an incarnation made of the start time in microseconds and
// random low bits.
func NewIncarnation(start time.Time) Incarnation {
	us := uint64(start.UnixMicro())
	return Incarnation(us<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits))
}

// JobID identifies a job by the incarnation of the entry that owns it and a sequence
// number of that entry.
type JobID struct {
	_     struct{} `cbor:",toarray"`
	Entry Incarnation
	Seq   uint64
}

// TaskID identifies one attempt to start one task.
type TaskID struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Index   uint32
	Attempt uint32
}

// Identity returns the id without its attempt number. The target identifies the task
// by it, so that every attempt has the same identity there.
func (id TaskID) Identity() TaskID {
	id.Attempt = 0
	return id
}

// String returns ENTRY-JOB-INDEX, the task name that targets receive. It leaves out
// the attempt.
func (id TaskID) String() string {
	return fmt.Sprintf("%x-%d-%d", uint64(id.Job.Entry), id.Job.Seq, id.Index)
}

// GrantID identifies a grant by the incarnation of the agent that issued it and a
// sequence number of that agent.
type GrantID struct {
	_     struct{} `cbor:",toarray"`
	Agent Incarnation
	Seq   uint64
}
