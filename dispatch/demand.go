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
	// demandKeyStep is how much more urgent the head has to become, in seconds of
	// order key, to be worth a message. Steps of 0.5 s sent half as many messages
	// again without a shorter tail; steps of 10 s made the tail longer.
	demandKeyStep = 3
	// demandSpread is how many targets are told of each waiting task. All of them
	// would have every target offer a slot for the same task.
	demandSpread = 1
	// urgentPerTick bounds the targets that are told of a more urgent head in one
	// TickInterval.
	urgentPerTick = 1
)

// sendDemand tells agents without a grant for this entry what waits here. It
// begins with another target each time, so that no target is favoured.
func (s *Scheduler) sendDemand(now time.Time) {
	if s.queue.Waiting() == 0 && s.demanding == 0 || len(s.ordered) == 0 {
		return
	}
	s.demandTurn++
	heads := make(map[string]wire.Demand, 1)
	told := make(map[string]int, 1)
	for i := range s.ordered {
		if s.queue.Waiting() == 0 && s.demanding == 0 {
			break
		}
		t := s.ordered[(s.demandTurn+i)%len(s.ordered)]
		if !t.usable() {
			continue
		}
		d := s.demandFor(t, heads)
		if d.Waiting > 0 && t.demand.Waiting == 0 && told[t.groupsKey] >= demandSpread*int(d.Waiting) {
			continue
		}
		if d.Waiting > 0 {
			told[t.groupsKey]++
		}
		if s.demandDue(t, d, now) {
			s.tellDemand(t, d, now)
		}
	}
}

func (s *Scheduler) tellDemand(t *target, d wire.Demand, now time.Time) {
	if t.unanswered {
		s.waste(1) // the demand before led to no grant
	}
	s.noteDemand(t, d, now)
	t.unanswered = d.Waiting > 0
	s.send(t, &d)
}

// demandDue reports whether a demand is worth a message. A head that has become
// less urgent is not: the agent's next grant brings a start that says so. One
// that has become more urgent is told to a few targets at a time.
func (s *Scheduler) demandDue(t *target, d wire.Demand, now time.Time) bool {
	last := t.demand
	if (d.Waiting == 0) != (last.Waiting == 0) {
		return true
	}
	if d.Waiting == 0 || now.Sub(t.demandAt) < demandInterval {
		return false
	}
	if d.Waiting >= 2*last.Waiting && last.Waiting < max(1, t.announce.Slots) {
		return true
	}
	urgent := d.Class < last.Class || float64(last.Key-d.Key) > demandKeyStep
	if !urgent || s.urgentLeft == 0 {
		return false
	}
	s.urgentLeft--
	return true
}

// noteDemand records what a target was told, and how many targets believe that
// work waits here.
func (s *Scheduler) noteDemand(t *target, d wire.Demand, now time.Time) {
	if t.demand.Waiting > 0 {
		s.demanding--
	}
	if d.Waiting > 0 {
		s.demanding++
	}
	t.demand = d
	t.demandAt = now
}

// demandFor describes the work that waits here for a target. Targets that can
// run the same groups share the answer in heads.
func (s *Scheduler) demandFor(t *target, heads map[string]wire.Demand) wire.Demand {
	if s.pushes() {
		return t.boundDemand()
	}
	if d, ok := heads[t.groupsKey]; ok {
		return d
	}
	var d wire.Demand
	if head, ok := s.queue.HeadKey(t.groups, s.allow); ok {
		d = wire.Demand{Waiting: uint32(min(head.Waiting, math.MaxUint32)), Key: head.Key, Class: head.Class}
	}
	d.Waiting = share(d.Waiting, s.sharing(t))
	if heads != nil {
		heads[t.groupsKey] = d
	}
	return d
}

// share is the part of the waiting tasks that one of n targets is told of. With
// the whole number each, every target would take slots from other entries for
// the same tasks.
func share(waiting uint32, n int) uint32 {
	if n <= 1 {
		return waiting
	}
	return uint32((uint64(waiting) + uint64(n) - 1) / uint64(n))
}

// sharing is the number of targets that may run what a target may.
func (s *Scheduler) sharing(t *target) int {
	most := 0
	for _, id := range t.groups {
		most = max(most, len(s.byGroup[id].targets))
	}
	return most
}

// Idle reports whether a target has no task from here and believes that none
// waits here, for the pace of its link's heartbeats.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t != nil && len(t.out) == 0 && len(t.acks) == 0 && t.demand.Waiting == 0
}
