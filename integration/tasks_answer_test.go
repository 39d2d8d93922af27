package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// finishedTasks returns how many tasks the targets have finished successfully.
func (f *tasksFleet) finishedTasks() int {
	f.t.Helper()
	n := 0
	for _, s := range f.targetStarts() {
		n += s.Outcomes.Done
	}
	return n
}

// Guards against an answer with only the results received before the agents were killed,
// and against one that reports the job as not run.
func TestTasksAnswerIsNotPartialWhenAgentsAreKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	done := f.finishedTasks()
	runMS := append(tasksRunTimes(10, 50), tasksRunTimes(6, 20_000)...)
	j := tasksJob("partial", 40_000, runMS...)
	answer := f.submit(0, j)
	f.waitFor("10 of 16 tasks to finish", func() bool { return f.finishedTasks() == done+10 && f.startCount(j) == 16 })
	f.must(f.Kill("agent-0"))
	f.must(f.Kill("agent-1"))
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.TargetLost)
	if a.Ran != result.RanYes {
		t.Errorf("10 tasks finished, but the answer says ran %s", a.Ran)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a partial answer when one task's result exceeds the size limit.
func TestTasksAnswerIsNotPartialWhenResultIsTooLarge(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("large", 30_000, tasksRunTimes(8, 50)...)
	j.Tasks[5] = tasksTask(standin.TargetPayload{RunMS: 300, ResultBytes: 5 << 20, Echo: tasksEcho("large", 5)})
	a := f.waitAnswer(f.submit(0, j))
	f.checkFailed(j, a, result.ResultTooLarge)
	if a.Ran != result.RanYes {
		t.Errorf("tasks ran, but the answer says ran %s", a.Ran)
	}
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a partial answer at the deadline, and against slots that stay occupied
// by the tasks of an ended job.
func TestTasksAnswerIsNotPartialAtDeadline(t *testing.T) {
	f := startTasksFleet(t, nil)
	done := f.finishedTasks()
	j := tasksJob("deadline", 3000, append(tasksRunTimes(8, 20), tasksRunTimes(8, 50_000)...)...)
	answer := f.submit(0, j)
	f.waitFor("8 of 16 tasks to finish", func() bool { return f.finishedTasks() == done+8 })
	a := f.waitAnswer(answer)
	f.checkFailed(j, a, result.DeadlineExceeded)
	if a.Ran != result.RanYes {
		t.Errorf("8 tasks finished, but the answer says ran %s", a.Ran)
	}
	next := tasksJob("next", 30_000, tasksRunTimes(16, 200)...)
	f.checkComplete("next", next, f.submitUntilAccepted(0, next))
	f.checkNoRepeatedStarts()
	f.checkCounts(0)
}

// Guards against a graceful stop of an entry that aborts running jobs.
func TestTasksAnswerIsCompleteWhenEntryStops(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("stop", 30_000, tasksRunTimes(48, 500)...)
	answer := f.submit(0, j)
	f.waitFor("started tasks", func() bool { return f.startCount(j) >= 8 })
	f.must(f.Terminate("entry-0"))
	f.checkComplete("stop", j, f.waitAnswer(answer))
	if status, err := f.WaitExit(f.ctx, "entry-0"); status != 0 || err != nil {
		t.Errorf("entry-0 exited with status %d, error %v; want status 0", status, err)
	}
	f.checkNoRepeatedStarts()
}

// Guards against an answer, even a partial one, from an entry that was killed while the
// job ran: the caller must see a broken connection.
func TestTasksAnswerIsNotPartialWhenEntryIsKilled(t *testing.T) {
	f := startTasksFleet(t, nil)
	done := f.finishedTasks()
	j := tasksJob("killed", 30_000, append(tasksRunTimes(8, 50), tasksRunTimes(8, 20_000)...)...)
	answer := f.submit(0, j)
	rawResponse := make(chan string, 1)
	go func() {
		body := `{"key":"raw","workspace":"b","deadline_ms":30000,"idempotent":true,"tasks":[{"payload":"{\"run_ms\":20000}"}]}`
		response, err := http.Post(f.CallerURLs()[0]+"/v1/services/frames/jobs", "application/json", strings.NewReader(body))
		if err != nil {
			rawResponse <- ""
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		rawResponse <- response.Status + string(text)
	}()
	f.waitFor("8 finished tasks and the start of all 16", func() bool { return f.finishedTasks() >= done+8 && f.startCount(j) == 16 })
	f.must(f.Kill("entry-0"))
	if a := f.waitAnswer(answer); !errors.Is(a.err, client.ErrBroken) || len(a.Results) != 0 {
		t.Errorf("answer %s with %d results, error %v; want a broken connection", a.State, len(a.Results), a.err)
	}
	if text := <-rawResponse; text != "" {
		t.Errorf("the killed entry responded with %q", text)
	}
	f.checkNoRepeatedStarts()
}

// Guards against a truncated answer that a caller can mistake for a complete one: a
// caller that has read the first bytes when the entry is killed must see an error.
func TestTasksTruncatedAnswerIsAnError(t *testing.T) {
	f := startTasksFleet(t, nil)
	j := tasksJob("torn", 30_000)
	for i := range 16 {
		j.Tasks = append(j.Tasks, tasksTask(standin.TargetPayload{RunMS: 100, ResultBytes: 3 << 20, Echo: tasksEcho("torn", i)}))
	}
	body, err := json.Marshal(j)
	f.must(err)
	response, err := http.Post(f.CallerURLs()[0]+"/v1/services/frames/jobs", "application/json", bytes.NewReader(body))
	f.must(err)
	defer response.Body.Close()
	prefix := make([]byte, 1<<10)
	if _, err := io.ReadFull(response.Body, prefix); err != nil || !strings.Contains(string(prefix), api.StateComplete) {
		t.Fatalf("first bytes %.60q, error %v; want a complete answer", prefix, err)
	}
	// The rest of the 48 MB exceeds the buffers between entry and caller, so the entry
	// has not sent all of it.
	f.must(f.Kill("entry-0"))
	rest, err := io.ReadAll(response.Body)
	if err == nil {
		t.Errorf("the answer ended without an error after %d bytes", len(prefix)+len(rest))
	}
	f.checkNoRepeatedStarts()
}
