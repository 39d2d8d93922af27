package outlier

import "time"

// outcome is the result of one task.
type outcome struct {
	key string
	ok  bool
	at  time.Time
}

// tally counts the outcomes of one key in one target's window.
type tally struct {
	tasks, failed int
}

func (t *tally) failureRate() float64 {
	if t == nil || t.tasks == 0 {
		return 0
	}
	return float64(t.failed) / float64(t.tasks)
}

// keyStats holds one key's outcomes by target. Failure rates are averaged over
// targets rather than tasks, since a target that fails fast processes the most tasks.
// Memory is bounded by the targets' windows.
type keyStats struct {
	tallies map[string]*tally
	rateSum float64 // sum of the failure rates of all targets
}

// record adds an outcome to a target's window.
func (d *Detector) record(t *target, o outcome) {
	if len(t.window) == windowSize {
		d.updateTally(t, t.window[0], -1)
		copy(t.window, t.window[1:])
		t.window = t.window[:windowSize-1]
	}
	t.window = append(t.window, o)
	d.updateTally(t, o, 1)
}

// clear empties a target's window.
func (d *Detector) clear(t *target) {
	for _, o := range t.window {
		d.updateTally(t, o, -1)
	}
	t.window = t.window[:0]
}

func (d *Detector) updateTally(t *target, o outcome, sign int) {
	k, ok := d.keys[o.key]
	if !ok {
		k = &keyStats{tallies: map[string]*tally{}}
		d.keys[o.key] = k
	}
	c, ok := k.tallies[t.name]
	if !ok {
		c = &tally{}
		k.tallies[t.name] = c
	}
	k.rateSum -= c.failureRate()
	c.tasks += sign
	if !o.ok {
		c.failed += sign
	}
	k.rateSum += c.failureRate()
	if c.tasks > 0 {
		return
	}
	delete(k.tallies, t.name)
	if len(k.tallies) == 0 {
		delete(d.keys, o.key)
	}
}

// failureRateElsewhere returns a key's mean failure rate on targets other than t,
// with a prior of one half. A key that ran on no other target thus counts as one
// half: its failures may be caused by the task or by the target.
func (d *Detector) failureRateElsewhere(t *target, key string) float64 {
	k := d.keys[key]
	if k == nil {
		return 0.5
	}
	others, rates := len(k.tallies), k.rateSum
	if own, ok := k.tallies[t.name]; ok {
		others--
		rates -= own.failureRate()
	}
	return (max(0, rates) + 0.5) / float64(others+1)
}

// failing reports whether, over any number of a target's latest outcomes, at least
// limit more tasks failed than expected from the failure rates on other targets. It
// checks every suffix of the window, so that a long good record does not hide a
// target that now fails every task.
func (d *Detector) failing(t *target, limit float64, now time.Time) bool {
	excess := 0.0
	for i := len(t.window) - 1; i >= 0; i-- {
		o := t.window[i]
		if now.Sub(o.at) > maxOutcomeAge {
			return false
		}
		excess -= d.failureRateElsewhere(t, o.key)
		if !o.ok {
			excess++
		}
		n := float64(len(t.window) - i)
		if excess >= limit && excess >= minExcessRate*n {
			return true
		}
	}
	return false
}
