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
	// maxCASAttempts bounds the writes of one claim: a creation, a retry after a lost
	// response, a takeover and its retry.
	maxCASAttempts = 4
	// Retry hints are drawn from this range, so that callers refused together do not
	// retry together.
	minRetryHint = 500 * time.Millisecond
	maxRetryHint = 1500 * time.Millisecond
)

// Request identifies the request key to claim and the job to claim it for.
type Request struct {
	Scope Scope
	Key   string // request key chosen by the caller
	Job   wire.JobID
}

// attempt is one attempt to claim a key.
type attempt struct {
	key      string
	record   Record
	expected uint64 // version that the claim replaces; 0 if the key is absent
	// uncertain is set while a write that expected this version may have been applied
	// or may still be applied. It is cleared once the key has a later version.
	uncertain bool
}

// Claim claims a request key. It returns an *AlreadyClaimedError, or a *result.Error
// with the code ClaimUnavailable or MissingKey. Each of them guarantees that this
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
			Owner:   c.incarnation,
			Job:     q.Job.Seq,
			Attempt: c.attempts.next(),
			State:   Running,
			Time:    time.Now(),
		},
	}
	version, err := c.acquire(ctx, a)
	if err == nil {
		c.counters.granted.Add(1)
		return &Claim{manager: c, key: a.key, record: a.record, version: version}, nil
	}
	if a.uncertain {
		c.recordNotRun(a)
	}
	return nil, err
}

// acquire writes the claim and returns its version.
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

// readBack reads the key after a write that failed or whose response was lost. It
// returns the version if the claim belongs to this attempt after all, an error if the
// attempt has failed, and neither if the write is to be retried.
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
		// The write was not applied yet, or the read is stale.
		return 0, nil
	case found.sameAttempt(a.record):
		a.uncertain = false
		return e.Version, nil
	}
	// The key has a later version from another attempt, so no write of this attempt
	// that expected the older version was or will be applied.
	a.uncertain = false
	if found.State != FailedNotRun {
		c.counters.claimed.Add(1)
		return 0, newAlreadyClaimedError(found)
	}
	a.expected = e.Version
	return 0, nil
}

// recordNotRun records FailedNotRun for an attempt whose write may still be applied.
// If the key still has the version that the attempt expected, this record replaces
// it, and the attempt's own write can no longer succeed.
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
