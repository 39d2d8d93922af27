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

// Report is the result of one run.
type Report struct {
	Experiment  string      `json:"experiment"`
	Variant     string      `json:"variant"`
	Seed        uint64      `json:"seed"`
	Seconds     float64     `json:"seconds"`
	OfferedLoad float64     `json:"offered_load"` // of the jobs drawn, over the slots
	IdealMS     float64     `json:"ideal_ms"`     // round trips on the idle system
	Jobs        Counts      `json:"jobs"`
	Groups      []Group     `json:"groups"`
	Goodput     []Goodput   `json:"goodput"`
	Failures    []Failures  `json:"failures"`
	Broken      []string    `json:"broken,omitempty"` // first details of broken answers
	Messages    *Messages   `json:"messages"`         // null: not measured
	Processor   []Processor `json:"processor"`        // by role
	TaskStarts  int         `json:"task_starts"`      // counted by the targets
	Violations  []string    `json:"violations"`
	Notes       []string    `json:"notes,omitempty"`
}

// Counts are jobs by how they ended.
type Counts struct {
	Planned    int `json:"planned"`
	Complete   int `json:"complete"`
	Failed     int `json:"failed"` // with a code
	Broken     int `json:"broken"` // connection broken or no valid answer
	Cancelled  int `json:"cancelled"`
	Unanswered int `json:"unanswered"` // until 10 s after the deadline or the end
	NotSent    int `json:"not_sent"`   // over max_outstanding
}

// Group is the response of some of the complete jobs.
type Group struct {
	Kind      string    `json:"kind"` // class, workspace, class and workspace, arrival
	Name      string    `json:"name"`
	Jobs      int       `json:"jobs"`
	Complete  int       `json:"complete"`
	OverIdeal Quantiles `json:"over_ideal"`  // response / ideal
	Response  Quantiles `json:"response_ms"` // from the intended arrival
}

// Quantiles of a histogram.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Goodput counts what became complete in a phase: all, before, peak, after.
type Goodput struct {
	Phase                string  `json:"phase"`
	Seconds              float64 `json:"seconds"`
	JobsPerSecond        float64 `json:"jobs_per_second"`
	TaskSecondsPerSecond float64 `json:"task_seconds_per_second"`
}

// Failures are failure reports by code.
type Failures struct {
	Code  result.Code `json:"code"`
	Name  string      `json:"name"`
	Ran   result.Ran  `json:"ran"`
	Count int         `json:"count"`
}

// Messages are from the entries' counters.
type Messages struct {
	SentPerTask   float64 `json:"sent_per_task"`
	WastedPerTask float64 `json:"wasted_per_task"`
	TaskStarts    float64 `json:"task_starts"`
}

// Processor is the use of one role's processes during the load.
type Processor struct {
	Role                string  `json:"role"`
	Processes           int     `json:"processes"`
	MicrosecondsPerTask float64 `json:"microseconds_per_task"`
	PeakMemoryMB        float64 `json:"peak_memory_mb"` // the largest process
}

// Histograms hold microseconds, or thousandths of a ratio, to three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	ratioScale      = 1000
)

// maxBroken bounds the details of broken answers in a report.
const maxBroken = 10

// groupKey orders groups in a report.
type groupKey struct{ kind, name string }

type groupData struct {
	jobs, complete      int
	overIdeal, response *hdrhistogram.Histogram
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
		for _, key := range plan.keys(r.job) {
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

// keys returns the groups that a job belongs to.
func (r *resolved) keys(j *plannedJob) []groupKey {
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
		overIdeal: hdrhistogram.New(1, histogramMax, histogramDigits),
		response:  hdrhistogram.New(1, histogramMax, histogramDigits),
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
	_ = g.response.RecordValue(min(r.took.Microseconds(), histogramMax))
	_ = g.overIdeal.RecordValue(min(int64(math.Round(ratio*ratioScale)), histogramMax))
}

func quantiles(h *hdrhistogram.Histogram, unit float64) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / unit }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / unit}
}

func (p *Report) setGroups(groups map[groupKey]*groupData) {
	order := []string{"class", "workspace", "class and workspace", "arrival", "class and arrival"}
	for key, data := range groups {
		p.Groups = append(p.Groups, Group{
			Kind:      key.kind,
			Name:      key.name,
			Jobs:      data.jobs,
			Complete:  data.complete,
			OverIdeal: quantiles(data.overIdeal, ratioScale),
			Response:  quantiles(data.response, float64(time.Millisecond/time.Microsecond)),
		})
	}
	slices.SortFunc(p.Groups, func(a, b Group) int {
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
func (p *Report) count(r *record) {
	p.Jobs.Planned++
	switch r.outcome {
	case outcomeComplete:
		p.Jobs.Complete++
	case outcomeFailed:
		p.Jobs.Failed++
		p.countFailure(r.failure)
	case outcomeBroken:
		p.Jobs.Broken++
		if len(p.Broken) < maxBroken {
			p.Broken = append(p.Broken, r.detail)
		}
	case outcomeCancelled:
		p.Jobs.Cancelled++
	case outcomeNotSent:
		p.Jobs.NotSent++
	default:
		p.Jobs.Unanswered++
	}
}

func (p *Report) countFailure(f failure) {
	for i := range p.Failures {
		if p.Failures[i].Code == f.Code && p.Failures[i].Ran == f.Ran {
			p.Failures[i].Count++
			return
		}
	}
	p.Failures = append(p.Failures, Failures{Code: f.Code, Name: f.Name, Ran: f.Ran, Count: 1})
	slices.SortFunc(p.Failures, func(a, b Failures) int { return int(a.Code) - int(b.Code) })
}

// Names of the phases.
const (
	phaseAll    = "all"
	phaseBefore = "before the peak"
	phasePeak   = "peak"
	phaseAfter  = "after the peak"
	phaseSteady = "steady"
)

func (r *resolved) phase(at float64) string {
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

// phaseStep is the resolution at which phases are measured.
const phaseStep = 0.01

// goodput counts complete jobs by the phase in which they became complete.
func (r *resolved) goodput(records []record) []Goodput {
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
	steps := int(math.Round((r.Seconds - r.WarmupSeconds) / phaseStep))
	for i := range steps {
		add(r.WarmupSeconds+float64(i)*phaseStep, phaseStep, 0, 0)
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

// Counters takes in the growth of the entries' counters.
func (p *Report) Counters(c counters) {
	starts := c[metricStarts]
	_, sent := c[metricSent]
	_, wasted := c[metricWasted]
	if starts == 0 || !sent || !wasted {
		return
	}
	p.Messages = &Messages{
		SentPerTask:   c[metricSent] / starts,
		WastedPerTask: c[metricWasted] / starts,
		TaskStarts:    starts,
	}
}

// Verdict takes in what the targets' records say.
func (p *Report) Verdict(v *verdict) {
	p.TaskStarts = v.starts
	p.Violations = append(p.Violations, v.violations...)
	p.Notes = append(p.Notes, v.notes...)
}

// Processors takes in the processes' usage before and after the load.
func (p *Report) Processors(before, after map[string]fleet.Usage, starts int) {
	for _, name := range []string{"entry", "agent"} {
		use := Processor{Role: name}
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
		p.Processor = append(p.Processor, use)
	}
}

// Err returns an error with the number of violations and the first of them, or
// nil if there are none.
func (p *Report) Err() error {
	if len(p.Violations) == 0 {
		return nil
	}
	return Err.New("%d violations, the first: %s", len(p.Violations), fmt.Sprint(p.Violations[0]))
}
