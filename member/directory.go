package member

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/wire"
)

// Error is the class of errors of entries in the store that are no peers.
var Error = errs.Class("member")

// Snapshot is an immutable list of the other live entries, sorted by name. Each name
// is listed once, with its latest incarnation.
type Snapshot struct {
	Peers []wire.Peer
	// Direct is the part of Peers known from the store or a link. Only these may be
	// reported to other processes: if processes forwarded reported peers, they would
	// keep a dead entry listed at each other.
	Direct  []wire.Peer
	changed chan struct{}
}

// Changed returns a channel that is closed when a later snapshot replaces this one.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

func (s *Snapshot) hasIncarnation(i wire.Incarnation) bool {
	return slices.ContainsFunc(s.Peers, func(p wire.Peer) bool { return p.Incarnation == i })
}

// expiring is a peer that is listed until a time, or indefinitely if the time is
// zero.
type expiring struct {
	peer  wire.Peer
	until time.Time
}

// directory merges the peers known from the store, links and reports, by name.
type directory struct {
	self          wire.Peer
	log           *zap.Logger
	recoveryGrace time.Duration
	reportedTTL   time.Duration

	mu       sync.Mutex
	stored   map[string]expiring
	linked   map[string]wire.Peer
	reported map[string]expiring

	snapshot atomic.Pointer[Snapshot]
}

func newDirectory(self wire.Peer, recoveryGrace, reportedTTL time.Duration, log *zap.Logger) *directory {
	d := &directory{
		self:          self,
		log:           log,
		recoveryGrace: recoveryGrace,
		reportedTTL:   reportedTTL,
		stored:        map[string]expiring{},
		linked:        map[string]wire.Peer{},
		reported:      map[string]expiring{},
	}
	d.snapshot.Store(&Snapshot{changed: make(chan struct{})})
	return d
}

// replace applies a complete list from the store and reports whether it contains the
// entry's own key. After an outage, missing entries stay listed for the recovery
// grace, since their leases may have expired only because the store was unavailable.
func (d *directory) replace(entries []kv.Entry, now time.Time, outage bool) (own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]expiring{}
	for _, e := range entries {
		if p, ok := d.decodePeer(e); ok {
			listed[p.Name] = expiring{peer: p}
		}
	}
	own = d.removeOwn(listed)
	for name, s := range d.stored {
		if _, ok := listed[name]; ok {
			continue
		}
		if s.until.IsZero() && outage {
			s.until = now.Add(d.recoveryGrace)
		}
		if !s.until.IsZero() {
			listed[name] = s
		}
	}
	d.stored = listed
	d.publish()
	return own
}

// removeOwn removes the entry's own key and reports whether it was present.
func (d *directory) removeOwn(listed map[string]expiring) bool {
	_, own := listed[d.self.Name]
	delete(listed, d.self.Name)
	return own
}

// apply applies the changes of a watch and reports whether the entry's own key is
// present after them.
func (d *directory) apply(changes []kv.Change, own bool) bool {
	if len(changes) == 0 {
		return own
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		name := strings.TrimPrefix(c.Entry.Key, Prefix)
		if name == d.self.Name {
			own = !c.Deleted
			continue
		}
		delete(d.stored, name)
		if c.Deleted {
			continue
		}
		if p, ok := d.decodePeer(c.Entry); ok {
			d.stored[name] = expiring{peer: p}
		}
	}
	d.publish()
	return own
}

// decodePeer decodes the peer of a key, and logs an entry that is none.
func (d *directory) decodePeer(e kv.Entry) (wire.Peer, bool) {
	p, err := decodePeer(e)
	if err != nil {
		d.log.Warn("entry of another writer among the peers ignored", zap.String("key", e.Key), zap.Error(err))
	}
	return p, err == nil
}

// decodePeer decodes the peer of a key. Other writers may have left entries there that are none.
func decodePeer(e kv.Entry) (wire.Peer, error) {
	var p wire.Peer
	if err := json.Unmarshal(e.Value, &p); err != nil {
		return wire.Peer{}, Error.Wrap(err)
	}
	if Prefix+p.Name != e.Key {
		return wire.Peer{}, Error.New("the name %q is not that of the key", p.Name)
	}
	if p.Address == "" {
		return p, nil // not announced yet
	}
	address, err := netip.ParseAddrPort(p.Address)
	if err == nil && address.Port() == 0 {
		err = Error.New("the address %q has no port", p.Address)
	}
	return p, Error.Wrap(err)
}

func (d *directory) addLinked(p wire.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.linked[p.Name].Incarnation > p.Incarnation {
		return
	}
	d.linked[p.Name] = p
	d.publish()
}

func (d *directory) removeLinked(p wire.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.linked[p.Name].Incarnation != p.Incarnation {
		return
	}
	delete(d.linked, p.Name)
	d.publish()
}

func (d *directory) addReported(peers []wire.Peer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range peers {
		if d.reported[p.Name].peer.Incarnation <= p.Incarnation {
			d.reported[p.Name] = expiring{peer: p, until: now.Add(d.reportedTTL)}
		}
	}
	d.publish()
}

// expire drops the peers whose until time has passed.
func (d *directory) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expired := func(_ string, e expiring) bool { return !e.until.IsZero() && !now.Before(e.until) }
	maps.DeleteFunc(d.stored, expired)
	maps.DeleteFunc(d.reported, expired)
	d.publish()
}

// publish replaces the snapshot if it differs. The caller holds the mutex.
func (d *directory) publish() {
	latest := map[string]wire.Peer{}
	for _, p := range d.linked {
		d.addLatest(latest, p)
	}
	for _, s := range d.stored {
		d.addLatest(latest, s.peer)
	}
	direct := sortedByName(latest)
	for _, h := range d.reported {
		d.addLatest(latest, h.peer)
	}
	next := &Snapshot{Peers: sortedByName(latest), Direct: direct, changed: make(chan struct{})}
	old := d.snapshot.Load()
	if slices.Equal(old.Peers, next.Peers) && slices.Equal(old.Direct, next.Direct) {
		return
	}
	d.snapshot.Store(next)
	close(old.changed)
}

// addLatest adds a peer unless a later incarnation is present or it is the entry
// itself.
func (d *directory) addLatest(latest map[string]wire.Peer, p wire.Peer) {
	if p.Name == d.self.Name {
		return
	}
	if known, ok := latest[p.Name]; !ok || p.Incarnation > known.Incarnation {
		latest[p.Name] = p
	}
}

func sortedByName(peers map[string]wire.Peer) []wire.Peer {
	out := slices.Collect(maps.Values(peers))
	slices.SortFunc(out, func(a, b wire.Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}
