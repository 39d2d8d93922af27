// Package runs is an agent's table of the runs on its target: what each uses of
// the target's capacity, who asked for it, and how far it is known to have got.
//
// A Table does no I/O and starts no goroutines. It is not safe for concurrent
// use.
package runs

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Owner is the entry process that asked for a run.
type Owner struct {
	Name        string
	Incarnation wire.Incarnation
}

// State says what is known about a run.
type State uint8

const (
	// Starting: the order to start it has no answer yet.
	Starting State = iota
	// Unconfirmed: the start request got no response and may still be carried out.
	Unconfirmed
	// Running: the target has confirmed it.
	Running
)

// Run is one run that was ordered and has not ended.
type Run struct {
	ID            workload.RunID
	Owner         Owner
	Need          workload.Resources
	State         State
	SentAt        time.Time // when the start request was sent
	ConfirmedAt   time.Time // when the target's confirmation arrived
	StopRequested bool      // the run has to be stopped
	StopAckedAt   time.Time // when the target acknowledged the stop; zero: not yet
	StopReason    string    // of the stop
}

// Table holds the runs of one target. Every run that may be on the target is in
// it and counts against the capacity until its end is certain.
type Table struct {
	capacity workload.Resources
	used     workload.Resources
	runs     map[workload.RunID]*Run
	tasks    map[workload.TaskID]workload.RunID
}

// New returns an empty table without capacity.
func New() *Table {
	return &Table{runs: make(map[workload.RunID]*Run), tasks: make(map[workload.TaskID]workload.RunID)}
}

// SetCapacity changes what the target offers.
func (t *Table) SetCapacity(c workload.Resources) { t.capacity = c }

// Free returns what no run uses.
func (t *Table) Free() workload.Resources { return t.capacity.Minus(t.used) }

// Len returns the number of runs.
func (t *Table) Len() int { return len(t.runs) }

// HasRunsOf reports whether any run belongs to an entry process.
func (t *Table) HasRunsOf(owner Owner) bool {
	for _, r := range t.runs {
		if r.Owner == owner {
			return true
		}
	}
	return false
}

// Get returns a run, or nil.
func (t *Table) Get(id workload.RunID) *Run { return t.runs[id] }

// Admit takes a run in, or says why it must not start: there is no room, or
// another run of the task may be on the target.
func (t *Table) Admit(r Run) wire.EndStatus {
	if _, busy := t.tasks[r.ID.Task]; busy {
		return wire.EndNotRun
	}
	if !r.Need.FitsIn(t.Free()) {
		return wire.EndNoRoom
	}
	t.runs[r.ID] = &r
	t.tasks[r.ID.Task] = r.ID
	t.used = t.used.Plus(r.Need)
	return 0
}

// Remove takes out a run whose end is certain.
func (t *Table) Remove(id workload.RunID) {
	r := t.runs[id]
	if r == nil {
		return
	}
	delete(t.runs, id)
	delete(t.tasks, id.Task)
	t.used = t.used.Minus(r.Need)
}

// Select returns the runs for which keep returns true, in the order of their start
// requests.
func (t *Table) Select(keep func(*Run) bool) []*Run {
	var out []*Run
	for _, r := range t.runs {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Run) int {
		if c := a.SentAt.Compare(b.SentAt); c != 0 {
			return c
		}
		return int(a.ID.Task.Index) - int(b.ID.Task.Index)
	})
	return out
}

// EndedRun is a run whose end is certain.
type EndedRun struct {
	Run    *Run
	End    wire.EndStatus
	Reason string
}

// Listing is a target's response to a request for its runs. RequestedAt and ReceivedAt
// are times on this process's clock.
type Listing struct {
	RequestedAt time.Time
	ReceivedAt  time.Time
	Running     map[workload.RunID]bool
	Ended       map[workload.RunID]EndStatus
}

// EndStatus is how a target reports the end of a run.
type EndStatus struct {
	End    wire.EndStatus
	Reason string
}

// Apply compares the table with a listing. It removes and returns the runs whose
// end is certain: those listed as ended, and those that were confirmed or
// stopped before the question was asked and are not listed at all. Answers on
// different connections overtake each other, so a listing says nothing about
// orders that were not settled when it was asked for.
func (t *Table) Apply(l Listing) []EndedRun {
	var ended []EndedRun
	for _, r := range t.Select(func(*Run) bool { return true }) {
		if e, ok := l.Ended[r.ID]; ok {
			reason := e.Reason
			if r.StopRequested {
				reason += ": " + r.StopReason
			}
			ended = append(ended, EndedRun{r, e.End, reason})
			continue
		}
		if l.Running[r.ID] {
			if r.State != Running {
				r.State, r.ConfirmedAt = Running, l.ReceivedAt
			}
			continue
		}
		switch {
		case !r.StopAckedAt.IsZero() && r.StopAckedAt.Before(l.RequestedAt):
			ended = append(ended, EndedRun{r, wire.EndStopped, r.StopReason})
		case r.State == Running && r.ConfirmedAt.Before(l.RequestedAt):
			ended = append(ended, EndedRun{r, wire.EndStopped, "the target does not list it any more"})
		}
	}
	for _, e := range ended {
		t.Remove(e.Run.ID)
	}
	return ended
}

// TargetRestarted handles the end of the target's process, at a time or later; a
// new one may have begun. It removes and returns the runs that the old process had
// confirmed before. Orders that were not settled by then may reach the new one: their
// runs stay, unsure. Those without a stop that is still to be acknowledged are returned
// as well, as the old process may have acknowledged the one that they had.
func (t *Table) TargetRestarted(ended time.Time, reason string) (over []EndedRun, unsure []*Run) {
	for _, r := range t.Select(func(*Run) bool { return true }) {
		if r.State == Running && r.ConfirmedAt.Before(ended) {
			t.Remove(r.ID)
			over = append(over, EndedRun{r, wire.EndStopped, reason})
			continue
		}
		r.State = Unconfirmed
		if !r.StopRequested || !r.StopAckedAt.IsZero() {
			r.StopRequested, r.StopAckedAt = false, time.Time{}
			unsure = append(unsure, r)
		}
	}
	return over, unsure
}

// Clear removes and returns all runs: the target's process has ended for good.
func (t *Table) Clear(reason string) []EndedRun {
	var ended []EndedRun
	for _, r := range t.Select(func(*Run) bool { return true }) {
		t.Remove(r.ID)
		ended = append(ended, EndedRun{r, wire.EndStopped, reason})
	}
	return ended
}
