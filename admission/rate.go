package admission

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of measurements. It sets how fast the rate
	// follows a change and returns to the prior when no work waits.
	rateHalfLife = 5 * time.Second
	// priorWeightSeconds is the time with a backlog after which the measured rate
	// weighs as much as the prior.
	priorWeightSeconds = 0.5
	// priorWeightSlotSeconds is the slot time of finished tasks after which the
	// measured correction weighs as much as no correction.
	priorWeightSlotSeconds = 2.0
	// minCorrection and maxCorrection limit the effect on the rate of a few tasks
	// with a wrong estimate.
	minCorrection = 0.2
	maxCorrection = 100.0
)

// Rate estimates how fast an entry processes work, in expected slot seconds per
// second: the slots it holds while work waits, times the ratio of expected to actual
// run time. Time without waiting work is not measured, since the slots in use then do
// not show the possible rate. Rate is not safe for concurrent use.
type Rate struct {
	prior                 float64
	slots                 int
	backlogged            bool
	last                  time.Time
	backloggedSlotSeconds float64 // decayed integral of slots over the time with a backlog
	backloggedSeconds     float64 // decayed time with a backlog
	expectedSeconds       float64 // decayed expected run time of finished tasks
	actualSeconds         float64 // decayed actual run time of finished tasks
}

// NewRate returns a Rate without a prior or measurements.
func NewRate() *Rate { return &Rate{} }

// SetExpectedSlots sets the prior: the number of slots that the entry can expect, which
// is its share of the slots of the service's targets.
func (r *Rate) SetExpectedSlots(slots float64) { r.prior = slots }

// SetSlots records the number of slots, in use or granted, that the entry holds from
// now on, and whether work waits for more.
func (r *Rate) SetSlots(slots int, backlogged bool, now time.Time) {
	r.advance(now)
	r.slots = slots
	r.backlogged = backlogged
}

// RecordFinished records the actual run time of a task that succeeded and the
// expected run time that its job's remaining work was computed from.
func (r *Rate) RecordFinished(expected, actual time.Duration, now time.Time) {
	r.advance(now)
	r.expectedSeconds += expected.Seconds()
	r.actualSeconds += actual.Seconds()
}

// advance decays the measurements and integrates the slots up to now.
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

// Value returns the rate in expected slot seconds per second, or 0 without a prior or
// measurements.
func (r *Rate) Value() float64 {
	slots := (r.backloggedSlotSeconds + r.prior*priorWeightSeconds) / (r.backloggedSeconds + priorWeightSeconds)
	correction := (r.expectedSeconds + priorWeightSlotSeconds) / (r.actualSeconds + priorWeightSlotSeconds)
	return slots * min(max(correction, minCorrection), maxCorrection)
}
