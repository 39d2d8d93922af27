package topology_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
)

// simAgent is an agent in virtual time. Each step it opens the links to reachable entries that
// its Links selects, and closes those that may be closed.
type simAgent struct {
	*topology.Links
	now    time.Time
	linked map[string]bool
	down   map[string]bool // entries that cannot be reached
	opened map[string]int  // links opened, by entry
	closed int
}

const step = 100 * time.Millisecond

func newSimAgent(name string) *simAgent {
	return &simAgent{
		Links: topology.NewLinks(name, topology.Rules{}), now: time.Unix(100, 0),
		linked: map[string]bool{}, down: map[string]bool{}, opened: map[string]int{},
	}
}

func (a *simAgent) run(d time.Duration) (fewest int) {
	fewest = len(a.linked)
	for end := a.now.Add(d); a.now.Before(end); a.now = a.now.Add(step) {
		for name := range a.linked {
			if a.down[name] {
				delete(a.linked, name)
				a.LinkDown(name)
			}
		}
		m := a.Next(a.now)
		for _, p := range m.Keep {
			if !a.linked[p.Name] && !a.down[p.Name] {
				a.linked[p.Name] = true
				a.opened[p.Name]++
				a.LinkUp(p.Name, a.now)
			}
		}
		for _, name := range m.Close {
			delete(a.linked, name)
			a.closed++
			a.LinkDown(name)
		}
		fewest = min(fewest, len(a.linked))
	}
	return fewest
}

// list makes every linked entry send the list of live entries.
func (a *simAgent) list(live []wire.Peer) {
	for name := range a.linked {
		a.SetList(name, live)
	}
}

func (a *simAgent) links() []string {
	var out []string
	for name := range a.linked {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// chosenBy returns the two placers that an agent should be linked to.
func chosenBy(agent string, live []wire.Peer) []string {
	out := names(topology.Subset(agent, (topology.Rules{}).Placers(live, nil), 2))
	slices.Sort(out)
	return out
}

func started(live []wire.Peer) *simAgent {
	a := newSimAgent("agent-1")
	a.SetList(topology.StoreList, live)
	a.run(step)
	a.list(live)
	a.run(3 * time.Second)
	return a
}

// Guards against an agent that stays with one link, or none, while a placer that was killed
// is away, and against moving its links for good when the placer is back.
func TestLinksOfKilledPlacer(t *testing.T) {
	live := entriesIn(5, 3, 4)
	a := started(live)
	chosen := chosenBy("agent-1", live)
	if !slices.Equal(a.links(), chosen) {
		t.Fatalf("linked to %v, want %v", a.links(), chosen)
	}
	a.down[chosen[0]] = true
	if fewest := a.run(3 * time.Second); fewest != 1 || len(a.linked) != 2 {
		t.Errorf("%d links while one placer is away, at least %d; want 2 and 1", len(a.linked), fewest)
	}
	delete(a.down, chosen[0])
	if fewest := a.run(6 * time.Second); fewest < 2 || !slices.Equal(a.links(), chosen) {
		t.Errorf("after its return linked to %v, at least %d links; want %v, 2", a.links(), fewest, chosen)
	}
}

// Guards against a target that one placer less can use for the whole planned stop of another:
// the agent links to a substitute at once, and keeps the link over which runs continue.
func TestLinksOfStoppingPlacer(t *testing.T) {
	live := entriesIn(5, 3, 4)
	a := started(live)
	chosen := chosenBy("agent-1", live)
	a.Leaving(chosen[0], 0)
	a.run(2 * step)
	if len(a.linked) != 3 || !a.linked[chosen[0]] {
		t.Errorf("linked to %v right after %s began to stop, want it, %s and a substitute", a.links(), chosen[0], chosen[1])
	}
	a.down[chosen[0]] = true
	a.run(2 * time.Second)
	delete(a.down, chosen[0])
	a.run(6 * time.Second)
	if a.linked[chosen[0]] {
		t.Error("linked to the process that stops again")
	}
	a.list(startedAgain(live, chosen[0]))
	a.run(6 * time.Second)
	if !slices.Equal(a.links(), chosen) {
		t.Errorf("after its return linked to %v, want %v", a.links(), chosen)
	}
}

// startedAgain returns a list in which an entry is another process.
func startedAgain(live []wire.Peer, name string) []wire.Peer {
	listed := slices.Clone(live)
	for i := range listed {
		if listed[i].Name == name {
			listed[i].Incarnation++
		}
	}
	return listed
}

// Guards against an agent that waits for placers that are all unreachable, one after the
// other: each substitute may be unreachable as well.
func TestLinksPastUnreachablePlacers(t *testing.T) {
	live := entriesIn(5, 3, 4)
	a := started(live)
	order := names(topology.Subset("agent-1", (topology.Rules{}).Placers(live, nil), 0))
	for _, name := range order[:5] {
		a.down[name] = true
	}
	a.run(5 * time.Second)
	if want := order[5:]; len(a.linked) != 2 || !a.linked[want[0]] || !a.linked[want[1]] {
		t.Errorf("linked to %v, want the only reachable placers %v", a.links(), want)
	}
	a.down[order[5]], a.down[order[6]] = true, true
	a.run(3 * time.Second)
	if len(a.linked) != 2 {
		t.Errorf("linked to %v without a reachable placer, want two other entries", a.links())
	}
}

// Guards against an agent that dials every entry of a large fleet while all are away: all of
// them would get the handshakes of all agents when they are back.
func TestFewEntriesAreDialledAtATime(t *testing.T) {
	live := entriesIn(5, 3, 4)
	a := started(live)
	for _, p := range live {
		a.down[p.Name] = true
	}
	most := 0
	for range 100 {
		a.run(step)
		most = max(most, len(a.Next(a.now).Keep))
	}
	if most > 4 {
		t.Errorf("%d entries are dialled at a time, want at most 4: the two chosen ones and a substitute for each", most)
	}
}

// Guards against a burst of moved links when an entry joins or leaves: an agent opens one link
// at most, and closes the old one only after the new one is up.
func TestLinksMoveOneAtATime(t *testing.T) {
	live := entriesIn(5, 3, 4)
	first := (topology.Rules{}).Placers(live, nil)[0].Name
	moved := 0
	for i := range 160 {
		a := newSimAgent(fmt.Sprint("agent-", i))
		a.SetList(topology.StoreList, live)
		a.run(step)
		a.list(live)
		a.run(3 * time.Second)
		rest := slices.DeleteFunc(slices.Clone(live), func(p wire.Peer) bool { return p.Name == first })
		a.list(rest)
		if fewest := a.run(6 * time.Second); fewest < 2 {
			t.Fatalf("agent %d has %d links while one moves", i, fewest)
		}
		opened := 0
		for _, n := range a.opened {
			opened += n
		}
		if opened > 3 || len(a.linked) != 2 {
			t.Errorf("agent %d opened %d links and has %d, want at most 3 and 2", i, opened, len(a.linked))
		}
		moved += a.closed
	}
	if moved < 20 || moved > 80 {
		t.Errorf("%d of 320 links moved when one of seven placers left, want about 46", moved)
	}
}

// Guards against agents that lose all links when the lists of entries differ for a while, as
// while a fleet starts: an entry may list only some of the others.
func TestLinksWithPartialLists(t *testing.T) {
	live := entriesIn(5, 3, 4)
	a := newSimAgent("agent-1")
	a.SetList(topology.StoreList, live[:4])
	a.run(step)
	fewest := len(a.linked)
	for n := 8; n <= len(live); n += 9 {
		a.list(live[:n])
		fewest = min(fewest, a.run(500*time.Millisecond))
	}
	a.list(live)
	fewest = min(fewest, a.run(10*time.Second))
	if chosen := chosenBy("agent-1", live); fewest < 2 || !slices.Equal(a.links(), chosen) {
		t.Errorf("linked to %v, at least %d links; want %v and 2", a.links(), fewest, chosen)
	}
}

// Guards against an agent that cannot return when every entry that it knew has been replaced.
func TestLinksAfterAllEntriesWereReplaced(t *testing.T) {
	old, next := entriesIn(3, 1, 0), entriesIn(3, 1, 0)
	for i := range next {
		next[i].Name = "new-" + next[i].Name
	}
	a := started(old)
	for _, p := range old {
		a.down[p.Name] = true
	}
	a.run(time.Second)
	a.SetList(topology.StoreList, next)
	a.run(2 * time.Second)
	a.list(next)
	a.run(3 * time.Second)
	want := names(next)
	slices.Sort(want)
	if !slices.Equal(a.links(), want) {
		t.Errorf("linked to %v, want %v", a.links(), want)
	}
}
