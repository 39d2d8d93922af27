package integration

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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

// postJob posts an encoded job to entry-0 and returns the answer. It checks that the HTTP
// status belongs to the answer's code.
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
		f.t.Errorf("code %d has HTTP status %d, want %d", a.Code, response.StatusCode, info.Status)
	}
	return a
}

// checkNotRun fails the test unless an answer has the given code and reports the job as
// not run, and no task of the job started.
func (f *tasksFleet) checkNotRun(j api.Job, a api.Answer, code result.Code) {
	f.t.Helper()
	if a.State != api.StateFailed || a.Code != code || a.Ran != result.NotRun || len(a.Results) > 0 {
		f.t.Errorf("answer %s %d %s (%s), ran %s; want code %d, not run", a.State, a.Code, a.Name, a.Reason, a.Ran, code)
	}
	if n := f.startCount(j); n != 0 {
		f.t.Errorf("%d tasks started of a job reported as not run with code %d", n, code)
	}
}

// Guards against an invalid request that is reported as not run although some of its
// tasks start, and against an unexpected result code.
func TestTasksNotRunForInvalidRequests(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) {
		o.EditEntry = func(_ int, s *settings.Entry) { s.Limits.BodyBytes, s.Limits.PayloadBytes = 1<<20, 64<<10 }
	})
	unchanged := func(j *api.Job) {}
	replace := func(old, new string) func(string) string {
		return func(body string) string { return strings.Replace(body, old, new, 1) }
	}
	sameBody := func(body string) string { return body }
	cases := []struct {
		code     result.Code
		service  string
		edit     func(j *api.Job)
		editBody func(encoded string) string
	}{
		{result.BadRequest, "frames", unchanged, func(body string) string { return body[:len(body)-1] }},
		{result.BadRequest, "quotes", func(j *api.Job) { j.Idempotent = false }, sameBody},
		{result.UnknownField, "frames", unchanged, replace(`{`, `{"prio":1,`)},
		{result.BodyTooLarge, "frames", unchanged, replace(`{`, `{`+strings.Repeat(" ", 1<<20))},
		{result.TooManyTasks, "frames", func(j *api.Job) {
			for len(j.Tasks) <= settings.DefaultTasks {
				j.Tasks = append(j.Tasks, j.Tasks[0])
			}
		}, sameBody},
		{result.NoTasks, "frames", func(j *api.Job) { j.Tasks = []api.Task{} }, sameBody},
		{result.PayloadTooLarge, "frames", func(j *api.Job) { j.Tasks[3].Payload += strings.Repeat(" ", 64<<10) }, sameBody},
		{result.TooManyLabels, "frames", func(j *api.Job) {
			j.Labels = label.Set{}
			for i := range label.MaxLabels + 1 {
				j.Labels[fmt.Sprintf("label-%d", i)] = "x"
			}
		}, sameBody},
		{result.LabelTooLong, "frames", func(j *api.Job) { j.Labels = label.Set{"x": strings.Repeat("x", label.MaxValueBytes+1)} }, sameBody},
		{result.NestingTooDeep, "frames", unchanged, replace(`{`, `{"labels":`+strings.Repeat("[", 9)+strings.Repeat("]", 9)+`,`)},
		{result.BadDeadline, "frames", func(j *api.Job) { j.DeadlineMS = -1 }, sameBody},
		{result.BadDeadline, "frames", func(j *api.Job) { j.DeadlineMS = 60_001 }, sameBody},
		{result.UnknownService, "kites", unchanged, sameBody},
		{result.UnknownWorkspace, "frames", func(j *api.Job) { j.Workspace = "nobody" }, sameBody},
		{result.MissingKey, "frames", func(j *api.Job) { j.Key = "" }, sameBody},
		{result.BadLabel, "frames", func(j *api.Job) { j.Labels = label.Set{"x": "a,b"} }, sameBody},
		{result.BadHint, "frames", func(j *api.Job) { j.Tasks[2].RunMS = -1 }, sameBody},
		{result.NoMatchingTarget, "frames", func(j *api.Job) { j.Labels = label.Set{"kind": "panorama"} }, sameBody},
		{result.NoMatchingTarget, "quotes", unchanged, sameBody},
	}
	jobs := make([]api.Job, len(cases))
	for i, c := range cases {
		jobs[i] = tasksJob(fmt.Sprintf("refused-%d", i), 30_000, tasksRunTimes(4, 10)...)
		jobs[i].Workspace = tasksWorkspaces[i%len(tasksWorkspaces)]
		c.edit(&jobs[i])
		body, err := json.Marshal(jobs[i])
		f.must(err)
		f.checkNotRun(jobs[i], f.postJob(c.service, []byte(c.editBody(string(body)))), c.code)
	}
	last := tasksJob("last", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("last", last, f.waitAnswer(f.submit(0, last)))
	for i, c := range cases {
		if n := f.startCount(jobs[i]); n != 0 {
			t.Errorf("code %d: %d tasks started after the refusal", c.code, n)
		}
	}
	f.checkCounts(0)
}

// waitForAnswerOrStart waits until a job is answered or one of its tasks has started, and
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

// Guards against a job over a queue limit that is reported as not run but occupies a
// place in the queue, and against a refusal that blames the workspace's limit when the
// queue of the whole entry is full.
func TestTasksNotRunWhenQueueIsFull(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) {
		o.EditEntry = func(_ int, s *settings.Entry) { s.Limits.QueuedJobs = 8 }
	})
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	var refused []api.Job
	var accepted []<-chan tasksAnswer
	var acceptedJobs []api.Job
	fillQueue := func(workspace string, want result.Code) {
		for i := range 9 {
			j := tasksJob(fmt.Sprintf("%s-%d", workspace, i), 50_000, 10)
			j.Workspace = workspace
			answer := f.submit(0, j)
			a, answered := f.waitForAnswerOrStart(j, answer)
			if !answered {
				accepted, acceptedJobs = append(accepted, answer), append(acceptedJobs, j)
				continue
			}
			refused = append(refused, j)
			if a.Code == want {
				f.checkNotRun(j, a.Answer, want)
				return
			}
			f.checkNotRun(j, a.Answer, a.Code)
		}
		t.Errorf("workspace %s got no refusal with code %d", workspace, want)
	}
	fillQueue("a", result.WorkspaceQueueFull)
	for _, workspace := range []string{"b", "c"} {
		fillQueue(workspace, result.WorkspaceQueueFull)
		if len(acceptedJobs) >= 7 {
			break
		}
	}
	fillQueue("d", result.QueueFull)
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	for i, answer := range accepted {
		f.checkComplete(acceptedJobs[i].Key, acceptedJobs[i], f.waitAnswer(answer))
	}
	for _, j := range refused {
		if f.startCount(j) != 0 {
			t.Errorf("job %s started after it was refused", j.Key)
		}
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a job that runs although it was refused as infeasible for its deadline.
func TestTasksNotRunWhenDeadlineIsInfeasible(t *testing.T) {
	f := startTasksFleet(t, nil)
	n := 0
	f.waitFor("a job that is refused because of its deadline", func() bool {
		n++
		f.waitAnswer(f.submit(0, tasksJob(fmt.Sprintf("estimate-%d", n), 30_000, tasksRunTimes(32, 200)...)))
		j := tasksJob(fmt.Sprintf("infeasible-%d", n), 400, tasksRunTimes(160, 200)...)
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

// Guards against jobs that start after their deadline passed, or their caller
// disconnected, while they were queued.
func TestTasksNotRunWhenJobEndsInQueue(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	blocking := tasksJob("blocking", 50_000, tasksRunTimes(16, 10)...)
	answer := f.submit(0, blocking)
	f.waitFor("a task in every slot", func() bool { return f.startCount(blocking) == 16 })
	expired := tasksJob("expired", 1000, tasksRunTimes(4, 10)...)
	expired.Workspace = "b"
	f.checkNotRun(expired, f.waitAnswer(f.submit(0, expired)).Answer, result.ExpiredInQueue)
	cancelled := tasksJob("cancelled", 50_000, tasksRunTimes(4, 10)...)
	var before, during entry.Counts
	f.must(tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &before))
	ctx, disconnect := context.WithCancel(f.ctx)
	submitErr := make(chan error, 1)
	go func() {
		_, err := f.clients[0].Submit(ctx, tasksService, cancelled)
		submitErr <- err
	}()
	f.waitFor("the job to be queued", func() bool {
		return tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &during) == nil && during.Running == before.Running+1
	})
	disconnect()
	if err := <-submitErr; !errors.Is(err, client.ErrBroken) {
		t.Errorf("the disconnected caller got error %v, want a broken connection", err)
	}
	f.waitFor("the job to end", func() bool {
		return tasksGet(f.ctx, f.EntryURLs()[0]+"/v1/counts", &during) == nil && during.Failed == before.Failed+1
	})
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	f.checkComplete("blocking", blocking, f.waitAnswer(answer))
	last := tasksJob("last", 30_000, tasksRunTimes(32, 50)...)
	f.checkComplete("last", last, f.waitAnswer(f.submit(0, last)))
	if n := f.startCount(expired) + f.startCount(cancelled); n != 0 {
		t.Errorf("%d tasks started of jobs that ended in the queue", n)
	}
	if page := f.metricsPage(0); !strings.Contains(page, result.CancelledInQueue.String()) {
		t.Errorf("the metrics count no job as %s", result.CancelledInQueue)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against jobs that a stopping entry refuses but runs, or that it aborts.
func TestTasksNotRunWhenEntryIsStopping(t *testing.T) {
	f := startTasksFleet(t, nil)
	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	running := tasksJob("running", 50_000, tasksRunTimes(4, 10)...)
	answer := f.submit(0, running)
	f.waitFor("started tasks", func() bool { return f.startCount(running) == 4 })
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

// Guards against non-idempotent jobs that run although they were refused because their
// key could not be claimed or was already claimed, and against jobs that run without a
// configuration.
func TestTasksNotRunWithoutClaimOrConfiguration(t *testing.T) {
	f := startTasksFleet(t, nil)
	nonIdempotent := func(key, name string) api.Job {
		j := tasksJob(name, 20_000, tasksRunTimes(2, 20)...)
		j.Key, j.Idempotent = key, false
		return j
	}
	first, second := nonIdempotent("same", "first"), nonIdempotent("same", "second")
	f.checkComplete("first", first, f.waitAnswer(f.submit(0, first)))
	f.checkNotRun(second, f.waitAnswer(f.submit(0, second)).Answer, result.AlreadyClaimed)
	f.setStoreFaults(`{"down":true}`)
	unclaimed := nonIdempotent("other", "unclaimed")
	f.checkNotRun(unclaimed, f.waitAnswer(f.submit(0, unclaimed)).Answer, result.ClaimUnavailable)
	f.checkCounts(0)
	f.must(f.Restart("entry-0"))
	n := 0
	f.waitFor("an answer from the restarted entry", func() bool {
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

// Guards against jobs that run although an entry refused their request for its head, its slowness, or the memory
// that callers hold together.
func TestTasksNotRunWhenClientsHoldTooMuch(t *testing.T) {
	f := startTasksFleet(t, func(o *fleet.Options) {
		edit := o.EditEntry
		o.EditEntry = func(i int, s *settings.Entry) {
			edit(i, s)
			s.Machine.MemoryMB = 64
		}
	})
	head := tasksJob("large-head", 20_000, 20)
	f.checkNotRun(head, f.sendRaw(head, "X: "+strings.Repeat("x", 17<<10)+"\r\n\r\n"), result.HeadTooLarge)
	slow := tasksJob("slow-head", 20_000, 20)
	f.checkNotRun(slow, f.sendRaw(slow, "X: y\r\n"), result.RequestTimeout)

	f.setTargetFaults(0, standin.TargetFaults{Hang: true})
	f.setTargetFaults(1, standin.TargetFaults{Hang: true})
	const jobs, payloadBytes = 60, 900 << 10 // three times the memory for callers
	var sent []api.Job
	var answers []<-chan tasksAnswer
	for i := range jobs {
		j := tasksJob(fmt.Sprintf("heavy-%d", i), 50_000)
		j.Tasks = []api.Task{{Payload: fmt.Sprintf(`{"run_ms": 1, "echo": %q, "padding": %q}`, tasksEcho(j.Key, 0), strings.Repeat("x", payloadBytes))}}
		sent, answers = append(sent, j), append(answers, f.submit(0, j))
	}
	busy := 0
	f.waitFor("a refusal", func() bool { return strings.Contains(f.metricsPage(0), result.Busy.String()) })
	f.setTargetFaults(0, standin.TargetFaults{})
	f.setTargetFaults(1, standin.TargetFaults{})
	for i, answer := range answers {
		a := f.waitAnswer(answer)
		switch {
		case a.err != nil: // its connection was closed for others
			if n := f.startCount(sent[i]); n != 0 {
				t.Errorf("%d tasks started of a job whose connection was closed: %v", n, a.err)
			}
		case a.State != api.StateComplete:
			f.checkNotRun(sent[i], a.Answer, result.Busy)
			busy++
		}
	}
	if busy == 0 || busy == jobs {
		t.Errorf("%d of %d jobs were refused", busy, jobs)
	}
	f.checkNoRepeatedStarts()
}

// sendRaw sends the head of a job's request with further lines, and returns the answer.
func (f *tasksFleet) sendRaw(j api.Job, lines string) api.Answer {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.EntryURLs()[0], "http://"))
	f.must(err)
	defer conn.Close()
	body, err := json.Marshal(j)
	f.must(err)
	f.must(conn.SetDeadline(time.Now().Add(tasksWaitTimeout)))
	_, err = fmt.Fprintf(conn, "POST /v1/services/%s/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s", tasksService, len(body), lines)
	f.must(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.must(err)
	defer response.Body.Close()
	var a api.Answer
	f.must(json.NewDecoder(response.Body).Decode(&a))
	return a
}

// Guards against a result code that reports "not run" to callers and that no test in this
// file causes.
func TestTasksNotRunCodesAreCovered(t *testing.T) {
	covered := func(code result.Code) bool {
		return code >= result.BadRequest && code <= result.RequestTimeout ||
			code >= result.NoMatchingTarget && code <= result.Busy || code == result.AttemptsSpent
	}
	for code := result.Code(100); code < 400; code++ {
		if info, ok := result.Lookup(code); ok && info.Ran == result.NotRun && !covered(code) {
			t.Errorf("code %d %s reports not run; add a test that no task starts", code, code)
		}
	}
}

// Guards against a task that ran although every target refused it and the answer reports
// it as not run.
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
		t.Errorf("%d tasks of the refused job started after the answer", n)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against an answer that reports "not run" although a task ran or may have run: it
// failed, its target was killed, or it was still running at the deadline.
func TestTasksThatMayHaveRunAreNotReportedNotRun(t *testing.T) {
	f := startTasksFleet(t, nil)
	check := func(j api.Job, a tasksAnswer, allowed ...result.Ran) {
		t.Helper()
		f.checkFailed(j, a, 0)
		for _, r := range allowed {
			if a.Ran == r {
				return
			}
		}
		t.Errorf("%s: unexpected answer %d %s, ran %s", j.Key, a.Code, a.Name, a.Ran)
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
	killed := tasksJob("killed", 50_000, tasksRunTimes(2, 30_000)...)
	answer := f.submit(0, killed)
	f.waitFor("started tasks", func() bool { return f.startCount(killed) == 2 })
	f.checkNoRepeatedStarts()
	f.must(f.Kill("target-0"))
	f.must(f.Kill("target-1"))
	if a := f.waitAnswer(answer); a.err != nil || a.Ran != result.RanUnknown || len(a.Results) > 0 {
		t.Errorf("targets killed: error %v, answer %d %s, ran %s; want unknown without results", a.err, a.Code, a.Name, a.Ran)
	}
	f.checkCounts(0)
}

// metricsPage returns an entry's metrics page after its next update.
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

// setStoreFaults changes the faults of the stand-in store; change is JSON.
func (f *tasksFleet) setStoreFaults(change string) {
	f.t.Helper()
	if err := tasksPost(f.ctx, f.StoreURL()+"/faults", []byte(change)); err != nil {
		f.t.Fatal(err)
	}
}
