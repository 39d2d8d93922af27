package admission

import (
	"math"
	"time"
)

const (
	// rateHalfLife is how fast the measured rate follows a change, and how fast
	// it returns to the prior when no work waits.
	rateHalfLife = 5 * time.Second
	// priorWeightSeconds is the time under load after which the measured rate counts
	// as much as the prior.
	priorWeightSeconds = 0.5
	// priorWeightSlotSeconds is the slot time of finished tasks after which the measured
	// correction counts as much as none.
	priorWeightSlotSeconds = 2.0
	// minCorrection and maxCorrection bound what a few tasks with a wrong
	// estimate do to the rate.
	minCorrection = 0.2
	maxCorrection = 100.0
)

// Rate measures how fast an entry's work is done, in expected slot seconds per
// second: the slots it holds while work waits, times how much faster than
// expected tasks finish. While no work waits the slots in use say nothing about
// the rate that is possible, so that time does not count.
type Rate struct {
	prior                 float64
	slots                 int
	backlogged            bool
	last                  time.Time
	backloggedSlotSeconds float64 // decayed slot seconds while backlogged
	backloggedSeconds     float64 // decayed seconds while backlogged
	expectedSeconds       float64 // decayed slot seconds of finished tasks, as expected
	actualSeconds         float64 // and as measured
}

// NewRate returns a rate without measurements.
func NewRate() *Rate { return &Rate{} }

// SetPrior sets the number of slots that the entry can expect to get: its share
// of the slots of the service's targets.
func (r *Rate) SetPrior(slots float64) { r.prior = slots }

// SetSlots records the slots that the entry holds from now on, in use or granted,
// and whether work waits for more.
func (r *Rate) SetSlots(slots int, backlogged bool, now time.Time) {
	r.advance(now)
	r.slots = slots
	r.backlogged = backlogged
}

// RecordFinished records a task that was done, with the run time that its job's
// remaining work was reckoned with.
func (r *Rate) RecordFinished(expected, actual time.Duration, now time.Time) {
	r.advance(now)
	r.expectedSeconds += expected.Seconds()
	r.actualSeconds += actual.Seconds()
}

// advance integrates up to now.
func (r *Rate) advance(now time.Time) {
	if r.last.IsZero() {
		r.last = now
	}
	gap := now.Sub(r.last)
	if gap <= 0 {
		return
	}
	r.last = now
	decay := math.Exp2(-float64(gap) / float64(rateHalfLife))
	r.backloggedSlotSeconds *= decay
	r.backloggedSeconds *= decay
	r.expectedSeconds *= decay
	r.actualSeconds *= decay
	if !r.backlogged {
		return
	}
	weighted := rateHalfLife.Seconds() / math.Ln2 * (1 - decay)
	r.backloggedSeconds += weighted
	r.backloggedSlotSeconds += weighted * float64(r.slots)
}

// Value returns expected slot seconds per second; 0 if neither a prior nor a
// measurement is there.
func (r *Rate) Value() float64 {
	slots := (r.backloggedSlotSeconds + r.prior*priorWeightSeconds) / (r.backloggedSeconds + priorWeightSeconds)
	correction := (r.expectedSeconds + priorWeightSlotSeconds) / (r.actualSeconds + priorWeightSlotSeconds)
	return slots * min(max(correction, minCorrection), maxCorrection)
}
