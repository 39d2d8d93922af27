package slots

import (
	"container/list"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// outcomeOverheadBytes is the approximate size of a retained outcome without its
// result and reason.
const outcomeOverheadBytes = 256

// retainedOutcome is an outcome that the table keeps until the entry acknowledges
// it or it exceeds a bound of Options.
type retainedOutcome struct {
	rec     *record
	outcome wire.Outcome
	bytes   int
	endedAt time.Time
	entry   *entry
	element *list.Element
}

// Start decides whether a task may start. received is when the message arrived,
// from which its TimeLeft counts; now is the time of the decision.
//
// If it returns true, the task holds a slot and must be run and ended by Finish or
// Detach. Otherwise the task must not be run and the outcome is the answer:
// StateRefused if the attempt did not run and never will, or, for an identity that
// was or may have been started before, what is known about it.
//
// A start under an unexpired grant consumes one of its slots even if the start is
// refused, because the entry counts the slot as used; only a duplicate of an
// accepted start does not. A start under a grant of an earlier agent incarnation
// is answered as unknown: that incarnation may have accepted the same start.
func (t *Table) Start(name string, s *wire.Start, received, now time.Time) (bool, wire.Outcome) {
	t.advance(now)
	sender := t.find(name)
	owner := t.owner(s.Task.Job.Entry)
	if sender == nil || owner == nil {
		return false, unknown(s.Task, result.OutcomeUnknown, "the entry's incarnation is not known to this agent")
	}
	rec, belowMark := owner.ids.get(s.Task)
	if rec != nil && rec.state != stateBarred && rec.attempt == s.Task.Attempt {
		return false, knownOutcome(rec, s.Task)
	}
	g := t.lookupGrant(sender, s.Grant)
	if g != nil {
		t.useSlot(g)
	}
	t.updateDemand(sender, s, g)
	if s.Grant.Agent != t.agent {
		return false, unknown(s.Task, result.OutcomeUnknown, "the grant is from an earlier incarnation of this agent")
	}
	if belowMark {
		return false, unknown(s.Task, result.OutcomeUnknown, "the job is below the low-water mark of its entry")
	}
	if rec != nil && !startable(rec, s.Task) {
		return false, notStartableOutcome(rec, s.Task)
	}
	if code, reason := t.refusal(sender, owner, g, s, received); code != 0 {
		t.bar(owner, s.Task)
		return false, refused(s.Task, code, reason)
	}
	t.begin(owner, s)
	return true, wire.Outcome{}
}

// updateDemand sets the entry's demand to the one in a start. If the start has none
// but names an unexpired grant, it removes the task from the last known demand.
func (t *Table) updateDemand(e *entry, s *wire.Start, g *grant) {
	switch {
	case s.Demand != nil && e.connected:
		e.demand = *s.Demand
	case g != nil && e.demand.Waiting > 0:
		e.demand.Waiting--
	}
}

// startable reports whether an identity with a record may start under the task's
// attempt: the attempt is higher than the record's, and no attempt so far ran.
func startable(rec *record, task wire.TaskID) bool {
	if rec.attempt >= task.Attempt {
		return false
	}
	return rec.state == stateBarred || rec.refusedByTarget()
}

func (rec *record) refusedByTarget() bool {
	return rec.state == stateRetained && rec.retained.outcome.State == wire.StateRefused
}

// notStartableOutcome returns the answer to a start of an identity that may not start.
func notStartableOutcome(rec *record, task wire.TaskID) wire.Outcome {
	if rec.state == stateBarred || rec.refusedByTarget() {
		return refused(task, result.IdentityBarred, "")
	}
	return unknown(task, result.DuplicateStart, "")
}

// refusal returns the code and detail of the first check that a start fails, or 0
// if it passes all.
func (t *Table) refusal(sender, owner *entry, g *grant, s *wire.Start, received time.Time) (result.Code, string) {
	switch {
	case sender != owner:
		return result.IdentityBarred, "the task belongs to another entry"
	case t.draining:
		return result.Draining, ""
	case s.Revision < t.revision:
		return result.OldRevision, ""
	case g == nil:
		return result.GrantExpired, ""
	case t.clock.Sub(received) >= s.TimeLeft:
		return result.StartTooLate, ""
	case len(t.running)+t.occupied >= t.opts.Slots:
		return result.SlotsFull, ""
	case g.shortOnly && s.Class == wire.ClassLong:
		return result.SlotsFull, "the grant is for short work only"
	}
	return 0, ""
}

func (t *Table) begin(e *entry, s *wire.Start) {
	if rec, _ := e.ids.get(s.Task); rec != nil && rec.retained != nil {
		t.drop(rec.retained)
	}
	rec := e.ids.put(s.Task, stateRunning)
	t.running[s.Task.Identity()] = &run{task: s.Task, entry: e, rec: rec, class: s.Class}
	e.running++
	t.sweep(e)
}

// bar prevents the task's attempt and all lower ones from starting later.
func (t *Table) bar(e *entry, task wire.TaskID) {
	if rec, _ := e.ids.get(task); rec != nil && rec.retained != nil {
		t.drop(rec.retained)
	}
	e.ids.put(task, stateBarred)
	t.sweep(e)
}

func (t *Table) sweep(e *entry) {
	if e.ids.sweepDue() {
		e.ids.sweep(t.drop)
	}
}

// Running reports whether a task's identity holds a slot.
func (t *Table) Running(task wire.TaskID) bool {
	return t.running[task.Identity()] != nil
}

// Finish ends a running task, frees its slot and retains its outcome until the
// outcome is acknowledged or exceeds a bound. An outcome with StateRefused means
// that the target did not run the task; a later attempt may then start here.
// Finish returns false if the task is not running.
func (t *Table) Finish(task wire.TaskID, out wire.Outcome, now time.Time) bool {
	t.advance(now)
	r := t.running[task.Identity()]
	if r == nil {
		return false
	}
	delete(t.running, task.Identity())
	r.entry.running--
	t.preferred = r.entry
	if rec, _ := r.entry.ids.get(task); r.entry.incarnation != task.Job.Entry || rec != r.rec {
		return true
	}
	out.Grant = nil
	k := &retainedOutcome{
		rec:     r.rec,
		outcome: out,
		bytes:   outcomeOverheadBytes + len(out.Result) + len(out.Reason),
		endedAt: t.clock,
		entry:   r.entry,
	}
	r.rec.state = stateRetained
	r.rec.retained = k
	k.element = t.retained.PushBack(k)
	t.retainedBytes += k.bytes
	t.expireOutcomes()
	return true
}

// Detach ends a running task whose work may continue at the target: the outcome is
// retained as by Finish, and the slot counts as occupied until SetOccupied lowers
// the number of occupied slots.
func (t *Table) Detach(task wire.TaskID, out wire.Outcome, now time.Time) bool {
	if !t.Finish(task, out, now) {
		return false
	}
	t.occupied++
	return true
}

// Query answers for tasks that were outstanding when a link was lost: running, the
// retained outcome, or never seen. An answer of never seen also bars the attempt
// and all lower ones from starting later. The answer is unknown where the table no
// longer has the record, and for every task of a query to an earlier agent
// incarnation.
func (t *Table) Query(name string, q *wire.Query, now time.Time) []wire.Outcome {
	t.advance(now)
	out := make([]wire.Outcome, 0, len(q.Tasks))
	for _, task := range q.Tasks {
		if q.Agent != 0 && q.Agent != t.agent {
			out = append(out, unknown(task, result.TargetLost, "the task was sent to an earlier incarnation of this agent"))
			continue
		}
		out = append(out, t.query(name, task))
	}
	return out
}

func (t *Table) query(name string, task wire.TaskID) wire.Outcome {
	e := t.find(name)
	if e == nil || e.incarnation != task.Job.Entry {
		return unknown(task, result.OutcomeUnknown, "the entry's incarnation is not known to this agent")
	}
	rec, belowMark := e.ids.get(task)
	switch {
	case belowMark && t.Running(task):
		return wire.Outcome{Task: task, State: wire.StateRunning}
	case belowMark:
		return unknown(task, result.OutcomeUnknown, "the outcome is no longer retained")
	case rec == nil, startable(rec, task):
		t.bar(e, task)
		return wire.Outcome{Task: task, State: wire.StateNeverSeen}
	case rec.attempt == task.Attempt && rec.state != stateBarred:
		return knownOutcome(rec, task)
	case rec.state == stateBarred, rec.refusedByTarget():
		return wire.Outcome{Task: task, State: wire.StateNeverSeen}
	}
	return unknown(task, result.DuplicateStart, "")
}

// Ack discards the outcomes that the entry acknowledges, and raises its low-water
// mark to ack.BelowSeq.
func (t *Table) Ack(name string, ack *wire.Ack, now time.Time) {
	t.advance(now)
	e := t.find(name)
	if e == nil {
		return
	}
	for _, task := range ack.Tasks {
		if e.incarnation != task.Job.Entry {
			continue
		}
		if rec, _ := e.ids.get(task); rec != nil && rec.retained != nil && rec.attempt == task.Attempt {
			t.drop(rec.retained)
		}
	}
	if ack.BelowSeq > e.ids.lowWaterMark {
		e.ids.lowWaterMark = ack.BelowSeq
		e.ids.sweep(t.drop)
	}
	t.sweep(e)
}

// drop discards a retained outcome. The record of a refused attempt still says that
// the attempt did not run.
func (t *Table) drop(k *retainedOutcome) {
	k.rec.state = stateDiscarded
	if k.outcome.State == wire.StateRefused {
		k.rec.state = stateBarred
	}
	k.rec.retained = nil
	t.retained.Remove(k.element)
	t.retainedBytes -= k.bytes
}

// dropOutcomes discards the retained outcomes of an entry.
func (t *Table) dropOutcomes(e *entry) {
	for el := t.retained.Front(); el != nil; {
		next := el.Next()
		if k := el.Value.(*retainedOutcome); k.entry == e {
			t.drop(k)
		}
		el = next
	}
}

// expireOutcomes discards retained outcomes that exceed the bounds on age and
// bytes, oldest first.
func (t *Table) expireOutcomes() {
	for front := t.retained.Front(); front != nil; front = t.retained.Front() {
		k := front.Value.(*retainedOutcome)
		if t.retainedBytes <= t.opts.MaxRetainedBytes && t.clock.Before(k.endedAt.Add(t.opts.OutcomeRetention)) {
			return
		}
		t.drop(k)
	}
}

// knownOutcome returns the answer for the attempt that a record holds.
func knownOutcome(rec *record, task wire.TaskID) wire.Outcome {
	switch rec.state {
	case stateRunning:
		return wire.Outcome{Task: task, State: wire.StateRunning}
	case stateRetained:
		return rec.retained.outcome
	}
	return unknown(task, result.OutcomeUnknown, "the outcome is no longer retained")
}

func refused(task wire.TaskID, code result.Code, detail string) wire.Outcome {
	return outcome(task, wire.StateRefused, code, detail)
}

func unknown(task wire.TaskID, code result.Code, detail string) wire.Outcome {
	return outcome(task, wire.StateUnknown, code, detail)
}

func outcome(task wire.TaskID, state wire.OutcomeState, code result.Code, detail string) wire.Outcome {
	return wire.Outcome{Task: task, State: state, Code: code, Reason: result.New(code, detail).Reason}
}
