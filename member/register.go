package member

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/wire"
)

// maxWrites bounds the write attempts of one refresh when the key changes
// concurrently; the next refresh then follows after a backoff.
const maxWrites = 3

// registration manages the entry's own key and its lease. Its methods must be called
// from one goroutine; only registered may be accessed by others.
type registration struct {
	store      kv.Store
	self       wire.Peer
	key        string
	ttl        time.Duration
	lease      kv.LeaseID  // 0 if there is none
	registered atomic.Bool // the key is written under the lease
}

func newRegistration(store kv.Store, self wire.Peer, ttl time.Duration) *registration {
	return &registration{store: store, self: self, key: Prefix + self.Name, ttl: ttl}
}

// refresh renews the lease, or grants a new one if it expired, and writes the key if
// it is not registered.
func (r *registration) refresh(ctx context.Context) error {
	if err := r.renew(ctx); err != nil {
		return err
	}
	if r.registered.Load() {
		return nil
	}
	return r.write(ctx)
}

func (r *registration) renew(ctx context.Context) error {
	if r.lease != 0 {
		err := r.store.KeepAlive(ctx, r.lease)
		if !errors.Is(err, kv.ErrLeaseNotFound) {
			return err
		}
		r.clearLease()
	}
	id, err := r.store.GrantLease(ctx, r.ttl)
	if err != nil {
		return err
	}
	r.lease = id
	return nil
}

func (r *registration) clearLease() {
	r.lease = 0
	r.registered.Store(false)
}

// write writes the key under the lease, replacing a value of this or an earlier
// incarnation. The first attempt expects the key to be absent, which saves a read in
// most cases.
func (r *registration) write(ctx context.Context) error {
	value, err := json.Marshal(r.self)
	if err != nil {
		return err
	}
	var expected uint64
	for range maxWrites {
		_, err = r.store.CompareAndSwap(ctx, r.key, expected, value, r.lease)
		switch {
		case err == nil:
			r.registered.Store(true)
			return nil
		case errors.Is(err, kv.ErrLeaseNotFound):
			r.clearLease()
			return err
		case !errors.Is(err, kv.ErrConflict):
			// The key may have been written. If so, the next refresh gets a conflict
			// and reads it.
			return err
		}
		var done bool
		expected, done, err = r.readExisting(ctx)
		if done || err != nil {
			r.registered.Store(done)
			return err
		}
	}
	return err
}

// readExisting reads the conflicting key and returns the version to replace. It
// returns done if the key already is this registration's own.
func (r *registration) readExisting(ctx context.Context) (expected uint64, done bool, err error) {
	e, err := r.store.Get(ctx, r.key)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var holder wire.Peer
	// An undecodable value is treated as an earlier incarnation and replaced.
	_ = json.Unmarshal(e.Value, &holder)
	if holder.Incarnation > r.self.Incarnation {
		return 0, false, errSuperseded
	}
	done = holder == r.self && e.Lease == r.lease
	return e.Version, done, nil
}

// revoke removes the key by revoking its lease. A write still in flight then fails,
// since its lease no longer exists.
func (r *registration) revoke(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	err := r.store.RevokeLease(ctx, r.lease)
	if errors.Is(err, kv.ErrLeaseNotFound) {
		err = nil
	}
	if err == nil {
		r.clearLease()
	}
	return err
}
