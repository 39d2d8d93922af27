package gateway

import (
	"time"

	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// placerChoice is the placers that follow from a list of entries.
type placerChoice struct {
	snapshot *member.Snapshot
	names    []string
}

// placers returns the names of the entries that place jobs.
func (g *Gateway) placers() []string {
	snapshot := g.members.Snapshot()
	if c := g.chosenPlacers.Load(); c != nil && c.snapshot == snapshot {
		return c.names
	}
	c := &placerChoice{snapshot: snapshot}
	for _, p := range g.opts.Topology.Placers(append([]wire.Peer{g.self()}, snapshot.Direct...)) {
		c.names = append(c.names, p.Name)
	}
	g.chosenPlacers.Store(c)
	return c.names
}

// isolated reports whether this entry has had neither a target nor a placer for so long that
// callers should use another entry.
func (g *Gateway) isolated(now time.Time) bool {
	if !g.scheduler.Isolated(now) {
		return false
	}
	if g.forwarder.reachable(g.placers()) {
		g.lastReachable.Store(int64(now.Sub(g.created)))
		return false
	}
	return now.Sub(g.created)-time.Duration(g.lastReachable.Load()) > placement.IsolationTimeout
}

func (g *Gateway) placerState() *wire.PlacerState {
	state := &wire.PlacerState{WaitingCPU: g.scheduler.WaitingCPU()}
	if !g.stopping.Load() {
		state.Targets = uint32(g.scheduler.UsableTargets())
	}
	return state
}

// placerStateLoop tells the peers when this entry begins or ceases to have targets, and gives its jobs up
// when it is cut off. The answers of forwarded jobs carry its waiting work.
func (g *Gateway) placerStateLoop() error {
	ticker := time.NewTicker(placerStateInterval)
	defer ticker.Stop()
	hadTargets := false
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		g.checkContact(time.Now())
		state := g.placerState()
		if hasTargets := state.Targets > 0; hasTargets != hadTargets {
			hadTargets = hasTargets
			g.sendToPeers(state)
		}
	}
}

// sendToPeers sends a message to all linked peers.
func (g *Gateway) sendToPeers(m wire.Message) {
	for _, l := range g.forwarder.links() {
		// Sending fails only on a closed link.
		_ = l.Send(m)
	}
}
