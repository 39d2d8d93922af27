// Package queue orders the waiting jobs of one service at one entry. Jobs with the
// least expected remaining work come first; aging bounds how long a job waits, and
// slot time is shared between workspaces by weight.
package queue

import (
	"container/heap"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/wire"
)

// Order selects the order in which waiting jobs are served. Its values appear in
// settings.
type Order string

// Values of Order. ShortestRemaining is the default. FIFO serves jobs by arrival
// time without fairness between workspaces; it is a baseline for measurements.
const (
	ShortestRemaining Order = "remaining"
	FIFO              Order = "fifo"
)

// Group identifies a requirement group: jobs that the same set of targets can run.
type Group uint32

// Item describes a job to the queue.
type Item struct {
	Job       wire.JobID
	Workspace string
	Group     Group
	Class     wire.Class    // of the next task
	Remaining time.Duration // expected slot time of all waiting and running tasks
	Waiting   int           // tasks that have not been started
	Arrived   time.Time
	Deadline  time.Time // zero means no deadline
}

// Options configure a Queue. Zero fields take the defaults.
type Options struct {
	Order          Order
	MaxAgingDelay  time.Duration
	HalfDelayWork  time.Duration
	FairnessWindow time.Duration
}

// Defaults of Options.
const (
	// DefaultMaxAgingDelay bounds aging: a job that arrives this much later than a
	// waiting job of the same workspace never overtakes it. It equals the run time
	// of the longest expected tasks, 30 s.
	DefaultMaxAgingDelay = 30 * time.Second
	// DefaultHalfDelayWork is the remaining work for which the aging delay is half
	// of its maximum: about fifty typical tasks of 0.3 s.
	DefaultHalfDelayWork = 15 * time.Second
	// DefaultFairnessWindow is the slot time per unit of weight by which a
	// workspace may be ahead of the least served workspace. It lets a job of a
	// hundred typical tasks finish without a pause. A smaller window turns the
	// order between workspaces into processor sharing, which delays the answers of
	// every workspace.
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

// Key returns the order key of an item: the end of its aging delay, in seconds
// since the Unix epoch. The delay grows with the remaining work up to
// MaxAgingDelay, and is at most half of the time from arrival to deadline. Only
// jobs of the same workspace that arrive within the delay can overtake a waiting
// job. Keys computed at different entries are comparable to the accuracy of their
// clocks.
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

// rank orders items by key, and items with equal keys by insertion.
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

// queuedJob is an item with its position. Its bucket is nil while none of its tasks
// waits.
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
	active         []*workspace // workspaces with waiting tasks, ordered by virtual time
	weights        map[string]float64
	minVirtualTime float64 // lower bound for the virtual time of a workspace that becomes active
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

// Add inserts a job. It returns false if the job is already in the queue.
func (q *Queue) Add(it Item) bool {
	if _, dup := q.jobs[it.Job]; dup {
		return false
	}
	q.seq++
	j := &queuedJob{item: it, rank: rank{q.options.Key(it), q.seq}}
	q.jobs[it.Job] = j
	q.addToBucket(j)
	return true
}

// Update sets the remaining work, the number of waiting tasks and the class of the
// next task of a job. It returns false for an unknown job.
func (q *Queue) Update(job wire.JobID, remaining time.Duration, waiting int, class wire.Class) bool {
	j, ok := q.jobs[job]
	if !ok {
		return false
	}
	if j.bucket != nil && waiting > 0 && class == j.item.Class {
		q.updateInPlace(j, remaining, waiting)
		return true
	}
	q.removeFromBucket(j)
	j.item.Remaining, j.item.Waiting, j.item.Class = remaining, waiting, class
	j.rank.key = q.options.Key(j.item)
	q.addToBucket(j)
	return true
}

func (q *Queue) updateInPlace(j *queuedJob, remaining time.Duration, waiting int) {
	b := j.bucket
	q.updateTotals(j, -1)
	j.item.Remaining, j.item.Waiting = remaining, waiting
	j.rank.key = q.options.Key(j.item)
	q.updateTotals(j, 1)
	heap.Fix(b, j.index)
	b.group.reposition(b)
}

// Remove deletes a job. It returns false for an unknown job.
func (q *Queue) Remove(job wire.JobID) bool {
	j, ok := q.jobs[job]
	if !ok {
		return false
	}
	delete(q.jobs, job)
	q.removeFromBucket(j)
	return true
}

// addToBucket makes a job selectable if it has waiting tasks.
func (q *Queue) addToBucket(j *queuedJob) {
	if j.item.Waiting <= 0 {
		return
	}
	b := q.bucketFor(j.item)
	j.bucket = b
	heap.Push(b, j)
	q.updateTotals(j, 1)
	b.group.reposition(b)
}

// removeFromBucket undoes addToBucket and drops a bucket that becomes empty.
func (q *Queue) removeFromBucket(j *queuedJob) {
	b := j.bucket
	if b == nil {
		return
	}
	q.updateTotals(j, -1)
	heap.Remove(b, j.index)
	j.bucket = nil
	b.group.reposition(b)
	if b.Len() == 0 {
		q.dropBucket(b)
	}
}

// updateTotals adds a job to the totals of the queue, its bucket and its group, or
// subtracts it if sign is -1.
func (q *Queue) updateTotals(j *queuedJob, sign int) {
	b := j.bucket
	tasks := sign * j.item.Waiting
	work := time.Duration(sign) * j.item.Remaining
	q.waiting += tasks
	b.waiting += tasks
	b.work += work
	b.group.waiting += tasks
	b.group.profile.add(j.rank.key, work, sign)
}
