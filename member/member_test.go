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

// withFleet runs a test in virtual time with n entries that are not started yet.
func withFleet(t *testing.T, n int, run func(*fleet)) {
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

func (f *fleet) setFaults(c standin.StoreFaultChange) {
	f.Helper()
	if err := f.store.ChangeFaults(c); err != nil {
		f.Error(err)
	}
}

// expectPeers checks the names of the peers that a member lists.
func (f *fleet) expectPeers(when string, m member, names ...string) {
	f.Helper()
	var got []string
	for _, p := range m.Snapshot().Peers {
		got = append(got, p.Name)
	}
	if fmt.Sprint(got) != fmt.Sprint(names) {
		f.Errorf("%s: lists %v, want %v", when, got, names)
	}
}

// Guards against an entry that stays unlisted after its lease expired during a pause,
// or after its key was deleted manually.
func TestLapsedLeaseIsRecreated(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		f.expectPeers("at first", f.members[1], "e0")
		f.setFaults(standin.StoreFaultChange{ExpireLeaseOf: Prefix + "e0"})
		time.Sleep(6 * time.Second)
		f.expectPeers("after the next renewal", f.members[1], "e0")
		e, err := f.members[1].view.Get(f.Context(), Prefix+"e0")
		if err != nil {
			f.Fatal(err)
		}
		if err := f.members[1].view.Delete(f.Context(), e.Key, e.Version); err != nil {
			f.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f.expectPeers("after the key was deleted", f.members[1], "e0")
	})
}

// Guards against an entry that cannot start without the store.
func TestStoreDownAtStart(t *testing.T) {
	for _, fault := range []standin.StoreFaultChange{{Down: new(true)}, {Hang: new(true)}} {
		withFleet(t, 3, func(f *fleet) {
			f.setFaults(fault)
			f.start()
			time.Sleep(10 * time.Minute)
			f.expectPeers("while the store is down", f.members[0])
			f.setFaults(standin.StoreFaultChange{Down: new(false), Hang: new(false)})
			time.Sleep(DefaultMaxBackoff + 5*time.Second)
			for i, names := range [][]string{{"e1", "e2"}, {"e0", "e2"}, {"e0", "e1"}} {
				f.expectPeers("after the outage", f.members[i], names...)
			}
		})
	}
}

// Guards against overloading the store in the first minute after an outage, and
// against synchronized calls during the outage.
func TestNoStampedeAfterOutage(t *testing.T) {
	const entries = 50
	withFleet(t, entries, func(f *fleet) {
		f.start()
		time.Sleep(10 * time.Second)
		f.setFaults(standin.StoreFaultChange{Down: new(true)})
		time.Sleep(time.Minute)
		f.expectCallRate(10, 20, 20)
		f.setFaults(standin.StoreFaultChange{Down: new(false)})
		f.expectCallRate(60, 100, 200)
		for _, m := range f.members {
			if n := len(m.Snapshot().Peers); n != entries-1 {
				f.Errorf("%d peers after the outage, want all other entries", n)
			}
		}
	})
}

// expectCallRate checks that the store calls in each of the next seconds stay within
// the given numbers of writes and reads.
func (f *fleet) expectCallRate(seconds int, writes, reads uint64) {
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

// Guards against live entries that are unlisted after an outage in which every lease
// expired, and against a dead entry that stays listed.
func TestRecoveryGrace(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		f.setFaults(standin.StoreFaultChange{Down: new(true)})
		time.Sleep(time.Minute)
		dead := f.members[2]
		dead.tomb.Kill(nil)
		f.expectPeers("during the outage", f.members[0], "e1", "e2")
		f.setFaults(standin.StoreFaultChange{Down: new(false)})
		for range 300 {
			f.expectPeers("after the outage", f.members[0], "e1", "e2")
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(DefaultRecoveryGrace)
		f.expectPeers("after the grace", f.members[0], "e1")
	})
}

// Guards against unlisting a linked peer when the store fails, against an entry kept
// listed only by repeated reports, and against forwarding reported peers.
func TestPeersFromOtherSources(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		f.setFaults(standin.StoreFaultChange{Down: new(true)})
		f.start()
		m := f.members[0]
		linked := wire.Peer{Name: "linked", Incarnation: 7}
		m.AddLinked(linked)
		m.AddReported([]wire.Peer{{Name: "heard", Incarnation: 8}, {Name: "linked", Incarnation: 6}, {Name: "e0", Incarnation: 1}})
		before := m.Snapshot()
		f.expectPeers("at first", m, "heard", "linked")
		if len(before.Direct) != 1 || before.Peers[1] != linked || !m.IsLive(8) || m.IsLive(6) {
			f.Errorf("got %+v, want one direct peer, incarnation 7 of \"linked\", and incarnation 8 live but not 6", before)
		}
		time.Sleep(DefaultReportedTTL + 2*time.Second)
		f.expectPeers("after the time to live", m, "linked")
		select {
		case <-before.Changed():
		default:
			f.Error("Changed of the replaced snapshot is not closed")
		}
		m.RemoveLinked(wire.Peer{Name: "linked", Incarnation: 6})
		f.expectPeers("after an old link ended", m, "linked")
		m.RemoveLinked(linked)
		f.expectPeers("after the link ended", m)
	})
}

// Guards against an entry that stays listed after a planned stop.
func TestPlannedStopRemovesKey(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.start()
		time.Sleep(5 * time.Second)
		if err := f.members[0].Stop(context.Background()); err != nil {
			f.Fatal(err)
		}
		time.Sleep(time.Second)
		f.expectPeers("after the stop", f.members[1])
	})
}

// Guards against a registration that is stuck because the response to an applied
// write was lost.
func TestLostWriteResponses(t *testing.T) {
	for dropped := 1; dropped <= 4; dropped++ {
		withFleet(t, 2, func(f *fleet) {
			f.members[1].Start()
			time.Sleep(time.Second)
			f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(dropped)})
			f.members[0].Start()
			time.Sleep(time.Minute)
			f.expectPeers("after lost responses", f.members[1], "e0")
		})
	}
}

// Guards against an entry that cannot register because the key of its earlier
// incarnation still exists, and against the earlier incarnation taking the key back.
func TestRestartTakesOverKey(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
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
