package dispatch

import (
	"container/heap"
	"slices"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// TickInterval is the interval at which the owner must call Tick. Passed deadlines
// and lost targets are detected with up to this delay.
const TickInterval = 20 * time.Millisecond

// ackBatch is the number of pending acknowledgements from which they are sent
// without waiting for a start to carry them.
const ackBatch = 32

// Tick handles passed deadlines, lost targets, groups without targets and overruns,
// sends acknowledgements that are due and schedules waiting tasks.
func (s *Scheduler) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiry.compact(len(s.jobs))
	s.expireJobs(now)
	s.expireTargets(now)
	s.expireGroups(now)
	s.urgentBudget = urgentDemandsPerTick
	s.reclassify(now)
	s.flushAcks(now)
	s.schedule(now)
}

func (s *Scheduler) expireJobs(now time.Time) {
	for len(s.expiry) > 0 && !s.expiry[0].job.Deadline().After(now) {
		j := heap.Pop(&s.expiry).(*activeJob)
		if j.job.Expire(now) {
			s.finish(j, now)
		}
	}
}

// expireTargets abandons the attempts at agents that have been disconnected for
// targetLossTimeout, and removes targets that stay away for targetForgetTimeout.
func (s *Scheduler) expireTargets(now time.Time) {
	changed := false
	for _, t := range slices.Clone(s.sortedTargets) {
		if t.link != nil || now.Sub(t.lostAt) < targetLossTimeout {
			continue
		}
		s.abandonAttempts(t, now)
		if t.announced {
			t.announced = false
			changed = true
		}
		if now.Sub(t.lostAt) > targetForgetTimeout {
			s.removeTarget(t)
		}
	}
	if changed {
		s.rebuildGroups()
	}
}

// targetForgetTimeout is how long the incarnation of an agent is remembered after
// its link was lost, so that an older incarnation is not mistaken for a restarted
// agent.
const targetForgetTimeout = 10 * time.Minute

// expireGroups fails queued jobs whose selectors have matched no target for
// noTargetTimeout.
func (s *Scheduler) expireGroups(now time.Time) {
	for _, g := range s.groupsByID {
		if len(g.targets) > 0 {
			g.emptySince = time.Time{}
			continue
		}
		if g.emptySince.IsZero() {
			g.emptySince = now
		}
		if now.Sub(g.emptySince) >= noTargetTimeout {
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

const (
	// ackDelay is how long an acknowledgement waits for a start to carry it. Agents
	// retain unacknowledged outcomes meanwhile, up to a limit in bytes.
	ackDelay = time.Second
	// lowWatermarkInterval is how often an agent is sent the low watermark, so that
	// it can forget the identities of ended jobs long before it reaches its limit
	// on them.
	lowWatermarkInterval = 10 * time.Second
)

// flushAcks sends the acknowledgements that no start has carried in time, and every
// lowWatermarkInterval the low watermark if it has changed.
func (s *Scheduler) flushAcks(now time.Time) {
	watermark := uint64(0)
	for _, t := range s.sortedTargets {
		if len(t.pendingAcks) == 0 {
			t.acksSince = now
		}
		due := len(t.pendingAcks) >= ackBatch || now.Sub(t.acksSince) >= ackDelay
		if t.link == nil || !due && now.Sub(t.sentLowWatermarkAt) < lowWatermarkInterval {
			continue
		}
		if watermark == 0 {
			watermark = s.lowWatermark()
		}
		t.sentLowWatermarkAt = now
		if due || watermark != t.sentLowWatermark {
			t.sentLowWatermark = watermark
			s.send(t, &wire.Ack{Tasks: t.takeAcks(), BelowSeq: watermark})
		}
	}
}

// lowWatermark returns the number of the oldest job that is active or has a task in
// flight. No start or query of this scheduler names a lower one.
func (s *Scheduler) lowWatermark() uint64 {
	lowest := s.lastSeq + 1
	for seq := range s.jobs {
		lowest = min(lowest, seq)
	}
	for _, t := range s.sortedTargets {
		for key := range t.attempts {
			lowest = min(lowest, key.seq)
		}
	}
	return lowest
}

// expiryHeap orders jobs by deadline. Ended jobs stay in it until their deadline or
// until compact removes them.
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

// compactMinimum is the heap size below which compact does nothing, so that small
// heaps are not compacted repeatedly.
const compactMinimum = 1024

func (h *expiryHeap) push(j *activeJob) { heap.Push(h, j) }

// compact removes ended jobs once they are at least half of the heap, so that
// cancelled jobs do not occupy memory until their deadlines. Live is the number of
// jobs that have not ended.
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
