package sidecar_test

import (
	"sync"
	"time"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/wire"
)

// modelLink is a link between an agent and an entry; it is the agent's end.
type modelLink struct {
	host    *modelHost
	entry   *modelEntry
	process *sidecar.Sidecar

	mu    sync.Mutex
	cut   bool              // messages are lost in both directions
	gone  [2]bool           // by end: the agent's, the entry's
	queue [2][]modelMessage // by receiving end, in the order in which they were sent
	alive time.Time         // the agent knows that the entry was alive then
}

// modelMessage is a message on its way.
type modelMessage struct {
	at     time.Time
	handle func()
}

const (
	agentEnd = iota
	entryEnd
)

// deliver passes a message on after a hop, in order, unless the link is cut or the receiving end is gone.
func (l *modelLink) deliver(to int, handle func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue[to] = append(l.queue[to], modelMessage{time.Now().Add(modelHop), handle})
	if len(l.queue[to]) == 1 {
		go l.drain(to)
	}
}

func (l *modelLink) drain(to int) {
	for {
		l.mu.Lock()
		next := l.queue[to][0]
		l.mu.Unlock()
		time.Sleep(time.Until(next.at))
		l.mu.Lock()
		lost := l.cut || l.gone[to]
		l.mu.Unlock()
		switch {
		case lost || l.host.m.ended():
		case to == entryEnd:
			l.entry.inputs <- next.handle
		default:
			next.handle()
		}
		l.mu.Lock()
		l.queue[to] = l.queue[to][1:]
		empty := len(l.queue[to]) == 0
		l.mu.Unlock()
		if empty {
			return
		}
	}
}

// Send implements sidecar.Link: a message to the entry.
func (l *modelLink) Send(message wire.Message) error {
	name, end := l.host.name, modelEntryEnd{l}
	l.deliver(entryEnd, func() {
		switch message := message.(type) {
		case *wire.TargetState:
			l.entry.scheduler.HandleState(name, end, message, time.Now())
		case *wire.Room:
			l.entry.scheduler.HandleRoom(name, end, message, time.Now())
		case *wire.RunEnd:
			l.entry.scheduler.HandleRunEnd(name, end, message, time.Now())
		}
	})
	return nil
}

// Name implements sidecar.Link.
func (l *modelLink) Name() string { return l.entry.name }

// SinceAlive implements sidecar.Link.
func (l *modelLink) SinceAlive() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.alive)
}

// heartbeats tells the agent at each tick that the entry is alive, until the link ends.
func (l *modelLink) heartbeats() {
	for !l.host.m.ended() {
		l.mu.Lock()
		gone, sent := l.gone[agentEnd] || l.gone[entryEnd], time.Now()
		l.mu.Unlock()
		if gone {
			return
		}
		if !l.entry.paused() {
			l.deliver(agentEnd, func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.alive = sent
			})
		}
		time.Sleep(modelTick)
	}
}

// Incarnation implements sidecar.Link.
func (l *modelLink) Incarnation() wire.Incarnation { return 1 }

// Close implements sidecar.Link.
func (l *modelLink) Close(error) error {
	time.AfterFunc(0, func() { l.end(agentEnd) })
	return nil
}

// end ends one end of a link; the other end follows a hop later, or by its timeout if the link is cut.
func (l *modelLink) end(which int) {
	l.mu.Lock()
	if l.gone[which] {
		l.mu.Unlock()
		return
	}
	l.gone[which] = true
	cut := l.cut
	l.mu.Unlock()
	l.host.m.noteEvent("link of %s to %s ends at end %d, cut %t", l.host.name, l.entry.name, which, cut)
	if which == agentEnd {
		l.process.LinkDown(l, nil)
	} else {
		l.entry.inputs <- func() { l.entry.scheduler.LinkDown(l.host.name, modelEntryEnd{l}, time.Now()) }
	}
	if !cut {
		time.AfterFunc(modelHop, func() { l.end(1 - which) })
	}
}

// modelEntryEnd is the entry's end of a link.
type modelEntryEnd struct{ *modelLink }

// Send implements placement.Sender: a message to the agent.
func (e modelEntryEnd) Send(message wire.Message) error {
	l := e.modelLink
	l.deliver(agentEnd, func() { l.process.Handle(l, message) })
	return nil
}

// link links a host to an entry. It must be called with the host's mu held.
func (h *modelHost) link(e *modelEntry) {
	l := &modelLink{host: h, entry: e, process: h.sidecar, alive: time.Now()}
	go l.heartbeats()
	h.links[e] = l
	incarnation := h.incarnation
	time.AfterFunc(modelHop, func() {
		e.inputs <- func() {
			if e.scheduler.LinkUp(h.name, incarnation, modelEntryEnd{l}) {
				time.AfterFunc(modelHop, func() {
					l.process.LinkUp(l)
					l.process.Handle(l, &wire.Evacuations{Revision: 1})
				})
			}
		}
	})
}

// silence cuts a link for d, which both ends notice by its silence, and opens another one afterwards.
func (h *modelHost) silence(e *modelEntry, d, agentNotices, entryNotices time.Duration) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	busy := l.cut || l.gone[agentEnd]
	l.cut = true
	l.mu.Unlock()
	if busy {
		return
	}
	time.AfterFunc(agentNotices, func() { l.end(agentEnd) })
	time.AfterFunc(entryNotices, func() { l.end(entryEnd) })
	time.AfterFunc(max(d, agentNotices, entryNotices)+100*time.Millisecond, func() { h.relink(l) })
}

// closeByEntry ends the link to an entry that closes all of its links; the agent dials again.
func (h *modelHost) closeByEntry(e *modelEntry) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l != nil {
		time.AfterFunc(0, func() { l.end(entryEnd) })
		time.AfterFunc(modelPeerTimeout+modelTick, func() { h.relink(l) })
	}
}

func (h *modelHost) relink(l *modelLink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.entry] == l && h.sidecar == l.process && !h.m.ended() {
		h.link(l.entry)
	}
}

// silencePaused ends the links of a paused entry at the agent, which hears nothing of it. The entry
// learns it when it wakes.
func (h *modelHost) silencePaused(e *modelEntry, d, notices time.Duration) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l == nil {
		return
	}
	time.AfterFunc(notices, func() { l.end(agentEnd) })
	time.AfterFunc(d+100*time.Millisecond, func() { h.relink(l) })
}
