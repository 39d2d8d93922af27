package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/workload"
)

const (
	// callerTimeout is the time that a caller waits for the response, over all sends.
	callerTimeout = 8 * time.Second
	// impatientTimeout is the time budget of callers that leave when it is over and send the job
	// again, as the platform's callers do.
	impatientTimeout = 1500 * time.Millisecond
	// impatientOneIn is the number of callers of which one is impatient.
	impatientOneIn = 3
	// resendDelay is the delay before a caller resends a job after a broken connection.
	resendDelay = 1300 * time.Millisecond
	// maxSends is the maximum number of times that a caller sends a job.
	maxSends = 3
	// crashOneIn is the number of jobs of which one crashes its targets, while some do.
	crashOneIn = 10
	// lossTolerance is the time after the last byte of a request in which a planned stop
	// may lose it, unless one of its tasks has started.
	lossTolerance = 200 * time.Millisecond
)

// counts counts the callers' jobs by outcome.
type counts struct {
	Jobs    int64 `json:"jobs"`
	Served  int64 `json:"served"`
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"` // by every gateway that was tried
	Broken  int64 `json:"broken"`  // no complete response, or an unknown outcome
	Left    int64 `json:"left"`    // the caller disconnected
}

// callers submits jobs to the gateways and checks the responses.
type callers struct {
	b      *testbed
	client *http.Client
	jobs   sync.WaitGroup
	number atomic.Uint64

	mu          sync.Mutex
	refusedJobs []*callerJob // refused by every gateway that was tried

	jobsSent, served, failed, refused, broken, left atomic.Int64
}

func newCallers(b *testbed) *callers {
	return &callers{b: b, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64,
	}}}
}

func (c *callers) counts() counts {
	return counts{
		Jobs: c.jobsSent.Load(), Served: c.served.Load(), Failed: c.failed.Load(), Refused: c.refused.Load(),
		Broken: c.broken.Load(), Left: c.left.Load(),
	}
}

// run submits jobs with Poisson arrivals until ctx ends.
func (c *callers) run(ctx context.Context, rnd *rand.Rand, perSecond float64) {
	crashRandom := rand.New(rand.NewPCG(c.b.seed, 4))
	impatience := rand.New(rand.NewPCG(c.b.seed, 6))
	for sleep(ctx, time.Duration(rnd.ExpFloat64()/perSecond*float64(time.Second))) {
		j := c.randomJob(rnd)
		j.impatient = !c.b.plain && impatience.IntN(impatientOneIn) == 0
		if c.b.crashingJobs.Load() && crashRandom.IntN(crashOneIn) == 0 {
			j.crash()
		}
		c.jobs.Go(func() { c.submit(j) })
	}
}

// callerJob is a job and the behavior of its caller.
type callerJob struct {
	job             workload.Job
	disconnectAfter time.Duration // when the caller disconnects; 0: never
	impatient       bool          // each send has a time budget of its own, after which the caller leaves
	firstGateway    int           // index of the first gateway
	sends           []send
}

// send is one attempt to submit a job.
type send struct {
	gateway     *node
	incarnation int
	from, to    time.Time
	response    platform.JobResponse
	err         error
	started     bool // a task of the job has started since from
}

func (c *callers) randomJob(rnd *rand.Rand) *callerJob {
	shape := pick(rnd, jobShapes)
	j := &callerJob{firstGateway: rnd.IntN(len(c.b.gateways))}
	failures := 0 // number of first runs of each task that fail
	switch rnd.IntN(20) {
	case 0:
		failures = 1
	case 1:
		failures = MaxAttempts
	case 2:
		j.disconnectAfter = time.Duration(20+rnd.IntN(600)) * time.Millisecond
	}
	j.job = newJob(c.nextID(), shape.tasks, taskSpec{cpu: taskCPU, runTime: shape.runTime, failures: failures})
	return j
}

// crash makes the job crash the targets of its tasks.
func (j *callerJob) crash() {
	s := parseSpec(j.job.Spec)
	s.crashes = true
	j.job.Spec = s.String()
	j.job.Steps[0].Tasks = 1
}

// nextID returns a new job id.
func (c *callers) nextID() string { return fmt.Sprintf("%016x", c.number.Add(1)) }

// submit sends a job until it gets a response, as the platform's callers do: after a
// broken connection or a refusal it tries the next gateway.
func (c *callers) submit(j *callerJob) {
	c.jobsSent.Add(1)
	ctx, cancel := context.WithTimeout(c.b.ctx, callerTimeout)
	defer cancel()
	if j.disconnectAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, j.disconnectAfter)
		defer cancel()
	}
	for i := range maxSends {
		s := c.send(ctx, c.b.gateways[(j.firstGateway+i)%len(c.b.gateways)], commonPrefix, j)
		j.sends = append(j.sends, s)
		timedOut := j.impatient && s.response.Status == http.StatusGatewayTimeout
		if s.err == nil && !s.response.Refused() && !timedOut {
			break
		}
		pause := resendDelay
		if s.err == nil && !timedOut {
			pause = s.response.RetryAfter
		}
		if !sleep(ctx, pause) {
			break
		}
	}
	c.checkResponses(j)
}

func (c *callers) send(ctx context.Context, g *node, prefix string, j *callerJob) send {
	s := send{gateway: g, incarnation: g.incarnation(), from: time.Now()}
	startsBefore := c.b.runChecker.startsOf(j.job.ID)
	budget := callerTimeout
	if j.impatient {
		budget = impatientTimeout
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, budget)
		defer cancel()
	}
	r, err := platform.NewJobRequest(ctx, g.callerAddress, host, prefix, j.job, budget)
	if err == nil {
		var resp *http.Response
		if resp, err = c.client.Do(r); err == nil {
			s.response, err = platform.ReadJobResponse(resp)
		}
	}
	s.err, s.to, s.started = err, time.Now(), c.b.runChecker.startsOf(j.job.ID) > startsBefore
	return s
}

// checkResponses checks a job's responses against the runs on the targets.
func (c *callers) checkResponses(j *callerJob) {
	last := j.sends[len(j.sends)-1]
	for _, s := range j.sends {
		c.checkLost(j, s)
		if s.err == nil && s.response.Status == http.StatusNotFound {
			c.b.runChecker.reportViolation("CONFIG", "%s responds 404 on a route that every version has, job %s", s.gateway.name, j.job.ID)
		}
	}
	switch {
	case last.err != nil && j.disconnectAfter > 0:
		c.left.Add(1)
	case last.err != nil:
		c.broken.Add(1)
	case last.response.State == "done":
		c.served.Add(1)
		c.b.runChecker.checkDone(j.job)
	case last.response.State == "failed":
		c.failed.Add(1)
		c.b.runChecker.checkFailed(j.job.ID)
	case last.response.Refused():
		c.refused.Add(1)
	default:
		c.broken.Add(1)
	}
	if j.alwaysRefused() {
		c.mu.Lock()
		c.refusedJobs = append(c.refusedJobs, j)
		c.mu.Unlock()
	}
	if !c.b.timeline.calm(everywhere, j.sends[0].from.Add(-quietPeriod), last.to) {
		return
	}
	if j.disconnectAfter == 0 && !j.impatient && (last.err != nil || last.response.State == "") {
		c.b.runChecker.reportViolation("CALM", "job %s is not served although no fault was active: status %d %s %v", j.job.ID, last.response.Status, last.response.Reason, last.err)
	}
}

// checkLost checks that a request that a gateway has read gets a complete response
// unless an unplanned fault was active.
func (c *callers) checkLost(j *callerJob, s send) {
	var dial *net.OpError
	if s.err == nil || errors.Is(s.err, context.DeadlineExceeded) || errors.As(s.err, &dial) && dial.Op == "dial" {
		return // the caller disconnected, or the request was never sent
	}
	if !c.b.timeline.calm(everywhere, s.from.Add(-quietPeriod), s.to) {
		return
	}
	if s.to.Sub(s.from) > lossTolerance || s.started {
		c.b.runChecker.reportViolation("LOST", "job %s lost at %s after %v: %v", j.job.ID, s.gateway.name, s.to.Sub(s.from), s.err)
	}
}

// alwaysRefused reports whether every response said that the job has not run.
func (j *callerJob) alwaysRefused() bool {
	for _, s := range j.sends {
		if s.err != nil || !s.response.Refused() {
			return false
		}
	}
	return true
}

// checkRefused checks that no task of a refused job has started, then or later.
func (c *callers) checkRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.refusedJobs {
		if c.b.runChecker.started(j.job.ID) {
			c.b.runChecker.reportViolation("REFUSED", "job %s was refused %d times and a task of it has started", j.job.ID, len(j.sends))
		}
	}
}
