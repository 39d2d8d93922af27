package slots

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// grantsRoundRobin is the value of settings.Policy.Grants that grants freed slots
// to waiting entries round robin; it is a baseline for comparisons. With any other
// value the entry with the lowest order key comes first.
const grantsRoundRobin = "turns"

// grant tracks the slots of one grant that the entry has not used yet.
type grant struct {
	seq            uint64
	entry          *entry
	unused         int // unused slots, at least 1
	shortOnly      bool
	expiry         time.Time
	revoking       int  // slots under revocation, until the Return arrives
	partlyReturned bool // the entry returned fewer slots than asked because its starts use the rest
}

// Allocation is a new grant that must be sent to an entry.
type Allocation struct {
	Entry string
	Grant wire.Grant
}

// Revocation is a request to an entry to return unused slots.
type Revocation struct {
	Entry  string
	Revoke wire.Revoke
}

// unusedSlots returns the number of an entry's unused slots that are not being
// revoked: general ones and those for short work only.
func (t *Table) unusedSlots(e *entry) (general, short int) {
	for _, g := range t.grants {
		if g.entry != e {
			continue
		}
		if g.shortOnly {
			short += g.unused - g.revoking
		} else {
			general += g.unused - g.revoking
		}
	}
	return general, short
}

// deficit returns how many more slots an entry's waiting tasks could use. Slots
// for short work only do not count for an entry whose first task is long.
func (t *Table) deficit(e *entry) int {
	general, short := t.unusedSlots(e)
	if e.demand.Class == wire.ClassLong {
		short = 0
	}
	return max(0, e.waiting()-general-short)
}

// freeGeneral returns how many more slots may be granted without the
// restriction to short work. Running long tasks, occupied slots of unknown
// class and unused general grants all count as long work.
func (t *Table) freeGeneral() int {
	used := t.runningLong() + t.occupied
	for _, g := range t.grants {
		if !g.shortOnly {
			used += g.unused
		}
	}
	return t.opts.Slots - t.reserve.size() - used
}

// Allocate grants the free slots and returns the new grants, at most one of each
// kind per entry. Waiting entries come first, by the lowest order key or round
// robin, depending on the policy. Slots that no waiting entry can use are granted
// in advance, each to the entry with the fewest unused slots, which saves a later
// start the round trip.
func (t *Table) Allocate(now time.Time) []Allocation {
	t.advance(now)
	preferred := t.preferred
	t.preferred = nil
	if t.draining {
		return nil
	}
	var newGrants []*grant
	for t.free() > 0 {
		generalFree := t.freeGeneral() > 0
		e := t.pickWaiting(generalFree, preferred)
		if e == nil {
			e = t.pickForSpareSlot(preferred)
		}
		if e == nil {
			break
		}
		newGrants = t.addSlot(newGrants, e, !generalFree)
	}
	out := make([]Allocation, 0, len(newGrants))
	for _, g := range newGrants {
		out = append(out, Allocation{Entry: g.entry.name, Grant: wire.Grant{
			ID:        wire.GrantID{Agent: t.agent, Seq: g.seq},
			Slots:     uint32(g.unused),
			TTL:       t.opts.GrantTTL,
			ShortOnly: g.shortOnly,
		}})
	}
	return out
}

// addSlot adds one slot to the entry's new grant of the given kind, and makes
// that grant if there is none yet.
func (t *Table) addSlot(newGrants []*grant, e *entry, shortOnly bool) []*grant {
	t.serveSeq++
	e.lastServed = t.serveSeq
	for _, g := range newGrants {
		if g.entry == e && g.shortOnly == shortOnly {
			g.unused++
			return newGrants
		}
	}
	t.lastGrantSeq++
	g := &grant{
		seq:       t.lastGrantSeq,
		entry:     e,
		unused:    1,
		shortOnly: shortOnly,
		expiry:    t.clock.Add(t.opts.GrantTTL),
	}
	t.grants = append(t.grants, g)
	return append(newGrants, g)
}

// pickWaiting picks the waiting entry that gets a free slot. If only slots for
// short work are free, it skips entries whose first task is long.
func (t *Table) pickWaiting(generalFree bool, preferred *entry) *entry {
	var best *entry
	for _, e := range t.entries {
		if t.deficit(e) == 0 || (!generalFree && e.demand.Class == wire.ClassLong) {
			continue
		}
		if best == nil || t.precedes(e, best) {
			best = e
		}
	}
	if best == nil || preferred == nil || preferred == best || t.opts.Policy.Grants == grantsRoundRobin {
		return best
	}
	blocked := t.deficit(preferred) == 0 || !generalFree && preferred.demand.Class == wire.ClassLong
	if !blocked && preferred.demand.Key <= best.demand.Key+keyToleranceSeconds {
		return preferred
	}
	return best
}

// keyToleranceSeconds is how far an entry's order key may exceed the lowest one
// for the entry to get the slot that its own task has freed. Such a grant is sent
// with the task's outcome, whereas a grant to another entry needs a message of its
// own. The tolerance is about the run time of a typical task.
const keyToleranceSeconds = 2

// precedes reports whether waiting entry a is served before b. Entries with equal
// order keys are served round robin.
func (t *Table) precedes(a, b *entry) bool {
	if t.opts.Policy.Grants != grantsRoundRobin && a.demand.Key != b.demand.Key {
		return a.demand.Key < b.demand.Key
	}
	return a.lastServed < b.lastServed
}

// pickForSpareSlot picks the entry with the fewest unused slots that is connected
// and not leaving. Among equals it picks the preferred one, which is about to be sent
// an outcome that can carry the grant, or else the one served least recently.
func (t *Table) pickForSpareSlot(preferred *entry) *entry {
	var best *entry
	fewest := 0
	for _, e := range t.entries {
		if !e.connected || e.leaving {
			continue
		}
		general, short := t.unusedSlots(e)
		unused := general + short
		switch {
		case best == nil, unused < fewest:
		case unused > fewest, best == preferred:
			continue
		case e != preferred && e.lastServed >= best.lastServed:
			continue
		}
		best, fewest = e, unused
	}
	return best
}

// Revocations returns the revocations that are due. Call it after Allocate: slots
// that are still free then are of no use to waiting entries.
//
// It revokes as many slots as waiting entries lack, each from the entry whose
// unused slots exceed its own demand the most. While no entry waits, it revokes
// slots from entries that hold several for the entries that have none.
func (t *Table) Revocations(now time.Time) []Revocation {
	t.advance(now)
	if t.draining {
		return nil
	}
	var out []Revocation
	general, anyKind := t.missingSlots()
	pendingGeneral, pendingShort := t.slotsBeingRevoked()
	pendingAnyKind := pendingShort + max(0, pendingGeneral-general)
	out = t.revoke(out, general-pendingGeneral, false)
	out = t.revoke(out, anyKind-pendingAnyKind, true)
	if len(out) == 0 && !t.anyDeficit() {
		out = t.revoke(out, t.entriesWithoutSlots()-pendingAnyKind, true)
	}
	return out
}

// missingSlots returns the number of slots that waiting entries lack: general
// ones for long work, within the limit that the reserve sets, and slots of any
// kind for short work.
func (t *Table) missingSlots() (general, anyKind int) {
	for _, e := range t.entries {
		if e.demand.Class == wire.ClassLong {
			general += t.deficit(e)
		} else {
			anyKind += t.deficit(e)
		}
	}
	permitted := t.opts.Slots - t.reserve.size() - t.runningLong() - t.occupied
	return min(general, max(0, permitted)), anyKind
}

// slotsBeingRevoked returns the number of slots with an unanswered revocation:
// general ones and those for short work only.
func (t *Table) slotsBeingRevoked() (general, short int) {
	for _, g := range t.grants {
		if g.shortOnly {
			short += g.revoking
		} else {
			general += g.revoking
		}
	}
	return general, short
}

func (t *Table) anyDeficit() bool {
	return slices.ContainsFunc(t.entries, func(e *entry) bool { return t.deficit(e) > 0 })
}

// entriesWithoutSlots returns how many entries have neither a slot nor a running
// task, up to the number of slots that entries with at least two unused ones can
// spare. Only those entries need a revocation: any other gets its share from the
// slots that its own tasks free, without extra messages.
func (t *Table) entriesWithoutSlots() int {
	empty, spare := 0, 0
	for _, e := range t.entries {
		if !e.connected || e.leaving {
			continue
		}
		general, short := t.unusedSlots(e)
		if general+short == 0 && e.running == 0 {
			empty++
		}
		spare += max(0, general+short-e.waiting()-1)
	}
	return min(empty, spare)
}

// revoke revokes up to n unused slots, each from the entry with the most to spare
// at that point, and merges the revocations of one entry.
func (t *Table) revoke(out []Revocation, n int, includeShortOnly bool) []Revocation {
	for ; n > 0; n-- {
		g := t.grantWithMostSpare(includeShortOnly)
		if g == nil {
			return out
		}
		g.revoking++
		if limit := t.clock.Add(t.opts.GrantTTL); g.expiry.After(limit) {
			g.expiry = limit
		}
		out = mergeRevocation(out, g, t.agent)
	}
	return out
}

func mergeRevocation(out []Revocation, g *grant, agent wire.Incarnation) []Revocation {
	id := wire.GrantID{Agent: agent, Seq: g.seq}
	at := slices.IndexFunc(out, func(r Revocation) bool { return r.Entry == g.entry.name })
	if at < 0 {
		return append(out, Revocation{g.entry.name, wire.Revoke{Grants: []wire.GrantSlots{{ID: id, Slots: 1}}}})
	}
	grants := out[at].Revoke.Grants
	for i := range grants {
		if grants[i].ID == id {
			grants[i].Slots++
			return out
		}
	}
	out[at].Revoke.Grants = append(grants, wire.GrantSlots{ID: id, Slots: 1})
	return out
}

// grantWithMostSpare returns a revocable grant of the entry with the most slots to
// spare, or nil. includeShortOnly also admits grants for short work only.
func (t *Table) grantWithMostSpare(includeShortOnly bool) *grant {
	var best *grant
	most := 0
	for _, g := range t.grants {
		if g.partlyReturned || g.unused == g.revoking || (g.shortOnly && !includeShortOnly) {
			continue
		}
		if spare := t.spareSlots(g); spare > most {
			best, most = g, spare
		}
	}
	return best
}

// spareSlots returns how many slots the grant's entry holds beyond its demand.
// Slots for short work only all count as spare for an entry whose first task is long.
func (t *Table) spareSlots(g *grant) int {
	general, short := t.unusedSlots(g.entry)
	if g.entry.demand.Class == wire.ClassLong && g.shortOnly {
		return short
	}
	if g.entry.demand.Class == wire.ClassLong {
		return general - g.entry.waiting()
	}
	return general + short - g.entry.waiting()
}

// Return takes back the unused slots that an entry returns. Slots of grants that
// have expired or were withdrawn are ignored.
func (t *Table) Return(name string, r wire.Return, now time.Time) {
	t.advance(now)
	for _, back := range r.Grants {
		t.returnSlots(t.find(name), back)
	}
	t.dropEmptyGrants()
}

func (t *Table) returnSlots(e *entry, r wire.GrantSlots) {
	g := t.lookupGrant(e, r.ID)
	if g == nil {
		return
	}
	n := min(int(r.Slots), g.unused)
	g.partlyReturned = n < g.revoking
	g.revoking = 0
	g.unused -= n
	t.counters.grantsUnused += n
}

// lookupGrant returns the entry's unexpired grant with an id, or nil.
func (t *Table) lookupGrant(e *entry, id wire.GrantID) *grant {
	if e == nil || id.Agent != t.agent {
		return nil
	}
	for _, g := range t.grants {
		if g.seq == id.Seq && g.entry == e {
			return g
		}
	}
	return nil
}

// useSlot consumes one slot of a grant.
func (t *Table) useSlot(g *grant) {
	g.unused--
	g.revoking = min(g.revoking, g.unused)
	t.dropEmptyGrants()
}

func (t *Table) dropEmptyGrants() {
	t.grants = slices.DeleteFunc(t.grants, func(g *grant) bool { return g.unused == 0 })
}

func (t *Table) expireGrants() {
	t.grants = slices.DeleteFunc(t.grants, func(g *grant) bool {
		if t.clock.Before(g.expiry) {
			return false
		}
		t.counters.grantsExpired += g.unused
		return true
	})
}

// withdraw removes the grants that match, without a message to their entries.
func (t *Table) withdraw(match func(*grant) bool) {
	t.grants = slices.DeleteFunc(t.grants, func(g *grant) bool {
		if !match(g) {
			return false
		}
		t.counters.grantsUnused += g.unused
		return true
	})
}

func (t *Table) withdrawEntryGrants(e *entry) {
	t.withdraw(func(g *grant) bool { return g.entry == e })
}
