package load

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/result"
)

// Report holds the measurements and violations of one run.
type Report struct {
	Experiment  string           `json:"experiment"`
	Variant     string           `json:"variant"`
	Seed        uint64           `json:"seed"`
	Seconds     float64          `json:"seconds"`
	OfferedLoad float64          `json:"offered_load"` // task seconds per second and slot of the generated jobs
	IdealMS     float64          `json:"ideal_ms"`     // job overhead on the idle system, without task run time
	Jobs        JobCounts        `json:"jobs"`
	Groups      []Group          `json:"groups"`
	Goodput     []Goodput        `json:"goodput"`
	Failures    []FailureCount   `json:"failures"`
	Broken      []string         `json:"broken,omitempty"` // errors of the first broken jobs
	Messages    *Messages        `json:"messages"`         // null: not available
	Processor   []ProcessorUsage `json:"processor"`        // by role
	TaskStarts  int              `json:"task_starts"`      // as recorded by the targets
	Violations  []string         `json:"violations"`
	Notes       []string         `json:"notes,omitempty"`
}

// JobCounts counts jobs by outcome, those of the warm-up included.
type JobCounts struct {
	Planned    int `json:"planned"`
	Complete   int `json:"complete"`
	Failed     int `json:"failed"` // failure report with a code
	Broken     int `json:"broken"` // connection error or invalid response
	Cancelled  int `json:"cancelled"`
	Unanswered int `json:"unanswered"` // no response until 10 s after the deadline or the end of the run
	NotSent    int `json:"not_sent"`   // max_outstanding was reached or the run ended
}

// Group holds the response times of a group of jobs. Jobs that arrive in the warm-up
// are left out, and only complete jobs are in the quantiles.
type Group struct {
	Kind      string    `json:"kind"` // class, workspace, class and workspace, arrival, class and arrival
	Name      string    `json:"name"`
	Jobs      int       `json:"jobs"`
	Complete  int       `json:"complete"`
	OverIdeal Quantiles `json:"over_ideal"`  // ratio of response time to overhead plus longest task
	Response  Quantiles `json:"response_ms"` // from the intended arrival
}

// Quantiles holds quantiles and the maximum of a histogram.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Goodput is the rate of completed work in a phase of the load, or in all of them
// after the warm-up: all, before the peak, peak, after the peak, steady.
// Jobs are assigned to the phase in which they complete.
type Goodput struct {
	Phase                string  `json:"phase"`
	Seconds              float64 `json:"seconds"`
	JobsPerSecond        float64 `json:"jobs_per_second"`
	TaskSecondsPerSecond float64 `json:"task_seconds_per_second"`
}

// FailureCount counts failure reports with one code and one value of Ran.
type FailureCount struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Ran   result.Ran  `json:"ran"`
	Count int         `json:"count"`
}

// Messages are message counts from the counters of the entries. A wasted message
// contributes to no start, result or required control.
type Messages struct {
	SentPerTask   float64 `json:"sent_per_task"`   // messages sent per start message
	WastedPerTask float64 `json:"wasted_per_task"` // wasted messages per start message
	TaskStarts    float64 `json:"task_starts"`     // number of start messages sent
}

// ProcessorUsage is the processor time and memory of the processes of one role
// during the load.
type ProcessorUsage struct {
	Role                string  `json:"role"`
	Processes           int     `json:"processes"`
	MicrosecondsPerTask float64 `json:"microseconds_per_task"`
	PeakMemoryMB        float64 `json:"peak_memory_mb"` // of the largest process
}

// Histograms record microseconds or thousandths of a ratio, with three significant
// digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	ratioScale      = 1000
)

// maxBroken bounds the number of errors of broken jobs in a report.
const maxBroken = 10

// groupKey identifies a group in a report.
type groupKey struct{ kind, name string }

type groupData struct {
	jobs, complete          int
	overIdeal, responseTime *hdrhistogram.Histogram
}

func newReport(d *driver, ideal time.Duration, seed uint64) *Report {
	plan := d.plan
	report := &Report{
		Experiment: plan.Name,
		Variant:    plan.variant,
		Seed:       seed,
		Seconds:    plan.Seconds,
		IdealMS:    float64(ideal) / float64(time.Millisecond),
		Violations: []string{},
	}
	groups := map[groupKey]*groupData{}
	var taskSeconds float64
	for i := range d.records {
		r := &d.records[i]
		taskSeconds += r.job.taskSeconds()
		report.count(r)
		if r.job.at < seconds(plan.WarmupSeconds) {
			continue
		}
		for _, key := range plan.groupKeys(r.job) {
			if groups[key] == nil {
				groups[key] = newGroupData()
			}
			groups[key].add(r, ideal)
		}
	}
	report.OfferedLoad = taskSeconds / plan.Seconds / float64(plan.Fleet.Targets*plan.Fleet.Slots)
	report.setGroups(groups)
	report.Goodput = plan.goodput(d.records)
	return report
}

// groupKeys returns the groups that a job belongs to.
func (r *resolvedExperiment) groupKeys(j *plannedJob) []groupKey {
	return []groupKey{
		{"class", j.class.Name},
		{"workspace", j.workspace},
		{"class and workspace", j.class.Name + " " + j.workspace},
		{"arrival", r.phase(j.at.Seconds())},
		{"class and arrival", j.class.Name + " " + r.phase(j.at.Seconds())},
	}
}

func newGroupData() *groupData {
	return &groupData{
		overIdeal:    hdrhistogram.New(1, histogramMax, histogramDigits),
		responseTime: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (g *groupData) add(r *record, ideal time.Duration) {
	g.jobs++
	if r.outcome != outcomeComplete {
		return
	}
	g.complete++
	best := max(ideal+r.job.longest(), time.Microsecond)
	ratio := float64(r.took) / float64(best)
	_ = g.responseTime.RecordValue(min(r.took.Microseconds(), histogramMax))
	_ = g.overIdeal.RecordValue(min(int64(math.Round(ratio*ratioScale)), histogramMax))
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / unit}
}

func (report *Report) setGroups(groups map[groupKey]*groupData) {
	order := []string{"class", "workspace", "class and workspace", "arrival", "class and arrival"}
	for key, data := range groups {
		report.Groups = append(report.Groups, Group{
			Kind:      key.kind,
			Name:      key.name,
			Jobs:      data.jobs,
			Complete:  data.complete,
			OverIdeal: quantiles(data.overIdeal, ratioScale),
			Response:  quantiles(data.responseTime, float64(time.Millisecond/time.Microsecond)),
		})
	}
	slices.SortFunc(report.Groups, func(a, b Group) int {
		if a.Kind != b.Kind {
			return slices.Index(order, a.Kind) - slices.Index(order, b.Kind)
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// count adds one job to the totals, which include the warm-up.
func (report *Report) count(r *record) {
	report.Jobs.Planned++
	switch r.outcome {
	case outcomeComplete:
		report.Jobs.Complete++
	case outcomeFailed:
		report.Jobs.Failed++
		report.countFailure(r.failure)
	case outcomeBroken:
		report.Jobs.Broken++
		if len(report.Broken) < maxBroken {
			report.Broken = append(report.Broken, r.detail)
		}
	case outcomeCancelled:
		report.Jobs.Cancelled++
	case outcomeNotSent:
		report.Jobs.NotSent++
	default:
		report.Jobs.Unanswered++
	}
}

func (report *Report) countFailure(f failure) {
	for i := range report.Failures {
		if report.Failures[i].Code == f.Code && report.Failures[i].Ran == f.Ran {
			report.Failures[i].Count++
			return
		}
	}
	report.Failures = append(report.Failures, FailureCount{Code: f.Code, Name: f.Name, Ran: f.Ran, Count: 1})
	slices.SortFunc(report.Failures, func(a, b FailureCount) int { return int(a.Code) - int(b.Code) })
}

// Phases of the load.
const (
	phaseAll    = "all"
	phaseBefore = "before the peak"
	phasePeak   = "peak"
	phaseAfter  = "after the peak"
	phaseSteady = "steady"
)

// phase returns the phase of a time in seconds after the start.
func (r *resolvedExperiment) phase(at float64) string {
	switch {
	case r.Swing.Factor == 0:
		return phaseSteady
	case r.Swing.peak(at):
		return phasePeak
	case at < r.Swing.FirstAt:
		return phaseBefore
	}
	return phaseAfter
}

// phaseResolution is the time step, in seconds, in which phases are measured.
const phaseResolution = 0.01

// goodput returns the rates of completed work by the phase in which jobs complete.
func (r *resolvedExperiment) goodput(records []record) []Goodput {
	total := map[string]*Goodput{}
	add := func(at, length, jobs, taskSeconds float64) {
		for _, name := range []string{phaseAll, r.phase(at)} {
			if total[name] == nil {
				total[name] = &Goodput{Phase: name}
			}
			total[name].Seconds += length
			total[name].JobsPerSecond += jobs
			total[name].TaskSecondsPerSecond += taskSeconds
		}
	}
	steps := int(math.Round((r.Seconds - r.WarmupSeconds) / phaseResolution))
	for i := range steps {
		add(r.WarmupSeconds+float64(i)*phaseResolution, phaseResolution, 0, 0)
	}
	for i := range records {
		at := (records[i].job.at + records[i].took).Seconds()
		if records[i].outcome == outcomeComplete && at >= r.WarmupSeconds && at < r.Seconds {
			add(at, 0, 1, records[i].job.taskSeconds())
		}
	}
	var out []Goodput
	for _, name := range []string{phaseAll, phaseBefore, phasePeak, phaseAfter, phaseSteady} {
		if g := total[name]; g != nil && g.Seconds > 0 {
			g.JobsPerSecond /= g.Seconds
			g.TaskSecondsPerSecond /= g.Seconds
			out = append(out, *g)
		}
	}
	return out
}

// addCounters sets the message counts from the increase of the entries' counters.
// It leaves them unset if a counter is missing or no task has started.
func (report *Report) addCounters(c counters) {
	starts := c[metricStarts]
	_, sent := c[metricSent]
	_, wasted := c[metricWasted]
	if starts == 0 || !sent || !wasted {
		return
	}
	report.Messages = &Messages{
		SentPerTask:   c[metricSent] / starts,
		WastedPerTask: c[metricWasted] / starts,
		TaskStarts:    starts,
	}
}

// addFindings adds the result of checkRun.
func (report *Report) addFindings(found *findings) {
	report.TaskStarts = found.starts
	report.Violations = append(report.Violations, found.violations...)
	report.Notes = append(report.Notes, found.notes...)
}

// addProcessorUsage sets the usage of each role from samples before and after the
// load, divided by the number of task starts.
func (report *Report) addProcessorUsage(before, after map[string]fleet.Usage, starts int) {
	for _, name := range []string{"entry", "agent"} {
		use := ProcessorUsage{Role: name}
		var spent time.Duration
		for process, u := range after {
			if role(process) != name {
				continue
			}
			use.Processes++
			spent += u.CPUTime - before[process].CPUTime
			use.PeakMemoryMB = max(use.PeakMemoryMB, float64(u.PeakResidentBytes)/(1<<20))
		}
		if use.Processes == 0 || starts == 0 {
			continue
		}
		use.MicrosecondsPerTask = float64(spent.Microseconds()) / float64(starts)
		report.Processor = append(report.Processor, use)
	}
}

// Err returns an error with the number of violations and the first of them, or
// nil if there are none.
func (report *Report) Err() error {
	if len(report.Violations) == 0 {
		return nil
	}
	return Err.New("%d violations, the first: %s", len(report.Violations), fmt.Sprint(report.Violations[0]))
}
