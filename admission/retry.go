package admission

import "time"

const (
	// minRetryAfter keeps a refused caller from asking again before the queue can
	// have changed.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is as long as a person waits before giving up.
	maxRetryAfter = 60 * time.Second
	// retryRateShare is the share of the rate that is promised to resubmissions; the
	// rest is left for new jobs.
	retryRateShare = 0.5
	// retryJitter spreads resubmissions, as a share of the hint.
	retryJitter = 0.25
)

// retryAfter returns when a refused job should be sent again: when the work
// ahead of it is expected to be gone, and after the resubmissions promised
// before it. Refused jobs thus come back at about retryShare of the rate instead
// of all at once, which would be the next peak.
func (c *Controller) retryAfter(r Request, now time.Time) time.Duration {
	wait, own := minRetryAfter, time.Duration(0)
	if rate := c.rateFor(r); rate > 0 {
		wait = max(minRetryAfter, scaled(r.WorkAhead, 1/rate))
		own = scaled(r.Work, 1/(rate*retryRateShare))
	}
	start := now.Add(wait)
	if c.retryHorizon.After(start) {
		start = c.retryHorizon
	}
	c.retryHorizon = start.Add(own)
	if latest := now.Add(maxRetryAfter); c.retryHorizon.After(latest) {
		c.retryHorizon = latest
	}
	return c.jitter(start.Sub(now))
}

// jitter adds up to retryJitter to a hint. At the bound, where hints no longer
// differ, it spreads them over half of the bound.
func (c *Controller) jitter(d time.Duration) time.Duration {
	d += time.Duration(c.random.Float64() * retryJitter * float64(d))
	if d < maxRetryAfter {
		return d
	}
	return maxRetryAfter - time.Duration(c.random.Float64()*float64(maxRetryAfter)/2)
}
