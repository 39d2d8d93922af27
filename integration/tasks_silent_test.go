package integration

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/transport"
)

// Guards against a client whose pooled connections went silent and that completes no job
// until each of them has timed out after a whole deadline. A job whose own connection
// went silent ends as broken ten seconds after its deadline.
func TestTasksSilentCallerConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayCallers = true })
	relay := f.Relay("caller/entry-0")
	var pooled []<-chan tasksAnswer
	for i := range 6 { // concurrent jobs, so that each opens a connection
		pooled = append(pooled, f.submit(0, tasksJob(fmt.Sprintf("pooled-%d", i), 30_000, 300)))
	}
	for _, answer := range pooled {
		f.waitAnswer(answer)
	}
	cut := tasksJob("cut", 4000, tasksRunTimes(4, 1000)...)
	answer := f.submit(0, cut)
	f.waitFor("started tasks", func() bool { return f.startCount(cut) == 4 })
	if relay.SilenceFlows() == 0 {
		t.Error("the relay has no connection to silence")
	}
	for i := range 8 {
		// With its deadline, a job on a silent connection outlasts tasksWaitTimeout and
		// fails the test.
		next := tasksJob(fmt.Sprintf("next-%d", i), 60_000, tasksRunTimes(16, 50)...)
		f.checkComplete(next.Key, next, f.waitAnswer(f.submit(0, next)))
	}
	if a := f.waitAnswer(answer); !errors.Is(a.err, client.ErrBroken) {
		t.Errorf("answer %s over a silent connection, error %v; want a broken connection", a.State, a.err)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against jobs that hang because their links went silent: the peer timeout of
// 3.5 s must close the links, agents must dial from a new socket, and entries must
// query the attempts that were sent. A job that fails instead fails the test.
func TestTasksSilentLinks(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
	for round := range 2 {
		j := tasksJob(fmt.Sprintf("round-%d", round), 60_000, tasksRunTimes(64, 300)...)
		answer := f.submit(0, j)
		f.waitFor("started tasks", func() bool { return f.startCount(j) >= 16 })
		silencedAt := time.Now()
		if f.Relay("link/entry-0").SilenceFlows() == 0 {
			t.Error("the relay has no link to silence")
		}
		f.checkComplete(j.Key, j, f.waitAnswer(answer))
		t.Logf("answered %v after the links went silent", time.Since(silencedAt).Round(10*time.Millisecond))
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a job that fails because the links went silent while they were idle.
// Both sides then wait longer for a heartbeat, and the job's starts are the first
// messages whose loss could be noticed.
func TestTasksSilentIdleLinks(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
	time.Sleep(2 * transport.IdleHeartbeatInterval) // lets both sides change to the idle interval
	if f.Relay("link/entry-0").SilenceFlows() == 0 {
		t.Error("the relay has no link to silence")
	}
	silencedAt := time.Now()
	j := tasksJob("first", 60_000, tasksRunTimes(16, 100)...)
	f.checkComplete("first", j, f.waitAnswer(f.submit(0, j)))
	t.Logf("answered %v after the links went silent", time.Since(silencedAt).Round(10*time.Millisecond))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a target that becomes unusable because connections to it went silent:
// a task on such a connection must end at its job's deadline, new tasks must use new
// connections, and all slots must become free again.
func TestTasksSilentTargetConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Targets, o.Network.RelayTargets = 1, true })
	cut := tasksJob("cut", 4000, tasksRunTimes(4, 2000)...)
	answer := f.submit(0, cut)
	f.waitFor("started tasks", func() bool { return f.startCount(cut) == 4 })
	short := tasksJob("short", 30_000, tasksRunTimes(4, 20)...)
	f.checkComplete("short", short, f.waitAnswer(f.submit(0, short)))
	if f.Relay("target/agent-0").SilenceFlows() == 0 {
		t.Error("the relay has no connection to silence")
	}
	next := tasksJob("next", 60_000, tasksRunTimes(16, 50)...)
	f.checkComplete("next", next, f.waitAnswer(f.submit(0, next)))
	a := f.waitAnswer(answer)
	f.checkFailed(cut, a, 0)
	if a.Ran == result.NotRun {
		t.Errorf("answer %d %s reports a job with started tasks as not run", a.Code, a.Name)
	}
	wide := tasksJob("wide", 60_000, tasksRunTimes(8, 2000)...)
	answer = f.submit(0, wide)
	done := f.targetStarts()[0].Outcomes.Done
	f.waitFor("all 8 slots in use at once", func() bool { return f.startCount(wide) == 8 })
	if now := f.targetStarts()[0].Outcomes.Done; now != done {
		t.Logf("%d tasks ended before the last of 8 started", now-done)
	}
	f.checkComplete("wide", wide, f.waitAnswer(answer))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against an entry that cannot use the store any more after its connections to it
// went silent: idempotent jobs must not be affected, non-idempotent ones may be refused
// as not run for at most a call's timeout, and a new configuration must take effect.
func TestTasksSilentStoreConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayStores = true })
	nonIdempotent := func(n int) api.Job {
		j := tasksJob(fmt.Sprintf("once-%d", n), 20_000, tasksRunTimes(2, 20)...)
		j.Idempotent = false
		return j
	}
	f.checkComplete("once", nonIdempotent(0), f.waitAnswer(f.submit(0, nonIdempotent(0))))
	if f.Relay("store/entry-0").SilenceFlows() == 0 {
		t.Error("the relay has no connection to silence")
	}
	idempotent := tasksJob("plain", 30_000, tasksRunTimes(16, 50)...)
	f.checkComplete("plain", idempotent, f.waitAnswer(f.submit(0, idempotent)))
	n := 0
	f.waitFor("a job with a claim to complete", func() bool {
		n++
		a := f.waitAnswer(f.submit(0, nonIdempotent(n)))
		if a.State != api.StateComplete {
			f.checkNotRun(nonIdempotent(n), a.Answer, result.ClaimUnavailable)
		}
		return a.State == api.StateComplete
	})
	f.addWorkspace("late")
	n = 0
	f.waitFor("a job in the new workspace to complete", func() bool {
		n++
		j := tasksJob(fmt.Sprintf("late-%d", n), 20_000, 20)
		j.Workspace = "late"
		return f.waitAnswer(f.submit(0, j)).State == api.StateComplete
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// addWorkspace adds a workspace to the configuration in the store.
func (f *tasksFleet) addWorkspace(name string) {
	f.t.Helper()
	store, err := platform.NewStore(f.StoreURL(), platform.StoreOptions{})
	f.must(err)
	ctx, cancel := context.WithTimeout(f.ctx, tasksWaitTimeout)
	defer cancel()
	current, err := store.Get(ctx, config.Key)
	f.must(err)
	value := strings.Replace(string(current.Value), `"workspaces": {`, fmt.Sprintf(`"workspaces": {%q: {}, `, name), 1)
	_, err = store.CompareAndSwap(ctx, config.Key, current.Version, []byte(value), 0)
	f.must(err)
}
