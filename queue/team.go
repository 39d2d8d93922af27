package queue

import (
	"slices"
	"sort"
	"time"
)

// team holds one team's virtual time: the slot time it has used per unit of
// weight. A team that was idle starts at the floor, so that a share it did not
// use is lent and not saved up, and one that used the others' idle shares owes
// nothing.
type team struct {
	name    string
	virtual float64 // seconds
	buckets []*bucket
}

func (t *team) compare(other *team) int {
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

// maxIdleTeams bounds the record of teams without waiting tasks, far above the
// number of configured teams.
const maxIdleTeams = 4096

// SetWeights sets the teams' weights. Teams that are not named have weight 1.
// The map must not change afterwards.
func (q *Queue) SetWeights(weights map[string]float64) { q.weights = weights }

func (q *Queue) weight(name string) float64 {
	if w, ok := q.weights[name]; ok && w > 0 {
		return w
	}
	return 1
}

// Charge adds slot time to what a team has used. Charge the expected time when a
// task starts, so that the next selection sees it, and the difference, which may
// be negative, when the run time is known.
func (q *Queue) Charge(name string, d time.Duration) {
	t, ok := q.teams[name]
	if !ok {
		t = q.addTeam(name)
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

// activate returns the team, ready to get a bucket.
func (q *Queue) activate(name string) *team {
	t, ok := q.teams[name]
	if !ok {
		t = q.addTeam(name)
	}
	if len(t.buckets) == 0 {
		t.virtual = max(t.virtual, q.floor)
		q.list(t)
	}
	return t
}

func (q *Queue) addTeam(name string) *team {
	if len(q.teams) >= maxIdleTeams {
		q.dropIdleTeams()
	}
	t := &team{name: name, virtual: q.floor}
	q.teams[name] = t
	return t
}

// dropIdleTeams forgets idle teams that would start at the floor anyway.
func (q *Queue) dropIdleTeams() {
	for name, t := range q.teams {
		if len(t.buckets) == 0 && t.virtual <= q.floor {
			delete(q.teams, name)
		}
	}
}

// AddWaiting adds the number of waiting tasks of each team to a sum.
func (q *Queue) AddWaiting(byTeam map[string]int) {
	for _, t := range q.active {
		for _, b := range t.buckets {
			byTeam[t.name] += b.waiting
		}
	}
}

func (q *Queue) deactivate(t *team) { q.unlist(t) }

func (q *Queue) list(t *team) {
	q.active = slices.Insert(q.active, q.searchTeam(t), t)
}

func (q *Queue) unlist(t *team) {
	at := q.searchTeam(t)
	q.active = slices.Delete(q.active, at, at+1)
}

func (q *Queue) searchTeam(t *team) int {
	return sort.Search(len(q.active), func(i int) bool { return q.active[i].compare(t) >= 0 })
}
