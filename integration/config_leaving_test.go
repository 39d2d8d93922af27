package integration

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/operator"
)

// idleTargetJobs is the number of jobs that must be answered without a start on a
// target before it counts as left alone. Before that, the target has about an
// equal share of the starts.
const idleTargetJobs = 60

// waitForNoStarts waits until a target gets no starts while jobs go on, and returns
// its number of starts and the time to the last one.
func (f *configFleet) waitForNoStarts(target int, l *configLoad) (starts int, took time.Duration) {
	f.t.Helper()
	begin := time.Now()
	starts = f.targetStarts(target).Identities
	answered := l.complete.Load()
	f.waitFor("the target gets no starts", func() bool {
		if now := f.targetStarts(target).Identities; now != starts {
			starts, answered, took = now, l.complete.Load(), time.Since(begin)
		}
		return l.complete.Load() >= answered+idleTargetJobs
	})
	return starts, took
}

// waitForStarts waits until a target has got starts.
func (f *configFleet) waitForStarts(target int) {
	f.t.Helper()
	before := f.targetStarts(target).Identities
	f.waitFor("the target gets starts", func() bool { return f.targetStarts(target).Identities > before+5 })
}

func roundRobin(entries int) func(int64) int {
	return func(n int64) int { return int(n) % entries }
}

// Guards against a target that still gets work after its agent was asked to
// stop, after an operator drained it, or after its labels ceased to match the
// service's selector; and against a job that the change interrupts.
func TestConfigRemovedTargetGetsNoStarts(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 4, nil)
	f.waitForAgentLinks(2, 4)
	l := f.startLoad(8, roundRobin(2))
	leave := []struct {
		name string
		do   func()
	}{
		{"SIGTERM of the agent", func() { f.must(f.Terminate("agent-0")) }},
		{"drain", func() { f.checkAccepted(f.change(0, "drain", "target-1")) }},
		{"label", func() { f.checkAccepted(f.change(1, "label", "target-2", "stage=old")) }},
	}
	var final []int
	for i, way := range leave {
		f.waitForStarts(i)
		way.do()
		starts, took := f.waitForNoStarts(i, l)
		t.Logf("%s: last start %v after the change", way.name, took)
		final = append(final, starts)
	}
	if status, err := f.WaitExit(t.Context(), "agent-0"); err != nil || status != 0 {
		t.Errorf("the agent ended with status %d, %v", status, err)
	}
	f.checkAccepted(f.change(0, "undrain", "target-1"))
	f.waitForStarts(1)
	l.checkComplete(t)
	for _, i := range []int{0, 2} {
		if n := f.targetStarts(i).Identities; n != final[i] {
			t.Errorf("target-%d got %d starts later", i, n-final[i])
		}
	}
	f.checkNoRepeatedStarts()
}

func (f *configFleet) checkAccepted(c operator.ChangeResponse) {
	f.t.Helper()
	if c.Outcome != "accepted" {
		f.t.Errorf("the change was not accepted: %+v", c)
	}
}

// partitionEntry1 cuts entry-1 off from the store and from entry-0, but not from agents.
func (f *configFleet) partitionEntry1() {
	f.t.Helper()
	f.must(f.Relay("store/entry-1").SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth}))
	for _, i := range []string{"0", "1"} {
		other := map[string]string{"0": "entry-1", "1": "entry-0"}[i]
		f.must(f.Relay("link/entry-" + i).SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth, Clients: []string{other}}))
	}
}

func withRelays(o *fleet.Options) {
	o.Network.RelayLinks = true
	o.Network.RelayStores = true
}

// Guards against an entry that goes on using a drained target because the
// change reached it neither from the store nor from another entry; it must hear
// of it from the agents. Once it is reachable again it must have the document.
func TestConfigDrainReachesPartitionedEntry(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, withRelays)
	f.waitForAgentLinks(2, 2)
	f.partitionEntry1()
	l := f.startLoad(6, func(int64) int { return 1 }) // only the entry that is cut off
	f.waitForStarts(0)
	c := f.change(0, "drain", "target-0")
	f.checkAccepted(c)
	starts, took := f.waitForNoStarts(0, l)
	t.Logf("last start %v after the answer; confirmed by %v, missing %v", took, c.Confirmed, c.Missing)
	if r := f.revision(1); r >= c.Revision {
		t.Errorf("the entry has the whole document of revision %d, so it was not cut off", r)
	}
	for _, relay := range f.Relays() {
		relay.Restore()
	}
	f.waitFor("the document reaches the entry", func() bool { return f.revision(1) >= c.Revision })
	l.checkComplete(t)
	if n := f.targetStarts(0).Identities; n != starts {
		t.Errorf("%d starts on the drained target later", n-starts)
	}
}

// Guards against starts under an old revision by an entry that was frozen for
// longer than its lease, its links and its grants last, and an entry that comes
// back with the old configuration and keeps it.
func TestConfigDrainEnforcedOnResumedEntry(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.waitForAgentLinks(2, 2)
	frozen := f.startLoad(6, func(int64) int { return 1 })
	f.waitForStarts(0)
	f.must(f.Freeze("entry-1"))
	l := f.startLoad(4, func(int64) int { return 0 })
	c := f.change(0, "drain", "target-0")
	f.checkAccepted(c)
	starts, _ := f.waitForNoStarts(0, l)
	// The longest limit is the lease of 10 s.
	time.Sleep(11 * time.Second)
	f.must(f.Resume("entry-1"))
	before := frozen.complete.Load()
	f.waitFor("the entry learns the revision", func() bool { return f.revision(1) >= c.Revision })
	f.waitFor("the entry answers jobs", func() bool { return frozen.complete.Load() > before+idleTargetJobs })
	frozen.stopAndWait()
	l.checkComplete(t)
	if n := f.targetStarts(0).Identities; n != starts {
		t.Errorf("%d starts on the drained target after the thaw", n-starts)
	}
	refused := 0.0
	for _, agent := range f.AgentURLs() {
		refused += f.sumMetric(agent, "start_refusals", "")
	}
	t.Logf("%.0f starts refused by agents; jobs at the frozen entry: %d sent, %d complete, %d refused, %d unanswered", refused,
		frozen.sent.Load(), frozen.complete.Load(), frozen.refused.Load(), frozen.unanswered.Load())
	f.checkNoRepeatedStarts()
}
