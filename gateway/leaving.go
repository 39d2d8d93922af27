package gateway

import (
	"maps"
	"sync/atomic"

	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
)

// leavingEntries are the entries that have said that they have begun a planned stop, this one among
// them. It is safe for concurrent use.
type leavingEntries struct {
	known atomic.Pointer[topology.Leaving] // never changed, but replaced
}

func newLeavingEntries() *leavingEntries {
	l := new(leavingEntries)
	l.known.Store(&topology.Leaving{})
	return l
}

// add records that a process of an entry stops, and reports whether that is new.
func (l *leavingEntries) add(name string, process wire.Incarnation) bool {
	for {
		old := l.known.Load()
		if known, leaving := (*old)[name]; leaving && known >= process {
			return false
		}
		next := maps.Clone(*old)
		next[name] = process
		if l.known.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// peerLeaves records that a peer has begun a planned stop, and links to the placers that are chosen
// without it.
func (g *Gateway) peerLeaves(l peerLink) {
	if g.leaving.add(l.Name(), l.Incarnation()) {
		g.updateDials(g.members.Snapshot().Direct)
	}
}
