package dispatch

import (
	"time"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/outlier"
	"github.com/catkinline/catkinline/wire"
)

// TargetStatus describes one target as the scheduler sees it.
type TargetStatus struct {
	Agent        string
	Announce     wire.Announce
	Labels       label.Set // after the overrides of the configuration
	Linked       bool
	InFlight     int  // tasks from this entry without a final outcome
	GrantedSlots int  // unused slots of the grants to this entry
	Drained      bool // drained by the configuration, or leaving
	Health       outlier.State
}

// Status is a snapshot of a scheduler.
type Status struct {
	Jobs     int   // accepted and not answered
	Waiting  int   // tasks not started
	Bytes    int64 // payloads of waiting tasks
	InFlight int   // tasks without a final outcome
	Targets  []TargetStatus
}

// AddWaiting adds the number of waiting tasks of each workspace to the counts in
// byWorkspace.
func (s *Scheduler) AddWaiting(byWorkspace map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.AddWaiting(byWorkspace)
}

// Status returns a snapshot of the scheduler. It leaves out targets that have not
// announced themselves.
func (s *Scheduler) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Jobs:     len(s.jobs),
		Waiting:  s.queue.Waiting(),
		Bytes:    s.admission.Usage().Bytes,
		InFlight: s.inFlight,
	}
	for _, t := range s.sortedTargets {
		if !t.announced {
			continue
		}
		status.Targets = append(status.Targets, TargetStatus{
			Agent:        t.name,
			Announce:     t.announce,
			Labels:       t.labels,
			Linked:       t.link != nil,
			InFlight:     len(t.attempts),
			GrantedSlots: t.grantedSlots(wire.ClassShort),
			Drained:      t.drained || t.announce.Draining,
			Health:       s.outliers.State(t.name, now),
		})
	}
	return status
}
