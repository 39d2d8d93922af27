package integration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/standin"
)

// Guards against tasks of a dead entry that start again at its successor or
// from a buffer, and against an answer that is invented for its callers.
func TestTasksStartOnceWhenEntryIsKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("before", 30_000, tasksRunTimes(40, 300)...)
	answer := f.submit(0, j)
	f.waitFor("tasks out", func() bool { return f.startCount(j) >= 4 })
	f.must(f.Kill("entry-0"))
	if a := f.waitAnswer(answer); !errors.Is(a.err, client.ErrBroken) {
		t.Errorf("answer %s of a dead entry, error %v", a.State, a.err)
	}
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(f.ctx, "entry-0"))
	again := tasksJob("after", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("after", again, f.submitUntilAccepted(0, again))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// submitUntilAccepted repeats a job that was refused without having run; an
// entry that has just started may have no agent yet.
func (f *tasksFleet) submitUntilAccepted(entryIndex int, j api.Job) tasksAnswer {
	f.t.Helper()
	var a tasksAnswer
	f.waitFor("a job that is accepted", func() bool {
		a = f.waitAnswer(f.submit(entryIndex, j))
		return a.err == nil && a.Ran != result.NotRun
	})
	return a
}

// Guards against tasks of a dead agent that are sent again although they may
// have run, on its successor or on another target.
func TestTasksStartOnceWhenAgentIsKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("before", 30_000, tasksRunTimes(16, 2000)...)
	answer := f.submit(0, j)
	f.waitFor("every task out", func() bool { return f.startCount(j) == 16 })
	f.must(f.Kill("agent-0"))
	f.must(f.Restart("agent-0"))
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.TargetLost)
	if a.Ran == result.NotRun {
		t.Error("an answer of unknown outcome says not run")
	}
	again := tasksJob("after", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("after", again, f.submitUntilAccepted(0, again))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a second start after a start, an outcome or both were lost on
// the link: the entry must ask before it sends an attempt elsewhere.
func TestTasksStartOnceWhenLinkIsCut(t *testing.T) {
	cuts := map[string]faultproxy.Cut{"starts": faultproxy.CutBackward, "outcomes": faultproxy.CutForward, "both": faultproxy.CutBoth}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
			relay := f.Relay("link/entry-0")
			j := tasksJob("cut", 40_000, tasksRunTimes(160, 200)...)
			answer := f.submit(0, j)
			f.waitFor("tasks out", func() bool { return f.startCount(j) >= 20 })
			f.must(relay.Set(faultproxy.Faults{Cut: cut, Clients: []string{"agent-0"}}))
			flows := relay.Counters().Flows
			f.waitFor("a new connection", func() bool { return relay.Counters().Flows > flows })
			relay.Restore()
			f.checkComplete("cut", j, f.waitAnswer(answer))
			f.checkNoRepeatedStarts()
			f.checkCounts(0)
		})
	}
}

// Guards against a paused agent that runs the starts in its buffers after
// others have run them, and against an answer that says they did not run.
func TestTasksStartOnceWhenAgentIsFrozen(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.must(f.Freeze("agent-0"))
	j := tasksJob("frozen", 30_000, tasksRunTimes(16, 100)...)
	answer := f.submit(0, j)
	// The entry gives the agent up after the silence limit and the loss limit.
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.TargetLost)
	if a.Ran == result.NotRun {
		t.Error("an answer of unknown outcome says not run")
	}
	f.must(f.Resume("agent-0"))
	f.waitFor("the resumed agent to run tasks", func() bool {
		again := tasksJob("again", 30_000, tasksRunTimes(1, 1)...)
		before := f.targetStarts()[0].Identities
		f.waitAnswer(f.submit(0, tasksWithoutEchoes(again, 64)))
		return f.targetStarts()[0].Identities > before
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// tasksWithoutEchoes returns a job of n short tasks that have no echo, so that it may
// be repeated.
func tasksWithoutEchoes(j api.Job, n int) api.Job {
	j.Tasks = nil
	for range n {
		j.Tasks = append(j.Tasks, tasksTask(standin.TargetPayload{RunMS: 50}))
	}
	return j
}

// Guards against starts that run under a grant which expired while the agent
// was paused for less than the link's silence limit.
func TestTasksStartOnceWhenAgentPauses(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.must(f.Freeze("agent-0"))
	j := tasksJob("paused", 30_000, tasksRunTimes(64, 100)...)
	answer := f.submit(0, j)
	time.Sleep(slots.DefaultGrantTTL + 200*time.Millisecond)
	f.must(f.Resume("agent-0"))
	f.checkComplete("paused", j, f.waitAnswer(answer))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a refused attempt that is counted as run, that ends its job,
// or that is sent elsewhere while it also runs.
func TestTasksRefusedByTargetRunElsewhere(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Refuse: true})
	before := f.targetStarts()[0]
	j := tasksJob("refused", 30_000, tasksRunTimes(32, 100)...)
	f.checkComplete("refused", j, f.waitAnswer(f.submit(0, j)))
	after := f.targetStarts()[0]
	if after.Outcomes.Refused == before.Outcomes.Refused || after.Identities != before.Identities {
		t.Errorf("the refusing target went from %+v to %+v; the test needs a refusal and no start", before.Outcomes, after.Outcomes)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a start that runs twice because its entry was paused: its
// grants expire, and what it sends afterwards must be refused or run once.
func TestTasksStartOnceWhenEntryIsFrozen(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries = 2 })
	j := tasksJob("frozen", 40_000, tasksRunTimes(64, 200)...)
	answer := f.submit(0, j)
	f.waitFor("tasks out", func() bool { return f.startCount(j) >= 8 })
	f.must(f.Freeze("entry-0"))
	other := tasksJob("other", 30_000, tasksRunTimes(64, 200)...)
	a := f.submitUntilAccepted(1, other)
	f.checkComplete("other", other, a)
	f.waitFor("the agents to give the entry up", func() bool {
		return tasksLinkClosed(f.Log("agent-0"), "entry-0") && tasksLinkClosed(f.Log("agent-1"), "entry-0")
	})
	f.must(f.Resume("entry-0"))
	if a := f.waitAnswer(answer); a.State == api.StateComplete {
		f.checkComplete("frozen", j, a)
	} else {
		f.checkFailed(j, a, 0)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0, 1)
}

// tasksLinkClosed reports whether an agent's log says that its link to an entry
// closed.
func tasksLinkClosed(log, name string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "entry link closed") && strings.Contains(line, name) {
			return true
		}
	}
	return false
}
