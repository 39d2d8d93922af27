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

// maxWrites bounds the attempts of one refresh to write a key that changes in
// the meantime; the next attempt then comes after a backoff.
const maxWrites = 3

// registration is the entry's own key and its lease. One goroutine calls its
// methods; held is also cleared from outside.
type registration struct {
	store      kv.Store
	self       wire.Peer
	key        string
	ttl        time.Duration
	lease      kv.LeaseID  // 0: none
	registered atomic.Bool // the key was written under the lease
}

func newRegistration(store kv.Store, self wire.Peer, ttl time.Duration) *registration {
	return &registration{store: store, self: self, key: Prefix + self.Name, ttl: ttl}
}

// refresh renews the lease, or gets a new one if it lapsed, and writes the key
// if it is not there.
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

// write puts the key under the lease, over a value of this or an earlier
// incarnation. The first attempt expects no key, which a read would mostly only
// confirm.
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
			// The key may have been written; the next refresh meets it as a
			// conflict and reads it.
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

// readExisting reads the key that is in the way and returns the version to write
// over. Done tells that the key is this registration's own.
func (r *registration) readExisting(ctx context.Context) (expected uint64, done bool, err error) {
	e, err := r.store.Get(ctx, r.key)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var holder wire.Peer
	// An undecodable value counts as an earlier incarnation and is replaced.
	_ = json.Unmarshal(e.Value, &holder)
	if holder.Incarnation > r.self.Incarnation {
		return 0, false, errSuperseded
	}
	done = holder == r.self && e.Lease == r.lease
	return e.Version, done, nil
}

// revoke removes the key by revoking its lease. A write that is still on its way
// then fails, because its lease is gone.
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
