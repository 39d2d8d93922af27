package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// run is one run that was sent to a target and has not ended.
type run struct {
	id          workload.RunID
	job         *activeJob
	step, index int
	target      *target
	incarnation wire.Incarnation // of the agent
	seq         uint64           // number of the start on its link
	need        workload.Resources
	sent        time.Time
	expected    time.Duration
	stopping    bool
	counted     bool // has counted against its target for taking too long
}

// target is one agent with its target, as one entry sees it.
type target struct {
	name        string // of the agent
	incarnation wire.Incarnation
	link        Sender // nil while there is no link
	known       bool   // a state has come on this link
	state       wire.TargetState
	sent        uint64 // starts sent on this link
	runs        map[workload.RunID]*run
	lostAt      time.Time
	pause       time.Duration
	pausedUntil time.Time // no start before, because the target refused one
	health      health
}

// Bounds of the pause after a target refused a start for another reason than
// room. The first is about the shortest usual task; the last is how long a target
// that is well again may stay unused.
const (
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = time.Second
)

// pauseStarts stops starts for a while after a refusal. Refusals of starts that
// were on their way together count once.
func (t *target) pauseStarts(now time.Time) {
	if now.Before(t.pausedUntil) {
		return
	}
	t.pause = min(max(2*t.pause, minRefusalPause), maxRefusalPause)
	t.pausedUntil = now.Add(t.pause)
}

// usable reports whether runs may be sent.
func (t *target) usable() bool { return t.link != nil && t.known && !t.state.Closed }

// free returns the room that is left after the starts that are on their way.
func (t *target) free() workload.Resources {
	room := t.state.Room.Free
	for _, r := range t.runs {
		if r.seq > t.state.Room.StartsReceived {
			room = room.Minus(r.need)
		}
	}
	return room
}

func (t *target) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	return slices.Contains(t.state.Labels, label)
}

// TargetChange is a change of what the scheduler believes of a target.
type TargetChange struct {
	Agent, Target string
	Change        string
	Detail        string
}

func (s *Scheduler) changed(t *target, change, detail string) {
	if s.opts.Observer != nil {
		s.opts.Observer.TargetChanged(TargetChange{Agent: t.name, Target: t.state.Target, Change: change, Detail: detail})
	}
}

// LinkUp tells the scheduler that an agent has a link. It reports false for an
// incarnation older than one already seen.
func (s *Scheduler) LinkUp(name string, incarnation wire.Incarnation, link Sender) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, runs: make(map[workload.RunID]*run)}
		s.addTarget(t)
	}
	if incarnation < t.incarnation {
		return false
	}
	t.incarnation = incarnation
	t.link, t.known, t.sent = link, false, 0
	for _, r := range t.runs {
		r.seq = 0 // counted by no room on this link
	}
	return true
}

func (s *Scheduler) addTarget(t *target) {
	s.targets[t.name] = t
	at, _ := slices.BinarySearchFunc(s.ordered, t.name, func(o *target, name string) int { return strings.Compare(o.name, name) })
	s.ordered = slices.Insert(s.ordered, at, t)
}

// LinkDown tells the scheduler that an agent's link closed. A link that was
// replaced by a newer one changes nothing.
func (s *Scheduler) LinkDown(name string, link Sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.linked(name, link)
	if t == nil {
		return
	}
	t.link, t.known = nil, false
	t.lostAt = now
	s.changed(t, "link_lost", "")
}

// Idle reports whether no run of this entry is out at an agent.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t == nil || len(t.runs) == 0
}

// linked returns the target that a link belongs to, or nil for a link that was
// replaced by a newer one.
func (s *Scheduler) linked(name string, link Sender) *target {
	t := s.targets[name]
	if t == nil || t.link != link {
		return nil
	}
	return t
}

// HandleState takes in what an agent says of its target. The first state on a
// link also says that nothing is left of runs that an earlier incarnation of the
// agent or of the target had.
func (s *Scheduler) HandleState(name string, link Sender, m *wire.TargetState, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.linked(name, link)
	if t == nil {
		return
	}
	before := t.state
	first := !t.known
	t.state, t.known = *m, true
	t.lostAt = time.Time{}
	if before.Target != m.Target {
		t.health = health{}
	}
	if first || before.Closed != m.Closed || before.Target != m.Target {
		s.changed(t, stateChange(m), "")
	}
	s.endLost(t, now, func(r *run) bool { return r.incarnation != t.incarnation })
	s.pump(now)
}

func stateChange(m *wire.TargetState) string {
	if m.Closed {
		return "closed"
	}
	return "open"
}

// endLost ends the runs of a target that cannot be there any more.
func (s *Scheduler) endLost(t *target, now time.Time, gone func(*run) bool) {
	for _, r := range t.sortedRuns(gone) {
		s.ended(t, r, wire.EndStopped, 0, "its agent or target was lost", now)
	}
}

// HandleRoom takes in what a target has free.
func (s *Scheduler) HandleRoom(name string, link Sender, m *wire.Room, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.linked(name, link)
	if t == nil {
		return
	}
	t.state.Room = *m
	s.pumpOn([]*target{t}, now)
}
