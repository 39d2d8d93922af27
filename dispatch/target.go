package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/wire"
)

// Sender sends messages to one agent. Send never blocks; an error means that
// the link is closed, which LinkDown reports as well.
type Sender interface {
	Send(m wire.Message) error
}

// taskKey names a task within one entry.
type taskKey struct {
	seq   uint64
	index uint32
}

// attempt is a task that was sent to a target and has no final outcome yet.
type attempt struct {
	id       wire.TaskID
	job      *activeJob
	sent     time.Time
	expected time.Duration
	class    wire.Class
	grant    wire.GrantID
	revision uint64        // of the configuration that the start carried
	overran  time.Duration // run time at which it was last found to overrun
}

// grant is what is left of a grant.
type grant struct {
	id        wire.GrantID
	left      uint32
	used      bool
	shortOnly bool
}

// target is one agent with its target, as one entry's scheduler sees it.
type target struct {
	name             string
	incarnation      wire.Incarnation
	link             Sender // nil while there is no link
	announce         wire.Announce
	announced        bool
	labels           label.Set     // announced labels with the operators' overrides
	drained          bool          // by the operators' configuration
	configStale      bool          // refused a start for its revision; a newer one is on its way
	distance         int           // 0 same failure domain, 1 same region, 2 other region
	groups           []queue.Group // groups that the target can run
	groupSetKey      string        // equal for targets with the same groups
	grants           []grant
	attempts         map[taskKey]*attempt
	lostAt           time.Time
	reportedLoad     uint32 // tasks running and waiting at the target, as last heard
	pendingAcks      []wire.TaskID
	boundTasks       []boundTask // push baselines only
	lowWatermark     uint64      // last job number sent below which every job is over
	lowWatermarkAt   time.Time
	acksSince        time.Time
	sentDemand       wire.Demand // last sent
	sentDemandAt     time.Time
	demandUnanswered bool          // the last demand has led to no grant
	backoff          time.Duration // after a refusal by the target; zero: none
	backoffUntil     time.Time     // no start before, because the target refused one
}

// Bounds of the pause after a target refused a start. The first is about the
// shortest usual task, so that a target that was only full for a moment loses
// little; the last is how long a target that is well again may stay unused.
const (
	minRefusalBackoff = 50 * time.Millisecond
	maxRefusalBackoff = time.Second
)

// startBackoff stops starts to a target that refused one. A refusal takes
// no time, so without a pause a target that is down would take every task again
// at once and use up its attempts while the other targets are busy.
func (t *target) startBackoff(now time.Time) {
	if t.backoff == 0 {
		t.backoff = minRefusalBackoff
		t.backoffUntil = now.Add(t.backoff)
	}
}

// extendBackoff lets a target that refused get one task after each pause, until one
// has run. The pauses double.
func (t *target) extendBackoff(now time.Time) {
	if t.backoff > 0 {
		t.backoff = min(2*t.backoff, maxRefusalBackoff)
		t.backoffUntil = now.Add(t.backoff)
	}
}

// inBackoff reports whether the target gets no task because it refused one.
func (t *target) inBackoff(now time.Time) bool {
	return t.backoff > 0 && now.Before(t.backoffUntil)
}

func newTarget(name string) *target {
	return &target{name: name, attempts: make(map[taskKey]*attempt)}
}

// usable reports whether new work may be sent.
func (t *target) usable() bool {
	return t.link != nil && t.announced && !t.announce.Draining && !t.drained && !t.configStale
}

// grantedSlots returns the slots that the target's grants leave for a class.
func (t *target) grantedSlots(class wire.Class) int {
	n := 0
	for i := range t.grants {
		if class == wire.ClassShort || !t.grants[i].shortOnly {
			n += int(t.grants[i].left)
		}
	}
	return n
}

// takeSlot uses one slot for a class. Slots kept for short work go to short tasks
// first, so that the others stay free for either class.
func (t *target) takeSlot(class wire.Class) (wire.GrantID, bool) {
	at := -1
	for i := range t.grants {
		g := &t.grants[i]
		switch {
		case g.left == 0 || g.shortOnly && class == wire.ClassLong:
		case at < 0 || g.shortOnly && !t.grants[at].shortOnly:
			at = i
		}
	}
	if at < 0 {
		return wire.GrantID{}, false
	}
	t.grants[at].left--
	t.grants[at].used = true
	id := t.grants[at].id
	if t.grants[at].left == 0 {
		t.grants = append(t.grants[:at], t.grants[at+1:]...)
	}
	return id, true
}

// returnSlots takes at most n unused slots off a grant, or all where n is 0, and
// reports whether the grant has led to a start.
func (t *target) returnSlots(id wire.GrantID, n uint32) (slots uint32, used bool) {
	for i := range t.grants {
		g := &t.grants[i]
		if g.id != id {
			continue
		}
		slots, used = g.left, g.used
		if n > 0 && n < g.left {
			slots = n
			g.left -= n
			return slots, used
		}
		t.grants = append(t.grants[:i], t.grants[i+1:]...)
		return slots, used
	}
	return 0, true
}

// dropGrantsUpTo removes the grants that the agent made no later than id: an agent
// that refuses a grant as expired has expired the earlier ones as well.
func (t *target) dropGrantsUpTo(id wire.GrantID) (slots int) {
	kept := t.grants[:0]
	for _, g := range t.grants {
		if g.id.Agent == id.Agent && g.id.Seq > id.Seq {
			kept = append(kept, g)
			continue
		}
		slots += int(g.left)
	}
	t.grants = kept
	return slots
}

// outstanding returns the attempts that are out, to query after a reconnect.
func (t *target) outstanding() []wire.TaskID {
	ids := make([]wire.TaskID, 0, len(t.attempts))
	for _, a := range t.attempts {
		ids = append(ids, a.id)
	}
	return ids
}
