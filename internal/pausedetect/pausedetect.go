// Package pausedetect detects pauses of this process, for example after SIGSTOP,
// while its machine was frozen or suspended, or when it got no CPU time.
package pausedetect

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// checkInterval is how often the detector records that the process runs.
const checkInterval = 20 * time.Millisecond

// Detector reports a pause when more than a limit has passed since its last
// check. Its clock also advances while the machine is suspended. It is safe for
// concurrent use.
type Detector struct {
	limit     time.Duration
	clock     func() int64
	lastCheck atomic.Int64              // clock reading at the last check
	pauses    atomic.Int64              // pauses detected
	resumed   atomic.Pointer[time.Time] // when the last pause was detected; nil: none
	reported  atomic.Int64              // value of pauses at the last call of Paused
	stop      chan struct{}
}

// Start returns a running detector of pauses longer than limit, which must exceed
// the 20 ms between checks. Stop ends it.
func Start(limit time.Duration) *Detector {
	d := New(limit)
	d.Start()
	return d
}

// New returns a detector like Start, whose periodic check does not run before its Start is called.
func New(limit time.Duration) *Detector { return newDetector(limit, bootTimeNanos) }

// Start starts the periodic check.
func (d *Detector) Start() {
	d.lastCheck.Store(d.clock())
	go d.run()
}

func newDetector(limit time.Duration, clock func() int64) *Detector {
	d := &Detector{limit: limit, clock: clock, stop: make(chan struct{})}
	d.lastCheck.Store(clock())
	return d
}

// Stop ends the detector's goroutine. It must be called once.
func (d *Detector) Stop() { close(d.stop) }

func (d *Detector) run() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
			d.check()
		}
	}
}

func (d *Detector) check() {
	now := d.clock()
	if time.Duration(now-d.lastCheck.Swap(now)) > d.limit {
		resumed := time.Now()
		d.resumed.Store(&resumed)
		d.pauses.Add(1)
	}
}

// Paused reports whether the process was paused since the last call. After a
// pause, either the periodic check or a message that arrived meanwhile may be
// handled first, so a pause is remembered until Paused has reported it.
func (d *Detector) Paused() bool {
	d.check()
	pauses := d.pauses.Load()
	return d.reported.Swap(pauses) != pauses
}

// Watch returns a function that reports whether the process was paused since its last call, or
// since Watch was called. Each function reports each pause once, independently of the others and of Paused.
func (d *Detector) Watch() func() bool {
	var reported atomic.Int64
	reported.Store(d.pauses.Load())
	return func() bool {
		d.check()
		pauses := d.pauses.Load()
		return reported.Swap(pauses) != pauses
	}
}

// PausedSince reports whether a pause has ended after t.
func (d *Detector) PausedSince(t time.Time) bool {
	d.check()
	resumed := d.resumed.Load()
	return resumed != nil && t.Before(*resumed)
}

// bootTimeNanos returns the nanoseconds since boot, including suspension.
func bootTimeNanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().UnixNano() // not reached: all supported kernels have this clock
	}
	return t.Nano()
}

// BootTime returns the time since boot, including suspension, as the detector
// measures it. Differences between two calls include pauses.
func BootTime() time.Duration { return time.Duration(bootTimeNanos()) }
