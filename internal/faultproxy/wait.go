package faultproxy

import (
	"time"

	"golang.org/x/sys/unix"
)

// nanosleepTail is the last part of a wait, which uses nanosleep instead of a Go
// timer. In an idle process the Go runtime rounds timers up to a millisecond,
// which would double a delay of 0.5 ms.
const nanosleepTail = 1200 * time.Microsecond

// waitUntil sleeps until due. It returns at once if due has passed.
func waitUntil(due time.Time) {
	left := time.Until(due)
	if left > 2*nanosleepTail {
		time.Sleep(left - nanosleepTail)
		left = time.Until(due)
	}
	if left > 0 {
		ts := unix.NsecToTimespec(int64(left))
		// A signal may interrupt the sleep. An injected delay that is too short
		// by that much is acceptable.
		_ = unix.Nanosleep(&ts, nil)
	}
}
