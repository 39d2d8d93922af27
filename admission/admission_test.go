package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
)

const second = time.Second

var epoch = time.Unix(1_700_000_000, 0)

func newController(o Options, slots float64) *Controller {
	rate := NewRate()
	rate.SetExpectedSlots(slots)
	return New(o, rate, rand.New(rand.NewPCG(1, 2)))
}

// newRequest returns a request for a job of ten one-second tasks with a deadline in
// ten seconds.
func newRequest(workspace string, ahead time.Duration) Request {
	return Request{
		Workspace: workspace, Usage: Usage{1, 10, 100}, Deadline: 10 * second,
		Work: 10 * second, LongestTask: second, WorkAhead: ahead, Confident: true,
	}
}

func codeOf(err *result.Error) result.Code {
	if err == nil {
		return 0
	}
	return err.Code
}

// Guards against a queue that exceeds its bound in jobs, tasks or bytes, and against
// one that accepts and refuses in turn at the bound instead of draining.
func TestQueueBounds(t *testing.T) {
	for _, bound := range []Usage{{100, 1 << 30, 1 << 40}, {1 << 30, 1000, 1 << 40}, {1 << 30, 1 << 30, 10_000}} {
		c := newController(Options{Bound: bound}, 1000)
		c.Adjust("a", Usage{100, 1000, 10_000})
		err := c.Admit(newRequest("b", 0), epoch)
		if codeOf(err) != result.QueueFull || err.Ran != result.NotRun || err.RetryAfter < minRetryAfter {
			t.Fatalf("bound %v: got %+v, want QueueFull, not run, and at least minRetryAfter", bound, err)
		}
		c.Adjust("a", Usage{-10, -100, -1000})
		if got := codeOf(c.Admit(newRequest("b", 0), epoch)); got != result.QueueFull {
			t.Errorf("bound %v: reopened at 90%%: %v", bound, got)
		}
		c.Adjust("a", Usage{-10, -100, -1000})
		if got := codeOf(c.Admit(newRequest("b", 0), epoch)); got != 0 {
			t.Errorf("bound %v: not reopened at 80%%: %v", bound, got)
		}
	}
}

// Guards against one workspace that fills the queue and locks the others out, and
// against usage records that remain for workspaces without jobs.
func TestWorkspaceShare(t *testing.T) {
	c := newController(Options{Bound: Usage{90, 1 << 30, 1 << 40}}, 1000)
	n := 0
	for ; c.Admit(newRequest("flood", 0), epoch) == nil; n++ {
	}
	if n != 60 {
		t.Errorf("one workspace holds %d of 90, want two thirds", n)
	}
	if got := codeOf(c.Admit(newRequest("flood", 0), epoch)); got != result.WorkspaceQueueFull {
		t.Errorf("flooding workspace: %v", got)
	}
	c.Adjust("filler", Usage{Jobs: 29})
	if err := c.Admit(newRequest("other", 0), epoch); err != nil {
		t.Errorf("other workspace: %v", err)
	}
	if got := codeOf(c.Admit(newRequest("other", 0), epoch)); got != result.QueueFull {
		t.Errorf("other workspace, full queue: %v", got)
	}
	c.Adjust("filler", Usage{Jobs: -29})
	c.Adjust("flood", Usage{-60, -600, -6000})
	c.Adjust("other", Usage{-1, -10, -100})
	if len(c.workspaces) != 0 || c.Usage() != (Usage{}) {
		t.Errorf("usage left after release: %v, %v", c.workspaces, c.Usage())
	}
}

// Guards against accepting work that then expires, and against refusing work that can
// meet its deadline.
func TestDeadline(t *testing.T) {
	alone := newRequest("a", 0)
	alone.LongestTask = 11 * second
	wide := newRequest("a", 0)
	wide.Work = 101 * second
	narrow := newRequest("a", 30*second)
	narrow.SlotShare = 0.25
	behind := newRequest("a", 91*second)
	behind.Work = second
	cases := map[string]struct {
		r     Request
		code  result.Code
		retry bool
	}{
		"idle":                       {newRequest("a", 0), 0, false},
		"just in time":               {newRequest("a", 90*second), 0, false},
		"too much ahead":             {newRequest("a", 91*second), result.DeadlineInfeasible, true},
		"longest task after a wait":  {behind, result.DeadlineInfeasible, true},
		"longest task too long":      {alone, result.DeadlineInfeasible, false},
		"more work than slots allow": {wide, result.DeadlineInfeasible, false},
		"few targets":                {narrow, result.DeadlineInfeasible, true},
	}
	for name, tc := range cases {
		err := newController(Options{}, 10).Admit(tc.r, epoch)
		if codeOf(err) != tc.code || err != nil && (err.RetryAfter > 0) != tc.retry {
			t.Errorf("%s: %+v", name, err)
		}
		if err := newController(Options{BoundsOnly: true}, 10).Admit(tc.r, epoch); err != nil {
			t.Errorf("%s, bounds only: %v", name, err)
		}
	}
}

// Guards against refusing a job on an idle system because of a wrong declared run
// time or because no measurement exists.
func TestUnconfidentEstimateDoesNotRefuse(t *testing.T) {
	r := newRequest("a", 0)
	r.Work, r.LongestTask, r.Confident = 1000*time.Hour, 100*time.Hour, false
	if err := newController(Options{}, 10).Admit(r, epoch); err != nil {
		t.Errorf("wrong declaration: %v", err)
	}
	r.WorkAhead = 101 * second
	if got := codeOf(newController(Options{}, 10).Admit(r, epoch)); got != result.DeadlineInfeasible {
		t.Errorf("work ahead: %v", got)
	}
	if err := newController(Options{}, 0).Admit(newRequest("a", 0), epoch); err != nil {
		t.Errorf("no prior: %v", err)
	}
}

// Guards against accepting jobs without a margin right after a refusal, when the work
// ahead was underestimated, and against a margin that never ends or that refuses a
// job with no work ahead.
func TestMarginAfterRefusal(t *testing.T) {
	c := newController(Options{}, 10)
	c.Admit(newRequest("a", 91*second), epoch)
	for _, step := range []struct {
		ahead time.Duration
		after time.Duration
		code  result.Code
	}{
		{85 * second, 0, result.DeadlineInfeasible},
		{85 * second, 4 * second, result.DeadlineInfeasible},
		{70 * second, 4 * second, 0},
		{85 * second, 6 * second, 0},
	} {
		if got := codeOf(c.Admit(newRequest("a", step.ahead), epoch.Add(step.after))); got != step.code {
			t.Errorf("%v ahead after %v: %v", step.ahead, step.after, got)
		}
	}
	c.Admit(newRequest("a", 91*second), epoch)
	long := newRequest("a", 0)
	long.LongestTask = 9900 * time.Millisecond
	if err := c.Admit(long, epoch); err != nil {
		t.Errorf("nothing ahead: %v", err)
	}
}

// Guards against refused jobs that all retry at once and cause the next load peak,
// and against unbounded retry hints.
func TestResubmissionsArePaced(t *testing.T) {
	c := newController(Options{}, 100)
	var hints []time.Duration
	for range 200 {
		err := c.Admit(newRequest("a", 2000*second), epoch)
		hints = append(hints, err.RetryAfter)
	}
	slices.Sort(hints)
	if hints[0] < 20*second || hints[0] > 25*second {
		t.Errorf("first retry after %v, work ahead is done after 20 s", hints[0])
	}
	// A job has 10 slot seconds, so 100 slots do 50 jobs in 5 s.
	for i := range hints {
		if i >= 50 && hints[i]-hints[i-50] < 5*second {
			t.Errorf("50 jobs come back within %v", hints[i]-hints[i-50])
			break
		}
	}
	if last := hints[199]; last > maxRetryAfter {
		t.Errorf("retry hint of %v", last)
	}
	for range 2000 {
		c.Admit(newRequest("a", 2000*second), epoch)
	}
	if err := c.Admit(newRequest("a", 2000*second), epoch.Add(maxRetryAfter)); err.RetryAfter > 26*second {
		t.Errorf("retry hint of %v a minute after the last refusal", err.RetryAfter)
	}
}

// Guards against refused jobs that keep the system full of work that expires after a
// load peak, or that retry many times in vain. Thirty jobs a second arrive for 20 s,
// then four; the slots process ten. A refused caller follows the retry hint.
func TestRecoveryAfterPeak(t *testing.T) {
	const tick = 100 * time.Millisecond
	c := newController(Options{}, 100)
	due := map[int]int{} // jobs by the tick at which they are sent
	for i := range 1200 {
		due[i] = map[bool]int{true: 3, false: i % 5 / 2 % 2}[i < 200]
	}
	var backlog time.Duration
	var accepted, refused, lastRefusal int
	for i := range 2400 {
		now := epoch.Add(time.Duration(i) * tick)
		backlog = max(0, backlog-100*tick)
		for range due[i] {
			if err := c.Admit(newRequest("a", backlog), now); err != nil {
				refused++
				lastRefusal = i
				due[i+1+int(err.RetryAfter/tick)]++
				continue
			}
			accepted++
			backlog += 10 * second
			if backlog > 1000*second {
				t.Fatalf("accepted at tick %d, done after %v", i, backlog/100)
			}
		}
	}
	if accepted != 1000 || refused > 1000 || lastRefusal > 1500 {
		t.Errorf("%d accepted, %d refusals, the last at tick %d; want 1000, at most 1000, and none after tick 1500", accepted, refused, lastRefusal)
	}
}

// Guards against a rate that treats an idle system as slow, misses a loss of slots
// under load, or does not reflect tasks that run faster than expected.
func TestRate(t *testing.T) {
	r := NewRate()
	r.SetExpectedSlots(80)
	r.SetSlots(2, false, epoch)
	now := epoch.Add(time.Hour)
	r.SetSlots(2, true, now)
	if v := r.Value(); v < 79 || v > 81 {
		t.Errorf("idle: %v", v)
	}
	now = now.Add(10 * second)
	r.SetSlots(20, true, now)
	if v := r.Value(); v > 10 {
		t.Errorf("two slots under load: %v", v)
	}
	now = now.Add(30 * second)
	r.RecordFinished(1000*second, 10*second, now)
	if v := r.Value(); v < 20*50 {
		t.Errorf("tasks a hundred times quicker than expected: %v", v)
	}
	r.SetSlots(0, false, now)
	r.SetSlots(0, false, now.Add(2*time.Minute))
	if v := r.Value(); v < 79 || v > 81 {
		t.Errorf("idle again: %v", v)
	}
}
