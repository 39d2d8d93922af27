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
	// windowTasks is the number of a target's last outcomes that are looked at.
	windowTasks = 32
	// maxAge is how long an outcome counts against its target.
	maxAge = time.Minute
	// minExcess is the number of failures beyond those that other targets would
	// have had, from which a target is ejected. Four tasks in a row that succeed
	// on one other target reach it.
	minExcess = 3.0
	// acquitExcess is the number of such failures below which an ejected target
	// is restored. The gap to minExcess keeps a failure or two on other targets
	// from restoring one.
	acquitExcess = 1.5
	// minExcessRate is the least share of tasks that such failures make up.
	minExcessRate = 0.4
	// forgiveAfter is the time without an ejection after which the backoff
	// starts again from its shortest.
	forgiveAfter = 5 * time.Minute
	// ownFault is the failure rate on other targets from which a failure on
	// probation does not count.
	ownFault = 0.5
)

// Detector holds the health of one service's targets. It is not safe for
// concurrent use.
type Detector struct {
	options Options
	targets map[string]*target
	keys    map[string]*keyStat
	out     int // targets that are ejected or on probation
	median  float64
	seen    int // observations since the median was taken
}

// target is the record of one target.
type target struct {
	name    string
	window  []sample // oldest first
	out     bool     // ejected or, after until, on probation
	slow    bool     // was ejected for its speed
	until   time.Time
	backoff time.Duration
	speed   speed
}

// New returns a detector without targets.
func New(o Options) *Detector {
	return &Detector{options: o.withDefaults(), targets: map[string]*target{}, keys: map[string]*keyStat{}}
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
	if t.out {
		d.out--
	}
	delete(d.targets, name)
}

// SetMaxEjectedShare changes the share of the targets that may be out of full use.
// Targets that are out stay out until their probation ends.
func (d *Detector) SetMaxEjectedShare(share float64) { d.options.MaxEjectedShare = share }

// State returns a target's health.
func (d *Detector) State(name string, now time.Time) State {
	t, ok := d.targets[name]
	if !ok || !t.out {
		return Healthy
	}
	if now.Before(t.until) {
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
	d.record(t, sample{key: key, ok: ok, at: now})
	if ok {
		d.observeSpeed(t, runTime, expected)
	}
	if t.out {
		d.observeOut(t, key, ok, runTime, expected, now)
	} else if d.failing(t, minExcess, now) {
		d.eject(t, false, now)
	} else if ok && d.tooSlow(t) {
		d.eject(t, true, now)
	}
	if !ok {
		d.acquit(key, now)
	}
}

// observeOut takes in an outcome of a target on probation: one success in
// reasonable time ends it, one failure extends it.
func (d *Detector) observeOut(t *target, key string, ok bool, runTime, expected time.Duration, now time.Time) {
	if now.Before(t.until) {
		return
	}
	if !ok {
		if d.elsewhere(t, key) < ownFault {
			d.extend(t, now)
		}
		return
	}
	if t.slow && d.relative(logRatio(runTime, expected)) > d.slowLimit() {
		d.extend(t, now)
		return
	}
	d.restore(t)
	d.clear(t)
	t.speed = speed{}
}

func (d *Detector) restore(t *target) {
	t.out = false
	d.out--
}

// eject takes a target out, unless too many are out already.
func (d *Detector) eject(t *target, slow bool, now time.Time) {
	if float64(d.out+1) > d.options.MaxEjectedShare*float64(len(d.targets)) {
		return
	}
	d.out++
	t.out = true
	t.slow = slow
	if now.Sub(t.until) > forgiveAfter {
		t.backoff = 0
	}
	d.extend(t, now)
}

// extend ejects a target for a backoff twice as long as the last.
func (d *Detector) extend(t *target, now time.Time) {
	t.backoff = min(max(2*t.backoff, d.options.Backoff), d.options.MaxBackoff)
	t.until = now.Add(t.backoff)
}

// acquit restores ejected targets whose failures have turned out to be those of
// a key that fails elsewhere too. The first targets to run a caller's bad tasks
// would otherwise be ejected for them.
func (d *Detector) acquit(key string, now time.Time) {
	if d.out == 0 {
		return
	}
	for name := range d.keys[key].tallies {
		t := d.targets[name]
		if t.out && !t.slow && now.Before(t.until) && !d.failing(t, acquitExcess, now) {
			d.restore(t)
			t.backoff /= 2
		}
	}
}
