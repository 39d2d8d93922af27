package claim

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/catkinline/catkinline/kv"
)

// limitedStore limits the number of store calls in flight.
type limitedStore struct {
	inner kv.Store
	slots chan struct{}
}

// acquire waits until the limit on concurrent store calls allows another call. If it
// fails, the call was not made, so the error is kv.ErrUnavailable rather than
// kv.ErrUnknown.
func (s *limitedStore) acquire(ctx context.Context) error {
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: the limit on concurrent store calls was reached: %w", kv.ErrUnavailable, ctx.Err())
	}
}

func (s *limitedStore) release() { <-s.slots }

// Get calls kv.Store.Get within the call limit.
func (s *limitedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.acquire(ctx); err != nil {
		return kv.Entry{}, err
	}
	defer s.release()
	return s.inner.Get(ctx, key)
}

// List calls kv.Store.List within the call limit.
func (s *limitedStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	if err := s.acquire(ctx); err != nil {
		return nil, 0, err
	}
	defer s.release()
	return s.inner.List(ctx, prefix)
}

// CompareAndSwap calls kv.Store.CompareAndSwap, without a lease, within the call
// limit.
func (s *limitedStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if err := s.acquire(ctx); err != nil {
		return 0, err
	}
	defer s.release()
	return s.inner.CompareAndSwap(ctx, key, expected, value, 0)
}

// Delete calls kv.Store.Delete within the call limit.
func (s *limitedStore) Delete(ctx context.Context, key string, expected uint64) error {
	if err := s.acquire(ctx); err != nil {
		return err
	}
	defer s.release()
	return s.inner.Delete(ctx, key, expected)
}

type counters struct {
	granted, claimed, refused, recorded, abandoned, deleted, swept atomic.Uint64
}

// Stats counts the outcomes of claims. All fields but Pending are cumulative.
type Stats struct {
	Granted   uint64 // claims created or taken over by this entry
	Claimed   uint64 // submissions refused for an existing claim
	Refused   uint64 // submissions refused with ClaimUnavailable
	Recorded  uint64 // end states recorded
	Abandoned uint64 // end states abandoned
	Deleted   uint64 // own claims deleted after their retention
	Swept     uint64 // old claims deleted by the sweep
	Pending   int    // end states not recorded yet
}

// Stats returns the current counters. The fields are read one by one, not as a
// consistent snapshot.
func (c *Manager) Stats() Stats {
	return Stats{
		Granted:   c.counters.granted.Load(),
		Claimed:   c.counters.claimed.Load(),
		Refused:   c.counters.refused.Load(),
		Recorded:  c.counters.recorded.Load(),
		Abandoned: c.counters.abandoned.Load(),
		Deleted:   c.counters.deleted.Load(),
		Swept:     c.counters.swept.Load(),
		Pending:   c.backlog.size(),
	}
}
