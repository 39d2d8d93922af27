package placement

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// backlog is what waits for room.
type backlog struct {
	tasks int
	key   float64 // of the first job
	least workload.Resources
}

const (
	// backlogPerTarget is what each target adds to the shortest time between two
	// messages about a backlog that goes on: 3,000 messages a second, some 30 us
	// each, are a tenth of a core, half of what the smallest entries have.
	backlogPerTarget = time.Second / 3000
	// urgentShare is the part of that time after which agents are told of work that
	// has become more urgent by urgentChange, in seconds: the shortest jobs have to
	// start within some 50 ms.
	urgentShare  = 0.2
	urgentChange = 0.05
	// backlogChange is the change of the key, in seconds, that agents are told of:
	// about the shortest task.
	backlogChange = 0.01
)

// tellBacklog tells the agents what waits here when it has changed.
func (s *Scheduler) tellBacklog(now time.Time) {
	if s.told.tasks > 0 && s.tooSoon(now) && s.anyWaits() {
		return // before the sum over the whole queue, since every message gets here
	}
	current := s.backlog()
	if !s.worthTelling(current) {
		return
	}
	s.told, s.toldAt = current, now
	m := current.message(now)
	for _, t := range s.ordered {
		if t.usable() {
			s.send(t, m)
		}
	}
}

func (b backlog) message(now time.Time) *wire.Backlog {
	urgency := time.Duration((b.key - float64(now.UnixMicro())/1e6) * float64(time.Second))
	return &wire.Backlog{Tasks: uint32(b.tasks), Urgency: urgency, MinNeed: b.least}
}

// tooSoon reports whether the agents were told of the backlog a moment ago.
func (s *Scheduler) tooSoon(now time.Time) bool {
	pause := backlogPerTarget * time.Duration(len(s.ordered))
	if len(s.queue) > 0 && s.queue[0].key < s.told.key-urgentChange {
		pause = time.Duration(urgentShare * float64(pause))
	}
	return now.Sub(s.toldAt) < pause
}

// anyWaits reports whether any task waits for room.
func (s *Scheduler) anyWaits() bool {
	return slices.ContainsFunc(s.queue, func(j *activeJob) bool {
		_, waits := j.leastNeed()
		return waits
	})
}

func (s *Scheduler) worthTelling(b backlog) bool {
	if b.tasks == 0 || s.told.tasks == 0 {
		return b.tasks != s.told.tasks
	}
	change := b.key - s.told.key
	return change > backlogChange || change < -backlogChange || b.least != s.told.least
}

func (s *Scheduler) backlog() backlog {
	var b backlog
	for _, j := range s.queue {
		need, waits := j.leastNeed()
		if !waits {
			continue
		}
		if b.tasks == 0 {
			b.key, b.least = j.key, need
		}
		if need.FitsIn(b.least) {
			b.least = need
		}
		b.tasks += j.waiting
	}
	return b
}

// leastNeed returns the smallest need of the tasks that may start.
func (j *activeJob) leastNeed() (least workload.Resources, waits bool) {
	for step := range j.tasks {
		if j.waitingIn(step) == 0 || !j.open(step) {
			continue
		}
		need := j.request.Job.Steps[step].Need
		if !waits || need.FitsIn(least) {
			least, waits = need, true
		}
	}
	return least, waits
}

func (j *activeJob) waitingIn(step int) int {
	n := 0
	for i := range j.tasks[step] {
		if j.tasks[step][i].state == taskWaiting {
			n++
		}
	}
	return n
}
