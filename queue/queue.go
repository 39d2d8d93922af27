// Package queue orders the waiting jobs of one service in one entry: the job
// with the least expected remaining work first, with aging, and with weighted
// fairness between workspaces by slot time.
package queue

import (
	"container/heap"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/wire"
)

// Order is the name of an order.
type Order string

// Orders. FIFO is a baseline for measurements: by arrival, without fairness.
const (
	ShortestRemaining Order = "remaining"
	FIFO              Order = "fifo"
)

// Group names a requirement group: jobs that the same set of targets can run.
type Group uint32

// Item is a job as the queue sees it.
type Item struct {
	Job       wire.JobID
	Workspace string
	Group     Group
	Class     wire.Class    // of the next task
	Remaining time.Duration // slot time that waiting and running tasks are expected to take, summed
	Waiting   int           // tasks that wait to be sent
	Arrived   time.Time
	Deadline  time.Time // zero: none
}

// Options set the order. Zero fields take the defaults.
type Options struct {
	Order          Order
	MaxAgingDelay  time.Duration
	HalfDelayWork  time.Duration
	FairnessWindow time.Duration
}

// Defaults of Options.
const (
	// DefaultMaxAgingDelay bounds aging: no job that arrives this much later
	// passes a waiting one of its workspace. It is the longest usual task.
	DefaultMaxAgingDelay = 30 * time.Second
	// DefaultHalfDelayWork is the remaining work at which a job has half of the
	// longest patience: about fifty typical tasks of 0.3 s.
	DefaultHalfDelayWork = 15 * time.Second
	// DefaultFairnessWindow is the slot time per unit of weight by which a workspace may be
	// ahead of the least served workspace. It lets a job of a hundred typical tasks
	// end without a pause; a smaller window turns the order between workspaces into
	// processor sharing, which delays every workspace's answer.
	DefaultFairnessWindow = 30 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Order == "" {
		o.Order = ShortestRemaining
	}
	options.Default(&o.MaxAgingDelay, DefaultMaxAgingDelay)
	options.Default(&o.HalfDelayWork, DefaultHalfDelayWork)
	options.Default(&o.FairnessWindow, DefaultFairnessWindow)
	return o
}

// Key returns the order key of an item: the time at which its patience ends, in
// seconds since the epoch. Patience grows with remaining work and is at most
// MaxPatience and half the time to the deadline, so a waiting job is passed only
// by jobs of its workspace that arrive within its patience. Keys of two entries
// compare as far as their clocks agree.
func (o Options) Key(it Item) wire.OrderKey {
	o = o.withDefaults()
	arrived := float64(it.Arrived.UnixNano()) / float64(time.Second)
	if o.Order == FIFO {
		return wire.OrderKey(arrived)
	}
	longest := o.MaxAgingDelay
	if !it.Deadline.IsZero() {
		longest = min(longest, max(0, it.Deadline.Sub(it.Arrived)/2))
	}
	work := max(0, it.Remaining.Seconds())
	share := work / (work + o.HalfDelayWork.Seconds())
	return wire.OrderKey(arrived + longest.Seconds()*share)
}

// rank orders items: by key, then in the order of their addition.
type rank struct {
	key wire.OrderKey
	seq uint64
}

func (r rank) compare(other rank) int {
	switch {
	case r.key < other.key:
		return -1
	case r.key > other.key:
		return 1
	case r.seq < other.seq:
		return -1
	case r.seq > other.seq:
		return 1
	}
	return 0
}

// queuedJob is an item and its place. Its bucket is nil while no task waits.
type queuedJob struct {
	item   Item
	rank   rank
	bucket *bucket
	index  int
}

// Queue holds the jobs of one service. It is not safe for concurrent use.
type Queue struct {
	options        Options
	seq            uint64
	jobs           map[wire.JobID]*queuedJob
	groups         map[Group]*group
	workspaces     map[string]*workspace
	active         []*workspace // workspaces with waiting tasks, by virtual time
	weights        map[string]float64
	minVirtualTime float64 // virtual time at which a workspace that was idle starts
	waiting        int
}

// New returns an empty queue.
func New(o Options) *Queue {
	return &Queue{
		options:    o.withDefaults(),
		jobs:       map[wire.JobID]*queuedJob{},
		groups:     map[Group]*group{},
		workspaces: map[string]*workspace{},
	}
}

// Len returns the number of jobs, including those without a waiting task.
func (q *Queue) Len() int { return len(q.jobs) }

// Waiting returns the number of waiting tasks.
func (q *Queue) Waiting() int { return q.waiting }

// Add puts a job in the queue. It reports false for a job that is there.
func (q *Queue) Add(it Item) bool {
	if _, dup := q.jobs[it.Job]; dup {
		return false
	}
	q.seq++
	e := &queuedJob{item: it, rank: rank{q.options.Key(it), q.seq}}
	q.jobs[it.Job] = e
	q.addToBucket(e)
	return true
}

// Update changes what a job still needs and the class of its next task. It
// reports false for an unknown job.
func (q *Queue) Update(job wire.JobID, remaining time.Duration, waiting int, class wire.Class) bool {
	e, ok := q.jobs[job]
	if !ok {
		return false
	}
	if e.bucket != nil && waiting > 0 && class == e.item.Class {
		q.updateInPlace(e, remaining, waiting)
		return true
	}
	q.removeFromBucket(e)
	e.item.Remaining, e.item.Waiting, e.item.Class = remaining, waiting, class
	e.rank.key = q.options.Key(e.item)
	q.addToBucket(e)
	return true
}

func (q *Queue) updateInPlace(e *queuedJob, remaining time.Duration, waiting int) {
	b := e.bucket
	q.updateTotals(e, -1)
	e.item.Remaining, e.item.Waiting = remaining, waiting
	e.rank.key = q.options.Key(e.item)
	q.updateTotals(e, 1)
	heap.Fix(b, e.index)
	b.group.reposition(b)
}

// Remove takes a job out. It reports false for an unknown job.
func (q *Queue) Remove(job wire.JobID) bool {
	e, ok := q.jobs[job]
	if !ok {
		return false
	}
	delete(q.jobs, job)
	q.removeFromBucket(e)
	return true
}

// addToBucket makes an entry with waiting tasks selectable.
func (q *Queue) addToBucket(e *queuedJob) {
	if e.item.Waiting <= 0 {
		return
	}
	b := q.bucketFor(e.item)
	e.bucket = b
	heap.Push(b, e)
	q.updateTotals(e, 1)
	b.group.reposition(b)
}

// removeFromBucket is the reverse of place.
func (q *Queue) removeFromBucket(e *queuedJob) {
	b := e.bucket
	if b == nil {
		return
	}
	q.updateTotals(e, -1)
	heap.Remove(b, e.index)
	e.bucket = nil
	b.group.reposition(b)
	if b.Len() == 0 {
		q.dropBucket(b)
	}
}

// updateTotals adds an entry to the sums, or takes it off.
func (q *Queue) updateTotals(e *queuedJob, sign int) {
	b := e.bucket
	tasks := sign * e.item.Waiting
	work := time.Duration(sign) * e.item.Remaining
	q.waiting += tasks
	b.waiting += tasks
	b.work += work
	b.group.waiting += tasks
	b.group.profile.add(e.rank.key, work, sign)
}
