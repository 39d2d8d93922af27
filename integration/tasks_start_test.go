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

// Guards against tasks of a killed entry that start again, at the restarted entry or from
// a buffer, and against an answer to a caller whose entry was killed.
func TestTasksStartOnceWhenEntryIsKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("before", 30_000, tasksRunTimes(40, 300)...)
	answer := f.submit(0, j)
	f.waitFor("started tasks", func() bool { return f.startCount(j) >= 4 })
	f.must(f.Kill("entry-0"))
	if a := f.waitAnswer(answer); !errors.Is(a.err, client.ErrBroken) {
		t.Errorf("answer %s from a killed entry, error %v; want a broken connection", a.State, a.err)
	}
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(f.ctx, "entry-0"))
	next := tasksJob("after", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("after", next, f.submitUntilAccepted(0, next))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// submitUntilAccepted submits a job again as long as it is reported as not run, since an
// entry that has just started may have no agent yet.
func (f *tasksFleet) submitUntilAccepted(entryIndex int, j api.Job) tasksAnswer {
	f.t.Helper()
	var a tasksAnswer
	f.waitFor("the job to be accepted", func() bool {
		a = f.waitAnswer(f.submit(entryIndex, j))
		return a.err == nil && a.Ran != result.NotRun
	})
	return a
}

// Guards against tasks of a killed agent that are sent again, to the restarted agent or
// to another target, although they may have run.
func TestTasksStartOnceWhenAgentIsKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("before", 30_000, tasksRunTimes(16, 2000)...)
	answer := f.submit(0, j)
	f.waitFor("the start of every task", func() bool { return f.startCount(j) == 16 })
	f.must(f.Kill("agent-0"))
	f.must(f.Restart("agent-0"))
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.TargetLost)
	if a.Ran == result.NotRun {
		t.Error("the answer reports not run, but the outcome is unknown")
	}
	next := tasksJob("after", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("after", next, f.submitUntilAccepted(0, next))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a second start after a start, an outcome or both were lost on the link:
// the entry must query the agent before it sends an attempt to another target.
func TestTasksStartOnceWhenLinkIsCut(t *testing.T) {
	cuts := map[string]faultproxy.Cut{"starts": faultproxy.CutBackward, "outcomes": faultproxy.CutForward, "both": faultproxy.CutBoth}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := startTasksFleet(t, func(o *fleet.Options) { o.Network.RelayLinks = true })
			relay := f.Relay("link/entry-0")
			j := tasksJob("cut", 40_000, tasksRunTimes(160, 200)...)
			answer := f.submit(0, j)
			f.waitFor("started tasks", func() bool { return f.startCount(j) >= 20 })
			f.must(relay.SetFaults(faultproxy.Faults{Cut: cut, Clients: []string{"agent-0"}}))
			flows := relay.Counters().Flows
			f.waitFor("a new link", func() bool { return relay.Counters().Flows > flows })
			relay.Restore()
			f.checkComplete("cut", j, f.waitAnswer(answer))
			f.checkNoRepeatedStarts()
			f.checkCounts(0)
		})
	}
}

// Guards against a frozen agent that, after it resumes, runs buffered starts that other
// agents have run meanwhile, and against an answer that reports them as not run.
func TestTasksStartOnceWhenAgentIsFrozen(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.must(f.Freeze("agent-0"))
	j := tasksJob("frozen", 30_000, tasksRunTimes(16, 100)...)
	answer := f.submit(0, j)
	// The entry reports the target as lost after the peer timeout and the loss timeout.
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.TargetLost)
	if a.Ran == result.NotRun {
		t.Error("the answer reports not run, but the outcome is unknown")
	}
	f.must(f.Resume("agent-0"))
	f.waitFor("a task to run at the resumed agent", func() bool {
		next := tasksJob("again", 30_000, tasksRunTimes(1, 1)...)
		before := f.targetStarts()[0].Identities
		f.waitAnswer(f.submit(0, tasksWithoutEchoes(next, 64)))
		return f.targetStarts()[0].Identities > before
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// tasksWithoutEchoes returns the job with n short tasks that have no echo, so that it can
// be submitted repeatedly without failing checkNoRepeatedStarts.
func tasksWithoutEchoes(j api.Job, n int) api.Job {
	j.Tasks = nil
	for range n {
		j.Tasks = append(j.Tasks, tasksTask(standin.TargetPayload{RunMS: 50}))
	}
	return j
}

// Guards against starts that run under an expired grant, when the agent was frozen for
// longer than the grant's lifetime but less than the link's peer timeout.
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

// Guards against an attempt refused by its target that is counted as run, that ends its
// job, or that runs at the refusing target and at another one.
func TestTasksRefusedByTargetRunAtOtherTarget(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Refuse: true})
	before := f.targetStarts()[0]
	j := tasksJob("refused", 30_000, tasksRunTimes(32, 100)...)
	f.checkComplete("refused", j, f.waitAnswer(f.submit(0, j)))
	after := f.targetStarts()[0]
	if after.Outcomes.Refused == before.Outcomes.Refused || after.Identities != before.Identities {
		t.Errorf("outcomes of the refusing target changed from %+v to %+v; want a refusal and no start", before.Outcomes, after.Outcomes)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a task that runs twice because its entry was frozen: the entry's grants
// expire meanwhile, and starts that it sends afterwards must be refused or run once.
func TestTasksStartOnceWhenEntryIsFrozen(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries = 2 })
	j := tasksJob("frozen", 40_000, tasksRunTimes(64, 200)...)
	answer := f.submit(0, j)
	f.waitFor("started tasks", func() bool { return f.startCount(j) >= 8 })
	f.must(f.Freeze("entry-0"))
	other := tasksJob("other", 30_000, tasksRunTimes(64, 200)...)
	a := f.submitUntilAccepted(1, other)
	f.checkComplete("other", other, a)
	f.waitFor("the agents to close their links to entry-0", func() bool {
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

// tasksLinkClosed reports whether an agent's log has a line on the closed link to an
// entry.
func tasksLinkClosed(log, name string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "entry link closed") && strings.Contains(line, name) {
			return true
		}
	}
	return false
}
