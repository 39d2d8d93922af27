package runs

import (
	"time"

	"github.com/catkinline/catkinline/workload"
)

// OfferDuration is how long free capacity stays reserved for the entry with the most
// urgent work: a round trip between failure domains plus the response time of a busy
// process.
const OfferDuration = 5 * time.Millisecond

// Backlog summarizes the tasks that wait at an entry for free capacity on any target.
// Of the backlogs of all entries, the one with the earliest Key is the most urgent.
// MinNeed is the smallest need of a waiting task.
type Backlog struct {
	Tasks   int
	Key     time.Time
	MinNeed workload.Resources
}

// Offers decides which entries a target's free capacity is reported to. While several
// entries have waiting tasks, it is offered to the entry with the most urgent work
// first: if all entries saw it, all would start tasks, and the first to arrive would
// get it regardless of urgency.
//
// The zero value is ready for use. It is not safe for concurrent use.
type Offers struct {
	backlogs      map[Owner]Backlog
	declined      map[Owner]bool // entries that let an offer expire unused
	free          workload.Resources
	holder        Owner
	reserved      bool
	reservedUntil time.Time
}

// SetBacklog replaces an entry's backlog; one without tasks removes it. The entry becomes
// eligible for offers again.
func (o *Offers) SetBacklog(owner Owner, b Backlog) {
	if o.backlogs == nil {
		o.backlogs = make(map[Owner]Backlog)
		o.declined = make(map[Owner]bool)
	}
	delete(o.declined, owner)
	if b.Tasks == 0 {
		delete(o.backlogs, owner)
		return
	}
	o.backlogs[owner] = b
}

// ShouldNotify reports whether to send an entry the free capacity, given what it was last
// sent. The entry that holds the offer is sent every change. Others are sent changes in
// whether a task fits, where a task has the smallest need of the entry's backlog, or
// typicalNeed if the entry has none.
func (o *Offers) ShouldNotify(owner Owner, lastSent, free, typicalNeed workload.Resources) bool {
	if o.reserved && owner == o.holder {
		return lastSent != free
	}
	if b, waits := o.backlogs[owner]; waits {
		typicalNeed = b.MinNeed
	}
	return fitChanged(lastSent, free, typicalNeed)
}

// Remove deletes an entry's backlog, as when its link closes. A current offer to it ends
// with the next Update.
func (o *Offers) Remove(owner Owner) {
	delete(o.backlogs, owner)
	delete(o.declined, owner)
}

// Update sets the free capacity and chooses the entry that it is offered to. It returns
// the latest time at which Update must be called again, or the zero time if there is no
// offer.
func (o *Offers) Update(free workload.Resources, now time.Time) time.Time {
	if free.CPU > o.free.CPU {
		clear(o.declined)
	}
	o.free = free
	if o.reserved && !now.Before(o.reservedUntil) {
		o.declined[o.holder] = true
		o.reserved = false
	}
	best, found := o.mostUrgent()
	switch {
	case !found:
		o.reserved = false
		return time.Time{}
	case !o.reserved || best != o.holder:
		o.holder, o.reserved, o.reservedUntil = best, true, now.Add(OfferDuration)
	}
	return o.reservedUntil
}

// mostUrgent returns the entry with the most urgent backlog of which a task fits, among
// those that have not let an offer expire.
func (o *Offers) mostUrgent() (Owner, bool) {
	var best Owner
	found := false
	for owner, b := range o.backlogs {
		if o.declined[owner] || !b.MinNeed.FitsIn(o.free) {
			continue
		}
		if !found || b.Key.Before(o.backlogs[best].Key) || b.Key.Equal(o.backlogs[best].Key) && owner.Name < best.Name {
			best, found = owner, true
		}
	}
	return best, found
}

// VisibleTo reports whether an entry is sent the actual free capacity. While it is offered
// to one entry, the others are sent zero.
func (o *Offers) VisibleTo(owner Owner) bool { return !o.reserved || owner == o.holder }
