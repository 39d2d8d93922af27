package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// targetLossTimeout is how long the scheduler waits for a lost agent to reconnect
// and report the outcome of its starts. It covers the peer timeout, a new
// connection and a restart of the network path. After that the jobs fail with an
// unknown outcome, so that callers do not wait until the deadline.
const targetLossTimeout = 8 * time.Second

// LinkUp records a new link to an agent. An agent that reconnects with the same
// incarnation is queried for the outcome of every in-flight task. A newer
// incarnation cannot report the outcomes of the starts of an older one, so their
// jobs end with an unknown outcome. LinkUp returns false for an incarnation older
// than the newest one seen.
func (s *Scheduler) LinkUp(name string, incarnation wire.Incarnation, link Sender, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		t = s.addTarget(name)
	}
	if incarnation < t.incarnation {
		return false
	}
	if incarnation > t.incarnation {
		s.abandonAttempts(t, now)
		t.announced = false
	}
	s.dropGrants(t)
	t.incarnation = incarnation
	t.link = link
	t.configStale = false
	t.lostAt = time.Time{}
	s.recordDemand(t, wire.Demand{}, now)
	t.demandUnanswered = false
	if len(t.attempts) > 0 {
		s.send(t, &wire.Query{Tasks: t.outstanding(), Agent: t.incarnation})
	}
	return true
}

// LinkDown records that the link to an agent has closed. It ignores a link that was
// replaced by a newer one.
func (s *Scheduler) LinkDown(name string, link Sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOfLink(name, link)
	if t == nil {
		return
	}
	s.dropGrants(t)
	s.recordDemand(t, wire.Demand{}, now)
	t.link = nil
	t.lostAt = now
	t.pendingAcks = nil
	s.schedule(now)
}

// targetOfLink returns the target that a link belongs to, or nil if the link was
// replaced by a newer one or the target was removed.
func (s *Scheduler) targetOfLink(name string, link Sender) *target {
	t := s.targets[name]
	if t == nil || t.link != link {
		return nil
	}
	return t
}

func (s *Scheduler) dropGrants(t *target) {
	for _, g := range t.grants {
		s.totalGrantedSlots -= int(g.left)
		s.recorder.Add(metrics.GrantsUnused, int64(g.left))
	}
	t.grants = nil
}

// abandonAttempts ends every job with a task in flight on the target: whether those
// tasks ran can no longer be determined.
func (s *Scheduler) abandonAttempts(t *target, now time.Time) {
	for key, a := range t.attempts {
		s.removeAttempt(t, key, a)
		if a.job.job.MarkLost(int(key.index)) {
			s.finish(a.job, now)
			continue
		}
		s.updateItem(a.job)
	}
}

// removeAttempt removes an attempt from those in flight and reports to the quotas
// that its slot is free.
func (s *Scheduler) removeAttempt(t *target, key taskKey, a *attempt) {
	delete(t.attempts, key)
	a.job.assignedTo[key.index] = nil
	s.inFlight--
	if s.opts.Quotas != nil {
		s.opts.Quotas.TaskEnded(a.job.job.Spec().Workspace)
	}
}

// HandleOutcome processes a task outcome from an agent. Outcomes that arrive over a
// replaced link are accepted too, but their grants are ignored.
func (s *Scheduler) HandleOutcome(name string, link Sender, o *wire.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	if t.link == link && o.Grant != nil {
		s.addGrant(t, o.Grant)
	}
	t.reportedLoad = o.Load
	if o.Code == result.TargetTimeout {
		// The time limit of a start ends at the deadline of its job. Expiring jobs
		// first reports the passed deadline; otherwise the job would end with a
		// target timeout before the next tick notices the deadline.
		s.expireJobs(now)
	}
	s.applyOutcome(t, o, now)
	s.schedule(now)
}

func (s *Scheduler) applyOutcome(t *target, o *wire.Outcome, now time.Time) {
	if o.State.Final() && o.State != wire.StateRefused && o.State != wire.StateNeverSeen {
		t.pendingAcks = append(t.pendingAcks, o.Task)
	}
	key := taskKey{o.Task.Job.Seq, o.Task.Index}
	a := t.attempts[key]
	if a == nil || a.id != o.Task {
		s.recorder.Add(metrics.OutcomesIgnored, 1)
		return
	}
	if !o.State.Final() {
		return
	}
	s.removeAttempt(t, key, a)
	s.recorder.Add(metrics.TaskOutcomes, 1, metrics.TagState, o.State.String())
	switch o.State {
	case wire.StateRefused:
		s.handleRefusal(t, a, o, now)
		s.adjustUsage(a.job, 1, int64(len(a.job.job.Spec().Tasks[key.index].Payload)))
	case wire.StateNeverSeen:
		s.adjustUsage(a.job, 1, int64(len(a.job.job.Spec().Tasks[key.index].Payload)))
	case wire.StateDone, wire.StateFailed, wire.StateUnknown:
		t.backoff = 0
		s.observeOutcome(t, a, o, now)
	}
	s.correctCharge(a, o)
	if a.job.job.Apply(*o) {
		s.finish(a.job, now)
		return
	}
	s.updateItem(a.job)
	if s.usesPushBinding() && a.job.job.IsWaiting(int(key.index)) {
		s.assign(a.job, int(key.index))
	}
}

// correctCharge replaces the slot time charged at the start by the actual run time,
// and updates the remaining work and the longest run time of a job whose task is
// done.
func (s *Scheduler) correctCharge(a *attempt, o *wire.Outcome) {
	s.queue.Charge(a.job.job.Spec().Workspace, o.RunTime-a.expected)
	if o.State != wire.StateDone {
		return
	}
	a.job.remainingWork -= a.job.expected[a.id.Index]
	a.job.longestRun = max(a.job.longestRun, o.RunTime)
}

// handleRefusal updates the state of a target that refused a start.
func (s *Scheduler) handleRefusal(t *target, a *attempt, o *wire.Outcome, now time.Time) {
	s.recorder.Add(metrics.StartRefusals, 1, metrics.TagCode, o.Code.String())
	s.countWasted(2) // the start and its refusal
	switch o.Code {
	case result.GrantExpired, result.SlotsFull:
		dropped := t.dropGrantsUpTo(a.grant)
		s.totalGrantedSlots -= dropped
		s.recorder.Add(metrics.GrantsUnused, int64(dropped))
	case result.Draining:
		t.announce.Draining = true
		s.dropGrants(t)
	case result.OldRevision:
		// A configuration newer than the refused start may be in force already; no
		// later change would then clear configStale. The agent keeps its other
		// grants.
		t.configStale = a.revision >= s.revisionFor(t)
	case result.TargetRefused:
		t.startBackoff(now)
	}
}

// HandleGrant adds a grant from an agent.
func (s *Scheduler) HandleGrant(name string, link Sender, g *wire.Grant, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOfLink(name, link)
	if t == nil {
		return
	}
	t.reportedLoad = g.Load
	s.addGrant(t, g)
	s.schedule(now)
}

func (s *Scheduler) addGrant(t *target, g *wire.Grant) {
	if g.ID.Agent != t.incarnation || g.Slots == 0 {
		return
	}
	t.demandUnanswered = false
	s.totalGrantedSlots += int(g.Slots)
	t.grants = append(t.grants, grant{id: g.ID, left: g.Slots, shortOnly: g.ShortOnly})
}

// HandleRevoke returns unused slots of revoked grants to the agent.
func (s *Scheduler) HandleRevoke(name string, link Sender, r *wire.Revoke, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOfLink(name, link)
	if t == nil {
		return
	}
	s.countWasted(2) // the revocation and its reply
	reply := &wire.Return{Grants: make([]wire.GrantSlots, 0, len(r.Grants))}
	for _, g := range r.Grants {
		left, used := t.returnSlots(g.ID, g.Slots)
		if !used {
			s.countWasted(1) // the grant led to no start
		}
		s.totalGrantedSlots -= int(left)
		s.recorder.Add(metrics.GrantsUnused, int64(left))
		reply.Grants = append(reply.Grants, wire.GrantSlots{ID: g.ID, Slots: left})
	}
	s.send(t, reply)
}

// HandleAnnounce processes an agent's announcement of its target and assigns the
// target to groups.
func (s *Scheduler) HandleAnnounce(name string, link Sender, a *wire.Announce, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOfLink(name, link)
	if t == nil {
		return
	}
	t.announce = *a
	t.announced = true
	s.applyConfig(t)
	s.rebuildGroups()
	s.schedule(now)
}

// HandleLeave stops new starts on a target that is leaving. Its in-flight tasks
// continue.
func (s *Scheduler) HandleLeave(name string, link Sender, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targetOfLink(name, link)
	if t == nil {
		return
	}
	t.announce.Draining = true
	s.dropGrants(t)
	s.schedule(now)
}
