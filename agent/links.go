package agent

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

const (
	// subsetInterval is the mean time between two checks of the subset. Moving a
	// link takes a few checks.
	subsetInterval = 500 * time.Millisecond
	// leaveDelay is how long a link stays open after the entry was sent a Leave
	// message, so that starts in transit still arrive.
	leaveDelay = 2 * time.Second
)

// subsetLinks is the state of an agent that links to a subset of the entries.
type subsetLinks struct {
	lists        map[string][]wire.Peer // by the entry that sent the list, itself first
	keepLinked   map[string]bool        // addresses to keep linked
	leavingSince map[string]time.Time   // by entry name: when Leave was sent
}

func newSubsetLinks() subsetLinks {
	return subsetLinks{
		lists:        make(map[string][]wire.Peer),
		keepLinked:   make(map[string]bool),
		leavingSince: make(map[string]time.Time),
	}
}

// subsetLoop maintains links to the agent's subset of the live entries.
func (p *Process) subsetLoop() error {
	for p.tomb.Alive() {
		p.mu.Lock()
		open, closing := p.adjustSubset(time.Now())
		p.mu.Unlock()
		for _, address := range open {
			p.dial(address)
		}
		for _, l := range closing {
			_ = l.Close(nil)
		}
		p.pause(subsetInterval)
	}
	return nil
}

// adjustSubset moves at most one link and returns the addresses to dial and the links
// to close. It must be called with mu held.
func (p *Process) adjustSubset(now time.Time) (dial []string, closing []*transport.Link) {
	linked := p.linkedNames()
	live := p.liveEntries(linked)
	if len(linked) == 0 {
		p.bootstrap(live)
	}
	staying := slices.DeleteFunc(slices.Clone(linked), func(name string) bool { return !p.subset.leavingSince[name].IsZero() })
	chosen := topology.Subset(p.settings.Name, live, p.settings.EntryLinks)
	open, end := topology.NextMove(chosen, staying, p.settings.EntryLinks)
	for _, peer := range open {
		p.subset.keepLinked[peer.Address] = true
	}
	if end != "" {
		p.subset.leavingSince[end] = now
		p.agent.LeaveEntry(end)
	}
	for address := range p.subset.keepLinked {
		dial = append(dial, address)
	}
	return dial, p.finishedLinks(now)
}

// bootstrap selects one random entry to link to while none is linked, so that the
// agents of a starting fleet do not all open links to every entry.
func (p *Process) bootstrap(live []wire.Peer) {
	addresses := slices.Clone(p.settings.Entries)
	for _, peer := range live {
		addresses = append(addresses, peer.Address)
	}
	clear(p.subset.keepLinked)
	if len(addresses) > 0 {
		p.subset.keepLinked[addresses[rand.N(len(addresses))]] = true
	}
}

// finishedLinks returns the links whose entries were sent Leave at least leaveDelay
// ago and that have no work left.
func (p *Process) finishedLinks(now time.Time) (closing []*transport.Link) {
	for l := range p.links {
		since := p.subset.leavingSince[l.Name()]
		if since.IsZero() || now.Sub(since) < leaveDelay || !p.agent.Idle(l.Name()) {
			continue
		}
		if list := p.subset.lists[l.Name()]; len(list) > 0 {
			delete(p.subset.keepLinked, list[0].Address)
		}
		closing = append(closing, l)
	}
	return closing
}

func (p *Process) linkedNames() []string {
	var names []string
	for l := range p.links {
		if !slices.Contains(names, l.Name()) {
			names = append(names, l.Name())
		}
	}
	slices.Sort(names)
	return names
}

// liveEntries returns the entries in the lists of the linked entries or, while none is
// linked, in the latest lists of all sources.
func (p *Process) liveEntries(linked []string) []wire.Peer {
	latest := make(map[string]wire.Peer)
	for source, list := range p.subset.lists {
		if len(linked) > 0 && !slices.Contains(linked, source) {
			continue
		}
		for _, peer := range list {
			if peer.Incarnation >= latest[peer.Name].Incarnation {
				latest[peer.Name] = peer
			}
		}
	}
	var out []wire.Peer
	for _, peer := range latest {
		out = append(out, peer)
	}
	return out
}
