package load

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// outcome is how a job ended for its caller.
type outcome int

const (
	outcomeNone       outcome = iota
	outcomeComplete           // complete answer to this request
	outcomeFailed             // failure report with a code
	outcomeBroken             // broken connection or an answer that is no answer
	outcomeCancelled          // by a wave
	outcomeUnanswered         // still no answer at the end
	outcomeNotSent            // over max_outstanding
)

// record is what happened to one job; its goroutine is the only writer.
type record struct {
	job     *plannedJob
	outcome outcome
	took    time.Duration // from the intended arrival
	failure failure
	detail  string   // of a broken answer
	wrong   string   // violation found in the answer
	tasks   []string // identities of a complete answer
}

// deadlineGrace is how long after its deadline a job's answer is awaited.
const deadlineGrace = 10 * time.Second

// driver sends the jobs of one run.
type driver struct {
	plan     *resolved
	run      string // prefix of request keys and echoes
	client   *http.Client
	balancer *balancer
	records  []record
	start    time.Time

	mu          sync.Mutex
	outstanding map[int]context.CancelCauseFunc
}

// errWave is the cause of a cancellation by a wave.
var errWave = Err.New("cancelled by a wave")

func newDriver(plan *resolved, run string, jobs []plannedJob, b *balancer) *driver {
	d := &driver{
		plan:        plan,
		run:         run,
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

// newClient returns a client that never waits for a connection.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
	}}
}

// drive sends every job at its time, waits for the answers and returns when all
// jobs have ended or the time to drain is over.
func (d *driver) drive(ctx context.Context) {
	d.start = time.Now()
	end := d.start.Add(seconds(d.plan.Seconds + d.plan.DrainSeconds))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var jobs sync.WaitGroup
	jobs.Go(func() { d.wave(ctx) })
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

func (d *driver) admit(i int, cancel context.CancelCauseFunc) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.outstanding) >= d.plan.MaxOutstanding {
		return false
	}
	d.outstanding[i] = cancel
	return true
}

func (d *driver) release(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outstanding[i](nil)
	delete(d.outstanding, i)
}

// wave cancels jobs at the times of the waves.
func (d *driver) wave(ctx context.Context) {
	waves := slices.SortedFunc(slices.Values(d.plan.Waves), func(a, b Wave) int {
		return int(seconds(a.AtSeconds) - seconds(b.AtSeconds))
	})
	for _, w := range waves {
		if w.AtSeconds > d.plan.Seconds || !sleepUntil(ctx, d.start.Add(seconds(w.AtSeconds))) {
			return
		}
		d.mu.Lock()
		for i, cancel := range d.outstanding {
			job := d.records[i].job
			concerned := len(w.Classes) == 0 || slices.Contains(w.Classes, job.class.Name)
			if concerned && job.cancel < w.Share {
				cancel(errWave)
			}
		}
		d.mu.Unlock()
	}
}

// send submits one job and records how it ended.
func (d *driver) send(ctx context.Context, i int, intended time.Time) {
	r := &d.records[i]
	limit := time.Duration(r.job.class.DeadlineMS)*time.Millisecond + deadlineGrace
	ctx, cancel := context.WithDeadline(ctx, intended.Add(limit))
	defer cancel()
	a, err := d.post(ctx, d.balancer.pick(r.job.entry), d.body(i))
	r.took = time.Since(intended)
	switch {
	case err == nil:
		d.judge(r, i, a)
	case context.Cause(ctx) == errWave:
		r.outcome = outcomeCancelled
	case ctx.Err() != nil:
		r.outcome = outcomeUnanswered
	default:
		r.outcome, r.detail = outcomeBroken, err.Error()
	}
}

// maxAnswerBytes bounds an answer; it is above 160 results of 4 MiB in base64.
const maxAnswerBytes = 1 << 30

func (d *driver) post(ctx context.Context, base string, body io.Reader) (reply, error) {
	url := base + "/v1/services/" + d.plan.Service + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, err
	}
	return parseReply(response.StatusCode, data)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleepUntil waits for a point in time and reports false if ctx ended first.
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
