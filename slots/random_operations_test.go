package slots

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

var operationType = reflect.TypeFor[operation]()

var entryNames = []string{"a", "b", "c"}

// randomTest applies random operations to a table and records which starts it
// accepted and which attempts it reported as not run.
type randomTest struct {
	*fixture
	incarnations [3]wire.Incarnation
	issued       []Allocation
	starts       map[wire.TaskID]int  // accepted starts by identity, without those that the target refused
	notRun       map[wire.TaskID]bool // attempts reported as refused or never seen
	violation    string
}

func newRandomTest(t *testing.T) *randomTest {
	r := &randomTest{
		fixture:      newFixture(t, Options{Slots: 5, MaxIdentities: 20, MaxRetainedBytes: 2000, EntryRetention: 2 * time.Second}, entryNames...),
		incarnations: [3]wire.Incarnation{1, 2, 3},
		starts:       map[wire.TaskID]int{},
		notRun:       map[wire.TaskID]bool{},
	}
	r.Table.reserve.mode = "learnt" // the adaptive reserve, so that both kinds of grants occur
	return r
}

func (r *randomTest) recordIfNotRun(out wire.Outcome) {
	if out.State == wire.StateRefused || out.State == wire.StateNeverSeen {
		r.notRun[out.Task] = true
	}
}

func (r *randomTest) apply(op operation) {
	r.now = r.now.Add(time.Duration(op.Millis) * 4 * time.Millisecond)
	name := entryNames[op.Entry]
	id := task(r.incarnations[op.Entry], uint64(op.Job), uint32(op.Grant%3))
	switch op.Kind {
	case 0:
		if op.Job == 0 {
			r.incarnations[op.Entry] += 10
		}
		r.EntryConnected(name, r.incarnations[op.Entry], r.now)
	case 1:
		r.EntryDisconnected(name, r.now)
	case 2:
		r.Heartbeat(name, r.now)
	case 3:
		r.SetDemand(name, wire.Demand{Waiting: uint32(op.Job), Key: wire.OrderKey(op.Grant), Class: wire.Class(op.Grant % 2)}, r.now)
	case 4, 5, 6:
		r.startTask(name, id, op)
	case 7:
		r.finishTask(op)
	case 8:
		r.recordIfNotRun(r.Query(name, &wire.Query{Tasks: []wire.TaskID{id}}, r.now)[0])
	case 9:
		ack := &wire.Ack{Tasks: []wire.TaskID{id}}
		r.Ack(name, ack, r.now)
	case 10:
		for _, v := range r.Revocations(r.now) {
			for _, g := range v.Revoke.Grants {
				g.Slots = uint32(op.Grant % 3)
				r.Return(v.Entry, wire.Return{Grants: []wire.GrantSlots{g}}, r.now)
			}
		}
	}
	r.issued = append(r.issued, r.Allocate(r.now)...)
}

func (r *randomTest) startTask(name string, id wire.TaskID, op operation) {
	grant := wire.GrantID{Agent: agentIncarnation, Seq: uint64(op.Grant)}
	if n := len(r.issued); n > 0 && op.Grant > 8 {
		a := r.issued[n-1-int(op.Grant)%min(n, 8)]
		grant, name = a.Grant.ID, a.Entry
		id.Job.Entry = r.find(name).incarnation
	}
	s := startMessage(id, grant)
	s.Class = wire.Class(op.Millis % 2)
	ok, out := r.start(name, s)
	if !ok {
		r.recordIfNotRun(out)
		return
	}
	r.starts[id.Identity()]++
	if r.starts[id.Identity()] > 1 {
		r.violation = fmt.Sprintf("identity %v started twice", id)
	}
	if r.notRun[id] {
		r.violation = fmt.Sprintf("attempt %d of %v started after it was reported as not run", id.Attempt, id)
	}
}

func (r *randomTest) finishTask(op operation) {
	ids := slices.SortedFunc(maps.Keys(r.running), func(a, b wire.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job.Entry, b.Job.Entry), cmp.Compare(a.Job.Seq, b.Job.Seq))
	})
	if len(ids) == 0 {
		return
	}
	id := r.running[ids[0]].task
	out := doneOutcome(id, int(op.Job)*100)
	if op.Grant%4 == 0 {
		out = wire.Outcome{Task: id, State: wire.StateRefused}
		r.starts[id.Identity()]--
		r.notRun[id] = true
	}
	r.Finish(id, out, r.now)
}

func (r *randomTest) check() string {
	s := r.Stats(r.now)
	if s.Running+s.Granted > 5 {
		return fmt.Sprintf("%d running and %d granted on 5 slots", s.Running, s.Granted)
	}
	if s.RetainedBytes > 2000 || s.Identities > 3*25 {
		return fmt.Sprintf("retained bytes or identities exceed their bound: %+v", s)
	}
	return r.violation
}
