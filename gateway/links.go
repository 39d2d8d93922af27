package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

func (g *Gateway) linkOptions() transport.Options {
	return transport.Options{
		Self:        transport.Identity{Role: wire.RoleEntry, Name: g.node.Name},
		Incarnation: g.incarnation,
		Credentials: g.credentials,
		Handler:     linkHandler{g},
		Revision:    g.version,
		Counter:     metrics.MessageCounter{Registry: g.opts.Metrics},
		Timing:      LinkTiming,
		Idle:        g.idle,
		OriginAge:   g.originAge,
		Messages:    g.messages,
		HandshakeRefused: func() {
			g.opts.Metrics.Add(metrics.HandshakesRefused, 1)
		},
	}
}

// originAge returns how long ago the peers whose jobs have runs at an agent were all known to be
// alive. Jobs that are forwarded over a link to a peer are those of this entry's callers.
func (g *Gateway) originAge(l *transport.Link) time.Duration {
	if l.Role() == wire.RoleEntry {
		return 0
	}
	return g.scheduler.OriginAge(l.Name())
}

// idle reports whether it does no harm to detect the loss of a link late: the link leads to a
// peer without forwarded jobs, or to an agent without a run of this entry.
func (g *Gateway) idle(l *transport.Link) bool {
	if l.Role() == wire.RoleEntry {
		return !g.forwarder.hasJobs(l)
	}
	return g.scheduler.Idle(l.Name())
}

// linkHandler passes link events to the gateway.
type linkHandler struct{ g *Gateway }

// LinkUp implements transport.Handler.
func (h linkHandler) LinkUp(l *transport.Link) {
	g := h.g
	if l.Role() == wire.RoleEntry {
		g.peerUp(l)
		return
	}
	g.mu.Lock()
	g.agents[l] = true // from here on, changes of the evacuations are sent on the link
	g.mu.Unlock()
	g.sendEvacuations(l)
	if !g.scheduler.LinkUp(l.Name(), l.Incarnation(), l) {
		g.log.Warn("refused a link from an earlier incarnation of an agent", zap.String("agent", l.Name()))
		g.mu.Lock()
		delete(g.agents, l)
		g.mu.Unlock()
		_ = l.Close(nil)
		return
	}
	_ = l.Send(g.peersMessage())
	if g.stopping.Load() {
		_ = l.Send(leaveMessage())
	}
}

// LinkDown implements transport.Handler.
func (h linkHandler) LinkDown(l *transport.Link, err error) {
	g := h.g
	if l.Role() == wire.RoleEntry {
		g.peerDown(l, err)
		return
	}
	g.mu.Lock()
	delete(g.agents, l)
	g.mu.Unlock()
	g.log.Info("agent link ended", zap.String("agent", l.Name()), zap.Error(err))
	g.scheduler.LinkDown(l.Name(), l, time.Now())
}

// Handle implements transport.Handler.
func (h linkHandler) Handle(l *transport.Link, m wire.Message) {
	g := h.g
	g.checkPause()
	if l.Role() == wire.RoleEntry {
		g.handlePeer(l, m)
		return
	}
	now := time.Now()
	switch m := m.(type) {
	case *wire.TargetState:
		if r := g.scheduler.HandleState(l.Name(), l, m, now); r != nil {
			g.sendToPeers(wire.NewCrashReport(*r, now))
		}
	case *wire.Room:
		g.scheduler.HandleRoom(l.Name(), l, m, now)
	case *wire.RunEnd:
		g.handleRunEnd(l.Name(), l, m, now)
	case *wire.CrashReport:
		g.handleAgentCrash(m)
	}
}

// handleRunEnd handles the end of a run. The evacuations that an agent refused it by apply before its
// task is placed again.
func (g *Gateway) handleRunEnd(agent string, l placement.Sender, m *wire.RunEnd, now time.Time) {
	if m.Evacuations != nil {
		g.opts.Metrics.Add(metrics.EvacuationRefusals, 1)
		g.adoptEvacuations(m.Evacuations.State(), "agent "+agent)
	}
	g.scheduler.HandleRunEnd(agent, l, m, now)
}

// closeLinks closes all links. Messages that arrived on them are not handled any more, so that
// those of later links are the only ones that are.
func (g *Gateway) closeLinks(reason string) {
	now := time.Now()
	g.mu.Lock()
	agents := slices.Collect(maps.Keys(g.agents))
	g.mu.Unlock()
	g.scheduler.DropLinks(now)
	for _, l := range agents {
		_ = l.Close(Error.New("%s", reason)) // never fails
	}
	for _, l := range g.forwarder.links() {
		g.endForwarded(l)
		_ = l.Close(Error.New("%s", reason)) // never fails
	}
}

// entries returns this entry and the peers that it knows from the store or a link.
func (g *Gateway) entries() []wire.Peer {
	return append([]wire.Peer{g.self()}, g.members.Snapshot().Direct...)
}

// peersMessage lists this entry and the peers that it knows from the store or a link; peers
// that were only reported by others are left out.
func (g *Gateway) peersMessage() *wire.Peers {
	return &wire.Peers{Peers: g.entries()}
}

// newPeerLink is a link to a peer entry that has just been opened.
type newPeerLink interface {
	peerLink
	SendHeartbeat() error
}

func (g *Gateway) peerUp(l newPeerLink) {
	g.log.Info("peer linked", zap.String("peer", l.Name()))
	g.sendEvacuations(l)
	g.forwarder.linkUp(l)
	g.sendEvacuations(l) // again: the state may have changed before the link was listed
	_ = l.SendHeartbeat()
	g.sendCrashes(l)
	g.sendCancelled(l)
	_ = l.Send(g.placerState())
}

func (g *Gateway) peerDown(l *transport.Link, err error) {
	g.log.Info("peer link ended", zap.String("peer", l.Name()), zap.Error(err))
	g.endForwarded(l)
}

// endForwarded ends the jobs that were sent and received over a link that has ended.
func (g *Gateway) endForwarded(l peerLink) {
	now := time.Now()
	for _, t := range g.forwarder.linkDown(l) {
		t.Cancel(now)
	}
}

func (g *Gateway) handlePeer(l peerLink, m wire.Message) {
	if !g.forwarder.linked(l) {
		return // closed after a pause of this process
	}
	switch m := m.(type) {
	case *wire.Heartbeat:
		if known := g.version(); m.Revision > known {
			_ = l.Send(&wire.DocumentRequest{NewerThan: known})
		}
	case *wire.DocumentRequest:
		if t := g.routes.Load(); t != nil && t.Version > m.NewerThan {
			_ = l.Send(&wire.Document{Revision: t.Version, Body: t.Document})
		}
	case *wire.Evacuations:
		g.adoptEvacuations(m.State(), "peer "+l.Name())
	case *wire.Document:
		if g.evacuations.Load() != nil { // otherwise it is asked for again at the next heartbeat
			g.applyRoutes(m.Body, "peer "+l.Name())
		}
	case *wire.PlacerState:
		g.contact.told(time.Now()) // at the start of a link it follows the cancelled jobs
		g.forwarder.handleState(l, m, time.Now())
		if m.Stopping {
			g.peerLeaves(l)
		}
	case *wire.CrashReport:
		g.handlePeerCrash(m)
	case *wire.JobsCancelled:
		g.handleCancelled(l, m)
	case *wire.CancelReceipt:
		g.receipts.received(m.Request)
	case *wire.JobForward:
		g.handleForward(l, m)
	case *wire.JobAnswer:
		g.forwarder.handleAnswer(l, m, time.Now())
	case *wire.JobCancel:
		if t := g.forwarder.removeReceived(l, m.RequestID); t != nil {
			t.Cancel(time.Now())
		}
	}
}

// peerLoop sends the list of live entries to the agents and keeps a link between this entry
// and each placer, or each entry if this one is a placer. While entries come and go, the agents
// get one list in agentListInterval: a list of a large fleet takes three packets to each agent.
func (g *Gateway) peerLoop() error {
	ticker := time.NewTicker(agentListInterval)
	defer ticker.Stop()
	var listed *member.Snapshot
	for {
		snapshot := g.members.Snapshot()
		g.updateDials(snapshot.Direct)
		select {
		case <-g.tomb.Dying():
			return nil
		case <-snapshot.Changed():
		case <-ticker.C:
			if listed != snapshot {
				listed = snapshot
				g.listEntries()
			}
			g.endUnneededDials()
		}
	}
}

// listEntries sends the list of live entries to the agents.
func (g *Gateway) listEntries() {
	message := g.peersMessage()
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.agents {
		// Sending fails only on a closed link.
		_ = l.Send(message)
	}
}

// updateDials starts the missing dial loops.
func (g *Gateway) updateDials(peers []wire.Peer) {
	for _, p := range peers {
		if !dialsPeer(g.placers(), g.node.Name, p.Name) || g.stopping.Load() && g.forwarder.linkedTo(p.Name) {
			continue // an entry that stops keeps the links that peers have dialled
		}
		g.dial(p)
	}
}

// dialsPeer reports whether an entry dials a peer: it dials placers, and of two placers the one
// whose name sorts first does. An entry that restarts so reaches the placers at once, and does
// not wait until they have lost the link to its earlier process.
func dialsPeer(placers []string, self, peer string) bool {
	if !slices.Contains(placers, peer) {
		return false
	}
	return !slices.Contains(placers, self) || self < peer
}

// endUnneededDials ends the dial loops, with their links, to listed peers that need not be
// dialled any more, are offered no jobs and have none of this entry. A link to a peer that is not listed stays
// until it fails: the peer may only be cut off from the store.
func (g *Gateway) endUnneededDials() {
	offered := g.offered()
	for _, p := range g.members.Snapshot().Direct {
		if dialsPeer(g.placers(), g.node.Name, p.Name) || slices.Contains(offered, p.Name) || g.forwarder.hasJobsWith(p.Name) {
			continue
		}
		if leaving := *g.leaving.known.Load(); g.stopping.Load() || leaving.Has(p) {
			continue // the link ends with the process that stops; until then, cancellings use it
		}
		g.mu.Lock()
		if end := g.dials[p.Address]; end != nil {
			end()
		}
		g.mu.Unlock()
	}
}

func (g *Gateway) dial(p wire.Peer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dials[p.Address] != nil {
		return
	}
	ctx, end := context.WithCancel(g.tomb.Context(context.Background()))
	g.dials[p.Address] = end
	g.tomb.Go(func() error {
		defer end()
		for ctx.Err() == nil && g.isListed(p.Address) {
			if err := transport.Dial(ctx, p.Address, g.linkOptions()); err != nil {
				g.log.Debug("no link to peer", zap.String("address", p.Address), zap.Error(err))
			}
			select {
			case <-ctx.Done():
			case <-time.After(dialInterval):
			}
		}
		g.mu.Lock()
		delete(g.dials, p.Address)
		g.mu.Unlock()
		return nil
	})
}

func (g *Gateway) isListed(address string) bool {
	return slices.ContainsFunc(g.members.Snapshot().Direct, func(p wire.Peer) bool { return p.Address == address })
}
