// Package standin implements stand-ins for the platform's key-value store and for the
// users' targets, for tests, experiments and the demo. They work over HTTP or in
// process, and their faults can be switched at run time.
package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinline/catkinline/kv"
)

// StoreOptions configures a Store. Zero fields take the defaults.
type StoreOptions struct {
	// FirstRevision is the revision of the empty store. RunStore sets it from the
	// wall clock by default, so that versions also increase across restarts.
	FirstRevision uint64
	Faults        StoreFaults
}

// Store is an in-memory stand-in for the platform's key-value store. It takes the time
// from package time, so that it works with the fake clock of testing/synctest. Leases
// also expire while the store is down.
type Store struct {
	mu           sync.Mutex
	state        *storeState
	faults       StoreFaults
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	calls        StoreCalls
	// faultsChanged is closed and replaced when the faults change, so that the new faults
	// also apply to pending watches.
	faultsChanged chan struct{}
}

// NewStore returns an empty store with the given faults set.
func NewStore(o StoreOptions) *Store {
	s := &Store{state: newStoreState(o.FirstRevision), faultsChanged: make(chan struct{})}
	s.setFaults(o.Faults)
	return s
}

// Revision returns the store's current revision, also while the store is down.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

func (s *Store) get(key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.get(key, s.readTime())
}

func (s *Store) list(prefix string) ([]kv.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, revision := s.state.list(prefix, s.readTime())
	return entries, revision, nil
}

// readTime returns the time of the snapshot that serves reads.
func (s *Store) readTime() time.Time {
	return time.Now().Add(-milliseconds(s.faults.StaleReadsMS))
}

func (s *Store) compareAndSwap(key string, expected uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.compareAndSwap(key, expected, value, lease)
}

func (s *Store) delete(key string, expected uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.delete(key, expected)
}

func (s *Store) grantLease(ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.state.grantLease(ttl)
	s.state.leases[id].timer = time.AfterFunc(ttl, func() { s.expire(id) })
	return id, nil
}

// expire ends a lease whose time to live has passed. A renewal changes only the expiry
// time, so that the timer may fire early.
func (s *Store) expire(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok {
		return
	}
	left := time.Until(l.expiresAt)
	if left > 0 {
		l.timer.Reset(left)
		return
	}
	s.state.endLease(id)
}

func (s *Store) keepAlive(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok || time.Now().After(l.expiresAt) {
		return kv.ErrLeaseNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

func (s *Store) revokeLease(id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.endLease(id)
}

// watch waits for changes until wait has passed or ctx ends, and returns no changes
// and no error then.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changes, err := s.state.changesAfter(prefix, after)
		revision, changed, faultsChanged := s.state.revision, s.state.changed, s.faultsChanged
		s.mu.Unlock()
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		// Nothing with this prefix has changed up to this revision, so that the
		// next iteration scans only newer changes.
		after = revision
		select {
		case <-changed:
		case <-faultsChanged:
			if err := s.interruptWatch(ctx); err != nil {
				return nil, after, err
			}
		case <-timeout.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, after, nil
		}
	}
}
