// Package heartbeat decides when a link between two processes sends heartbeats and when its peer
// has timed out. It does no I/O and takes the time as an argument.
package heartbeat

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// IdleFactor is the ratio of the heartbeat intervals of idle links and links with work.
// Heartbeats make up most of the traffic and CPU time of an idle entry.
const IdleFactor = 5

// Timing holds the interval and the timeout of a link with work. Both ends need the same values.
type Timing struct {
	Interval    time.Duration // longest time between messages
	PeerTimeout time.Duration // time without a message after which the link is closed
}

// Idle is the interval of a link that neither side has work on. If its peer goes silent, it is
// closed after this interval plus Slack.
func (t Timing) Idle() time.Duration { return IdleFactor * t.Interval }

// Slack is how late a heartbeat may arrive before the link is closed.
func (t Timing) Slack() time.Duration { return t.PeerTimeout - t.Interval }

// State is one side of a link. A side uses the idle interval only while both sides report that
// they are idle. It announces the interval in each heartbeat, so that the peer knows how long to
// wait for the next one. Times are ages of the link. A State is safe for concurrent use.
type State struct {
	timing       Timing
	mu           sync.Mutex
	idle         bool          // this side has no work on the link
	busySince    time.Duration // when this side last changed from idle to busy
	announced    time.Duration // interval in the last heartbeat sent
	peerIdle     bool
	peerInterval time.Duration // interval in the last heartbeat received
}

// New returns the state of a new link.
func New(t Timing) *State { return &State{timing: t} }

// MarkBusy records that this side sends a message other than a heartbeat. From then on
// it requires a message from the peer within PeerTimeout.
func (s *State) MarkBusy(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(false, now)
}

func (s *State) setIdle(idle bool, now time.Duration) {
	if s.idle && !idle {
		s.busySince = now
	}
	s.idle = idle
}

// RecordReceived records a message from the peer.
func (s *State) RecordReceived(m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := m.(*wire.Heartbeat)
	if !ok {
		s.peerIdle = false
		return
	}
	s.peerIdle = h.Idle
	s.peerInterval = min(h.Interval, s.timing.Idle())
}

// PeerTimedOut reports whether the peer, whose last message came at lastReceived, has
// sent nothing for too long. A side with work does not wait for the idle interval.
func (s *State) PeerTimedOut(now, lastReceived time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		return now-lastReceived > max(s.peerInterval, s.timing.Interval)+s.timing.Slack()
	}
	return now-max(lastReceived, s.busySince) > s.timing.PeerTimeout
}

// Due returns the heartbeat to send, if one is due. The last message was sent at
// lastSent; force makes a heartbeat due at once. The margin of half an interval is for
// ticks that come slightly early, which would otherwise delay the heartbeat by a whole
// tick.
func (s *State) Due(now, lastSent time.Duration, idle, force bool) (*wire.Heartbeat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIdle(idle, now)
	interval := s.timing.Interval
	if s.idle && s.peerIdle {
		interval = s.timing.Idle()
	}
	wait := min(interval, max(s.announced, s.timing.Interval))
	if !force && now-lastSent < wait-s.timing.Interval/2 {
		return nil, false
	}
	s.announced = interval
	return &wire.Heartbeat{Idle: s.idle, Interval: interval}, true
}
