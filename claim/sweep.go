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
	// sweepLockKey is held under a lease by the entry that sweeps.
	sweepLockKey = "claim-sweep/lock"
	// sweepDoneKey has the time of the last complete sweep.
	sweepDoneKey = "claim-sweep/done"
	// sweepLeaseTTL is several times the longest pause between two renewals.
	sweepLeaseTTL = 30 * time.Second
	// listPause keeps a sweep to five lists a second, a small part of the
	// store's two thousand reads.
	listPause = 200 * time.Millisecond
	// liveOwnerFactor times the retention is when a claim is deleted although its
	// owner is live: the owner had no room to remember it, or could not record
	// its end. No job runs that long.
	liveOwnerFactor = 2
)

var errSweepInProgress = errors.New("claim: another entry sweeps")

// sweepLoop deletes old claims of entries that died, if no other entry does.
func (c *Manager) sweepLoop(ctx context.Context) error {
	// The checks come at random times, so that entries which start together do
	// not meet at the lock.
	for c.sleep(c.random.between(c.options.SweepInterval/4, 3*c.options.SweepInterval/4)) {
		if !c.sweepDue(ctx) {
			continue
		}
		err := c.sweep(ctx)
		if err != nil && !errors.Is(err, errSweepInProgress) && c.tomb.Alive() {
			c.options.Log.Warn("sweep of old claims ended early", zap.Error(err))
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
	// An unreadable time counts as long ago.
	_ = last.UnmarshalText(e.Value)
	return time.Since(last) >= c.options.SweepInterval
}

// sweeper is one sweep under its lock.
type sweeper struct {
	*Manager
	lease   kv.LeaseID
	renewed time.Time
}

// sweep visits every claim once. The calls for its lock are the only ones
// beyond the bound of calls in flight, so that a lock is renewed in time.
func (c *Manager) sweep(ctx context.Context) error {
	store := c.store.inner
	lease, err := store.GrantLease(ctx, sweepLeaseTTL)
	if err != nil {
		return err
	}
	// Without an answer, the lease ends by itself.
	defer func() { _ = store.RevokeLease(ctx, lease) }()
	owner := strconv.FormatUint(uint64(c.self), 10)
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

// sweepPrefixes returns the prefixes to list, a sixteenth of a scope each.
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

// sweepPrefix deletes the old claims below a prefix.
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

// deletable reports whether a claim is past its retention and its owner will
// not delete it.
func (s *sweeper) deletable(r Record) bool {
	age := time.Since(r.Time)
	if age < s.options.Retention {
		return false
	}
	return !s.options.IsLive(r.Owner) || age >= liveOwnerFactor*s.options.Retention
}

// pause waits and renews the lock in time.
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
