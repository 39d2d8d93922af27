package faultproxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// coarseTimer is the part of a wait that is left to a system call. The Go
// runtime rounds the timers of an otherwise idle process up to a millisecond,
// which would double a delay of 0.5 ms.
const coarseTimer = 1200 * time.Microsecond

// waitUntil returns at a point in time, or at once if it has passed.
func waitUntil(due time.Time) {
	left := time.Until(due)
	if left > 2*coarseTimer {
		time.Sleep(left - coarseTimer)
		left = time.Until(due)
	}
	if left > 0 {
		ts := unix.NsecToTimespec(int64(left))
		// An interrupted sleep ends early by less than the delay, which an
		// injected delay tolerates.
		_ = unix.Nanosleep(&ts, nil)
	}
}
