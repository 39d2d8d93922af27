package job

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

var (
	epoch  = time.Unix(1_700_000_000, 0)
	testID = wire.JobID{Entry: 7, Seq: 9}
)

func newJob(tasks int) *Job {
	spec := &Spec{Key: "k", Workspace: "t", Deadline: time.Second, ResultBytes: 8, Tasks: make([]Task, tasks)}
	return New(testID, spec, epoch)
}

func sendNext(t *testing.T, j *Job) wire.TaskID {
	t.Helper()
	index, attempt, ok := j.NextTask()
	id, marked := j.MarkSent(index)
	if !ok || !marked || id.Attempt != attempt {
		t.Fatalf("task %d attempt %d: ok %v, marked %v as %v", index, attempt, ok, marked, id)
	}
	return id
}

func outcome(id wire.TaskID, s wire.OutcomeState, c result.Code) wire.Outcome {
	return wire.Outcome{Task: id, State: s, Code: c, Result: []byte(strconv.Itoa(int(id.Index)))}
}

// Guards against results in order of arrival instead of task order, and against an
// answer before the last task is done.
func TestResultsInTaskOrder(t *testing.T) {
	j := newJob(3)
	ids := []wire.TaskID{sendNext(t, j), sendNext(t, j), sendNext(t, j)}
	slices.Reverse(ids)
	for i, id := range ids {
		if _, ok := j.Answer(); ok {
			t.Fatal("the job has an answer before its last task is done")
		}
		if finished := j.Apply(outcome(id, wire.StateDone, 0)); finished != (i == 2) {
			t.Fatalf("outcome %d: finished %v", i, finished)
		}
	}
	a, _ := j.Answer()
	if a.Err != nil || string(a.Results[0])+string(a.Results[1])+string(a.Results[2]) != "012" {
		t.Fatalf("answer %v", a)
	}
	if j.Cancel() || j.Expire(epoch.Add(time.Hour)) || j.Fail(result.New(result.Stopping, "")) || j.MarkLost(0) {
		t.Fatal("the job ended twice")
	}
}

// Guards against results that are each within the limit on one result and together
// exhaust the entry's memory, and against refusing a job whose results are exactly
// at the limit.
func TestTotalResultSizeIsBounded(t *testing.T) {
	for _, c := range []struct {
		limit int64
		code  result.Code
	}{{15, 0}, {14, result.ResultTooLarge}, {0, 0}} {
		j := newJob(3)
		j.spec.AnswerBytes = c.limit
		ids := []wire.TaskID{sendNext(t, j), sendNext(t, j), sendNext(t, j)}
		for _, id := range ids {
			j.Apply(wire.Outcome{Task: id, State: wire.StateDone, Result: make([]byte, 5)})
		}
		a, ok := j.Answer()
		switch {
		case !ok, c.code == 0 && (a.Err != nil || len(a.Results) != 3):
			t.Errorf("limit %d: answered %v, error %v; want an answer, and for code 0 three results and no error", c.limit, ok, a.Err)
		case c.code != 0 && (a.Err == nil || a.Err.Code != c.code || a.Err.Ran != result.RanYes || len(a.Results) > 0):
			t.Errorf("limit %d: %d results, error %v", c.limit, len(a.Results), a.Err)
		}
		if j.OutstandingCount() != 0 || c.code != 0 && j.tasks[0].result != nil {
			t.Errorf("limit %d: %d tasks outstanding, or results still held", c.limit, j.OutstandingCount())
		}
	}
}

// Guards against an error answer with a wrong code or with a Ran that is more
// certain than the outcomes.
func TestErrorAnswers(t *testing.T) {
	late := epoch.Add(time.Second)
	cases := map[string]struct {
		end  func(j *Job, first, second wire.TaskID) bool
		code result.Code
		ran  result.Ran
	}{
		"failed": {func(j *Job, a, _ wire.TaskID) bool { return j.Apply(outcome(a, wire.StateFailed, 0)) }, result.TaskFailed, result.RanYes},
		"timeout": {func(j *Job, a, _ wire.TaskID) bool {
			return j.Apply(outcome(a, wire.StateFailed, result.TargetTimeout))
		}, result.TargetTimeout, result.RanUnknown},
		"timeout after done": {func(j *Job, a, b wire.TaskID) bool {
			j.Apply(outcome(b, wire.StateDone, 0))
			return j.Apply(outcome(a, wire.StateFailed, result.TargetTimeout))
		}, result.TargetTimeout, result.RanYes},
		"failed with a refusal's code": {func(j *Job, a, _ wire.TaskID) bool {
			return j.Apply(outcome(a, wire.StateFailed, result.GrantExpired))
		}, result.OutcomeUnknown, result.RanUnknown},
		"duplicate start": {func(j *Job, a, _ wire.TaskID) bool {
			return j.Apply(outcome(a, wire.StateRefused, result.DuplicateStart))
		}, result.OutcomeUnknown, result.RanUnknown},
		"undefined state": {func(j *Job, a, _ wire.TaskID) bool { return j.Apply(outcome(a, 99, 0)) }, result.OutcomeUnknown, result.RanUnknown},
		"lost":            {func(j *Job, a, _ wire.TaskID) bool { return j.MarkLost(int(a.Index)) }, result.TargetLost, result.RanUnknown},
		"large result": {func(j *Job, a, _ wire.TaskID) bool {
			return j.Apply(wire.Outcome{Task: a, State: wire.StateDone, Result: make([]byte, 9)})
		}, result.ResultTooLarge, result.RanYes},
		"cancelled while running": {func(j *Job, a, _ wire.TaskID) bool {
			j.Apply(outcome(a, wire.StateRunning, 0))
			return j.Cancel()
		}, result.Cancelled, result.RanUnknown},
		"expired while outstanding": {func(j *Job, _, _ wire.TaskID) bool { return j.Expire(late) }, result.DeadlineExceeded, result.RanUnknown},
		"expired after refusals": {func(j *Job, a, b wire.TaskID) bool {
			j.Apply(outcome(a, wire.StateRefused, result.GrantExpired))
			j.Apply(outcome(b, wire.StateNeverSeen, 0))
			return j.Expire(late)
		}, result.ExpiredInQueue, result.NotRun},
		"cancelled after refusals": {func(j *Job, a, b wire.TaskID) bool {
			j.Apply(outcome(a, wire.StateRefused, result.SlotsFull))
			j.Apply(outcome(b, wire.StateRefused, 0))
			return j.Cancel()
		}, result.CancelledInQueue, result.NotRun},
		"another reason": {func(j *Job, _, _ wire.TaskID) bool { return j.Fail(result.New(result.Stopping, "")) }, result.Stopping, result.RanUnknown},
	}
	for name, c := range cases {
		j := newJob(3)
		finished := c.end(j, sendNext(t, j), sendNext(t, j))
		a, ok := j.Answer()
		if !finished || !ok || a.Results != nil || a.Err.Code != c.code || a.Err.Ran != c.ran {
			t.Errorf("%s: finished %v, answer %v %+v", name, finished, ok, a.Err)
		}
		if j.Waiting() != 0 {
			t.Errorf("%s: tasks still wait after the end", name)
		}
	}
}

// Guards against outcomes of another attempt, job or entry that change a task, and
// against tasks that count as outstanding forever after their job failed.
func TestIgnoredOutcomes(t *testing.T) {
	j := newJob(3)
	first, second := sendNext(t, j), sendNext(t, j)
	j.Apply(outcome(first, wire.StateRefused, result.GrantExpired))
	again := sendNext(t, j)
	if again.Index != first.Index || again.Attempt != 2 {
		t.Fatalf("the next attempt after a refusal is %v", again)
	}
	foreign := second
	foreign.Job.Entry++
	unsent := second
	unsent.Attempt++
	for _, id := range []wire.TaskID{foreign, unsent, {Job: testID, Index: 3, Attempt: 1}, {Job: testID, Index: 2}, first} {
		j.Apply(outcome(id, wire.StateFailed, 0))
	}
	j.Apply(outcome(second, wire.StateDone, 0))
	j.Apply(outcome(second, wire.StateDone, 0))
	if got := j.Ignored(); got != (Ignored{Late: 1, Duplicate: 1, Unmatched: 4}) {
		t.Fatalf("ignored %+v", got)
	}
	j.Expire(epoch.Add(time.Second))
	if got := j.ToCancel(); !slices.Equal(got, []wire.TaskID{again}) || j.OutstandingCount() != 1 {
		t.Fatalf("to cancel %v, outstanding %d", got, j.OutstandingCount())
	}
	j.Apply(outcome(again, wire.StateDone, 0))
	if len(j.ToCancel()) != 0 || j.OutstandingCount() != 0 || j.Ignored().Late != 2 {
		t.Fatalf("to cancel %v, outstanding %d", j.ToCancel(), j.OutstandingCount())
	}
}

// Guards against a job that every target refuses and that is retried until its
// deadline.
func TestAttemptsAreBounded(t *testing.T) {
	j := newJob(1)
	for i := 1; i < MaxAttempts; i++ {
		if j.Apply(outcome(sendNext(t, j), wire.StateRefused, result.TargetRefused)) {
			t.Fatalf("the job ended at attempt %d", i)
		}
	}
	if !j.Apply(outcome(sendNext(t, j), wire.StateNeverSeen, 0)) {
		t.Fatal("the job did not end at the last attempt")
	}
	if a, _ := j.Answer(); a.Err.Code != result.AttemptsSpent || a.Err.Ran != result.NotRun {
		t.Fatalf("answer %+v", a.Err)
	}
}

// Guards against sending the longest task last, which delays the whole answer.
func TestLongestFirst(t *testing.T) {
	j := newJob(4)
	j.SortWaiting(func(i int) time.Duration { return time.Duration([]int{2, 5, 2, 9}[i]) })
	var got []uint32
	for j.Waiting() > 0 {
		got = append(got, sendNext(t, j).Index)
	}
	if !slices.Equal(got, []uint32{3, 1, 0, 2}) {
		t.Fatalf("order %v", got)
	}
}

// model tracks independently of the job which tasks may have run and which did.
type model struct {
	mayRun, ran map[uint32]bool
	endCount    int
}

// step applies one random action, selected by n, and reports whether the job kept
// its invariants.
func (m *model) step(j *Job, n int) bool {
	states := []wire.OutcomeState{wire.StateRunning, wire.StateDone, wire.StateDone, wire.StateDone, wire.StateFailed, wire.StateRefused, wire.StateNeverSeen, wire.StateUnknown}
	index, state := n%3, states[n/12%len(states)]
	switch n / 3 % 4 {
	case 0, 1:
		id, ok := j.MarkSent(index)
		if ok && m.mayRun[id.Index] {
			return false
		}
		m.mayRun[uint32(index)] = m.mayRun[uint32(index)] || ok
		return true
	case 2:
		id := wire.TaskID{Job: testID, Index: uint32(index), Attempt: uint32(n/97%3 + 1)}
		if j.IsOutstanding(index) && id.Attempt == j.taskID(index).Attempt {
			m.observe(j, id.Index, state)
		}
		return m.ended(j.Apply(outcome(id, state, 0)))
	}
	switch n / 12 % 10 {
	case 0:
		return m.ended(j.Cancel())
	case 1:
		return m.ended(j.MarkLost(index))
	}
	return true
}

func (m *model) observe(j *Job, index uint32, s wire.OutcomeState) {
	if j.Ended() {
		return
	}
	m.ran[index] = m.ran[index] || s == wire.StateDone || s == wire.StateFailed
	if s == wire.StateRefused || s == wire.StateNeverSeen {
		m.mayRun[index] = false
	}
}

func (m *model) ended(finished bool) bool {
	if finished {
		m.endCount++
	}
	return m.endCount <= 1
}

func (m *model) wantRan() result.Ran {
	for i := range uint32(3) {
		if m.ran[i] {
			return result.RanYes
		}
	}
	for i := range uint32(3) {
		if m.mayRun[i] {
			return result.RanUnknown
		}
	}
	return result.NotRun
}

// Guards against a partial answer, a second answer, a second start of a task that
// may have run, and a Ran that contradicts the outcomes, in any sequence of sends
// and outcomes.
func TestRandomOutcomes(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(20261)
	p.MinSuccessfulTests = 2000
	props := gopter.NewProperties(p)
	props.Property("the answer follows the outcomes", prop.ForAll(func(steps []int) bool {
		j, m := newJob(3), &model{mayRun: map[uint32]bool{}, ran: map[uint32]bool{}}
		for _, n := range steps {
			if !m.step(j, n) {
				return false
			}
			a, ok := j.Answer()
			if !ok {
				continue
			}
			complete := j.Done() == 3 && len(a.Results) == 3 && string(a.Results[2]) == "2"
			return m.endCount == 1 && (a.Err == nil && complete || a.Results == nil && a.Err.Ran == m.wantRan())
		}
		return m.endCount == 0
	}, gen.SliceOfN(60, gen.IntRange(0, 9999))))
	props.TestingRun(t)
}

// Guards against results of many jobs that exhaust the entry's memory together, and against a job that is reported as not
// run although a task has run.
func TestResultThatDoesNotFitEndsTheJob(t *testing.T) {
	j := newJob(2)
	left := 7
	j.spec.HoldResult = func(bytes int) bool {
		left -= bytes
		return left >= 0
	}
	ids := []wire.TaskID{sendNext(t, j), sendNext(t, j)}
	for _, id := range ids {
		j.Apply(wire.Outcome{Task: id, State: wire.StateDone, Result: make([]byte, 5)})
	}
	a, ok := j.Answer()
	if !ok || a.Err == nil || a.Err.Code != result.AnswerDropped || a.Err.Ran != result.RanYes || len(a.Results) > 0 {
		t.Errorf("answered %t: %+v", ok, a)
	}
	if j.OutstandingCount() != 0 || j.tasks[0].result != nil {
		t.Errorf("%d tasks outstanding, or results still held", j.OutstandingCount())
	}
}

// Guards against results that an ended job keeps until its deadline, and against an answer that loses them.
func TestDeliveredResultsAreReleased(t *testing.T) {
	j := newJob(1)
	j.Apply(wire.Outcome{Task: sendNext(t, j), State: wire.StateDone, Result: []byte("r")})
	answer, _ := j.Answer()
	j.ReleaseResults()
	if again, ok := j.Answer(); !ok || len(again.Results) != 0 || j.tasks[0].result != nil {
		t.Errorf("answered %t, results %q, %q are kept", ok, again.Results, j.tasks[0].result)
	}
	if len(answer.Results) != 1 || string(answer.Results[0]) != "r" {
		t.Errorf("the delivered answer has %q", answer.Results)
	}
}
