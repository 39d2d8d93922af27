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
//
// Heartbeats also prove since when the peer is known to be alive: each returns the time in the
// last heartbeat of the other side, and how long ago it arrived. Unlike the time at which a
// heartbeat is read, this does not depend on how long it was on its way or in a buffer.
type State struct {
	timing       Timing
	mu           sync.Mutex
	idle         bool          // this side has no work on the link
	busySince    time.Duration // when this side last changed from idle to busy
	messageAt    time.Duration // when a message other than a heartbeat was last received
	tickedAt     time.Duration // when Due was last called
	sentAt       time.Duration // when the last heartbeat was sent
	announced    time.Duration // interval in the last heartbeat sent
	peerIdle     bool
	peerInterval time.Duration // interval in the last heartbeat received
	peerSent     uint64        // Sent in the last heartbeat received
	peerSentAt   time.Duration // when it was received
	proof        time.Duration // the peer was alive then
	originAge    time.Duration // what the peer says of the processes it acts for
}

// New returns the state of a new link, whose peer has just been heard of.
func New(t Timing) *State { return &State{timing: t} }

// MarkBusy records that this side sends a message other than a heartbeat. From then on it
// requires a message from the peer within PeerTimeout. If the link was idle, it returns a
// heartbeat that has to be sent first: the peer, which gets work with the message, cannot wait
// for the next one to know that this side was alive.
func (s *State) MarkBusy(now time.Duration) *wire.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle {
		return nil
	}
	s.idle, s.busySince = false, now
	return s.next(now, s.timing.Interval)
}

// updateIdle records whether this side has work. Work that came with a message began when that was
// received.
func (s *State) updateIdle(idle bool, now time.Duration) {
	if s.idle && !idle {
		s.busySince = now
		if s.messageAt > s.tickedAt {
			s.busySince = s.messageAt
		}
	}
	s.idle, s.tickedAt = idle, now
}

// RecordReceived records a message from the peer.
func (s *State) RecordReceived(m wire.Message, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m := m.(type) {
	case *wire.Heartbeat:
		s.recordHeartbeat(m, now)
	case *wire.RunStart:
		s.peerIdle, s.messageAt = false, now
		s.originAge = max(s.originAge, m.OriginAge)
	default:
		s.peerIdle, s.messageAt = false, now
	}
}

func (s *State) recordHeartbeat(h *wire.Heartbeat, now time.Duration) {
	s.peerIdle = h.Idle
	s.peerInterval = min(h.Interval, s.timing.Idle())
	s.peerSent, s.peerSentAt = h.Sent, now
	s.originAge = fromMilliseconds(h.OriginAge)
	switch {
	case h.Sent == 0: // from an earlier release, which proves nothing
		s.proof = now
	case h.Echo != 0:
		s.proof = max(s.proof, min(now, fromMilliseconds(h.Echo)+fromMilliseconds(h.EchoAge)))
	}
}

// AliveAt returns the latest time at which the peer, and the processes that it acts for, are known to
// have been alive.
func (s *State) AliveAt() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof - s.originAge
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

// Due returns the heartbeat to send, if one is due; force makes it due at once. Other messages
// do not replace heartbeats, as they prove nothing about when they were sent. The margin of half
// an interval is for ticks that come slightly early, which would otherwise delay the heartbeat by
// a whole tick.
func (s *State) Due(now time.Duration, idle, force bool) (*wire.Heartbeat, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateIdle(idle, now)
	interval := s.timing.Interval
	if s.idle && s.peerIdle {
		interval = s.timing.Idle()
	}
	wait := min(interval, max(s.announced, s.timing.Interval))
	if !force && now-s.sentAt < wait-s.timing.Interval/2 {
		return nil, false
	}
	return s.next(now, interval), true
}

// Next returns a heartbeat that is sent at any other time.
func (s *State) Next(now time.Duration) *wire.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next(now, s.timing.Interval)
}

func (s *State) next(now, interval time.Duration) *wire.Heartbeat {
	s.sentAt, s.announced = now, interval
	h := &wire.Heartbeat{Idle: s.idle, Interval: interval, Sent: max(1, milliseconds(now)), Echo: s.peerSent}
	if h.Echo != 0 {
		h.EchoAge = milliseconds(now - s.peerSentAt)
	}
	return h
}

// milliseconds rounds down, so that a proof is never too late.
func milliseconds(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }

// maxMilliseconds keeps sums of times in messages from overflowing.
const maxMilliseconds = 1 << 40

func fromMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond
}
