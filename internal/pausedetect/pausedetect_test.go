package pausedetect

import (
	"testing"
	"time"
)

// Guards against a pause that is missed because the periodic check ran first after
// it. Messages that were buffered during the pause would be treated as new.
func TestPauseIsRememberedUntilReported(t *testing.T) {
	now := int64(0)
	d := newDetector(100*time.Millisecond, func() int64 { return now })
	advance := func(d time.Duration) { now += int64(d) }
	advance(90 * time.Millisecond)
	if d.Paused() {
		t.Error("a pause below the limit is reported")
	}
	advance(200 * time.Millisecond)
	d.check() // the periodic check
	advance(20 * time.Millisecond)
	d.check()
	if !d.Paused() {
		t.Error("a pause is not reported after the detector ran")
	}
	if d.Paused() {
		t.Error("a pause is reported twice")
	}
	advance(200 * time.Millisecond)
	if !d.Paused() {
		t.Error("a pause is not reported before the detector ran")
	}
	d.check()
	if d.Paused() {
		t.Error("a pause is reported twice, after the detector ran")
	}
}
