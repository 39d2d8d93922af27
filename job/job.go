package job

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// MaxAttempts bounds the number of attempts of a task, each of which follows an
// outcome that the one before did not run. It ends jobs that every target refuses,
// and is well above the few refusals that a paused entry or a revision change
// causes.
const MaxAttempts = 12

// taskState is the state of a task as the job knows it.
type taskState uint8

const (
	taskWaiting     taskState = iota
	taskOutstanding           // sent, without a final outcome
	taskDone                  // ran, with a result
	taskFailed                // certainly ran, without a usable result
	taskUnknown               // may have run
	taskNotRun                // no attempt ran, none will follow
)

type task struct {
	state   taskState
	attempt uint32 // number of the last attempt, from 1
	result  []byte
}

// Job tracks the tasks of one job until its answer. It is not safe for concurrent
// use.
//
// Invariants: a task is sent again only after an outcome that says that the
// previous attempt did not run; the job ends exactly once, with all results in
// task order or with an error whose Ran is no more certain than the outcomes.
type Job struct {
	id               wire.JobID
	spec             *Spec
	arrived          time.Time
	tasks            []task
	waiting          []int // indices of waiting tasks, next first
	outstanding      int
	done             int
	resultBytes      int64 // bytes of the results so far
	answer           *Answer
	ignored          Ignored
	outstandingAtEnd []int // indices of the tasks that were outstanding when the job ended
}

// Ignored counts outcomes that did not affect the job's answer.
type Ignored struct {
	Late      int // the job had ended, or a later attempt was sent
	Duplicate int // the attempt already had an outcome
	Unmatched int // for another job, an unknown task, or an attempt that was never sent
}

// New returns a job whose tasks all wait. The job takes ownership of spec and
// releases payloads that are no longer needed.
func New(id wire.JobID, spec *Spec, now time.Time) *Job {
	j := &Job{
		id:      id,
		spec:    spec,
		arrived: now,
		tasks:   make([]task, len(spec.Tasks)),
		waiting: make([]int, len(spec.Tasks)),
	}
	for i := range j.waiting {
		j.waiting[i] = i
	}
	return j
}

// ID returns the job's id.
func (j *Job) ID() wire.JobID { return j.id }

// Spec returns the specification. The payloads of done tasks, and of all tasks
// once the job has ended with an error, are nil.
func (j *Job) Spec() *Spec { return j.spec }

// Arrived returns the time at which the job was accepted.
func (j *Job) Arrived() time.Time { return j.arrived }

// Deadline returns the time at which the answer is due.
func (j *Job) Deadline() time.Time { return j.arrived.Add(j.spec.Deadline) }

// Waiting returns the number of tasks that wait to be sent; zero once the job
// has ended.
func (j *Job) Waiting() int { return len(j.waiting) }

// OutstandingCount returns the number of tasks that were sent and have no final
// outcome yet. After the job's end it falls to zero as their outcomes arrive.
func (j *Job) OutstandingCount() int { return j.outstanding }

// Done returns the number of tasks that ended with a result.
func (j *Job) Done() int { return j.done }

// Ignored returns the number of ignored outcomes by reason.
func (j *Job) Ignored() Ignored { return j.ignored }

// IsWaiting reports whether a task waits to be sent.
func (j *Job) IsWaiting(index int) bool {
	return j.answer == nil && j.inRange(index) && j.tasks[index].state == taskWaiting
}

// IsOutstanding reports whether a task was sent and has no final outcome yet.
func (j *Job) IsOutstanding(index int) bool {
	return j.inRange(index) && j.tasks[index].state == taskOutstanding
}

func (j *Job) inRange(index int) bool { return index >= 0 && index < len(j.tasks) }

// SortWaiting orders the waiting tasks by decreasing expected run time. The job is
// answered when its last task ends, so the longest tasks are sent first.
func (j *Job) SortWaiting(expected func(index int) time.Duration) {
	slices.SortStableFunc(j.waiting, func(a, b int) int {
		return cmp.Compare(expected(b), expected(a))
	})
}

// NextTask returns the task to send next and the number that its attempt will have.
// ok is false if no task waits.
func (j *Job) NextTask() (index int, attempt uint32, ok bool) {
	return j.NextTaskFunc(nil)
}

// NextTaskFunc is NextTask for the first waiting task for which allow returns true;
// a nil allow admits every task.
func (j *Job) NextTaskFunc(allow func(index int) bool) (index int, attempt uint32, ok bool) {
	for _, i := range j.waiting {
		if allow == nil || allow(i) {
			return i, j.tasks[i].attempt + 1, true
		}
	}
	return 0, 0, false
}

// MarkSent records that a waiting task is being sent and returns the id of the
// attempt. It must be called before the message is sent. It returns false if the
// task does not wait; the task must then not be sent.
func (j *Job) MarkSent(index int) (wire.TaskID, bool) {
	if !j.IsWaiting(index) {
		return wire.TaskID{}, false
	}
	t := &j.tasks[index]
	t.state = taskOutstanding
	t.attempt++
	j.outstanding++
	at := slices.Index(j.waiting, index)
	j.waiting = slices.Delete(j.waiting, at, at+1)
	return j.taskID(index), true
}

func (j *Job) taskID(index int) wire.TaskID {
	return wire.TaskID{Job: j.id, Index: uint32(index), Attempt: j.tasks[index].attempt}
}

// Outstanding returns the outstanding attempts in order of their index: those to
// query after a reconnect.
func (j *Job) Outstanding() []wire.TaskID {
	ids := make([]wire.TaskID, 0, j.outstanding)
	for i := range j.tasks {
		if j.tasks[i].state == taskOutstanding {
			ids = append(ids, j.taskID(i))
		}
	}
	return ids
}

// ToCancel returns the attempts to cancel at their targets: those that were
// outstanding when the job ended with an error and still are.
func (j *Job) ToCancel() []wire.TaskID {
	ids := make([]wire.TaskID, 0, len(j.outstandingAtEnd))
	for _, i := range j.outstandingAtEnd {
		if j.tasks[i].state == taskOutstanding {
			ids = append(ids, j.taskID(i))
		}
	}
	return ids
}
