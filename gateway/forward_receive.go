package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/wire"
)

// handleForward accepts a job from a peer, or declines it when this entry is stopping, has no
// targets or is overloaded.
func (g *Gateway) handleForward(l peerLink, m *wire.JobForward) {
	now := time.Now()
	if reason := g.declineReason(l, m); reason != "" {
		g.log.Info("job of a peer declined", zap.String("job", m.Job.ID), zap.String("peer", l.Name()), zap.Duration("peer_age", l.SinceAlive()),
			zap.String("reason", reason), zap.Duration("lag", g.loopLag.meanLag()))
		// Sending fails only on a closed link; the peer answers its caller when it notices that.
		_ = l.Send(&wire.JobAnswer{RequestID: m.RequestID, Declined: true, WaitingCPU: g.scheduler.WaitingCPU()})
		return
	}
	g.requests.Add(1)
	r := placement.Request{Job: m.Job, Route: m.Route, Version: m.RoutesVersion, Deadline: now.Add(m.TimeLeft), Origin: l, MayDecline: !m.LastChoice}
	if m.StopIn > 0 {
		r.StopAt = now.Add(m.StopIn)
	}
	ticket, refusal := g.submitHere(r, now)
	if refusal != nil && refusal.Outcome == placement.Withdrawn {
		g.requests.Add(-1)
		// As above.
		_ = l.Send(&wire.JobAnswer{RequestID: m.RequestID, Declined: true, Hopeless: true, WaitingCPU: g.scheduler.WaitingCPU()})
		return
	}
	if refusal != nil {
		g.sendForwardAnswer(l, m.RequestID, *refusal)
		return
	}
	if !g.forwarder.addReceived(l, m.RequestID, ticket) {
		ticket.Cancel(now)
	}
	g.tomb.Go(func() error {
		g.sendForwardAnswer(l, m.RequestID, <-ticket.Done())
		return nil
	})
}

// declineReason returns why a job of a peer is declined, or an empty string.
func (g *Gateway) declineReason(l peerLink, m *wire.JobForward) string {
	if err := m.Job.Validate(); err != nil {
		return "malformed: " + err.Error()
	}
	switch {
	case l.SinceAlive() > sidecar.MaxStartSilence:
		return "the peer may have died since it sent the job"
	case g.contact.isOutdated():
		return "this entry was cut off, and does not know which jobs were cancelled"
	case g.evacuations.Load() == nil:
		return "the evacuated failure domains are not known yet"
	case g.stopping.Load():
		return "a planned stop has begun"
	case !g.scheduler.HasTargets():
		return "no target is reachable"
	case g.loopLag.tooHigh() && !m.LastChoice:
		return "this process is overloaded"
	}
	return ""
}

// addReceived records a job that a peer sent. It reports false if the peer's link has ended.
func (f *forwarder) addReceived(l peerLink, number uint64, t *placement.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.placers.peers[l] == nil {
		return false
	}
	if f.received[l] == nil {
		f.received[l] = make(map[uint64]*placement.Ticket)
	}
	f.received[l][number] = t
	return true
}

// removeReceived removes a job that a peer sent and returns its ticket, or nil.
func (f *forwarder) removeReceived(l peerLink, number uint64) *placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.received[l][number]
	delete(f.received[l], number)
	return t
}

// sendForwardAnswer sends the answer of a job to the peer that forwarded it.
func (g *Gateway) sendForwardAnswer(l peerLink, number uint64, a placement.Answer) {
	defer g.requests.Add(-1)
	g.forwarder.removeReceived(l, number)
	m := &wire.JobAnswer{
		Declined:  a.Outcome == placement.Withdrawn,
		RequestID: number, Outcome: uint8(a.Outcome), Reason: a.Reason, RetryAfter: a.RetryAfter,
		WaitingCPU: g.scheduler.WaitingCPU(),
	}
	if err := l.Send(m); err != nil {
		g.log.Info("cannot send the answer of a forwarded job: the link to the peer has ended", zap.String("peer", l.Name()), zap.Stringer("outcome", a.Outcome), zap.Error(err))
	}
}
