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

// ready asks an entry as a balancer does.
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

// readyRoundRobin chooses the entries in turn among those that are ready.
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

// rollingRestartDrainSeconds is long against the time between a probe of readiness and the
// submission after it, also on a busy machine.
const rollingRestartDrainSeconds = 3

// Guards against a planned stop that cuts a connection, refuses a job that was
// sent while the process was ready, or loses or repeats a task. Every entry and
// then every agent is restarted while jobs run.
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
		// The job outlasts the time for which readiness is false.
		done := f.startLongJob(i, fmt.Sprint("during-entry-", i), 4500)
		f.gracefulRestart(fmt.Sprint("entry-", i))
		done()
		f.waitForAgentLinks(entries, targets)
	}
	for i := range targets {
		key := fmt.Sprint("during-agent-", i)
		// More tasks than the other targets have slots, so that some run on this one.
		done := f.startLongJob(0, key, slices.Repeat([]int{1500}, 24)...)
		f.waitFor("the target runs a long task", func() bool {
			for echo := range f.targetStarts(i).Echoes {
				if strings.HasPrefix(echo, key) {
					return true
				}
			}
			return false
		})
		f.gracefulRestart(fmt.Sprint("agent-", i))
		done()
		f.waitForAgentLinks(entries, targets)
	}
	for i := range targets {
		f.waitForStarts(i)
	}
	l.checkComplete(t)
	f.checkNoRepeatedStarts()
}

// startLongJob submits a job that runs during a restart and returns a function that
// waits for its whole answer.
func (f *configFleet) startLongJob(entryIndex int, key string, runMS ...int) (done func()) {
	f.t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a, err := f.submit(entryIndex, configJob(key, true, runMS...))
		if err != nil || len(a.Results) != len(runMS) {
			f.t.Errorf("job %s: %+v, %v", key, a, err)
		}
	}()
	f.waitFor("the long job runs", func() bool { return f.startsByEcho(key) > 0 })
	return func() { <-ended }
}

// gracefulRestart stops a process as planned and starts it again.
func (f *configFleet) gracefulRestart(name string) {
	f.t.Helper()
	f.must(f.Terminate(name))
	ctx, cancel := context.WithTimeout(f.t.Context(), configWaitTimeout)
	defer cancel()
	if status, err := f.WaitExit(ctx, name); err != nil || status != 0 {
		f.t.Errorf("%s ended with status %d, %v", name, status, err)
	}
	f.must(f.Restart(name))
	f.must(f.WaitReady(f.t.Context(), name))
}

// waitForAgentLinks waits until every entry knows every target. An entry that has heard of
// one target only refuses jobs, not run, as soon as that one is drained.
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

// Guards against an entry that reports itself ready before the agents of its
// killed predecessor have come back, and refuses jobs that they could run. On
// idle links they notice the death only after several seconds.
func TestConfigRestartedEntryIsReadyWithAgents(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 1, 1, nil)
	f.waitForAgentLinks(1, 1)
	time.Sleep(6 * time.Second) // the links have found their idle pace
	f.must(f.Kill("entry-0"))
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(t.Context(), "entry-0"))
	a, err := f.submit(0, configJob("first", true, 20))
	if err != nil || len(a.Results) != 1 {
		t.Errorf("the first job after readiness: %+v, %v", a, err)
	}
}
