package placement

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// backlog summarizes the tasks that wait for free capacity.
type backlog struct {
	tasks   int
	key     float64 // of the first job in the queue
	minNeed workload.Resources
}

const (
	// backlogIntervalPerTarget, times the number of targets, is the shortest interval
	// between updates of a lasting backlog. It limits them to 3,000 messages a second:
	// at about 30 us each they take a tenth of a core, half of what the smallest entries
	// have.
	backlogIntervalPerTarget = time.Second / 3000
	// urgentIntervalShare is the share of that interval after which an update is sent if
	// the first key has decreased by more than urgentKeySeconds: the shortest jobs have
	// to start within about 50 ms.
	urgentIntervalShare = 0.2
	urgentKeySeconds    = 0.05
	// minKeyChangeSeconds is the smallest change of the key that is sent: about the run
	// time of the shortest tasks.
	minKeyChangeSeconds = 0.01
)

// sendBacklog sends the backlog to the agents if it has changed.
func (s *Scheduler) sendBacklog(now time.Time) {
	if s.sentBacklog.tasks > 0 && s.backlogSentRecently(now) && s.anyTaskWaits() {
		return // checked before the whole queue is summed up, since this runs on every message
	}
	current := s.backlog()
	if !s.backlogChanged(current) {
		return
	}
	s.sentBacklog, s.backlogSentAt = current, now
	m := current.message(now)
	for _, t := range s.ordered {
		if t.placeable() {
			s.send(t, m)
		}
	}
}

func (b backlog) message(now time.Time) *wire.Backlog {
	urgency := time.Duration((b.key - float64(now.UnixMicro())/1e6) * float64(time.Second))
	return &wire.Backlog{Tasks: uint32(b.tasks), Urgency: urgency, MinNeed: b.minNeed}
}

// backlogSentRecently reports whether it is too soon after the last update to send another.
func (s *Scheduler) backlogSentRecently(now time.Time) bool {
	interval := backlogIntervalPerTarget * time.Duration(len(s.ordered))
	if len(s.queue) > 0 && s.queue[0].key < s.sentBacklog.key-urgentKeySeconds {
		interval = time.Duration(urgentIntervalShare * float64(interval))
	}
	return now.Sub(s.backlogSentAt) < interval
}

// anyTaskWaits reports whether any ready task waits for free capacity.
func (s *Scheduler) anyTaskWaits() bool {
	return slices.ContainsFunc(s.queue, func(j *activeJob) bool {
		_, waits := j.smallestNeed()
		return waits
	})
}

// backlogChanged reports whether b differs enough from the last backlog sent.
func (s *Scheduler) backlogChanged(b backlog) bool {
	if b.tasks == 0 || s.sentBacklog.tasks == 0 {
		return b.tasks != s.sentBacklog.tasks
	}
	change := b.key - s.sentBacklog.key
	return change > minKeyChangeSeconds || change < -minKeyChangeSeconds || b.minNeed != s.sentBacklog.minNeed
}

func (s *Scheduler) backlog() backlog {
	var b backlog
	for _, j := range s.queue {
		need, waits := j.smallestNeed()
		if !waits {
			continue
		}
		if b.tasks == 0 {
			b.key, b.minNeed = j.key, need
		}
		if need.FitsIn(b.minNeed) {
			b.minNeed = need
		}
		b.tasks += j.waiting
	}
	return b
}

// smallestNeed returns the smallest need of the waiting tasks whose steps are ready.
func (j *activeJob) smallestNeed() (smallest workload.Resources, waits bool) {
	for step := range j.tasks {
		if j.waitingTasks(step) == 0 || !j.stepReady(step) {
			continue
		}
		need := j.request.Job.Steps[step].Need
		if !waits || need.FitsIn(smallest) {
			smallest, waits = need, true
		}
	}
	return smallest, waits
}

func (j *activeJob) waitingTasks(step int) int {
	n := 0
	for i := range j.tasks[step] {
		if j.tasks[step][i].state == taskWaiting {
			n++
		}
	}
	return n
}
