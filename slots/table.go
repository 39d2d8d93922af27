// Package slots implements the agent's slot table. It tracks which slots are in
// use, granted or free, decides which starts are allowed, and retains outcomes
// until entries acknowledge them.
//
// The package does no I/O, starts no goroutines and takes the time as an argument.
// A Table is not safe for concurrent use; its owner calls it under a lock.
package slots

import (
	"container/list"
	"slices"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Defaults of Options.
const (
	// DefaultSlots is the number of tasks that a target runs concurrently.
	DefaultSlots = 8
	// DefaultGrantTTL is several heartbeat intervals, so that one late heartbeat
	// does not expire a grant, and short enough that the slots of a paused entry
	// are idle for a few seconds only.
	DefaultGrantTTL = 3 * time.Second
	// DefaultMaxRetainedBytes leaves most of an agent's 128 MB to running tasks.
	DefaultMaxRetainedBytes = 32 << 20
	// DefaultOutcomeRetention covers a reconnect after a switch failure or a network
	// restart; entries query within seconds of a reconnect.
	DefaultOutcomeRetention = 2 * time.Minute
	// DefaultEntryRetention is well above the time for which a job can wait in an
	// entry, because queries and starts of earlier jobs are answered as unknown
	// once the entry is forgotten.
	DefaultEntryRetention = 15 * time.Minute
	// DefaultMaxIdentities bounds the identity records of one entry to about
	// 3 MB, which cover several minutes of the shortest tasks on eight slots.
	DefaultMaxIdentities = 1 << 15
	// maxEntries bounds the number of known entry names. A service has a few
	// entries; the bound is only reached if names are generated.
	maxEntries = 256
)

// Options configure a Table. Zero fields take the defaults.
type Options struct {
	Slots            int             // tasks that run concurrently
	GrantTTL         time.Duration   // time from the issue or renewal of a grant to its expiry
	MaxRetainedBytes int             // bound on all retained outcomes: results, reasons and an overhead each
	OutcomeRetention time.Duration   // bound on the age of a retained outcome
	EntryRetention   time.Duration   // an entry that is disconnected for longer is forgotten
	MaxIdentities    int             // bound on the identity records of one entry
	Policy           settings.Policy // only Grants and Reserve are used
}

func (o Options) withDefaults() Options {
	options.Default(&o.Slots, DefaultSlots)
	options.Default(&o.GrantTTL, DefaultGrantTTL)
	options.Default(&o.MaxRetainedBytes, DefaultMaxRetainedBytes)
	options.Default(&o.OutcomeRetention, DefaultOutcomeRetention)
	options.Default(&o.EntryRetention, DefaultEntryRetention)
	options.Default(&o.MaxIdentities, DefaultMaxIdentities)
	return o
}

// run is a running task, which holds a slot.
type run struct {
	task  wire.TaskID
	entry *entry
	rec   *record
	class wire.Class
}

// Table is the slot table of one agent incarnation.
//
// Invariants:
//   - Running tasks, occupied slots and unused slots of unexpired grants
//     together never exceed the slots, unless SetOccupied raised the occupied
//     slots while grants were unused; Start then refuses the excess.
//   - An identity starts at most once. It can start again only if the target
//     itself refused it without running it, and then only under a higher attempt.
//   - An outcome with StateRefused or StateNeverSeen is given only for an attempt
//     that did not run and that the table will not start later.
type Table struct {
	opts          Options
	agent         wire.Incarnation
	lastGrantSeq  uint64           // sequence number of the last grant
	serveSeq      uint64           // number of slots granted so far; orders entries for round robin
	entries       []*entry         // sorted by name
	maxEvicted    wire.Incarnation // highest incarnation that evictEntry removed
	grants        []*grant         // unexpired and not used up, in order of issue
	running       map[wire.TaskID]*run
	occupied      int
	revision      uint64
	draining      bool
	retained      *list.List // of *retainedOutcome, oldest first
	retainedBytes int        // of retained outcomes
	preferred     *entry     // the entry that is about to be sent an outcome, or nil
	reserve       reserve
	clock         time.Time
	counters      counters
}

type counters struct {
	grantsExpired int
	grantsUnused  int
	idleSlotTime  time.Duration
}

// New returns the table of an agent incarnation without entries.
func New(agent wire.Incarnation, opts Options) *Table {
	opts = opts.withDefaults()
	return &Table{
		opts:     opts,
		agent:    agent,
		running:  map[wire.TaskID]*run{},
		retained: list.New(),
		reserve:  reserve{mode: opts.Policy.Reserve, slots: opts.Slots},
	}
}

// Stats is a snapshot of the table. Fields count slots unless they say otherwise;
// the last three are cumulative.
type Stats struct {
	Running       int
	Occupied      int
	Granted       int // unused slots of unexpired grants
	Free          int
	Waiting       int // tasks that wait for this target, as entries report them
	Reserve       int // slots reserved for short work
	Retained      int // outcomes
	RetainedBytes int
	Identities    int           // records of all entries
	GrantsExpired int           // slots of grants that expired unused
	GrantsUnused  int           // slots of grants that were returned or withdrawn
	IdleSlotTime  time.Duration // slot time that was idle although tasks waited
}

// Stats advances the table to now and returns a snapshot.
func (t *Table) Stats(now time.Time) Stats {
	t.advance(now)
	s := Stats{
		Running:       len(t.running),
		Occupied:      t.occupied,
		Granted:       t.granted(),
		Free:          max(0, t.free()),
		Reserve:       t.reserve.size(),
		Retained:      t.retained.Len(),
		RetainedBytes: t.retainedBytes,
		GrantsExpired: t.counters.grantsExpired,
		GrantsUnused:  t.counters.grantsUnused,
		IdleSlotTime:  t.counters.idleSlotTime,
	}
	for _, e := range t.entries {
		s.Identities += len(e.ids.records)
		s.Waiting += int(e.demand.Waiting)
	}
	return s
}

// Revision returns the highest configuration revision given to SetRevision.
func (t *Table) Revision() uint64 { return t.revision }

// SetRevision raises the known configuration revision and ignores a lower one.
// Starts under a lower revision than the known one are refused.
func (t *Table) SetRevision(revision uint64) {
	t.revision = max(t.revision, revision)
}

// SetDraining sets the draining flag. While it is set, the table refuses every
// start and grants no slot; setting it withdraws all unused grants.
func (t *Table) SetDraining(draining bool, now time.Time) {
	t.advance(now)
	t.draining = draining
	if draining {
		t.withdraw(func(*grant) bool { return true })
	}
}

// Occupied returns the number of slots in use without a running task, see
// SetOccupied.
func (t *Table) Occupied() int { return t.occupied }

// SetOccupied sets the number of slots that are in use without a running task: by
// work of an earlier agent incarnation and by detached tasks.
func (t *Table) SetOccupied(n int, now time.Time) {
	t.advance(now)
	t.occupied = max(0, n)
}

// Expire removes the grants and outcomes that have expired by now, and forgets
// entries that have been disconnected for Options.EntryRetention.
func (t *Table) Expire(now time.Time) { t.advance(now) }

// NextDeadline returns the next time at which Expire has an effect, or the zero
// time if there is none.
func (t *Table) NextDeadline() time.Time {
	var next time.Time
	earliest := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, g := range t.grants {
		earliest(g.expiry)
	}
	if front := t.retained.Front(); front != nil {
		earliest(front.Value.(*retainedOutcome).endedAt.Add(t.opts.OutcomeRetention))
	}
	for _, e := range t.entries {
		if !e.connected && !e.forgotten {
			earliest(e.disconnectedSince.Add(t.opts.EntryRetention))
		}
	}
	return next
}

// advance moves the table's clock to now and applies what has expired. Every
// operation calls it first, so that a grant that expired while the process was
// paused is removed before a buffered heartbeat could renew it or a buffered start
// could use it.
func (t *Table) advance(now time.Time) {
	if !now.After(t.clock) {
		return
	}
	if !t.clock.IsZero() {
		t.accountTime(now.Sub(t.clock))
	}
	t.clock = now
	t.expireGrants()
	t.expireOutcomes()
	for _, e := range t.entries {
		if !e.connected && !e.forgotten && !now.Before(e.disconnectedSince.Add(t.opts.EntryRetention)) {
			t.forget(e)
		}
	}
}

// accountTime adds the duration d since the last operation to the idle slot time
// and to the slot time of each class. An idle slot counts only while a task waits
// for it: with one waiting task, one of several idle slots counts.
func (t *Table) accountTime(d time.Duration) {
	long := t.runningLong()
	t.reserve.observe(d, len(t.running)-long, long)
	if t.draining {
		return
	}
	waiting := 0
	for _, e := range t.entries {
		waiting += e.waiting()
	}
	idle := max(0, t.opts.Slots-t.occupied-len(t.running))
	t.counters.idleSlotTime += time.Duration(min(idle, waiting)) * d
}

func (t *Table) runningLong() int {
	n := 0
	for _, r := range t.running {
		if r.class == wire.ClassLong {
			n++
		}
	}
	return n
}

func (t *Table) granted() int {
	n := 0
	for _, g := range t.grants {
		n += g.unused
	}
	return n
}

// free returns the number of slots that are neither running, occupied nor granted.
// It is negative if SetOccupied counted slots as occupied that were granted.
func (t *Table) free() int {
	return t.opts.Slots - t.occupied - len(t.running) - t.granted()
}

func (t *Table) find(name string) *entry {
	i, ok := t.search(name)
	if !ok {
		return nil
	}
	return t.entries[i]
}

func (t *Table) search(name string) (int, bool) {
	return slices.BinarySearchFunc(t.entries, name, func(e *entry, name string) int {
		switch {
		case e.name < name:
			return -1
		case e.name > name:
			return 1
		}
		return 0
	})
}
