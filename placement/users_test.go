package placement_test

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/workload"
)

// kind is one kind of job in the load, as the users describe theirs.
type kind struct {
	name      string
	perSecond float64 // jobs at load 1
	tasks     float64 // mean
	work      time.Duration
	worth     float64
	priority  int
}

// The users' three kinds of job.
func userKinds() []kind {
	return []kind{
		{"preview", 30.3, 8, 51 * time.Millisecond, 0.0291, 0},
		{"panorama", 5.5, 4, 760 * time.Millisecond, 0.16, 2},
		{"exposure", 88, 2, 170 * time.Millisecond, 0.01, 1},
	}
}

const (
	simStretch  = 1.6
	simTarget   = 60 * time.Millisecond
	simAttempts = 2
	simBudget   = 1500 * time.Millisecond
	lateShare   = 0.2
	linkDelay   = 1200 * time.Microsecond
	hostCPU     = 32000
	// usualTaskCPU is the mean need of a task, mostTaskCPU the largest.
	usualTaskCPU = 3100.0
	mostTaskCPU  = 4700.0
	windowLen    = 2 * time.Second
	tailShare    = 0.03
	tailFactor   = 7.0
)

// served is what became of one job.
type served struct {
	kind    int
	arrived time.Duration // since the start
	took    time.Duration
	ideal   time.Duration
	worth   float64
	answer  placement.Outcome
	inTime  bool
	late    bool
}

// load offers jobs of all kinds for a time. Rate is the factor on the kinds'
// rates at a time.
func (f *fleet) load(d time.Duration, rate func(kind int, at time.Duration) float64) {
	start := f.now
	for k := range f.kinds {
		f.arrive(k, start, d, rate)
	}
	f.run(d)
}

func (f *fleet) arrive(k int, start time.Time, d time.Duration, rate func(int, time.Duration) float64) {
	at := f.now.Sub(start)
	perSecond := f.kinds[k].perSecond * max(0.01, rate(k, at))
	wait := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
	f.after(wait, func() {
		if f.now.Sub(start) < d {
			f.submit(k, f.now.Sub(start))
			f.arrive(k, start, d, rate)
		}
	})
}

// submit hands in one job. A job's tasks last alike, within 15%; the spec of the
// simulated tasks is their duration.
func (f *fleet) submit(k int, at time.Duration) {
	c := f.kinds[k]
	work := float64(c.work) * math.Exp(0.4*f.random.NormFloat64()-0.08)
	if f.random.Float64() < tailShare {
		work *= tailFactor
	}
	tasks := max(1, int(math.Round(c.tasks*math.Exp(0.4*f.random.NormFloat64()-0.08))))
	need := int64(f.taskCPU * math.Exp(0.2*f.random.NormFloat64()))
	estimate := work * math.Exp(0.4*f.random.NormFloat64())
	ideal := time.Duration(work)
	objective := time.Duration(simStretch*work) + simTarget
	wait := simBudget + 3*objective
	job := workload.Job{
		ID:   fmt.Sprintf("%016x", f.random.Uint64()),
		Spec: ideal.String(),
		Steps: []workload.Step{{
			Tasks: tasks, Need: workload.Resources{CPU: min(need, int64(f.taskCPU*mostTaskCPU/usualTaskCPU)), Memory: 64}, Estimate: time.Duration(estimate),
		}},
	}
	route := routing.Route{Name: c.name, Service: "frames", Priority: c.priority, MaxAttempts: simAttempts, Stretch: simStretch, TargetDuration: simTarget, Timeout: simBudget}
	e := f.entries[f.random.IntN(len(f.entries))]
	share := work * float64(tasks) / (float64(c.work) * c.tasks)
	out := served{kind: k, arrived: at, ideal: ideal, worth: c.worth * min(4, 0.3+0.7*share)}
	e.pending[job.ID] = pending{out: out, arrived: f.now, objective: objective}
	e.submit(placement.Request{Job: job, Route: route, Version: 1, Deadline: f.now.Add(wait)})
}

// submit places a job, or hands it to one of the fleet's placers while targets are
// full, as gateways do.
func (e *simEntry) submit(r placement.Request) {
	f := e.f
	if f.placers == 0 || e.n < f.placers || f.now.Sub(e.contended) > contendedFor {
		e.s.Submit(r, f.now)
		return
	}
	e.handed++
	to := f.entries[(e.handed+e.n)%f.placers]
	p := e.pending[r.Job.ID]
	delete(e.pending, r.Job.ID)
	p.from = e
	to.pending[r.Job.ID] = p
	f.after(hopDelay, func() { to.s.Submit(r, f.now) })
}

const (
	// contendedFor is how long after tasks last waited jobs are handed to placers.
	contendedFor = 500 * time.Millisecond
	// hopDelay is the way of a job or an answer between two entries.
	hopDelay = 2 * time.Millisecond
)

// pending is a job without an answer yet.
type pending struct {
	out       served
	arrived   time.Time
	objective time.Duration
	from      *simEntry // the entry that handed the job over, or nil
}

// JobEnded implements placement.Observer.
func (e *simEntry) JobEnded(r placement.JobReport) {
	p, ok := e.pending[r.ID]
	if !ok {
		return
	}
	delete(e.pending, r.ID)
	if p.from != nil {
		r.Took = e.f.now.Add(hopDelay).Sub(p.arrived)
		if e.contended.After(p.from.contended) {
			p.from.contended = e.contended
		}
	}
	p.out.answer, p.out.took = r.Answer.Outcome, r.Took
	p.out.inTime = p.out.answer == placement.Done && r.Took <= p.objective
	p.out.late = p.out.answer == placement.Done && !p.out.inTime && r.Took <= 3*p.objective
	e.f.served = append(e.f.served, p.out)
}

// RunEnded implements placement.Observer.
func (e *simEntry) RunEnded(placement.RunReport) {}

// TargetChanged implements placement.Observer.
func (e *simEntry) TargetChanged(placement.TargetChange) {}

// marks is how users were served.
type marks struct {
	whole  float64   // earned over owed
	kinds  []float64 // by kind
	worst  float64   // the two worst windows
	failed float64   // share of jobs that were not served
	jobs   int
}

// judge sums up what was served, as the users value it.
func (f *fleet) judge() marks {
	earned, owed := 0.0, 0.0
	byKind := make([][2]float64, len(f.kinds))
	byWindow := map[int]*[2]float64{}
	unserved := 0
	for _, s := range f.served {
		got := 0.0
		switch {
		case s.inTime:
			got = s.worth
		case s.late:
			got = lateShare * s.worth
		}
		if !s.inTime && !s.late {
			unserved++
		}
		earned, owed = earned+got, owed+s.worth
		byKind[s.kind][0] += got
		byKind[s.kind][1] += s.worth
		w := int(s.arrived / windowLen)
		if byWindow[w] == nil {
			byWindow[w] = &[2]float64{}
		}
		byWindow[w][0] += got
		byWindow[w][1] += s.worth
	}
	m := marks{whole: earned / owed, failed: float64(unserved) / float64(len(f.served)), jobs: len(f.served)}
	for _, k := range byKind {
		m.kinds = append(m.kinds, k[0]/max(k[1], 1e-9))
	}
	var windows []float64
	for _, w := range byWindow {
		windows = append(windows, w[0]/w[1])
	}
	sort.Float64s(windows)
	m.worst = (windows[0] + windows[min(1, len(windows)-1)]) / 2
	return m
}

func (m marks) String() string {
	return fmt.Sprintf("whole %.3f, kinds %.3f, worst windows %.3f, unserved %.4f of %d", m.whole, m.kinds, m.worst, m.failed, m.jobs)
}

// wave is the users' daily load: a swing of 55% over 15 s.
func wave(at time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+0.1))
}
