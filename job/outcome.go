package job

import (
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// Answer is the response to the caller: either Results, one per task in task order,
// or Err.
type Answer struct {
	Results [][]byte
	Err     *result.Error
}

// Answer returns the job's answer; ok is false while the job has not ended.
func (j *Job) Answer() (answer Answer, ok bool) {
	if j.answer == nil {
		return Answer{}, false
	}
	return *j.answer, true
}

// Ended reports whether the job has its answer.
func (j *Job) Ended() bool { return j.answer != nil }

// Apply applies an outcome and reports whether it ended the job. Late, duplicate
// and unmatched outcomes are counted and do not affect the answer. An outcome that
// arrives after the job's end still makes its task no longer outstanding.
func (j *Job) Apply(o wire.Outcome) (finished bool) {
	index := int(o.Task.Index)
	if o.Task.Job != j.id || !j.inRange(index) {
		j.ignored.Unmatched++
		return false
	}
	if !j.isCurrent(index, o.Task.Attempt) {
		return false
	}
	if o.State == wire.StateRunning {
		return false
	}
	if j.answer != nil {
		j.ignored.Late++
		j.resolve(index, stateFor(o))
		return false
	}
	return j.applyFinal(index, o)
}

// isCurrent reports whether the attempt is outstanding. If not, it counts the
// outcome as ignored.
func (j *Job) isCurrent(index int, attempt uint32) bool {
	t := &j.tasks[index]
	switch {
	case attempt == 0 || attempt > t.attempt:
		j.ignored.Unmatched++
	case t.state == taskOutstanding && attempt == t.attempt:
		return true
	case j.answer != nil || attempt < t.attempt:
		j.ignored.Late++
	default:
		j.ignored.Duplicate++
	}
	return false
}

func (j *Job) applyFinal(index int, o wire.Outcome) bool {
	state := stateFor(o)
	switch state {
	case taskDone:
		return j.addResult(index, o)
	case taskWaiting:
		return j.retryOrEnd(index, o)
	}
	j.resolve(index, state)
	return j.endWithError(failureError(index, state, o))
}

// stateFor returns the state that a task has after a final outcome. Only an explicit
// refusal and StateNeverSeen return a task to waiting. After a refusal whose code
// does not say that the attempt did not run, such as DuplicateStart, the state is
// unknown.
func stateFor(o wire.Outcome) taskState {
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

// addResult stores the result of a done task, and ends the job if the result
// exceeds a limit or is the last one.
func (j *Job) addResult(index int, o wire.Outcome) bool {
	limit := j.spec.ResultBytes
	if limit > 0 && len(o.Result) > limit {
		j.resolve(index, taskFailed)
		return j.endWithError(result.Newf(result.ResultTooLarge, "the result of task %d has %d bytes, the limit is %d", index, len(o.Result), limit))
	}
	if limit := j.spec.AnswerBytes; limit > 0 && j.resultBytes+int64(len(o.Result)) > limit {
		j.resolve(index, taskFailed)
		return j.endWithError(result.Newf(result.ResultTooLarge, "the results including that of task %d have %d bytes, the limit is %d", index, j.resultBytes+int64(len(o.Result)), limit))
	}
	j.resolve(index, taskDone)
	if j.spec.HoldResult != nil && !j.spec.HoldResult(len(o.Result)) {
		return j.endWithError(result.New(result.AnswerDropped, ""))
	}
	j.resultBytes += int64(len(o.Result))
	j.tasks[index].result = o.Result
	j.spec.Tasks[index].Payload = nil
	j.done++
	if j.done < len(j.tasks) {
		return false
	}
	return j.endWithResults()
}

// retryOrEnd puts a task that did not run first among the waiting tasks, or ends the
// job if the task has no attempt left.
func (j *Job) retryOrEnd(index int, o wire.Outcome) bool {
	if j.tasks[index].attempt >= MaxAttempts {
		j.resolve(index, taskNotRun)
		return j.endWithError(result.Newf(result.AttemptsSpent, "task %d did not run in %d attempts, the last ended with %s", index, MaxAttempts, o.Code))
	}
	j.resolve(index, taskWaiting)
	j.waiting = append(j.waiting, 0)
	copy(j.waiting[1:], j.waiting)
	j.waiting[0] = index
	return false
}

// resolve sets the state of an outstanding task that got its final outcome.
func (j *Job) resolve(index int, state taskState) {
	j.tasks[index].state = state
	j.outstanding--
}

// maxReasonBytes bounds how much of an agent's reason an answer contains.
const maxReasonBytes = 512

// failureError returns the error for a task whose outcome ended the job. Only codes
// for accepted jobs become the error's code; any other becomes part of the reason.
func failureError(index int, state taskState, o wire.Outcome) *result.Error {
	reason := o.Reason[:min(len(o.Reason), maxReasonBytes)]
	if o.Code >= result.TaskFailed && o.Code < result.GrantExpired {
		return result.Newf(o.Code, "task %d: %s", index, reason)
	}
	if state == taskFailed {
		return result.Newf(result.TaskFailed, "task %d: %s", index, reason)
	}
	return result.Newf(result.OutcomeUnknown, "task %d ended with %s: %s", index, o.Code, reason)
}

// MarkLost records that the outcome of an outstanding task will never be known, and
// ends the job with TargetLost. It reports whether it ended the job.
func (j *Job) MarkLost(index int) (finished bool) {
	if !j.IsOutstanding(index) {
		return false
	}
	j.resolve(index, taskUnknown)
	return j.endWithError(result.Newf(result.TargetLost, "task %d", index))
}

// Cancel ends the job because its caller disconnected. It reports whether it ended
// the job.
func (j *Job) Cancel() (finished bool) {
	if j.ran() == result.NotRun {
		return j.endWithError(result.New(result.CancelledInQueue, ""))
	}
	return j.endWithError(result.New(result.Cancelled, ""))
}

// Expire ends the job if its deadline has passed. It reports whether it ended
// the job.
func (j *Job) Expire(now time.Time) (finished bool) {
	if now.Before(j.Deadline()) {
		return false
	}
	if j.ran() == result.NotRun {
		return j.endWithError(result.New(result.ExpiredInQueue, ""))
	}
	return j.endWithError(result.Newf(result.DeadlineExceeded, "%d of %d tasks done", j.done, len(j.tasks)))
}

// Fail ends the job with err, whose Ran is replaced by what the outcomes imply. It
// reports whether it ended the job.
func (j *Job) Fail(err *result.Error) (finished bool) { return j.endWithError(err) }

func (j *Job) endWithError(err *result.Error) bool {
	if j.answer != nil {
		return false
	}
	j.answer = &Answer{Err: err.WithRan(j.ran())}
	j.waiting = nil
	for i := range j.tasks {
		j.tasks[i].result = nil
		j.spec.Tasks[i].Payload = nil
		if j.tasks[i].state == taskOutstanding {
			j.outstandingAtEnd = append(j.outstandingAtEnd, i)
		}
	}
	return true
}

// ReleaseResults releases the results of a job whose answer was delivered. Answer returns none after it.
func (j *Job) ReleaseResults() {
	for i := range j.tasks {
		j.tasks[i].result = nil
	}
	if j.answer != nil {
		j.answer.Results = nil
	}
}

func (j *Job) endWithResults() bool {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	j.answer = &Answer{Results: results}
	return true
}

// ran returns whether any task ran: RanYes if one certainly did, NotRun only if no
// task is outstanding or unknown.
func (j *Job) ran() result.Ran {
	out := result.NotRun
	for i := range j.tasks {
		switch j.tasks[i].state {
		case taskDone, taskFailed:
			return result.RanYes
		case taskOutstanding, taskUnknown:
			out = result.RanUnknown
		}
	}
	return out
}
