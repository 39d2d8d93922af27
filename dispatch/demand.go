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
	// while work waits.
	demandInterval = 20 * time.Millisecond
	// demandKeyStep is the change of the head's order key, in seconds, that is
	// worth a message: less changes the choice between entries by less than the
	// run time of a usual task.
	demandKeyStep = 0.5
	// demandSpread is how many targets are told of each waiting task. One would
	// wait for one target's next free slot; all would have every target offer a
	// slot for the same task.
	demandSpread = 3
)

// sendDemand tells agents without a grant for this entry what waits here.
func (s *Scheduler) sendDemand(now time.Time) {
	if s.queue.Waiting() == 0 && s.demanding == 0 {
		return
	}
	told := 0
	heads := make(map[string]wire.Demand, 1)
	for _, t := range s.ordered {
		if !t.usable() {
			continue
		}
		d := s.demandFor(t, heads)
		if d.Waiting > 0 && told >= demandSpread*int(d.Waiting) && t.demand.Waiting == 0 {
			continue
		}
		if d.Waiting > 0 {
			told++
		}
		if t.demandDue(d, now) {
			if t.unanswered {
				s.waste(1) // the demand before led to no grant
			}
			s.noteDemand(t, d, now)
			t.unanswered = d.Waiting > 0
			s.send(t, &d)
		}
	}
}

// demandDue reports whether a demand is worth a message.
func (t *target) demandDue(d wire.Demand, now time.Time) bool {
	last := t.demand
	if (d.Waiting == 0) != (last.Waiting == 0) {
		return true
	}
	if d.Waiting == 0 || now.Sub(t.demandAt) < demandInterval {
		return false
	}
	slots := max(1, t.announce.Slots)
	fewer := d.Waiting < last.Waiting && d.Waiting < slots
	more := d.Waiting > last.Waiting && last.Waiting < slots
	return fewer || more || d.Class != last.Class || math.Abs(float64(d.Key-last.Key)) > demandKeyStep
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
	if heads != nil {
		heads[t.groupsKey] = d
	}
	return d
}

// demandOnStart returns the demand that a start carries.
func (s *Scheduler) demandOnStart(t *target, now time.Time) *wire.Demand {
	d := s.demandFor(t, nil)
	s.noteDemand(t, d, now)
	t.unanswered = false
	return &d
}

// Idle reports whether a target has no task from here and believes that none
// waits here, for the pace of its link's heartbeats.
func (s *Scheduler) Idle(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	return t != nil && len(t.out) == 0 && len(t.acks) == 0 && t.demand.Waiting == 0
}
