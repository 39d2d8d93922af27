package entry

import (
	"bytes"
	"time"

	"github.com/catkinline/catkinline/dispatch"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// agentLink is an open link to an agent.
type agentLink struct {
	link      *transport.Link
	announce  wire.Announce
	scheduler *dispatch.Scheduler // set by the first announcement
	lastSent  []byte              // View.Config last sent on this link
	accepting bool                // the scheduler may use its target
}

// linkHandler passes the events of links to the entry.
type linkHandler struct{ e *Entry }

// LinkUp implements transport.Handler.
func (h linkHandler) LinkUp(l *transport.Link) {
	if l.Role() == wire.RoleEntry {
		h.e.peerUp(l)
		return
	}
	h.e.agentUp(l)
}

// LinkDown implements transport.Handler.
func (h linkHandler) LinkDown(l *transport.Link, err error) {
	if l.Role() == wire.RoleEntry {
		h.e.peerDown(l, err)
		return
	}
	h.e.agentDown(l, err)
}

// Handle implements transport.Handler.
func (h linkHandler) Handle(l *transport.Link, m wire.Message) {
	if l.Role() == wire.RoleEntry {
		h.e.handlePeer(l, m)
		return
	}
	h.e.handleAgent(l, m)
}

func (e *Entry) agentUp(l *transport.Link) {
	e.mu.Lock()
	e.agents[l] = &agentLink{link: l}
	e.mu.Unlock()
	_ = l.Send(e.peersMessage())
	if e.stopping.Load() {
		_ = l.Send(&wire.Leave{})
	}
}

func (e *Entry) agentDown(l *transport.Link, err error) {
	e.mu.Lock()
	a := e.agents[l]
	delete(e.agents, l)
	e.mu.Unlock()
	e.countClosed(err)
	if a == nil || a.scheduler == nil {
		return
	}
	a.scheduler.LinkDown(l.Name(), l, time.Now())
	e.log.Info("agent link ended", zap.String("agent", l.Name()), zap.Error(err))
}

// Values of the tag reason of metrics.LinksClosed.
const (
	linkClosed = "closed" // by this process or the peer
	linkFailed = "failed" // by a timeout or an error
)

func (e *Entry) countClosed(err error) {
	reason := linkClosed
	if err != nil {
		reason = linkFailed
	}
	e.metrics.Add(metrics.LinksClosed, 1, metrics.TagReason, reason)
}

// handleAgent handles a message from an agent. Until the agent has announced its
// target, all messages other than announcements and views are ignored.
func (e *Entry) handleAgent(l *transport.Link, m wire.Message) {
	now := time.Now()
	if a, ok := m.(*wire.Announce); ok {
		e.handleAnnounce(l, a, now)
		return
	}
	if v, ok := m.(*wire.View); ok {
		e.mergeView(*v)
		return
	}
	s := e.schedulerOf(l)
	if s == nil {
		return
	}
	switch m := m.(type) {
	case *wire.Grant:
		s.HandleGrant(l.Name(), l, m, now)
	case *wire.Outcome:
		s.HandleOutcome(l.Name(), l, m, now)
	case *wire.Revoke:
		s.HandleRevoke(l.Name(), l, m, now)
	case *wire.Leave:
		s.HandleLeave(l.Name(), l, now)
	}
}

// idleLink reports whether an agent has no work from this entry. Links to entries are
// never idle: they carry each entry's state several times per heartbeat interval.
func (e *Entry) idleLink(l *transport.Link) bool {
	s := e.schedulerOf(l)
	return s != nil && s.Idle(l.Name())
}

func (e *Entry) schedulerOf(l *transport.Link) *dispatch.Scheduler {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if a := e.agents[l]; a != nil {
		return a.scheduler
	}
	return nil
}

// handleAnnounce adds an agent to the scheduler of its service. The view is sent
// first, so that no start can carry a revision whose view the agent has not been
// sent.
func (e *Entry) handleAnnounce(l *transport.Link, m *wire.Announce, now time.Time) {
	s := e.scheduler(m.Service)
	e.mu.Lock()
	a := e.agents[l]
	if a == nil || a.scheduler != nil && a.announce.Service != m.Service {
		e.mu.Unlock()
		_ = l.Close(nil)
		return
	}
	first := a.scheduler == nil
	a.scheduler = s
	a.announce = *m
	e.sendView(a)
	e.mu.Unlock()
	if first {
		if !s.LinkUp(l.Name(), l.Incarnation(), l, now) {
			e.log.Warn("refused a link from an earlier incarnation of an agent", zap.String("agent", l.Name()))
			_ = l.Close(nil)
			return
		}
		e.log.Info("agent linked", zap.String("agent", l.Name()), zap.String("target", m.Target))
	}
	s.HandleAnnounce(l.Name(), l, m, now)
	e.mu.Lock()
	a.accepting = true
	e.mu.Unlock()
}

// sendView sends an agent its view if the view has changed since it was last sent on
// this link; if not, the revision in heartbeats confirms that the view is current.
// The caller must hold mu.
func (e *Entry) sendView(a *agentLink) {
	snapshot := e.config.Current()
	if snapshot.Revision() == 0 || a.scheduler == nil {
		return
	}
	view, err := snapshot.View(a.announce.Service, a.announce.Target)
	if err != nil {
		e.log.Error("cannot encode the configuration view of an agent", zap.Error(err))
		return
	}
	if bytes.Equal(view.Config, a.lastSent) {
		return
	}
	a.lastSent = view.Config
	_ = a.link.Send(&view)
}

func (e *Entry) mergeView(v wire.View) {
	merged, err := e.config.MergeView(v)
	if err != nil {
		e.log.Warn("agent sent an invalid configuration view", zap.Error(err))
		return
	}
	if merged {
		e.requestDocument(v.Revision)
	}
}
