package load

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// outcome is how a job ended from the caller's point of view.
type outcome int

const (
	outcomeNone       outcome = iota
	outcomeComplete           // complete response
	outcomeFailed             // failure report with a code
	outcomeBroken             // connection error or invalid response
	outcomeCancelled          // by a cancellation wave
	outcomeUnanswered         // no response until the timeout or the end of the run
	outcomeNotSent            // max_outstanding was reached or the run ended
)

// record holds the result of one job. Only the goroutine that sends the job writes
// to it, or drive if the job is not sent.
type record struct {
	job       *plannedJob
	outcome   outcome
	took      time.Duration // from the intended arrival to the response
	failure   failure
	detail    string   // error of a broken outcome
	violation string   // guarantee that the response violates
	tasks     []string // task identities of a complete response
}

// deadlineGrace is the time after a job's deadline for which the driver still
// waits for the response.
const deadlineGrace = 10 * time.Second

// driver sends the jobs of one run at their scheduled times and records the results.
type driver struct {
	plan      *resolvedExperiment
	keyPrefix string // prefix of request keys and echo values
	client    *http.Client
	balancer  *balancer
	records   []record
	start     time.Time

	mu          sync.Mutex
	outstanding map[int]context.CancelCauseFunc
}

// errCancellationWave is the context cause of jobs that a cancellation wave cancels.
var errCancellationWave = Err.New("cancelled by a cancellation wave")

func newDriver(plan *resolvedExperiment, keyPrefix string, jobs []plannedJob, b *balancer) *driver {
	d := &driver{
		plan:        plan,
		keyPrefix:   keyPrefix,
		client:      newClient(plan.MaxOutstanding),
		balancer:    b,
		records:     make([]record, len(jobs)),
		outstanding: map[int]context.CancelCauseFunc{},
	}
	for i := range jobs {
		d.records[i].job = &jobs[i]
	}
	return d
}

// newClient returns an HTTP client without a limit on connections, so that requests
// never wait for one. It keeps up to the given number of idle connections.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
	}}
}

// drive sends every job at its scheduled time. It returns when all jobs have ended
// or the drain time is over.
func (d *driver) drive(ctx context.Context) {
	d.start = time.Now()
	end := d.start.Add(seconds(d.plan.Seconds + d.plan.DrainSeconds))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var jobs sync.WaitGroup
	jobs.Go(func() { d.runCancellationWaves(ctx) })
	for i := range d.records {
		r := &d.records[i]
		intended := d.start.Add(r.job.at)
		if !sleepUntil(ctx, intended) {
			r.outcome = outcomeNotSent
			continue
		}
		jobContext, cancelJob := context.WithCancelCause(ctx)
		if !d.admit(i, cancelJob) {
			r.outcome = outcomeNotSent
			continue
		}
		jobs.Go(func() {
			defer d.release(i)
			d.send(jobContext, i, intended)
		})
	}
	jobs.Wait()
	d.client.CloseIdleConnections()
}

// admit registers an outstanding job with its cancel function. It reports false if
// max_outstanding is reached.
func (d *driver) admit(i int, cancel context.CancelCauseFunc) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outstanding) >= d.plan.MaxOutstanding {
		return false
	}
	d.outstanding[i] = cancel
	return true
}

// release cancels the context of an outstanding job and unregisters it.
func (d *driver) release(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outstanding[i](nil)
	delete(d.outstanding, i)
}

// runCancellationWaves cancels outstanding jobs at the scheduled times.
func (d *driver) runCancellationWaves(ctx context.Context) {
	waves := slices.SortedFunc(slices.Values(d.plan.CancellationWaves), func(a, b CancellationWave) int {
		return int(seconds(a.AtSeconds) - seconds(b.AtSeconds))
	})
	for _, w := range waves {
		if w.AtSeconds > d.plan.Seconds || !sleepUntil(ctx, d.start.Add(seconds(w.AtSeconds))) {
			return
		}
		d.mu.Lock()
		for i, cancel := range d.outstanding {
			job := d.records[i].job
			selected := len(w.Classes) == 0 || slices.Contains(w.Classes, job.class.Name)
			if selected && job.cancel < w.Share {
				cancel(errCancellationWave)
			}
		}
		d.mu.Unlock()
	}
}

// send submits job i and records its outcome. The response time counts from the
// intended arrival.
func (d *driver) send(ctx context.Context, i int, intended time.Time) {
	r := &d.records[i]
	timeout := time.Duration(r.job.class.DeadlineMS)*time.Millisecond + deadlineGrace
	ctx, cancel := context.WithDeadline(ctx, intended.Add(timeout))
	defer cancel()
	response, err := d.post(ctx, d.balancer.pick(r.job.entry), d.body(i))
	r.took = time.Since(intended)
	switch {
	case err == nil:
		d.recordResponse(r, i, response)
	case context.Cause(ctx) == errCancellationWave:
		r.outcome = outcomeCancelled
	case ctx.Err() != nil:
		r.outcome = outcomeUnanswered
	default:
		r.outcome, r.detail = outcomeBroken, err.Error()
	}
}

// maxResponseBytes bounds a response body. 160 results of 4 MiB in base64 fit.
const maxResponseBytes = 1 << 30

func (d *driver) post(ctx context.Context, base string, body io.Reader) (apiResponse, error) {
	url := base + "/v1/services/" + d.plan.Service + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return apiResponse{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return apiResponse{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return apiResponse{}, err
	}
	return parseAPIResponse(response.StatusCode, data)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil waits until the given time. It reports false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
