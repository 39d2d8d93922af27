package heartbeat

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

var testTiming = Timing{Interval: time.Second, PeerTimeout: 3500 * time.Millisecond}

// linkEnd is one end of a link in virtual time.
type linkEnd struct {
	*State
	idle                   bool
	lastReceived, lastSent time.Duration
	heartbeats             int
}

func newLinkEnd(idle bool) *linkEnd {
	return &linkEnd{State: New(testTiming), idle: idle}
}

// tick sends a heartbeat to the peer if one is due and reports whether the peer has
// timed out. On a cut link the heartbeat is lost.
func (s *linkEnd) tick(now time.Duration, peer *linkEnd, cut bool) (timedOut bool) {
	if h, ok := s.Due(now, s.lastSent, s.idle, false); ok {
		s.lastSent = now
		s.heartbeats++
		if !cut {
			peer.lastReceived = now
			peer.RecordReceived(h)
		}
	}
	return s.PeerTimedOut(now, s.lastReceived)
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
	p.RecordReceived(&wire.Heartbeat{Revision: 1})
	if h, ok := p.Due(time.Minute, 59*time.Second, true, false); !ok || h.Interval != testTiming.Interval {
		t.Errorf("got %v", h)
	}
}
