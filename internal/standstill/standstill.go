// Package standstill notices that this process stood still: it was stopped, its
// machine was frozen or suspended, or it got no processor for long.
package standstill

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
	limit time.Duration
	last  atomic.Int64
	stop  chan struct{}
}

// Start returns a detector of pauses longer than limit.
func Start(limit time.Duration) *Detector {
	d := &Detector{limit: limit, stop: make(chan struct{})}
	d.last.Store(bootTime())
	go d.run()
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
			d.last.Store(bootTime())
		}
	}
}

// Paused reports whether the process stands in the first moments after a pause:
// the detector itself has not run again yet.
func (d *Detector) Paused() bool {
	return time.Duration(bootTime()-d.last.Load()) > d.limit
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

// Now returns the clock that the detector reads, to measure pauses between two
// points of a loop.
func Now() time.Duration { return time.Duration(bootTime()) }
