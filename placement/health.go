package placement

import (
	"math"
	"time"

	"github.com/catkinline/catkinline/wire"
)

// health is what results say about a target.
type health struct {
	logSlowness float64 // mean logarithm of run time over expected
	weight      float64
	failures    int // in a row
	until       time.Time
	backoff     time.Duration
	lastStart   time.Time
}

const (
	slownessMemory = 20.0
	// failuresInRow is the number of failed or lost runs in a row from which a
	// target gets no work for a while.
	failuresInRow = 3
	minBackoff    = 500 * time.Millisecond
	maxBackoff    = 4 * time.Second
)

func (h *health) started(now time.Time) { h.lastStart = now }

// accepts reports whether a target may get a run: always while it is trusted,
// one at a time after a pause.
func (h *health) accepts(t *target, now time.Time) bool {
	if h.failures < failuresInRow {
		return true
	}
	return !now.Before(h.until) && len(t.runs) == 0
}

// slowness is a target's run time relative to what is expected, 1 where nothing
// is known.
func (h *health) slowness(time.Time) float64 {
	return math.Exp(h.logSlowness)
}

func (h *health) observe(s *Scheduler, t *target, r *run, end wire.End, took time.Duration, now time.Time) {
	switch end {
	case wire.EndDone:
		h.failures, h.backoff = 0, 0
		h.weight = min(h.weight+1, slownessMemory)
		h.logSlowness += (math.Log(float64(max(took, minRun))/float64(max(r.expected, minRun))) - h.logSlowness) / h.weight
	case wire.EndFailed:
		h.failures++
		if h.failures >= failuresInRow {
			h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
			h.until = now.Add(h.backoff)
			s.changed(t, "distrusted", h.backoff.String())
		}
	}
}
