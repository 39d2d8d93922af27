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
	entries   []*entry
	rank      rank // of the head, as the bucket stands in its group's order
	ranked    bool
	waiting   int
	work      time.Duration
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (b *bucket) Len() int { return len(b.entries) }

func (b *bucket) Less(i, j int) bool {
	return b.entries[i].rank.compare(b.entries[j].rank) < 0
}

func (b *bucket) Swap(i, j int) {
	b.entries[i], b.entries[j] = b.entries[j], b.entries[i]
	b.entries[i].index = i
	b.entries[j].index = j
}

func (b *bucket) Push(x any) {
	e := x.(*entry)
	e.index = len(b.entries)
	b.entries = append(b.entries, e)
}

func (b *bucket) Pop() any {
	last := len(b.entries) - 1
	e := b.entries[last]
	b.entries[last] = nil
	b.entries = b.entries[:last]
	return e
}

// group is one requirement group. Its buckets are at most twice the number of
// workspaces, so that a sorted slice is quicker than a tree and can be walked in
// order.
type group struct {
	id      Group
	buckets []*bucket // by rank
	waiting int
	profile profile
}

// reposition moves a bucket to the place of its present head.
func (g *group) reposition(b *bucket) {
	if b.Len() > 0 && b.ranked && b.rank == b.entries[0].rank {
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
	b.rank = b.entries[0].rank
	g.buckets = slices.Insert(g.buckets, g.search(b.rank), b)
}

func (g *group) search(r rank) int {
	return sort.Search(len(g.buckets), func(i int) bool { return g.buckets[i].rank.compare(r) >= 0 })
}

// bucketFor returns the item's bucket and makes it, its group and its workspace where
// they are missing.
func (q *Queue) bucketFor(it Item) *bucket {
	t := q.activate(it.Workspace)
	for _, b := range t.buckets {
		if b.group.id == it.Group && b.class == it.Class {
			return b
		}
	}
	g, ok := q.groups[it.Group]
	if !ok {
		g = &group{id: it.Group}
		q.groups[it.Group] = g
	}
	b := &bucket{group: g, workspace: t, class: it.Class}
	t.buckets = append(t.buckets, b)
	return b
}

func (q *Queue) dropBucket(b *bucket) {
	t := b.workspace
	t.buckets = slices.DeleteFunc(t.buckets, func(other *bucket) bool { return other == b })
	if len(t.buckets) == 0 {
		q.deactivate(t)
	}
	if len(b.group.buckets) == 0 && b.group.waiting == 0 {
		delete(q.groups, b.group.id)
	}
}

// binWidth is the resolution of a profile in seconds of order key. It is finer
// than the error of any estimate that the sums are compared with.
const binWidth = 0.25

// profile is the expected work of a group's waiting jobs by order key. Its bins
// span the longest wait and patience, a few hundred at most in practice.
type profile struct {
	bins []bin // by at
}

type bin struct {
	at   int64
	jobs int
	work time.Duration
}

func binOf(k wire.OrderKey) int64 { return int64(math.Floor(float64(k) / binWidth)) }

// add puts a job's work in its bin, or takes it off with a sign of -1.
func (p *profile) add(k wire.OrderKey, work time.Duration, sign int) {
	at := binOf(k)
	i := sort.Search(len(p.bins), func(i int) bool { return p.bins[i].at >= at })
	if i == len(p.bins) || p.bins[i].at != at {
		p.bins = slices.Insert(p.bins, i, bin{at: at})
	}
	p.bins[i].work += work
	p.bins[i].jobs += sign
	if p.bins[i].jobs == 0 {
		p.bins = slices.Delete(p.bins, i, i+1)
	}
}

// before returns the work whose key is not above k, to the resolution of a bin.
func (p *profile) before(k wire.OrderKey) time.Duration {
	at := binOf(k)
	var sum time.Duration
	for _, b := range p.bins {
		if b.at > at {
			break
		}
		sum += b.work
	}
	return sum
}
