// Package pausedetect detects pauses of this process: it was stopped, its
// machine was frozen or suspended, or it got no processor for long.
package pausedetect

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// interval is how often the detector shows that the process runs.
const interval = 20 * time.Millisecond

// Detector compares the time since it last ran with a limit. It reads the clock
// that also counts while the machine is suspended.
type Detector struct {
	limit  time.Duration
	clock  func() int64
	last   atomic.Int64 // when this process was last seen to run
	pauses atomic.Int64 // noticed so far
	told   atomic.Int64 // of them, by Paused
	stop   chan struct{}
}

// Start returns a detector of pauses longer than limit.
func Start(limit time.Duration) *Detector {
	d := newDetector(limit, bootTime)
	go d.run()
	return d
}

func newDetector(limit time.Duration, clock func() int64) *Detector {
	d := &Detector{limit: limit, clock: clock, stop: make(chan struct{})}
	d.last.Store(clock())
	return d
}

// Stop ends the detector.
func (d *Detector) Stop() { close(d.stop) }

func (d *Detector) run() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.look()
		}
	}
}

func (d *Detector) look() {
	now := d.clock()
	if time.Duration(now-d.last.Swap(now)) > d.limit {
		d.pauses.Add(1)
	}
}

// Paused reports whether the process has stood still since the last call. After a
// pause it is not certain whether the detector or a message that waited all the
// while is handled first, so that a pause is kept until it was reported.
func (d *Detector) Paused() bool {
	d.look()
	pauses := d.pauses.Load()
	return d.told.Swap(pauses) != pauses
}

// bootTime is the time since the machine's start in nanoseconds, suspension
// included.
func bootTime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().UnixNano() // no kernel without this clock is supported
	}
	return t.Nano()
}

// BootTime returns the clock that the detector reads, to measure pauses between two
// points of a loop.
func BootTime() time.Duration { return time.Duration(bootTime()) }
