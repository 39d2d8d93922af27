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
	// tasksWaitTimeout bounds every wait for a condition. It only ends a test that
	// would fail anyway.
	tasksWaitTimeout  = 60 * time.Second
	tasksPollInterval = 20 * time.Millisecond
	// tasksMaxFleets bounds the fleets of this file that run at once: seven of at
	// most eight processes stay below fleet.MaxProcesses.
	tasksMaxFleets = 7
	// tasksMaxStartRetries bounds repeated starts after a collision of ports.
	tasksMaxStartRetries = 5
	tasksService         = "frames"
)

var tasksFleetSemaphore = make(chan struct{}, tasksMaxFleets)

const tasksDocument = `{
	"services": {"frames": {
		"rules": [{"requests": "kind=panorama", "targets": "memory=large"}],
		"deadline": {"max_ms": 60000},
		"non_idempotent": true
	}, "quotes": {}},
	"workspaces": {"a": {}, "b": {}, "c": {}, "d": {}}
}`

// tasksFleet is a fleet with what a test of invariants needs.
type tasksFleet struct {
	*fleet.Fleet
	t       *testing.T
	ctx     context.Context
	clients []*client.Client
}

// startTasksFleet starts a store, one entry, and two targets of 8 slots with
// their agents, unless edit says otherwise.
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
		// Another fleet may take a port between its choice and its use.
		if err != nil && strings.Contains(err.Error(), "address already in use") {
			f, err = fleet.Start(t.Context(), options)
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	out := &tasksFleet{Fleet: f, t: t, ctx: t.Context()}
	for _, url := range f.CallerURLs() {
		c, err := client.New(url)
		if err != nil {
			t.Fatal(err)
		}
		out.clients = append(out.clients, c)
	}
	out.waitForTargets(options.Targets)
	return out
}

// waitFor waits for a condition.
func (f *tasksFleet) waitFor(what string, met func() bool) {
	f.t.Helper()
	for end := time.Now().Add(tasksWaitTimeout); !met(); time.Sleep(tasksPollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("still waiting for %s; the end of entry-0's log: %s", what, f.LogTail("entry-0"))
		}
	}
}

// waitForTargets waits until the first entry runs a job on every target.
func (f *tasksFleet) waitForTargets(targets int) {
	f.t.Helper()
	n := 0
	f.waitFor("a job that reaches every target", func() bool {
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

func tasksRunTimes(n int, ms float64) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = ms
	}
	return out
}

func tasksEcho(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

// tasksJob is a job whose tasks echo their own place in it.
func tasksJob(name string, deadlineMS int64, runMS ...float64) api.Job {
	j := api.Job{Key: name, Workspace: "a", DeadlineMS: deadlineMS, Idempotent: true}
	for i, ms := range runMS {
		j.Tasks = append(j.Tasks, tasksTask(standin.TargetPayload{RunMS: ms, Echo: tasksEcho(name, i)}))
	}
	return j
}

func tasksTask(p standin.TargetPayload) api.Task {
	payload, _ := json.Marshal(p) // plain fields cannot fail
	return api.Task{Payload: string(payload), RunMS: p.RunMS}
}

// tasksAnswer is what a caller got.
type tasksAnswer struct {
	api.Answer
	err error
}

// submit sends a job to an entry in the background.
func (f *tasksFleet) submit(entryIndex int, j api.Job) <-chan tasksAnswer {
	out := make(chan tasksAnswer, 1)
	go func() {
		a, err := f.clients[entryIndex].Submit(f.ctx, tasksService, j)
		out <- tasksAnswer{a, err}
	}()
	return out
}

func (f *tasksFleet) waitAnswer(answer <-chan tasksAnswer) tasksAnswer {
	f.t.Helper()
	select {
	case a := <-answer:
		return a
	case <-time.After(tasksWaitTimeout):
		f.t.Fatal("no answer")
		return tasksAnswer{}
	}
}

// checkComplete fails the test unless an answer is complete with the results of
// its own job in order.
func (f *tasksFleet) checkComplete(name string, j api.Job, a tasksAnswer) {
	f.t.Helper()
	if a.err != nil || a.State != api.StateComplete || len(a.Results) != len(j.Tasks) {
		f.t.Errorf("%s: error %v, answer %s %d %s %q with %d of %d results", name, a.err, a.State, a.Code, a.Name, a.Reason, len(a.Results), len(j.Tasks))
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

// checkFailed fails the test unless an answer is a failure without results. A
// job of which a task started must not be called not run.
func (f *tasksFleet) checkFailed(j api.Job, a tasksAnswer, code result.Code) {
	f.t.Helper()
	if a.err != nil || a.State != api.StateFailed || len(a.Results) != 0 || code != 0 && a.Code != code {
		f.t.Errorf("error %v, answer %s %d %s (%s) with %d results; want a failure with code %d", a.err, a.State, a.Code, a.Name, a.Reason, len(a.Results), code)
	}
	if n := f.startCount(j); n > 0 && a.Ran == result.NotRun {
		f.t.Errorf("the answer %d %s says not run, %d of its tasks started", a.Code, a.Name, n)
	}
}

// targetStarts returns every target's own count of starts.
func (f *tasksFleet) targetStarts() []standin.TargetStarts {
	f.t.Helper()
	var out []standin.TargetStarts
	for _, url := range f.TargetURLs() {
		var s standin.TargetStarts
		if err := tasksGet(f.ctx, url+"/starts", &s); err != nil {
			f.t.Fatal(err)
		}
		out = append(out, s)
	}
	return out
}

// startCount returns how many starts the targets counted for a job's tasks.
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

// checkNoRepeatedStarts fails the test if any task started more than once, on one target
// or on several, under one identity or under several. Every task of these tests
// has its own echo.
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
			f.t.Errorf("identity %s started %d times", id, n)
		}
	}
	for echo, n := range echoes {
		if n > 1 {
			f.t.Errorf("task %s started %d times", echo, n)
		}
	}
}

// checkCounts waits until the running jobs of the entries are zero and checks
// that every job that entered is accounted for.
func (f *tasksFleet) checkCounts(entries ...int) {
	f.t.Helper()
	for _, i := range entries {
		var c entry.Counts
		f.waitFor(fmt.Sprintf("entry-%d without running jobs", i), func() bool {
			c = entry.Counts{}
			err := tasksGet(f.ctx, f.EntryURLs()[i]+"/v1/counts", &c)
			return err == nil && c.Running == 0 && c.Entered > 0
		})
		if c.Entered != c.Complete+c.Failed+c.Refused+c.Running {
			f.t.Errorf("entry-%d: the counts do not add up: %+v", i, c)
		}
	}
}

// setTargetFaults sets a target's faults.
func (f *tasksFleet) setTargetFaults(i int, faults standin.TargetFaults) {
	f.t.Helper()
	body, _ := json.Marshal(faults)
	if err := tasksPost(f.ctx, f.TargetURLs()[i]+"/faults", body); err != nil {
		f.t.Fatal(err)
	}
}

func (f *tasksFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func tasksGet(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
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
