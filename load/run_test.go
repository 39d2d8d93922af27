package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/standin"
)

// fakeSystem is an entry and two stand-in targets in the test process. A non-empty
// fault makes it violate one guarantee.
type fakeSystem struct {
	system
	entry   string
	targets []string
	fault   string
	jobs    atomic.Int64
}

func newFakeSystem(t *testing.T, fault string) *fakeSystem {
	f := &fakeSystem{fault: fault}
	for range 2 {
		target := httptest.NewServer(standin.NewTarget(standin.TargetOptions{}))
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target.URL)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /metrics", f.serveMetrics)
	mux.HandleFunc("POST /v1/services/{service}/jobs", f.serveJob)
	entry := httptest.NewServer(mux)
	t.Cleanup(entry.Close)
	f.entry = entry.URL
	return f
}

func (f *fakeSystem) CallerURLs() []string { return []string{f.entry} }
func (f *fakeSystem) EntryURLs() []string  { return []string{f.entry} }
func (f *fakeSystem) TargetURLs() []string { return f.targets }
func (f *fakeSystem) Names() []string      { return []string{"entry-0"} }
func (f *fakeSystem) Alive(string) bool    { return f.fault != "process exited" }
func (f *fakeSystem) Usage(string) (fleet.Usage, error) {
	return fleet.Usage{PeakResidentBytes: 1 << 20}, nil
}

func (f *fakeSystem) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n := f.jobs.Load()
	fmt.Fprintf(w, "%s{kind=\"a b\"} %d\n%s 0\n%s %d\n", metricSent, 4*n, metricWasted, metricStarts, 2*n)
}

func (f *fakeSystem) serveJob(w http.ResponseWriter, r *http.Request) {
	var q api.Job
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	number := f.jobs.Add(1)
	var results []string
	for i, task := range q.Tasks {
		id := fmt.Sprintf("e-%d-%d", number, i)
		results = append(results, f.start(r.Context(), f.targets[i%2], id, task.Payload))
		if f.fault == "start twice" {
			f.start(r.Context(), f.targets[(i+1)%2], id, task.Payload)
		}
		if f.fault == "start under another identity" {
			f.start(r.Context(), f.targets[i%2], id+"0", task.Payload)
		}
	}
	switch f.fault {
	case "swap results":
		results[0], results[1] = results[1], results[0]
	case "omit a result":
		results = results[1:]
	case "not run":
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"state":"failed","code":201,"name":"queue_full","ran":"not_run"}`)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": stateComplete, "results": results})
}

func (f *fakeSystem) start(ctx context.Context, target, id, payload string) string {
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, target+"/tasks", strings.NewReader(payload))
	q.Header.Set(standin.TargetTaskHeader, id)
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}

// testExperiment offers about 200 jobs per second, each of two tasks.
const testExperiment = `{
	"name": "test", "service": "s", "seed": 3,
	"seconds": 0.3, "warmup_seconds": 0, "drain_seconds": 20, "ideal_ms": 1,
	"fleet": {"targets": 2, "slots": 1, "connections": 8, "entries": 1},
	"load": 0.4, // of two slots, with jobs of 4 ms
	"classes": [{
		"name": "short", "share": 1, "workspaces": {"a": 1, "b": 1}, "deadline_ms": 20000, "result_bytes": 9,
		"tasks": {"min": 2, "max": 2}, "run_ms": {"min": 1, "max": 3},
	}],
	"variants": {
		"fifo": {"policy": {"order": "fifo"}, "load": 0.2},
		"fifo-small": {"extends": "fifo", "entry": {"limits": {"tasks": 5}}},
		"loop": {"extends": "loop"},
	},
}`

func parseTestExperiment(t *testing.T, edit ...string) *Experiment {
	t.Helper()
	text := strings.Replace(testExperiment, `"loop": {"extends": "loop"},`, "", 1)
	e, err := Parse([]byte(strings.NewReplacer(edit...).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func measureTestExperiment(t *testing.T, e *Experiment, s system) *Report {
	t.Helper()
	plan, err := e.resolve(DefaultVariant, false)
	if err != nil {
		t.Fatal(err)
	}
	report, err := plan.measure(t.Context(), s, e.Seed)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Guards against checks that miss a duplicate start, a partial response, a result
// of another request, a false "not run" or an exited process, and against checks
// that report violations of a correct system.
func TestRunReportsViolations(t *testing.T) {
	for fault, want := range map[string]string{
		"":                             "",
		"start twice":                  "identity e-",
		"start under another identity": "was started 2 times",
		"swap results":                 "does not belong to this task",
		"omit a result":                "1 results for 2 tasks",
		"not run":                      "reported as not run",
		"process exited":               "exited without a scheduled fault",
	} {
		t.Run(fault, func(t *testing.T) {
			report := measureTestExperiment(t, parseTestExperiment(t), newFakeSystem(t, fault))
			found := strings.Join(report.Violations, "\n")
			if (want == "") != (found == "") || !strings.Contains(found, want) {
				t.Errorf("violations are %q, want %q", found, want)
			}
			j := report.Jobs
			if j.Planned == 0 || j.Complete+j.Failed != j.Planned || report.TaskStarts < 2*j.Planned {
				t.Errorf("jobs are %+v with %d starts", j, report.TaskStarts)
			}
			if m := report.Messages; m == nil || m.SentPerTask != 2 || m.WastedPerTask != 0 {
				t.Errorf("messages are %+v", m)
			}
			if (report.Err() == nil) != (want == "") {
				t.Errorf("the report's error is %v", report.Err())
			}
		})
	}
}

// Guards against cancellation waves that cancel no job, and against cancelled jobs
// that are missing from the totals.
func TestCancellationWave(t *testing.T) {
	e := parseTestExperiment(t, `{"min": 1, "max": 3}`, `{"min": 3600000, "max": 3600000}`, `"load": 0.4`, `"load": 400000,
		"cancellation_waves": [{"at_seconds": 0.25, "share": 1}]`, `"drain_seconds": 20`, `"drain_seconds": 0`)
	report := measureTestExperiment(t, e, newFakeSystem(t, ""))
	j := report.Jobs
	if j.Cancelled == 0 || j.Cancelled+j.Unanswered+j.NotSent != j.Planned {
		t.Errorf("jobs are %+v", j)
	}
	if len(report.Notes) != 0 || len(report.Violations) != 0 {
		t.Errorf("notes %q, violations %q", report.Notes, report.Violations)
	}
}

// Guards against response times that are measured from the time of sending. The
// delay of a slow system would then be hidden (coordinated omission), as the load
// generator itself sends late.
func TestResponseCountsFromIntendedArrival(t *testing.T) {
	f := newFakeSystem(t, "")
	e := parseTestExperiment(t)
	plan, err := e.resolve(DefaultVariant, false)
	if err != nil {
		t.Fatal(err)
	}
	job := plannedJob{class: &plan.Classes[0], workspace: "a", runMS: []float64{0, 0}, declared: []float64{0, 0}}
	d := newDriver(plan, "t", []plannedJob{job}, newBalancer(f.CallerURLs(), f.EntryURLs()))
	const late = 15 * time.Second
	d.send(t.Context(), 0, time.Now().Add(-late))
	if r := d.records[0]; r.outcome != outcomeComplete || r.took < late {
		t.Errorf("outcome %d after %v", r.outcome, r.took)
	}
}

// Guards against a text report that fails or ends early if a measurement is missing.
func TestPrintWithoutMeasurements(t *testing.T) {
	var out bytes.Buffer
	(&Report{Violations: []string{"x"}}).Print(&out)
	if text := out.String(); !strings.Contains(text, "not measured") || !strings.Contains(text, "VIOLATION: x") {
		t.Errorf("printed %q", text)
	}
}
