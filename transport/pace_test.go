package transport

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// side is one end of a link in virtual time.
type side struct {
	pace
	idle        bool
	heard, sent time.Duration
	beats       int
}

func newSide(idle bool) *side {
	return &side{pace: pace{timing: Timing{}.withDefaults()}, idle: idle}
}

// tick lets a side act at a time; a cut link loses what it sends.
func (s *side) tick(now time.Duration, peer *side, cut bool) (silent bool) {
	if h, ok := s.due(now, s.sent, s.idle, false); ok {
		s.sent = now
		s.beats++
		if !cut {
			peer.heard = now
			peer.received(h)
		}
	}
	return s.silent(now, s.heard)
}

// run ticks both sides each second and returns when the first gave up, or 0.
func run(a, b *side, from, to time.Duration, cut bool) time.Duration {
	for now := from; now < to; now += HeartbeatInterval {
		if a.tick(now, b, cut) || b.tick(now, a, cut) {
			return now
		}
	}
	return 0
}

// Guards against idle links that keep the short interval, and against a side
// that gives up a peer that slowed down as announced.
func TestIdleLinkSlowsDown(t *testing.T) {
	a, b := newSide(true), newSide(true)
	if at := run(a, b, 0, 1000*time.Second, false); at != 0 {
		t.Fatalf("given up at %s", at)
	}
	if a.beats > 210 || b.beats > 210 || a.beats < 190 {
		t.Errorf("%d and %d heartbeats in 1000 s", a.beats, b.beats)
	}
}

// Guards against a slow interval while only one side is idle.
func TestBusySideKeepsBothFast(t *testing.T) {
	a, b := newSide(true), newSide(false)
	if at := run(a, b, 0, 100*time.Second, false); at != 0 {
		t.Fatalf("given up at %s", at)
	}
	if a.beats < 99 || b.beats < 99 {
		t.Errorf("%d and %d heartbeats in 100 s", a.beats, b.beats)
	}
}

// Guards against work on a link that went silent while idle and that waits for
// the idle limit.
func TestWorkOnSilentLinkIsNoticed(t *testing.T) {
	a, b := newSide(true), newSide(true)
	run(a, b, 0, 100*time.Second, false)
	start := 101 * time.Second
	a.idle = false
	a.working(start)
	at := start
	for !a.tick(at, b, true) {
		at += HeartbeatInterval
		if want := start + PeerTimeout + HeartbeatInterval; at > want {
			t.Fatalf("not noticed by %s", want)
		}
	}
	if at <= start+HeartbeatInterval {
		t.Errorf("given up at %s, before the peer could answer", at)
	}
}

// Guards against an idle link that went silent and stays open.
func TestSilentIdleLinkIsNoticed(t *testing.T) {
	a, b := newSide(true), newSide(true)
	run(a, b, 0, 100*time.Second, false)
	at := run(a, b, 100*time.Second, 200*time.Second, true)
	if want := 100*time.Second + IdleHeartbeatInterval + PeerTimeout; at == 0 || at > want {
		t.Errorf("noticed at %s, want by %s", at, want)
	}
}

// Guards against a peer of an earlier release, whose heartbeats announce
// nothing, being met with the slow interval.
func TestPeerWithoutIntervalStaysFast(t *testing.T) {
	p := pace{timing: Timing{}.withDefaults()}
	p.received(&wire.Heartbeat{Revision: 1})
	if h, ok := p.due(time.Minute, 59*time.Second, true, false); !ok || h.Interval != HeartbeatInterval {
		t.Errorf("got %v", h)
	}
}
