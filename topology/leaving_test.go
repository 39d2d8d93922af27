package topology_test

import (
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/topology"
)

// Guards against placing that moves to an entry that is about to end, against a number of placers that changes
// with each planned stop, and against an entry that is not used again after its restart. Load: the entries of a
// deployment stop in turn, 1 to 2 s apart.
func TestStoppingEntriesAreNoPlacers(t *testing.T) {
	entries := entriesIn(3, 1, 3)
	before := names((topology.Rules{}).Placers(entries, nil))
	leaving := topology.Leaving{before[0]: 7, before[1]: 7}
	after := names((topology.Rules{}).Placers(entries, leaving))
	if len(after) != len(before) || slices.Contains(after, before[0]) || slices.Contains(after, before[1]) {
		t.Errorf("placers %v while %v stop, want %d others", after, leaving, len(before))
	}
	if !slices.Contains(after, before[2]) {
		t.Errorf("placers %v, want %s still among them", after, before[2])
	}
	for i := range entries {
		entries[i].Incarnation = 8
	}
	if again := names((topology.Rules{}).Placers(entries, leaving)); !slices.Equal(again, before) {
		t.Errorf("placers %v after the restarts, want %v", again, before)
	}
	for i := range entries {
		leaving[entries[i].Name] = 8
	}
	if all := (topology.Rules{}).Placers(entries, leaving); len(all) != len(before) {
		t.Errorf("%d placers while all entries stop, want %d", len(all), len(before))
	}
}

// Guards against targets whose agents link to an entry that no gateway sends jobs to, in place of a placer that
// stops.
func TestSubstituteOfStoppingPlacerIsPlacer(t *testing.T) {
	live := entriesIn(3, 1, 3)
	for _, agent := range []string{"agent-0", "agent-1", "agent-2", "agent-3", "agent-4", "agent-5", "agent-6", "agent-7"} {
		a := newSimAgent(agent)
		a.SetList(topology.StoreList, live)
		a.run(5 * time.Second)
		a.list(live)
		leaving := topology.Leaving{}
		for _, name := range chosenBy(agent, live) {
			a.Leaving(name, 0)
			leaving[name] = 0
		}
		a.run(2 * step)
		placers := names((topology.Rules{}).Placers(live, leaving))
		linked := slices.DeleteFunc(a.links(), func(name string) bool { return !slices.Contains(placers, name) })
		if len(linked) != 2 {
			t.Errorf("%s: linked to %v while %v stop, want two of the placers %v", agent, a.links(), leaving, placers)
		}
	}
}
