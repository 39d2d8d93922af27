package placement

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// health is what results say about a target. Tasks of one step are alike, so a
// run is judged by how long its siblings took elsewhere, and by the estimate only
// where none has ended.
type health struct {
	logSlowness float64 // mean logarithm of run time over what siblings took
	weight      float64
	evidence    float64 // of a fault: failures and overdue runs, less successes
	distrusted  bool
	until       time.Time // no run before
	backoff     time.Duration
}

const (
	// slownessMemory is the number of runs after which an observation has lost
	// most of its weight: about as many as a target runs at once.
	slownessMemory = 10.0
	// maxEvidence is the evidence from which a target is distrusted. Single
	// failures are the tasks' own.
	maxEvidence = 2.0
	// minObservations is the number of runs from which a target's slowness counts.
	minObservations = 4.0
	// startSlack is what a run may take besides its work: messages and a busy
	// agent, which matter for the shortest tasks.
	startSlack = 10 * time.Millisecond
	// successRelief is what a run that was done in the usual time takes off the
	// evidence: a target that fails a third of its runs is still found.
	successRelief = 0.5
	// overdueFactor and overdueSlack bound how long a run may take compared with
	// its siblings: targets differ by a factor of 1.6 and siblings by some 30%.
	overdueFactor = 2.5
	overdueSlack  = 40 * time.Millisecond
	// blindFactor and blindSlack do so where no sibling has ended; estimates are
	// off by a factor of 1.5, and a few tasks run seven times as long.
	blindFactor = 10.0
	blindSlack  = 300 * time.Millisecond
	// slowLimit is the relative run time from which a target is distrusted.
	slowLimit = 2.5
	// minBackoff and maxBackoff bound how long a distrusted target gets no run;
	// then it gets one at a time until one is done in the usual time. Targets are
	// often well again after some seconds, and each trial costs a task a delay.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// maxDistrusted is the share of the targets that may be distrusted.
	maxDistrusted = 0.5
)

// accepts reports whether a target may get a run: always while it is trusted, one
// at a time after a pause.
func (h *health) accepts(t *target, now time.Time) bool {
	return !h.distrusted || !now.Before(h.until) && len(t.runs) == 0
}

// slowness is a target's run time relative to other targets', 1 where nothing is
// known.
func (h *health) slowness() float64 { return math.Exp(h.logSlowness) }

// reference is how long a run should take, and whether siblings say so.
func (r *run) reference() (time.Duration, bool) {
	if longest := r.job.siblingTime(r); longest > 0 {
		return longest, true
	}
	return r.expected, false
}

// siblingTime is the longest time that a sibling took on another target, 0 if
// none has ended.
func (j *activeJob) siblingTime(r *run) time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks[r.step] {
		k := &j.tasks[r.step][i]
		if k.state == taskDone && k.doneOn != r.target {
			longest = max(longest, k.took)
		}
	}
	return longest
}

// observe takes in the end of a run.
func (s *Scheduler) observe(t *target, r *run, end wire.EndStatus, took time.Duration, now time.Time) {
	h := &t.health
	switch end {
	case wire.EndDone:
		t.pause = 0
		reference, _ := r.reference()
		ratio := float64(max(took, minRun)) / float64(max(reference, minRun)+startSlack)
		h.weight = min(h.weight+1, slownessMemory)
		h.logSlowness += (math.Log(ratio) - h.logSlowness) / h.weight
		if h.distrusted && r.sent.Before(h.until) {
			return // from before; only a trial says whether the target is well again
		}
		if ratio < slowLimit {
			h.evidence = max(0, h.evidence-successRelief)
			s.restore(t)
			return
		}
		if h.weight >= minObservations && h.slowness() > slowLimit || h.distrusted {
			s.distrust(t, "slow", now)
		}
	case wire.EndFailed:
		if !r.job.failedElsewhere(r) {
			s.addEvidence(t, "failures", now)
		}
	}
}

// failedElsewhere reports whether a task of the job has failed on another target:
// the job's own fault is more likely then.
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

// addEvidence adds evidence of a fault.
func (s *Scheduler) addEvidence(t *target, reason string, now time.Time) {
	t.health.evidence++
	if t.health.evidence >= maxEvidence || t.health.distrusted {
		s.distrust(t, reason, now)
	}
}

// distrust gives a target no run for a while, unless too many are distrusted.
func (s *Scheduler) distrust(t *target, reason string, now time.Time) {
	h := &t.health
	if !h.distrusted {
		if float64(s.distrusted()+1) > maxDistrusted*float64(len(s.ordered)) {
			return
		}
		h.distrusted, h.backoff = true, 0
	} else if now.Before(h.until) {
		return // one of the runs from before
	}
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.until = now.Add(h.backoff)
	s.changed(t, "distrusted", reason+" "+h.backoff.String())
}

func (s *Scheduler) restore(t *target) {
	if !t.health.distrusted {
		return
	}
	t.health = health{}
	s.changed(t, "trusted", "")
}

func (s *Scheduler) distrusted() int {
	n := 0
	for _, t := range s.ordered {
		if t.health.distrusted && t.usable() {
			n++
		}
	}
	return n
}

// checkOverdue looks for runs that take much longer than they should. Each counts
// against its target once, and on a distrusted target it is stopped, so that its
// task starts elsewhere.
func (s *Scheduler) checkOverdue(now time.Time) {
	for _, t := range s.ordered {
		if t.link == nil {
			continue
		}
		late := t.sortedRuns(func(r *run) bool { return !r.stopping && !r.job.ended && r.overdue(now) })
		for _, r := range late {
			s.handleOverdue(t, r, now)
		}
	}
}

func (r *run) overdue(now time.Time) bool {
	reference, known := r.reference()
	if known {
		return now.Sub(r.sent) > time.Duration(overdueFactor*float64(reference))+overdueSlack
	}
	return now.Sub(r.sent) > time.Duration(blindFactor*float64(reference))+blindSlack
}

func (s *Scheduler) handleOverdue(t *target, r *run, now time.Time) {
	if !r.counted {
		r.counted = true
		s.addEvidence(t, "overdue runs", now)
	}
	if t.health.distrusted && r.job.tasks[r.step][r.index].restarts == 0 {
		r.job.tasks[r.step][r.index].restarts++
		r.stopping = true
		s.send(t, &wire.RunStop{Runs: []workload.RunID{r.id}})
	}
}
