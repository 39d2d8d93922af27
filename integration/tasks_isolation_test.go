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

// tasksMixedJobs returns jobs of different workspaces and sizes with the same request
// key. Every task has a unique echo.
func tasksMixedJobs(n int, seed uint64) []api.Job {
	random := rand.New(rand.NewPCG(seed, 0))
	jobs := make([]api.Job, n)
	for i := range jobs {
		runMS := make([]float64, 1+random.IntN(24))
		for k := range runMS {
			runMS[k] = 20 + 130*random.Float64()
		}
		jobs[i] = tasksJob(fmt.Sprintf("job-%d-%d", seed, i), 55_000, runMS...)
		jobs[i].Key = "same-key"
		jobs[i].Workspace = tasksWorkspaces[i%len(tasksWorkspaces)]
	}
	return jobs
}

// checkMixedJobs submits jobs to all entries at once, injects the fault when a task of
// the first job has started, and checks every answer.
func (f *tasksFleet) checkMixedJobs(jobs []api.Job, injectFault func()) {
	f.t.Helper()
	answers := make([]<-chan tasksAnswer, len(jobs))
	for i, j := range jobs {
		answers[i] = f.submit(i%len(f.clients), j)
	}
	f.waitFor("started tasks", func() bool { return f.startCount(jobs[0]) > 0 })
	injectFault()
	for i, j := range jobs {
		f.checkComplete(fmt.Sprintf("job %d", i), j, f.waitAnswer(answers[i]))
	}
	f.checkNoRepeatedStarts()
	for i := range f.clients {
		f.checkCounts(i)
	}
}

// Guards against an answer that has the results of another job with the same request key.
func TestTasksAnswersReachTheirOwnCallers(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries = 2 })
	f.checkMixedJobs(tasksMixedJobs(60, 11), func() {})
}

// Guards against outcomes that arrive after a reconnect and are lost, or are assigned to
// another job or attempt.
func TestTasksLateOutcomesReachTheirOwnCallers(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) { o.Entries, o.Network.RelayLinks = 2, true })
	f.checkMixedJobs(tasksMixedJobs(60, 12), func() {
		f.Relay("link/entry-0").SilenceFlows()
		f.Relay("link/entry-1").SilenceFlows()
	})
}

// Guards against messages that are handled twice because packets were duplicated, and
// against results that are lost because packets were lost.
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
