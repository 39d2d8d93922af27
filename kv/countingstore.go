package kv

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Op is an operation of a Store.
type Op uint8

// Operations, in the order of the methods of Store.
const (
	OpGet Op = iota
	OpList
	OpCompareAndSwap
	OpDelete
	OpGrantLease
	OpKeepAlive
	OpRevokeLease
	OpWatch
	opCount
)

var opNames = [opCount]string{
	"get", "list", "compare_and_swap", "delete", "grant_lease", "keep_alive", "revoke_lease", "watch",
}

// String returns the operation's name in metrics.
func (o Op) String() string { return opNames[o] }

// IsWrite reports whether the operation counts against the store's limit on the rate
// of writes. Lease operations do, since they change the store's state.
func (o Op) IsWrite() bool { return o != OpGet && o != OpList && o != OpWatch }

// Outcome is the result of a call in metrics.
type Outcome uint8

// Outcomes of calls. OutcomePending is a call that has not returned yet.
const (
	OutcomeOK Outcome = iota
	OutcomeNotFound
	OutcomeConflict
	OutcomeUnavailable
	OutcomeUnknown
	OutcomeLeaseNotFound
	OutcomeTooLarge
	OutcomeOther
	OutcomePending
	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"ok", "not_found", "conflict", "unavailable", "unknown", "lease_not_found", "too_large", "other", "pending",
}

// String returns the outcome's name in metrics.
func (o Outcome) String() string { return outcomeNames[o] }

var outcomeErrors = [...]struct {
	err     error
	outcome Outcome
}{
	{ErrNotFound, OutcomeNotFound},
	{ErrConflict, OutcomeConflict},
	{ErrUnavailable, OutcomeUnavailable},
	{ErrUnknown, OutcomeUnknown},
	{ErrLeaseNotFound, OutcomeLeaseNotFound},
	{ErrTooLarge, OutcomeTooLarge},
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeOK
	}
	for _, e := range outcomeErrors {
		if errors.Is(err, e.err) {
			return e.outcome
		}
	}
	return OutcomeOther
}

// CallCount is the number of calls to one operation with one outcome.
type CallCount struct {
	Op      Op
	Outcome Outcome
	Calls   uint64
}

// CountingStore is a Store that counts the calls to another one. A call is counted
// when it starts, so that a pending watch is included. It is safe for concurrent use
// if the other Store is.
type CountingStore struct {
	inner    Store
	started  [opCount]atomic.Uint64
	finished [opCount][outcomeCount]atomic.Uint64
}

// NewCountingStore returns a CountingStore that forwards every call to inner.
func NewCountingStore(inner Store) *CountingStore { return &CountingStore{inner: inner} }

// Calls returns the number of calls to an operation, including pending ones.
func (c *CountingStore) Calls(op Op) uint64 { return c.started[op].Load() }

// Writes returns the number of calls to operations for which IsWrite holds.
func (c *CountingStore) Writes() uint64 { return c.total(true) }

// Reads returns the number of all other calls, including watches.
func (c *CountingStore) Reads() uint64 { return c.total(false) }

func (c *CountingStore) total(write bool) uint64 {
	var n uint64
	for op := Op(0); op < opCount; op++ {
		if op.IsWrite() == write {
			n += c.started[op].Load()
		}
	}
	return n
}

// Counts returns the number of calls for every operation and outcome, also where it
// is 0, so that an exporter always has the same series. OutcomePending is a gauge, the
// others are counters.
func (c *CountingStore) Counts() []CallCount {
	out := make([]CallCount, 0, int(opCount)*int(outcomeCount))
	for op := Op(0); op < opCount; op++ {
		var done uint64
		for o := OutcomeOK; o < OutcomePending; o++ {
			n := c.finished[op][o].Load()
			done += n
			out = append(out, CallCount{op, o, n})
		}
		// The started calls are read after the finished ones, so that the difference
		// is never negative.
		pending := c.started[op].Load() - done
		out = append(out, CallCount{op, OutcomePending, pending})
	}
	return out
}

func (c *CountingStore) recordStart(op Op) { c.started[op].Add(1) }

func (c *CountingStore) recordResult(op Op, err error) { c.finished[op][outcomeOf(err)].Add(1) }

// Get implements Store.
func (c *CountingStore) Get(ctx context.Context, key string) (Entry, error) {
	c.recordStart(OpGet)
	entry, err := c.inner.Get(ctx, key)
	c.recordResult(OpGet, err)
	return entry, err
}

// List implements Store.
func (c *CountingStore) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	c.recordStart(OpList)
	entries, revision, err := c.inner.List(ctx, prefix)
	c.recordResult(OpList, err)
	return entries, revision, err
}

// CompareAndSwap implements Store.
func (c *CountingStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error) {
	c.recordStart(OpCompareAndSwap)
	version, err := c.inner.CompareAndSwap(ctx, key, expected, value, lease)
	c.recordResult(OpCompareAndSwap, err)
	return version, err
}

// Delete implements Store.
func (c *CountingStore) Delete(ctx context.Context, key string, expected uint64) error {
	c.recordStart(OpDelete)
	err := c.inner.Delete(ctx, key, expected)
	c.recordResult(OpDelete, err)
	return err
}

// GrantLease implements Store.
func (c *CountingStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	c.recordStart(OpGrantLease)
	id, err := c.inner.GrantLease(ctx, ttl)
	c.recordResult(OpGrantLease, err)
	return id, err
}

// KeepAlive implements Store.
func (c *CountingStore) KeepAlive(ctx context.Context, id LeaseID) error {
	c.recordStart(OpKeepAlive)
	err := c.inner.KeepAlive(ctx, id)
	c.recordResult(OpKeepAlive, err)
	return err
}

// RevokeLease implements Store.
func (c *CountingStore) RevokeLease(ctx context.Context, id LeaseID) error {
	c.recordStart(OpRevokeLease)
	err := c.inner.RevokeLease(ctx, id)
	c.recordResult(OpRevokeLease, err)
	return err
}

// Watch implements Store.
func (c *CountingStore) Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error) {
	c.recordStart(OpWatch)
	changes, revision, err := c.inner.Watch(ctx, prefix, after)
	c.recordResult(OpWatch, err)
	return changes, revision, err
}
