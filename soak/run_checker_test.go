package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/standin"
)

const anyTask = "00000000000000aa.0.0.0"

// newTestChecker returns a runChecker with two registered targets that have a lease.
func newTestChecker(t *testing.T) *runChecker {
	t.Helper()
	checker := newRunChecker()
	for _, id := range []string{"i-0", "i-1"} {
		r := standin.NewRunner(standin.RunnerOptions{ID: id})
		r.RenewLease(time.Now().Add(time.Minute))
		checker.addTarget(id, r)
	}
	return checker
}

// want fails the test unless the recorded violations are of these rules, in this order.
func want(t *testing.T, checker *runChecker, rules ...string) {
	t.Helper()
	got := checker.recordedViolations()
	if len(got) != len(rules) {
		t.Fatalf("got %q, want %q", got, rules)
	}
	for i, rule := range rules {
		if !strings.HasPrefix(got[i], rule+" ") {
			t.Errorf("got %q, want %s", got[i], rule)
		}
	}
}

// Guards against a soak that doesn't detect concurrent runs of one task.
func TestRunCheckerDetectsConcurrentRuns(t *testing.T) {
	checker := newTestChecker(t)
	spec := taskSpec{cpu: taskCPU}.String()
	checker.RunStarted("i-0", anyTask, spec)
	checker.RunEnded("i-0", anyTask, "stopped")
	checker.RunStarted("i-1", anyTask, spec)
	want(t, checker)
	checker.RunStarted("i-0", anyTask, spec)
	want(t, checker, "TWICE")
}

// Guards against a false violation when a target hasn't yet ended a run whose lease has
// expired.
func TestRunCheckerIgnoresExpiredRuns(t *testing.T) {
	checker := newRunChecker()
	checker.addTarget("i-0", standin.NewRunner(standin.RunnerOptions{ID: "i-0"})) // never got a lease
	checker.RunStarted("i-0", anyTask, taskSpec{}.String())
	checker.RunStarted("i-1", anyTask, taskSpec{}.String())
	want(t, checker)
}

// Guards against a soak that doesn't detect a target over its capacity.
func TestRunCheckerDetectsExceededCapacity(t *testing.T) {
	checker := newTestChecker(t)
	checker.RunStarted("i-0", anyTask, taskSpec{cpu: targetCPU}.String())
	checker.RunEnded("i-0", anyTask, "done")
	checker.RunStarted("i-0", "00000000000000ab.0.0.0", taskSpec{cpu: targetCPU}.String())
	want(t, checker)
	checker.RunStarted("i-0", "00000000000000ac.0.0.0", taskSpec{cpu: 1}.String())
	want(t, checker, "LIMIT")
}

// Guards against a soak that accepts responses that contradict the recorded runs.
func TestRunCheckerDetectsUntrueResponses(t *testing.T) {
	checker := newTestChecker(t)
	job := newJob("00000000000000aa", 2, taskSpec{cpu: 1})
	checker.RunStarted("i-0", anyTask, job.Spec)
	checker.RunEnded("i-0", anyTask, "done")
	checker.checkDone(job)
	want(t, checker, "UNTRUE")
	checker.checkFailed(job.ID)
	want(t, checker, "UNTRUE", "UNTRUE")
	c := &callers{b: &testbed{runChecker: checker}}
	refused := send{response: platform.JobResponse{Status: 503}}
	c.refusedJobs = []*callerJob{{job: job, sends: []send{refused}}}
	c.checkRefused()
	want(t, checker, "UNTRUE", "UNTRUE", "REFUSED")
}

// Guards against checking time bounds while a fault is active, and against never
// checking them.
func TestTimelineCalm(t *testing.T) {
	tl := &timeline{}
	begin := time.Now()
	tl.begin("edge-0", false)()
	open := tl.begin("edge-1", true)
	end := time.Now()
	for _, c := range []struct {
		place    string
		from, to time.Time
		calm     bool
	}{
		{everywhere, begin, end, false},
		{everywhere, end, end.Add(time.Second), true}, // a planned fault is active
		{"edge-0", begin, end, false},
		{"edge-1", begin, end, false},
		{"edge-2", begin, end, true},
	} {
		if got := tl.calm(c.place, c.from, c.to); got != c.calm {
			t.Errorf("calm at %q is %v, want %v", c.place, got, c.calm)
		}
	}
	open()
	if !tl.calm("edge-1", time.Now(), time.Now().Add(time.Second)) {
		t.Error("a fault that has ended counts as active")
	}
}

// Guards against seeds whose faults differ from run to run.
func TestSameSeedGeneratesSameFaults(t *testing.T) {
	names := func(seed uint64) string {
		b := &testbed{}
		for _, name := range []string{"edge-0", "edge-1"} {
			b.gateways = append(b.gateways, &node{name: name})
		}
		b.sidecars = []*node{{name: "side-0"}, {name: "side-1"}}
		g := newGenerator(b, seed)
		var out []string
		for _, f := range append(g.planned(5*time.Second), g.overlapping(8*time.Second)...) {
			out = append(out, f.at.String(), f.name, f.lasts.String())
		}
		return strings.Join(out, "; ")
	}
	first, again := names(1), names(1)
	if first != again {
		t.Error("the same seed generates other faults the second time")
	}
	if first == names(2) {
		t.Error("two seeds generate the same faults")
	}
}
