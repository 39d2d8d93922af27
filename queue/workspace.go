package queue

import (
	"slices"
	"sort"
	"time"
)

// workspace holds one workspace's virtual time: the slot time it has used per unit of
// weight. A workspace that was idle starts at the floor, so that a share it did not
// use is lent and not saved up, and one that used the others' idle shares owes
// nothing.
type workspace struct {
	name    string
	virtual float64 // seconds
	buckets []*bucket
}

func (t *workspace) compare(other *workspace) int {
	switch {
	case t.virtual < other.virtual:
		return -1
	case t.virtual > other.virtual:
		return 1
	case t.name < other.name:
		return -1
	case t.name > other.name:
		return 1
	}
	return 0
}

// maxIdleWorkspaces bounds the record of workspaces without waiting tasks, far above the
// number of configured workspaces.
const maxIdleWorkspaces = 4096

// SetWeights sets the workspaces' weights. Workspaces that are not named have weight 1.
// The map must not change afterwards.
func (q *Queue) SetWeights(weights map[string]float64) { q.weights = weights }

func (q *Queue) weight(name string) float64 {
	if w, ok := q.weights[name]; ok && w > 0 {
		return w
	}
	return 1
}

// Charge adds slot time to what a workspace has used. Charge the expected time when a
// task starts, so that the next selection sees it, and the difference, which may
// be negative, when the run time is known.
func (q *Queue) Charge(name string, d time.Duration) {
	t, ok := q.workspaces[name]
	if !ok {
		t = q.addWorkspace(name)
	}
	active := len(t.buckets) > 0
	if active {
		q.unlist(t)
	}
	t.virtual += d.Seconds() / q.weight(name)
	if active {
		q.list(t)
	}
}

// activate returns the workspace, ready to get a bucket.
func (q *Queue) activate(name string) *workspace {
	t, ok := q.workspaces[name]
	if !ok {
		t = q.addWorkspace(name)
	}
	if len(t.buckets) == 0 {
		t.virtual = max(t.virtual, q.floor)
		q.list(t)
	}
	return t
}

func (q *Queue) addWorkspace(name string) *workspace {
	if len(q.workspaces) >= maxIdleWorkspaces {
		q.dropIdleWorkspaces()
	}
	t := &workspace{name: name, virtual: q.floor}
	q.workspaces[name] = t
	return t
}

// dropIdleWorkspaces forgets idle workspaces that would start at the floor anyway.
func (q *Queue) dropIdleWorkspaces() {
	for name, t := range q.workspaces {
		if len(t.buckets) == 0 && t.virtual <= q.floor {
			delete(q.workspaces, name)
		}
	}
}

// AddWaiting adds the number of waiting tasks of each workspace to a sum.
func (q *Queue) AddWaiting(byWorkspace map[string]int) {
	for _, t := range q.active {
		for _, b := range t.buckets {
			byWorkspace[t.name] += b.waiting
		}
	}
}

func (q *Queue) deactivate(t *workspace) { q.unlist(t) }

func (q *Queue) list(t *workspace) {
	q.active = slices.Insert(q.active, q.searchWorkspace(t), t)
}

func (q *Queue) unlist(t *workspace) {
	at := q.searchWorkspace(t)
	q.active = slices.Delete(q.active, at, at+1)
}

func (q *Queue) searchWorkspace(t *workspace) int {
	return sort.Search(len(q.active), func(i int) bool { return q.active[i].compare(t) >= 0 })
}
