package dispatch

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/outlier"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/wire"
)

func (s *Scheduler) newJob(spec *job.Spec, g *group, now time.Time) *activeJob {
	id := wire.JobID{Entry: s.opts.Incarnation, Seq: s.opts.NextJobSeq()}
	j := &activeJob{
		job:          job.New(id, spec, now),
		seq:          id.Seq,
		group:        g,
		labels:       spec.Labels.Key(),
		expected:     make([]time.Duration, len(spec.Tasks)),
		classes:      make([]wire.Class, len(spec.Tasks)),
		assignedTo:   make([]*target, len(spec.Tasks)),
		payloadBytes: spec.PayloadBytes(),
		done:         make(chan job.Answer, 1),
	}
	s.estimate(j)
	j.job.SortWaiting(func(i int) time.Duration { return j.expected[i] })
	return j
}

func (s *Scheduler) accept(j *activeJob) {
	s.jobs[j.seq] = j
	s.lastSeq = max(s.lastSeq, j.seq)
	s.expiry.push(j)
}

func (s *Scheduler) enqueue(j *activeJob) {
	if j.queued || j.job.Ended() {
		return
	}
	j.queued = true
	s.queue.Add(j.item())
	if s.usesPushBinding() {
		s.assignAll(j)
	}
}

func (s *Scheduler) dequeue(j *activeJob) {
	if j.queued {
		j.queued = false
		s.queue.Remove(j.job.ID())
	}
}

// updateItem updates the remaining work and the next class of a queued job.
func (s *Scheduler) updateItem(j *activeJob) {
	if j.queued {
		s.queue.Update(j.job.ID(), max(0, j.remainingWork), j.job.Waiting(), j.nextClass())
	}
}

// schedule starts waiting tasks as long as grants allow, then informs the agents of
// the work that still waits.
func (s *Scheduler) schedule(now time.Time) {
	if s.usesPushBinding() {
		s.startAssignedTasks(now)
	} else {
		for s.startNext(now) {
		}
	}
	s.sendStarts(now)
	s.trackRate(now)
	s.sendDemand(now)
}

// pendingStart is a start that is sent at the end of schedule.
type pendingStart struct {
	target *target
	start  *wire.Start
}

// sendStarts sends the pending starts. The last start to each target carries the
// demand that remains after all of them. With the demand in between, agents would
// take slots from other entries for tasks that have just been started.
func (s *Scheduler) sendStarts(now time.Time) {
	if len(s.pendingStarts) == 0 {
		return
	}
	cache := make(map[string]wire.Demand, 1)
	seen := make(map[*target]bool, len(s.pendingStarts))
	for _, p := range slices.Backward(s.pendingStarts) {
		if seen[p.target] {
			continue
		}
		seen[p.target] = true
		d := s.demandFor(p.target, cache)
		s.recordDemand(p.target, d, now)
		p.target.demandUnanswered = false
		p.start.Demand = &d
		p.start.Acks = p.target.takeAcks()
	}
	for _, p := range s.pendingStarts {
		s.send(p.target, p.start)
	}
	s.pendingStarts = s.pendingStarts[:0]
}

func (s *Scheduler) startNext(now time.Time) bool {
	if s.queue.Waiting() == 0 || s.totalGrantedSlots == 0 {
		return false
	}
	general, shortOnly := s.groupsWithSlots(now)
	id, ok := s.selectJob(general, shortOnly)
	if !ok {
		return false
	}
	j := s.jobs[id.Seq]
	t := s.chooseTarget(j, now)
	if t == nil {
		return false
	}
	return s.start(j, t, now)
}

// groupsWithSlots returns the groups with a free slot for any class, and those with
// a free slot for short tasks only.
func (s *Scheduler) groupsWithSlots(now time.Time) (general, shortOnly []queue.Group) {
	for _, g := range s.groupsByID {
		short := false
		long := false
		for _, t := range g.targets {
			if !s.canStartOn(t, now) {
				continue
			}
			short = short || t.grantedSlots(wire.ClassShort) > 0
			if t.grantedSlots(wire.ClassLong) > 0 {
				long = true
				break
			}
		}
		switch {
		case long:
			general = append(general, g.id)
		case short:
			shortOnly = append(shortOnly, g.id)
		}
	}
	return general, shortOnly
}

// selectJob returns the first job in queue order whose group has a free slot for
// the class of its next task.
func (s *Scheduler) selectJob(general, shortOnly []queue.Group) (wire.JobID, bool) {
	if len(shortOnly) > 0 {
		head, ok := s.queue.Peek(general, s.allow)
		short, okShort := s.queue.Peek(shortOnly, s.allowShort)
		if okShort && (!ok || short.Key < head.Key) {
			return s.queue.Select(shortOnly, s.allowShort)
		}
	}
	return s.queue.Select(general, s.allow)
}

func (s *Scheduler) allow(workspace string, _ wire.Class) bool {
	return s.opts.Quotas == nil || s.opts.Quotas.Allow(workspace)
}

func (s *Scheduler) allowShort(workspace string, class wire.Class) bool {
	return class == wire.ClassShort && s.allow(workspace, class)
}

// canStartOn reports whether the target may be sent a task now: it has a slot
// granted to this entry, is not in backoff after a refusal, and is healthy, or on
// probation without a task in flight.
func (s *Scheduler) canStartOn(t *target, now time.Time) bool {
	if !t.usable() || len(t.grants) == 0 || t.inBackoff(now) {
		return false
	}
	switch s.outliers.State(t.name, now) {
	case outlier.Ejected:
		return false
	case outlier.Probation:
		return len(t.attempts) == 0
	}
	return true
}

// targetSampleSize is the number of candidates compared for one start, so that the
// cost of a start does not grow with the fleet. The least used of 32 targets is
// hardly more used than the least used of all.
const targetSampleSize = 32

// chooseTarget returns the nearest target with a free slot for the job and, among
// equally near ones, the least used. In a large fleet it compares a sample that
// starts at a different target each time. If no target of the sample is in this
// entry's failure domain, it goes on until it finds one or has seen all targets.
func (s *Scheduler) chooseTarget(j *activeJob, now time.Time) *target {
	var best *target
	class := j.nextClass()
	targets := j.group.targets
	first := 0
	if len(targets) > targetSampleSize {
		s.sampleOffset++
		first = s.sampleOffset % len(targets)
	}
	seen := 0
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		if !s.canStartOn(t, now) || t.grantedSlots(class) == 0 {
			continue
		}
		if best == nil || s.preferred(t, best) {
			best = t
		}
		if seen++; seen >= targetSampleSize && best.distance == distanceSameDomain {
			break
		}
	}
	return best
}

func (s *Scheduler) preferred(a, b *target) bool {
	if a.distance != b.distance {
		return a.distance < b.distance
	}
	return s.utilization(a) < s.utilization(b)
}

// utilization is the share of the target's slots that this entry would use with one
// more task, divided by the target's outlier weight so that slow targets rank as
// more used.
func (s *Scheduler) utilization(t *target) float64 {
	return float64(len(t.attempts)+1) / (float64(max(1, t.announce.Slots)) * s.outliers.Weight(t.name))
}

// start starts the next task of the job on the target.
func (s *Scheduler) start(j *activeJob, t *target, now time.Time) bool {
	index, _, ok := j.job.NextTask()
	if !ok {
		return false
	}
	return s.startTask(j, index, t, now)
}

func (s *Scheduler) startTask(j *activeJob, index int, t *target, now time.Time) bool {
	class := j.classes[index]
	grantID, ok := t.takeSlot(class)
	if !ok {
		return false
	}
	s.totalGrantedSlots--
	id, ok := j.job.MarkSent(index)
	if !ok {
		return false
	}
	spec := j.job.Spec()
	a := &attempt{id: id, job: j, sent: now, expected: j.expected[index], class: class, grant: grantID, revision: s.revisionFor(t)}
	t.attempts[taskKey{j.seq, id.Index}] = a
	j.assignedTo[index] = t
	t.extendBackoff(now)
	s.inFlight++
	if s.opts.Quotas != nil {
		s.opts.Quotas.TaskStarted(spec.Workspace)
	}
	s.queue.Charge(spec.Workspace, a.expected)
	s.adjustUsage(j, -1, -int64(len(spec.Tasks[index].Payload)))
	s.updateItem(j)
	s.recordStart(j, now)
	s.pendingStarts = append(s.pendingStarts, pendingStart{t, &wire.Start{
		Task:      id,
		Grant:     grantID,
		Revision:  a.revision,
		Workspace: spec.Workspace,
		Class:     class,
		TimeLeft:  s.timeLeft(j, now),
		Payload:   spec.Tasks[index].Payload,
	}})
	return true
}

// revisionFor returns the configuration revision that a start on the target
// carries.
func (s *Scheduler) revisionFor(t *target) uint64 {
	return s.snapshot.RevisionFor(s.opts.Service, t.announce.Target)
}

// timeLeft returns the time limit of a task: the time until the deadline, but at
// most the run-time limit of long tasks. That limit applies to every class because
// the class is only an estimate.
func (s *Scheduler) timeLeft(j *activeJob, now time.Time) time.Duration {
	left := j.job.Deadline().Sub(now)
	if service, ok := s.snapshot.Service(s.opts.Service); ok && service.Long.RunMS > 0 {
		left = min(left, time.Duration(service.Long.RunMS)*time.Millisecond)
	}
	return left
}

func (s *Scheduler) recordStart(j *activeJob, now time.Time) {
	s.recorder.Add(metrics.TaskStarts, 1)
	if j.started {
		return
	}
	j.started = true
	s.recorder.RecordDuration(metrics.QueueSeconds, now.Sub(j.job.Arrived()),
		metrics.TagWorkspace, j.job.Spec().Workspace, metrics.TagClass, j.longestClass().String())
}

func (t *target) takeAcks() []wire.TaskID {
	acks := t.pendingAcks
	t.pendingAcks = nil
	return acks
}

// longestClass returns the longest class of the job's tasks, by which metrics label
// the job.
func (j *activeJob) longestClass() wire.Class {
	return slices.Max(j.classes)
}
