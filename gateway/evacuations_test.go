package gateway

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

func requestEvacuation(t *testing.T, s kv.Store, domain, value string) (version uint64) {
	t.Helper()
	version, err := s.CompareAndSwap(t.Context(), testEvacuations+domain, 0, []byte(value), 0)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func revokeEvacuation(t *testing.T, s kv.Store, domain string, version uint64) {
	t.Helper()
	if err := s.Delete(t.Context(), testEvacuations+domain, version); err != nil {
		t.Fatal(err)
	}
}

func (g *Gateway) expectEvacuated(t *testing.T, domains ...string) {
	t.Helper()
	if s := g.evacuations.Load(); s == nil || !slices.Equal(s.Domains, domains) {
		t.Errorf("evacuated: %+v, want %v", s, domains)
	}
}

// lastEvacuations returns the last evacuations that were sent on a link, or nil.
func (l *recordingLink) lastEvacuations() *wire.Evacuations {
	for _, m := range slices.Backward(l.sent()) {
		if e, ok := m.(*wire.Evacuations); ok {
			return e
		}
	}
	return nil
}

// Guards against an evacuation that is not noticed: one that is requested before the start or
// during it, one with a value that cannot be read, a second one, and a revocation; against another
// key that is taken for one; and against a second watch.
func TestEvacuationsFollowStore(t *testing.T) {
	runRoutesLoop(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		first := requestEvacuation(t, s, "d1", `{}`)
		time.Sleep(time.Second)
		g.expectEvacuated(t, "d1")
		requestEvacuation(t, s, "d2", "\xff{")
		if _, err := s.CompareAndSwap(t.Context(), testPrefix+"evacuation", 0, nil, 0); err != nil {
			t.Fatal(err)
		}
		writeRoutes(t, s, "1")
		time.Sleep(100 * time.Millisecond)
		g.expectEvacuated(t, "d1", "d2")
		if g.version() != 1 {
			t.Errorf("routes version %d, want 1 by the same watch", g.version())
		}
		revokeEvacuation(t, s, "d1", first)
		time.Sleep(100 * time.Millisecond)
		g.expectEvacuated(t, "d2")
		s.mu.Lock()
		before := s.watches
		s.mu.Unlock()
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if most := 11; s.watches-before > most {
			t.Errorf("%d watches in 20 s, want at most %d", s.watches-before, most)
		}
	})
}

// Guards against an evacuation that stays in force, or is not noticed within its bound, because the
// store lost the changes: it answers 410, and the keys have to be read again.
func TestEvacuationsAfterLostHistory(t *testing.T) {
	const bound = 5 * time.Second
	runRoutesLoop(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		first := requestEvacuation(t, s, "d1", `{}`)
		time.Sleep(time.Second)
		s.setLossy(true)
		revokeEvacuation(t, s, "d1", first) // the pending watch reports it; changes after it are lost
		time.Sleep(time.Second)
		g.expectEvacuated(t)
		second := requestEvacuation(t, s, "d2", `{}`)
		time.Sleep(bound)
		g.expectEvacuated(t, "d2")
		revokeEvacuation(t, s, "d2", second)
		time.Sleep(bound)
		g.expectEvacuated(t)
	})
}

// Guards against an entry that forgets an evacuation when the store is down, that does not adopt the
// one of a peer, or does not pass it on, and against an older one that arrives late.
func TestEvacuationsPassBetweenEntries(t *testing.T) {
	g := newPlacer(t)
	source, other := &recordingLink{silentLink: silentLink{name: "source"}}, &recordingLink{silentLink: silentLink{name: "other"}}
	g.forwarder.linkUp(source)
	g.forwarder.linkUp(other)
	g.handlePeer(source, &wire.Evacuations{Revision: 9, Domains: []string{"d1"}})
	if e := other.lastEvacuations(); e == nil || e.Revision != 9 || !slices.Equal(e.Domains, []string{"d1"}) {
		t.Errorf("passed on: %+v", e)
	}
	sent := len(other.sent())
	g.handlePeer(source, &wire.Evacuations{Revision: 8})
	g.handlePeer(source, &wire.Evacuations{Revision: 9})
	g.expectEvacuated(t, "d1")
	if len(other.sent()) != sent {
		t.Error("an older state was passed on")
	}
	// The domains are the known ones, but an agent may have heard of a revocation in between. A store
	// that fails each watch leads to ten such states a second.
	sent = len(source.sent())
	for revision := range uint64(3) {
		g.handlePeer(other, &wire.Evacuations{Revision: 10 + revision, Domains: []string{"d1"}})
	}
	g.passUnsentEvacuations()
	g.passUnsentEvacuations()
	if n := len(source.sent()) - sent; n != 1 {
		t.Errorf("%d messages for three states with the known domains, want 1", n)
	}
	if e := source.lastEvacuations(); e == nil || e.Revision != 12 {
		t.Errorf("passed on: %+v, want revision 12", e)
	}
	late := &recordingLink{}
	g.sendEvacuations(late)
	if e := late.lastEvacuations(); e == nil || e.Revision != 12 {
		t.Errorf("on a new link: %+v, want revision 12", e)
	}
}

// Guards against an entry that gets routes from a peer, or a job, before it knows the evacuations.
func TestNothingStartsBeforeEvacuationsAreKnown(t *testing.T) {
	g := newPlacer(t)
	g.evacuations = evacuation.Current{}
	g.opts.DecodeRoutes = decodeVersion
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	g.handlePeer(l, &wire.Document{Revision: 3, Body: []byte("3")})
	if g.version() != 0 {
		t.Error("routes of a peer apply before its evacuations")
	}
	job := &wire.JobForward{
		RequestID: 1, TimeLeft: 10 * time.Second, Route: routing.Route{Name: "r", MaxAttempts: 1, Stretch: 2, TargetDuration: time.Second},
		Job: workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 100}, Estimate: 100 * time.Millisecond}}},
	}
	g.handleForward(l, job)
	if a, ok := l.sent()[len(l.sent())-1].(*wire.JobAnswer); !ok || !a.Declined {
		t.Errorf("answer to a job: %+v, want declined", l.sent())
	}
	g.handlePeer(l, &wire.Evacuations{Revision: 2})
	g.handlePeer(l, &wire.Document{Revision: 3, Body: []byte("3")})
	if g.version() != 3 {
		t.Errorf("version %d after the evacuations, want 3", g.version())
	}
}

// Guards against routes that are in force before the evacuations of the same list, so that a job could
// start in an evacuated domain.
func TestEvacuationsApplyBeforeRoutes(t *testing.T) {
	g := newPlacer(t)
	g.evacuations = evacuation.Current{}
	store := standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local()
	g.store, g.opts.RoutesKey, g.opts.EvacuationPrefix, g.opts.OperatorPrefix = store, testKey, testEvacuations, testPrefix
	requestEvacuation(t, store, "d1", `{}`)
	writeRoutes(t, store, "1")
	decoded := false
	g.opts.DecodeRoutes = func(document []byte) (*routing.Table, error) {
		decoded = true
		g.expectEvacuated(t, "d1")
		return decodeVersion(document)
	}
	var view evacuation.View
	if _, err := g.readRoutes(t.Context(), &view); err != nil || !decoded {
		t.Fatalf("routes decoded: %t, %v", decoded, err)
	}
}

// SendHeartbeat implements newPeerLink.
func (l *recordingLink) SendHeartbeat() error { return l.Send(&wire.Heartbeat{}) }

// Guards against a peer that gets routes or jobs before the evacuations, which the store may not tell it.
func TestEvacuationsAreFirstOnPeerLink(t *testing.T) {
	g := newPlacer(t)
	g.members = member.New(standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local(), g.self(), member.Options{Log: g.log})
	g.adoptEvacuations(evacuation.New(9, []string{"d1"}), "test")
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.peerUp(l)
	if e, ok := l.sent()[0].(*wire.Evacuations); !ok || e.Revision != 9 || !slices.Equal(e.Domains, []string{"d1"}) {
		t.Errorf("first message: %+v, want the evacuations", l.sent()[0])
	}
}

// Guards against an entry that learns of an evacuation only from the refusals of its agents, and sends
// the task again or does not tell its peers.
func TestEvacuationIsAdoptedFromAgentsRefusal(t *testing.T) {
	g := newPlacer(t)
	peer, agent := &recordingLink{silentLink: silentLink{name: "peer"}}, &recordingLink{}
	g.forwarder.linkUp(peer)
	g.scheduler.LinkUp("other", 1, agent)
	g.handleRunEnd("other", agent, &wire.RunEnd{Status: wire.EndNotRun, Evacuations: &wire.Evacuations{Revision: 9, Domains: []string{"d1"}}}, time.Now())
	g.expectEvacuated(t, "d1")
	if e := peer.lastEvacuations(); e == nil || e.Revision != 9 {
		t.Errorf("passed on to the peer: %+v, want revision 9", e)
	}
}

// Guards against a higher revision with the known domains that is held back for good: an agent that has
// heard of a state in between would refuse starts on and on.
func TestUnsentEvacuationsArePassedOnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPlacer(t)
		peer := &recordingLink{silentLink: silentLink{name: "peer"}}
		g.forwarder.linkUp(peer)
		g.tomb.Go(g.gaugeLoop)
		g.adoptEvacuations(evacuation.New(9, nil), "test")
		time.Sleep(gaugeInterval + time.Millisecond)
		synctest.Wait()
		if e := peer.lastEvacuations(); e == nil || e.Revision != 9 {
			t.Errorf("passed on: %+v, want revision 9", e)
		}
		g.tomb.Kill(nil)
		if err := g.tomb.Wait(); err != nil {
			t.Error(err)
		}
		if err := g.opts.Metrics.Close(); err != nil {
			t.Error(err)
		}
	})
}
