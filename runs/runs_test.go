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

func admit(t *testing.T, table *runs.Table, index uint32, cpu int64, sentMs int) *runs.Run {
	t.Helper()
	if end := table.Admit(runs.Run{ID: runID(index), Need: workload.Resources{CPU: cpu}, SentAt: at(sentMs)}); end != 0 {
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

// Guards against starts beyond the capacity and against two runs of one task. A run whose
// start is unconfirmed still counts.
func TestAdmitCountsUnconfirmedRuns(t *testing.T) {
	table := newTable()
	r := admit(t, table, 1, 5000, 0)
	r.State, r.StopRequested = runs.Unconfirmed, true
	if end := table.Admit(runs.Run{ID: runID(2), Need: workload.Resources{CPU: 3001}}); end != wire.EndNoRoom {
		t.Errorf("start beyond the capacity: got %s, want no room", end)
	}
	again := runID(1)
	again.Attempt = 2
	if end := table.Admit(runs.Run{ID: again, Need: workload.Resources{CPU: 1}}); end != wire.EndNotRun {
		t.Errorf("second run of a task: got %s, want not run", end)
	}
	table.Remove(runID(1))
	if free := table.Free().CPU; free != 8000 {
		t.Errorf("free CPU after the end: %d, want 8000", free)
	}
}

// Guards against a run that is considered ended because it is missing from a listing that
// was requested before the run was confirmed: responses can arrive out of order.
func TestListingIgnoresLaterConfirmations(t *testing.T) {
	table := newTable()
	admit(t, table, 1, 1000, 0)
	// Two listings are requested at 0 and 10 ms and received in the same millisecond. The
	// first was generated after the start, the second before it.
	table.Apply(runs.Listing{RequestedAt: at(0), ReceivedAt: at(20), Running: listed(1)})
	if ended := table.Apply(runs.Listing{RequestedAt: at(10), ReceivedAt: at(20)}); len(ended) > 0 {
		t.Fatalf("ended by a listing from before its start: %+v", ended)
	}
	ended := table.Apply(runs.Listing{RequestedAt: at(21), ReceivedAt: at(22)})
	if len(ended) != 1 || ended[0].End != wire.EndStopped {
		t.Errorf("run missing from a later listing: got %+v, want one stopped run", ended)
	}
}

// Guards against capacity that is freed while the target may still carry out a start
// request that got no response.
func TestUnansweredStartKeepsItsCapacity(t *testing.T) {
	table := newTable()
	r := admit(t, table, 1, 8000, 0)
	r.State, r.StopRequested = runs.Unconfirmed, true
	if ended := table.Apply(runs.Listing{RequestedAt: at(100), ReceivedAt: at(101)}); len(ended) > 0 {
		t.Fatalf("ended before its stop was acknowledged: %+v", ended)
	}
	r.StopAckedAt = at(200)
	if ended := table.Apply(runs.Listing{RequestedAt: at(199), ReceivedAt: at(201)}); len(ended) > 0 {
		t.Fatalf("ended by a listing that was requested before the stop was acknowledged: %+v", ended)
	}
	if ended := table.Apply(runs.Listing{RequestedAt: at(201), ReceivedAt: at(202)}); len(ended) != 1 || ended[0].End != wire.EndStopped {
		t.Errorf("after the stop: got %+v, want one stopped run", ended)
	}
	if table.Len() != 0 || table.Free().CPU != 8000 {
		t.Errorf("%d runs and %d CPU free after the stop, want 0 and 8000", table.Len(), table.Free().CPU)
	}
}

// Guards against reporting a listed end with another kind of end or for another run.
func TestListedEndsAreReported(t *testing.T) {
	table := newTable()
	admit(t, table, 1, 1000, 0)
	admit(t, table, 2, 1000, 1)
	ended := table.Apply(runs.Listing{RequestedAt: at(5), ReceivedAt: at(6), Running: listed(2), Ended: map[workload.RunID]runs.ListedEnd{
		runID(1): {End: wire.EndFailed, Reason: "failed"},
	}})
	if len(ended) != 1 || ended[0].End != wire.EndFailed || ended[0].Run.ID != runID(1) {
		t.Errorf("got %+v, want only the first run, as failed", ended)
	}
	if r := table.Get(runID(2)); r.State != runs.Running {
		t.Errorf("a run that is listed as running has another state")
	}
}

// Guards against a run that ends because a listing leaves it out that may leave out runs.
func TestIncompleteListingProvesNoAbsence(t *testing.T) {
	table := newTable()
	admit(t, table, 1, 1000, 0)
	admit(t, table, 2, 1000, 1)
	table.Apply(runs.Listing{RequestedAt: at(0), ReceivedAt: at(2), Running: listed(1, 2)})
	l := runs.Listing{RequestedAt: at(5), ReceivedAt: at(6), Incomplete: true, Ended: map[workload.RunID]runs.ListedEnd{runID(1): {End: wire.EndDone}}}
	if ended := table.Apply(l); len(ended) != 1 || ended[0].Run.ID != runID(1) || table.Get(runID(2)) == nil {
		t.Errorf("ended %+v, want only the run that is listed as ended", ended)
	}
}

// Guards against freed capacity that goes to the first entry to request it: urgent work of
// one entry would wait behind less urgent work of another.
func TestFreeCapacityIsOfferedToMostUrgentEntry(t *testing.T) {
	a, b, c := runs.Owner{Name: "a"}, runs.Owner{Name: "b"}, runs.Owner{Name: "c"}
	free := workload.Resources{CPU: 3000}
	need := workload.Resources{CPU: 2500}
	var o runs.Offers
	o.SetBacklog(a, runs.Backlog{Tasks: 5, Key: at(200), MinNeed: need})
	o.SetBacklog(b, runs.Backlog{Tasks: 1, Key: at(100), MinNeed: need})
	until := o.Update(free, at(0))
	if o.VisibleTo(a) || !o.VisibleTo(b) || o.VisibleTo(c) {
		t.Errorf("visible to a %t, b %t, c %t; want b only", o.VisibleTo(a), o.VisibleTo(b), o.VisibleTo(c))
	}
	// b lets the offer expire.
	o.Update(free, until)
	if !o.VisibleTo(a) || o.VisibleTo(b) {
		t.Errorf("after the offer to b expired: visible to a %t, b %t; want a only", o.VisibleTo(a), o.VisibleTo(b))
	}
	// No waiting task fits into the free capacity.
	o.Update(workload.Resources{CPU: 500}, until)
	if !o.VisibleTo(a) || !o.VisibleTo(b) || !o.VisibleTo(c) {
		t.Error("capacity that no waiting task fits into is reserved")
	}
	o.Remove(a)
	o.SetBacklog(b, runs.Backlog{})
	o.Update(free, until)
	if !o.VisibleTo(c) {
		t.Error("capacity is reserved although no task waits")
	}
}

// Guards against entries that are not notified of capacity that decides whether they can
// start tasks, and against notifications of irrelevant changes.
func TestShouldNotify(t *testing.T) {
	need := workload.Resources{CPU: 3000, Memory: 64}
	freeCPU := func(cpu int64) workload.Resources { return workload.Resources{CPU: cpu, Memory: 128000} }
	var o runs.Offers
	idle := runs.Owner{Name: "idle"}
	for _, c := range []struct {
		lastSent, free workload.Resources
		want           bool
	}{
		{freeCPU(32000), freeCPU(29000), false},
		{freeCPU(29000), freeCPU(13000), false},
		{freeCPU(13000), freeCPU(11000), false},
		{freeCPU(11000), freeCPU(6000), false},
		{freeCPU(6000), freeCPU(3000), false},
		{freeCPU(3000), freeCPU(2999), true},
		{freeCPU(5000), freeCPU(2000), true},
		{freeCPU(2000), freeCPU(0), false},
		{freeCPU(0), freeCPU(3000), true},
		{freeCPU(32000), workload.Resources{CPU: 32000, Memory: 63}, true},
	} {
		if got := o.ShouldNotify(idle, c.lastSent, c.free, need); got != c.want {
			t.Errorf("from %+v to %+v: notify %t", c.lastSent, c.free, got)
		}
	}
	if !o.ShouldNotify(idle, freeCPU(32000), freeCPU(29000), workload.Resources{}) {
		t.Error("no notification of a change before any task has run")
	}
	// The entry that holds the offer is notified of every change, others by their own need.
	first, second := runs.Owner{Name: "first"}, runs.Owner{Name: "second"}
	o.SetBacklog(first, runs.Backlog{Tasks: 1, Key: at(0), MinNeed: need})
	o.SetBacklog(second, runs.Backlog{Tasks: 1, Key: at(100), MinNeed: workload.Resources{CPU: 500}})
	o.Update(freeCPU(4000), at(0))
	if !o.ShouldNotify(first, freeCPU(3500), freeCPU(4000), need) {
		t.Error("the entry that holds the offer is not notified of a small change")
	}
	if o.ShouldNotify(second, freeCPU(1200), freeCPU(1400), need) || !o.ShouldNotify(second, freeCPU(1200), freeCPU(400), need) {
		t.Error("an entry with a backlog is not notified by its own need")
	}
}
