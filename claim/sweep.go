package claim

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
)

const (
	// sweepLockKey is held under a lease by the entry that runs the sweep.
	sweepLockKey = "claim-sweep/lock"
	// sweepDoneKey stores the time of the last complete sweep.
	sweepDoneKey = "claim-sweep/done"
	// sweepLeaseTTL is several times the longest time between two renewals.
	sweepLeaseTTL = 30 * time.Second
	// listPause limits a sweep to five list calls a second, a small part of the two
	// thousand reads a second that the store serves.
	listPause = 200 * time.Millisecond
	// liveOwnerFactor times the retention is the age at which a claim is deleted
	// although its owner is live: the owner had no room in its retained list or could
	// not record the end state. No job runs that long.
	liveOwnerFactor = 2
)

var errSweepInProgress = errors.New("claim: another entry holds the sweep lock")

// sweepLoop periodically deletes old claims of dead entries, unless another entry
// does.
func (c *Manager) sweepLoop(ctx context.Context) error {
	// The checks are randomized, so that entries started together do not contend for
	// the lock.
	for c.sleep(c.random.between(c.options.SweepInterval/4, 3*c.options.SweepInterval/4)) {
		if !c.sweepDue(ctx) {
			continue
		}
		err := c.sweep(ctx)
		if err != nil && !errors.Is(err, errSweepInProgress) && c.tomb.Alive() {
			c.options.Log.Warn("sweep of old claims failed", zap.Error(err))
		}
	}
	return nil
}

func (c *Manager) sweepDue(ctx context.Context) bool {
	e, err := c.store.Get(ctx, sweepDoneKey)
	if err != nil {
		return errors.Is(err, kv.ErrNotFound)
	}
	var last time.Time
	// An unreadable time is treated as zero, so that a sweep is due.
	_ = last.UnmarshalText(e.Value)
	return time.Since(last) >= c.options.SweepInterval
}

// sweeper is the state of one sweep that holds the lock.
type sweeper struct {
	*Manager
	lease   kv.LeaseID
	renewed time.Time
}

// sweep checks every claim once. The calls for its lock bypass the limit of calls in
// flight, so that the lock is renewed in time.
func (c *Manager) sweep(ctx context.Context) error {
	store := c.store.inner
	lease, err := store.GrantLease(ctx, sweepLeaseTTL)
	if err != nil {
		return err
	}
	// If the call fails, the lease expires by itself.
	defer func() { _ = store.RevokeLease(ctx, lease) }()
	owner := strconv.FormatUint(uint64(c.incarnation), 10)
	_, err = store.CompareAndSwap(ctx, sweepLockKey, 0, []byte(owner), lease)
	if errors.Is(err, kv.ErrConflict) {
		return errSweepInProgress
	}
	if err != nil {
		return err
	}
	s := &sweeper{Manager: c, lease: lease, renewed: time.Now()}
	for _, prefix := range c.sweepPrefixes() {
		if err := s.sweepPrefix(ctx, prefix); err != nil {
			return err
		}
	}
	return c.recordSweepDone(ctx)
}

// sweepPrefixes returns the key prefixes to list, each covering a sixteenth of a
// scope.
func (c *Manager) sweepPrefixes() []string {
	if c.options.Scopes == nil {
		return []string{Prefix}
	}
	var out []string
	for _, scope := range c.options.Scopes() {
		for _, digit := range "0123456789abcdef" {
			out = append(out, scope.prefix()+string(digit))
		}
	}
	return out
}

// sweepPrefix deletes the old claims under a key prefix.
func (s *sweeper) sweepPrefix(ctx context.Context, prefix string) error {
	if err := s.pause(ctx, listPause); err != nil {
		return err
	}
	entries, _, err := s.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if !s.deletable(decodeRecord(e.Value)) {
			continue
		}
		if err := s.pause(ctx, time.Second/time.Duration(s.options.DeletesPerSecond)); err != nil {
			return err
		}
		err := s.store.Delete(ctx, e.Key, e.Version)
		if err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
		s.counters.swept.Add(1)
	}
	return nil
}

// deletable reports whether a claim is past its retention and will not be deleted by
// its owner.
func (s *sweeper) deletable(r Record) bool {
	age := time.Since(r.Time)
	if age < s.options.Retention {
		return false
	}
	return !s.options.IsLive(r.Owner) || age >= liveOwnerFactor*s.options.Retention
}

// pause waits for d and renews the lock if due.
func (s *sweeper) pause(ctx context.Context, d time.Duration) error {
	if !s.sleep(d) {
		return context.Canceled
	}
	if time.Since(s.renewed) < sweepLeaseTTL/4 {
		return nil
	}
	err := s.store.inner.KeepAlive(ctx, s.lease)
	s.renewed = time.Now()
	return err
}

func (c *Manager) recordSweepDone(ctx context.Context) error {
	now, err := time.Now().MarshalText()
	if err != nil {
		return err
	}
	e, err := c.store.Get(ctx, sweepDoneKey)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, sweepDoneKey, e.Version, now)
	return err
}
