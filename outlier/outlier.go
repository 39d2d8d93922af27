// Package outlier tracks the health of one service's targets as seen by one entry. It
// ejects targets that fail or run slowly compared with the others.
package outlier

import (
	"time"

	"github.com/catkinline/catkinline/internal/options"
)

// Options configure a Detector. Zero fields take the defaults.
type Options struct {
	MaxEjectedShare float64       // fraction of the targets that may be ejected or on probation, rounded down; default 0.5
	Backoff         time.Duration // duration of a first ejection, doubled by each further one; default 2 s
	MaxBackoff      time.Duration // longest ejection; default 60 s
	SlowFactor      float64       // run time relative to the median target from which a target is ejected; default 5
	Disabled        bool          // treats every target as healthy with weight 1; for baseline measurements
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

// States of a target. An ejected target gets no tasks; one on probation gets one at a
// time.
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
	// windowSize is the number of latest outcomes that are kept for a target.
	windowSize = 32
	// maxOutcomeAge is how long an outcome counts against its target.
	maxOutcomeAge = time.Minute
	// minExcess is the number of failures, beyond those expected from the failure
	// rates on other targets, at which a target is ejected. Four tasks in a row that
	// succeed on one other target reach it when they fail here.
	minExcess = 3.0
	// restoreExcess is the number of excess failures below which an ejected target is
	// restored. The gap to minExcess keeps one or two failures on other targets from
	// restoring a target.
	restoreExcess = 1.5
	// minExcessRate is the minimum ratio of excess failures to tasks for an ejection.
	minExcessRate = 0.4
	// backoffResetAfter is the time without an ejection after which the backoff
	// starts from Options.Backoff again.
	backoffResetAfter = 5 * time.Minute
	// sharedFailureRate is the failure rate of a key on other targets at which a
	// failure on probation is not attributed to the target.
	sharedFailureRate = 0.5
)

// Detector tracks the health of one service's targets. It is not safe for concurrent
// use.
type Detector struct {
	options         Options
	targets         map[string]*target
	keys            map[string]*keyStats
	restrictedCount int // targets that are ejected or on probation
	median          float64
	sinceMedian     int // speed observations since median was computed
}

// target is the record of one target.
type target struct {
	name         string
	window       []outcome // oldest first
	restricted   bool      // ejected or, after ejectedUntil, on probation
	slow         bool      // ejected for its speed, not for failures
	ejectedUntil time.Time
	backoff      time.Duration
	speed        speed
}

// New returns a Detector without targets.
func New(o Options) *Detector {
	return &Detector{options: o.withDefaults(), targets: map[string]*target{}, keys: map[string]*keyStats{}}
}

// Add registers a target, so that it counts toward the number that MaxEjectedShare is
// a fraction of. Observe does so too.
func (d *Detector) Add(name string) { d.target(name) }

func (d *Detector) target(name string) *target {
	t, ok := d.targets[name]
	if !ok {
		t = &target{name: name}
		d.targets[name] = t
	}
	return t
}

// Remove drops a target and its outcomes.
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

// SetMaxEjectedShare changes Options.MaxEjectedShare. Targets that are already
// ejected stay so until their probation ends.
func (d *Detector) SetMaxEjectedShare(share float64) { d.options.MaxEjectedShare = share }

// State returns a target's health; an unknown target is healthy.
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

// Observe records the outcome of a task that ran or may have run. Refusals and
// cancelled tasks must not be reported. Key identifies tasks that are expected to
// succeed or fail alike, such as those with the same labels and workspace: failures
// of a key that also fails on other targets are attributed to its caller. Expected is
// the estimated run time.
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

// observeProbation handles an outcome of a target on probation: one success within
// the slow limit ends probation, and one failure ejects the target again.
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

// eject ejects a target, unless MaxEjectedShare is reached.
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

// extend ejects a target for twice its previous backoff.
func (d *Detector) extend(t *target, now time.Time) {
	t.backoff = min(max(2*t.backoff, d.options.Backoff), d.options.MaxBackoff)
	t.ejectedUntil = now.Add(t.backoff)
}

// restoreExcused restores ejected targets whose failures are explained by a key that
// also fails on other targets. Without it, the first targets to run a caller's faulty
// tasks would stay ejected for them.
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
