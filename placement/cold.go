package placement

import (
	"time"

	"github.com/catkinline/catkinline/routing"
)

// A target is cold, and slow, for a while after its start or an evacuation. It takes few tasks
// meanwhile, and its run times say nothing about it or the tasks.

const (
	// coldPenalty puts cold targets behind warm ones, but for those that the task avoids, or on which it would
	// take over three times as long as on the best one.
	coldPenalty = 3.5
	// coldFactor is how much longer a run may take on a cold target before that says anything about the task
	// or the target. Targets report how long they are cold, not how slow.
	coldFactor = 2.0
	// coldLongTask is the expected run time from which a task goes to a warm target, if one has free
	// capacity: what a slow target adds to it is more than its objective leaves.
	coldLongTask = 250 * time.Millisecond
	// coldReportDelay is how long after a revocation targets are taken for cold that have not said so
	// yet: they report every 1.5 s.
	coldReportDelay = 2 * time.Second
)

// cold reports whether a target is slow: as it reports, or for a moment after the evacuation of its
// domain was revoked, if the service's targets are slow then.
func (t *target) cold(route *routing.Route, now time.Time) bool {
	return now.Before(t.coldUntil) || route.ColdStart > 0 && now.Sub(t.revokedAt) < min(route.ColdStart, coldReportDelay)
}

// coldness returns the factor by which runs on the target may take longer because it is cold; 1: it is not.
func (t *target) coldness(route *routing.Route, now time.Time) float64 {
	if t.cold(route, now) {
		return coldFactor
	}
	return 1
}

// countColdStart delays the next start on a cold target, so that the placers together do not exceed
// the rate that it takes without harm.
func (s *Scheduler) countColdStart(t *target, route *routing.Route, now time.Time) {
	if route.ColdRate <= 0 {
		return
	}
	placers := 1.0
	if s.opts.Entries != nil {
		placers = max(1, float64(s.opts.Entries()))
	}
	t.nextColdStart = now.Add(seconds(placers / route.ColdRate))
}

// coldPenaltyOf returns what a cold target loses in the score for a step: urgent and long tasks go to
// a warm one if there is one with free capacity.
func coldPenaltyOf(j *activeJob, step int) float64 {
	if j.request.Route.Priority == 0 || j.expected[step] >= coldLongTask {
		return coldPenalty
	}
	return 0
}
