package sidecar

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// lookupLoop reads the list of entries from the store while no entry is linked.
func (p *Process) lookupLoop() error {
	var before []string
	for p.tomb.Alive() {
		interval := lookupInterval
		if p.linkCount() == 0 {
			peers, names := p.listEntries()
			switch {
			case len(peers) == 0:
			case p.listSettled(names, before):
				p.setList(topology.StoreList, peers)
			default:
				interval = listSettleInterval
			}
			before = names
		}
		p.sleepJittered(interval)
	}
	return nil
}

// listSettled reports whether a list of entries from the store may be used. At any start but
// the first one of the whole system, the store lists the entries of before, and their
// addresses hold.
func (p *Process) listSettled(names, before []string) bool {
	return !p.node.FirstStart || slices.Equal(names, before) || time.Since(p.created) > listSettleTimeout
}

// listEntries returns the entries that are registered in the store, and their sorted names.
func (p *Process) listEntries() (peers []wire.Peer, names []string) {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), lookupTimeout)
	defer cancel()
	peers, err := member.List(ctx, p.opts.Store)
	if err != nil {
		p.log.Warn("cannot list entries from the store", zap.Error(err))
		return nil, nil
	}
	for _, peer := range peers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return peers, names
}

func (p *Process) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// setList replaces the list of live entries from a source.
func (p *Process) setList(source string, peers []wire.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan.SetList(source, peers)
	p.updateLinks()
}

// entryLeaves links to another entry in place of one that has begun a planned stop.
func (p *Process) entryLeaves(l *transport.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.Info("entry begins a planned stop", zap.String("entry", l.Name()))
	if p.open[l.Name()] == l {
		p.plan.Leaving(l.Name(), l.Incarnation())
		p.updateLinks()
	}
}

// linksLoop keeps the links to the entries that the plan selects.
func (p *Process) linksLoop() error {
	ticker := time.NewTicker(linksInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			p.mu.Lock()
			p.updateLinks()
			p.mu.Unlock()
		}
	}
}

// updateLinks starts the missing dial loops, and retires and closes the links that are no
// longer needed. It must be called with mu held.
func (p *Process) updateLinks() {
	moves := p.plan.Next(time.Now())
	clear(p.keep)
	for _, peer := range moves.Keep {
		p.keep[peer.Name] = peer
		if !p.dials[peer.Name] && p.tomb.Alive() {
			p.dials[peer.Name] = true
			p.log.Info("linking to an entry", zap.String("entry", peer.Name), zap.String("address", peer.Address))
			p.tomb.Go(func() error {
				p.dialLoop(peer.Name)
				return nil
			})
		}
	}
	for _, name := range moves.Retire {
		p.sidecar.Retire(name)
	}
	for _, name := range moves.Close {
		if l := p.open[name]; l != nil && p.sidecar.Idle(l) {
			_ = l.Close(nil)
		}
	}
}

// dialLoop keeps a link to an entry while it is to be kept.
func (p *Process) dialLoop(name string) {
	ctx := p.tomb.Context(context.Background())
	wait := dialInterval
	for p.tomb.Alive() {
		address, wanted := p.endDialUnlessKept(name)
		if !wanted {
			return
		}
		started := time.Now()
		err := transport.Dial(ctx, address, p.linkOptions())
		p.log.Debug("no link to entry", zap.String("entry", name), zap.String("address", address), zap.Error(err))
		wait = min(2*wait, maxDialInterval)
		if time.Since(started) > maxDialInterval {
			wait = dialInterval
		}
		p.sleepJittered(wait)
	}
}

// endDialUnlessKept returns the address of an entry and whether it is to be linked. If not, it
// records that the entry's dialLoop ends.
func (p *Process) endDialUnlessKept(name string) (address string, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, kept := p.keep[name]
	if !kept {
		delete(p.dials, name)
	}
	return peer.Address, kept
}

// linkHandler passes link events to the sidecar.
type linkHandler struct{ p *Process }

// LinkUp implements transport.Handler.
func (h linkHandler) LinkUp(l *transport.Link) {
	p := h.p
	p.sidecar.LinkUp(l)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[l.Name()] = l
	p.plan.LinkUp(l.Name(), time.Now())
}

// LinkDown implements transport.Handler.
func (h linkHandler) LinkDown(l *transport.Link, err error) {
	p := h.p
	p.sidecar.LinkDown(l, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[l.Name()] == l {
		delete(p.open, l.Name())
		p.plan.LinkDown(l.Name())
		p.updateLinks()
	}
}

// Handle implements transport.Handler.
func (h linkHandler) Handle(l *transport.Link, m wire.Message) {
	switch m := m.(type) {
	case *wire.Peers:
		h.p.setList(l.Name(), m.Peers)
	case *wire.Leave:
		h.p.entryLeaves(l)
	default:
		h.p.sidecar.Handle(l, m)
	}
}
