package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// silentLink is a link to a peer that was last heard of at a set time.
type silentLink struct {
	name        string
	incarnation wire.Incarnation
	quiet       time.Duration
	closed      bool
}

func (l *silentLink) Name() string                  { return l.name }
func (l *silentLink) Incarnation() wire.Incarnation { return l.incarnation }
func (l *silentLink) Send(wire.Message) error       { return nil }
func (l *silentLink) Close(error) error             { l.closed = true; return nil }
func (l *silentLink) SinceReceived() time.Duration  { return l.quiet }
func (l *silentLink) SinceAlive() time.Duration     { return l.quiet }

// tableOf returns a table with a number of placers, p0 and so on, and their links.
func tableOf(n int) (t placerTable, names []string, links []*silentLink) {
	t = newPlacerTable()
	for i := range n {
		l := &silentLink{name: fmt.Sprint("p", i)}
		t.peers[l] = &peerState{PlacerState: wire.PlacerState{Targets: 40}}
		names, links = append(names, l.name), append(links, l)
	}
	return t, names, links
}

// chosen counts how often each placer is chosen for a number of jobs.
func (t *placerTable) chosen(names []string, jobs int, now time.Time) map[string]int {
	counts := make(map[string]int)
	for range jobs {
		if l := t.choose(names, nil, now); l != nil {
			counts[l.Name()]++
		}
	}
	return counts
}

// Guards against jobs that keep going to one placer although its tasks wait and the others
// have none, and against sending all jobs to the one with the least waiting work.
func TestJobsAvoidLoadedPlacers(t *testing.T) {
	now := time.Unix(100, 0)
	table, names, links := tableOf(7)
	even := table.chosen(names, 7000, now)
	for _, name := range names {
		if n := even[name]; n < 900 || n > 1100 {
			t.Errorf("no task waits: %s gets %d of 7000 jobs, want about 1000", name, n)
		}
	}
	for i, l := range links {
		table.peers[l].WaitingCPU, table.peers[l].waitingAt = int64(i)*10_000, now
	}
	loaded := table.chosen(names, 7000, now)
	if loaded["p6"] > 200 || loaded["p0"] < 1200 || loaded["p0"] > 2300 {
		t.Errorf("the placer with the most waiting work gets %d of 7000 jobs, the one without gets %d", loaded["p6"], loaded["p0"])
	}
	// A placer that is avoided sends no answers that would show that nothing waits any more.
	later := table.chosen(names, 7000, now.Add(2*waitingTTL))
	if later["p6"] < 900 {
		t.Errorf("the placer that had the most waiting work a second ago gets %d of 7000 jobs, want about 1000", later["p6"])
	}
}

// Guards against jobs that wait at a placer to which few agents are linked yet, or any more, while the targets of
// others are free. Load: each of seven placers gets 120 jobs per second.
func TestJobsAvoidPlacersWithFewTargets(t *testing.T) {
	now := time.Unix(100, 0)
	table, names, links := tableOf(7)
	table.peers[links[0]].Targets = 15 // of 40
	if n := table.chosen(names, 7000, now)["p0"]; n != 0 {
		t.Errorf("a placer with few targets gets %d of 7000 jobs, want none", n)
	}
	table.peers[links[0]].Targets = 25
	if n := table.chosen(names, 7000, now)["p0"]; n < 900 {
		t.Errorf("a placer with most of its targets gets %d of 7000 jobs, want about 1000", n)
	}
	for _, l := range links[1:] {
		table.peers[l].declinedAt = now
	}
	table.peers[links[0]].Targets = 1
	if n := table.chosen(names, 10, now)["p0"]; n != 10 {
		t.Errorf("the only placer that does not decline gets %d of 10 jobs, want all", n)
	}
}

// Guards against a comparison of waiting work that ignores how many targets work on it.
func TestWaitingWorkIsComparedPerTarget(t *testing.T) {
	now := time.Unix(100, 0)
	table, names, links := tableOf(2)
	for i, l := range links {
		table.peers[l].Targets = uint32(20 + 18*i)
		table.peers[l].WaitingCPU, table.peers[l].waitingAt = int64(100_000+50_000*i), now
	}
	if n := table.chosen(names, 10, now)["p1"]; n != 10 {
		t.Errorf("the placer with 150 cores of waiting work and 38 targets gets %d of 10 jobs beside one with 100 and 20, want all", n)
	}
}

// Guards against peers that send jobs to a placer by the number of targets that it had long ago, and against a
// message at each change.
func TestPeersAreToldOfLargeChangesOfTargets(t *testing.T) {
	for _, c := range []struct {
		told, targets uint32
		want          bool
	}{{0, 0, false}, {0, 1, true}, {1, 0, true}, {40, 39, false}, {40, 35, false}, {40, 34, true}, {20, 24, true}} {
		if got := changedMuch(c.told, c.targets); got != c.want {
			t.Errorf("from %d to %d targets: told %t, want %t", c.told, c.targets, got, c.want)
		}
	}
}

// Guards against gateways that go on using a placer that stops, that use it no more after its restart, or that
// disagree on which entry places in its stead.
func TestGatewaysAgreeOnPlacersWithoutStoppingOne(t *testing.T) {
	all, _ := linkedGateways(t, 14)
	before := all[0].placers()
	var stopping *Gateway
	for _, g := range all {
		if g.node.Name == before[0] {
			stopping = g
		}
	}
	stopping.stopping.Store(true)
	stopping.leaving.add(stopping.node.Name, stopping.incarnation)
	stopping.announceStop()
	after := stopping.placers()
	if len(after) != len(before) || slices.Contains(after, stopping.node.Name) {
		t.Errorf("placers %v, want %d without %s", after, len(before), stopping.node.Name)
	}
	for _, g := range all {
		if got := g.placers(); !slices.Equal(got, after) {
			t.Errorf("%s has the placers %v, want %v", g.node.Name, got, after)
		}
	}
	again := stopping.self()
	again.Incarnation++
	all[13].members.AddLinked(again)
	if got := all[13].placers(); !slices.Equal(got, before) {
		t.Errorf("placers %v after the restart of %s, want %v", got, again.Name, before)
	}
}

// Guards against jobs that are sent for half a second to a placer that has died: its link ends
// only then, but it stops answering at once. A placer without jobs owes no message.
func TestJobsAvoidQuietPlacer(t *testing.T) {
	now := time.Unix(100, 0)
	table, names, links := tableOf(2)
	links[0].quiet = 700 * time.Millisecond // an idle link
	if n := table.chosen(names, 10, now)["p0"]; n != 5 {
		t.Errorf("an idle placer gets %d of 10 jobs, want 5", n)
	}
	table.jobSent(links[0], now)
	if n := table.chosen(names, 10, now.Add(100*time.Millisecond))["p0"]; n != 5 {
		t.Errorf("a placer with a job of 100 ms gets %d of 10 jobs, want 5", n)
	}
	later := now.Add(300 * time.Millisecond)
	if n := table.chosen(names, 10, later)["p0"]; n != 0 {
		t.Errorf("a placer that owes a message for 300 ms gets %d jobs, want none", n)
	}
	links[1].quiet = time.Second
	table.jobSent(links[1], now)
	if l := table.choose(names, nil, later); l == nil {
		t.Error("no placer is chosen if all are quiet, want any")
	}
	links[0].quiet = 0
	if n := table.chosen(names, 10, later)["p0"]; n != 10 {
		t.Errorf("a placer that answers again gets %d of 10 jobs beside a quiet one, want 10", n)
	}
}

// Guards against jobs that are sent to an entry without targets or to one that has just
// declined, and against asking the same placer twice.
func TestJobsAvoidPlacersThatDecline(t *testing.T) {
	now := time.Unix(100, 0)
	table, names, links := tableOf(3)
	table.peers[links[0]].Targets = 0
	table.peers[links[1]].declinedAt = now
	if n := table.chosen(names, 10, now)["p2"]; n != 10 {
		t.Errorf("the only placer that accepts gets %d of 10 jobs, want all", n)
	}
	if l := table.choose(names, []peerLink{links[2]}, now); l != nil {
		t.Errorf("%s is chosen, want none", l.Name())
	}
	if l := table.choose(names, []peerLink{links[2]}, now.Add(declineBackoff)); l != links[1] {
		t.Errorf("%v is chosen after its backoff, want p1", l)
	}
	if !table.reachable(names) || table.reachable(names[:1]) {
		t.Error("reachable: want p1 and p2, not p0, which has no targets")
	}
}

// Guards against jobs that are sent over the link to an earlier process of a placer, which has
// not timed out yet, and against closing the second of two links that both sides dialled.
func TestLinkToEarlierProcessIsClosed(t *testing.T) {
	f := newForwarder()
	earlier := &silentLink{name: "p", incarnation: 1, quiet: 400 * time.Millisecond}
	next, second := &silentLink{name: "p", incarnation: 2}, &silentLink{name: "p", incarnation: 2, quiet: time.Second}
	for _, l := range []*silentLink{earlier, next, second} {
		f.linkUp(l)
		f.handleState(l, &wire.PlacerState{Targets: 1}, time.Now())
	}
	if !earlier.closed || next.closed || second.closed {
		t.Errorf("closed: the earlier link %t, the next two %t and %t; want only the earlier one", earlier.closed, next.closed, second.closed)
	}
	if l, _ := f.choose([]string{"p"}, nil, time.Now()); l != next {
		t.Errorf("chosen link %+v, want the one that was heard of last", l)
	}
}

// Guards against a restarted entry that waits for placers to dial it, and against two entries
// of which each waits for the other.
func TestWhoDials(t *testing.T) {
	placers := []string{"b", "d"}
	for _, c := range []struct {
		self, peer string
		want       bool
	}{
		{"a", "b", true}, {"e", "b", true}, {"b", "a", false}, {"b", "e", false},
		{"b", "d", true}, {"d", "b", false}, {"a", "e", false},
	} {
		if got := dialsPeer(placers, c.self, c.peer); got != c.want {
			t.Errorf("%s dials %s: %t, want %t", c.self, c.peer, got, c.want)
		}
	}
}

// Guards against a rotation that skips every second placer: asking whether another placer is
// left must not take a turn.
func TestEveryPlacerGetsItsTurn(t *testing.T) {
	now := time.Now()
	f := newForwarder()
	var names []string
	f.placers, names, _ = tableOf(4)
	counts := make(map[string]int)
	for range 400 {
		l, _ := f.choose(names, nil, now)
		counts[l.Name()]++
	}
	for _, name := range names {
		if counts[name] != 100 {
			t.Errorf("%s gets %d of 400 jobs, want 100", name, counts[name])
		}
	}
	last, more := f.choose(names[:1], nil, now)
	if last == nil || more {
		t.Errorf("of one placer %v is chosen, another left: %t; want it and none", last, more)
	}
	if _, more = f.choose(names[:2], nil, now); !more {
		t.Error("of two placers, no other is left after the choice of one")
	}
}

// Guards against jobs that wait, or are refused, while all placers are new and agents are still moving to them from
// entries that are none any more, as when all that stopped are back at once; and against links to these that end
// before.
func TestJobsGoToEarlierPlacersUntilNewOnesHaveTargets(t *testing.T) {
	all := listedGateways(t, 8)
	entry, placer, earlier := all[7], all[0], all[5]
	addTarget(earlier)
	linkByQueues(t, entry, placer)
	linkByQueues(t, entry, earlier)
	address, ended := earlier.self().Address, false
	entry.dials[address] = func() { ended = true }
	await(t, "the entry with targets is not known", func() bool { return entry.forwarder.reachable([]string{earlier.node.Name}) })
	entry.endUnneededDials()
	if ended {
		t.Error("the link to the entry that has the targets is ended")
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { entry.Submit(ctx, bigJob("1")) })
	await(t, "the job does not reach the entry that has the targets", func() bool { known, _ := earlier.scheduler.Status("1"); return known })
	cancel()
	callers.Wait()

	addTarget(placer)
	for _, l := range entry.forwarder.links() {
		if l.Name() == placer.node.Name {
			entry.handlePeer(l, placer.placerState())
		}
	}
	await(t, "the link to the earlier placer is kept", func() bool { entry.endUnneededDials(); return ended })
	table, names, links := tableOf(2)
	for targets, want := range map[uint32]string{0: "p1", 19: "p1", 20: "p0", 40: "p0"} {
		table.peers[links[0]].Targets = targets
		if n := table.chosen(table.offered(names[:1]), 10, time.Now()); n[want] != 10 {
			t.Errorf("%d targets at the placer, 40 at another entry: chosen %v, want %s", targets, n, want)
		}
	}
}
