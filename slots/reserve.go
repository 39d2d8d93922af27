package slots

import (
	"math"
	"time"
)

// Values of settings.Policy.Reserve. Any other value selects the default, an
// adaptive reserve.
const (
	reserveNone  = "none"
	reserveFixed = "fixed"
)

const (
	// reserveHalfLife spans many long tasks, so that a single one does not change
	// the reserve, and still lets it follow a change of the load within minutes.
	reserveHalfLife = time.Minute
	// fixedReserveDivisor divides the slots to give the fixed reserve, a baseline
	// for comparisons: 2 of 8 slots.
	fixedReserveDivisor = 4
	// minShortShare is the share of slot time below which short work gets no
	// reserve, because a reserved slot would be idle most of the time.
	minShortShare = 0.002
)

// reserve decides how many slots are reserved for short work. The adaptive reserve
// is the share of recent slot time that short work used, between one slot and half
// of the slots: long work then gets the slots that it uses on average and cannot
// take those of short work in a burst.
type reserve struct {
	mode         string
	slots        int
	shortSeconds float64 // recent slot time of short work, decayed exponentially
	longSeconds  float64 // the same for long work
}

// observe adds the slot time of short and long running tasks over the duration d.
func (r *reserve) observe(d time.Duration, short, long int) {
	decay := math.Exp2(-d.Seconds() / reserveHalfLife.Seconds())
	r.shortSeconds = r.shortSeconds*decay + float64(short)*d.Seconds()
	r.longSeconds = r.longSeconds*decay + float64(long)*d.Seconds()
}

// size returns the number of reserved slots.
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
