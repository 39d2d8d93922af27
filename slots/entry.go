package slots

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// entry is what the table knows about one entry name.
type entry struct {
	name              string
	incarnation       wire.Incarnation
	connected         bool // has a link
	leaving           bool // announced a planned stop
	forgotten         bool // its records were replaced by the low-water mark
	disconnectedSince time.Time
	demand            wire.Demand
	lastServed        uint64 // turn of the last slot it was granted
	running           int
	ids               identities
}

// waiting returns the entry's waiting tasks that could use a slot.
func (e *entry) waiting() int {
	if !e.connected {
		return 0
	}
	return int(e.demand.Waiting)
}

// EntryConnected records a link to an entry. It returns false for an incarnation that
// is older than a known one of this name, or that was forgotten altogether: the
// link must be closed.
//
// A newer incarnation replaces the older one. The older one's grants, outcomes
// and identities are forgotten, and its starts are not accepted any more. A
// repeated call for the same incarnation is a reconnect: grants of the earlier
// link are withdrawn, since the entry drops them with the link.
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

// EntryDisconnected records that the link to an entry is lost. Its unused grants are
// withdrawn at once; its running tasks go on and their outcomes are retained.
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

// Heartbeat records a heartbeat of an entry and renews its grants. A grant that is
// being revoked is not renewed, so that a Revoke without an answer ends with
// the grant's expiry.
func (t *Table) Heartbeat(name string, now time.Time) { t.HeartbeatWithInterval(name, 0, now) }

// HeartbeatWithInterval is Heartbeat for a message that announces the entry's next one within a
// time: grants last for that time longer. Revocations cut a grant's life to the
// ordinary one, so that waiting entries lose no more to one that went silent.
func (t *Table) HeartbeatWithInterval(name string, next time.Duration, now time.Time) {
	t.renew(name, next, now, func(g *grant) { g.partlyReturned = false })
}

// RenewGrants renews an entry's grants after any other message of it: a link sends no
// heartbeat while other messages flow. Unlike a heartbeat it does not let a grant
// be asked back again of which the entry has just kept slots.
func (t *Table) RenewGrants(name string, now time.Time) {
	t.renew(name, 0, now, func(*grant) {})
}

func (t *Table) renew(name string, next time.Duration, now time.Time, each func(*grant)) {
	t.advance(now)
	e := t.find(name)
	if e == nil || !e.connected {
		return
	}
	for _, g := range t.grants {
		if g.entry == e && g.revoking == 0 {
			g.expiry = laterOf(g.expiry, t.clock.Add(t.opts.GrantTTL+next))
			each(g)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SetDemand records an entry's latest demand.
func (t *Table) SetDemand(name string, d wire.Demand, now time.Time) {
	t.advance(now)
	if e := t.find(name); e != nil && e.connected {
		e.demand = d
	}
}

// forget replaces an entry's records by the low-water mark: every job whose
// number was seen counts as seen from now on.
func (t *Table) forget(e *entry) {
	t.dropOutcomes(e)
	e.ids.forgetAll()
	e.forgotten = true
}

// evictEntry makes room for one more entry name. The evicted incarnation and
// all older ones that are not known by name are refused from then on, since
// their identities are forgotten.
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

// Idle reports whether nothing of an entry runs, waits or is retained here.
func (t *Table) Idle(name string) bool {
	e := t.find(name)
	return e == nil || e.running == 0 && e.demand.Waiting == 0 && t.retained.Len() == 0
}
