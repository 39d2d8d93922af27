package dispatch

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// Rates of demand messages. A start carries the demand for nothing; a message
// of its own is sent only when the agent would otherwise act on a wrong picture.
const (
	// demandInterval is the least time between two demand messages to one agent
	// while work waits. With 20 ms the tail of short jobs was the same.
	demandInterval = 100 * time.Millisecond
	// demandKeyStepSeconds is how much more urgent the head has to become, in seconds of
	// order key, to be worth a message. Steps of 0.5 s sent half as many messages
	// again without a shorter tail; steps of 10 s made the tail longer.
	demandKeyStepSeconds = 3
	// targetsPerWaitingTask is how many targets are told of each waiting task. All of them
	// would have every target offer a slot for the same task.
	targetsPerWaitingTask = 1
	// urgentDemandsPerTick bounds the targets that are told of a more urgent head in one
	// TickInterval.
	urgentDemandsPerTick = 1
)

// sendDemand tells agents without a grant for this entry what waits here. It
// begins with another target each time, so that no target is favoured.
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
		s.countWasted(1) // the demand before led to no grant
	}
	s.recordDemand(t, d, now)
	t.demandUnanswered = d.Waiting > 0
	s.send(t, &d)
}

// demandDue reports whether a demand is worth a message. A head that has become
// less urgent is not: the agent's next grant brings a start that says so. One
// that has become more urgent is told to a few targets at a time.
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

// recordDemand records what a target was told, and how many targets believe that
// work waits here.
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

// demandFor describes the work that waits here for a target. Targets that can
// run the same groups share the answer in heads.
func (s *Scheduler) demandFor(t *target, cache map[string]wire.Demand) wire.Demand {
	if s.usesPushBinding() {
		return t.boundDemand()
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

// demandShare is the part of the waiting tasks that one of n targets is told of. With
// the whole number each, every target would take slots from other entries for
// the same tasks.
func demandShare(waiting uint32, n int) uint32 {
	if n <= 1 {
		return waiting
	}
	return uint32((uint64(waiting) + uint64(n) - 1) / uint64(n))
}

// targetsSharing is the number of targets that may run what a target may.
func (s *Scheduler) targetsSharing(t *target) int {
	most := 0
	for _, id := range t.groups {
		most = max(most, len(s.groupsByID[id].targets))
	}
	return most
}

// Idle reports whether a target has no task from here and believes that none
// waits here, for the pace of its link's heartbeats.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t != nil && len(t.attempts) == 0 && len(t.pendingAcks) == 0 && t.sentDemand.Waiting == 0
}
