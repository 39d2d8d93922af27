package dispatch

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/queue"
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
	told := 0
	for _, t := range s.targets {
		if !t.usable() {
			continue
		}
		d := s.demandFor(t)
		if d.Waiting > 0 && told >= demandSpread*int(d.Waiting) && t.demand.Waiting == 0 {
			continue
		}
		if d.Waiting > 0 {
			told++
		}
		if !t.demandDue(d, now) {
			continue
		}
		s.conveyDemand(t, d, now)
		s.send(t, &d)
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

func (s *Scheduler) conveyDemand(t *target, d wire.Demand, now time.Time) {
	if t.unanswered {
		s.waste(1) // the demand before led to no grant
	}
	t.unanswered = d.Waiting > 0
	t.demand = d
	t.demandAt = now
}

// demandFor describes the work that waits here for a target.
func (s *Scheduler) demandFor(t *target) wire.Demand {
	groups := s.groupsOf(t)
	head, ok := s.queue.HeadKey(groups, s.allow)
	if !ok {
		return wire.Demand{}
	}
	return wire.Demand{
		Waiting: uint32(min(head.Waiting, math.MaxUint32)),
		Key:     head.Key,
		Class:   head.Class,
	}
}

func (s *Scheduler) groupsOf(t *target) []queue.Group {
	var groups []queue.Group
	for _, g := range s.byGroup {
		if g.has(t) {
			groups = append(groups, g.id)
		}
	}
	return groups
}

func (g *group) has(t *target) bool {
	for _, other := range g.targets {
		if other == t {
			return true
		}
	}
	return false
}

// demandOnStart returns the demand that a start carries.
func (s *Scheduler) demandOnStart(t *target, now time.Time) *wire.Demand {
	d := s.demandFor(t)
	t.unanswered = false
	t.demand = d
	t.demandAt = now
	return &d
}
