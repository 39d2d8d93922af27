package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// maxScan bounds the jobs that one pump looks at behind those that found no
// room, so that a long queue does not make every event expensive.
const maxScan = 64

const (
	// patience is the wait that a job accepts, in multiples of its expected
	// duration: a job with less work passes one that came earlier.
	patience = 5.0
	// startedBonus, in seconds, finishes jobs that have begun before others begin,
	// since a job waits for its last task.
	startedBonus = 0.2
)

// lostOffset puts jobs whose answers are of no use behind all others: eleven days,
// in seconds, which no job waits. Agents are told keys as durations, which hold
// 292 years at most.
const lostOffset = 1e6

// orderKey is the time, in seconds, by which jobs are served. A job that can no
// longer be in time counts with all of its remaining work, so that it lets others
// pass but is not put behind all of them: a late answer is better than none.
func orderKey(j *activeJob) float64 {
	arrived := float64(j.arrived.UnixMicro()) / 1e6
	if j.stage == lost {
		return arrived + lostOffset + j.remaining().Seconds()
	}
	if j.stage == late {
		return arrived + patience*j.remaining().Seconds()
	}
	key := arrived + patience*j.chain().Seconds()
	if j.runs > j.noRoom {
		key -= startedBonus
	}
	return key
}

// stage says how much an answer to a job can still be worth.
type stage uint8

const (
	timely stage = iota // the answer may be in time
	late                // it may come within lateFactor times what is in time
	lost                // it comes later than that
)

// lateFactor is by how much an answer may miss its objective and still be of use.
const lateFactor = 3

// stageAt is the best that an answer to a job can be.
func (j *activeJob) stageAt(now time.Time) stage {
	end := now.Add(j.chain())
	switch {
	case !end.After(j.objective):
		return timely
	case !end.After(j.arrived.Add(lateFactor * j.objective.Sub(j.arrived))):
		return late
	}
	return lost
}

// demote gives jobs their place again when their answers will come later than
// was hoped for. A job of which nothing has run is refused when its answer would
// be of no use.
func (s *Scheduler) demote(now time.Time) {
	for _, j := range slices.Clone(s.queue) {
		stage := j.stageAt(now)
		if stage <= j.stage {
			continue
		}
		if stage == lost && !j.started() {
			s.end(j, Answer{Outcome: Refused, Reason: "cannot be answered within its time", RetryAfter: s.retryAfter()}, now)
			continue
		}
		s.dequeue(j)
		j.stage = stage
		s.enqueue(j)
	}
}

func (s *Scheduler) enqueue(j *activeJob) {
	if j.queued || j.ended || j.waiting == 0 {
		return
	}
	j.queued = true
	j.key = orderKey(j)
	at, _ := slices.BinarySearchFunc(s.queue, j, compareJobs)
	s.queue = slices.Insert(s.queue, at, j)
}

func compareJobs(a, b *activeJob) int {
	if c := cmp.Compare(a.key, b.key); c != 0 {
		return c
	}
	return strings.Compare(a.request.Job.ID, b.request.Job.ID)
}

func (s *Scheduler) dequeue(j *activeJob) {
	if !j.queued {
		return
	}
	j.queued = false
	if at := slices.Index(s.queue, j); at >= 0 {
		s.queue = slices.Delete(s.queue, at, at+1)
	}
}

// pump starts waiting tasks as long as targets have room for them.
func (s *Scheduler) pump(now time.Time) { s.pumpOn(s.ordered, now) }

// pumpOn does so on some targets. Where only one target has changed since the last
// pump, no other has room for what waits, and looking at all of them at each of a
// large fleet's messages would cost an entry most of its processor time.
func (s *Scheduler) pumpOn(changed []*target, now time.Time) {
	if len(s.queue) > 0 {
		s.placeQueue(s.roomView(changed, now), now)
	}
	s.tellBacklog(now)
	s.sendStarts(now)
}

// pendingStart is a start that a pump has decided on.
type pendingStart struct {
	target  *target
	message *wire.RunStart
}

// sendStarts sends the starts of a pump, with what still waits after them where the
// agents have been told that anything does.
func (s *Scheduler) sendStarts(now time.Time) {
	if len(s.starts) == 0 {
		return
	}
	var waiting *wire.Backlog
	if s.told.tasks > 0 {
		waiting = s.backlog().message(now)
	}
	for _, p := range s.starts {
		p.message.Backlog = waiting
		s.send(p.target, p.message)
	}
	s.starts = s.starts[:0]
}

func (s *Scheduler) placeQueue(view []candidate, now time.Time) {
	blocked := 0
	for _, j := range slices.Clone(s.queue) {
		if len(view) == 0 || blocked >= maxScan {
			break
		}
		if !s.placeJob(j, view, now) {
			blocked++
		}
		if j.waiting == 0 {
			s.dequeue(j)
		}
	}
}

// candidate is a target with room, during one pump.
type candidate struct {
	target *target
	free   workload.Resources
}

func (s *Scheduler) roomView(targets []*target, now time.Time) []candidate {
	view := make([]candidate, 0, len(targets))
	for _, t := range targets {
		if !t.usable() || now.Before(t.pausedUntil) || !t.health.accepts(t, now) {
			continue
		}
		if free := t.free(); free.CPU > 0 {
			view = append(view, candidate{t, free})
		}
	}
	return view
}

// placeJob starts what it can of a job and reports whether nothing that may
// start is left waiting.
func (s *Scheduler) placeJob(j *activeJob, view []candidate, now time.Time) bool {
	complete := true
	for step := range j.tasks {
		if !j.open(step) {
			continue
		}
		for index := range j.tasks[step] {
			k := &j.tasks[step][index]
			if k.state != taskWaiting {
				continue
			}
			c := s.choose(j, step, k, view)
			if c == nil {
				complete = false
				break // the step's tasks are alike
			}
			s.start(j, step, index, c, now)
		}
	}
	return complete
}

func (s *Scheduler) start(j *activeJob, step, index int, c *candidate, now time.Time) {
	t := c.target
	k := &j.tasks[step][index]
	k.attempt++
	t.sent++
	r := &run{
		id:          workload.RunID{Task: j.taskID(step, index), Attempt: k.attempt},
		job:         j,
		step:        step,
		index:       index,
		target:      t,
		incarnation: t.incarnation,
		seq:         t.sent,
		need:        j.request.Job.Steps[step].Need,
		sent:        now,
		expected:    j.expected[step],
	}
	k.state, k.run = taskOut, r
	t.runs[r.id] = r
	c.free = c.free.Minus(r.need)
	j.waiting--
	j.out++
	j.runs++
	if j.firstRun.IsZero() {
		j.firstRun = now
	}
	s.starts = append(s.starts, pendingStart{t, &wire.RunStart{
		Run:      r.id,
		Spec:     j.request.Job.Spec,
		Need:     r.need,
		TimeLeft: j.request.Deadline.Sub(now),
		Target:   t.state.Target,
	}})
}

// sortedRuns returns the runs for which keep holds, in the order of their starts.
func (t *target) sortedRuns(keep func(*run) bool) []*run {
	var runs []*run
	for _, r := range t.runs {
		if keep(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if c := a.sent.Compare(b.sent); c != 0 {
			return c
		}
		return strings.Compare(a.id.String(), b.id.String())
	})
	return runs
}

// TickInterval is how often Tick is to be called: short against the shortest
// objectives, which are about 100 ms.
const TickInterval = 10 * time.Millisecond
