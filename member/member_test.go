package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
)

type member struct {
	*Membership
	view *standin.LocalStore
}

type fleet struct {
	*testing.T
	store   *standin.Store
	members []member
}

// inFleet runs a test in virtual time with n entries that were not started.
func inFleet(t *testing.T, n int, run func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, store: standin.NewStore(standin.StoreOptions{})}
		for i := range n {
			f.add(fmt.Sprintf("e%d", i), wire.Incarnation(100+i))
		}
		run(f)
		for _, m := range f.members {
			m.tomb.Kill(nil)
			m.tomb.Wait()
		}
	})
}

func (f *fleet) add(name string, i wire.Incarnation) member {
	view := f.store.Local()
	m := member{New(view, wire.Peer{Name: name, Incarnation: i}, Options{}), view}
	f.members = append(f.members, m)
	return m
}

func (f *fleet) start() {
	for _, m := range f.members {
		m.Start()
	}
}

func (f *fleet) set(c standin.StoreFaultChange) {
	f.Helper()
	if err := f.store.Change(c); err != nil {
		f.Error(err)
	}
}

// expect checks the names that a member lists.
func (f *fleet) expect(when string, m member, names ...string) {
	f.Helper()
	var got []string
	for _, p := range m.Snapshot().Peers {
		got = append(got, p.Name)
	}
	if fmt.Sprint(got) != fmt.Sprint(names) {
		f.Errorf("%s: lists %v, want %v", when, got, names)
	}
}

// Guards against an entry that stays unlisted after its lease lapsed during a
// pause, or after its key was deleted by hand.
func TestLapsedLeaseIsCreatedAgain(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		f.expect("at first", f.members[1], "e0")
		f.set(standin.StoreFaultChange{ExpireLeaseOf: Prefix + "e0"})
		time.Sleep(6 * time.Second)
		f.expect("after the next renewal", f.members[1], "e0")
		e, err := f.members[1].view.Get(f.Context(), Prefix+"e0")
		if err != nil {
			f.Fatal(err)
		}
		if err := f.members[1].view.Delete(f.Context(), e.Key, e.Version); err != nil {
			f.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f.expect("after the key was deleted", f.members[1], "e0")
	})
}

// Guards against an entry that needs the store at its start.
func TestStoreDownFromTheStart(t *testing.T) {
	for _, fault := range []standin.StoreFaultChange{{Down: new(true)}, {Hang: new(true)}} {
		inFleet(t, 3, func(f *fleet) {
			f.set(fault)
			f.start()
			time.Sleep(10 * time.Minute)
			f.expect("while the store is down", f.members[0])
			f.set(standin.StoreFaultChange{Down: new(false), Hang: new(false)})
			time.Sleep(DefaultMaxBackoff + 5*time.Second)
			for i, names := range [][]string{{"e1", "e2"}, {"e0", "e2"}, {"e0", "e1"}} {
				f.expect("after the outage", f.members[i], names...)
			}
		})
	}
}

// Guards against a stampede on the store in the first minute after an outage,
// and against calls in step during it.
func TestNoStampedeAfterAnOutage(t *testing.T) {
	const entries = 50
	inFleet(t, entries, func(f *fleet) {
		f.start()
		time.Sleep(10 * time.Second)
		f.set(standin.StoreFaultChange{Down: new(true)})
		time.Sleep(time.Minute)
		f.check(10, 20, 20)
		f.set(standin.StoreFaultChange{Down: new(false)})
		f.check(60, 100, 200)
		for _, m := range f.members {
			if n := len(m.Snapshot().Peers); n != entries-1 {
				f.Errorf("%d peers after the outage", n)
			}
		}
	})
}

// check bounds the calls in each of the next seconds.
func (f *fleet) check(seconds int, writes, reads uint64) {
	var mostWrites, mostReads uint64
	for range seconds {
		before := f.store.Status().Calls
		time.Sleep(time.Second)
		after := f.store.Status().Calls
		mostWrites = max(mostWrites, after.Writes-before.Writes)
		mostReads = max(mostReads, after.Reads-before.Reads)
	}
	f.Logf("at most %d writes and %d reads in a second", mostWrites, mostReads)
	if mostWrites > writes || mostReads > reads {
		f.Errorf("%d writes and %d reads in one second, want at most %d and %d", mostWrites, mostReads, writes, reads)
	}
}

// Guards against live entries vanishing from the list after an outage in which
// every lease lapsed, and against a dead one staying for ever.
func TestRecoveryGrace(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		f.set(standin.StoreFaultChange{Down: new(true)})
		time.Sleep(time.Minute)
		dead := f.members[2]
		dead.tomb.Kill(nil)
		f.expect("during the outage", f.members[0], "e1", "e2")
		f.set(standin.StoreFaultChange{Down: new(false)})
		for range 300 {
			f.expect("after the outage", f.members[0], "e1", "e2")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(DefaultRecoveryGrace)
		f.expect("after the grace", f.members[0], "e1")
	})
}

// Guards against losing a linked peer with the store, against an entry that
// only rumours keep listed, and against reporting rumours on.
func TestPeersFromOtherSources(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.set(standin.StoreFaultChange{Down: new(true)})
		f.start()
		m := f.members[0]
		linked := wire.Peer{Name: "linked", Incarnation: 7}
		m.AddLinked(linked)
		m.AddReported([]wire.Peer{{Name: "heard", Incarnation: 8}, {Name: "linked", Incarnation: 6}, {Name: "e0", Incarnation: 1}})
		before := m.Snapshot()
		f.expect("at first", m, "heard", "linked")
		if len(before.Direct) != 1 || before.Peers[1] != linked || !m.IsLive(8) || m.IsLive(6) {
			f.Errorf("%+v", before)
		}
		time.Sleep(DefaultReportedTTL + 2*time.Second)
		f.expect("after the time to live", m, "linked")
		select {
		case <-before.Changed():
		default:
			f.Error("the old snapshot does not show that it was replaced")
		}
		m.RemoveLinked(wire.Peer{Name: "linked", Incarnation: 6})
		f.expect("after an old link ended", m, "linked")
		m.RemoveLinked(linked)
		f.expect("after the link ended", m)
	})
}

// Guards against an entry that stays listed after a planned stop.
func TestPlannedStopRemovesTheKey(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		if err := f.members[0].Stop(context.Background()); err != nil {
			f.Fatal(err)
		}
		time.Sleep(time.Second)
		f.expect("after the stop", f.members[1])
	})
}

// Guards against a registration that is stuck because an answer was lost
// although the write took effect.
func TestLostAnswers(t *testing.T) {
	for dropped := 1; dropped <= 4; dropped++ {
		inFleet(t, 2, func(f *fleet) {
			f.members[1].Start()
			time.Sleep(time.Second)
			f.set(standin.StoreFaultChange{DropWriteAnswers: new(dropped)})
			f.members[0].Start()
			time.Sleep(time.Minute)
			f.expect("after lost answers", f.members[1], "e0")
		})
	}
}

// Guards against an entry that cannot register because the key of its earlier
// incarnation is still there, and against the earlier one taking it back.
func TestRestartTakesOverTheKey(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		f.members[0].tomb.Kill(nil)
		f.add("e0", 500).Start()
		time.Sleep(time.Second)
		expectIncarnation(f, 500)
		f.add("e0", 400).Start()
		time.Sleep(time.Minute)
		expectIncarnation(f, 500)
	})
}

func expectIncarnation(f *fleet, i wire.Incarnation) {
	f.Helper()
	peers := f.members[1].Snapshot().Peers
	if len(peers) != 1 || peers[0].Incarnation != i {
		f.Errorf("lists %+v, want incarnation %d", peers, i)
	}
}
