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
	// Unsure: the order got no answer and may still be carried out.
	Unsure
	// Running: the target has confirmed it.
	Running
)

// Run is one run that was ordered and has not ended.
type Run struct {
	ID       workload.RunID
	Owner    Owner
	Need     workload.Resources
	State    State
	Ordered  time.Time // when the order was sent
	Known    time.Time // when the target had confirmed it
	Stopping bool      // a stop is wanted
	Stopped  time.Time // when the target acknowledged the stop; zero: not yet
	Reason   string    // of the stop
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

// Owns reports whether an entry has a run here.
func (t *Table) Owns(owner Owner) bool {
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
func (t *Table) Admit(r Run) wire.End {
	if _, busy := t.tasks[r.ID.Task]; busy {
		return wire.EndNotRun
	}
	if !r.Need.Fits(t.Free()) {
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

// Of returns the runs for which keep holds, oldest order first.
func (t *Table) Of(keep func(*Run) bool) []*Run {
	var out []*Run
	for _, r := range t.runs {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Run) int {
		if c := a.Ordered.Compare(b.Ordered); c != 0 {
			return c
		}
		return int(a.ID.Task.Index) - int(b.ID.Task.Index)
	})
	return out
}

// Ended is a run whose end is certain.
type Ended struct {
	Run    *Run
	End    wire.End
	Reason string
}

// Listing is a target's answer to a question that was asked at Asked and answered
// at Answered, both on this process's clock.
type Listing struct {
	Asked    time.Time
	Answered time.Time
	Running  map[workload.RunID]bool
	Ended    map[workload.RunID]EndOf
}

// EndOf is how a target says that a run ended.
type EndOf struct {
	End    wire.End
	Reason string
}

// Apply compares the table with a listing. It removes and returns the runs whose
// end is certain: those listed as ended, and those that were confirmed or
// stopped before the question was asked and are not listed at all. Answers on
// different connections overtake each other, so a listing says nothing about
// orders that were not settled when it was asked for.
func (t *Table) Apply(l Listing) []Ended {
	var ended []Ended
	for _, r := range t.Of(func(*Run) bool { return true }) {
		if e, ok := l.Ended[r.ID]; ok {
			reason := e.Reason
			if r.Stopping {
				reason += ": " + r.Reason
			}
			ended = append(ended, Ended{r, e.End, reason})
			continue
		}
		if l.Running[r.ID] {
			if r.State != Running {
				r.State, r.Known = Running, l.Answered
			}
			continue
		}
		switch {
		case !r.Stopped.IsZero() && r.Stopped.Before(l.Asked):
			ended = append(ended, Ended{r, wire.EndStopped, r.Reason})
		case r.State == Running && r.Known.Before(l.Asked):
			ended = append(ended, Ended{r, wire.EndStopped, "the target does not list it any more"})
		}
	}
	for _, e := range ended {
		t.Remove(e.Run.ID)
	}
	return ended
}

// Lose takes in that the target's process has ended, at a time or later, and that a
// new one may have begun. It removes and returns the runs that the old process had
// confirmed before. Orders that were not settled by then may reach the new one: their
// runs stay, unsure. Those without a stop that is still to be acknowledged are returned
// as well, as the old process may have acknowledged the one that they had.
func (t *Table) Lose(ended time.Time, reason string) (over []Ended, unsure []*Run) {
	for _, r := range t.Of(func(*Run) bool { return true }) {
		if r.State == Running && r.Known.Before(ended) {
			t.Remove(r.ID)
			over = append(over, Ended{r, wire.EndStopped, reason})
			continue
		}
		r.State = Unsure
		if !r.Stopping || !r.Stopped.IsZero() {
			r.Stopping, r.Stopped = false, time.Time{}
			unsure = append(unsure, r)
		}
	}
	return over, unsure
}

// Clear removes and returns all runs: the target's process has ended for good.
func (t *Table) Clear(reason string) []Ended {
	var ended []Ended
	for _, r := range t.Of(func(*Run) bool { return true }) {
		t.Remove(r.ID)
		ended = append(ended, Ended{r, wire.EndStopped, reason})
	}
	return ended
}
