package queue

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// bucket is a heap of the waiting jobs of one group, workspace and class. Selection
// looks at the heads of buckets only.
type bucket struct {
	group     *group
	workspace *workspace
	class     wire.Class
	jobs      []*queuedJob
	rank      rank // of the head, as the bucket stands in its group's order
	ranked    bool
	waiting   int
	work      time.Duration
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (b *bucket) Len() int { return len(b.jobs) }

func (b *bucket) Less(i, j int) bool {
	return b.jobs[i].rank.compare(b.jobs[j].rank) < 0
}

func (b *bucket) Swap(i, j int) {
	b.jobs[i], b.jobs[j] = b.jobs[j], b.jobs[i]
	b.jobs[i].index = i
	b.jobs[j].index = j
}

func (b *bucket) Push(x any) {
	e := x.(*queuedJob)
	e.index = len(b.jobs)
	b.jobs = append(b.jobs, e)
}

func (b *bucket) Pop() any {
	last := len(b.jobs) - 1
	e := b.jobs[last]
	b.jobs[last] = nil
	b.jobs = b.jobs[:last]
	return e
}

// group is one requirement group. Its buckets are at most twice the number of
// workspaces, so that a sorted slice is quicker than a tree and can be walked in
// order.
type group struct {
	id      Group
	buckets []*bucket // by rank
	waiting int
	profile workProfile
}

// reposition moves a bucket to the place of its present head.
func (g *group) reposition(b *bucket) {
	if b.Len() > 0 && b.ranked && b.rank == b.jobs[0].rank {
		return
	}
	if b.ranked {
		at := g.search(b.rank)
		g.buckets = slices.Delete(g.buckets, at, at+1)
	}
	b.ranked = b.Len() > 0
	if !b.ranked {
		return
	}
	b.rank = b.jobs[0].rank
	g.buckets = slices.Insert(g.buckets, g.search(b.rank), b)
}

func (g *group) search(r rank) int {
	return sort.Search(len(g.buckets), func(i int) bool { return g.buckets[i].rank.compare(r) >= 0 })
}

// bucketFor returns the item's bucket and makes it, its group and its workspace where
// they are missing.
func (q *Queue) bucketFor(it Item) *bucket {
	w := q.activate(it.Workspace)
	for _, b := range w.buckets {
		if b.group.id == it.Group && b.class == it.Class {
			return b
		}
	}
	g, ok := q.groups[it.Group]
	if !ok {
		g = &group{id: it.Group}
		q.groups[it.Group] = g
	}
	b := &bucket{group: g, workspace: w, class: it.Class}
	w.buckets = append(w.buckets, b)
	return b
}

func (q *Queue) dropBucket(b *bucket) {
	w := b.workspace
	w.buckets = slices.DeleteFunc(w.buckets, func(other *bucket) bool { return other == b })
	if len(w.buckets) == 0 {
		q.deactivate(w)
	}
	if len(b.group.buckets) == 0 && b.group.waiting == 0 {
		delete(q.groups, b.group.id)
	}
}

// binSeconds is the resolution of a profile in seconds of order key. It is finer
// than the error of any estimate that the sums are compared with.
const binSeconds = 0.25

// workProfile is the expected work of a group's waiting jobs by order key. Its bins
// span the longest wait and patience, a few hundred at most in practice.
type workProfile struct {
	bins []bin // by at
}

type bin struct {
	index int64
	jobs  int
	work  time.Duration
}

func binIndex(k wire.OrderKey) int64 { return int64(math.Floor(float64(k) / binSeconds)) }

// add puts a job's work in its bin, or takes it off with a sign of -1.
func (p *workProfile) add(k wire.OrderKey, work time.Duration, sign int) {
	at := binIndex(k)
	i := sort.Search(len(p.bins), func(i int) bool { return p.bins[i].index >= at })
	if i == len(p.bins) || p.bins[i].index != at {
		p.bins = slices.Insert(p.bins, i, bin{index: at})
	}
	p.bins[i].work += work
	p.bins[i].jobs += sign
	if p.bins[i].jobs == 0 {
		p.bins = slices.Delete(p.bins, i, i+1)
	}
}

// workUpTo returns the work whose key is not above k, to the resolution of a bin.
func (p *workProfile) workUpTo(k wire.OrderKey) time.Duration {
	at := binIndex(k)
	var sum time.Duration
	for _, b := range p.bins {
		if b.index > at {
			break
		}
		sum += b.work
	}
	return sum
}
