package queue

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// bucket is a heap of the waiting jobs of one group, workspace and class. Selection
// looks only at the heads of buckets.
type bucket struct {
	group     *group
	workspace *workspace
	class     wire.Class
	jobs      []*queuedJob
	rank      rank // rank of the head by which the group currently orders the bucket
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
	j := x.(*queuedJob)
	j.index = len(b.jobs)
	b.jobs = append(b.jobs, j)
}

func (b *bucket) Pop() any {
	last := len(b.jobs) - 1
	j := b.jobs[last]
	b.jobs[last] = nil
	b.jobs = b.jobs[:last]
	return j
}

// group holds the buckets of one requirement group. There are at most two buckets
// per workspace, few enough that a sorted slice is faster than a tree; it can also
// be walked in order.
type group struct {
	id      Group
	buckets []*bucket // by rank
	waiting int
	profile workProfile
}

// reposition restores the order of the buckets after the head of b has changed.
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

// bucketFor returns the bucket of an item. It creates the bucket, its group and its
// workspace if necessary.
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

// binSeconds is the width of a profile bin in seconds of order key. It is finer
// than the error of the estimates that the sums are compared with.
const binSeconds = 0.25

// workProfile is a histogram of the expected work of a group's waiting jobs by
// order key. Its bins cover the longest wait and aging delay, a few hundred bins at
// most in practice.
type workProfile struct {
	bins []bin // ordered by index
}

type bin struct {
	index int64
	jobs  int
	work  time.Duration
}

func binIndex(k wire.OrderKey) int64 { return int64(math.Floor(float64(k) / binSeconds)) }

// add adds the work of a job to its bin, or subtracts it if sign is -1.
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

// workUpTo returns the work of the jobs with a key of at most k, to the resolution
// of a bin.
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
