package job

import (
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// Answer is what the caller gets: Results, one per task in order, or Err.
type Answer struct {
	Results [][]byte
	Err     *result.Error
}

// Answer returns the job's answer; ok is false while the job runs.
func (j *Job) Answer() (answer Answer, ok bool) {
	if j.answer == nil {
		return Answer{}, false
	}
	return *j.answer, true
}

// Ended reports whether the job has its answer.
func (j *Job) Ended() bool { return j.answer != nil }

// Apply takes in an outcome and reports whether it ended the job. Late,
// duplicate and foreign outcomes are counted and change nothing in the answer;
// a late outcome still takes its task off those that are out.
func (j *Job) Apply(o wire.Outcome) (finished bool) {
	index := int(o.Task.Index)
	if o.Task.Job != j.id || !j.inRange(index) {
		j.ignored.Foreign++
		return false
	}
	if !j.current(index, o.Task.Attempt) {
		return false
	}
	if o.State == wire.StateRunning {
		return false
	}
	if j.answer != nil {
		j.ignored.Late++
		j.settle(index, settledState(o))
		return false
	}
	return j.applyFinal(index, o)
}

// current reports whether the attempt is out, and counts those that are not.
func (j *Job) current(index int, attempt uint32) bool {
	t := &j.tasks[index]
	switch {
	case attempt == 0 || attempt > t.attempt:
		j.ignored.Foreign++
	case t.state == taskOut && attempt == t.attempt:
		return true
	case j.answer != nil || attempt < t.attempt:
		j.ignored.Late++
	default:
		j.ignored.Duplicate++
	}
	return false
}

func (j *Job) applyFinal(index int, o wire.Outcome) bool {
	state := settledState(o)
	switch state {
	case taskDone:
		return j.complete(index, o)
	case taskWaiting:
		return j.refused(index, o)
	}
	j.settle(index, state)
	return j.end(failure(index, state, o))
}

// settledState returns the state that an outcome gives its task. Only an
// explicit refusal and "never seen" let a task wait again. A refusal whose code
// does not say that nothing ran, such as DuplicateStart, leaves it unknown.
func settledState(o wire.Outcome) taskState {
	info, known := result.Lookup(o.Code)
	switch o.State {
	case wire.StateDone:
		return taskDone
	case wire.StateFailed:
		if o.Code == 0 || known && info.Ran == result.RanYes {
			return taskFailed
		}
	case wire.StateRefused:
		if o.Code == 0 || known && info.Ran == result.NotRun {
			return taskWaiting
		}
	case wire.StateNeverSeen:
		return taskWaiting
	}
	return taskUnknown
}

// complete takes in a result.
func (j *Job) complete(index int, o wire.Outcome) bool {
	limit := j.spec.ResultBytes
	if limit > 0 && len(o.Result) > limit {
		j.settle(index, taskFailed)
		return j.end(result.Newf(result.ResultTooLarge, "task %d has %d bytes, the limit is %d", index, len(o.Result), limit))
	}
	if limit := j.spec.AnswerBytes; limit > 0 && j.held+int64(len(o.Result)) > limit {
		j.settle(index, taskFailed)
		return j.end(result.Newf(result.ResultTooLarge, "the results with that of task %d have %d bytes, the limit is %d", index, j.held+int64(len(o.Result)), limit))
	}
	j.held += int64(len(o.Result))
	j.settle(index, taskDone)
	j.tasks[index].result = o.Result
	j.spec.Tasks[index].Payload = nil
	j.done++
	if j.done < len(j.tasks) {
		return false
	}
	return j.endComplete()
}

// refused lets the task wait again, before tasks that were never sent, or ends
// the job when the task has no attempt left.
func (j *Job) refused(index int, o wire.Outcome) bool {
	if j.tasks[index].attempt >= MaxAttempts {
		j.settle(index, taskNotRun)
		return j.end(result.Newf(result.AttemptsSpent, "task %d, %d attempts, last refusal %s", index, MaxAttempts, o.Code))
	}
	j.settle(index, taskWaiting)
	j.waiting = append(j.waiting, 0)
	copy(j.waiting[1:], j.waiting)
	j.waiting[0] = index
	return false
}

// settle takes a task off those that are out.
func (j *Job) settle(index int, state taskState) {
	j.tasks[index].state = state
	j.out--
}

// maxReasonBytes bounds what an agent's reason adds to an answer.
const maxReasonBytes = 512

// failure returns the error for a task that ended the job. Only the codes for
// accepted jobs reach the caller; any other becomes part of the reason.
func failure(index int, state taskState, o wire.Outcome) *result.Error {
	reason := o.Reason[:min(len(o.Reason), maxReasonBytes)]
	if o.Code >= result.TaskFailed && o.Code < result.GrantExpired {
		return result.Newf(o.Code, "task %d: %s", index, reason)
	}
	if state == taskFailed {
		return result.Newf(result.TaskFailed, "task %d: %s", index, reason)
	}
	return result.Newf(result.OutcomeUnknown, "task %d, %s: %s", index, o.Code, reason)
}

// MarkLost records that the outcome of a task that is out will never be known, and
// ends the job. It reports whether it ended the job.
func (j *Job) MarkLost(index int) (finished bool) {
	if !j.IsOut(index) {
		return false
	}
	j.settle(index, taskUnknown)
	return j.end(result.Newf(result.TargetLost, "task %d", index))
}

// Cancel ends the job because its caller went away. It reports whether it ended
// the job.
func (j *Job) Cancel() (finished bool) {
	if j.ran() == result.NotRun {
		return j.end(result.New(result.CancelledInQueue, ""))
	}
	return j.end(result.New(result.Cancelled, ""))
}

// Expire ends the job if its deadline has passed. It reports whether it ended
// the job.
func (j *Job) Expire(now time.Time) (finished bool) {
	if now.Before(j.Deadline()) {
		return false
	}
	if j.ran() == result.NotRun {
		return j.end(result.New(result.ExpiredInQueue, ""))
	}
	return j.end(result.Newf(result.DeadlineExceeded, "%d of %d tasks done", j.done, len(j.tasks)))
}

// Fail ends the job with an error of the caller's choice, whose Ran is replaced
// by what the outcomes say. It reports whether it ended the job.
func (j *Job) Fail(err *result.Error) (finished bool) { return j.end(err) }

func (j *Job) end(err *result.Error) bool {
	if j.answer != nil {
		return false
	}
	j.answer = &Answer{Err: err.WithRan(j.ran())}
	j.waiting = nil
	for i := range j.tasks {
		j.tasks[i].result = nil
		j.spec.Tasks[i].Payload = nil
		if j.tasks[i].state == taskOut {
			j.endedOut = append(j.endedOut, i)
		}
	}
	return true
}

func (j *Job) endComplete() bool {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	j.answer = &Answer{Results: results}
	return true
}

// ran tells whether any task ran: RanYes if one certainly did, NotRun only if
// no task is out or unknown.
func (j *Job) ran() result.Ran {
	out := result.NotRun
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskDone, taskFailed:
			return result.RanYes
		case taskOut, taskUnknown:
			out = result.RanUnknown
		}
	}
	return out
}
