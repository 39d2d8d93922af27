package runs

import (
	"time"

	"github.com/catkinline/catkinline/workload"
)

// OfferDuration is how long room is kept for the entry whose work is most urgent: a
// round trip between failure domains and what a busy process needs to answer.
const OfferDuration = 5 * time.Millisecond

// Backlog is what waits at an entry for room on any target. Key orders the
// backlogs of all entries; MinNeed is the smallest need of a waiting task.
type Backlog struct {
	Tasks   int
	Key     time.Time
	MinNeed workload.Resources
}

// Offers decides which entries see a target's free room. While several entries
// have work waiting, freed room is shown to the one with the most urgent work
// first: if all saw it, all would start work on it, and whoever came first would
// get it, whatever its urgency.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Offers struct {
	backlogs map[Owner]Backlog
	passed   map[Owner]bool // have not used the room that they were shown
	free     workload.Resources
	holder   Owner
	held     bool
	until    time.Time
}

// SetBacklog notes what waits at an entry.
func (o *Offers) SetBacklog(owner Owner, b Backlog) {
	if o.backlogs == nil {
		o.backlogs = make(map[Owner]Backlog)
		o.passed = make(map[Owner]bool)
	}
	delete(o.passed, owner)
	if b.Tasks == 0 {
		delete(o.backlogs, owner)
		return
	}
	o.backlogs[owner] = b
}

// ShouldNotify reports whether an entry has to be told of a change of the room that it sees.
// The entry that room is kept for learns all; the others learn how many tasks fit,
// of their own waiting tasks or else of the usual need.
func (o *Offers) ShouldNotify(owner Owner, told, free, usual workload.Resources) bool {
	if o.held && owner == o.holder {
		return told != free
	}
	if b, waits := o.backlogs[owner]; waits {
		usual = b.MinNeed
	}
	return news(told, free, usual)
}

// Remove forgets an entry.
func (o *Offers) Remove(owner Owner) {
	delete(o.backlogs, owner)
	delete(o.passed, owner)
}

// Update chooses who sees the free room from now on. It returns the time by which
// Update has to be called again, or zero.
func (o *Offers) Update(free workload.Resources, now time.Time) time.Time {
	if free.CPU > o.free.CPU {
		clear(o.passed)
	}
	o.free = free
	if o.held && !now.Before(o.until) {
		o.passed[o.holder] = true
		o.held = false
	}
	best, found := o.best()
	switch {
	case !found:
		o.held = false
		return time.Time{}
	case !o.held || best != o.holder:
		o.holder, o.held, o.until = best, true, now.Add(OfferDuration)
	}
	return o.until
}

func (o *Offers) best() (Owner, bool) {
	var best Owner
	found := false
	for owner, b := range o.backlogs {
		if o.passed[owner] || !b.MinNeed.FitsIn(o.free) {
			continue
		}
		if !found || b.Key.Before(o.backlogs[best].Key) || b.Key.Equal(o.backlogs[best].Key) && owner.Name < best.Name {
			best, found = owner, true
		}
	}
	return best, found
}

// VisibleTo reports whether an entry is told of the free room.
func (o *Offers) VisibleTo(owner Owner) bool { return !o.held || owner == o.holder }
