package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/wire"
)

// Link is a connection to one entry. Send must not block.
type Link interface {
	Send(wire.Message) error
	Name() string
	Incarnation() wire.Incarnation
	Close(error) error
	// SinceAlive returns the time since the entry, and the entries whose jobs it has runs of here, were
	// last known to be alive.
	SinceAlive() time.Duration
}

// linkState is a link and what was sent and received on it.
type linkState struct {
	link           Link
	startsReceived uint64
	advertised     wire.Room
	stale          bool // start requests on it may be out of date
	retiring       bool // the entry was told to send no more starts
	announced      bool // the target's state was sent on it
	evacuations    bool // the evacuated failure domains were received on it
}

// LinkUp adds a link to an entry. An earlier link to the same entry is closed, and the runs
// that came over it are stopped.
func (s *Sidecar) LinkUp(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Paused() {
		s.closeStaleLinks() // before the new link is added
	}
	if old := s.links[l.Name()]; old != nil {
		s.dropLink(old, "replaced by a newer link")
		_ = old.link.Close(nil)
	}
	state := &linkState{link: l}
	s.links[l.Name()] = state
	s.log.Info("entry linked", zap.String("entry", l.Name()), zap.Uint64("incarnation", uint64(l.Incarnation())))
	now := time.Now()
	for _, r := range s.crashes.Records(now) {
		s.send(state, wire.NewCrashReport(r, now))
	}
	if s.ready() {
		s.sendState(state)
	}
}

// LinkDown removes a link that was lost and stops the runs that came over it, because the
// entry starts them elsewhere.
func (s *Sidecar) LinkDown(l Link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.links[l.Name()]
	if state == nil || state.link != l {
		return
	}
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	delete(s.links, l.Name())
	s.dropLink(state, reason)
}

func (s *Sidecar) dropLink(state *linkState, reason string) {
	owner := ownerOf(state.link)
	s.offers.Remove(owner)
	signal(s.roomChanged)
	lost := s.table.Select(func(r *runs.Run) bool { return r.Owner == owner })
	s.log.Info("entry link ended", zap.String("entry", owner.Name), zap.String("reason", reason), zap.Int("runs", len(lost)))
	for _, r := range lost {
		s.stop(r, "the link to its entry ended")
	}
}

func ownerOf(l Link) runs.Owner { return runs.Owner{Name: l.Name(), Incarnation: l.Incarnation()} }

// Retire tells an entry that no more starts are accepted from it, before its link is closed.
// Starts that it has sent already are processed.
func (s *Sidecar) Retire(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.links[entry]
	if state == nil || state.retiring {
		return
	}
	state.retiring = true
	s.offers.Remove(ownerOf(state.link))
	s.log.Info("link retired", zap.String("entry", entry))
	if s.ready() {
		s.sendState(state)
	}
}

// Idle reports whether the entry of a link has no run here. Nothing has to be stopped when
// such a link is lost, so its loss may be detected later.
func (s *Sidecar) Idle(l Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.table.HasRunsOf(ownerOf(l))
}

// runTimeLeft returns for how long a run of an entry may go on without a newer proof that the entry is
// alive. It is negative if that time is over.
func runTimeLeft(l Link) time.Duration {
	return MaxEntrySilence + DefaultLease - l.SinceAlive()
}

// longestLease returns the longest lease that may be granted now: that of the entry with runs here that has
// been silent for longest.
func (s *Sidecar) longestLease() time.Duration {
	longest := s.opts.Lease
	for _, state := range s.links {
		if s.table.HasRunsOf(ownerOf(state.link)) {
			longest = min(longest, runTimeLeft(state.link))
		}
	}
	return longest
}
