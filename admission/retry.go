package admission

import "time"

const (
	// minRetry keeps a refused caller from asking again before the queue can
	// have changed.
	minRetry = 200 * time.Millisecond
	// maxRetry is as long as a person waits before giving up.
	maxRetry = 60 * time.Second
	// retryShare is the share of the rate that is promised to resubmissions; the
	// rest is left for new jobs.
	retryShare = 0.5
	// retryJitter spreads resubmissions, as a share of the hint.
	retryJitter = 0.25
)

// retryAfter returns when a refused job should be sent again: when the work
// ahead of it is expected to be gone, and after the resubmissions promised
// before it. Refused jobs thus come back at about retryShare of the rate instead
// of all at once, which would be the next peak.
func (c *Controller) retryAfter(r Request, now time.Time) time.Duration {
	wait, own := minRetry, time.Duration(0)
	if rate := c.rateFor(r); rate > 0 {
		wait = max(minRetry, scaled(r.WorkAhead, 1/rate))
		own = scaled(r.Work, 1/(rate*retryShare))
	}
	start := now.Add(wait)
	if c.horizon.After(start) {
		start = c.horizon
	}
	c.horizon = start.Add(own)
	if latest := now.Add(maxRetry); c.horizon.After(latest) {
		c.horizon = latest
	}
	return c.jitter(start.Sub(now))
}

// jitter adds up to retryJitter to a hint. At the bound, where hints no longer
// differ, it spreads them over half of the bound.
func (c *Controller) jitter(d time.Duration) time.Duration {
	d += time.Duration(c.random.Float64() * retryJitter * float64(d))
	if d < maxRetry {
		return d
	}
	return maxRetry - time.Duration(c.random.Float64()*float64(maxRetry)/2)
}
