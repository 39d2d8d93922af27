package standin

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/platform/httpstore"
)

// LocalStore is a view of a Store in the same process, with the same faults and
// timeouts as over HTTP. Each view can be cut off alone.
type LocalStore struct {
	store   *Store
	timeout time.Duration
	wait    time.Duration
	cut     atomic.Bool
}

var _ platform.Store = (*LocalStore)(nil)

// Local returns a new view with the timeouts of httpstore.
func (s *Store) Local() *LocalStore {
	return &LocalStore{store: s, timeout: httpstore.DefaultTimeout, wait: httpstore.DefaultWatchWait}
}

// Cut makes every call through this view fail as not applied, as if its
// connections were refused. Pending calls go on.
func (l *LocalStore) Cut(cut bool) { l.cut.Store(cut) }

// localCall makes one call in its own goroutine, which goes on when the caller
// has given up.
func localCall[T any](ctx context.Context, l *LocalStore, write bool, wait time.Duration, apply func(context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	if l.cut.Load() || ctx.Err() != nil {
		return none, platform.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout+wait)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		var a answer
		a.err = l.store.serve(ctx, write, func() (err error) {
			a.value, err = apply(ctx)
			return err
		})
		if !errors.Is(a.err, errNoAnswer) {
			answers <- a
			return
		}
		close(answers)
	}()
	select {
	case a, ok := <-answers:
		if ok {
			return a.value, a.err
		}
		return none, lost(write, errNoAnswer)
	case <-ctx.Done():
		return none, lost(write, ctx.Err())
	}
}

// lost is the error of a call that got no answer.
func lost(write bool, cause error) error {
	if write {
		return fmt.Errorf("%w: %w", platform.ErrUnknown, cause)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, cause)
}

// Get implements platform.Store.
func (l *LocalStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	return localCall(ctx, l, false, 0, func(context.Context) (platform.Entry, error) {
		return l.store.get(key)
	})
}

type listing struct {
	entries  []platform.Entry
	revision uint64
}

// List implements platform.Store.
func (l *LocalStore) List(ctx context.Context, prefix string) ([]platform.Entry, uint64, error) {
	a, err := localCall(ctx, l, false, 0, func(context.Context) (a listing, err error) {
		a.entries, a.revision, err = l.store.list(prefix)
		return a, err
	})
	return a.entries, a.revision, err
}

// CompareAndSwap implements platform.Store.
func (l *LocalStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	return localCall(ctx, l, true, 0, func(context.Context) (uint64, error) {
		return l.store.compareAndSwap(key, expected, value, lease)
	})
}

// Delete implements platform.Store.
func (l *LocalStore) Delete(ctx context.Context, key string, expected uint64) error {
	return l.write(ctx, func() error { return l.store.delete(key, expected) })
}

// GrantLease implements platform.Store.
func (l *LocalStore) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return localCall(ctx, l, true, 0, func(context.Context) (platform.LeaseID, error) {
		return l.store.grantLease(ttl)
	})
}

// KeepAlive implements platform.Store.
func (l *LocalStore) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	return l.write(ctx, func() error { return l.store.keepAlive(id) })
}

// RevokeLease implements platform.Store.
func (l *LocalStore) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	return l.write(ctx, func() error { return l.store.revokeLease(id) })
}

func (l *LocalStore) write(ctx context.Context, apply func() error) error {
	_, err := localCall(ctx, l, true, 0, func(context.Context) (struct{}, error) {
		return struct{}{}, apply()
	})
	return err
}

type watched struct {
	changes  []platform.Change
	revision uint64
}

// Watch implements platform.Store.
func (l *LocalStore) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Change, uint64, error) {
	a, err := localCall(ctx, l, false, l.wait, func(ctx context.Context) (a watched, err error) {
		a.changes, a.revision, err = l.store.watch(ctx, prefix, after, l.wait)
		return a, err
	})
	if err != nil {
		return nil, after, err
	}
	return a.changes, a.revision, nil
}
