package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// TickInterval is how often the owner calls Tick. Deadlines and lost targets are
// noticed with this delay.
const TickInterval = 20 * time.Millisecond

// ackBatch is the number of acknowledgements that are sent without waiting for a
// start to carry them.
const ackBatch = 32

// Tick does what is due: deadlines, lost targets, acknowledgements, demand.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry.compact(len(s.jobs))
	s.expireJobs(now)
	s.expireTargets(now)
	s.expireGroups(now)
	s.reclassify(now)
	s.flushAcks(now)
	s.pump(now)
}

func (s *Scheduler) expireJobs(now time.Time) {
	for len(s.expiry) > 0 && !s.expiry[0].job.Deadline().After(now) {
		j := heap.Pop(&s.expiry).(*activeJob)
		if j.job.Expire(now) {
			s.finish(j, now)
		}
	}
}

// expireTargets gives up on agents that stay away, and forgets them.
func (s *Scheduler) expireTargets(now time.Time) {
	changed := false
	for _, t := range slices.Clone(s.ordered) {
		if t.link != nil || now.Sub(t.lostAt) < lossLimit {
			continue
		}
		s.lose(t, now)
		if t.announced {
			t.announced = false
			changed = true
		}
		if now.Sub(t.lostAt) > forgetLimit {
			s.removeTarget(t)
		}
	}
	if changed {
		s.regroup()
	}
}

// forgetLimit is how long an agent's incarnation is remembered after its link
// was lost, so that an older one is not taken for a new start.
const forgetLimit = 10 * time.Minute

// expireGroups ends queued jobs whose selectors have matched no target for too
// long.
func (s *Scheduler) expireGroups(now time.Time) {
	for _, g := range s.byGroup {
		if len(g.targets) > 0 {
			g.emptySince = time.Time{}
			continue
		}
		if g.emptySince.IsZero() {
			g.emptySince = now
		}
		if now.Sub(g.emptySince) >= noTargetLimit {
			s.failGroup(g, now)
		}
	}
}

func (s *Scheduler) failGroup(g *group, now time.Time) {
	for _, j := range s.jobsInOrder() {
		if j.group == g && j.job.Waiting() > 0 && j.job.Fail(result.New(result.NoMatchingTarget, "")) {
			s.finish(j, now)
		}
	}
}

// ackDelay is how long an acknowledgement waits for a start to carry it.
const ackDelay = 200 * time.Millisecond

func (s *Scheduler) flushAcks(now time.Time) {
	for _, t := range s.ordered {
		if len(t.acks) == 0 {
			t.acksSince = now
			continue
		}
		if len(t.acks) >= ackBatch || now.Sub(t.acksSince) >= ackDelay {
			s.send(t, &wire.Ack{Tasks: t.takeAcks()})
		}
	}
}

// expiryHeap orders jobs by deadline. Jobs that ended stay until their deadline
// or until they are the majority.
type expiryHeap []*activeJob

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	return h[i].job.Deadline().Before(h[j].job.Deadline())
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*activeJob)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// compactMinimum keeps small heaps from being compacted over and over.
const compactMinimum = 1024

func (h *expiryHeap) push(j *activeJob) { heap.Push(h, j) }

// compact drops ended jobs once they are the majority, so that a wave of
// cancellations does not keep memory until the deadlines.
func (h *expiryHeap) compact(live int) {
	if len(*h) < compactMinimum || len(*h) < 2*live {
		return
	}
	kept := make(expiryHeap, 0, live)
	for _, j := range *h {
		if !j.job.Ended() {
			kept = append(kept, j)
		}
	}
	*h = kept
	heap.Init(h)
}
