package agent

import (
	"time"

	"github.com/catkinline/catkinline/wire"
)

// flush ends an operation: it grants what became free and sends the outcomes,
// grants and revocations that are due. A grant goes with an outcome to the same
// entry where there is one.
func (a *Agent) flush(now time.Time) {
	load := a.load(now)
	for _, allocation := range a.table.Allocate(now) {
		allocation.Grant.Load = load
		if !a.attach(allocation.Entry, allocation.Grant) {
			a.sendTo(allocation.Entry, &allocation.Grant)
		}
	}
	for i := range a.answers {
		a.answers[i].outcome.Load = load
		a.sendTo(a.answers[i].entry, &a.answers[i].outcome)
	}
	a.answers = nil
	for _, revocation := range a.table.Revocations(now) {
		a.sendTo(revocation.Entry, &revocation.Revoke)
	}
	a.report(now)
	if next := a.table.NextDeadline(); !next.IsZero() && (a.armed.IsZero() || next.Before(a.armed)) {
		signal(a.wake)
	}
}

// load is what runs at the target and what entries say waits for it.
func (a *Agent) load(now time.Time) uint32 {
	s := a.table.Stats(now)
	return uint32(s.Running + s.Occupied + s.Waiting)
}

func (a *Agent) attach(entry string, g wire.Grant) bool {
	for i := range a.answers {
		if a.answers[i].entry == entry && a.answers[i].outcome.Grant == nil {
			a.answers[i].outcome.Grant = &g
			return true
		}
	}
	return false
}

// report adds what the table counted since the last report to the metrics.
func (a *Agent) report(now time.Time) {
	s := a.table.Stats(now)
	m := a.cfg.Metrics
	if n := s.GrantsExpired - a.reported.GrantsExpired; n > 0 {
		m.GrantsExpired(n)
	}
	if n := s.GrantsUnused - a.reported.GrantsUnused; n > 0 {
		m.GrantsUnused(n)
	}
	if d := s.IdleSlotTime - a.reported.IdleSlotTime; d > 0 {
		m.IdleWhileWaiting(d)
	}
	a.reported = s
}

func (a *Agent) answer(entry string, out wire.Outcome) {
	a.answers = append(a.answers, answer{entry: entry, outcome: out})
}

func (a *Agent) sendTo(entry string, m wire.Message) {
	if state := a.links[entry]; state != nil {
		a.send(state, m)
	}
}

func (a *Agent) sendAll(m wire.Message) {
	for _, state := range a.links {
		a.send(state, m)
	}
}

func (a *Agent) send(state *linkState, m wire.Message) {
	if state.closed {
		return
	}
	if err := state.Send(m); err != nil {
		a.closeLink(state, err)
		return
	}
	a.cfg.Metrics.Sent(m.Type())
}

// closeLink closes a link once the lock is released. Its owner then reports it
// by LinkDown.
func (a *Agent) closeLink(state *linkState, err error) {
	if state.closed {
		return
	}
	state.closed = true
	a.closing = append(a.closing, closing{state.Link, err})
}

// unlock releases the lock and closes the links that the operation gave up.
func (a *Agent) unlock() {
	pending := a.closing
	a.closing = nil
	a.mu.Unlock()
	for _, c := range pending {
		c.link.Close(c.err)
	}
}

// signal wakes the receiver of a channel of size one, now or at its next read.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
