package topology_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
)

func livePeers(n int) []wire.Peer {
	var out []wire.Peer
	for i := range n {
		out = append(out, wire.Peer{Name: fmt.Sprintf("entry-%d", i)})
	}
	return out
}

// Guards against a hash that leaves some entries with far more agents than
// others, at the target size of 1,400 agents.
func TestSubsetIsBalanced(t *testing.T) {
	counts := map[string]int{}
	for i := range 1400 {
		for _, p := range topology.Subset(fmt.Sprintf("target-%04d", i), livePeers(30), 4) {
			counts[p.Name]++
		}
	}
	low, high := 5600, 0
	for _, n := range counts {
		low, high = min(low, n), max(high, n)
	}
	t.Logf("%d to %d agents an entry, mean %.0f", low, high, 5600.0/30)
	if len(counts) != 30 || high > 243 || low < 131 {
		t.Errorf("%d entries have %d to %d agents, want 30 within 30%% of the mean", len(counts), low, high)
	}
}

// Guards against moving links that are not affected when an entry joins or leaves.
func TestNewEntryMovesAtMostOneLinkPerAgent(t *testing.T) {
	moved := 0
	for i := range 1400 {
		name := fmt.Sprintf("target-%04d", i)
		before, after := topology.Subset(name, livePeers(30), 4), topology.Subset(name, livePeers(31), 4)
		lost := 0
		for _, p := range before {
			if !slices.Contains(after, p) {
				lost++
			}
		}
		if lost > 1 {
			t.Fatalf("%s moves %d links", name, lost)
		}
		moved += lost
	}
	t.Logf("%d of 5600 links move when a 31st entry comes", moved)
	if moved == 0 || moved > 250 {
		t.Errorf("%d links move, want about 181", moved)
	}
}

// Guards against closing an old link before its replacement is up, and against
// moving several links at once.
func TestNewLinkOpensBeforeOldLinkCloses(t *testing.T) {
	chosen := livePeers(3) // entry-0, entry-1, entry-2
	open, end := topology.NextMove(chosen, []string{"entry-8", "entry-9", "entry-0"}, 3)
	if len(open) != 1 || open[0].Name != "entry-1" || end != "" {
		t.Errorf("before entry-1 is linked: open %v, end %q", open, end)
	}
	open, end = topology.NextMove(chosen, []string{"entry-8", "entry-9", "entry-0", "entry-1"}, 3)
	if len(open) != 1 || end != "entry-8" {
		t.Errorf("after entry-1 is linked: open %v, end %q", open, end)
	}
	if open, end = topology.NextMove(chosen, []string{"entry-0", "entry-1", "entry-2"}, 3); len(open) != 0 || end != "" {
		t.Errorf("balanced: open %v, end %q", open, end)
	}
	if open, _ = topology.NextMove(chosen, nil, 3); len(open) != 3 {
		t.Errorf("without links: open %v", open)
	}
}
