package standin

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
)

// LocalStore is a view of a Store in the same process, with the same faults and
// timeouts as over HTTP. Each view can be cut off alone.
type LocalStore struct {
	store       *Store
	timeout     time.Duration
	wait        time.Duration
	partitioned atomic.Bool
}

var _ kv.Store = (*LocalStore)(nil)

// Local returns a new view with the timeouts of the client.
func (s *Store) Local() *LocalStore {
	return &LocalStore{store: s, timeout: platform.DefaultStoreTimeout, wait: platform.DefaultWatchWait}
}

// SetPartitioned makes every new call through this view fail with ErrUnavailable, as if
// its connections were refused. Pending calls continue.
func (l *LocalStore) SetPartitioned(partitioned bool) { l.partitioned.Store(partitioned) }

// localCall makes one call in its own goroutine, which goes on when the caller
// has given up.
func localCall[T any](ctx context.Context, l *LocalStore, write bool, wait time.Duration, apply func(context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	if l.partitioned.Load() || ctx.Err() != nil {
		return none, kv.ErrUnavailable
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
		return fmt.Errorf("%w: %w", kv.ErrUnknown, cause)
	}
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, cause)
}

// Get implements kv.Store.
func (l *LocalStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	return localCall(ctx, l, false, 0, func(context.Context) (kv.Entry, error) {
		return l.store.get(key)
	})
}

type listing struct {
	entries  []kv.Entry
	revision uint64
}

// List implements kv.Store.
func (l *LocalStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	a, err := localCall(ctx, l, false, 0, func(context.Context) (a listing, err error) {
		a.entries, a.revision, err = l.store.list(prefix)
		return a, err
	})
	return a.entries, a.revision, err
}

// CompareAndSwap implements kv.Store.
func (l *LocalStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	return localCall(ctx, l, true, 0, func(context.Context) (uint64, error) {
		return l.store.compareAndSwap(key, expected, value, lease)
	})
}

// Delete implements kv.Store.
func (l *LocalStore) Delete(ctx context.Context, key string, expected uint64) error {
	return l.write(ctx, func() error { return l.store.delete(key, expected) })
}

// GrantLease implements kv.Store.
func (l *LocalStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	return localCall(ctx, l, true, 0, func(context.Context) (kv.LeaseID, error) {
		return l.store.grantLease(ttl)
	})
}

// KeepAlive implements kv.Store.
func (l *LocalStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	return l.write(ctx, func() error { return l.store.keepAlive(id) })
}

// RevokeLease implements kv.Store.
func (l *LocalStore) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	return l.write(ctx, func() error { return l.store.revokeLease(id) })
}

func (l *LocalStore) write(ctx context.Context, apply func() error) error {
	_, err := localCall(ctx, l, true, 0, func(context.Context) (struct{}, error) {
		return struct{}{}, apply()
	})
	return err
}

type watched struct {
	changes  []kv.Change
	revision uint64
}

// Watch implements kv.Store.
func (l *LocalStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Change, uint64, error) {
	a, err := localCall(ctx, l, false, l.wait, func(ctx context.Context) (a watched, err error) {
		a.changes, a.revision, err = l.store.watch(ctx, prefix, after, l.wait)
		return a, err
	})
	if err != nil {
		return nil, after, err
	}
	return a.changes, a.revision, nil
}
