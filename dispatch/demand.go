package dispatch

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// Limits on demand messages. A start carries the demand at no extra cost; a
// separate message is sent only if the agent would otherwise allocate slots by
// outdated demand.
const (
	// demandInterval is the minimum time between two demand messages to one agent
	// while work waits. An interval of 20 ms gave the same tail latency of short
	// jobs.
	demandInterval = 100 * time.Millisecond
	// demandKeyStepSeconds is how much lower the order key of the head must be than
	// the one last sent to cause a message. Steps of 0.5 s sent half as many
	// messages again without a shorter tail latency; steps of 10 s made it longer.
	demandKeyStepSeconds = 3
	// targetsPerWaitingTask is the number of targets that are informed of each
	// waiting task. If all were, each would offer a slot for the same task.
	targetsPerWaitingTask = 1
	// urgentDemandsPerTick is the number of targets that are informed of a more
	// urgent head within one TickInterval.
	urgentDemandsPerTick = 1
)

// sendDemand informs agents of the work that waits at this entry. It starts at a
// different target each time, so that no target is preferred.
func (s *Scheduler) sendDemand(now time.Time) {
	if s.queue.Waiting() == 0 && s.targetsWithDemand == 0 || len(s.sortedTargets) == 0 {
		return
	}
	s.demandOffset++
	cache := make(map[string]wire.Demand, 1)
	informed := make(map[string]int, 1)
	for i := range s.sortedTargets {
		if s.queue.Waiting() == 0 && s.targetsWithDemand == 0 {
			break
		}
		t := s.sortedTargets[(s.demandOffset+i)%len(s.sortedTargets)]
		if !t.usable() {
			continue
		}
		d := s.demandFor(t, cache)
		if d.Waiting > 0 && t.sentDemand.Waiting == 0 && informed[t.groupSetKey] >= targetsPerWaitingTask*int(d.Waiting) {
			continue
		}
		if d.Waiting > 0 {
			informed[t.groupSetKey]++
		}
		if s.demandDue(t, d, now) {
			s.sendDemandTo(t, d, now)
		}
	}
}

func (s *Scheduler) sendDemandTo(t *target, d wire.Demand, now time.Time) {
	if t.demandUnanswered {
		s.countWasted(1) // the previous demand led to no grant
	}
	s.recordDemand(t, d, now)
	t.demandUnanswered = d.Waiting > 0
	s.send(t, &d)
}

// demandDue reports whether a demand requires a message. A less urgent head does
// not: the agent learns of it from the start that uses its next grant. A more
// urgent head is sent to a few targets at a time.
func (s *Scheduler) demandDue(t *target, d wire.Demand, now time.Time) bool {
	last := t.sentDemand
	if (d.Waiting == 0) != (last.Waiting == 0) {
		return true
	}
	if d.Waiting == 0 || now.Sub(t.sentDemandAt) < demandInterval {
		return false
	}
	if d.Waiting >= 2*last.Waiting && last.Waiting < max(1, t.announce.Slots) {
		return true
	}
	urgent := d.Class < last.Class || float64(last.Key-d.Key) > demandKeyStepSeconds
	if !urgent || s.urgentBudget == 0 {
		return false
	}
	s.urgentBudget--
	return true
}

// recordDemand records the demand that was sent to a target and counts the targets
// whose demand is not empty.
func (s *Scheduler) recordDemand(t *target, d wire.Demand, now time.Time) {
	if t.sentDemand.Waiting > 0 {
		s.targetsWithDemand--
	}
	if d.Waiting > 0 {
		s.targetsWithDemand++
	}
	t.sentDemand = d
	t.sentDemandAt = now
}

// demandFor returns the demand to send to a target. Targets with the same groups
// share the result through cache, which may be nil.
func (s *Scheduler) demandFor(t *target, cache map[string]wire.Demand) wire.Demand {
	if s.usesPushBinding() {
		return t.assignedDemand()
	}
	if d, ok := cache[t.groupSetKey]; ok {
		return d
	}
	var d wire.Demand
	if head, ok := s.queue.Peek(t.groups, s.allow); ok {
		d = wire.Demand{Waiting: uint32(min(head.Waiting, math.MaxUint32)), Key: head.Key, Class: head.Class}
	}
	d.Waiting = demandShare(d.Waiting, s.targetsSharing(t))
	if cache != nil {
		cache[t.groupSetKey] = d
	}
	return d
}

// demandShare returns the number of waiting tasks to report to one of n targets. If
// each were told the full number, they would all take slots from other entries for
// the same tasks.
func demandShare(waiting uint32, n int) uint32 {
	if n <= 1 {
		return waiting
	}
	return uint32((uint64(waiting) + uint64(n) - 1) / uint64(n))
}

// targetsSharing returns the size of the largest group that the target belongs to.
func (s *Scheduler) targetsSharing(t *target) int {
	most := 0
	for _, id := range t.groups {
		most = max(most, len(s.groupsByID[id].targets))
	}
	return most
}

// Idle reports whether a target has no task from this entry, no pending
// acknowledgement and an empty last demand. The heartbeat interval of its link
// depends on this.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t != nil && len(t.attempts) == 0 && len(t.pendingAcks) == 0 && t.sentDemand.Waiting == 0
}
