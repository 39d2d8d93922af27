// Package topology decides which entries place jobs on targets, and which entries each
// agent is linked to. All processes that know the same entries decide alike, so nothing
// is agreed on; views that differ for a moment cost messages, but no job.
//
// The package does no I/O and starts no goroutines.
package topology

import (
	"cmp"
	"slices"
	"strings"

	"github.com/catkinline/catkinline/wire"
)

const (
	// minEntriesForPlacers is the number of entries below which each entry places its own
	// jobs. With few entries, the gain from placers is smaller than the loss when one runs on
	// an instance that becomes slow, which delays the jobs of all entries.
	minEntriesForPlacers = 6
	// entriesPerPlacer is the number of entries for which one placer places jobs. With fewer
	// placers, more jobs are ordered by priority against each other, but one placer with 0.8
	// cores is limited to about 900 jobs per second.
	entriesPerPlacer = 5
	// minPlacers bounds the share of the jobs that the loss of one placer affects.
	minPlacers = 3
	// linksPerTarget is how many placers an agent is linked to, if not every entry is a placer.
	// With one link, jobs wait at one placer while another has free targets, and nothing places
	// on a target while its placer restarts. Each link costs a report of each change of free
	// capacity.
	linksPerTarget = 2
)

// Rules are the rules by which placers and links are chosen. The zero value chooses by the
// number of entries. All processes of a deployment need the same rules.
type Rules struct {
	PlacerCount int // number of placers; 0: by the number of entries
}

// placersOf returns the number of placers among a number of entries.
func (r Rules) placersOf(entries int) int {
	switch {
	case r.PlacerCount > 0:
		return min(r.PlacerCount, entries)
	case entries < minEntriesForPlacers:
		return entries
	}
	return max(minPlacers, (entries+entriesPerPlacer-1)/entriesPerPlacer)
}

// Placers selects the entries that place the jobs of all: those with the most CPU, spread
// over as many failure domains as possible. With few entries, all are placers. An entry that
// does not announce its CPU, and one that has begun a planned stop, is selected only if no other is
// left. The number of placers does not change with planned stops.
func (r Rules) Placers(entries []wire.Peer, leaving Leaving) []wire.Peer {
	count := r.placersOf(len(entries))
	inDomain := make(map[string]int)
	candidates := slices.Clone(entries)
	var placers []wire.Peer
	for len(placers) < count {
		best := slices.MinFunc(candidates, func(a, b wire.Peer) int {
			return cmp.Or(leaving.compare(a, b), cmp.Compare(b.CPU, a.CPU), cmp.Compare(inDomain[a.FailureDomain], inDomain[b.FailureDomain]), strings.Compare(a.Name, b.Name))
		})
		candidates = slices.DeleteFunc(candidates, func(p wire.Peer) bool { return p.Name == best.Name })
		inDomain[best.FailureDomain]++
		placers = append(placers, best)
	}
	return placers
}

// LinksPerTarget returns the number of entries that an agent is linked to.
func (r Rules) LinksPerTarget(entries int) int {
	placers := r.placersOf(entries)
	if placers == entries {
		return entries
	}
	return min(linksPerTarget, placers)
}
