// Package kv defines the interface to a key-value store with leases and watches, its
// typed errors, and a wrapper that counts calls. Packages platform and standin
// implement it.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Typed errors of a Store. ErrUnavailable is returned for reads, and for writes that
// are known not to have been applied; ErrUnknown means that a write may have been
// applied.
var (
	ErrNotFound      = errors.New("store: key not found")
	ErrConflict      = errors.New("store: version does not match")
	ErrUnavailable   = errors.New("store: unavailable, the call was not applied")
	ErrUnknown       = errors.New("store: outcome of the write is unknown")
	ErrLeaseNotFound = errors.New("store: lease not found or expired")
	ErrTooLarge      = errors.New("store: value exceeds the size limit")
	// ErrCompacted is returned by a watch that starts at a revision whose history the
	// store has discarded; the caller has to list the prefix again.
	ErrCompacted = fmt.Errorf("%w: the history after this revision has been discarded", ErrUnavailable)
)

// MaxValueBytes is the size limit of a value in the platform's store.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID uint64

// Entry is a key with its value. Version is the revision of the whole store at which
// the value was written, so it increases with every write to any key.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
	Lease   LeaseID
}

// Change is an event of a watch: a written entry or a deleted key.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Store is a key-value store. Every method honours the context's deadline, and its
// errors wrap one of the package's typed errors.
type Store interface {
	// Get returns a key's entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose keys begin with prefix, and the store's revision
	// from which a watch can continue.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's version equals expected (0: the
	// key does not exist) and returns the new version; otherwise ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes a key if its version equals expected; otherwise ErrConflict.
	Delete(ctx context.Context, key string, expected uint64) error
	// GrantLease creates a lease that expires ttl after its last renewal. The store
	// then deletes the lease's keys.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits for changes of keys that begin with prefix after the revision
	// after, and returns them and the revision to continue from. It returns no changes
	// if there are none when the wait ends.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}
