// Package outlier watches the health of one service's targets in one entry and
// ejects those that fail or are slow where others are not.
package outlier

import (
	"time"

	"github.com/catkinline/catkinline/internal/options"
)

// Options set the detector. Zero fields take the defaults.
type Options struct {
	MaxEjectedShare float64       // share of the targets that may be out of full use, rounded down; default 0.5
	Backoff         time.Duration // of a first ejection, doubled by each further one; default 2 s
	MaxBackoff      time.Duration // default 60 s
	SlowFactor      float64       // run time relative to the median target from which a target is ejected; default 5
	Disabled        bool          // baseline: every target is healthy and has weight 1
}

func (o Options) withDefaults() Options {
	options.Default(&o.MaxEjectedShare, 0.5)
	options.Default(&o.Backoff, 2*time.Second)
	options.Default(&o.MaxBackoff, time.Minute)
	if o.SlowFactor <= 1 {
		o.SlowFactor = 5
	}
	return o
}

// State is the health of a target.
type State uint8

// States. An ejected target gets no task; one on probation gets one at a time.
const (
	Healthy State = iota
	Probation
	Ejected
)

// String returns the state's name in metrics and logs.
func (s State) String() string {
	switch s {
	case Probation:
		return "probation"
	case Ejected:
		return "ejected"
	}
	return "healthy"
}

const (
	// windowSize is the number of a target's last outcomes that are looked at.
	windowSize = 32
	// maxOutcomeAge is how long an outcome counts against its target.
	maxOutcomeAge = time.Minute
	// minExcess is the number of failures beyond those that other targets would
	// have had, from which a target is ejected. Four tasks in a row that succeed
	// on one other target reach it.
	minExcess = 3.0
	// restoreExcess is the number of such failures below which an ejected target
	// is restored. The gap to minExcess keeps a failure or two on other targets
	// from restoring one.
	restoreExcess = 1.5
	// minExcessRate is the least share of tasks that such failures make up.
	minExcessRate = 0.4
	// backoffResetAfter is the time without an ejection after which the backoff
	// starts again from its shortest.
	backoffResetAfter = 5 * time.Minute
	// sharedFailureRate is the failure rate on other targets from which a failure on
	// probation does not count.
	sharedFailureRate = 0.5
)

// Detector holds the health of one service's targets. It is not safe for
// concurrent use.
type Detector struct {
	options         Options
	targets         map[string]*target
	keys            map[string]*keyStats
	restrictedCount int // targets that are ejected or on probation
	median          float64
	sinceMedian     int // observations since the median was taken
}

// target is the record of one target.
type target struct {
	name         string
	window       []outcome // oldest first
	restricted   bool      // ejected or, after until, on probation
	slow         bool      // was ejected for its speed
	ejectedUntil time.Time
	backoff      time.Duration
	speed        speed
}

// New returns a detector without targets.
func New(o Options) *Detector {
	return &Detector{options: o.withDefaults(), targets: map[string]*target{}, keys: map[string]*keyStats{}}
}

// Add makes a target known, so that it counts in the share that may be ejected.
// Observe does the same.
func (d *Detector) Add(name string) { d.target(name) }

func (d *Detector) target(name string) *target {
	t, ok := d.targets[name]
	if !ok {
		t = &target{name: name}
		d.targets[name] = t
	}
	return t
}

// Remove forgets a target.
func (d *Detector) Remove(name string) {
	t, ok := d.targets[name]
	if !ok {
		return
	}
	d.clear(t)
	if t.restricted {
		d.restrictedCount--
	}
	delete(d.targets, name)
}

// SetMaxEjectedShare changes the share of the targets that may be out of full use.
// Targets that are out stay out until their probation ends.
func (d *Detector) SetMaxEjectedShare(share float64) { d.options.MaxEjectedShare = share }

// State returns a target's health.
func (d *Detector) State(name string, now time.Time) State {
	t, ok := d.targets[name]
	if !ok || !t.restricted {
		return Healthy
	}
	if now.Before(t.ejectedUntil) {
		return Ejected
	}
	return Probation
}

// Observe takes in the outcome of a task that ran or may have run. Refusals and
// cancelled tasks are not outcomes. Key names work that succeeds or fails alike,
// such as the label set and the workspace: failures of a key that also fails on other
// targets are its caller's fault. Expected is the estimate of the run time.
func (d *Detector) Observe(name, key string, ok bool, runTime, expected time.Duration, now time.Time) {
	if d.options.Disabled {
		return
	}
	t := d.target(name)
	d.record(t, outcome{key: key, ok: ok, at: now})
	if ok {
		d.observeSpeed(t, runTime, expected)
	}
	if t.restricted {
		d.observeProbation(t, key, ok, runTime, expected, now)
	} else if d.failing(t, minExcess, now) {
		d.eject(t, false, now)
	} else if ok && d.isSlow(t) {
		d.eject(t, true, now)
	}
	if !ok {
		d.restoreExcused(key, now)
	}
}

// observeProbation takes in an outcome of a target on probation: one success in
// reasonable time ends it, one failure extends it.
func (d *Detector) observeProbation(t *target, key string, ok bool, runTime, expected time.Duration, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	if !ok {
		if d.failureRateElsewhere(t, key) < sharedFailureRate {
			d.extend(t, now)
		}
		return
	}
	if t.slow && d.slowdown(logRatio(runTime, expected)) > d.slowLimit() {
		d.extend(t, now)
		return
	}
	d.restore(t)
	d.clear(t)
	t.speed = speed{}
}

func (d *Detector) restore(t *target) {
	t.restricted = false
	d.restrictedCount--
}

// eject takes a target out, unless too many are out already.
func (d *Detector) eject(t *target, slow bool, now time.Time) {
	if float64(d.restrictedCount+1) > d.options.MaxEjectedShare*float64(len(d.targets)) {
		return
	}
	d.restrictedCount++
	t.restricted = true
	t.slow = slow
	if now.Sub(t.ejectedUntil) > backoffResetAfter {
		t.backoff = 0
	}
	d.extend(t, now)
}

// extend ejects a target for a backoff twice as long as the last.
func (d *Detector) extend(t *target, now time.Time) {
	t.backoff = min(max(2*t.backoff, d.options.Backoff), d.options.MaxBackoff)
	t.ejectedUntil = now.Add(t.backoff)
}

// restoreExcused restores ejected targets whose failures have turned out to be those of
// a key that fails elsewhere too. The first targets to run a caller's bad tasks
// would otherwise be ejected for them.
func (d *Detector) restoreExcused(key string, now time.Time) {
	if d.restrictedCount == 0 {
		return
	}
	for name := range d.keys[key].tallies {
		t := d.targets[name]
		if t.restricted && !t.slow && now.Before(t.ejectedUntil) && !d.failing(t, restoreExcess, now) {
			d.restore(t)
			t.backoff /= 2
		}
	}
}
