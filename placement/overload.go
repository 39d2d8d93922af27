package placement

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/overload"
)

// serviceLoad is the waiting work of a service and the rate at which it is done.
type serviceLoad struct {
	supply *overload.Supply
	queue  overload.Queue // as of the last Tick
}

func (s *Scheduler) loadOf(service string) *serviceLoad {
	l := s.loads[service]
	if l == nil {
		l = &serviceLoad{supply: overload.NewSupply()}
		s.loads[service] = l
	}
	return l
}

// Reasons of refusals under overload. docs/OPERATIONS.md explains them.
const (
	reasonOverloadArrival = "overload: cannot be answered in useful time"
	reasonOverloadWaiting = "overload: can no longer be answered in useful time"
)

// refusalMoments has the values of JobReport.Overload by reason.
var refusalMoments = map[string]string{reasonOverloadArrival: "arrival", reasonOverloadWaiting: "waiting"}

// refusalMoment returns the value of JobReport.Overload for an answer. A withdrawn job is not refused.
func refusalMoment(a Answer) string {
	if a.Outcome != Refused {
		return ""
	}
	return refusalMoments[a.Reason]
}

// waitingWork returns the expected work of the job's waiting tasks, in thousandths of core-seconds.
func (j *activeJob) waitingWork() float64 {
	sum := 0.0
	for step := range j.tasks {
		sum += float64(j.waitingTasks(step)) * j.expected[step].Seconds() * float64(j.request.Job.Steps[step].Need.CPU)
	}
	return sum
}

// usefulUntil returns when the job's answer loses its value.
func (j *activeJob) usefulUntil() time.Time {
	useful := j.arrived.Add(lateFactor * j.objective.Sub(j.arrived))
	if j.request.Deadline.Before(useful) {
		return j.request.Deadline
	}
	return useful
}

// recordStart records the start of a run.
func (s *Scheduler) recordStart(r *run) {
	j := r.job
	l := s.loadOf(j.request.Route.Service)
	delay := seconds(j.key - float64(j.arrived.UnixMicro())/1e6)
	l.supply.Started(j.request.Route.Name, j.timeliness != inTime, r.need.CPU, r.work, delay)
}

// hopeless reports whether an arriving job is expected to be answered too late: not
// in time from its place in the queue, and not in useful time from its place among late jobs.
func (s *Scheduler) hopeless(j *activeJob, now time.Time) bool {
	l := s.loadOf(j.request.Route.Service)
	times := j.times()
	at := float64(now.UnixMicro()) / 1e6
	wait := l.supply.Wait(l.queue.Ahead(j.key), seconds(j.key-at))
	if times.InTime(now, wait) {
		return false
	}
	if late := orderKeyAs(j, late); late > j.key {
		wait = max(wait, l.supply.Wait(max(0, l.queue.Ahead(late)-j.waitingWork()), seconds(late-at)))
	}
	return times.Hopeless(now, wait)
}

func (j *activeJob) times() overload.Job {
	return overload.Job{Arrived: j.arrived, Objective: j.objective, Useful: j.usefulUntil(), Run: j.criticalPath()}
}

// certainlyLate reports whether a waiting job of which nothing has run cannot be answered in useful
// time, even if all linked targets serve this queue and nothing overtakes it. Late in its time it is kept: see
// overload.Job.CertainlyLate.
func (s *Scheduler) certainlyLate(j *activeJob, now time.Time) bool {
	l := s.loadOf(j.request.Route.Service)
	return j.times().CertainlyLate(now, l.supply.ShortestWait(l.queue.Ahead(j.key)))
}

// capacityLeft reports whether a linked target has free capacity for a waiting task of the job, or another
// placer has no waiting work: then a forecast refuses nothing.
func (s *Scheduler) capacityLeft(j *activeJob, now time.Time) bool {
	if s.opts.OtherIdle != nil && s.opts.OtherIdle(now) {
		return true
	}
	return slices.ContainsFunc(s.ordered, func(t *target) bool {
		return t.placeable() && t.state.Service == j.request.Route.Service && s.hasRoomFor(t, j)
	})
}

// hasRoomFor reports whether a target has free capacity for a waiting task of a job.
func (s *Scheduler) hasRoomFor(t *target, j *activeJob) bool {
	free := t.free()
	for step := range j.tasks {
		spec := &j.request.Job.Steps[step]
		if j.waitingTasks(step) > 0 && j.stepReady(step) && t.hasLabel(spec.RequiredLabel) && spec.Need.FitsIn(free) {
			return true
		}
	}
	return false
}

// refuseOnArrival returns the refusal of a job that has just been queued and found no free capacity,
// if it is hopeless, or nil. While the sender can ask another placer, the job is withdrawn: the targets that
// only others are linked to may have free capacity.
func (s *Scheduler) refuseOnArrival(j *activeJob, now time.Time) *Answer {
	if j.ended || !j.queued || j.runs > 0 || !s.hopeless(j, now) {
		return nil
	}
	if j.request.MayDecline && s.withdrawable(j) {
		return &Answer{Outcome: Withdrawn, Reason: reasonOverloadArrival}
	}
	if s.capacityLeft(j, now) {
		return nil
	}
	return &Answer{Outcome: Refused, Reason: reasonOverloadArrival, RetryAfter: s.retryAfter(j)}
}

// updateLoads records the queue of each service.
func (s *Scheduler) updateLoads(now time.Time) {
	for _, l := range s.loads {
		l.supply.Age(now)
		l.queue.Reset()
	}
	s.updateCapacity()
	for _, j := range s.queue {
		s.loadOf(j.request.Route.Service).queue.Add(j.key, j.waitingWork())
	}
}

// updateCapacity records the capacity of the linked targets of each service.
func (s *Scheduler) updateCapacity() {
	placers := 1
	if s.opts.Entries != nil {
		placers = s.opts.Entries()
	}
	for service, l := range s.loads {
		cpu := int64(0)
		for _, t := range s.ordered {
			if t.state.Service == service && t.placeable() {
				cpu += t.state.Capacity.CPU
			}
		}
		l.supply.SetCapacity(cpu, placers)
	}
}

// retryAfter returns the hint for a refused job: when the waiting work of its service is done.
func (s *Scheduler) retryAfter(j *activeJob) time.Duration {
	l := s.loadOf(j.request.Route.Service)
	return overload.RetryAfter(l.queue.Total(), l.supply.Rate(), s.opts.Random)
}
