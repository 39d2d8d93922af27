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
	name        string
	incarnation wire.Incarnation
	link        Sender // nil while there is no link
	announce    wire.Announce
	announced   bool
	labels      label.Set     // announced labels with the operators' overrides
	drained     bool          // by the operators' configuration
	stale       bool          // refused a start for its revision; a newer one is on its way
	distance    int           // 0 same failure domain, 1 same region, 2 other region
	groups      []queue.Group // groups that the target can run
	groupsKey   string        // equal for targets with the same groups
	grants      []grant
	out         map[taskKey]*attempt
	lostAt      time.Time
	load        uint32 // tasks running and waiting at the target, as last heard
	acks        []wire.TaskID
	bound       []boundTask // push baselines only
	below       uint64      // last job number sent below which every job is over
	belowAt     time.Time
	acksSince   time.Time
	demand      wire.Demand // last sent
	demandAt    time.Time
	unanswered  bool          // the last demand has led to no grant
	pause       time.Duration // after a refusal by the target; zero: none
	pausedUntil time.Time     // no start before, because the target refused one
}

// Bounds of the pause after a target refused a start. The first is about the
// shortest usual task, so that a target that was only full for a moment loses
// little; the last is how long a target that is well again may stay unused.
const (
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = time.Second
)

// pauseAfterRefusal stops starts to a target that refused one. A refusal takes
// no time, so without a pause a target that is down would take every task again
// at once and use up its attempts while the other targets are busy.
func (t *target) pauseAfterRefusal(now time.Time) {
	if t.pause == 0 {
		t.pause = minRefusalPause
		t.pausedUntil = now.Add(t.pause)
	}
}

// noteStart lets a target that refused get one task after each pause, until one
// has run. The pauses double.
func (t *target) noteStart(now time.Time) {
	if t.pause > 0 {
		t.pause = min(2*t.pause, maxRefusalPause)
		t.pausedUntil = now.Add(t.pause)
	}
}

// paused reports whether the target gets no task because it refused one.
func (t *target) paused(now time.Time) bool {
	return t.pause > 0 && now.Before(t.pausedUntil)
}

func newTarget(name string) *target {
	return &target{name: name, out: make(map[taskKey]*attempt)}
}

// usable reports whether new work may be sent.
func (t *target) usable() bool {
	return t.link != nil && t.announced && !t.announce.Draining && !t.drained && !t.stale
}

// credit returns the slots that the target's grants leave for a class.
func (t *target) credit(class wire.Class) int {
	n := 0
	for i := range t.grants {
		if class == wire.ClassShort || !t.grants[i].shortOnly {
			n += int(t.grants[i].left)
		}
	}
	return n
}

// take uses one slot for a class. Slots kept for short work go to short tasks
// first, so that the others stay free for either class.
func (t *target) take(class wire.Class) (wire.GrantID, bool) {
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

// giveBack takes at most n unused slots off a grant, or all where n is 0, and
// reports whether the grant has led to a start.
func (t *target) giveBack(id wire.GrantID, n uint32) (slots uint32, used bool) {
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

// dropUpTo removes the grants that the agent made no later than id: an agent
// that refuses a grant as expired has expired the earlier ones as well.
func (t *target) dropUpTo(id wire.GrantID) (slots int) {
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
	ids := make([]wire.TaskID, 0, len(t.out))
	for _, a := range t.out {
		ids = append(ids, a.id)
	}
	return ids
}
