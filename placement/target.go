package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/forecast"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// run is a run that was sent to a target and has not ended.
type run struct {
	id             workload.RunID
	job            *activeJob
	step, index    int
	target         *target
	incarnation    wire.Incarnation // of the agent that the start was sent to
	seq            uint64           // number of the start on its link; 0 after the link was replaced
	need           workload.Resources
	sent           time.Time
	expected       time.Duration // on this target
	work           time.Duration // expected on a target of mean speed in the rack of its data
	far            bool          // the task's data is in another rack
	coldness       float64       // of the target at the start, see cold.go
	stopping       bool
	restarted      bool // it is stopped because it takes much longer than its siblings
	alone          bool // no run of another job may be beside it
	overdueCounted bool // has added to its target's fault score as overdue
}

// target is an agent and its target, as this entry sees them.
type target struct {
	name          string // of the agent
	rank          uint64 // see targetRank
	incarnation   wire.Incarnation
	link          Sender    // nil while there is no link
	stateKnown    bool      // a state has arrived on this link
	evacuated     bool      // its failure domain is evacuated
	revokedAt     time.Time // when it last ceased to be
	coldUntil     time.Time // the target is slow until then, as it reports
	nextColdStart time.Time // the next start on the cold target, see cold.go
	state         wire.TargetState
	startsSent    uint64 // starts sent on this link
	runs          map[workload.RunID]*run
	specBytes     int // of the specs of runs, see maxSpecBytes
	linkLostAt    time.Time
	backoff       time.Duration // after a refusal by the target; zero without one
	backoffUntil  time.Time     // no start is sent before this time
	health        health
	speed         forecast.Speed
	speedToldAt   time.Time // when the agent was last told the speed
	crashedAt     time.Time // of its last process
	// lostRuns are the runs that were given up after the agent's link was lost.
	lostRuns []crash.Suspect
}

// Limits of the backoff after a target refused a start for a reason other than capacity.
// The minimum is about the run time of short tasks, 50 ms. The maximum limits how long a
// recovered target may stay unused.
const (
	minRefusalBackoff = 50 * time.Millisecond
	maxRefusalBackoff = time.Second
)

// extendBackoff suspends starts on the target after a refusal, twice as long with each
// refusal in a row. Several refusals of starts that were in flight together count once.
func (t *target) extendBackoff(now time.Time) {
	if now.Before(t.backoffUntil) {
		return
	}
	t.backoff = min(max(2*t.backoff, minRefusalBackoff), maxRefusalBackoff)
	t.backoffUntil = now.Add(t.backoff)
}

// usable reports whether the target is linked, known and open.
func (t *target) usable() bool { return t.link != nil && t.stateKnown && !t.state.Closed }

// placeable reports whether the target may get runs: it is usable, and its failure domain is not
// evacuated. Readiness depends on usable alone.
func (t *target) placeable() bool { return t.usable() && !t.evacuated }

// free returns the free capacity that the agent last reported, less the needs of the starts
// that it had not seen then.
func (t *target) free() workload.Resources {
	left := t.state.Room.Free
	for _, r := range t.runs {
		if r.seq > t.state.Room.StartsReceived {
			left = left.Minus(r.need)
		}
	}
	return left
}

func (t *target) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	return slices.Contains(t.state.Labels, label)
}

// TargetChange is a change of a target's state in the scheduler. Change is open, closed,
// link_lost, distrusted or trusted; Detail is the reason, if any.
type TargetChange struct {
	Agent, Target string
	Change        string
	Detail        string
}

func (s *Scheduler) reportTargetChange(t *target, change, detail string) {
	if s.opts.Observer != nil {
		s.opts.Observer.TargetChanged(TargetChange{Agent: t.name, Target: t.state.Target, Change: change, Detail: detail})
	}
}

// LinkUp registers an agent's link, replacing an earlier one. The target gets no runs until
// HandleState. LinkUp rejects an incarnation older than one already seen and returns false.
func (s *Scheduler) LinkUp(name string, incarnation wire.Incarnation, link Sender) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, rank: targetRank(name), runs: make(map[workload.RunID]*run)}
		s.addTarget(t)
	}
	if incarnation < t.incarnation {
		return false
	}
	t.incarnation = incarnation
	t.link, t.stateKnown, t.startsSent = link, false, 0
	for _, r := range t.runs {
		r.seq = 0 // started on an earlier link: reports on this one include it
	}
	return true
}

func (s *Scheduler) addTarget(t *target) {
	s.targets[t.name] = t
	at, _ := slices.BinarySearchFunc(s.ordered, t.name, func(o *target, name string) int { return strings.Compare(o.name, name) })
	s.ordered = slices.Insert(s.ordered, at, t)
}

// LinkDown handles the close of an agent's link. It ignores a link that was replaced by a
// newer one. The agent's runs are kept for Options.LostRunTimeout, as they may continue.
func (s *Scheduler) LinkDown(name string, link Sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targetOnLink(name, link); t != nil {
		s.dropLink(t, now)
	}
}

// DropLinks handles the end of all agents' links, as LinkDown does. Messages that arrive on them
// later are ignored.
func (s *Scheduler) DropLinks(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.ordered {
		if t.link != nil {
			s.dropLink(t, now)
		}
	}
}

func (s *Scheduler) dropLink(t *target, now time.Time) {
	t.link, t.stateKnown = nil, false
	t.linkLostAt = now
	s.updateSandbox(now)
	s.reportTargetChange(t, "link_lost", "")
}

// Idle reports whether this entry has no run in flight at an agent. An unknown agent is
// idle.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t == nil || len(t.runs) == 0
}

// targetOnLink returns the target that a link belongs to, or nil for a link that was
// replaced by a newer one.
func (s *Scheduler) targetOnLink(name string, link Sender) *target {
	t := s.targets[name]
	if t == nil || t.link != link {
		return nil
	}
	return t
}

// HandleState handles an agent's report of its target's state. The first report on a link
// also means that no run of an earlier incarnation of the agent or the target is left, and of the
// runs that were started on earlier links those that it names only. It returns
// the crash of the target that follows from the report and that no agent has seen, or nil.
func (s *Scheduler) HandleState(name string, link Sender, m *wire.TargetState, now time.Time) *crash.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOnLink(name, link)
	if t == nil {
		return nil
	}
	before := t.state
	first := !t.stateKnown
	t.state, t.stateKnown = *m, true
	t.evacuated = s.evacuations.Covers(m.FailureDomain)
	t.coldUntil = now.Add(m.ColdLeft)
	t.linkLostAt = time.Time{}
	if before.Target != m.Target {
		t.health = health{}
	}
	t.recallSpeed(&before, first)
	if first || before.Closed != m.Closed || before.Target != m.Target {
		s.reportTargetChange(t, stateChange(m), "")
	}
	crashed := s.inferCrash(t, before, now)
	s.updateSandbox(now)
	s.endLostRuns(t, now, func(r *run) bool {
		return r.incarnation != t.incarnation || first && r.seq == 0 && !slices.Contains(m.Runs, r.id)
	})
	t.state.Runs = nil
	s.schedule(now)
	return crashed
}

func stateChange(m *wire.TargetState) string {
	if m.Closed {
		return "closed"
	}
	return "open"
}

// endLostRuns ends, as stopped, the runs of a target for which gone returns true.
func (s *Scheduler) endLostRuns(t *target, now time.Time, gone func(*run) bool) {
	for _, r := range t.sortedRuns(gone) {
		s.endRun(t, r, wire.EndStopped, 0, "its agent or target was lost", now)
	}
}

// HandleRoom handles an agent's report of its target's free capacity.
func (s *Scheduler) HandleRoom(name string, link Sender, m *wire.Room, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOnLink(name, link)
	if t == nil {
		return
	}
	t.state.Room = *m
	s.scheduleOn([]*target{t}, now)
}
