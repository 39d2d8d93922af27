package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// Timing of the links between entries.
const (
	// peerStateInterval is the longest time between two reports of quota usage to
	// the peers while demand changes little.
	peerStateInterval = 500 * time.Millisecond
	// quotaInterval is how often an entry checks whether demand has changed so much
	// that its peers should be informed at once.
	quotaInterval = 20 * time.Millisecond
	// dialInterval is the mean pause between attempts to connect to a peer, with
	// jitter so that entries that start together do not dial at the same moments.
	dialInterval = time.Second
	// firstDialDelay is how long, of two entries, the one with the higher address
	// waits before its first attempt, so that they do not open two links to each
	// other.
	firstDialDelay = 3 * time.Second
)

func (e *Entry) peerUp(l *transport.Link) {
	e.mu.Lock()
	e.peers[l] = true
	e.mu.Unlock()
	e.updatePeers()
	e.log.Info("peer linked", zap.String("peer", l.Name()))
	_ = l.Send(e.peersMessage())
}

func (e *Entry) peerDown(l *transport.Link, err error) {
	e.mu.Lock()
	delete(e.peers, l)
	gone := !e.hasPeerLinkLocked(l.Name())
	e.mu.Unlock()
	e.countClosed(err)
	if gone {
		e.members.RemoveLinked(wire.Peer{Name: l.Name(), Incarnation: l.Incarnation()})
		e.log.Info("peer link ended", zap.String("peer", l.Name()), zap.Error(err))
	}
}

func (e *Entry) hasPeerLinkLocked(name string) bool {
	for l := range e.peers {
		if l.Name() == name {
			return true
		}
	}
	return false
}

// handlePeer handles a message from another entry.
func (e *Entry) handlePeer(l *transport.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		e.handleRevision(l, m.Revision)
	case *wire.PeerState:
		e.handleRevision(l, m.Revision)
		e.handlePeerState(l, m)
	case *wire.DocumentRequest:
		e.answerDocument(l, m)
	case *wire.Document:
		e.adoptDocument(m)
	case *wire.Peers:
		e.handlePeers(l, m)
	}
}

// handleRevision requests a peer's configuration document if it is newer than the
// current one.
func (e *Entry) handleRevision(l *transport.Link, revision uint64) {
	e.recordConfirmed(l.Name(), revision)
	if known := e.config.Current().Revision(); revision > known {
		_ = l.Send(&wire.DocumentRequest{NewerThan: known})
	}
}

// requestDocument requests the configuration document from every peer and the store
// if an agent's view has shown that a newer revision exists.
func (e *Entry) requestDocument(revision uint64) {
	known := e.config.Current().Revision()
	if known >= revision {
		return
	}
	if e.watcher != nil {
		e.watcher.Refresh()
	}
	for _, l := range e.peerLinks() {
		_ = l.Send(&wire.DocumentRequest{NewerThan: known})
	}
}

func (e *Entry) answerDocument(l *transport.Link, m *wire.DocumentRequest) {
	current := e.config.Current()
	if current.Revision() > m.NewerThan {
		_ = l.Send(&wire.Document{Revision: current.Revision(), Body: current.Body()})
	}
}

func (e *Entry) adoptDocument(m *wire.Document) {
	if _, err := e.config.AdoptStored(m.Revision, m.Body); err != nil {
		e.log.Warn("peer sent an invalid configuration", zap.Uint64("revision", m.Revision), zap.Error(err))
	}
}

func (e *Entry) peerLinks() []*transport.Link {
	e.mu.RLock()
	defer e.mu.RUnlock()
	links := make([]*transport.Link, 0, len(e.peers))
	for l := range e.peers {
		links = append(links, l)
	}
	return links
}

func (e *Entry) self() wire.Peer {
	return wire.Peer{
		Name:          e.settings.Name,
		Address:       e.settings.Advertise,
		FailureDomain: e.settings.FailureDomain,
		Region:        e.settings.Region,
		Incarnation:   e.incarnation,
	}
}

// peersMessage lists this entry first, so that the receiver knows the sender's
// address, followed by the peers that this entry knows directly and not from the
// lists of others.
func (e *Entry) peersMessage() *wire.Peers {
	return &wire.Peers{Peers: append([]wire.Peer{e.self()}, e.members.Snapshot().Direct...)}
}

// handlePeers adds the entries of a peer's list. Its first element is the sender.
func (e *Entry) handlePeers(l *transport.Link, m *wire.Peers) {
	if len(m.Peers) == 0 || m.Peers[0].Name != l.Name() {
		return
	}
	e.members.AddLinked(m.Peers[0])
	e.members.AddReported(m.Peers[1:])
}

// peerLoop sends agents and peers the list of entries after each change and starts
// dial loops for the other entries.
func (e *Entry) peerLoop() error {
	ticker := time.NewTicker(peerStateInterval)
	defer ticker.Stop()
	for _, address := range e.settings.Peers {
		e.dialPeer(address)
	}
	for {
		changed := e.members.Snapshot().Changed()
		e.updatePeers()
		for _, p := range e.members.Snapshot().Peers {
			e.dialPeer(p.Address)
		}
		select {
		case <-e.tomb.Dying():
			return nil
		case <-changed:
			e.broadcastPeers()
		case <-ticker.C:
		}
	}
}

// stateLoop sends this entry's state to its peers every peerStateInterval and soon
// after demand has changed.
func (e *Entry) stateLoop() error {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	var sent time.Time
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case now := <-ticker.C:
			if e.sendPeerStateIfDue(now.Sub(sent)) {
				sent = now
			}
		}
	}
}

// broadcastPeers sends the list of entries to every agent and peer.
func (e *Entry) broadcastPeers() {
	message := e.peersMessage()
	e.mu.RLock()
	defer e.mu.RUnlock()
	for l := range e.agents {
		_ = l.Send(message)
	}
	for l := range e.peers {
		_ = l.Send(message)
	}
}

// sendPeerStateIfDue sends this entry's state if peerStateInterval has passed or
// demand has changed, and reports whether it did.
func (e *Entry) sendPeerStateIfDue(age time.Duration) bool {
	e.updateDemand()
	if age < peerStateInterval && !e.quotas.reportDue() {
		return false
	}
	usage, ok := e.quotas.report(time.Now())
	if !ok && age < peerStateInterval {
		return false // the report is sent once the minimum interval between reports has passed
	}
	e.sendState(usage, ok)
	return true
}

// sendPeerState sends this entry's state to the peers at once.
func (e *Entry) sendPeerState() {
	e.updateDemand()
	e.sendState(e.quotas.report(time.Now()))
}

func (e *Entry) sendState(usage []wire.WorkspaceUsage, reported bool) {
	state := &wire.PeerState{
		Revision:      e.config.Current().Revision(),
		Workspaces:    usage,
		Leaving:       e.stopping.Load(),
		UsageReported: reported,
	}
	for _, l := range e.peerLinks() {
		_ = l.Send(state)
	}
}

// dialPeer starts a loop that maintains a link to an address, unless the address
// already has one.
func (e *Entry) dialPeer(address string) {
	if address == e.settings.Advertise {
		return
	}
	if _, running := e.dialling.LoadOrStore(address, true); running {
		return
	}
	e.tomb.Go(func() error {
		defer e.dialling.Delete(address)
		e.dialLoop(address)
		return nil
	})
}

func (e *Entry) dialLoop(address string) {
	ctx := e.tomb.Context(context.Background())
	if address < e.settings.Advertise {
		e.pause(firstDialDelay)
	}
	for e.tomb.Alive() && e.wanted(address) {
		if !e.hasPeerLinkTo(address) {
			_ = transport.Dial(ctx, address, e.linkOptions())
		}
		e.pause(dialInterval/2 + rand.N(dialInterval))
	}
}

// wanted reports whether an address belongs to a configured or a live entry.
func (e *Entry) wanted(address string) bool {
	for _, a := range e.settings.Peers {
		if a == address {
			return true
		}
	}
	for _, p := range e.members.Snapshot().Peers {
		if p.Address == address {
			return true
		}
	}
	return false
}

func (e *Entry) hasPeerLinkTo(address string) bool {
	for _, p := range e.members.Snapshot().Peers {
		if p.Address != address {
			continue
		}
		e.mu.RLock()
		defer e.mu.RUnlock()
		return e.hasPeerLinkLocked(p.Name)
	}
	return false
}

func (e *Entry) pause(d time.Duration) {
	select {
	case <-e.tomb.Dying():
	case <-time.After(d):
	}
}
