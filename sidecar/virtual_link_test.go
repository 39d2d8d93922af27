package sidecar_test

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/gateway"
	"github.com/catkinline/catkinline/internal/heartbeat"
	"github.com/catkinline/catkinline/wire"
)

// virtualLink is a link between two processes in virtual time, with the heartbeats of the
// deployment. End 1 is the one that may die.
type virtualLink struct {
	opened time.Time
	ends   [2]*virtualEnd

	mu  sync.Mutex
	cut bool // nothing arrives any more
}

// virtualEnd is one end of a virtualLink.
type virtualEnd struct {
	link  *virtualLink
	other *virtualEnd
	pulse *heartbeat.State

	handle    func(wire.Message)
	idle      func() bool
	originAge func() time.Duration // nil: it acts for itself only
	lost      func()               // called once, when the link is lost at this end

	mu           sync.Mutex
	lastReceived time.Duration
	lostAt       time.Time // zero: not lost
	dead         bool
	frozenUntil  time.Time
	buffered     []wire.Message // received while the process was frozen
}

func newVirtualLink() *virtualLink {
	timing := heartbeat.Timing{Interval: gateway.LinkTiming.Heartbeat, PeerTimeout: gateway.LinkTiming.PeerTimeout}
	l := &virtualLink{opened: time.Now()}
	for i := range l.ends {
		l.ends[i] = &virtualEnd{link: l, pulse: heartbeat.New(timing), handle: func(wire.Message) {}, lost: func() {}}
	}
	l.ends[0].other, l.ends[1].other = l.ends[1], l.ends[0]
	return l
}

func (l *virtualLink) age() time.Duration { return time.Since(l.opened) }

// start starts the heartbeats of both ends, each after a delay.
func (l *virtualLink) start(delays [2]time.Duration) {
	for i, e := range l.ends {
		go func() {
			time.Sleep(delays[i])
			for e.open() {
				e.tick()
				time.Sleep(gateway.LinkTiming.Heartbeat)
			}
		}()
	}
}

func (e *virtualEnd) open() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead && e.lostAt.IsZero()
}

// freeze stops the process at this end for d. What arrives meanwhile is handled afterwards.
func (e *virtualEnd) freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
	time.AfterFunc(d, func() {
		e.mu.Lock()
		messages := e.buffered
		e.buffered = nil
		e.mu.Unlock()
		for _, m := range messages {
			e.receive(m)
		}
	})
}

// frozenFor returns how long the process at this end remains frozen.
func (e *virtualEnd) frozenFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.frozenUntil))
}

// tick does what a link does at each interval.
func (e *virtualEnd) tick() {
	time.Sleep(e.frozenFor())
	now := e.link.age()
	if h, ok := e.pulse.Due(now, e.idle(), false); ok {
		if e.originAge != nil {
			h.OriginAge = uint64((e.originAge() + time.Millisecond - 1) / time.Millisecond)
		}
		e.deliver(h)
	}
	e.mu.Lock()
	lastReceived := e.lastReceived
	e.mu.Unlock()
	if e.pulse.PeerTimedOut(now, lastReceived) {
		e.lose()
	}
}

// lose ends the link at this end.
func (e *virtualEnd) lose() {
	e.mu.Lock()
	first := e.lostAt.IsZero() && !e.dead
	if first {
		e.lostAt = time.Now()
	}
	e.mu.Unlock()
	if first {
		e.lost()
	}
}

func (e *virtualEnd) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
}

func (l *virtualLink) sever() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// Send sends a message to the other end, with a heartbeat before it where a link sends one.
func (e *virtualEnd) Send(m wire.Message) error {
	messages := []wire.Message{m}
	if h := e.pulse.MarkBusy(e.link.age()); h != nil {
		messages = []wire.Message{h, m}
	}
	e.deliver(messages...)
	return nil
}

func (e *virtualEnd) deliver(messages ...wire.Message) {
	if !e.open() {
		return
	}
	time.AfterFunc(modelHop, func() {
		e.link.mu.Lock()
		cut := e.link.cut
		e.link.mu.Unlock()
		for _, m := range messages {
			if !cut {
				e.other.receive(m)
			}
		}
	})
}

func (e *virtualEnd) receive(m wire.Message) {
	if !e.open() {
		return
	}
	now := e.link.age()
	e.mu.Lock()
	if time.Now().Before(e.frozenUntil) {
		e.buffered = append(e.buffered, m)
		e.mu.Unlock()
		return
	}
	e.lastReceived = now
	e.mu.Unlock()
	e.pulse.RecordReceived(m, now)
	e.handle(m)
}

// SinceAlive returns the time since the process at the other end was last known to be alive.
func (e *virtualEnd) SinceAlive() time.Duration { return e.link.age() - e.pulse.AliveAt() }

// Close ends the link at this end only.
func (e *virtualEnd) Close(error) error {
	time.AfterFunc(0, e.lose)
	return nil
}

// Name implements sidecar.Link: the agent's only entry.
func (e *virtualEnd) Name() string { return "entry" }

// Incarnation implements sidecar.Link.
func (e *virtualEnd) Incarnation() wire.Incarnation { return 1 }
