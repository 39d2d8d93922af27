package slots

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// entry is the table's state for one entry name.
type entry struct {
	name              string
	incarnation       wire.Incarnation
	connected         bool // has a link
	leaving           bool // announced a planned stop
	forgotten         bool // its records were replaced by the low-water mark
	disconnectedSince time.Time
	demand            wire.Demand
	lastServed        uint64 // Table.serveSeq when the entry was last granted a slot
	running           int
	ids               identities
}

// waiting returns the number of the entry's tasks that wait for a slot; zero
// while the entry is disconnected.
func (e *entry) waiting() int {
	if !e.connected {
		return 0
	}
	return int(e.demand.Waiting)
}

// EntryConnected records a new link to an entry. It returns false, and the caller
// must close the link, if the incarnation is older than a known one of this name
// or may have been evicted from the table.
//
// A newer incarnation replaces the older one: the table discards the grants,
// outcomes and identities of the older one and accepts no more starts from it. A
// repeated call for the same incarnation is a reconnect: grants of the earlier
// link are withdrawn, because the entry discards them with the link.
func (t *Table) EntryConnected(name string, incarnation wire.Incarnation, now time.Time) bool {
	t.advance(now)
	i, known := t.search(name)
	if !known {
		if incarnation <= t.maxEvicted {
			return false
		}
		t.evictEntry()
		i, _ = t.search(name)
		e := &entry{name: name, incarnation: incarnation, ids: newIdentities(t.opts.MaxIdentities)}
		t.entries = slices.Insert(t.entries, i, e)
	}
	e := t.entries[i]
	if incarnation < e.incarnation {
		return false
	}
	t.withdrawEntryGrants(e)
	if incarnation > e.incarnation {
		t.dropOutcomes(e)
		e.incarnation = incarnation
		e.ids = newIdentities(t.opts.MaxIdentities)
	}
	e.connected = true
	e.leaving = false
	e.forgotten = false
	e.demand = wire.Demand{}
	return true
}

// EntryDisconnected records that the link to an entry is lost. Its unused grants
// are withdrawn at once; its running tasks continue and their outcomes are
// retained.
func (t *Table) EntryDisconnected(name string, now time.Time) {
	t.advance(now)
	e := t.find(name)
	if e == nil || !e.connected {
		return
	}
	e.connected = false
	e.disconnectedSince = t.clock
	e.demand = wire.Demand{}
	t.withdrawEntryGrants(e)
}

// EntryLeaving records that an entry announced its planned stop: it is granted
// slots for waiting work only.
func (t *Table) EntryLeaving(name string, now time.Time) {
	t.advance(now)
	if e := t.find(name); e != nil {
		e.leaving = true
	}
}

// Heartbeat records a heartbeat of an entry and renews its grants. A grant that
// is being revoked is not renewed, so that an unanswered Revoke takes effect when
// the grant expires.
func (t *Table) Heartbeat(name string, now time.Time) { t.HeartbeatWithInterval(name, 0, now) }

// HeartbeatWithInterval is Heartbeat for a message that announces the entry's
// next message within the duration next: grants are extended by that duration.
// Revocation shortens a grant to the ordinary time to live, so that an entry that
// stopped sending cannot keep slots from waiting entries for longer than that.
func (t *Table) HeartbeatWithInterval(name string, next time.Duration, now time.Time) {
	t.renew(name, next, now, func(g *grant) { g.partlyReturned = false })
}

// RenewGrants renews an entry's grants after any message other than a heartbeat:
// a link sends no heartbeats while it carries other messages. Unlike a heartbeat,
// it does not make a partly returned grant revocable again.
func (t *Table) RenewGrants(name string, now time.Time) {
	t.renew(name, 0, now, func(*grant) {})
}

func (t *Table) renew(name string, next time.Duration, now time.Time, update func(*grant)) {
	t.advance(now)
	e := t.find(name)
	if e == nil || !e.connected {
		return
	}
	for _, g := range t.grants {
		if g.entry == e && g.revoking == 0 {
			g.expiry = laterOf(g.expiry, t.clock.Add(t.opts.GrantTTL+next))
			update(g)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetDemand records the latest demand of a connected entry. It has no effect for
// any other entry.
func (t *Table) SetDemand(name string, d wire.Demand, now time.Time) {
	t.advance(now)
	if e := t.find(name); e != nil && e.connected {
		e.demand = d
	}
}

// forget replaces an entry's records by the low-water mark: every identity of a
// job up to the highest one seen counts as seen from then on.
func (t *Table) forget(e *entry) {
	t.dropOutcomes(e)
	e.ids.forgetAll()
	e.forgotten = true
}

// evictEntry evicts the entry that has been disconnected longest if the table
// holds maxEntries. The evicted incarnation and all older ones that are not known
// by name are refused from then on, because their identities are lost.
func (t *Table) evictEntry() {
	if len(t.entries) < maxEntries {
		return
	}
	oldest := -1
	for i, e := range t.entries {
		if e.connected {
			continue
		}
		if oldest < 0 || e.disconnectedSince.Before(t.entries[oldest].disconnectedSince) {
			oldest = i
		}
	}
	if oldest < 0 {
		return
	}
	e := t.entries[oldest]
	t.dropOutcomes(e)
	t.maxEvicted = max(t.maxEvicted, e.incarnation)
	t.entries = slices.Delete(t.entries, oldest, oldest+1)
}

// owner returns the entry whose current incarnation is given, or nil.
func (t *Table) owner(incarnation wire.Incarnation) *entry {
	for _, e := range t.entries {
		if e.incarnation == incarnation {
			return e
		}
	}
	return nil
}

// Idle reports whether an entry has no running or waiting tasks and the table
// retains no outcome of any entry. An unknown entry is idle.
func (t *Table) Idle(name string) bool {
	e := t.find(name)
	return e == nil || e.running == 0 && e.demand.Waiting == 0 && t.retained.Len() == 0
}
