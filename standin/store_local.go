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

// LocalStore is an in-process client of a Store, with the same faults and timeouts as
// over HTTP. Each client can be partitioned from the store separately.
type LocalStore struct {
	store       *Store
	timeout     time.Duration
	wait        time.Duration
	partitioned atomic.Bool
}

var _ kv.Store = (*LocalStore)(nil)

// Local returns a new in-process client with the default timeouts of the HTTP client.
func (s *Store) Local() *LocalStore {
	return &LocalStore{store: s, timeout: platform.DefaultStoreTimeout, wait: platform.DefaultWatchWait}
}

// SetPartitioned makes every new call of this client fail with ErrUnavailable, as if
// its connections were refused. Pending calls continue.
func (l *LocalStore) SetPartitioned(partitioned bool) { l.partitioned.Store(partitioned) }

// localCall makes one call in a goroutine of its own, which continues after the caller
// has given up.
func localCall[T any](ctx context.Context, l *LocalStore, write bool, wait time.Duration, apply func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	if l.partitioned.Load() || ctx.Err() != nil {
		return none, kv.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, l.timeout+wait)
	defer cancel()
	results := make(chan result, 1)
	go func() {
		var a result
		a.err = l.store.serve(ctx, write, func() (err error) {
			a.value, err = apply(ctx)
			return err
		})
		if !errors.Is(a.err, errNoResponse) {
			results <- a
			return
		}
		close(results)
	}()
	select {
	case a, ok := <-results:
		if ok {
			return a.value, a.err
		}
		return none, noResponseError(write, errNoResponse)
	case <-ctx.Done():
		return none, noResponseError(write, ctx.Err())
	}
}

// noResponseError returns the error for a call that got no response: ErrUnknown for a
// write, which may have been applied, and ErrUnavailable for a read.
func noResponseError(write bool, cause error) error {
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

type listResult struct {
	entries  []kv.Entry
	revision uint64
}

// List implements kv.Store.
func (l *LocalStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	a, err := localCall(ctx, l, false, 0, func(context.Context) (a listResult, err error) {
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

type watchResult struct {
	changes  []kv.Change
	revision uint64
}

// Watch implements kv.Store.
func (l *LocalStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Change, uint64, error) {
	a, err := localCall(ctx, l, false, l.wait, func(ctx context.Context) (a watchResult, err error) {
		a.changes, a.revision, err = l.store.watch(ctx, prefix, after, l.wait)
		return a, err
	})
	if err != nil {
		return nil, after, err
	}
	return a.changes, a.revision, nil
}
