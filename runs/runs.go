// Package runs holds an agent's table of the runs on its target: the resources that
// each uses, the entry that requested it, and its last known state.
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

// Owner is the entry process that requested a run. A restarted entry has another
// incarnation.
type Owner struct {
	Name        string
	Incarnation wire.Incarnation
}

// State is the last known state of a run on the target.
type State uint8

const (
	// Starting: the start request has no response yet.
	Starting State = iota
	// Unconfirmed: the start request got no response; the target may still carry it out.
	Unconfirmed
	// Running: the target has confirmed the start.
	Running
)

// Run is a run whose start was requested and whose end is not known.
type Run struct {
	ID            workload.RunID
	Owner         Owner
	Need          workload.Resources
	Route         string // of the run's job
	Alone         bool   // no run of another job may start while this one is in the table
	State         State
	SentAt        time.Time // when the start request was sent
	ConfirmedAt   time.Time // when the target's confirmation arrived
	MayStartLate  bool      // a request to start it, beside the confirmed one, may still be in transit
	StopRequested bool      // the run has to be stopped
	StopAckedAt   time.Time // when the acknowledgement of the stop arrived; zero: not yet
	StopReason    string    // why the stop was requested
	Crashed       bool      // the target's process ended after the start was requested
}

// Table holds the runs of one target. It contains every run that the target may be
// running, and counts each against the capacity until its end is certain.
type Table struct {
	capacity workload.Resources
	used     workload.Resources
	runs     map[workload.RunID]*Run
	tasks    map[workload.TaskID]workload.RunID
}

// New returns an empty table. It admits nothing that needs resources until
// SetCapacity is called.
func New() *Table {
	return &Table{runs: make(map[workload.RunID]*Run), tasks: make(map[workload.TaskID]workload.RunID)}
}

// SetCapacity sets the target's total capacity. Runs that exceed a lower capacity stay
// in the table.
func (t *Table) SetCapacity(c workload.Resources) { t.capacity = c }

// Free returns the unused capacity. It is negative where the capacity was lowered below
// what the runs use.
func (t *Table) Free() workload.Resources { return t.capacity.Minus(t.used) }

// Len returns the number of runs in any state.
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

// HasUnansweredStop reports whether the stop of a run was requested and not acknowledged yet.
func (t *Table) HasUnansweredStop() bool {
	for _, r := range t.runs {
		if r.StopRequested && r.StopAckedAt.IsZero() {
			return true
		}
	}
	return false
}

// RunsOf returns the ids of the runs of an entry process, in the order of their start requests.
func (t *Table) RunsOf(owner Owner) []workload.RunID {
	var ids []workload.RunID
	for _, r := range t.Select(func(r *Run) bool { return r.Owner == owner }) {
		ids = append(ids, r.ID)
	}
	return ids
}

// Get returns the run with the given id, or nil. The run belongs to the table, and
// callers may change its state.
func (t *Table) Get(id workload.RunID) *Run { return t.runs[id] }

// Admit adds a run and returns 0, or returns why it must not start: EndNoRoom if the
// free capacity is too small or either run must be alone, EndNotRun if the target may have
// another run of the task.
func (t *Table) Admit(r Run) wire.EndStatus {
	if _, busy := t.tasks[r.ID.Task]; busy {
		return wire.EndNotRun
	}
	if !r.Need.FitsIn(t.Free()) || t.conflictsAlone(&r) {
		return wire.EndNoRoom
	}
	t.runs[r.ID] = &r
	t.tasks[r.ID.Task] = r.ID
	t.used = t.used.Plus(r.Need)
	return 0
}

// conflictsAlone reports whether a run of another job must be alone, or r must and is not.
func (t *Table) conflictsAlone(r *Run) bool {
	for id, o := range t.runs {
		if id.Task.Job != r.ID.Task.Job && (r.Alone || o.Alone) {
			return true
		}
	}
	return false
}

// AloneOwner returns the owner of a run that must be alone, if there is one.
func (t *Table) AloneOwner() (Owner, bool) {
	for _, r := range t.runs {
		if r.Alone {
			return r.Owner, true
		}
	}
	return Owner{}, false
}

// Remove deletes a run whose end is certain and frees its resources.
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

// EndedRun is a removed run with how and why it ended.
type EndedRun struct {
	Run    *Run
	End    wire.EndStatus
	Reason string
}

// Listing is a target's response to a request for its runs. RequestedAt and ReceivedAt
// are read from this process's clock.
type Listing struct {
	RequestedAt time.Time
	ReceivedAt  time.Time
	Running     map[workload.RunID]bool
	Ended       map[workload.RunID]ListedEnd
	Incomplete  bool // runs may be missing from it
}

// ListedEnd is the end of a run as a target lists it.
type ListedEnd struct {
	End    wire.EndStatus
	Reason string
}

// Apply reconciles the table with a listing. It removes and returns the runs whose
// end is certain: those listed as ended, and those whose start was confirmed or whose
// stop was acknowledged before the listing was requested and that it does not contain.
// Responses on different connections can arrive out of order, so a listing proves
// nothing about requests that were unanswered when it was requested. An incomplete listing ends
// only the runs that it lists as ended.
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
		if l.Incomplete {
			continue
		}
		switch {
		case !r.StopAckedAt.IsZero() && r.StopAckedAt.Before(l.RequestedAt):
			ended = append(ended, EndedRun{r, r.endIfStopped(), r.StopReason})
		case r.State == Running && r.ConfirmedAt.Before(l.RequestedAt):
			ended = append(ended, EndedRun{r, wire.EndStopped, "the target does not list it any more"})
		}
	}
	for _, e := range ended {
		t.Remove(e.Run.ID)
	}
	return ended
}

// endIfStopped returns how a run ended that the target was told to stop and does not have.
func (r *Run) endIfStopped() wire.EndStatus {
	if r.Crashed {
		return wire.EndCrashed
	}
	return wire.EndStopped
}

// TargetRestarted handles the end of the target's process at endedAt or later; a new
// process may have started. It removes and returns, with the given end, the runs that the old process
// confirmed before endedAt. Start requests that were unanswered then may reach the new
// process, so their runs stay as Unconfirmed, also if another request was confirmed. Of these, it returns the runs without a
// pending stop, which the caller has to stop: a stop that was acknowledged may have
// reached the old process only.
func (t *Table) TargetRestarted(endedAt time.Time, end wire.EndStatus, reason string) (ended []EndedRun, unconfirmed []*Run) {
	for _, r := range t.Select(func(*Run) bool { return true }) {
		if r.State == Running && r.ConfirmedAt.Before(endedAt) && !r.MayStartLate {
			t.Remove(r.ID)
			ended = append(ended, EndedRun{r, end, reason})
			continue
		}
		r.State = Unconfirmed
		r.Crashed = r.Crashed || end == wire.EndCrashed
		if !r.StopRequested || !r.StopAckedAt.IsZero() {
			r.StopRequested, r.StopAckedAt = false, time.Time{}
			unconfirmed = append(unconfirmed, r)
		}
	}
	return ended, unconfirmed
}

// Clear removes and returns all runs, with the given end, after the target's process has ended
// for good.
func (t *Table) Clear(end wire.EndStatus, reason string) []EndedRun {
	var ended []EndedRun
	for _, r := range t.Select(func(*Run) bool { return true }) {
		t.Remove(r.ID)
		ended = append(ended, EndedRun{r, end, reason})
	}
	return ended
}
