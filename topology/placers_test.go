package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
)

func names(peers []wire.Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

// entriesIn returns large and small entries in each of a number of failure domains.
func entriesIn(domains, large, small int) []wire.Peer {
	var out []wire.Peer
	for d := range domains {
		for i := range large + small {
			p := wire.Peer{Name: fmt.Sprintf("%c-%d", 'a'+d, i), FailureDomain: fmt.Sprint(d), CPU: 192}
			if i < large {
				p.CPU = 800
			}
			out = append(out, p)
		}
	}
	return out
}

// Guards against entries that select different placers than their peers, that prefer small
// entries to large ones, that select placers of few failure domains, or that leave a fleet
// without placers.
func TestPlacers(t *testing.T) {
	large := entriesIn(5, 3, 4)
	for _, c := range []struct {
		rules   topology.Rules
		entries []wire.Peer
		want    []string
	}{
		{topology.Rules{}, nil, nil},
		{topology.Rules{}, entriesIn(3, 1, 0), []string{"a-0", "b-0", "c-0"}},
		{topology.Rules{}, livePeers(6), []string{"entry-0", "entry-1", "entry-2"}},
		{topology.Rules{}, append(livePeers(5), wire.Peer{Name: "x", CPU: 1}), []string{"x", "entry-0", "entry-1"}},
		{topology.Rules{}, entriesIn(3, 2, 3), []string{"a-0", "b-0", "c-0"}},
		{topology.Rules{}, large, []string{"a-0", "b-0", "c-0", "d-0", "e-0", "a-1", "b-1"}},
		{topology.Rules{PlacerCount: 1}, entriesIn(2, 1, 0), []string{"a-0"}},
		{topology.Rules{PlacerCount: 4}, entriesIn(2, 1, 0), []string{"a-0", "b-0"}},
	} {
		got := names(c.rules.Placers(c.entries, nil))
		reversed := slices.Clone(c.entries)
		slices.Reverse(reversed)
		again := names(c.rules.Placers(reversed, nil))
		if !slices.Equal(got, c.want) || !slices.Equal(again, c.want) {
			t.Errorf("got %v, in another order %v, want %v", got, again, c.want)
		}
	}
	if n := (topology.Rules{}).LinksPerTarget(3); n != 3 {
		t.Errorf("a target of 3 entries has %d links, want one to each", n)
	}
	if n := (topology.Rules{}).LinksPerTarget(35); n != 2 {
		t.Errorf("a target of 35 entries has %d links, want 2", n)
	}
}
