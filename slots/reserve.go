package slots

import (
	"math"
	"time"
)

// Names of the reserve rules in settings.Policy. Any other name is the default,
// learnt.
const (
	reserveNone  = "none"
	reserveFixed = "fixed"
)

const (
	// reserveHalfLife spans many long tasks, so that one of them does not move
	// the reserve, and follows a change of the work within minutes.
	reserveHalfLife = time.Minute
	// fixedReserveDivisor is the reserve of the fixed baseline: 2 of 8 slots.
	fixedReserveDivisor = 4
	// minShortShare is the share of slot time below which short work gets no
	// reserve: a slot would be idle for work that hardly exists.
	minShortShare = 0.002
)

// reserve decides how many slots long work must leave to short work. The learnt
// reserve is the share of recent slot time that short work used, between one
// slot and half of the slots: long work then gets the slots that it uses on
// average, and cannot take those of short work in a burst.
type reserve struct {
	mode         string
	slots        int
	shortSeconds float64 // recent slot time of short work, seconds, decayed
	longSeconds  float64
}

// observe adds the slot time of running tasks over d.
func (r *reserve) observe(d time.Duration, short, long int) {
	decay := math.Exp2(-d.Seconds() / reserveHalfLife.Seconds())
	r.shortSeconds = r.shortSeconds*decay + float64(short)*d.Seconds()
	r.longSeconds = r.longSeconds*decay + float64(long)*d.Seconds()
}

// size returns the reserved slots.
func (r *reserve) size() int {
	if r.mode == reserveNone || r.slots < 2 {
		return 0
	}
	if r.mode == reserveFixed {
		return max(1, r.slots/fixedReserveDivisor)
	}
	total := r.shortSeconds + r.longSeconds
	if total == 0 {
		return 1
	}
	share := r.shortSeconds / total
	if share < minShortShare {
		return 0
	}
	n := int(math.Round(share * float64(r.slots)))
	return min(max(1, n), r.slots/2)
}
