package queue

import (
	"math"
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// Allow says whether a task of a workspace and class may start now. It must be quick
// and must not change the queue. A nil Allow allows everything.
type Allow func(workspace string, class wire.Class) bool

func (a Allow) permits(b *bucket) bool { return a == nil || a(b.workspace.name, b.class) }

// Head describes the work that a target could get next.
type Head struct {
	Key     wire.OrderKey
	Class   wire.Class
	Waiting int // tasks that wait in the groups and are allowed
}

// Select returns the job whose next task a target should start. Groups are the
// requirement groups that the target can run. Among the workspaces that are at most
// one window ahead of the least served workspace with allowed work, the job with the
// lowest order key wins.
//
// Over any time in which two workspaces have allowed work for the same targets, their
// slot time per unit of weight differs by at most one window for what they saved
// up before, one window of lead, and one task; short work of one against long work
// of the other has shortLead windows more.
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

// Peek describes what Select would return, without a change of any state. Its
// cost grows with the number of workspaces only if allow is set.
func (q *Queue) Peek(groups []Group, allow Allow) (Head, bool) {
	limit, ok := q.virtualTimeLimit(groups, allow)
	if !ok {
		return Head{}, false
	}
	b := q.choose(groups, allow, limit)
	return Head{Key: b.rank.key, Class: b.class, Waiting: q.waitingIn(groups, allow)}, true
}

// virtualTimeLimit returns the greatest virtual time that may be selected. It reports false
// if no work is allowed.
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

// boundLag raises workspaces that are more than a window behind the least served workspace
// with allowed work to half a window behind it. A quota or their requirements
// keep them from running; they would save up their share without bound and later
// hold up every other workspace. Half a window keeps the work per selection small.
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

// shortLeadWindows is how many windows further than the limit a workspace may be ahead and
// still have its short work pass long work of the others. With no allowance, the
// short jobs of the busier of two workspaces waited behind the long ones of the other
// until a peak's backlog was gone; without a bound, a workspace with short work only
// would take any share.
const shortLeadWindows = 4

// choose returns the best bucket within the limit, unless that is long work and
// short work of a workspace not much further ahead has a lower rank.
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
// the limit. The workspace that set the limit is always among them.
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

// WorkAhead returns the expected work of waiting jobs that run before an item that
// is not in the queue yet. Groups are those that compete for the item's targets.
// It is the work with a lower key, and no more than the other workspaces' shares
// allow while the item's own workspace works off what it has ahead of the item.
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

// fairWorkAhead sums what each workspace can run before the item. A workspace other than the
// item's gets what it is behind the item's workspace, one window, and its share of
// the time in which the item's workspace runs its own work.
func (q *Queue) fairWorkAhead(it Item, groups []Group, ahead time.Duration) time.Duration {
	var own time.Duration
	virtual := q.minVirtualTime
	if w, ok := q.workspaces[it.Workspace]; ok {
		own = min(w.workIn(groups), ahead)
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
