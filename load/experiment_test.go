package load

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
)

// Guards against experiment files with misspelt or invalid fields that are accepted
// and then have no effect.
func TestParseRejectsInvalidExperiments(t *testing.T) {
	if _, err := Parse([]byte(testExperiment)); err == nil || !strings.Contains(err.Error(), "extends is cyclic") {
		t.Errorf("a variant that extends itself: %v", err)
	}
	valid := strings.Replace(testExperiment, `"loop": {"extends": "loop"},`, "", 1)
	for _, edit := range [][2]string{
		{`"seed"`, `"sed"`},
		{`"order"`, `"ordre"`},
		{`"limits": {"tasks"`, `"limits": {"task"`},
		{`"seconds": 0.3`, `"seconds": 1e6`},
		{`"connections": 8`, `"connections": 0`},
		{`"min": 1, "max": 3`, `"min": 3, "max": 1`},
		{`"extends": "fifo"`, `"extends": "lifo"`},
		{`"load": 0.4`, `"faults": [{"at_seconds": 1, "process": "entry-0", "action": "melt"}], "load": 0.4`},
		{`"load": 0.4`, `"faults": [{"at_seconds": 1, "target": 2, "target_faults": {}}], "load": 0.4`},
		{`"load": 0.4`, `"swing": {"factor": 2}, "load": 0.4`},
	} {
		if _, err := Parse([]byte(strings.Replace(valid, edit[0], edit[1], 1))); err == nil {
			t.Errorf("accepted %s", edit[1])
		}
	}
}

// Guards against variants that lose the settings of the variant they extend.
func TestVariantExtends(t *testing.T) {
	plan, err := parseTestExperiment(t).resolve("fifo-small", false)
	if err != nil {
		t.Fatal(err)
	}
	policy, err := plan.policy()
	if err != nil || policy.Order != "fifo" || plan.Load != 0.2 {
		t.Errorf("policy %+v, load %v, %v", policy, plan.Load, err)
	}
	entry := settings.Entry{Name: "entry-0"}
	if err := plan.editEntry(&entry); err != nil || entry.Limits.Tasks != 5 || entry.Name != "entry-0" {
		t.Errorf("entry settings are %+v, %v", entry, err)
	}
}

// Guards against schedules that differ between runs with one seed, miss the offered
// load or ignore the load peaks.
func TestSchedule(t *testing.T) {
	e := parseTestExperiment(t, `"seconds": 0.3`, `"seconds": 100`, `"load": 0.4`, `"swing": {"factor": 3, "seconds": 10, "every": 50, "first_at": 20}, "load": 0.4`)
	plan, err := e.resolve(DefaultVariant, false)
	if err != nil {
		t.Fatal(err)
	}
	jobs, err := plan.schedule(1)
	if err != nil {
		t.Fatal(err)
	}
	again, err := plan.schedule(1)
	if err != nil || !reflect.DeepEqual(jobs, again) {
		t.Errorf("one seed gave two schedules, %v", err)
	}
	taskSeconds := map[string]float64{}
	for i := range jobs {
		taskSeconds[plan.phase(jobs[i].at.Seconds())] += jobs[i].taskSeconds()
	}
	slots := float64(plan.Fleet.Targets * plan.Fleet.Slots)
	for phase, want := range map[string]float64{
		phaseBefore: 20 * 0.4 * slots,
		phasePeak:   20 * 1.2 * slots,
		phaseAfter:  60 * 0.4 * slots,
	} {
		if got := taskSeconds[phase]; math.Abs(got/want-1) > 0.05 {
			t.Errorf("%s: %.1f task seconds, want %.1f", phase, got, want)
		}
	}
}

// Guards against a mean that differs from that of the samples: the offered load
// would then differ from the configured one.
func TestDistributionMean(t *testing.T) {
	const samples = 200_000
	for _, d := range []Distribution{
		{Min: 2, Max: 10},
		{Min: 2, Max: 10, Shape: ShapeLogUniform},
		{Min: 2, Max: 10, Shape: ShapeInverseSquare},
		{Min: 3, Max: 3, Shape: ShapeInverseSquare},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		var sum float64
		for range samples {
			x := d.sample(random)
			if x < d.Min || x > d.Max {
				t.Fatalf("%+v: sampled %v", d, x)
			}
			sum += x
		}
		if got := sum / samples; math.Abs(got/d.mean()-1) > 0.01 {
			t.Errorf("%+v: mean %v, want %v", d, got, d.mean())
		}
	}
}

// Guards against quantiles that include failed jobs, jobs of the warm-up or jobs of
// another class.
func TestReportGroups(t *testing.T) {
	plan, err := parseTestExperiment(t, `"warmup_seconds": 0`, `"warmup_seconds": 0.1`).resolve(DefaultVariant, false)
	if err != nil {
		t.Fatal(err)
	}
	class := &plan.Classes[0]
	job := func(at time.Duration) *plannedJob {
		return &plannedJob{at: at, class: class, workspace: "a", runMS: []float64{9, 4}}
	}
	d := &driver{plan: plan, records: []record{
		{job: job(0), outcome: outcomeComplete, took: time.Hour},
		{job: job(time.Second / 5), outcome: outcomeComplete, took: 20 * time.Millisecond},
		{job: job(time.Second / 5), outcome: outcomeFailed, took: time.Hour},
	}}
	report := newReport(d, time.Millisecond, 1)
	g := report.Groups[0]
	if g.Kind != "class" || g.Jobs != 2 || g.Complete != 1 || math.Abs(g.OverIdeal.Max-2) > 0.01 {
		t.Errorf("group is %+v", g)
	}
	if len(report.Goodput) == 0 || math.Abs(report.Goodput[0].JobsPerSecond-5) > 0.01 {
		t.Errorf("goodput is %+v", report.Goodput)
	}
}

// Guards against ratios between runs of different repetitions, which have different
// jobs.
func TestRatios(t *testing.T) {
	run := func(complete int) Report { return Report{Jobs: JobCounts{Complete: complete}} }
	got := ratios([]string{"a", "b"}, [][]Report{{run(10), run(20)}, {run(100), run(100)}, {run(1), run(4)}})
	want := Ratio{Measure: "complete jobs", Variant: "b", Base: 10, Median: 2, Lowest: 1, Highest: 4, Count: 3}
	if len(got) != 1 || got[0] != want {
		t.Errorf("ratios are %+v", got)
	}
}

// Guards against counter values that are read from comments, labels or other
// metrics.
func TestParseMetrics(t *testing.T) {
	got := counters{}
	parseMetrics(`# HELP catkinline_messages_sent 7
catkinline_messages_sent{to="x y"} 3
catkinline_messages_sent{to="z"} 4 1700000000
catkinline_messages_sent_bytes 100
catkinline_task_starts 5
`, got)
	if !reflect.DeepEqual(got, counters{metricSent: 7, metricStarts: 5}) {
		t.Errorf("counters are %v", got)
	}
}

// Guards against experiment files in the repository that no longer parse or whose
// schedules exceed the limits.
func TestExperimentFiles(t *testing.T) {
	files, err := filepath.Glob("../experiments/*.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		e, err := Parse(data)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		for name := range e.Variants {
			for _, quick := range []bool{false, true} {
				plan, err := e.resolve(name, quick)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := plan.schedule(e.Seed); err != nil {
					t.Errorf("%s, variant %s, quick %v: %v", file, name, quick, err)
				}
			}
		}
	}
}
