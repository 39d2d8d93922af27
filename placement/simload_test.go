package placement_test

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// jobKind describes one kind of job in the simulated load. The figures come from the users.
type jobKind struct {
	name      string
	perSecond float64       // jobs at load 1
	tasks     float64       // mean number
	work      time.Duration // run time of a task; see submit for its spread
	value     float64       // of an answer in time
	priority  int
}

// userKinds returns the users' three kinds of job.
func userKinds() []jobKind {
	return []jobKind{
		{"preview", 30.3, 8, 51 * time.Millisecond, 0.0291, 0},
		{"panorama", 5.5, 4, 760 * time.Millisecond, 0.16, 2},
		{"exposure", 88, 2, 170 * time.Millisecond, 0.01, 1},
	}
}

const (
	simStretch        = 1.6
	simTargetDuration = 60 * time.Millisecond
	simAttempts       = 2
	simTimeout        = 1500 * time.Millisecond
	lateValueShare    = 0.2 // of the value, for a late answer that is still useful
	linkDelay         = 1200 * time.Microsecond
	hostCPU           = 32000
	// meanTaskCPU is the mean need of a task, maxTaskCPU the largest.
	meanTaskCPU  = 3100.0
	maxTaskCPU   = 4700.0
	windowLength = 2 * time.Second
	tailShare    = 0.03 // of the jobs run tailFactor times as long
	tailFactor   = 7.0
)

// served is the result of one job.
type served struct {
	kind    int
	arrived time.Duration // since the start of the load
	took    time.Duration
	ideal   time.Duration
	value   float64
	work    float64 // run time of all tasks, in nanoseconds
	// refusedAfter is the share of its objective that a job waited before it was refused without
	// having been started; 0: it was not.
	refusedAfter float64
	hadRoom      bool // it was refused while a target of any placer had free capacity for a task of it
	answer       placement.Outcome
	inTime       bool
	late         bool // done within three times the objective
}

// load submits jobs of all kinds for a duration. rate(kind, at) returns the
// multiplier of the kind's arrival rate at a time since the start of the load.
func (f *simFleet) load(d time.Duration, rate func(kind int, at time.Duration) float64) {
	start := f.now
	for k := range f.kinds {
		f.arrive(k, start, d, rate)
	}
	f.run(d)
}

// arrive schedules the next job of a kind, with exponentially distributed intervals.
func (f *simFleet) arrive(k int, start time.Time, d time.Duration, rate func(int, time.Duration) float64) {
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

// submit submits one job to a random entry. The users' tasks of one job differ by up to 15%
// in run time; here they have the same run time, which is the spec of the tasks.
func (f *simFleet) submit(k int, at time.Duration) {
	c := f.kinds[k]
	work := float64(c.work) * math.Exp(0.4*f.random.NormFloat64()-0.08)
	if f.random.Float64() < tailShare {
		work *= tailFactor
	}
	tasks := max(1, int(math.Round(c.tasks*math.Exp(0.4*f.random.NormFloat64()-0.08))))
	need := int64(f.taskCPU * math.Exp(0.2*f.random.NormFloat64()))
	estimate := work * math.Exp(0.4*f.random.NormFloat64())
	ideal := time.Duration(work)
	objective := time.Duration(simStretch*work) + simTargetDuration
	wait := simTimeout + 3*objective
	job := workload.Job{
		ID:   fmt.Sprintf("%016x", f.random.Uint64()),
		Spec: ideal.String(),
		Steps: []workload.Step{{
			Tasks: tasks, Need: workload.Resources{CPU: min(need, int64(f.taskCPU*maxTaskCPU/meanTaskCPU)), Memory: 64}, Estimate: time.Duration(estimate),
		}},
	}
	route := routing.Route{Name: c.name, Service: "frames", Priority: c.priority, MaxAttempts: simAttempts, Stretch: simStretch, TargetDuration: simTargetDuration, Timeout: simTimeout}
	crashing := f.crashShare != nil && f.random.Float64() < f.crashShare(k, at)
	if crashing {
		f.crashing[job.ID] = true
	}
	job.Steps[0].DataRack = f.mix.dataRack(f, job.ID)
	e := f.entryForCaller()
	share := work * float64(tasks) / (float64(c.work) * c.tasks)
	out := served{kind: k, arrived: at, ideal: ideal, value: c.value * min(4, 0.3+0.7*share), work: work * float64(tasks)}
	if crashing {
		out.value = 0 // nobody can serve it
	}
	e.pending[job.ID] = pending{out: out, arrived: f.now, objective: objective}
	e.submit(placement.Request{Job: job, Route: route, Version: 1, Deadline: f.now.Add(wait)})
}

// entryForCaller returns the entry that the next caller uses.
func (f *simFleet) entryForCaller() *simEntry {
	if f.pickEntry != nil {
		return f.pickEntry()
	}
	return f.entries[f.random.IntN(len(f.entries))]
}

// submit places a job, or forwards it to a placer as gateways do: to the one with less waiting
// work of two.
func (e *simEntry) submit(r placement.Request) {
	f := e.f
	if slices.Contains(f.placers, e) {
		e.offer(e, r, 0)
		return
	}
	e.turn++
	first := (e.turn + e.n) % len(f.placers)
	to := f.placers[first]
	if len(f.placers) > 1 {
		other := f.placers[(first+1+f.random.IntN(len(f.placers)-1))%len(f.placers)]
		if e.waiting[other] < e.waiting[to] {
			to = other
		}
	}
	e.offer(to, r, hopDelay)
}

// offer sends a job to a placer. The last one that is asked must not decline it.
func (e *simEntry) offer(to *simEntry, r placement.Request, delay time.Duration) {
	p := e.pending[r.Job.ID]
	delete(e.pending, r.Job.ID)
	if p.need = r.Job.Steps[0].Need; to != e {
		p.origin = e
	}
	p.asked = append(p.asked, to)
	r.MayDecline = len(p.asked) < len(e.f.placers)
	p.declined = func() {
		p.origin = nil
		e.pending[r.Job.ID] = p
		for _, next := range e.f.placers {
			if !slices.Contains(p.asked, next) {
				e.offer(next, r, hopDelay)
				return
			}
		}
	}
	to.pending[r.Job.ID] = p
	if delay == 0 {
		to.s.Submit(r, e.f.now)
		return
	}
	e.f.after(delay, func() { to.s.Submit(r, e.f.now) })
}

// hopDelay is the delay of a job or an answer between two entries.
const hopDelay = 2 * time.Millisecond

// pending is a job that has not been answered.
type pending struct {
	out       served
	arrived   time.Time
	objective time.Duration
	origin    *simEntry // the entry that forwarded the job, or nil
	need      workload.Resources
	asked     []*simEntry // the placers that it was offered to
	declined  func()      // offers it to the next one
}

// JobEnded implements placement.Observer.
func (e *simEntry) JobEnded(r placement.JobReport) {
	p, ok := e.pending[r.ID]
	if !ok {
		return
	}
	delete(e.pending, r.ID)
	if p.origin != nil {
		r.Took = e.f.now.Add(hopDelay).Sub(p.arrived)
		e.f.after(hopDelay, func() { p.origin.waiting[e] = e.s.WaitingCPU() })
	}
	if r.Answer.Outcome == placement.Withdrawn {
		e.f.declined++
		e.f.after(hopDelay, p.declined)
		return
	}
	p.out.answer, p.out.took = r.Answer.Outcome, r.Took
	if r.Answer.Outcome == placement.Refused {
		p.out.refusedAfter = float64(r.Took) / float64(p.objective)
		p.out.hadRoom = e.f.hasRoom(p.need)
	}
	p.out.inTime = p.out.answer == placement.Done && r.Took <= p.objective
	p.out.late = p.out.answer == placement.Done && !p.out.inTime && r.Took <= 3*p.objective
	e.f.served = append(e.f.served, p.out)
}

// RunEnded implements placement.Observer.
func (e *simEntry) RunEnded(r placement.RunReport) {
	if r.End == wire.EndStopped {
		e.f.stopped++
	}
}

// TargetChanged implements placement.Observer.
func (e *simEntry) TargetChanged(c placement.TargetChange) {
	if c.Change == "distrusted" {
		e.f.ejections++
	}
}

// TargetCrashed implements placement.Observer.
func (e *simEntry) TargetCrashed(placement.CrashReport) {}

// IsolationChanged implements placement.Observer.
func (e *simEntry) IsolationChanged(placement.IsolationChange) {}

// score summarizes how a load was served, as the users value it.
type score struct {
	total         float64   // value earned over the value of all jobs
	byKind        []float64 // the same by kind
	worstWindows  float64   // the same for the two worst windows, mean
	unservedShare float64   // share of jobs neither in time nor late
	jobs          int
}

// computeScore returns the score of the jobs that were answered so far.
func (f *simFleet) computeScore() score {
	earned, offered := 0.0, 0.0
	valuesByKind := make([][2]float64, len(f.kinds))
	byWindow := map[int]*[2]float64{}
	unserved := 0
	for _, s := range f.served {
		if s.value == 0 {
			continue
		}
		got := 0.0
		switch {
		case s.inTime:
			got = s.value
		case s.late:
			got = lateValueShare * s.value
		}
		if !s.inTime && !s.late {
			unserved++
		}
		earned, offered = earned+got, offered+s.value
		valuesByKind[s.kind][0] += got
		valuesByKind[s.kind][1] += s.value
		w := int(s.arrived / windowLength)
		if byWindow[w] == nil {
			byWindow[w] = &[2]float64{}
		}
		byWindow[w][0] += got
		byWindow[w][1] += s.value
	}
	m := score{total: earned / offered, unservedShare: float64(unserved) / float64(len(f.served)), jobs: len(f.served)}
	for _, k := range valuesByKind {
		m.byKind = append(m.byKind, k[0]/max(k[1], 1e-9))
	}
	var windows []float64
	for _, w := range byWindow {
		windows = append(windows, w[0]/w[1])
	}
	sort.Float64s(windows)
	m.worstWindows = (windows[0] + windows[min(1, len(windows)-1)]) / 2
	return m
}

func (m score) String() string {
	return fmt.Sprintf("total %.3f, kinds %.3f, worst windows %.3f, unserved %.4f of %d jobs", m.total, m.byKind, m.worstWindows, m.unservedShare, m.jobs)
}

// dailyLoad is the users' daily load pattern: it varies by 55% in a period of 15 s.
func dailyLoad(at time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*(at.Seconds()/15+0.1))
}
