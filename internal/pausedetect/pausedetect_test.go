package pausedetect

import (
	"testing"
	"time"
)

// Guards against a pause that is missed because the detector itself ran first
// after it: what waited in the process's buffers would be taken as new.
func TestPauseIsKeptUntilItIsReported(t *testing.T) {
	now := int64(0)
	d := newDetector(100*time.Millisecond, func() int64 { return now })
	pass := func(d time.Duration) { now += int64(d) }
	pass(90 * time.Millisecond)
	if d.Paused() {
		t.Error("a pause below the limit is reported")
	}
	pass(200 * time.Millisecond)
	d.look() // the detector's own round
	pass(20 * time.Millisecond)
	d.look()
	if !d.Paused() {
		t.Error("a pause is not reported after the detector ran")
	}
	if d.Paused() {
		t.Error("a pause is reported twice")
	}
	pass(200 * time.Millisecond)
	if !d.Paused() {
		t.Error("a pause is not reported before the detector ran")
	}
	d.look()
	if d.Paused() {
		t.Error("a pause is reported twice, after the detector ran")
	}
}
