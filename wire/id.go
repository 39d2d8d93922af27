// Package wire holds the messages between the system's own processes, their
// CBOR encoding and their framing.
package wire

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Version is the protocol version in Hello. A process refuses any other.
const Version = 1

// Incarnation tells one run of a process from its earlier runs: a greater
// incarnation started later.
type Incarnation uint64

// incarnationRandomBits keep two processes that start in the same microsecond
// apart.
const incarnationRandomBits = 12

// NewIncarnation draws an incarnation from a start time and random bits.
func NewIncarnation(start time.Time) Incarnation {
	us := uint64(start.UnixMicro())
	return Incarnation(us<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits))
}

// JobID names a job: the incarnation of the entry that owns it and a sequence
// number there.
type JobID struct {
	_     struct{} `cbor:",toarray"`
	Entry Incarnation
	Seq   uint64
}

// TaskID names one attempt to start one task.
type TaskID struct {
	_       struct{} `cbor:",toarray"`
	Job     JobID
	Index   uint32
	Attempt uint32
}

// Identity is the task's identity towards the target: the same for every
// attempt.
func (id TaskID) Identity() TaskID {
	id.Attempt = 0
	return id
}

// String returns entry-job-index, the form that targets see.
func (id TaskID) String() string {
	return fmt.Sprintf("%x-%d-%d", uint64(id.Job.Entry), id.Job.Seq, id.Index)
}

// GrantID names a grant of an agent.
type GrantID struct {
	_     struct{} `cbor:",toarray"`
	Agent Incarnation
	Seq   uint64
}
