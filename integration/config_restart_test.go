package integration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/settings"
)

// ready reports whether an entry is ready, as a load balancer's health check does.
func (f *configFleet) ready(entryIndex int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.EntryURLs()[entryIndex]+"/readyz", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// readyRoundRobin chooses the ready entries in turn, and -1 if none is ready.
func (f *configFleet) readyRoundRobin(entries int) func(int64) int {
	return func(n int64) int {
		for i := range entries {
			if candidate := (int(n) + i) % entries; f.ready(candidate) {
				return candidate
			}
		}
		return -1
	}
}

// rollingRestartDrainSeconds is much longer than the time between a readiness check and
// the submission after it, also on a busy machine.
const rollingRestartDrainSeconds = 3

// Guards against a graceful stop that breaks a connection, refuses a job that was sent
// while the process was ready, or loses or repeats a task. Every entry and then every
// agent is restarted while jobs run.
func TestConfigRollingRestart(t *testing.T) {
	t.Parallel()
	const entries, targets = 3, 3
	f := startConfigFleet(t, entries, targets, func(o *fleet.Options) {
		edit := o.EditEntry
		o.EditEntry = func(i int, s *settings.Entry) {
			edit(i, s)
			s.DrainSeconds = rollingRestartDrainSeconds
		}
	})
	l := f.startLoad(8, f.readyRoundRobin(entries))
	for i := range entries {
		// The job runs longer than the drain, in which the entry is not ready.
		wait := f.startLongJob(i, fmt.Sprint("during-entry-", i), 4500)
		f.gracefulRestart(fmt.Sprint("entry-", i))
		wait()
		f.waitForAgentLinks(entries, targets)
	}
	for i := range targets {
		key := fmt.Sprint("during-agent-", i)
		// The job has more tasks than the other targets have slots, so that some run on
		// this target.
		wait := f.startLongJob(0, key, slices.Repeat([]int{1500}, 24)...)
		f.waitFor("the target runs a long task", func() bool {
			for echo := range f.targetStarts(i).Echoes {
				if strings.HasPrefix(echo, key) {
					return true
				}
			}
			return false
		})
		f.gracefulRestart(fmt.Sprint("agent-", i))
		wait()
		f.waitForAgentLinks(entries, targets)
	}
	for i := range targets {
		f.waitForStarts(i)
	}
	l.checkComplete(t)
	f.checkNoRepeatedStarts()
}

// startLongJob submits a job that runs during a restart, waits until it has started, and
// returns a function that waits until its answer has been checked.
func (f *configFleet) startLongJob(entryIndex int, key string, runMS ...int) (wait func()) {
	f.t.Helper()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		a, err := f.submit(entryIndex, configJob(key, true, runMS...))
		if err != nil || len(a.Results) != len(runMS) {
			f.t.Errorf("job %s: answer %+v, error %v; want every result", key, a, err)
		}
	}()
	f.waitFor("the long job has started", func() bool { return f.startsByEcho(key) > 0 })
	return func() { <-answered }
}

// gracefulRestart stops a process with SIGTERM, checks its exit status, and starts it
// again.
func (f *configFleet) gracefulRestart(name string) {
	f.t.Helper()
	f.must(f.Terminate(name))
	ctx, cancel := context.WithTimeout(f.t.Context(), configWaitTimeout)
	defer cancel()
	if status, err := f.WaitExit(ctx, name); err != nil || status != 0 {
		f.t.Errorf("%s exited with status %d, error %v; want status 0", name, status, err)
	}
	f.must(f.Restart(name))
	f.must(f.WaitReady(f.t.Context(), name))
}

// waitForAgentLinks waits until every agent is linked to every entry. An entry linked to
// a single agent would refuse jobs as not run once that agent's target is drained.
func (f *configFleet) waitForAgentLinks(entries, targets int) {
	f.t.Helper()
	f.waitFor("every agent is linked to every entry", func() bool {
		for i := range entries {
			if int(f.sumMetric(f.EntryURLs()[i], "agents_linked", "")) != targets {
				return false
			}
		}
		return true
	})
}

// Guards against a restarted entry that reports ready before the agents have reconnected
// after its predecessor was killed, and that refuses jobs they could run. On idle links
// agents detect the loss of the entry only after several seconds.
func TestConfigRestartedEntryIsReadyWithAgents(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, 1, nil)
	f.waitForAgentLinks(1, 1)
	time.Sleep(6 * time.Second) // the links now use the idle heartbeat interval
	f.must(f.Kill("entry-0"))
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(t.Context(), "entry-0"))
	a, err := f.submit(0, configJob("first", true, 20))
	if err != nil || len(a.Results) != 1 {
		t.Errorf("first job after the entry was ready: answer %+v, error %v", a, err)
	}
}
