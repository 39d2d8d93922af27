package slots

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Guards against an entry that has no slots while another has several: idle slots
// are shared equally, also with an entry that connects later.
func TestIdleSlotsAreSharedEqually(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b")
	if a, b := f.unusedSlotsOf("a"), f.unusedSlotsOf("b"); a != 4 || b != 4 {
		t.Fatalf("a has %d, b has %d", a, b)
	}
	f.EntryConnected("c", 3, f.now)
	f.answerRevocations()
	if c := f.unusedSlotsOf("c"); c != 1 {
		t.Fatalf("the later entry has %d slots, want exactly 1 after the revocations", c)
	}
}

func (f *fixture) unusedSlotsOf(name string) int {
	general, short := f.unusedSlots(f.find(name))
	return general + short
}

// answerRevocations returns all revoked slots to the table until no revocation is
// due, and returns the number of revocations.
func (f *fixture) answerRevocations() int {
	f.Helper()
	messages := 0
	for range 20 {
		f.allocate()
		revocations := f.Revocations(f.now)
		if len(revocations) == 0 {
			return messages
		}
		for _, r := range revocations {
			messages++
			f.Return(r.Entry, wire.Return{Grants: r.Revoke.Grants}, f.now)
		}
	}
	f.Fatal("revocations are still due after 20 rounds")
	return 0
}

// Guards against unused grants that stay with entries without demand while another
// entry waits, against revoking the same slots twice, and against revoking slots
// from an entry that needs them.
func TestRevocation(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b", "c")
	f.demand("b", 2, 1, wire.ClassShort)
	f.demand("a", 5, 1, wire.ClassShort)
	f.allocate()
	revoked := map[string]int{}
	for _, r := range f.Revocations(f.now) {
		for _, g := range r.Revoke.Grants {
			revoked[r.Entry] += int(g.Slots)
		}
	}
	if revoked["a"] != 0 || revoked["b"]+revoked["c"] != 2 {
		t.Fatalf("revoked %v; a lacks 2 slots, b can spare 1 and c 2", revoked)
	}
	if again := f.Revocations(f.now); len(again) != 0 {
		t.Fatalf("revocations %v while one is outstanding, want none", again)
	}
}

// Guards against an endless exchange with an entry that returns no slot because its
// starts are in transit, and against an unanswered revocation that blocks the slots
// forever.
func TestUnfulfilledRevocation(t *testing.T) {
	f := newFixture(t, Options{Slots: 2}, "a", "b")
	f.demand("a", 2, 1, wire.ClassShort)
	first := f.Revocations(f.now)
	if len(first) != 1 || first[0].Entry != "b" {
		t.Fatalf("revocations %v, want one of b", first)
	}
	none := wire.GrantSlots{ID: first[0].Revoke.Grants[0].ID}
	f.Return("b", wire.Return{Grants: []wire.GrantSlots{none}}, f.now)
	if again := f.Revocations(f.now); len(again) != 0 {
		t.Fatalf("revocations %v right after an empty return, want none", again)
	}
	f.Heartbeat("b", f.now)
	if again := f.Revocations(f.now); len(again) != 1 {
		t.Fatalf("revocations %v after a heartbeat, want one", again)
	}
	f.now = f.now.Add(DefaultGrantTTL / 2)
	f.Heartbeat("a", f.now)
	f.Heartbeat("b", f.now)
	f.now = epoch.Add(DefaultGrantTTL)
	if got := f.allocate(); got["a"] != 1 {
		t.Fatalf("the grant with the unanswered revocation did not expire: %v", got)
	}
}

// runAtFullLoad finishes a task per round while every entry has waiting tasks and
// uses each granted slot at once. It returns the number of starts per entry.
func (f *fixture) runAtFullLoad(rounds int, keys map[string]wire.OrderKey) map[string]int {
	starts := map[string]int{}
	var active []wire.TaskID
	job := uint64(0)
	for range rounds {
		for name, key := range keys {
			f.demand(name, 100, key, wire.ClassShort)
		}
		f.allocate()
		for _, e := range f.entries {
			for f.unusedSlotsOf(e.name) > 0 {
				job++
				s := startMessage(task(e.incarnation, job, 1), f.usableGrant(e.name))
				f.mustStart(e.name, s)
				starts[e.name]++
				active = append(active, s.Task)
			}
		}
		f.now = f.now.Add(time.Second)
		f.Finish(active[0], doneOutcome(active[0], 0), f.now)
		active = active[1:]
	}
	return starts
}

// Guards against freed slots that do not go to the lowest order key, or that all go
// to one of several entries with equal keys.
func TestFreedSlotsByOrderKeyAndRoundRobin(t *testing.T) {
	equal := newFixture(t, Options{}, "a", "b").runAtFullLoad(100, map[string]wire.OrderKey{"a": 1, "b": 1})
	if equal["a"] < 45 || equal["b"] < 45 {
		t.Errorf("equal keys: %v", equal)
	}
	byKey := newFixture(t, Options{}, "a", "b").runAtFullLoad(100, map[string]wire.OrderKey{"a": 1.1 + keyToleranceSeconds, "b": 1})
	if byKey["a"] > 4 {
		t.Errorf("by key: %v; a must get no more than its initial slots", byKey)
	}
	near := newFixture(t, Options{}, "a", "b").runAtFullLoad(100, map[string]wire.OrderKey{"a": keyToleranceSeconds, "b": 1})
	if near["a"] < 45 || near["b"] < 45 {
		t.Errorf("keys within the tolerance: %v; each entry must get the slots that its tasks free", near)
	}
	roundRobinPolicy := Options{Policy: settings.Policy{Grants: grantsRoundRobin}}
	roundRobin := newFixture(t, roundRobinPolicy, "a", "b").runAtFullLoad(100, map[string]wire.OrderKey{"a": 2, "b": 1})
	if roundRobin["a"] < 45 || roundRobin["b"] < 45 {
		t.Errorf("round robin: %v", roundRobin)
	}
}

// Guards against skewed demand, where a starts constantly and b rarely, that costs a
// message per start or moves the idle slots to one entry.
func TestSkewedDemand(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b")
	messages := 0
	for round := range uint64(200) {
		name := "a"
		if round%20 == 0 {
			name = "b"
		}
		f.demand(name, 1, 1, wire.ClassShort)
		messages += f.answerRevocations()
		s := startMessage(task(f.find(name).incarnation, round, 1), f.usableGrant(name))
		f.mustStart(name, s)
		f.now = f.now.Add(100 * time.Millisecond)
		f.Heartbeat("a", f.now)
		f.Heartbeat("b", f.now)
		f.Finish(s.Task, doneOutcome(s.Task, 0), f.now)
		f.answerRevocations()
		if f.unusedSlotsOf("a") != 4 || f.unusedSlotsOf("b") != 4 {
			t.Fatalf("round %d: a has %d, b has %d", round, f.unusedSlotsOf("a"), f.unusedSlotsOf("b"))
		}
	}
	if messages > 0 {
		t.Errorf("%d revocations although there always were free slots", messages)
	}
}

// Guards against long work that takes every slot, and against a reserve that does
// not follow the slot time of each class.
func TestShortWorkReserve(t *testing.T) {
	f := newFixture(t, Options{Policy: settings.Policy{Reserve: reserveFixed}})
	f.EntryConnected("a", 1, f.now)
	f.demand("a", 20, 1, wire.ClassLong)
	for _, a := range f.Allocate(f.now) {
		long := startMessage(task(1, a.Grant.ID.Seq, 1), a.Grant.ID)
		long.Class = wire.ClassLong
		want, ok := !a.Grant.ShortOnly, false
		for range a.Grant.Slots {
			long.Task.Index++
			ok, _ = f.start("a", long)
			if ok != want {
				t.Fatalf("long task under %+v: accepted %v", a.Grant, ok)
			}
		}
	}
	if n := len(f.running); n != DefaultSlots-2 {
		t.Fatalf("%d long tasks are running", n)
	}
	for _, c := range []struct{ short, long, want int }{{0, 8, 0}, {1, 7, 1}, {3, 5, 3}, {8, 0, 4}} {
		adaptive := reserve{slots: 8}
		adaptive.observe(time.Hour, 4, 4)
		adaptive.observe(time.Hour, c.short, c.long)
		if got := adaptive.size(); got != c.want {
			t.Errorf("short %d, long %d: reserve %d, want %d", c.short, c.long, got, c.want)
		}
	}
}

// Guards against idle slot time that is not counted while tasks wait, and against
// counting idle slots that no waiting task could use.
func TestIdleSlotTime(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b")
	f.now = f.now.Add(time.Second)
	f.demand("a", 3, 1, wire.ClassShort)
	f.now = f.now.Add(time.Second)
	if got := f.Stats(f.now).IdleSlotTime; got != 3*time.Second {
		t.Fatalf("idle slot time %v, want 3 s: three tasks waited one second", got)
	}
}

// Guards against a freed slot that is granted in advance to an entry with several
// unused ones, only because the grant can be sent with that entry's outcome.
func TestFreedSlotGoesToEntryWithoutSlots(t *testing.T) {
	f := newFixture(t, Options{}, "a", "b")
	for job := range uint64(4) {
		f.mustStart("b", startMessage(task(2, job, 1), f.usableGrant("b")))
	}
	f.mustStart("a", startMessage(task(1, 1, 1), f.usableGrant("a")))
	f.Finish(task(1, 1, 1), doneOutcome(task(1, 1, 1), 0), f.now)
	if got := f.allocate(); got["b"] != 1 {
		t.Fatalf("granted %v, want one slot for b", got)
	}
}

// operation is one random call; its fields select the method and its arguments.
type operation struct {
	Kind, Entry, Job, Grant, Millis uint8
}

// Guards against any sequence of operations that lets running tasks and unexpired
// grants exceed the slots, starts an identity twice, or starts an attempt that was
// refused or reported as never seen.
func TestRandomOperations(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20260101)
	params.MinSuccessfulTests = 300
	params.MaxSize = 200
	properties := gopter.NewProperties(params)
	one := gen.Struct(operationType, map[string]gopter.Gen{
		"Kind": gen.UInt8Range(0, 10), "Entry": gen.UInt8Range(0, 2), "Job": gen.UInt8Range(0, 15),
		"Grant": gen.UInt8(), "Millis": gen.UInt8(),
	})
	properties.Property("slots and identities", prop.ForAll(func(ops []operation) string {
		r := newRandomTest(t)
		for _, op := range ops {
			r.apply(op)
			if problem := r.check(); problem != "" {
				return problem
			}
		}
		return ""
	}, gen.SliceOf(one)))
	properties.TestingRun(t)
}

// Guards against grants that expire between the heartbeats of an idle entry, and
// against an idle entry that stops sending and keeps slots that others wait for.
func TestGrantsOfIdleEntry(t *testing.T) {
	f := newFixture(t, Options{Slots: 4}, "a", "b")
	const next = 5 * time.Second
	f.HeartbeatWithInterval("a", next, f.now)
	f.HeartbeatWithInterval("b", next, f.now)
	f.now = f.now.Add(next)
	f.Expire(f.now)
	if got := f.allocate(); len(got) != 0 {
		t.Fatalf("grants expired between announced heartbeats: %v", got)
	}
	f.HeartbeatWithInterval("a", next, f.now)
	f.HeartbeatWithInterval("b", next, f.now)
	f.demand("a", 4, 1, wire.ClassShort)
	if revoked := f.Revocations(f.now); len(revoked) == 0 || revoked[0].Entry != "b" {
		t.Fatalf("not revoked: %v", revoked)
	}
	f.now = f.now.Add(DefaultGrantTTL)
	f.Heartbeat("a", f.now)
	if got := f.allocate(); got["a"] == 0 {
		t.Fatalf("the entry that stopped sending keeps its slots: %v", got)
	}
}
