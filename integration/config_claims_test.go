package integration

import (
	"fmt"
	"sync"
	"testing"

	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// once fails unless a job's first task was started exactly once.
func (f *configFleet) once(key string) {
	f.t.Helper()
	if n := f.echoes(key); n != 1 {
		f.t.Errorf("job %s was started %d times, want once", key, n)
	}
}

// Guards against a request that runs again when its key is sent to another
// entry while the first submission runs, after it has ended, or after its entry
// was killed and came back.
func TestConfigClaimHoldsAcrossEntries(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	j := configJob("reserve", false, 1500)
	first := make(chan entry.Answer, 1)
	go func() {
		a, _ := f.submit(0, j)
		first <- a
	}()
	f.eventually("the job runs", func() bool { return f.echoes("reserve") > 0 })
	f.expectCode("while it runs, elsewhere", 1, j, result.AlreadyClaimed)
	f.expectCode("while it runs, same entry", 0, j, result.AlreadyClaimed)
	if a := <-first; a.State != entry.StateComplete {
		t.Errorf("the first submission: %+v", a)
	}
	f.expectCode("after its end", 1, j, result.AlreadyClaimed)
	f.once("reserve")

	killed := configJob("killed", false, 1000)
	go func() { _, _ = f.submit(0, killed) }()
	f.eventually("the job runs", func() bool { return f.echoes("killed") > 0 })
	f.must(f.Kill("entry-0"))
	f.expectCode("after the kill", 1, killed, result.AlreadyClaimed)
	f.must(f.Restart("entry-0"))
	f.must(f.WaitReady(t.Context(), "entry-0"))
	f.expectCode("at the successor", 0, killed, result.AlreadyClaimed)
	f.once("killed")
	f.checkStarts()
}

// Guards against a request that runs without a claim, or a refusal that keeps
// the key, while the store is down.
func TestConfigClaimNeedsTheStore(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.storeDown(true)
	j := configJob("outage", false, 20)
	for i := range 2 {
		f.expectCode("store down", i, j, result.ClaimUnavailable)
	}
	if n := f.echoes("outage"); n != 0 {
		t.Errorf("a job refused as not run was started %d times", n)
	}
	f.storeDown(false)
	f.complete(1, j)
	f.once("outage")
	f.expectCode("after its end", 0, j, result.AlreadyClaimed)
}

// submitTwice sends a job to two entries at once and checks that at most one
// submission ran and that every answer is true.
func (f *configFleet) submitTwice(j client.Job) (complete int) {
	f.t.Helper()
	var answers [2]entry.Answer
	var errs [2]error
	var both sync.WaitGroup
	for i := range answers {
		both.Go(func() { answers[i], errs[i] = f.submit(i, j) })
	}
	both.Wait()
	for i, a := range answers {
		switch {
		case errs[i] != nil:
			f.t.Errorf("job %s: %v", j.Key, errs[i])
		case a.State == entry.StateComplete:
			complete++
		case a.Ran != result.NotRun:
			f.t.Errorf("job %s: %+v", j.Key, a)
		}
	}
	if n := f.echoes(j.Key); n != complete {
		f.t.Errorf("job %s was started %d times and answered in full %d times", j.Key, n, complete)
	}
	return complete
}

// Guards against a second start, or a key that stays taken although nothing
// ran, when the answer to the claim's write is lost after it took effect.
func TestConfigClaimAnswerLost(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	ran := 0
	for round := range 12 {
		lost := 1 + round%4
		f.storeFaults(standin.StoreFaultChange{DropWriteAnswers: &lost})
		j := configJob(fmt.Sprint("lost-", round), false, 20)
		n := f.submitTwice(j)
		ran += n
		none := 0
		f.storeFaults(standin.StoreFaultChange{DropWriteAnswers: &none})
		if n == 0 {
			f.complete(round%2, j)
		}
		f.once(j.Key)
		f.expectCode("after its end", round%2, j, result.AlreadyClaimed)
	}
	t.Logf("%d of 12 jobs ran at the first submission", ran)
	f.checkStarts()
}

// Guards against a claim's write that lands after its caller was told that the
// job did not run, and then starts it or takes the key for ever.
func TestConfigClaimStoreSlow(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	for _, latency := range []int{300, 700, 1400, 4000} {
		f.storeFaults(standin.StoreFaultChange{LatencyMS: &latency})
		j := configJob(fmt.Sprint("slow-", latency), false, 20)
		n := f.submitTwice(j)
		none := 0
		f.storeFaults(standin.StoreFaultChange{LatencyMS: &none})
		if n == 0 {
			f.complete(0, j)
		}
		f.once(j.Key)
	}
}

// Guards against a key that stays taken by a job of which certainly no task
// ran.
func TestConfigClaimFreedWhenNothingRan(t *testing.T) {
	t.Parallel()
	f := startConfigFleet(t, 2, 2, nil)
	f.targetFaults(standin.TargetFaults{Refuse: true})
	j := configJob("refused", false, 20)
	j.DeadlineMS = 1500
	a, err := f.submit(0, j)
	if err != nil || a.Ran != result.NotRun {
		t.Fatalf("with targets that refuse: %+v, %v", a, err)
	}
	if n := f.echoes("refused"); n != 0 {
		t.Errorf("a job answered as not run was started %d times", n)
	}
	f.targetFaults(standin.TargetFaults{})
	j.DeadlineMS = 30_000
	f.complete(1, j)
	f.once("refused")
	f.expectCode("after its end", 0, j, result.AlreadyClaimed)
}
