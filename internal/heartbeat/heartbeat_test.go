package heartbeat

import (
	"math"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

var testTiming = Timing{Interval: time.Second, PeerTimeout: 3500 * time.Millisecond}

// linkEnd is one end of a link in virtual time.
type linkEnd struct {
	*State
	idle         bool
	lastReceived time.Duration
	heartbeats   int
}

func newLinkEnd(idle bool) *linkEnd {
	return &linkEnd{State: New(testTiming), idle: idle}
}

// tick sends a heartbeat to the peer if one is due and reports whether the peer has
// timed out. On a cut link the heartbeat is lost.
func (s *linkEnd) tick(now time.Duration, peer *linkEnd, cut bool) (timedOut bool) {
	if h, ok := s.Due(now, s.idle, false); ok {
		s.heartbeats++
		if !cut {
			peer.receive(h, now)
		}
	}
	return s.PeerTimedOut(now, s.lastReceived)
}

func (s *linkEnd) receive(m wire.Message, now time.Duration) {
	s.lastReceived = now
	s.RecordReceived(m, now)
}

// firstTimeout ticks both ends at each heartbeat interval and returns when the first of
// them timed out, or 0.
func firstTimeout(a, b *linkEnd, from, to time.Duration, cut bool) time.Duration {
	for now := from; now < to; now += testTiming.Interval {
		if a.tick(now, b, cut) || b.tick(now, a, cut) {
			return now
		}
	}
	return 0
}

// Guards against an idle link that keeps the short interval, and against an end that
// times out a peer which uses the idle interval as announced.
func TestIdleLinkUsesIdleInterval(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(true)
	if at := firstTimeout(a, b, 0, 1000*time.Second, false); at != 0 {
		t.Fatalf("timed out at %s", at)
	}
	if a.heartbeats > 210 || b.heartbeats > 210 || a.heartbeats < 190 {
		t.Errorf("%d and %d heartbeats in 1000 s", a.heartbeats, b.heartbeats)
	}
}

// Guards against the idle interval while only one end is idle.
func TestBusyEndKeepsShortIntervalOnBoth(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(false)
	if at := firstTimeout(a, b, 0, 100*time.Second, false); at != 0 {
		t.Fatalf("timed out at %s", at)
	}
	if a.heartbeats < 99 || b.heartbeats < 99 {
		t.Errorf("%d and %d heartbeats in 100 s", a.heartbeats, b.heartbeats)
	}
}

// Guards against a long wait for the idle timeout when work begins on a link whose peer
// went silent while it was idle.
func TestWorkOnSilentLinkUsesShortTimeout(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(true)
	firstTimeout(a, b, 0, 100*time.Second, false)
	start := 101 * time.Second
	a.idle = false
	a.MarkBusy(start)
	at := start
	for !a.tick(at, b, true) {
		at += testTiming.Interval
		if want := start + testTiming.PeerTimeout + testTiming.Interval; at > want {
			t.Fatalf("not timed out by %s", want)
		}
	}
	if at <= start+testTiming.Interval {
		t.Errorf("timed out at %s, before the peer could respond", at)
	}
}

// Guards against an idle link that stays open after its peer went silent.
func TestSilentIdleLinkTimesOut(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(true)
	firstTimeout(a, b, 0, 100*time.Second, false)
	at := firstTimeout(a, b, 100*time.Second, 200*time.Second, true)
	if want := 100*time.Second + testTiming.Idle() + testTiming.PeerTimeout; at == 0 || at > want {
		t.Errorf("timed out at %s, want by %s", at, want)
	}
}

// Guards against the idle interval towards a peer of an earlier release, whose
// heartbeats announce neither idleness nor an interval.
func TestPeerWithoutIntervalGetsShortInterval(t *testing.T) {
	p := New(testTiming)
	p.Due(59*time.Second, true, true)
	p.RecordReceived(&wire.Heartbeat{Revision: 1}, 59*time.Second)
	if h, ok := p.Due(time.Minute, true, false); !ok || h.Interval != testTiming.Interval {
		t.Errorf("got %v", h)
	}
}

// Guards against a dead peer that counts as alive because its last heartbeats were read late, after
// a pause of this process or a delay on their way.
func TestHeartbeatReadLateProvesNoMore(t *testing.T) {
	a, b := newLinkEnd(false), newLinkEnd(false)
	firstTimeout(a, b, 0, 10*time.Second, false)
	h, _ := b.Due(10*time.Second, false, true) // the last one of b
	a.receive(h, 12*time.Second)
	if got := a.AliveAt(); got > 10*time.Second || got < 10*time.Second-2*time.Millisecond {
		t.Errorf("the peer counts as alive at %s, want 10s, when it sent the heartbeat", got)
	}
}

// Guards against a heartbeat that proves nothing because other messages were sent in its place, and
// against work that reaches a peer on an idle link without a proof that its sender was alive.
func TestEachIntervalWithWorkHasAProof(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(true)
	firstTimeout(a, b, 0, 14*time.Second, false)
	began := 14*time.Second + 300*time.Millisecond
	h := b.MarkBusy(began)
	if h == nil {
		t.Fatal("no heartbeat before the first message on an idle link")
	}
	a.receive(h, began)
	if again := b.MarkBusy(began); again != nil {
		t.Error("a second heartbeat before the next message")
	}
	b.idle = false
	for now := began; now < began+20*time.Second; now += 10 * time.Millisecond {
		b.MarkBusy(now)
		a.receive(&wire.Room{}, now)
		if now.Truncate(time.Second) == now {
			a.tick(now, b, false)
			b.tick(now, a, false)
		}
		if age := now - a.AliveAt(); age > testTiming.Interval+testTiming.Interval/2 {
			t.Fatalf("%s after work began, the peer was last known to be alive %s ago", now-began, age)
		}
	}
}

// Guards against a link that takes a tick longer to be lost when work comes over it while it is idle.
func TestWorkReceivedOnIdleLinkBeginsWithItsMessage(t *testing.T) {
	a, b := newLinkEnd(true), newLinkEnd(true)
	firstTimeout(a, b, 0, 100*time.Second, false)
	start := 99*time.Second + 10*time.Millisecond // just after the last tick
	a.idle = false
	a.receive(&wire.RunStart{}, start)
	at := firstTimeout(a, b, 100*time.Second, 200*time.Second, true)
	if want := start + testTiming.PeerTimeout + testTiming.Interval; at == 0 || at > want {
		t.Errorf("timed out at %s, want by %s", at, want)
	}
}

// Guards against runs of a dead entry that count as wanted since the entry which placed them lives.
func TestOriginAgeCounts(t *testing.T) {
	a, b := newLinkEnd(false), newLinkEnd(false)
	firstTimeout(a, b, 0, 10*time.Second, false)
	before := a.AliveAt()
	a.receive(&wire.RunStart{OriginAge: 4 * time.Second}, 10*time.Second)
	a.receive(&wire.RunStart{OriginAge: time.Second}, 10*time.Second)
	if got := a.AliveAt(); got != before-4*time.Second {
		t.Errorf("after starts with origins of 4 s and 1 s ago: alive at %s, want %s", got, before-4*time.Second)
	}
	h, _ := b.Due(10*time.Second, false, true)
	h.OriginAge = 3000
	a.receive(h, 10*time.Second)
	if got := a.AliveAt(); got > 7*time.Second || got < 7*time.Second-2*time.Millisecond {
		t.Errorf("after a heartbeat with an origin of 3 s ago: alive at %s, want 7s", got)
	}
}

// Guards against values in a heartbeat that cannot be true.
func TestHeartbeatProvesNothingOfTheFuture(t *testing.T) {
	s := New(testTiming)
	s.RecordReceived(&wire.Heartbeat{Sent: 1, Echo: math.MaxUint64, EchoAge: math.MaxUint64}, time.Second)
	if got := s.AliveAt(); got != time.Second {
		t.Errorf("alive at %s, want 1s", got)
	}
	s.RecordReceived(&wire.Heartbeat{Sent: 1, Echo: 1, OriginAge: math.MaxUint64}, time.Second)
	if got := s.AliveAt(); got > 0 {
		t.Errorf("alive at %s, want long ago", got)
	}
}
