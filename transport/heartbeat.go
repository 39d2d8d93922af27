package transport

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// IdleHeartbeatInterval is the time between heartbeats on a link that neither side has
// work on. Heartbeats make up most of the traffic and CPU time of an idle entry; an
// interval of 5 s keeps both at a fifth of what 1 s would need. An idle link whose peer
// goes silent is closed after this interval plus the slack of a heartbeat.
const IdleHeartbeatInterval = idleFactor * HeartbeatInterval

// idleFactor is the ratio of the heartbeat intervals of idle links and links with work.
const idleFactor = 5

// heartbeatState decides when a link sends heartbeats and when its peer has timed out.
// A side uses the idle interval only while both sides report that they are idle. It
// announces the interval in each heartbeat, so that the peer knows how long to wait for
// the next one. Times are ages of the link.
type heartbeatState struct {
	timing       Timing
	mu           sync.Mutex
	idle         bool          // this side has no work on the link
	busySince    time.Duration // when this side last changed from idle to busy
	announced    time.Duration // interval in the last heartbeat sent
	peerIdle     bool
	peerInterval time.Duration // interval in the last heartbeat received
}

// markBusy records that this side sends a message other than a heartbeat. From then on
// it requires a message from the peer within PeerTimeout.
func (p *heartbeatState) markBusy(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setIdle(false, now)
}

func (p *heartbeatState) setIdle(idle bool, now time.Duration) {
	if p.idle && !idle {
		p.busySince = now
	}
	p.idle = idle
}

// recordReceived records a message from the peer.
func (p *heartbeatState) recordReceived(m wire.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := m.(*wire.Heartbeat)
	if !ok {
		p.peerIdle = false
		return
	}
	p.peerIdle = h.Idle
	p.peerInterval = min(h.Interval, p.timing.idleHeartbeat())
}

// peerTimedOut reports whether the peer, whose last message came at lastReceived, has
// sent nothing for too long. A side with work does not wait for the idle interval.
func (p *heartbeatState) peerTimedOut(now, lastReceived time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle {
		return now-lastReceived > max(p.peerInterval, p.timing.Heartbeat)+p.timing.slack()
	}
	return now-max(lastReceived, p.busySince) > p.timing.PeerTimeout
}

// due returns the heartbeat to send, if one is due. The last message was sent at
// lastSent; force makes a heartbeat due at once. The margin of half an interval is for
// ticks that come slightly early, which would otherwise delay the heartbeat by a whole
// tick.
func (p *heartbeatState) due(now, lastSent time.Duration, idle, force bool) (*wire.Heartbeat, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setIdle(idle, now)
	interval := p.timing.Heartbeat
	if p.idle && p.peerIdle {
		interval = p.timing.idleHeartbeat()
	}
	wait := min(interval, max(p.announced, p.timing.Heartbeat))
	if !force && now-lastSent < wait-p.timing.Heartbeat/2 {
		return nil, false
	}
	p.announced = interval
	return &wire.Heartbeat{Idle: p.idle, Interval: interval}, true
}
