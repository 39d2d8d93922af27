package gateway

import (
	"slices"
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

// placerStateLoop tells the peers when this entry begins or ceases to have targets, and when
// its waiting work changes much. Answers of forwarded jobs carry the waiting work too.
func (g *Gateway) placerStateLoop() error {
	ticker := time.NewTicker(placerStateInterval)
	defer ticker.Stop()
	var sent wire.PlacerState
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
		}
		if !slices.Contains(g.placers(), g.node.Name) && sent.Targets == 0 && !g.scheduler.HasTargets() {
			continue
		}
		state := *g.placerState()
		if !stateChanged(sent, state) {
			continue
		}
		sent = state
		for _, l := range g.forwarder.links() {
			// Sending fails only on a closed link.
			_ = l.Send(&state)
		}
	}
}

// stateChanged reports whether peers should hear of a new state: targets or waiting tasks
// appeared or disappeared, or the waiting work has doubled or halved.
func stateChanged(before, now wire.PlacerState) bool {
	if (before.Targets == 0) != (now.Targets == 0) || (before.WaitingCPU == 0) != (now.WaitingCPU == 0) {
		return true
	}
	return now.WaitingCPU > 2*before.WaitingCPU || before.WaitingCPU > 2*now.WaitingCPU
}
