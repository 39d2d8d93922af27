package integration

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/operator"
)

// idleTargetJobs is the number of jobs that must be answered without a start on a target
// before the target counts as unused. A target in use has about an equal share of the
// starts.
const idleTargetJobs = 60

// waitForNoStarts waits until a target gets no more starts while the load continues. It
// returns the target's start count and the time until the last start.
func (f *configFleet) waitForNoStarts(target int, l *configLoad) (starts int, took time.Duration) {
	f.t.Helper()
	begin := time.Now()
	starts = f.targetStarts(target).Identities
	answered := l.complete.Load()
	f.waitFor("the target gets no more starts", func() bool {
		if now := f.targetStarts(target).Identities; now != starts {
			starts, answered, took = now, l.complete.Load(), time.Since(begin)
		}
		return l.complete.Load() >= answered+idleTargetJobs
	})
	return starts, took
}

// waitForStarts waits until a target gets more starts.
func (f *configFleet) waitForStarts(target int) {
	f.t.Helper()
	before := f.targetStarts(target).Identities
	f.waitFor("the target gets starts", func() bool { return f.targetStarts(target).Identities > before+5 })
}

// roundRobin chooses the entries in turn.
func roundRobin(entries int) func(int64) int {
	return func(n int64) int { return int(n) % entries }
}

// Guards against a target that still gets starts after its agent received SIGTERM, after
// an operator drained it, or after its labels no longer match the service's selector;
// and against a job that such a change interrupts.
func TestConfigRemovedTargetGetsNoStarts(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 4, nil)
	f.waitForAgentLinks(2, 4)
	l := f.startLoad(8, roundRobin(2))
	removals := []struct {
		name string
		do   func()
	}{
		{"SIGTERM of the agent", func() { f.must(f.Terminate("agent-0")) }},
		{"drain", func() { f.checkAccepted(f.change(0, "drain", "target-1")) }},
		{"label", func() { f.checkAccepted(f.change(1, "label", "target-2", "stage=old")) }},
	}
	var finalStarts []int
	for i, removal := range removals {
		f.waitForStarts(i)
		removal.do()
		starts, took := f.waitForNoStarts(i, l)
		t.Logf("%s: last start %v after the change", removal.name, took)
		finalStarts = append(finalStarts, starts)
	}
	if status, err := f.WaitExit(t.Context(), "agent-0"); err != nil || status != 0 {
		t.Errorf("agent-0 exited with status %d, error %v; want status 0", status, err)
	}
	f.checkAccepted(f.change(0, "undrain", "target-1"))
	f.waitForStarts(1)
	l.checkComplete(t)
	for _, i := range []int{0, 2} {
		if n := f.targetStarts(i).Identities; n != finalStarts[i] {
			t.Errorf("target-%d got %d starts after its removal", i, n-finalStarts[i])
		}
	}
	f.checkNoRepeatedStarts()
}

// checkAccepted fails the test unless a configuration change was accepted.
func (f *configFleet) checkAccepted(c operator.ChangeResponse) {
	f.t.Helper()
	if c.Outcome != "accepted" {
		f.t.Errorf("change %+v, want accepted", c)
	}
}

// partitionEntry1 partitions entry-1 from the store and from entry-0, but not from the
// agents.
func (f *configFleet) partitionEntry1() {
	f.t.Helper()
	f.must(f.Relay("store/entry-1").SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth}))
	for _, i := range []string{"0", "1"} {
		other := map[string]string{"0": "entry-1", "1": "entry-0"}[i]
		f.must(f.Relay("link/entry-" + i).SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth, Clients: []string{other}}))
	}
}

// withRelays places relays on the links and on the connections to the store.
func withRelays(o *fleet.Options) {
	o.Network.RelayLinks = true
	o.Network.RelayStores = true
}

// Guards against an entry that keeps using a drained target because it gets the change
// neither from the store nor from another entry: it must get it from the agents. When
// the partition ends, the entry must get the document.
func TestConfigDrainReachesPartitionedEntry(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, withRelays)
	f.waitForAgentLinks(2, 2)
	f.partitionEntry1()
	l := f.startLoad(6, func(int64) int { return 1 }) // only the partitioned entry
	f.waitForStarts(0)
	c := f.change(0, "drain", "target-0")
	f.checkAccepted(c)
	starts, took := f.waitForNoStarts(0, l)
	t.Logf("last start %v after the change was accepted; confirmed by %v, missing %v", took, c.Confirmed, c.Missing)
	if r := f.revision(1); r >= c.Revision {
		t.Errorf("entry-1 has the document of revision %d, so it was not partitioned", r)
	}
	for _, relay := range f.Relays() {
		relay.Restore()
	}
	f.waitFor("entry-1 has the document", func() bool { return f.revision(1) >= c.Revision })
	l.checkComplete(t)
	if n := f.targetStarts(0).Identities; n != starts {
		t.Errorf("%d starts on the drained target after the partition", n-starts)
	}
}

// Guards against starts under an old revision by an entry that was frozen until its
// lease, links and grants had expired, and against such an entry that resumes with the
// old configuration and keeps it.
func TestConfigDrainEnforcedOnResumedEntry(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.waitForAgentLinks(2, 2)
	frozenLoad := f.startLoad(6, func(int64) int { return 1 })
	f.waitForStarts(0)
	f.must(f.Freeze("entry-1"))
	l := f.startLoad(4, func(int64) int { return 0 })
	c := f.change(0, "drain", "target-0")
	f.checkAccepted(c)
	starts, _ := f.waitForNoStarts(0, l)
	// The lease of 10 s is the last of them to expire.
	time.Sleep(11 * time.Second)
	f.must(f.Resume("entry-1"))
	before := frozenLoad.complete.Load()
	f.waitFor("entry-1 has the revision", func() bool { return f.revision(1) >= c.Revision })
	f.waitFor("entry-1 completes jobs", func() bool { return frozenLoad.complete.Load() > before+idleTargetJobs })
	frozenLoad.stopAndWait()
	l.checkComplete(t)
	if n := f.targetStarts(0).Identities; n != starts {
		t.Errorf("%d starts on the drained target after entry-1 resumed", n-starts)
	}
	refused := 0.0
	for _, agent := range f.AgentURLs() {
		refused += f.sumMetric(agent, "start_refusals", "")
	}
	t.Logf("%.0f starts refused by agents; jobs at entry-1: %d sent, %d complete, %d refused, %d unanswered", refused,
		frozenLoad.sent.Load(), frozenLoad.complete.Load(), frozenLoad.refused.Load(), frozenLoad.unanswered.Load())
	f.checkNoRepeatedStarts()
}
