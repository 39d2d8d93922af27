package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

// postJob posts a body as it is and returns the entry's answer.
func (f *tasksFleet) postJob(service string, body []byte) api.Answer {
	f.t.Helper()
	var a api.Answer
	response, err := http.Post(f.CallerURLs()[0]+"/v1/services/"+service+"/jobs", "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return a
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		f.t.Error(err)
	}
	if info, ok := result.Lookup(a.Code); ok && info.Status != response.StatusCode {
		f.t.Errorf("code %d came with status %d, want %d", a.Code, response.StatusCode, info.Status)
	}
	return a
}

// checkNotRun fails the test unless an answer has a code and says not run, and
// no task of the job started.
func (f *tasksFleet) checkNotRun(j api.Job, a api.Answer, code result.Code) {
	f.t.Helper()
	if a.State != api.StateFailed || a.Code != code || a.Ran != result.NotRun || len(a.Results) > 0 {
		f.t.Errorf("answer %s %d %s (%s), ran %s; want code %d, not run", a.State, a.Code, a.Name, a.Reason, a.Ran, code)
	}
	if n := f.startCount(j); n != 0 {
		f.t.Errorf("%d tasks of a job started that was answered as not run with %d", n, code)
	}
}

// Guards against a request that is refused for its content, says not run, and
// targetStarts some of its tasks, and against a code that callers cannot rely on.
func TestTasksNotRunForInvalidRequests(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) {
		o.EditEntry = func(_ int, s *settings.Entry) { s.Limits.BodyBytes, s.Limits.PayloadBytes = 1<<20, 64<<10 }
	})
	plain := func(j *api.Job) {}
	replace := func(old, new string) func(string) string {
		return func(body string) string { return strings.Replace(body, old, new, 1) }
	}
	same := func(body string) string { return body }
	cases := []struct {
		code    result.Code
		service string
		edit    func(j *api.Job)
		text    func(body string) string
	}{
		{result.BadRequest, "frames", plain, func(body string) string { return body[:len(body)-1] }},
		{result.BadRequest, "quotes", func(j *api.Job) { j.Idempotent = false }, same},
		{result.UnknownField, "frames", plain, replace(`{`, `{"prio":1,`)},
		{result.BodyTooLarge, "frames", plain, replace(`{`, `{`+strings.Repeat(" ", 1<<20))},
		{result.TooManyTasks, "frames", func(j *api.Job) {
			for len(j.Tasks) <= settings.DefaultTasks {
				j.Tasks = append(j.Tasks, j.Tasks[0])
			}
		}, same},
		{result.NoTasks, "frames", func(j *api.Job) { j.Tasks = []api.Task{} }, same},
		{result.PayloadTooLarge, "frames", func(j *api.Job) { j.Tasks[3].Payload += strings.Repeat(" ", 64<<10) }, same},
		{result.TooManyLabels, "frames", func(j *api.Job) {
			j.Labels = label.Set{}
			for i := range label.MaxLabels + 1 {
				j.Labels[fmt.Sprintf("label-%d", i)] = "x"
			}
		}, same},
		{result.LabelTooLong, "frames", func(j *api.Job) { j.Labels = label.Set{"x": strings.Repeat("x", label.MaxValueBytes+1)} }, same},
		{result.NestingTooDeep, "frames", plain, replace(`{`, `{"labels":`+strings.Repeat("[", 9)+strings.Repeat("]", 9)+`,`)},
		{result.BadDeadline, "frames", func(j *api.Job) { j.DeadlineMS = -1 }, same},
		{result.BadDeadline, "frames", func(j *api.Job) { j.DeadlineMS = 60_001 }, same},
		{result.UnknownService, "kites", plain, same},
		{result.UnknownWorkspace, "frames", func(j *api.Job) { j.Workspace = "nobody" }, same},
		{result.MissingKey, "frames", func(j *api.Job) { j.Key = "" }, same},
		{result.BadLabel, "frames", func(j *api.Job) { j.Labels = label.Set{"x": "a,b"} }, same},
		{result.BadHint, "frames", func(j *api.Job) { j.Tasks[2].RunMS = -1 }, same},
		{result.NoMatchingTarget, "frames", func(j *api.Job) { j.Labels = label.Set{"kind": "panorama"} }, same},
		{result.NoMatchingTarget, "quotes", plain, same},
	}
	jobs := make([]api.Job, len(cases))
	for i, c := range cases {
		jobs[i] = tasksJob(fmt.Sprintf("refused-%d", i), 30_000, tasksRunTimes(4, 10)...)
		jobs[i].Workspace = tasksWorkspaces[i%len(tasksWorkspaces)]
		c.edit(&jobs[i])
		body, err := json.Marshal(jobs[i])
		f.must(err)
		f.checkNotRun(jobs[i], f.postJob(c.service, []byte(c.text(string(body)))), c.code)
	}
	last := tasksJob("last", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("last", last, f.waitAnswer(f.submit(0, last)))
	for i, c := range cases {
		if n := f.startCount(jobs[i]); n != 0 {
			t.Errorf("code %d: %d tasks started later", c.code, n)
		}
	}
	f.checkCounts(0)
}

// waitForAnswerOrStart waits until a job is answered or a task of it has started, and
// reports whether it was answered.
func (f *tasksFleet) waitForAnswerOrStart(j api.Job, answer <-chan tasksAnswer) (a tasksAnswer, answered bool) {
	f.t.Helper()
	f.waitFor("an answer or a start", func() bool {
		select {
		case a = <-answer:
			answered = true
		default:
		}
		return answered || f.startCount(j) > 0
	})
	return a, answered
}

// Guards against a job over a queue bound that says not run and holds a place,
// and against refusals that name the workspace where the whole queue is full.
func TestTasksNotRunWhenQueueIsFull(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) {
		o.EditEntry = func(_ int, s *settings.Entry) { s.Limits.QueuedJobs = 8 }
	})
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	var refused []api.Job
	var accepted []<-chan tasksAnswer
	var held []api.Job
	fill := func(workspace string, stop result.Code) {
		for i := range 9 {
			j := tasksJob(fmt.Sprintf("%s-%d", workspace, i), 50_000, 10)
			j.Workspace = workspace
			answer := f.submit(0, j)
			a, answered := f.waitForAnswerOrStart(j, answer)
			if !answered {
				accepted, held = append(accepted, answer), append(held, j)
				continue
			}
			refused = append(refused, j)
			if a.Code == stop {
				f.checkNotRun(j, a.Answer, stop)
				return
			}
			f.checkNotRun(j, a.Answer, a.Code)
		}
		t.Errorf("workspace %s was never refused with %d", workspace, stop)
	}
	fill("a", result.WorkspaceQueueFull)
	for _, workspace := range []string{"b", "c"} {
		fill(workspace, result.WorkspaceQueueFull)
		if len(held) >= 7 {
			break
		}
	}
	fill("d", result.QueueFull)
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	for i, answer := range accepted {
		f.checkComplete(held[i].Key, held[i], f.waitAnswer(answer))
	}
	for _, j := range refused {
		if f.startCount(j) != 0 {
			t.Errorf("%s was refused and started later", j.Key)
		}
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a job that is refused because of its deadline and runs.
func TestTasksNotRunWhenDeadlineIsInfeasible(t *testing.T) {
	f := startTasksFleet(t, nil)
	n := 0
	f.waitFor("a job that is refused for its deadline", func() bool {
		n++
		f.waitAnswer(f.submit(0, tasksJob(fmt.Sprintf("known-%d", n), 30_000, tasksRunTimes(32, 200)...)))
		j := tasksJob(fmt.Sprintf("hopeless-%d", n), 400, tasksRunTimes(160, 200)...)
		a := f.waitAnswer(f.submit(0, j))
		if a.Code != result.DeadlineInfeasible {
			f.checkFailed(j, a, 0)
			return false
		}
		f.checkNotRun(j, a.Answer, result.DeadlineInfeasible)
		return true
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against jobs whose deadline passes, or whose caller leaves, while they
// waitAnswer, that start afterwards.
func TestTasksNotRunWhenJobEndsInQueue(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	front := tasksJob("front", 50_000, tasksRunTimes(16, 10)...)
	answer := f.submit(0, front)
	f.waitFor("every slot taken", func() bool { return f.startCount(front) == 16 })
	expired := tasksJob("expired", 1000, tasksRunTimes(4, 10)...)
	expired.Workspace = "b"
	f.checkNotRun(expired, f.waitAnswer(f.submit(0, expired)).Answer, result.ExpiredInQueue)
	cancelled := tasksJob("cancelled", 50_000, tasksRunTimes(4, 10)...)
	var before, during entry.Counts
	f.must(tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &before))
	ctx, leave := context.WithCancel(f.ctx)
	left := make(chan error, 1)
	go func() {
		_, err := f.clients[0].Submit(ctx, tasksService, cancelled)
		left <- err
	}()
	f.waitFor("the job in the queue", func() bool {
		return tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &during) == nil && during.Running == before.Running+1
	})
	leave()
	if err := <-left; !errors.Is(err, client.ErrBroken) {
		t.Errorf("the caller that left got %v", err)
	}
	f.waitFor("the job's end", func() bool {
		return tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &during) == nil && during.Failed == before.Failed+1
	})
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	f.checkComplete("front", front, f.waitAnswer(answer))
	last := tasksJob("last", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("last", last, f.waitAnswer(f.submit(0, last)))
	if n := f.startCount(expired) + f.startCount(cancelled); n != 0 {
		t.Errorf("%d tasks of ended jobs started", n)
	}
	if page := f.metricsPage(0); !strings.Contains(page, result.CancelledInQueue.String()) {
		t.Errorf("no job is counted as %s", result.CancelledInQueue)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against jobs that a stopping entry refuses and runs, or that it cuts.
func TestTasksNotRunWhenEntryIsStopping(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	running := tasksJob("running", 50_000, tasksRunTimes(4, 10)...)
	answer := f.submit(0, running)
	f.waitFor("tasks out", func() bool { return f.startCount(running) == 4 })
	f.must(f.Terminate("entry-0"))
	n := 0
	f.waitFor("a refusal", func() bool {
		n++
		j := tasksJob(fmt.Sprintf("late-%d", n), 50_000, 10)
		a, answered := f.waitForAnswerOrStart(j, f.submit(0, j))
		if answered {
			f.checkNotRun(j, a.Answer, result.Stopping)
		}
		return answered
	})
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	f.checkComplete("running", running, f.waitAnswer(answer))
	f.checkNoRepeatedStarts()
}

// Guards against non-idempotent jobs that are refused for want of a claim, or
// because of an earlier one, and run; and against jobs that run without a
// configuration.
func TestTasksNotRunWithoutClaimOrConfiguration(t *testing.T) {
	f := startTasksFleet(t, nil)
	once := func(key, name string) api.Job {
		j := tasksJob(name, 20_000, tasksRunTimes(2, 20)...)
		j.Key, j.Idempotent = key, false
		return j
	}
	first, second := once("same", "first"), once("same", "second")
	f.checkComplete("first", first, f.waitAnswer(f.submit(0, first)))
	f.checkNotRun(second, f.waitAnswer(f.submit(0, second)).Answer, result.AlreadyClaimed)
	f.setStoreFaults(`{"down":true}`)
	unclaimed := once("other", "unclaimed")
	f.checkNotRun(unclaimed, f.waitAnswer(f.submit(0, unclaimed)).Answer, result.ClaimUnavailable)
	f.checkCounts(0)
	f.must(f.Restart("entry-0"))
	n := 0
	f.waitFor("an answer of the new entry", func() bool {
		n++
		j := tasksJob(fmt.Sprintf("unconfigured-%d", n), 20_000, tasksRunTimes(2, 20)...)
		a := f.waitAnswer(f.submit(0, j))
		if a.err == nil {
			f.checkNotRun(j, a.Answer, result.NotConfigured)
		}
		return a.err == nil
	})
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a code that says "not run", reaches callers and is provoked by
// no test of this file.
func TestTasksNotRunCodesAreCovered(t *testing.T) {
	covered := func(code result.Code) bool {
		return code >= result.BadRequest && code <= result.BadHint ||
			code >= result.NoMatchingTarget && code <= result.CancelledInQueue || code == result.AttemptsSpent
	}
	for code := result.Code(100); code < 400; code++ {
		if info, ok := result.Lookup(code); ok && info.Ran == result.NotRun && !covered(code) {
			t.Errorf("code %d %s needs a test that it is true", code, code)
		}
	}
}

// Guards against an answer that calls a task not run which every target
// refused, and ran one.
func TestTasksNotRunWhenEveryTargetRefuses(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Refuse: true})
	f.setTargetFaults(1, standin.TargetFaults{Refuse: true})
	j := tasksJob("refused", 50_000, 20)
	f.checkNotRun(j, f.waitAnswer(f.submit(0, j)).Answer, result.AttemptsSpent)
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	last := tasksJob("last", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("last", last, f.waitAnswer(f.submit(0, last)))
	if n := f.startCount(j); n != 0 {
		t.Errorf("%d tasks of the refused job started later", n)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against "not run" where a task ran or may have run: it failed, its
// target died, or it hung until the deadline.
func TestTasksThatMayHaveRunAreNotReportedNotRun(t *testing.T) {
	f := startTasksFleet(t, nil)
	check := func(j api.Job, a tasksAnswer, ran ...result.Ran) {
		t.Helper()
		f.checkFailed(j, a, 0)
		for _, r := range ran {
			if a.Ran == r {
				return
			}
		}
		t.Errorf("%s: answer %d %s, ran %s", j.Key, a.Code, a.Name, a.Ran)
	}
	failing := tasksJob("failing", 20_000, 20, 20)
	failing.Tasks[1] = tasksTask(standin.TargetPayload{RunMS: 20, Fail: true, Echo: tasksEcho("failing", 1)})
	check(failing, f.waitAnswer(f.submit(0, failing)), result.RanYes)
	hanging := tasksJob("hanging", 1000, 20_000, 20_000)
	check(hanging, f.waitAnswer(f.submit(0, hanging)), result.RanUnknown, result.RanYes)
	f.setTargetFaults(0, standin.TargetFaults{Silent: true})
	f.setTargetFaults(1, standin.TargetFaults{Silent: true})
	silent := tasksJob("silent", 1000, 20)
	check(silent, f.waitAnswer(f.submit(0, silent)), result.RanUnknown)
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	dying := tasksJob("dying", 50_000, tasksRunTimes(2, 30_000)...)
	answer := f.submit(0, dying)
	f.waitFor("tasks out", func() bool { return f.startCount(dying) == 2 })
	f.checkNoRepeatedStarts()
	f.must(f.Kill("target-0"))
	f.must(f.Kill("target-1"))
	if a := f.waitAnswer(answer); a.err != nil || a.Ran != result.RanUnknown || len(a.Results) > 0 {
		t.Errorf("error %v, answer %d %s, ran %s", a.err, a.Code, a.Name, a.Ran)
	}
	f.checkCounts(0)
}

// metricsPage returns an entry's metrics page after its next report.
func (f *tasksFleet) metricsPage(i int) string {
	f.t.Helper()
	time.Sleep(1500 * time.Millisecond) // counters reach the page every 500 ms
	response, err := http.Get(f.EntryURLs()[i] + "/metrics")
	f.must(err)
	defer response.Body.Close()
	var page bytes.Buffer
	_, err = page.ReadFrom(response.Body)
	f.must(err)
	return page.String()
}

// setStoreFaults sets switches of the stand-in store.
func (f *tasksFleet) setStoreFaults(change string) {
	f.t.Helper()
	if err := tasksPost(f.ctx, f.StoreURL()+"/faults", []byte(change)); err != nil {
		f.t.Fatal(err)
	}
}
