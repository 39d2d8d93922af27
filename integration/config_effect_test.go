package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/operator"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// waitForRevision waits until a revision is in force at the given entries, and returns
// the time since start.
func (f *configFleet) waitForRevision(revision uint64, start time.Time, entries ...int) time.Duration {
	f.t.Helper()
	for _, i := range entries {
		f.waitFor(fmt.Sprintf("revision %d is in force at entry-%d", revision, i), func() bool {
			return f.revision(i) >= revision
		})
	}
	return time.Since(start)
}

// checkRevisionsNeverDecrease samples the revision in force at each entry until the test
// ends, and fails the test if one decreases other than to 0 by a restart.
func (f *configFleet) checkRevisionsNeverDecrease(entries int) {
	stop := make(chan struct{})
	var samplers sync.WaitGroup
	for i := range entries {
		samplers.Go(func() {
			last := uint64(0)
			for {
				select {
				case <-stop:
					return
				case <-time.After(configPollInterval):
				}
				now := f.revision(i)
				if now != 0 && now < last {
					f.t.Errorf("entry-%d reverted from revision %d to %d", i, last, now)
				}
				last = max(last, now)
			}
		})
	}
	f.t.Cleanup(func() {
		close(stop)
		samplers.Wait()
	})
}

// Guards against an accepted change that does not reach every entry, or that an entry
// reverts, while the store is slow, returns stale data, or goes down right after the
// change was accepted.
func TestConfigChangeTakesEffectUnderStoreFaults(t *testing.T) {
	t.Parallel()
	const entries = 3
	f := startConfigFleet(t, entries, 2, nil)
	f.checkRevisionsNeverDecrease(entries)
	slowMS, staleMS, off := 300, 2500, 0
	faults := []struct {
		name          string
		before, after standin.StoreFaultChange
	}{
		{"healthy", standin.StoreFaultChange{}, standin.StoreFaultChange{}},
		{"slow", standin.StoreFaultChange{LatencyMS: &slowMS}, standin.StoreFaultChange{LatencyMS: &off}},
		{"stale reads", standin.StoreFaultChange{}, standin.StoreFaultChange{StaleReadsMS: &staleMS}},
	}
	for n, fault := range faults {
		f.setStoreFaults(fault.before)
		start := time.Now()
		c := f.change(n%entries, "label", "target-0", fmt.Sprint("round=", n))
		f.setStoreFaults(fault.after)
		f.checkAccepted(c)
		t.Logf("store %s: in force everywhere %v after the request", fault.name, f.waitForRevision(c.Revision, start, 0, 1, 2))
	}
	// Within 2.5 s each entry reads the store again and gets the old document.
	time.Sleep(time.Duration(staleMS) * time.Millisecond)
	f.setStoreFaults(standin.StoreFaultChange{StaleReadsMS: &off})

	before := f.setStoreFaults(standin.StoreFaultChange{}).Revision
	response := make(chan operator.ChangeResponse, 1)
	start := time.Now()
	go func() { response <- f.change(0, "drain", "target-0") }()
	f.waitFor("the change is in the store", func() bool {
		return f.setStoreFaults(standin.StoreFaultChange{}).Revision > before
	})
	f.setStoreDown(true)
	c := <-response
	f.checkAccepted(c)
	t.Logf("store down after the acceptance: in force everywhere %v after the request", f.waitForRevision(c.Revision, start, 0, 1, 2))
	if refused := f.change(1, "drain", "target-1"); refused.Outcome != config.Refused || refused.Code != result.ConfigUnavailable {
		t.Errorf("change while the store is down: %+v, want refused as unavailable", refused)
	}

	// An entry that starts during the outage gets the change from its peers, an agent
	// from the entries.
	f.must(f.Kill("entry-2"))
	f.must(f.Restart("entry-2"))
	f.must(f.WaitReady(t.Context(), "entry-2"))
	f.waitForRevision(c.Revision, time.Now(), 2)
	f.must(f.Kill("agent-0"))
	f.must(f.Restart("agent-0"))
	f.must(f.WaitReady(t.Context(), "agent-0"))
	f.waitForAgentLinks(entries, 2)
	starts := f.targetStarts(0).Identities
	for i := range 3 * entries {
		f.submitUntilComplete(i%entries, configJob(fmt.Sprint("drained-", i), true, 10, 10, 10))
	}
	if n := f.targetStarts(0).Identities; n != starts {
		t.Errorf("%d starts on the drained target", n-starts)
	}
	f.setStoreDown(false)
}

// readDocument reads the configuration document through an entry's operator API.
func (f *configFleet) readDocument(entryIndex int) operator.ConfigResponse {
	f.t.Helper()
	var d operator.ConfigResponse
	f.waitFor("ctl get returns the document", func() bool {
		exit, output := f.ctl(entryIndex, "get", "--json")
		return exit == 0 && json.Unmarshal([]byte(output), &d) == nil
	})
	return d
}

// Guards against a change that is lost or applied twice, or a wrong response, when two
// operators change the same object or different objects at once through two entries,
// and when the response to a change's write is lost.
func TestConfigConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	conflicts := 0
	for round := range 10 {
		var sameObject, otherObject [2]operator.ChangeResponse
		var changes sync.WaitGroup
		for i := range 2 {
			changes.Go(func() {
				sameObject[i] = f.change(i, "label", "target-0", fmt.Sprintf("owner=%d-%d", round, i))
			})
			changes.Go(func() {
				otherObject[i] = f.change(i, "label", fmt.Sprint("other-", i), fmt.Sprint("round=", round))
			})
		}
		changes.Wait()
		winner := operator.ChangeResponse{}
		want := ""
		for i := range 2 {
			f.checkAccepted(otherObject[i])
			switch {
			case sameObject[i].Outcome == config.Accepted && sameObject[i].Revision > winner.Revision:
				winner, want = sameObject[i], fmt.Sprintf("%d-%d", round, i)
			case sameObject[i].Code == result.ConfigConflict && sameObject[i].Conflict != nil:
				conflicts++
			case sameObject[i].Outcome != config.Accepted:
				t.Errorf("round %d: %+v, want accepted or conflict", round, sameObject[i])
			}
		}
		d := f.readDocument(0).Document
		if got := d.Targets["target-0"].Labels["owner"]; got != want {
			t.Errorf("round %d: owner is %q, want %q of the last accepted change", round, got, want)
		}
		for i := range 2 {
			if got := d.Targets[fmt.Sprint("other-", i)].Labels["round"]; got != fmt.Sprint(round) {
				t.Errorf("round %d: an accepted change of other-%d is lost: round is %q", round, i, got)
			}
		}
	}
	t.Logf("%d conflicts in 10 rounds", conflicts)
	f.checkLostWriteResponses()
}

// checkLostWriteResponses drops the response to the write of a change, repeats the
// change under the same id at another entry, and checks that it was applied once.
func (f *configFleet) checkLostWriteResponses() {
	for round := range 5 {
		drops := 1
		id := fmt.Sprint("lost-", round)
		f.setStoreFaults(standin.StoreFaultChange{DropWriteAnswers: &drops})
		first := f.change(0, "label", "target-1", fmt.Sprint("lost=", round), "--change-id", id)
		repeated := f.change(1, "label", "target-1", fmt.Sprint("lost=", round), "--change-id", id)
		f.checkAccepted(first)
		f.checkAccepted(repeated)
		if first.Revision != repeated.Revision {
			f.t.Errorf("change %s was applied at revisions %d and %d", id, first.Revision, repeated.Revision)
		}
		n := 0
		for _, c := range f.readDocument(1).Document.Changes {
			if c.ID == id {
				n++
			}
		}
		if n != 1 {
			f.t.Errorf("change %s is recorded %d times, want once", id, n)
		}
	}
}

// storeCalls returns the number of store calls that an entry has made.
func (f *configFleet) storeCalls(entryIndex int) float64 {
	return f.sumMetric(f.EntryURLs()[entryIndex], "store_calls", "")
}

// Guards against these faults during one long outage of the store: idempotent jobs
// fail, an entry cannot start although a peer is reachable, an entry does not recover
// whose lease expired while it was frozen, or the entries overload the store with calls
// after the outage.
func TestConfigLongStoreOutage(t *testing.T) {
	t.Parallel()
	const entries = 5
	f := startConfigFleet(t, entries, 3, func(o *fleet.Options) { o.Network.RelayLinks = true })
	l := f.startLoad(6, roundRobin(2)) // only entries 0 and 1, which are not restarted
	f.setStoreDown(true)
	start := time.Now()
	f.must(f.Freeze("entry-3"))
	f.must(f.Kill("entry-2"))
	f.must(f.Restart("entry-2"))
	f.must(f.WaitReady(t.Context(), "entry-2"))
	f.submitUntilComplete(2, configJob("new-entry", true, 20, 20))
	// The outage lasts longer than the leases of 10 s, and entry-4 restarts during it.
	f.must(f.Kill("entry-4"))
	f.must(f.Restart("entry-4"))
	time.Sleep(12*time.Second - time.Since(start))
	f.must(f.WaitReady(t.Context(), "entry-4"))
	f.submitUntilComplete(4, configJob("second-entry", true, 20, 20))
	f.must(f.Resume("entry-3"))
	f.waitFor("the resumed entry runs jobs without the store", func() bool {
		a, err := f.submit(3, configJob("resumed", true, 20, 20))
		return err == nil && len(a.Results) == 2
	})
	var before [entries]float64
	for i := range entries {
		before[i] = f.storeCalls(i)
	}
	outageEnd := time.Now()
	f.setStoreDown(false)
	f.waitFor("every entry is registered", func() bool {
		for i := range entries {
			exit, output := f.ctl(i, "status", "--json")
			var s operator.Status
			if exit != 0 || json.Unmarshal([]byte(output), &s) != nil || len(s.Entries) != entries {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
	seconds := time.Since(outageEnd).Seconds()
	for i := range entries {
		// An idle entry makes about two calls a second: lease renewals, and watches of
		// the configuration and of the entries.
		calls := f.storeCalls(i) - before[i]
		t.Logf("entry-%d made %.0f store calls in %.1f s after the outage", i, calls, seconds)
		if calls == 0 || calls > 40+8*seconds {
			t.Errorf("entry-%d made %.0f store calls in %.1f s after the outage, want at least one and no burst", i, calls, seconds)
		}
	}
	l.checkComplete(t)
	f.checkAccepted(f.change(3, "drain", "target-0"))
	f.checkNoRepeatedStarts()
}

// Guards against an entry that never becomes ready, or becomes ready without a
// configuration, when the store is down from the moment it starts.
func TestConfigEntryStartsWithoutStore(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 1, nil)
	f.setStoreDown(true)
	for _, name := range []string{"entry-0", "entry-1"} {
		f.must(f.Kill(name))
		f.must(f.Restart(name))
		f.must(f.WaitReady(t.Context(), name))
	}
	// With both killed there is no peer to get the configuration from, so neither may
	// accept a job.
	f.must(f.Kill("entry-0"))
	f.must(f.Kill("entry-1"))
	for _, name := range []string{"entry-0", "entry-1"} {
		f.must(f.Restart(name))
	}
	f.waitFor("the entries respond", func() bool {
		for _, url := range f.EntryURLs() {
			response, err := http.Get(url + "/healthz")
			if err != nil {
				return false
			}
			response.Body.Close()
		}
		return true
	})
	f.checkNotRun("no entry has a configuration", 0, configJob("early", true, 10), result.NotConfigured)
	f.setStoreDown(false)
	for i, name := range []string{"entry-0", "entry-1"} {
		f.must(f.WaitReady(t.Context(), name))
		f.submitUntilComplete(i, configJob(fmt.Sprint("late-", i), true, 10))
	}
}
