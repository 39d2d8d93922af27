package topology

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/catkinline/catkinline/wire"
)

// Subset returns the n live entries that an agent links to, in order of descending
// score, or all for n = 0. Rendezvous hashing by the agent's name distributes the
// agents evenly over the entries without coordination, and moves only the links
// affected when an entry joins or leaves.
func Subset(agent string, live []wire.Peer, n int) []wire.Peer {
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b wire.Peer) int {
		return cmp.Or(cmp.Compare(score(agent, b.Name), score(agent, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	if n > 0 && n < len(ranked) {
		ranked = ranked[:n]
	}
	return ranked
}

// score returns the rendezvous-hashing weight of an entry for an agent. FNV alone
// leaves similar names in similar order, so its bits are mixed by the finalizer of
// MurmurHash3.
func score(agent, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(agent))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// NextMove returns the entries to link to and the entry to leave next. One link moves
// at a time: the new link is up before the old one is closed.
func NextMove(chosen []wire.Peer, linked []string, n int) (open []wire.Peer, end string) {
	extra := slices.Clone(linked)
	for _, p := range chosen {
		if i := slices.Index(extra, p.Name); i >= 0 {
			extra = slices.Delete(extra, i, i+1)
			continue
		}
		open = append(open, p)
	}
	room := max(1, n-len(linked))
	if len(open) > room {
		open = open[:room]
	}
	if len(extra) > 0 && len(linked) > len(chosen) {
		slices.Sort(extra)
		end = extra[0]
	}
	return open, end
}
