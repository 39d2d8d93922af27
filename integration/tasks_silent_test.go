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

// Guards against a caller whose kept connections went silent and that can send
// nothing until each of them has cost it a whole deadline. The job whose own
// connection went silent ends as broken after its deadline and ten seconds.
func TestTasksSilentCallerConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayCallers = true })
	relay := f.Relay("caller/entry-0")
	var kept []<-chan tasksAnswer
	for i := range 6 { // at once, each on its own connection
		kept = append(kept, f.submit(0, tasksJob(fmt.Sprintf("kept-%d", i), 30_000, 300)))
	}
	for _, answer := range kept {
		f.waitAnswer(answer)
	}
	cut := tasksJob("cut", 4000, tasksRunTimes(4, 1000)...)
	answer := f.submit(0, cut)
	f.waitFor("tasks out", func() bool { return f.startCount(cut) == 4 })
	if relay.SilenceFlows() == 0 {
		t.Error("no connection to silence")
	}
	for i := range 8 {
		// A deadline above the patience: a job on a silent connection fails the test.
		next := tasksJob(fmt.Sprintf("next-%d", i), 60_000, tasksRunTimes(16, 50)...)
		f.checkComplete(next.Key, next, f.waitAnswer(f.submit(0, next)))
	}
	if a := f.waitAnswer(answer); !errors.Is(a.err, client.ErrBroken) {
		t.Errorf("answer %s over a silent connection, error %v", a.State, a.err)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against work that hangs behind links that went silent: the silence
// limit of 3.5 s closes them, agents dial from a new socket, and entries ask
// for what was out. A job that is given up instead fails the test.
func TestTasksSilentLinks(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
	for round := range 2 {
		j := tasksJob(fmt.Sprintf("round-%d", round), 60_000, tasksRunTimes(64, 300)...)
		answer := f.submit(0, j)
		f.waitFor("tasks out", func() bool { return f.startCount(j) >= 16 })
		silenced := time.Now()
		if f.Relay("link/entry-0").SilenceFlows() == 0 {
			t.Error("no link to silence")
		}
		f.checkComplete(j.Key, j, f.waitAnswer(answer))
		t.Logf("answered %v after the silence", time.Since(silenced).Round(10*time.Millisecond))
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a job that is given up because the links went silent while
// they were idle, when both sides wait longer for a heartbeat: its starts are
// the first that anyone could miss.
func TestTasksSilentIdleLinks(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
	time.Sleep(2 * transport.IdleHeartbeatInterval) // lets both sides slow down
	if f.Relay("link/entry-0").SilenceFlows() == 0 {
		t.Error("no link to silence")
	}
	silenced := time.Now()
	j := tasksJob("first", 60_000, tasksRunTimes(16, 100)...)
	f.checkComplete("first", j, f.waitAnswer(f.submit(0, j)))
	t.Logf("answered %v after the silence", time.Since(silenced).Round(10*time.Millisecond))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a target that is lost because connections to it went silent:
// a task behind one ends at its job's deadline, new tasks use new connections,
// and the slots come back.
func TestTasksSilentTargetConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Targets, o.Network.Targets = 1, true })
	cut := tasksJob("cut", 4000, tasksRunTimes(4, 2000)...)
	answer := f.submit(0, cut)
	f.waitFor("tasks out", func() bool { return f.startCount(cut) == 4 })
	short := tasksJob("short", 30_000, tasksRunTimes(4, 20)...)
	f.checkComplete("short", short, f.waitAnswer(f.submit(0, short)))
	if f.Relay("target/agent-0").SilenceFlows() == 0 {
		t.Error("no connection to silence")
	}
	next := tasksJob("next", 60_000, tasksRunTimes(16, 50)...)
	f.checkComplete("next", next, f.waitAnswer(f.submit(0, next)))
	a := f.waitAnswer(answer)
	f.checkFailed(cut, a, 0)
	if a.Ran == result.NotRun {
		t.Errorf("answer %d %s says not run", a.Code, a.Name)
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

// Guards against an entry that loses the store because its connections went
// silent: ordinary jobs don't notice, non-idempotent ones are refused as not
// run for at most a call's timeout, and a new configuration arrives.
func TestTasksSilentStoreConnections(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayStores = true })
	once := func(n int) api.Job {
		j := tasksJob(fmt.Sprintf("once-%d", n), 20_000, tasksRunTimes(2, 20)...)
		j.Idempotent = false
		return j
	}
	f.checkComplete("once", once(0), f.waitAnswer(f.submit(0, once(0))))
	if f.Relay("store/entry-0").SilenceFlows() == 0 {
		t.Error("no connection to silence")
	}
	plain := tasksJob("plain", 30_000, tasksRunTimes(16, 50)...)
	f.checkComplete("plain", plain, f.waitAnswer(f.submit(0, plain)))
	n := 0
	f.waitFor("a claim", func() bool {
		n++
		a := f.waitAnswer(f.submit(0, once(n)))
		if a.State != api.StateComplete {
			f.checkNotRun(once(n), a.Answer, result.ClaimUnavailable)
		}
		return a.State == api.StateComplete
	})
	f.addWorkspace("late")
	n = 0
	f.waitFor("the new workspace", func() bool {
		n++
		j := tasksJob(fmt.Sprintf("late-%d", n), 20_000, 20)
		j.Workspace = "late"
		return f.waitAnswer(f.submit(0, j)).State == api.StateComplete
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// addWorkspace writes a configuration with one more workspace to the store.
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
