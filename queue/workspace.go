package queue

import (
	"slices"
	"sort"
	"time"
)

// workspace holds the virtual time of one workspace: the slot time it has used per
// unit of weight. A workspace that becomes active starts at the minimum virtual
// time of the queue or later, so that it cannot save up an unused share. One that
// used the idle shares of others while it was alone owes nothing.
type workspace struct {
	name        string
	virtualTime float64 // seconds
	buckets     []*bucket
}

func (w *workspace) compare(other *workspace) int {
	switch {
	case w.virtualTime < other.virtualTime:
		return -1
	case w.virtualTime > other.virtualTime:
		return 1
	case w.name < other.name:
		return -1
	case w.name > other.name:
		return 1
	}
	return 0
}

// maxIdleWorkspaces is the number of known workspaces from which idle ones are
// dropped before another is added. It is far above the number of configured
// workspaces.
const maxIdleWorkspaces = 4096

// SetWeights sets the weights of the workspaces. Workspaces that are not in the
// map, or have no positive weight, have weight 1. The caller must not change the
// map afterwards.
func (q *Queue) SetWeights(weights map[string]float64) { q.weights = weights }

func (q *Queue) weight(name string) float64 {
	if w, ok := q.weights[name]; ok && w > 0 {
		return w
	}
	return 1
}

// Charge adds slot time to the use of a workspace. Callers charge the expected run
// time when a task starts, so that the next selection accounts for it, and the
// difference, which may be negative, when the actual run time is known.
func (q *Queue) Charge(name string, d time.Duration) {
	w, ok := q.workspaces[name]
	if !ok {
		w = q.addWorkspace(name)
	}
	active := len(w.buckets) > 0
	if active {
		q.removeActive(w)
	}
	w.virtualTime += d.Seconds() / q.weight(name)
	if active {
		q.insertActive(w)
	}
}

// activate returns the workspace and lists it as active before its first bucket is
// added.
func (q *Queue) activate(name string) *workspace {
	w, ok := q.workspaces[name]
	if !ok {
		w = q.addWorkspace(name)
	}
	if len(w.buckets) == 0 {
		w.virtualTime = max(w.virtualTime, q.minVirtualTime)
		q.insertActive(w)
	}
	return w
}

func (q *Queue) addWorkspace(name string) *workspace {
	if len(q.workspaces) >= maxIdleWorkspaces {
		q.dropIdleWorkspaces()
	}
	w := &workspace{name: name, virtualTime: q.minVirtualTime}
	q.workspaces[name] = w
	return w
}

// dropIdleWorkspaces removes idle workspaces that would restart at the minimum
// virtual time anyway.
func (q *Queue) dropIdleWorkspaces() {
	for name, w := range q.workspaces {
		if len(w.buckets) == 0 && w.virtualTime <= q.minVirtualTime {
			delete(q.workspaces, name)
		}
	}
}

// AddWaiting adds the number of waiting tasks of each workspace to the counts in
// byWorkspace.
func (q *Queue) AddWaiting(byWorkspace map[string]int) {
	for _, w := range q.active {
		for _, b := range w.buckets {
			byWorkspace[w.name] += b.waiting
		}
	}
}

func (q *Queue) deactivate(w *workspace) { q.removeActive(w) }

func (q *Queue) insertActive(w *workspace) {
	q.active = slices.Insert(q.active, q.activeIndex(w), w)
}

func (q *Queue) removeActive(w *workspace) {
	at := q.activeIndex(w)
	q.active = slices.Delete(q.active, at, at+1)
}

func (q *Queue) activeIndex(w *workspace) int {
	return sort.Search(len(q.active), func(i int) bool { return q.active[i].compare(w) >= 0 })
}
