package runs_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func runID(index uint32) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "5c0e7a21d94b36f8", Index: index}, Attempt: 1}
}

func newTable() *runs.Table {
	t := runs.New()
	t.SetCapacity(workload.Resources{CPU: 8000, Memory: 1000})
	return t
}

func admit(t *testing.T, table *runs.Table, index uint32, cpu int64, ordered int) *runs.Run {
	t.Helper()
	if end := table.Admit(runs.Run{ID: runID(index), Need: workload.Resources{CPU: cpu}, SentAt: at(ordered)}); end != 0 {
		t.Fatalf("run %d: %s", index, end)
	}
	return table.Get(runID(index))
}

func listed(ids ...uint32) map[workload.RunID]bool {
	m := make(map[workload.RunID]bool)
	for _, i := range ids {
		m[runID(i)] = true
	}
	return m
}

// Guards against a start beyond the capacity, and against two runs of one task.
func TestAdmitCountsWhatMayRun(t *testing.T) {
	table := newTable()
	r := admit(t, table, 1, 5000, 0)
	r.State, r.StopRequested = runs.Unconfirmed, true
	if end := table.Admit(runs.Run{ID: runID(2), Need: workload.Resources{CPU: 3001}}); end != wire.EndNoRoom {
		t.Errorf("a start beyond the capacity: %s", end)
	}
	again := runID(1)
	again.Attempt = 2
	if end := table.Admit(runs.Run{ID: again, Need: workload.Resources{CPU: 1}}); end != wire.EndNotRun {
		t.Errorf("a second run of a task: %s", end)
	}
	table.Remove(runID(1))
	if free := table.Free().CPU; free != 8000 {
		t.Errorf("free after the end: %d", free)
	}
}

// Guards against a run that is taken as ended because a listing lacks it that was
// asked for before the run was confirmed: answers overtake each other.
func TestListingSaysNothingOfLaterRuns(t *testing.T) {
	table := newTable()
	admit(t, table, 1, 1000, 0)
	// Two inquiries were asked at 0 and 10 and answered in the same millisecond;
	// the first answer was made after the start, the second one before.
	table.Apply(runs.Listing{RequestedAt: at(0), ReceivedAt: at(20), Running: listed(1)})
	if ended := table.Apply(runs.Listing{RequestedAt: at(10), ReceivedAt: at(20)}); len(ended) > 0 {
		t.Fatalf("ended by an answer from before its start: %+v", ended)
	}
	ended := table.Apply(runs.Listing{RequestedAt: at(21), ReceivedAt: at(22)})
	if len(ended) != 1 || ended[0].End != wire.EndStopped {
		t.Errorf("a run that is gone: %+v", ended)
	}
}

// Guards against room that is given away while an order without an answer may
// still be carried out.
func TestUnansweredStartKeepsItsRoom(t *testing.T) {
	table := newTable()
	r := admit(t, table, 1, 8000, 0)
	r.State, r.StopRequested = runs.Unconfirmed, true
	if ended := table.Apply(runs.Listing{RequestedAt: at(100), ReceivedAt: at(101)}); len(ended) > 0 {
		t.Fatalf("ended before its stop was acknowledged: %+v", ended)
	}
	r.StopAckedAt = at(200)
	if ended := table.Apply(runs.Listing{RequestedAt: at(199), ReceivedAt: at(201)}); len(ended) > 0 {
		t.Fatalf("ended by an inquiry from before the stop: %+v", ended)
	}
	if ended := table.Apply(runs.Listing{RequestedAt: at(201), ReceivedAt: at(202)}); len(ended) != 1 || ended[0].End != wire.EndStopped {
		t.Errorf("after the stop: %+v", ended)
	}
	if table.Len() != 0 || table.Free().CPU != 8000 {
		t.Errorf("%d runs, %d free", table.Len(), table.Free().CPU)
	}
}

// Guards against an end that the target lists being reported as another one.
func TestListedEndsAreReported(t *testing.T) {
	table := newTable()
	admit(t, table, 1, 1000, 0)
	admit(t, table, 2, 1000, 1)
	ended := table.Apply(runs.Listing{RequestedAt: at(5), ReceivedAt: at(6), Running: listed(2), Ended: map[workload.RunID]runs.EndStatus{
		runID(1): {End: wire.EndFailed, Reason: "failed"},
	}})
	if len(ended) != 1 || ended[0].End != wire.EndFailed || ended[0].Run.ID != runID(1) {
		t.Errorf("%+v", ended)
	}
	if r := table.Get(runID(2)); r.State != runs.Running {
		t.Errorf("a listed run is not taken as running")
	}
}

// Guards against freed room that goes to whoever asks first: work of one entry
// then waits behind less urgent work of another.
func TestFreedRoomIsShownToTheMostUrgent(t *testing.T) {
	a, b, c := runs.Owner{Name: "a"}, runs.Owner{Name: "b"}, runs.Owner{Name: "c"}
	free := workload.Resources{CPU: 3000}
	need := workload.Resources{CPU: 2500}
	var o runs.Offers
	o.SetBacklog(a, runs.Backlog{Tasks: 5, Key: at(200), MinNeed: need})
	o.SetBacklog(b, runs.Backlog{Tasks: 1, Key: at(100), MinNeed: need})
	until := o.Update(free, at(0))
	if o.VisibleTo(a) || !o.VisibleTo(b) || o.VisibleTo(c) {
		t.Errorf("shown to a %t, b %t, c %t", o.VisibleTo(a), o.VisibleTo(b), o.VisibleTo(c))
	}
	// b does not use it.
	o.Update(free, until)
	if !o.VisibleTo(a) || o.VisibleTo(b) {
		t.Errorf("after the offer ended: shown to a %t, b %t", o.VisibleTo(a), o.VisibleTo(b))
	}
	// Nobody's tasks fit into what is left.
	o.Update(workload.Resources{CPU: 500}, until)
	if !o.VisibleTo(a) || !o.VisibleTo(b) || !o.VisibleTo(c) {
		t.Error("room that no waiting task fits into is kept back")
	}
	o.Remove(a)
	o.SetBacklog(b, runs.Backlog{})
	o.Update(free, until)
	if !o.VisibleTo(c) {
		t.Error("room is kept back although nobody waits")
	}
}

// Guards against entries that are not told of room that decides whether they can
// start anything, and against telling them of changes that do not matter.
func TestNewsOfRoom(t *testing.T) {
	need := workload.Resources{CPU: 3000, Memory: 64}
	room := func(cpu int64) workload.Resources { return workload.Resources{CPU: cpu, Memory: 128000} }
	var o runs.Offers
	idle := runs.Owner{Name: "idle"}
	for _, c := range []struct {
		told, free workload.Resources
		want       bool
	}{
		{room(32000), room(29000), false},
		{room(29000), room(13000), false},
		{room(13000), room(11000), true},
		{room(11000), room(6000), false},
		{room(6000), room(5000), true},
		{room(5000), room(2000), true},
		{room(2000), room(0), false},
		{room(0), room(3000), true},
		{room(32000), workload.Resources{CPU: 32000, Memory: 63}, true},
	} {
		if got := o.ShouldNotify(idle, c.told, c.free, need); got != c.want {
			t.Errorf("from %+v to %+v: %t", c.told, c.free, got)
		}
	}
	if !o.ShouldNotify(idle, room(32000), room(29000), workload.Resources{}) {
		t.Error("a change is kept back before any task has run")
	}
	// An entry that room is kept for hears of all of it, others of their own needs.
	first, second := runs.Owner{Name: "first"}, runs.Owner{Name: "second"}
	o.SetBacklog(first, runs.Backlog{Tasks: 1, Key: at(0), MinNeed: need})
	o.SetBacklog(second, runs.Backlog{Tasks: 1, Key: at(100), MinNeed: workload.Resources{CPU: 500}})
	o.Update(room(4000), at(0))
	if !o.ShouldNotify(first, room(3500), room(4000), need) {
		t.Error("the entry that room is kept for is not told of all of it")
	}
	if o.ShouldNotify(second, room(1200), room(1400), need) || !o.ShouldNotify(second, room(1200), room(400), need) {
		t.Error("an entry with waiting work is not told by its own need")
	}
}
