package admission

import "time"

const (
	// minRetryAfter keeps a refused caller from retrying before the queue can have
	// changed.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest that a person waits before giving up.
	maxRetryAfter = 60 * time.Second
	// retryRateShare is the fraction of the rate that is reserved for retries; the
	// rest is left for new jobs.
	retryRateShare = 0.5
	// retryJitter is the largest delay added to a retry hint, as a fraction of the
	// hint.
	retryJitter = 0.25
)

// retryAfter returns the time after which a refused job should be retried: when the
// work ahead of it is expected to be done, and after the retries scheduled before it.
// Refused jobs thus return at about retryRateShare of the rate rather than all at
// once, which would cause the next load peak.
func (c *Controller) retryAfter(r Request, now time.Time) time.Duration {
	wait, own := minRetryAfter, time.Duration(0)
	if rate := c.rateFor(r); rate > 0 {
		wait = max(minRetryAfter, scaleDuration(r.WorkAhead, 1/rate))
		own = scaleDuration(r.Work, 1/(rate*retryRateShare))
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

// jitter adds up to retryJitter to a retry hint. Hints that reach maxRetryAfter would
// all be equal, so they are spread over the upper half of it.
func (c *Controller) jitter(d time.Duration) time.Duration {
	d += time.Duration(c.random.Float64() * retryJitter * float64(d))
	if d < maxRetryAfter {
		return d
	}
	return maxRetryAfter - time.Duration(c.random.Float64()*float64(maxRetryAfter)/2)
}
