package standin

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/catkinline/catkinline/kv"
)

const (
	// maxStaleReads is the largest age of a snapshot that reads can be served from.
	// It bounds the memory for superseded values.
	maxStaleReads = 30 * time.Second
	// maxLoggedChanges bounds the memory for watches that lag. At several hundred
	// writes a second it covers more than a minute.
	maxLoggedChanges = 1 << 16
)

// storeVersion is one value of a key, or its deletion, with the time of the write.
type storeVersion struct {
	kv.Change
	at time.Time
}

// supersededVersion identifies a version that is kept only for stale reads.
type supersededVersion struct {
	key string
	at  time.Time
}

type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
	timer     *time.Timer
	keys      map[string]bool
}

// storeState is the store's content. Its methods are called with Store.mu held.
type storeState struct {
	revision          uint64
	keys              map[string][]storeVersion // oldest first, never empty
	superseded        []supersededVersion       // by time, oldest first
	changeLog         []storeVersion            // changes by revision, oldest first
	compactedRevision uint64                    // the log contains every change after this revision
	leases            map[kv.LeaseID]*storeLease
	lastLease         kv.LeaseID
	changed           chan struct{} // closed and replaced on every change
}

func newStoreState(revision uint64) *storeState {
	return &storeState{
		revision:          revision,
		compactedRevision: revision,
		lastLease:         kv.LeaseID(revision),
		keys:              map[string][]storeVersion{},
		leases:            map[kv.LeaseID]*storeLease{},
		changed:           make(chan struct{}),
	}
}

// asOf returns the version of a key that was current at a time.
func (s *storeState) asOf(key string, t time.Time) (kv.Entry, bool) {
	versions := s.keys[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if !versions[i].at.After(t) {
			return versions[i].Entry, !versions[i].Deleted
		}
	}
	return kv.Entry{}, false
}

func (s *storeState) get(key string, t time.Time) (kv.Entry, error) {
	e, ok := s.asOf(key, t)
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	e.Value = slices.Clone(e.Value)
	return e, nil
}

func (s *storeState) list(prefix string, t time.Time) ([]kv.Entry, uint64) {
	var out []kv.Entry
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if e, err := s.get(key, t); err == nil {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revisionAt(t)
}

// revisionAt returns the revision that the store had at a time.
func (s *storeState) revisionAt(t time.Time) uint64 {
	i := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].at.After(t) })
	if i == 0 {
		return s.compactedRevision
	}
	return s.changeLog[i-1].Entry.Version
}

// current returns a key's entry and its version, 0 if the key doesn't exist.
func (s *storeState) current(key string) (kv.Entry, uint64) {
	versions := s.keys[key]
	if len(versions) == 0 || versions[len(versions)-1].Deleted {
		return kv.Entry{}, 0
	}
	e := versions[len(versions)-1].Entry
	return e, e.Version
}

func (s *storeState) compareAndSwap(key string, expected uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, fmt.Errorf("%w: %d bytes", kv.ErrTooLarge, len(value))
	}
	old, version := s.current(key)
	if version != expected {
		return 0, fmt.Errorf("%w: %s is at %d", kv.ErrConflict, key, version)
	}
	if lease != 0 && s.leases[lease] == nil {
		return 0, kv.ErrLeaseNotFound
	}
	s.detachFromLease(old)
	if lease != 0 {
		s.leases[lease].keys[key] = true
	}
	s.append(kv.Change{Entry: kv.Entry{Key: key, Value: slices.Clone(value), Lease: lease}})
	return s.revision, nil
}

func (s *storeState) delete(key string, expected uint64) error {
	old, version := s.current(key)
	if version != expected || version == 0 {
		return fmt.Errorf("%w: %s is at %d", kv.ErrConflict, key, version)
	}
	s.detachFromLease(old)
	s.append(kv.Change{Entry: kv.Entry{Key: key}, Deleted: true})
	return nil
}

// detachFromLease removes an entry that is about to change from its lease.
func (s *storeState) detachFromLease(e kv.Entry) {
	if l := s.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

// append applies a change at the next revision and wakes pending watches.
func (s *storeState) append(c kv.Change) {
	s.revision++
	c.Entry.Version = s.revision
	v := storeVersion{Change: c, at: time.Now()}
	key := c.Entry.Key
	if len(s.keys[key]) > 0 {
		s.superseded = append(s.superseded, supersededVersion{key: key, at: v.at})
	}
	s.keys[key] = append(s.keys[key], v)
	s.changeLog = append(s.changeLog, v)
	s.prune(v.at)
	close(s.changed)
	s.changed = make(chan struct{})
}

// prune drops the versions that are too old for stale reads, and the oldest half of the
// log when it is full.
func (s *storeState) prune(now time.Time) {
	for len(s.superseded) > 0 && now.Sub(s.superseded[0].at) > maxStaleReads {
		key := s.superseded[0].key
		s.superseded = s.superseded[1:]
		s.keys[key] = s.keys[key][1:]
		if len(s.keys[key]) == 1 && s.keys[key][0].Deleted {
			delete(s.keys, key)
		}
	}
	if len(s.changeLog) > 2*maxLoggedChanges {
		s.changeLog = slices.Clone(s.changeLog[len(s.changeLog)-maxLoggedChanges:])
		s.compactedRevision = s.changeLog[0].Entry.Version - 1
	}
}

// changesAfter returns the logged changes of keys with a prefix after a revision. It
// returns ErrCompacted if the log doesn't reach back to the revision, or if the revision
// is in the future and so comes from another process of the store.
func (s *storeState) changesAfter(prefix string, after uint64) ([]kv.Change, error) {
	if after < s.compactedRevision || after > s.revision {
		return nil, fmt.Errorf("%w: %d", kv.ErrCompacted, after)
	}
	var out []kv.Change
	first := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].Entry.Version > after })
	for _, v := range s.changeLog[first:] {
		if strings.HasPrefix(v.Entry.Key, prefix) {
			out = append(out, v.Change)
		}
	}
	return out, nil
}

func (s *storeState) grantLease(ttl time.Duration) kv.LeaseID {
	s.lastLease++
	s.leases[s.lastLease] = &storeLease{ttl: ttl, expiresAt: time.Now().Add(ttl), keys: map[string]bool{}}
	return s.lastLease
}

// endLease removes a lease and deletes its keys.
func (s *storeState) endLease(id kv.LeaseID) error {
	l, ok := s.leases[id]
	if !ok {
		return kv.ErrLeaseNotFound
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		s.append(kv.Change{Entry: kv.Entry{Key: key}, Deleted: true})
	}
	return nil
}
