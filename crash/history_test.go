package crash_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/workload"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func task(job string) workload.TaskID { return workload.TaskID{Job: job} }

// crashOf returns a crash of a target under one task each of jobs that had all just started.
func crashOf(target string, ms int, jobs ...string) crash.Record {
	r := crash.Record{Target: target, Born: 1, At: at(ms)}
	for _, j := range jobs {
		r.Suspects = append(r.Suspects, crash.Suspect{Task: task(j), RunTime: 20 * time.Millisecond})
	}
	return r
}

func expect(t *testing.T, h *crash.History, ms int, want map[string]crash.Verdict) {
	t.Helper()
	for job, v := range want {
		if got := h.Verdict(task(job), at(ms)); got != v {
			t.Errorf("verdict on %s: %s, want %s", job, got, v)
		}
	}
}

// Guards against a harmless task that is given up because it was beside a deadly one, twice.
func TestCompanyIsNotGuilty(t *testing.T) {
	h := crash.NewHistory()
	h.Add(crashOf("a", 0, "deadly", "beside", "other"), at(0))
	expect(t, h, 0, map[string]crash.Verdict{"deadly": crash.Clear, "beside": crash.Clear})
	h.Add(crashOf("b", 100, "deadly", "beside"), at(100))
	expect(t, h, 100, map[string]crash.Verdict{"deadly": crash.Suspected, "beside": crash.Suspected, "other": crash.Suspected})
	h.Add(crashOf("c", 200, "deadly"), at(200))
	expect(t, h, 200, map[string]crash.Verdict{"deadly": crash.Guilty, "beside": crash.Suspected})
	h.Done(task("beside"), at(300))
	h.Refresh(at(300))
	expect(t, h, 300, map[string]crash.Verdict{"deadly": crash.Guilty, "beside": crash.Clear})
}

// Guards against a task that is never found guilty since it always has company: harmless tasks
// complete in the meantime, which leaves it as the only suspect.
func TestOthersThatCompleteLeaveTheCause(t *testing.T) {
	h := crash.NewHistory()
	h.Add(crashOf("a", 0, "deadly", "x"), at(0))
	h.Add(crashOf("b", 100, "deadly", "y"), at(100))
	expect(t, h, 100, map[string]crash.Verdict{"deadly": crash.Suspected})
	h.Done(task("x"), at(200))
	h.Done(task("y"), at(200))
	h.Refresh(at(200))
	expect(t, h, 200, map[string]crash.Verdict{"deadly": crash.Guilty})
}

// Guards against a witness that knows only a part of the runs and makes one of them the only
// suspect, and against a crash that several witnesses report and that is counted twice.
func TestWitnessesOfOneCrash(t *testing.T) {
	h := crash.NewHistory()
	partial := crashOf("a", 0, "x")
	partial.Partial = true
	h.Add(partial, at(0))
	h.Add(crashOf("b", 50, "x", "y"), at(50))
	expect(t, h, 50, map[string]crash.Verdict{"x": crash.Suspected})
	if h.Add(crashOf("b", 60, "x", "y"), at(60)) {
		t.Error("a report that says nothing new is passed on")
	}
	if h.Crashes(task("x")) != 2 {
		t.Errorf("%d crashes, want 2", h.Crashes(task("x")))
	}
	if !h.Add(crashOf("a", 0, "x", "z"), at(70)) {
		t.Error("a further run on the target is not passed on")
	}
	expect(t, h, 70, map[string]crash.Verdict{"x": crash.Suspected})
}

// Guards against a task that may start more than twice after three crashes because it was never
// alone, and against crashes that are held against tasks forever.
func TestCrashesAreBoundedAndForgotten(t *testing.T) {
	h := crash.NewHistory()
	for i, target := range []string{"a", "b", "c", "d"} {
		expect(t, h, i*100, map[string]crash.Verdict{"x": []crash.Verdict{crash.Clear, crash.Clear, crash.Suspected, crash.Suspected}[i]})
		h.Add(crashOf(target, i*100, "x", "y"), at(i*100))
	}
	expect(t, h, 400, map[string]crash.Verdict{"x": crash.Guilty})
	h.Refresh(at(61_000))
	expect(t, h, 61_000, map[string]crash.Verdict{"x": crash.Clear})
	if len(h.Records(at(61_000))) != 0 {
		t.Error("records older than a minute are kept")
	}
}

func withRoute(route string, r crash.Record) crash.Record {
	for i := range r.Suspects {
		r.Suspects[i].Route = route
	}
	return r
}

// Guards against a route that is blamed for a single deadly job, and against one that is blamed
// too late: once the cause of one crash is known, a further crash under a run of the same route
// is enough.
func TestRouteIsBlamedForSeveralJobs(t *testing.T) {
	h := crash.NewHistory()
	h.Add(withRoute("p", crashOf("a", 0, "deadly")), at(0))
	h.Add(withRoute("p", crashOf("b", 100, "deadly")), at(100))
	if h.Blamed("p", at(100)) {
		t.Error("the route is blamed for one job")
	}
	h.Add(withRoute("q", crashOf("c", 150, "x", "y")), at(150))
	if h.Blamed("p", at(150)) || h.Blamed("q", at(150)) {
		t.Error("a crash without a run of the route is held against it")
	}
	h.Add(withRoute("p", crashOf("d", 200, "other", "z")), at(200))
	if !h.Blamed("p", at(200)) || h.Blamed("q", at(200)) {
		t.Errorf("blamed routes %v, want p", h.BlamedRoutes(at(200)))
	}
	expect(t, h, 200, map[string]crash.Verdict{"other": crash.Suspected, "x": crash.Clear})
	if h.Blamed("p", at(5000)) {
		t.Error("the route is blamed long after its last crash")
	}
}

// Guards against a route that is blamed for new crashes because it had a deadly job a while ago:
// its harmless jobs would be refused while another route crashes the targets.
func TestOldGuiltBlamesNobody(t *testing.T) {
	h := crash.NewHistory()
	h.Add(withRoute("p", crashOf("a", 0, "deadly")), at(0))
	h.Add(withRoute("p", crashOf("b", 100, "deadly")), at(100))
	h.Add(withRoute("p", crashOf("c", 200, "next")), at(200))
	if !h.Blamed("p", at(200)) {
		t.Error("the route is not blamed at the time")
	}
	both := withRoute("q", crashOf("d", 14_000, "x"))
	both.Suspects = append(both.Suspects, withRoute("p", crashOf("d", 14_000, "y")).Suspects...)
	h.Add(both, at(14_000))
	if h.Blamed("p", at(14_000)) {
		t.Error("the route is blamed for a crash 14 s after its own")
	}
	expect(t, h, 14_000, map[string]crash.Verdict{"deadly": crash.Guilty})
}

// Guards against a harmless task that is given up since it was left as the only suspect of a crash
// without a cause among the runs, and was beside a deadly task later (soak seed 3035).
func TestOneCrashWithoutCauseIsNoGuilt(t *testing.T) {
	h := crash.NewHistory()
	h.Add(crashOf("a", 0, "harmless", "other"), at(0))
	h.Done(task("other"), at(100))
	h.Refresh(at(100))
	h.Add(crashOf("b", 200, "harmless", "deadly", "third"), at(200))
	expect(t, h, 200, map[string]crash.Verdict{"harmless": crash.PrimeSuspect})
	h.Done(task("third"), at(300))
	h.Refresh(at(300))
	expect(t, h, 300, map[string]crash.Verdict{"harmless": crash.PrimeSuspect})
}
