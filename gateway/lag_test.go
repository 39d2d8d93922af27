package gateway

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
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
