package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/wire"
)

// Sender sends messages to one agent. Send never blocks. An error means that the
// link is closed; LinkDown is called as well in that case.
type Sender interface {
	Send(m wire.Message) error
}

// taskKey identifies a task within one entry.
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
	overran  time.Duration // run time when an overrun was last detected
}

// grant holds the unused slots of a grant from an agent.
type grant struct {
	id        wire.GrantID
	left      uint32
	used      bool
	shortOnly bool
}

// target is one agent with its target, as the scheduler of one entry sees it.
type target struct {
	name               string
	incarnation        wire.Incarnation
	link               Sender // nil without a link
	announce           wire.Announce
	announced          bool
	labels             label.Set     // announced labels after the overrides of the configuration
	drained            bool          // by the configuration
	configStale        bool          // refused a start because of its old revision; cleared by a newer configuration or a new link
	distance           int           // distanceSameDomain, distanceSameRegion or distanceOtherRegion
	groups             []queue.Group // groups whose jobs the target can run
	groupSetKey        string        // equal for targets with the same groups
	grants             []grant
	attempts           map[taskKey]*attempt
	lostAt             time.Time // when the link was lost; zero with a link
	reportedLoad       uint32    // running and waiting tasks at the target, as last reported
	pendingAcks        []wire.TaskID
	assignedTasks      []assignedTask // FIFO queue; push bindings only
	sentLowWatermark   uint64         // last sent job number below which no job is active
	sentLowWatermarkAt time.Time
	acksSince          time.Time   // when the oldest pending acknowledgement was added, to within a tick
	sentDemand         wire.Demand // last one sent
	sentDemandAt       time.Time
	demandUnanswered   bool          // no grant has followed the last demand
	backoff            time.Duration // after a refusal by the target; zero without one
	backoffUntil       time.Time     // no start is sent before this time
}

// Limits of the backoff after a target has refused a start. The minimum is about
// the run time of short tasks, 50 ms, so that a target that was only full for
// a moment loses little. The maximum limits how long a recovered target may stay
// unused.
const (
	minRefusalBackoff = 50 * time.Millisecond
	maxRefusalBackoff = time.Second
)

// startBackoff suspends starts on a target that refused one. A refusal takes no
// time: without a backoff, a target that is down would be sent every task again at
// once and use up its attempts while the other targets are busy.
func (t *target) startBackoff(now time.Time) {
	if t.backoff == 0 {
		t.backoff = minRefusalBackoff
		t.backoffUntil = now.Add(t.backoff)
	}
}

// extendBackoff doubles the backoff of a target that refused a start. The target
// gets one task after each backoff until a task has run.
func (t *target) extendBackoff(now time.Time) {
	if t.backoff > 0 {
		t.backoff = min(2*t.backoff, maxRefusalBackoff)
		t.backoffUntil = now.Add(t.backoff)
	}
}

// inBackoff reports whether the target gets no task at present because it refused
// one.
func (t *target) inBackoff(now time.Time) bool {
	return t.backoff > 0 && now.Before(t.backoffUntil)
}

func newTarget(name string) *target {
	return &target{name: name, attempts: make(map[taskKey]*attempt)}
}

// usable reports whether new tasks may be sent to the target.
func (t *target) usable() bool {
	return t.link != nil && t.announced && !t.announce.Draining && !t.drained && !t.configStale
}

// grantedSlots returns the number of unused granted slots for tasks of a class.
func (t *target) grantedSlots(class wire.Class) int {
	n := 0
	for i := range t.grants {
		if class == wire.ClassShort || !t.grants[i].shortOnly {
			n += int(t.grants[i].left)
		}
	}
	return n
}

// takeSlot takes one slot for a task of the class. Short tasks use slots reserved
// for short work first, so that the other slots stay available to both classes.
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

// returnSlots removes up to n unused slots from a grant, or all if n is 0. It
// returns the number of removed slots and whether the grant has led to a start,
// which it assumes of a grant that it does not know.
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

// dropGrantsUpTo removes the grant id and all earlier ones: an agent that refuses a
// start because its grant has expired has expired the earlier grants as well.
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

// outstanding returns the ids of the in-flight tasks, which are queried after a
// reconnect.
func (t *target) outstanding() []wire.TaskID {
	ids := make([]wire.TaskID, 0, len(t.attempts))
	for _, a := range t.attempts {
		ids = append(ids, a.id)
	}
	return ids
}
