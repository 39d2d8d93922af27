package placement

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/forecast"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// health tracks a target's faults and slowness, and ejects it for a time when they exceed
// limits. Logs call an ejected target distrusted. The tasks of a step are identical, so
// the run time of a run is compared with that of its siblings on other targets, and with
// the estimate only while no sibling is done.
type health struct {
	logSlowness  float64 // moving average of the logarithm of run time over the reference
	weight       float64 // runs observed, up to slownessWindow
	faultScore   float64 // failures and overdue runs, less a credit for successes
	ejected      bool
	ejectedUntil time.Time // the target gets no run before
	ejectionTime time.Duration
}

const (
	// slownessWindow is the number of runs after which an observation has lost
	// most of its weight: about as many as a target runs at once.
	slownessWindow = 10.0
	// ejectionScore is the fault score from which a target is ejected. A single failure
	// is more likely the task's own fault.
	ejectionScore = 2.0
	// minObservations is the number of observed runs from which a target can be ejected
	// as slow.
	minObservations = 4.0
	// startOverhead allows for the messages and the delay of a busy agent, which are
	// significant for the shortest tasks.
	startOverhead = 10 * time.Millisecond
	// successCredit is what a run that takes less than maxSlowness times its expected
	// time subtracts from the fault score. It is low enough that a target that fails a third of its runs is
	// ejected.
	successCredit = 0.5
	// overdueFactor and overdueSlack set when a run is overdue compared with what its
	// siblings would take on its target: their run times differ by about 30%.
	overdueFactor = 2.5
	overdueSlack  = 40 * time.Millisecond
	// estimateOverdueFactor and estimateOverdueSlack apply while no sibling is done.
	// Estimates are off by a factor of 1.5, and a few tasks run seven times as long.
	estimateOverdueFactor = 10.0
	estimateOverdueSlack  = 300 * time.Millisecond
	// maxSlowness is the run time relative to what is usual for a target from which it is ejected.
	maxSlowness = 2.5
	// unknownSlowness is what may be usual for a target whose speed is not known yet: one of 0.55
	// beside others of 1.2 is 1.8 times slower than the mean of the fleet.
	unknownSlowness = 1.6
	// maxSteadySlowness is the run time relative to the fleet's mean from which a target is ejected
	// even if that is usual for it: it serves hardly any job in time.
	maxSteadySlowness = 4.5
	// minEjectionTime and maxEjectionTime bound how long an ejected target gets no run.
	// After that it gets one run at a time until one takes less than maxSlowness times its
	// expected time. Targets often recover within seconds, and each probe run delays a task.
	minEjectionTime = 400 * time.Millisecond
	maxEjectionTime = 1600 * time.Millisecond
	// maxEjectedShare is the largest share of the targets that may be ejected at a time.
	maxEjectedShare = 0.5
)

// accepts reports whether the target may get a run: always while it is not ejected, and
// one at a time after its ejection time.
func (h *health) accepts(t *target, now time.Time) bool {
	return !h.ejected || !now.Before(h.ejectedUntil) && len(t.runs) == 0
}

// slowness returns the target's run time relative to other targets, 1 if nothing has been
// observed.
func (h *health) slowness() float64 { return math.Exp(h.logSlowness) }

// reference returns how long a run should take on a target of mean speed under the conditions
// that it has, a cold target or another rack, and whether that is known from siblings rather than
// from the estimate.
func (s *Scheduler) reference(r *run) (time.Duration, bool) {
	conditions := max(1, r.coldness) * s.rackFactor(r.far)
	if longest := r.job.siblingWork(r); longest > 0 {
		return time.Duration(conditions * float64(longest)), true
	}
	return time.Duration(conditions * float64(r.work)), false
}

// siblingWork returns the greatest work of a sibling on another target, 0 if none is done.
func (j *activeJob) siblingWork(r *run) time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks[r.step] {
		k := &j.tasks[r.step][i]
		if k.state == taskDone && k.doneOn != r.target {
			longest = max(longest, k.work)
		}
	}
	return longest
}

// usualSlowness returns the run time that is usual for a target, relative to one of mean speed: at
// least 1, and unknownSlowness while nothing is known.
func usualSlowness(speed forecast.Speed) float64 {
	known := speed.Confidence()
	return known*max(1, 1/speed.Factor()) + (1-known)*unknownSlowness
}

// slownessLimit returns the run time relative to a target of mean speed from which a target is
// ejected as slow.
func slownessLimit(speed forecast.Speed) float64 {
	return min(maxSlowness*usualSlowness(speed), maxSteadySlowness)
}

// observe updates a target's health with the end of a run.
func (s *Scheduler) observe(t *target, r *run, end wire.EndStatus, took time.Duration, now time.Time) {
	h := &t.health
	switch end {
	case wire.EndDone:
		t.backoff = 0
		if r.coldness > 1 || now.Before(t.coldUntil) {
			h.faultScore = max(0, h.faultScore-successCredit)
			s.restore(t) // it is slow as announced, and works
			return
		}
		reference, _ := s.reference(r)
		ratio := float64(max(took, minRunTime)) / float64(max(reference, minRunTime)+startOverhead)
		h.weight = min(h.weight+1, slownessWindow)
		h.logSlowness += (math.Log(ratio) - h.logSlowness) / h.weight
		if h.ejected && r.sent.Before(h.ejectedUntil) {
			return // started before the ejection ended; only a probe run shows recovery
		}
		limit := slownessLimit(t.speed)
		if ratio < limit {
			h.faultScore = max(0, h.faultScore-successCredit)
			s.restore(t)
			return
		}
		if h.weight >= minObservations && h.slowness() > limit || h.ejected {
			s.eject(t, "slow", now)
		}
	case wire.EndFailed:
		if !r.job.failedElsewhere(r) {
			s.addFault(t, "failures", now)
		}
	}
}

// failedElsewhere reports whether a task of the job has failed on another target, which
// makes a fault of the job more likely than one of the target.
func (j *activeJob) failedElsewhere(r *run) bool {
	for step := range j.tasks {
		for i := range j.tasks[step] {
			k := &j.tasks[step][i]
			if k.failures > 0 && k.avoid != nil && k.avoid != r.target {
				return true
			}
		}
	}
	return false
}

// addFault increments a target's fault score and ejects the target at the limit.
func (s *Scheduler) addFault(t *target, reason string, now time.Time) {
	t.health.faultScore++
	if t.health.faultScore >= ejectionScore || t.health.ejected {
		s.eject(t, reason, now)
	}
}

// eject stops runs on a target for a time that doubles with each ejection in a row, unless
// too many targets are ejected.
func (s *Scheduler) eject(t *target, reason string, now time.Time) {
	h := &t.health
	if !h.ejected {
		if float64(s.ejectedTargets()+1) > maxEjectedShare*float64(len(s.ordered)) {
			return
		}
		h.ejected, h.ejectionTime = true, 0
	} else if now.Before(h.ejectedUntil) {
		return // the run started before the current ejection
	}
	h.ejectionTime = min(max(2*h.ejectionTime, minEjectionTime), maxEjectionTime)
	h.ejectedUntil = now.Add(h.ejectionTime)
	s.reportTargetChange(t, "distrusted", reason+" "+h.ejectionTime.String())
}

// restore ends a target's ejection and clears its health.
func (s *Scheduler) restore(t *target) {
	if !t.health.ejected {
		return
	}
	t.health = health{}
	s.reportTargetChange(t, "trusted", "")
}

// ejectedTargets returns the number of usable targets that are ejected.
func (s *Scheduler) ejectedTargets() int {
	n := 0
	for _, t := range s.ordered {
		if t.health.ejected && t.usable() {
			n++
		}
	}
	return n
}

// checkOverdue finds runs that take much longer than expected. Each adds to its target's
// fault score once. On an ejected target it is stopped, so that its task starts again on
// another one.
func (s *Scheduler) checkOverdue(now time.Time) {
	for _, t := range s.ordered {
		if t.link == nil {
			continue
		}
		overdueRuns := t.sortedRuns(func(r *run) bool { return !r.stopping && !r.job.ended && s.overdue(r, now) })
		for _, r := range overdueRuns {
			s.handleOverdue(t, r, now)
		}
	}
}

func (s *Scheduler) overdue(r *run, now time.Time) bool {
	elapsed := now.Sub(r.sent)
	reference, fromSiblings := s.reference(r)
	usual := usualSlowness(r.target.speed) * float64(reference)
	if fromSiblings && r.coldness <= 1 {
		return elapsed > time.Duration(overdueFactor*usual)+overdueSlack
	}
	return elapsed > time.Duration(estimateOverdueFactor*usual)+estimateOverdueSlack
}

func (s *Scheduler) handleOverdue(t *target, r *run, now time.Time) {
	if !r.overdueCounted {
		r.overdueCounted = true
		s.addFault(t, "overdue runs", now)
	}
	straggler := s.worthRestart(r, now)
	if (t.health.ejected || straggler) && r.job.tasks[r.step][r.index].restarts == 0 {
		r.job.tasks[r.step][r.index].restarts++
		r.stopping, r.restarted = true, straggler
		s.send(t, &wire.RunStop{Runs: []workload.RunID{r.id}})
	}
}
