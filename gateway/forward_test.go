package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// Guards against an entry that declines jobs after a single late tick, and against one that
// never detects a constant lag.
func TestMeanLag(t *testing.T) {
	var m lagMeter
	now := time.Unix(100, 0)
	step := func(lag time.Duration, ticks int) {
		for range ticks {
			now = now.Add(placement.TickInterval)
			m.tick(now.Add(lag), placement.TickInterval)
		}
	}
	step(0, 50)
	if m.tooHigh() {
		t.Errorf("mean lag of a process that is on time: %v", m.meanLag())
	}
	step(40*time.Millisecond, 1)
	if m.tooHigh() {
		t.Errorf("mean lag after one late tick: %v", m.meanLag())
	}
	for range 40 { // each tick comes 30 ms after the one before
		now = now.Add(30 * time.Millisecond)
		m.tick(now, placement.TickInterval)
	}
	if !m.tooHigh() {
		t.Errorf("mean lag of a process that is 20 ms late: %v", m.meanLag())
	}
	step(0, 50)
	if m.tooHigh() {
		t.Errorf("mean lag of a process that is on time again: %v", m.meanLag())
	}
}

// Guards against entries that select different placers than their peers, that prefer small
// entries to large ones, or that select placers of a single failure domain.
func TestSelectPlacers(t *testing.T) {
	peers := func(n int, cpu uint32, domain, prefix string) []wire.Peer {
		var out []wire.Peer
		for i := range n {
			out = append(out, wire.Peer{Name: prefix + string(rune('1'+i)), CPU: cpu, FailureDomain: domain})
		}
		return out
	}
	var mixed []wire.Peer
	for _, domain := range []string{"c", "a", "b"} {
		mixed = append(mixed, peers(3, 192, domain, domain+"-small-")...)
		mixed = append(mixed, peers(2, 800, domain, domain+"-large-")...)
	}
	for _, c := range []struct {
		entries []wire.Peer
		want    []string
	}{
		{peers(2, 0, "a", "e"), nil},
		{append(peers(1, 0, "a", "old"), peers(2, 400, "a", "e")...), []string{"e1"}},
		{peers(3, 400, "a", "e"), []string{"e1"}},
		{mixed, []string{"a-large-1", "b-large-1", "c-large-1"}},
	} {
		got := selectPlacers(c.entries)
		slices.Reverse(c.entries)
		again := selectPlacers(c.entries)
		if !slices.Equal(got, c.want) || !slices.Equal(again, c.want) {
			t.Errorf("got %v, in another order %v, want %v", got, again, c.want)
		}
	}
}

// Guards against entries that switch back to placing on their own in each short gap of a load
// peak, and against forwarding jobs to placers long after the peak.
func TestContentionExpires(t *testing.T) {
	f := newForwarder()
	now := f.created.Add(time.Second)
	if f.contended(now) {
		t.Error("a new entry is contended")
	}
	f.markContended(now)
	if !f.contended(now.Add(contentionHold / 2)) {
		t.Error("no longer contended after half of contentionHold")
	}
	if f.contended(now.Add(2 * contentionHold)) {
		t.Error("still contended after twice contentionHold")
	}
}
