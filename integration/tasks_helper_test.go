package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

const (
	// tasksWaitTimeout bounds every wait for a condition. Only a failing test reaches it.
	tasksWaitTimeout  = 60 * time.Second
	tasksPollInterval = 20 * time.Millisecond
	// tasksMaxFleets bounds the fleets of the TestTasks tests that run at once: seven
	// fleets of at most eight processes stay below fleet.MaxProcesses.
	tasksMaxFleets = 7
	// tasksMaxStartRetries bounds the retries after a port was already in use.
	tasksMaxStartRetries = 5
	tasksService         = "frames"
)

// tasksFleetSemaphore admits tasksMaxFleets fleets at once.
var tasksFleetSemaphore = make(chan struct{}, tasksMaxFleets)

const tasksDocument = `{
	"services": {"frames": {
		"rules": [{"requests": "kind=panorama", "targets": "memory=large"}],
		"deadline": {"max_ms": 60000},
		"non_idempotent": true
	}, "quotes": {}},
	"workspaces": {"a": {}, "b": {}, "c": {}, "d": {}}
}`

// tasksFleet is a fleet with one client per entry.
type tasksFleet struct {
	*fleet.Fleet
	t       *testing.T
	ctx     context.Context
	clients []*client.Client
}

// startTasksFleet starts a store, one entry, and two targets of 8 slots with their
// agents. edit may change these options.
func startTasksFleet(t *testing.T, edit func(*fleet.Options)) *tasksFleet {
	t.Helper()
	t.Parallel()
	tasksFleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-tasksFleetSemaphore })
	options, err := fleet.TestOptions()
	if err != nil {
		t.Fatal(err)
	}
	options.Targets, options.Entries, options.Slots, options.Connections = 2, 1, 8, 64
	options.Service, options.Store = tasksService, true
	options.Configuration = json.RawMessage(tasksDocument)
	options.Network.Seed = 7
	options.EditEntry = func(_ int, s *settings.Entry) { s.DrainSeconds = 0.1 }
	if edit != nil {
		edit(&options)
	}
	f, err := fleet.Start(t.Context(), options)
	for range tasksMaxStartRetries {
		// Another process may bind a port between its selection and its use.
		if err != nil && strings.Contains(err.Error(), "address already in use") {
			f, err = fleet.Start(t.Context(), options)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	tasks := &tasksFleet{Fleet: f, t: t, ctx: t.Context()}
	for _, url := range f.CallerURLs() {
		c, err := client.New(url)
		if err != nil {
			t.Fatal(err)
		}
		tasks.clients = append(tasks.clients, c)
	}
	tasks.waitForTargets(options.Targets)
	return tasks
}

// waitFor polls a condition until it is true.
func (f *tasksFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(tasksWaitTimeout); !condition(); time.Sleep(tasksPollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s; end of entry-0's log: %s", what, f.LogTail("entry-0"))
		}
	}
}

// waitForTargets waits until a job submitted to entry-0 completes and every target has
// started a task.
func (f *tasksFleet) waitForTargets(targets int) {
	f.t.Helper()
	n := 0
	f.waitFor("a job that runs on every target", func() bool {
		n++
		a, err := f.clients[0].Submit(f.ctx, tasksService, tasksJob(fmt.Sprintf("warm-up-%d", n), 10_000, tasksRunTimes(8*targets, 20)...))
		return err == nil && a.State == api.StateComplete && f.usedTargets() == targets
	})
}

// usedTargets returns the number of targets that have started a task.
func (f *tasksFleet) usedTargets() int {
	n := 0
	for _, s := range f.targetStarts() {
		if s.Identities > 0 {
			n++
		}
	}
	return n
}

// tasksRunTimes returns n run times of ms milliseconds.
func tasksRunTimes(n int, ms float64) []float64 {
	runMS := make([]float64, n)
	for i := range runMS {
		runMS[i] = ms
	}
	return runMS
}

func tasksEcho(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

// tasksJob returns a job whose tasks echo the job's name and their index.
func tasksJob(name string, deadlineMS int64, runMS ...float64) api.Job {
	j := api.Job{Key: name, Workspace: "a", DeadlineMS: deadlineMS, Idempotent: true}
	for i, ms := range runMS {
		j.Tasks = append(j.Tasks, tasksTask(standin.TargetPayload{RunMS: ms, Echo: tasksEcho(name, i)}))
	}
	return j
}

func tasksTask(p standin.TargetPayload) api.Task {
	payload, _ := json.Marshal(p) // encoding these field types cannot fail
	return api.Task{Payload: string(payload), RunMS: p.RunMS}
}

// tasksAnswer is the answer or the error that a caller got.
type tasksAnswer struct {
	api.Answer
	err error
}

// submit sends a job to an entry in the background and returns a channel for its answer.
func (f *tasksFleet) submit(entryIndex int, j api.Job) <-chan tasksAnswer {
	out := make(chan tasksAnswer, 1)
	go func() {
		a, err := f.clients[entryIndex].Submit(f.ctx, tasksService, j)
		out <- tasksAnswer{a, err}
	}()
	return out
}

// waitAnswer returns the answer to a job, or fails the test after tasksWaitTimeout.
func (f *tasksFleet) waitAnswer(answer <-chan tasksAnswer) tasksAnswer {
	f.t.Helper()
	select {
	case a := <-answer:
		return a
	case <-time.After(tasksWaitTimeout):
		f.t.Fatal("timed out waiting for an answer")
		return tasksAnswer{}
	}
}

// checkComplete fails the test unless an answer is complete and has the results of its
// own job in the order of the tasks.
func (f *tasksFleet) checkComplete(name string, j api.Job, a tasksAnswer) {
	f.t.Helper()
	if a.err != nil || a.State != api.StateComplete || len(a.Results) != len(j.Tasks) {
		f.t.Errorf("%s: error %v, answer %s %d %s %q with %d of %d results; want complete", name, a.err, a.State, a.Code, a.Name, a.Reason, len(a.Results), len(j.Tasks))
		return
	}
	for i, r := range a.Results {
		var got standin.TargetResult
		var sent standin.TargetPayload
		_ = json.Unmarshal([]byte(j.Tasks[i].Payload), &sent)
		if err := json.Unmarshal(r, &got); err != nil || got.Echo != sent.Echo {
			f.t.Errorf("%s: result %d echoes %q, the task sent %q (%v)", name, i, got.Echo, sent.Echo, err)
		}
	}
}

// checkFailed fails the test unless an answer is a failure without results and, if code
// is not 0, with that code. A job must not be reported as not run if one of its tasks
// started.
func (f *tasksFleet) checkFailed(j api.Job, a tasksAnswer, code result.Code) {
	f.t.Helper()
	if a.err != nil || a.State != api.StateFailed || len(a.Results) != 0 || code != 0 && a.Code != code {
		f.t.Errorf("error %v, answer %s %d %s (%s) with %d results; want a failure with code %d", a.err, a.State, a.Code, a.Name, a.Reason, len(a.Results), code)
	}
	if n := f.startCount(j); n > 0 && a.Ran == result.NotRun {
		f.t.Errorf("answer %d %s reports the job as not run, but %d of its tasks started", a.Code, a.Name, n)
	}
}

// targetStarts returns the start counts of every target.
func (f *tasksFleet) targetStarts() []standin.TargetStarts {
	f.t.Helper()
	var counts []standin.TargetStarts
	for _, url := range f.TargetURLs() {
		var s standin.TargetStarts
		if err := tasksGet(f.ctx, url+"/starts", &s); err != nil {
			f.t.Fatal(err)
		}
		counts = append(counts, s)
	}
	return counts
}

// startCount returns how often the targets started tasks of a job.
func (f *tasksFleet) startCount(j api.Job) int {
	f.t.Helper()
	n := 0
	for _, s := range f.targetStarts() {
		for _, task := range j.Tasks {
			var sent standin.TargetPayload
			_ = json.Unmarshal([]byte(task.Payload), &sent)
			n += s.Echoes[sent.Echo]
		}
	}
	return n
}

// checkNoRepeatedStarts fails the test if any task started more than once, whether on one
// target or several and under one identity or several. The latter is detected by the
// echo, which is unique per task in these tests.
func (f *tasksFleet) checkNoRepeatedStarts() {
	f.t.Helper()
	identities, echoes := map[string]int{}, map[string]int{}
	for _, s := range f.targetStarts() {
		for id, n := range s.Starts {
			identities[id] += n
		}
		for echo, n := range s.Echoes {
			echoes[echo] += n
		}
	}
	for id, n := range identities {
		if n > 1 {
			f.t.Errorf("task identity %s started %d times, want once", id, n)
		}
	}
	for echo, n := range echoes {
		if n > 1 {
			f.t.Errorf("task with echo %s started %d times, want once", echo, n)
		}
	}
}

// checkCounts waits until the entries have no running jobs and checks that each job they
// received is counted as complete, failed or refused.
func (f *tasksFleet) checkCounts(entries ...int) {
	f.t.Helper()
	for _, i := range entries {
		var c entry.Counts
		f.waitFor(fmt.Sprintf("entry-%d to have no running jobs", i), func() bool {
			c = entry.Counts{}
			err := tasksGet(f.ctx, f.EntryURLs()[i]+"/v1/counts", &c)
			return err == nil && c.Running == 0 && c.Entered > 0
		})
		if c.Entered != c.Complete+c.Failed+c.Refused+c.Running {
			f.t.Errorf("entry-%d: jobs entered differ from the sum of complete, failed, refused and running: %+v", i, c)
		}
	}
}

// setTargetFaults sets the faults of a stand-in target.
func (f *tasksFleet) setTargetFaults(i int, faults standin.TargetFaults) {
	f.t.Helper()
	body, _ := json.Marshal(faults)
	if err := tasksPost(f.ctx, f.TargetURLs()[i]+"/faults", body); err != nil {
		f.t.Fatal(err)
	}
}

// must fails the test at once if err is not nil.
func (f *tasksFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func tasksGet(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}

func tasksPost(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %s", url, response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
