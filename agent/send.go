package agent

import (
	"time"

	"github.com/catkinline/catkinline/wire"
)

// flush completes an operation: it grants free slots and sends the pending outcomes,
// grants and revocations. A grant is attached to an outcome for the same entry if
// there is one, which saves a message.
func (a *Agent) flush(now time.Time) {
	load := a.load(now)
	for _, allocation := range a.table.Allocate(now) {
		allocation.Grant.Load = load
		if !a.attachGrant(allocation.Entry, allocation.Grant) {
			a.sendTo(allocation.Entry, &allocation.Grant)
		}
	}
	for i := range a.outcomes {
		a.outcomes[i].outcome.Load = load
		a.sendTo(a.outcomes[i].entry, &a.outcomes[i].outcome)
	}
	a.outcomes = nil
	for _, revocation := range a.table.Revocations(now) {
		a.sendTo(revocation.Entry, &revocation.Revoke)
	}
	a.report(now)
	if next := a.table.NextDeadline(); !next.IsZero() && (a.timerDeadline.IsZero() || next.Before(a.timerDeadline)) {
		signal(a.wake)
	}
}

// load returns the number of tasks that run on the target or wait for it at entries.
func (a *Agent) load(now time.Time) uint32 {
	s := a.table.Stats(now)
	return uint32(s.Running + s.Occupied + s.Waiting)
}

func (a *Agent) attachGrant(entry string, g wire.Grant) bool {
	for i := range a.outcomes {
		if a.outcomes[i].entry == entry && a.outcomes[i].outcome.Grant == nil {
			a.outcomes[i].outcome.Grant = &g
			return true
		}
	}
	return false
}

// report adds the increase of the table's counters since the last report to the
// metrics.
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

func (a *Agent) queueOutcome(entry string, out wire.Outcome) {
	a.outcomes = append(a.outcomes, pendingOutcome{entry: entry, outcome: out})
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
	a.closing = append(a.closing, pendingClose{state.Link, err})
}

// unlock releases the lock and then closes the links that the operation gave up.
func (a *Agent) unlock() {
	pending := a.closing
	a.closing = nil
	a.mu.Unlock()
	for _, c := range pending {
		c.link.Close(c.err)
	}
}

// signal wakes the receiver of a channel of capacity 1. It does not block: a signal
// that is already pending stands for both.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
