package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/catkinline/catkinline/workload"
)

const (
	// cancelInterval is the time between two jobs that are cancelled. Their tasks run for
	// cancelledRunTime, longer than any time that is waited for them.
	cancelInterval   = 400 * time.Millisecond
	cancelledRunTime = 12 * time.Second
	// cancelTime bounds the time from the acknowledgement of a cancelling until nothing of the job runs or
	// starts: 3 s, and 50 ms for the last stop.
	cancelTime = 3*time.Second + 50*time.Millisecond
	// cancelTolerance allows for the time between the response and the caller's clock.
	cancelTolerance = 100 * time.Millisecond
)

// cancelJobs hands in jobs and cancels them until ctx ends. The cancelling reaches another gateway
// than the job, before or after it, and a copy of the job's request arrives last.
func (c *callers) cancelJobs(ctx context.Context, rnd *rand.Rand) {
	for sleep(ctx, cancelInterval) {
		job := newJob(c.nextID(), 2, taskSpec{cpu: taskCPU / 40, runTime: cancelledRunTime})
		at, cancelAfter, copyAfter := rnd.IntN(len(c.b.gateways)), time.Duration(rnd.IntN(600))*time.Millisecond, time.Duration(rnd.IntN(2500))*time.Millisecond
		c.jobs.Go(func() { c.submitAndCancel(job, at, cancelAfter-100*time.Millisecond, copyAfter) })
	}
}

// submitAndCancel sends a job to a gateway, cancels it at the next one after a time, and sends a copy of the job
// to a third, at the earliest when a caller would send it again. A negative time means that the cancelling comes
// first.
func (c *callers) submitAndCancel(job workload.Job, at int, cancelAfter, copyAfter time.Duration) {
	ctx, leave := context.WithTimeout(c.b.ctx, callerTimeout)
	defer leave()
	gateway := func(i int) *node { return c.b.gateways[(at+i)%len(c.b.gateways)] }
	answered := make(chan struct{})
	c.jobs.Go(func() {
		defer close(answered)
		sleep(ctx, max(0, -cancelAfter))
		c.send(ctx, gateway(0), commonPrefix, &callerJob{job: job})
	})
	sleep(ctx, cancelAfter)
	acked := c.cancel(ctx, gateway(1), job.ID)
	if acked.IsZero() {
		return
	}
	c.jobs.Go(func() {
		<-answered
		if !sleep(ctx, resendDelay+copyAfter) {
			return
		}
		c.send(ctx, gateway(2), commonPrefix, &callerJob{job: job})
	})
	sleep(ctx, cancelTime+cancelTolerance)
	now := time.Now()
	if c.b.timeline.calm(everywhere, acked.Add(-quietPeriod), now) && c.b.runChecker.runs(job.ID) {
		c.b.runChecker.reportViolation("UNASKED", "job %s runs %v after its cancelling was acknowledged by %s", job.ID, now.Sub(acked), gateway(1).name)
	}
}

// cancel cancels a job and returns when that was acknowledged, or the zero time.
func (c *callers) cancel(ctx context.Context, g *node, id string) time.Time {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+g.callerAddress+commonPrefix+id, nil)
	if err != nil {
		return time.Time{}
	}
	r.Host = host
	resp, err := c.client.Do(r)
	if err != nil {
		return time.Time{}
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return time.Time{}
	}
	return time.Now()
}
