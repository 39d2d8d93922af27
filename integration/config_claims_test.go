package integration

import (
	"fmt"
	"sync"
	"testing"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// checkStartedOnce fails the test unless a job's first task started exactly once.
func (f *configFleet) checkStartedOnce(key string) {
	f.t.Helper()
	if n := f.startsByEcho(key); n != 1 {
		f.t.Errorf("the first task of job %s started %d times, want once", key, n)
	}
}

// Guards against a request that runs again when its key is sent to another entry while
// the first submission runs, after that has ended, or after its entry was killed and
// restarted.
func TestConfigClaimPreventsSecondRunAtOtherEntry(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	j := configJob("reserve", false, 1500)
	first := make(chan api.Answer, 1)
	go func() {
		a, _ := f.submit(0, j)
		first <- a
	}()
	f.waitFor("the job has started", func() bool { return f.startsByEcho("reserve") > 0 })
	f.checkNotRun("while it runs, at the other entry", 1, j, result.AlreadyClaimed)
	f.checkNotRun("while it runs, at the same entry", 0, j, result.AlreadyClaimed)
	if a := <-first; a.State != api.StateComplete {
		t.Errorf("first submission: answer %+v, want complete", a)
	}
	f.checkNotRun("after completion", 1, j, result.AlreadyClaimed)
	f.checkStartedOnce("reserve")

	killed := configJob("killed", false, 1000)
	go func() { _, _ = f.submit(0, killed) }()
	f.waitFor("the job has started", func() bool { return f.startsByEcho("killed") > 0 })
	f.must(f.Kill("entry-0"))
	f.checkNotRun("after its entry was killed, at the other entry", 1, killed, result.AlreadyClaimed)
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(t.Context(), "entry-0"))
	f.checkNotRun("at the restarted entry", 0, killed, result.AlreadyClaimed)
	f.checkStartedOnce("killed")
	f.checkNoRepeatedStarts()
}

// Guards against a request that runs without a claim, or a refusal that leaves the key
// claimed, while the store is down.
func TestConfigClaimRequiresStore(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.setStoreDown(true)
	j := configJob("outage", false, 20)
	for i := range 2 {
		f.checkNotRun("store down", i, j, result.ClaimUnavailable)
	}
	if n := f.startsByEcho("outage"); n != 0 {
		t.Errorf("a job reported as not run started %d times", n)
	}
	f.setStoreDown(false)
	f.submitUntilComplete(1, j)
	f.checkStartedOnce("outage")
	f.checkNotRun("after completion", 0, j, result.AlreadyClaimed)
}

// submitToBothEntries sends a job to two entries at once. It checks that the job ran
// only for submissions with a complete answer, and that the others are reported as not
// run. It returns the number of complete answers.
func (f *configFleet) submitToBothEntries(j api.Job) (complete int) {
	f.t.Helper()
	var answers [2]api.Answer
	var errs [2]error
	var submissions sync.WaitGroup
	for i := range answers {
		submissions.Go(func() { answers[i], errs[i] = f.submit(i, j) })
	}
	submissions.Wait()
	for i, a := range answers {
		switch {
		case errs[i] != nil:
			f.t.Errorf("job %s: %v", j.Key, errs[i])
		case a.State == api.StateComplete:
			complete++
		case a.Ran != result.NotRun:
			f.t.Errorf("job %s: answer %+v, want complete or not run", j.Key, a)
		}
	}
	if n := f.startsByEcho(j.Key); n != complete {
		f.t.Errorf("job %s started %d times and has %d complete answers", j.Key, n, complete)
	}
	return complete
}

// Guards against a second start, or a key that stays claimed although nothing ran, when
// the response to the claim's write is lost after the write took effect.
func TestConfigClaimWriteResponseLost(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	firstRuns := 0
	for round := range 12 {
		drops := 1 + round%4
		f.setStoreFaults(standin.StoreFaultChange{DropWriteAnswers: &drops})
		j := configJob(fmt.Sprint("lost-", round), false, 20)
		n := f.submitToBothEntries(j)
		firstRuns += n
		off := 0
		f.setStoreFaults(standin.StoreFaultChange{DropWriteAnswers: &off})
		if n == 0 {
			f.submitUntilComplete(round%2, j)
		}
		f.checkStartedOnce(j.Key)
		f.checkNotRun("after completion", round%2, j, result.AlreadyClaimed)
	}
	t.Logf("%d of 12 jobs ran at the first submission", firstRuns)
	f.checkNoRepeatedStarts()
}

// Guards against a claim's write that takes effect after the caller was told that the
// job did not run, and that then starts the job or leaves its key claimed for good.
func TestConfigClaimWithSlowStore(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	for _, latency := range []int{300, 700, 1400, 4000} {
		f.setStoreFaults(standin.StoreFaultChange{LatencyMS: &latency})
		j := configJob(fmt.Sprint("slow-", latency), false, 20)
		n := f.submitToBothEntries(j)
		off := 0
		f.setStoreFaults(standin.StoreFaultChange{LatencyMS: &off})
		if n == 0 {
			f.submitUntilComplete(0, j)
		}
		f.checkStartedOnce(j.Key)
	}
}

// Guards against a key that stays claimed by a job of which certainly no task ran.
func TestConfigClaimReleasedWhenNothingRan(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.setTargetFaults(standin.TargetFaults{Refuse: true})
	j := configJob("refused", false, 20)
	j.DeadlineMS = 1500
	a, err := f.submit(0, j)
	if err != nil || a.Ran != result.NotRun {
		t.Fatalf("targets refuse every task: answer %+v, error %v; want not run", a, err)
	}
	if n := f.startsByEcho("refused"); n != 0 {
		t.Errorf("a job reported as not run started %d times", n)
	}
	f.setTargetFaults(standin.TargetFaults{})
	j.DeadlineMS = 30_000
	f.submitUntilComplete(1, j)
	f.checkStartedOnce("refused")
	f.checkNotRun("after completion", 0, j, result.AlreadyClaimed)
}
