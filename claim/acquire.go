package claim

import (
	"context"
	"errors"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

const (
	// maxCASAttempts bounds the writes of one claim: a creation, one more after a
	// lost answer, and a takeover with one more.
	maxCASAttempts = 4
	// Retry hints are spread over this span, so that callers that were refused
	// together do not come back together.
	minRetryHint = 500 * time.Millisecond
	maxRetryHint = 1500 * time.Millisecond
)

// Request names what is claimed and for which job.
type Request struct {
	Scope Scope
	Key   string // the caller's request key
	Job   wire.JobID
}

// attempt is one try to claim a key.
type attempt struct {
	key      string
	record   Record
	expected uint64 // the version that the claim replaces, 0 if the key is absent
	// uncertain is set while a write that expected this version may have been
	// applied or may still be. It ends when the key has moved on from it.
	uncertain bool
}

// Claim claims a request key. Its errors are AlreadyClaimedError, or a result error with
// the code ClaimUnavailable or MissingKey; each of them says truly that this
// submission did not run.
func (c *Manager) Claim(ctx context.Context, q Request) (*Claim, error) {
	if q.Key == "" {
		return nil, result.New(result.MissingKey, "")
	}
	select {
	case c.waiting <- struct{}{}:
		defer func() { <-c.waiting }()
	default:
		return nil, c.unavailable("too many claims are waiting for the store")
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	a := &attempt{
		key: storeKey(q.Scope, q.Key),
		record: Record{
			Owner:   c.self,
			Job:     q.Job.Seq,
			Attempt: c.attempts.next(),
			State:   Running,
			Time:    time.Now(),
		},
	}
	version, err := c.acquire(ctx, a)
	if err == nil {
		c.counters.granted.Add(1)
		return &Claim{claims: c, key: a.key, record: a.record, version: version}, nil
	}
	if a.uncertain {
		c.recordNotRun(a)
	}
	return nil, err
}

// acquire returns the version of the claim once it is this attempt's.
func (c *Manager) acquire(ctx context.Context, a *attempt) (uint64, error) {
	value := a.record.encode()
	for range maxCASAttempts {
		version, err := c.store.CompareAndSwap(ctx, a.key, a.expected, value)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, kv.ErrUnknown):
			a.uncertain = true
		case !errors.Is(err, kv.ErrConflict):
			return 0, c.unavailable(err.Error())
		}
		version, err = c.readBack(ctx, a)
		if version != 0 || err != nil {
			return version, err
		}
	}
	return 0, c.unavailable("the claim changed during every attempt")
}

// readBack reads the key after a write that failed or was not answered. It
// returns the version if the claim is this attempt's after all, an error if the
// attempt is over, and neither if the write is to be tried again.
func (c *Manager) readBack(ctx context.Context, a *attempt) (uint64, error) {
	e, err := c.store.Get(ctx, a.key)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, c.unavailable(err.Error())
	}
	found := decodeRecord(e.Value)
	switch {
	case e.Version <= a.expected:
		// The lost write has not landed, or the read is stale.
		return 0, nil
	case found.sameAttempt(a.record):
		a.uncertain = false
		return e.Version, nil
	}
	// The key has moved on to a version of someone else, so no write of this
	// attempt that expected the older one was or will be applied.
	a.uncertain = false
	if found.State != FailedNotRun {
		c.counters.claimed.Add(1)
		return 0, newClaimed(found)
	}
	a.expected = e.Version
	return 0, nil
}

// recordNotRun records that an attempt which may yet turn out to be applied did not
// run. If the key still has the version that the attempt expected, this write
// replaces it, and the attempt's own write can no longer land.
func (c *Manager) recordNotRun(a *attempt) {
	r := a.record
	r.State = FailedNotRun
	c.enqueueEndState(&endStateWrite{key: a.key, record: r, expected: a.expected})
}

func (c *Manager) unavailable(reason string) *result.Error {
	c.counters.refused.Add(1)
	hint := c.random.between(minRetryHint, maxRetryHint)
	return result.New(result.ClaimUnavailable, reason).WithRetryAfter(hint)
}
