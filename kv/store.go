// Package kv is the narrow interface to a key-value store with leases and watches,
// with typed errors and call counting. Implementations: platform, standin.
package kv

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Typed errors of a Store. Unavailable is returned only where the call was
// certainly not applied; Unknown means that a write may have been applied.
var (
	ErrNotFound      = errors.New("store: key not found")
	ErrConflict      = errors.New("store: version does not match")
	ErrUnavailable   = errors.New("store: store unavailable, not applied")
	ErrUnknown       = errors.New("store: outcome of the write is unknown")
	ErrLeaseNotFound = errors.New("store: lease not found or expired")
	ErrTooLarge      = errors.New("store: value is over the size limit")
	// ErrCompacted is a watch from a revision whose history is discarded; the
	// prefix has to be listed again.
	ErrCompacted = fmt.Errorf("%w: the history after this revision is discarded", ErrUnavailable)
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20

// LeaseID names a lease; 0 is no lease.
type LeaseID uint64

// Entry is a key with its value. Version is the store-wide revision at which
// the value was written: it only grows, over all keys.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64
	Lease   LeaseID
}

// Change is one event of a watch: an entry that was written, or a key that was
// deleted.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Store is the platform's key-value store. Every method honours the context's
// deadline. A method's errors wrap one of the package's typed errors.
type Store interface {
	// Get returns a key's entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix and the store's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's version is expected (0: the key
	// does not exist) and returns the new version; otherwise ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes a key if its version is expected; otherwise ErrConflict.
	Delete(ctx context.Context, key string, expected uint64) error
	// GrantLease creates a lease that expires ttl after its last renewal and
	// then deletes its keys.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch waits until something below prefix has changed after the revision
	// after, and returns the changes and the revision to go on from. It may
	// return no changes when the wait ends.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}
