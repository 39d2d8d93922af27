package gateway

import (
	"time"

	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
)

// placerChoice is the placers that follow from a list of entries and those of them that stop.
type placerChoice struct {
	snapshot *member.Snapshot
	leaving  *topology.Leaving
	names    []string
}

// placers returns the names of the entries that place jobs.
func (g *Gateway) placers() []string {
	snapshot, leaving := g.members.Snapshot(), g.leaving.known.Load()
	if c := g.chosenPlacers.Load(); c != nil && c.snapshot == snapshot && c.leaving == leaving {
		return c.names
	}
	c := &placerChoice{snapshot: snapshot, leaving: leaving}
	for _, p := range g.opts.Topology.Placers(append([]wire.Peer{g.self()}, snapshot.Direct...), *leaving) {
		c.names = append(c.names, p.Name)
	}
	g.chosenPlacers.Store(c)
	return c.names
}

// offered returns the names of the entries that jobs may be offered to: the placers, and the earlier ones until these
// have targets.
func (g *Gateway) offered() []string { return g.forwarder.offered(g.placers()) }

// isolated reports whether this entry has had neither a target nor a placer for so long that
// callers should use another entry.
func (g *Gateway) isolated(now time.Time) bool {
	if !g.scheduler.Isolated(now) {
		return false
	}
	if g.forwarder.reachable(g.offered()) {
		g.lastReachable.Store(int64(now.Sub(g.created)))
		return false
	}
	return now.Sub(g.created)-time.Duration(g.lastReachable.Load()) > placement.IsolationTimeout
}

func (g *Gateway) placerState() *wire.PlacerState {
	state := &wire.PlacerState{WaitingCPU: g.scheduler.WaitingCPU(), Stopping: g.stopping.Load()}
	if !state.Stopping {
		state.Targets = uint32(g.scheduler.UsableTargets())
	}
	return state
}

// placerStateLoop tells the peers when the number of targets of this entry changes much, and gives its jobs up
// when it is cut off. The answers of forwarded jobs carry its waiting work.
func (g *Gateway) placerStateLoop() error {
	ticker := time.NewTicker(placerStateInterval)
	defer ticker.Stop()
	told := uint32(0)
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		g.checkContact(time.Now())
		state := g.placerState()
		g.usableTargets.Store(state.Targets)
		if changedMuch(told, state.Targets) {
			told = state.Targets
			g.sendToPeers(state)
		}
	}
}

// changedMuch reports whether the peers should know of a change of the number of targets: they choose
// among placers by it, but a few more or less make no difference.
func changedMuch(told, targets uint32) bool {
	difference := max(told, targets) - min(told, targets)
	return (told == 0) != (targets == 0) || difference > max(told, targets)/8
}

// sendToPeers sends a message to all linked peers.
func (g *Gateway) sendToPeers(m wire.Message) {
	for _, l := range g.forwarder.links() {
		// Sending fails only on a closed link.
		_ = l.Send(m)
	}
}
