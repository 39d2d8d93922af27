package transport

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// IdleHeartbeatInterval is the time between heartbeats of a link that neither
// side has work on. The heartbeats of idle links are most of an entry's standing
// traffic and processor time; five seconds cut both to a fifth, and an idle link
// that went silent is still closed within that and what a heartbeat may be late by.
const IdleHeartbeatInterval = idleFactor * HeartbeatInterval

// idleFactor is by how much the heartbeats of an idle link are slower.
const idleFactor = 5

// pace decides when a link sends heartbeats and when its peer has been silent
// for too long. A side slows down only while both sides say that they are idle,
// and it announces the interval that it will keep, so that no side waits longer
// than the other intends. Times are the link's age.
type pace struct {
	timing    Timing
	mu        sync.Mutex
	idle      bool          // this side has no work on the link
	busySince time.Duration // when this side last got work
	promised  time.Duration // interval in the last heartbeat sent
	peerIdle  bool
	peerNext  time.Duration // interval that the peer announced
}

// working notes a message that is not a heartbeat: this side expects the peer to
// speak within the shorter limit from now on.
func (p *pace) working(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setIdle(false, now)
}

func (p *pace) setIdle(idle bool, now time.Duration) {
	if p.idle && !idle {
		p.busySince = now
	}
	p.idle = idle
}

// received notes a message from the peer.
func (p *pace) received(m wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := m.(*wire.Heartbeat)
	if !ok {
		p.peerIdle = false
		return
	}
	p.peerIdle = h.Idle
	p.peerNext = min(h.Interval, p.timing.idleHeartbeat())
}

// silent reports whether the peer, last heard at a time, is to be given up. A
// side with work does not wait for the idle interval.
func (p *pace) silent(now, heard time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle {
		return now-heard > max(p.peerNext, p.timing.Heartbeat)+p.timing.slack()
	}
	return now-max(heard, p.busySince) > p.timing.PeerTimeout
}

// due returns the heartbeat to send, if any, when the last message was sent at a
// time. The half interval keeps a tick that comes early from doubling the wait.
func (p *pace) due(now, sent time.Duration, idle, force bool) (*wire.Heartbeat, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setIdle(idle, now)
	next := p.timing.Heartbeat
	if p.idle && p.peerIdle {
		next = p.timing.idleHeartbeat()
	}
	wait := min(next, max(p.promised, p.timing.Heartbeat))
	if !force && now-sent < wait-p.timing.Heartbeat/2 {
		return nil, false
	}
	p.promised = next
	return &wire.Heartbeat{Idle: p.idle, Interval: next}, true
}
