package queue

import (
	"math"
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// Allow reports whether a task of a workspace and class may start now. It must be
// fast and must not change the queue. A nil Allow allows every task.
type Allow func(workspace string, class wire.Class) bool

func (a Allow) permits(b *bucket) bool { return a == nil || a(b.workspace.name, b.class) }

// Head describes the task that a target would be given next.
type Head struct {
	Key     wire.OrderKey
	Class   wire.Class
	Waiting int // number of allowed waiting tasks in the groups
}

// Select returns the job whose next task should start on a target that can run the
// given groups. Among the workspaces that are at most one fairness window ahead of
// the least served workspace with allowed work, the job with the lowest order key
// is selected.
//
// While two workspaces both have allowed work for the same targets, their slot time
// per unit of weight differs by at most one window saved up before, one window of
// lead, and one task. For short work of one against long work of the other, the
// bound is shortLeadWindows windows higher.
func (q *Queue) Select(groups []Group, allow Allow) (wire.JobID, bool) {
	limit, ok := q.virtualTimeLimit(groups, allow)
	if !ok {
		return wire.JobID{}, false
	}
	least := limit - q.options.FairnessWindow.Seconds()
	q.boundLag(least)
	q.minVirtualTime = max(q.minVirtualTime, least)
	b := q.choose(groups, allow, limit)
	return b.jobs[0].item.Job, true
}

// Peek describes the job that Select would return, without changing any state. Its
// cost grows with the number of workspaces only if allow is set.
func (q *Queue) Peek(groups []Group, allow Allow) (Head, bool) {
	limit, ok := q.virtualTimeLimit(groups, allow)
	if !ok {
		return Head{}, false
	}
	b := q.choose(groups, allow, limit)
	return Head{Key: b.rank.key, Class: b.class, Waiting: q.waitingIn(groups, allow)}, true
}

// virtualTimeLimit returns the highest virtual time at which a workspace may be
// selected. It returns false if no work is allowed.
func (q *Queue) virtualTimeLimit(groups []Group, allow Allow) (float64, bool) {
	for _, w := range q.active {
		if w.hasAllowedWork(groups, allow) {
			return w.virtualTime + q.options.FairnessWindow.Seconds(), true
		}
	}
	return 0, false
}

func (w *workspace) hasAllowedWork(groups []Group, allow Allow) bool {
	for _, b := range w.buckets {
		if slices.Contains(groups, b.group.id) && allow.permits(b) {
			return true
		}
	}
	return false
}

// boundLag limits how far a workspace falls behind the least served workspace with
// allowed work, whose virtual time is least. A workspace that its quota or
// requirements keep from running would otherwise save up its share without bound
// and later block every other workspace. A workspace more than a window behind is
// raised to half a window behind; the remaining half window keeps the work per
// selection small.
func (q *Queue) boundLag(least float64) {
	window := q.options.FairnessWindow.Seconds()
	raised := 0
	for _, w := range q.active {
		if w.virtualTime >= least-window {
			break
		}
		raised++
	}
	if raised == 0 {
		return
	}
	for _, w := range q.active[:raised] {
		w.virtualTime = least - window/2
	}
	slices.SortFunc(q.active, (*workspace).compare)
}

// shortLeadWindows is the number of windows beyond the limit that a workspace may
// be ahead while its short work still overtakes long work of others. Without this
// allowance, short jobs of the busier of two workspaces wait behind long jobs of the
// other until the backlog of a load peak has been processed. Without a limit, a
// workspace with only short work could take any share.
const shortLeadWindows = 4

// choose returns the best bucket within the limit. If its class is long, a short
// bucket with a lower rank takes precedence, as long as its workspace is at most
// shortLeadWindows beyond the limit.
func (q *Queue) choose(groups []Group, allow Allow, limit float64) *bucket {
	b := q.best(groups, allow, limit)
	if b.class == wire.ClassShort {
		return b
	}
	short := func(workspace string, class wire.Class) bool {
		return class == wire.ClassShort && (allow == nil || allow(workspace, class))
	}
	if s := q.best(groups, short, limit+shortLeadWindows*q.options.FairnessWindow.Seconds()); s != nil && s.rank.compare(b.rank) < 0 {
		return s
	}
	return b
}

// best returns the allowed bucket with the lowest rank among the workspaces within
// the limit. At least one exists: the workspace that determined the limit is within
// it.
func (q *Queue) best(groups []Group, allow Allow, limit float64) *bucket {
	if q.options.Order == FIFO {
		limit = math.Inf(1)
	}
	var best *bucket
	for _, id := range groups {
		g, ok := q.groups[id]
		if !ok {
			continue
		}
		for _, b := range g.buckets {
			if best != nil && best.rank.compare(b.rank) <= 0 {
				break
			}
			if b.workspace.virtualTime <= limit && allow.permits(b) {
				best = b
				break
			}
		}
	}
	return best
}

func (q *Queue) waitingIn(groups []Group, allow Allow) int {
	n := 0
	for _, id := range groups {
		g, ok := q.groups[id]
		if !ok {
			continue
		}
		if allow == nil {
			n += g.waiting
			continue
		}
		for _, b := range g.buckets {
			if allow.permits(b) {
				n += b.waiting
			}
		}
	}
	return n
}

// WorkAhead returns the expected work of the waiting jobs that would run before an
// item that is not in the queue yet. Groups are those that compete for the item's
// targets. The result is the work with a lower key, but not more than fair sharing
// lets the other workspaces run while the item's own workspace completes what is
// ahead of the item.
func (q *Queue) WorkAhead(it Item, groups []Group) time.Duration {
	key := q.options.Key(it)
	var ahead time.Duration
	for _, id := range groups {
		if g, ok := q.groups[id]; ok {
			ahead += g.profile.workUpTo(key)
		}
	}
	if q.options.Order == FIFO {
		return ahead
	}
	return min(ahead, q.fairWorkAhead(it, groups, ahead))
}

// fairWorkAhead sums the work that each workspace can run before the item. Another
// workspace gets the slot time by which it is behind the item's workspace, one
// window, and its share of the time in which the item's workspace runs its own
// work.
func (q *Queue) fairWorkAhead(it Item, groups []Group, workAhead time.Duration) time.Duration {
	var own time.Duration
	virtual := q.minVirtualTime
	if w, ok := q.workspaces[it.Workspace]; ok {
		own = min(w.workIn(groups), workAhead)
		virtual = max(virtual, w.virtualTime)
	}
	virtual += q.options.FairnessWindow.Seconds() + (own+it.Remaining).Seconds()/q.weight(it.Workspace)
	sum := own
	for _, w := range q.active {
		if w.name == it.Workspace {
			continue
		}
		share := max(0, virtual-w.virtualTime) * q.weight(w.name)
		sum += min(w.workIn(groups), time.Duration(share*float64(time.Second)))
	}
	return sum
}

func (w *workspace) workIn(groups []Group) time.Duration {
	var sum time.Duration
	for _, b := range w.buckets {
		if slices.Contains(groups, b.group.id) {
			sum += b.work
		}
	}
	return sum
}
