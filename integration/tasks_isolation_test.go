package integration

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
)

var tasksWorkspaces = []string{"a", "b", "c", "d"}

// tasksMixedJobs returns jobs of different workspaces and sizes under one request
// key. Every task has its own echo.
func tasksMixedJobs(n int, seed uint64) []api.Job {
	random := rand.New(rand.NewPCG(seed, 0))
	jobs := make([]api.Job, n)
	for i := range jobs {
		run := make([]float64, 1+random.IntN(24))
		for k := range run {
			run[k] = 20 + 130*random.Float64()
		}
		jobs[i] = tasksJob(fmt.Sprintf("job-%d-%d", seed, i), 55_000, run...)
		jobs[i].Key = "same-key"
		jobs[i].Workspace = tasksWorkspaces[i%len(tasksWorkspaces)]
	}
	return jobs
}

// checkMixedJobs sends jobs over two entries at once, lets the fault happen
// once a quarter of the first job's tasks are out, and checks every answer.
func (f *tasksFleet) checkMixedJobs(jobs []api.Job, fault func()) {
	f.t.Helper()
	answers := make([]<-chan tasksAnswer, len(jobs))
	for i, j := range jobs {
		answers[i] = f.submit(i%len(f.clients), j)
	}
	f.waitFor("tasks out", func() bool { return f.startCount(jobs[0]) > 0 })
	fault()
	for i, j := range jobs {
		f.checkComplete(fmt.Sprintf("job %d", i), j, f.waitAnswer(answers[i]))
	}
	f.checkNoRepeatedStarts()
	for i := range f.clients {
		f.checkCounts(i)
	}
}

// Guards against answers that are mixed up among jobs under one request key.
func TestTasksAnswersReachTheirOwnCallers(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries = 2 })
	f.checkMixedJobs(tasksMixedJobs(60, 11), func() {})
}

// Guards against outcomes that arrive late, after a reconnect, and are taken
// for those of another job or attempt, or are lost.
func TestTasksLateOutcomesReachTheirOwnCallers(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries, o.Network.RelayLinks = 2, true })
	f.checkMixedJobs(tasksMixedJobs(60, 12), func() {
		f.Relay("link/entry-0").SilenceFlows()
		f.Relay("link/entry-1").SilenceFlows()
	})
}

// Guards against messages that are handled twice because their packets were
// duplicated, and against results that are lost with packets.
func TestTasksDuplicatedPacketsChangeNoAnswer(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries, o.Network.RelayLinks = 2, true })
	for _, name := range []string{"link/entry-0", "link/entry-1"} {
		f.must(f.Relay(name).SetFaults(faultproxy.Faults{Loss: 0.05, Duplicate: 0.3}))
	}
	f.checkMixedJobs(tasksMixedJobs(60, 13), func() {})
	if f.Relay("link/entry-0").Counters().Duplicated == 0 {
		t.Error("no packet was duplicated")
	}
}
