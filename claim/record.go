package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// Prefix is the key prefix of claims. A key is Prefix + service + "/" + workspace +
// "/" + hash of the request key.
const Prefix = "claims/"

// hashBytes is the length of the hash in a key. At 128 bits, accidental collisions
// between request keys of one workspace are negligible.
const hashBytes = 16

// State is the state of a claimed job.
type State string

// States of a claim.
const (
	Running      State = "running"
	Complete     State = "complete"
	FailedNotRun State = "failed_not_run" // failed, and certainly no task started
	Failed       State = "failed"
)

// Record is the stored value of a claim.
type Record struct {
	Owner   wire.Incarnation `json:"owner"`
	Job     uint64           `json:"job"`     // sequence number of the job at the owner
	Attempt uint64           `json:"attempt"` // distinguishes several attempts to claim a key for one job
	State   State            `json:"state"`
	Time    time.Time        `json:"time"` // time at which the state was written
}

// sameAttempt reports whether two records belong to the same attempt.
func (r Record) sameAttempt(o Record) bool {
	return r.Owner == o.Owner && r.Job == o.Job && r.Attempt == o.Attempt
}

func (r Record) encode() []byte {
	// A struct of numbers, strings and a time from time.Now cannot fail to encode.
	b, _ := json.Marshal(r)
	return b
}

// decodeRecord decodes a record. For an unreadable value it returns a record without
// a known state, which cannot be taken over.
func decodeRecord(value []byte) Record {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}
	}
	return r
}

// Scope is the namespace of the request keys of one workspace at one service.
type Scope struct {
	Service   string
	Workspace string
}

func (s Scope) prefix() string {
	return Prefix + url.PathEscape(s.Service) + "/" + url.PathEscape(s.Workspace) + "/"
}

func storeKey(s Scope, requestKey string) string {
	sum := sha256.Sum256([]byte(requestKey))
	return s.prefix() + hex.EncodeToString(sum[:hashBytes])
}

// attemptCounter numbers the attempts of one entry.
type attemptCounter struct{ n atomic.Uint64 }

func (a *attemptCounter) next() uint64 { return a.n.Add(1) }

// random is a source of jitter that is safe for concurrent use, seeded with the
// entry's incarnation so that entries differ.
type random struct {
	mu     sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{source: rand.New(rand.NewPCG(seed, 0))}
}

// between returns a random duration from least to most, both inclusive.
func (r *random) between(least, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return least + time.Duration(r.source.Int64N(int64(most-least)+1))
}
