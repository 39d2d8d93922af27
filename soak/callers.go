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
	// callerWait is how long a caller waits for its answer.
	callerWait = 8 * time.Second
	// resendPause is when a caller sends its job again after a broken connection.
	resendPause = 1300 * time.Millisecond
	// maxSends bounds how often a caller sends a job.
	maxSends = 3
	// lossSlack is how soon after its last byte a request may be lost in a planned
	// stop, unless one of its tasks has started.
	lossSlack = 200 * time.Millisecond
)

// counts are what became of the callers' jobs.
type counts struct {
	Jobs    int64 `json:"jobs"`
	Served  int64 `json:"served"`
	Failed  int64 `json:"failed"`
	Refused int64 `json:"refused"` // at every gateway that was asked
	Broken  int64 `json:"broken"`  // without a complete answer, or with an unknown outcome
	Left    int64 `json:"left"`    // the caller went away
}

// callers hand jobs in at the gateways and check the answers.
type callers struct {
	b      *testbed
	client *http.Client
	jobs   sync.WaitGroup
	number atomic.Uint64

	mu       sync.Mutex
	unserved []*callerJob // refused by every gateway that was asked

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

// run hands in jobs at a rate until ctx ends.
func (c *callers) run(ctx context.Context, rnd *rand.Rand, perSecond float64) {
	for sleep(ctx, time.Duration(rnd.ExpFloat64()/perSecond*float64(time.Second))) {
		j := c.draw(rnd)
		c.jobs.Go(func() { c.submit(j) })
	}
}

// callerJob is a job and how its caller behaves.
type callerJob struct {
	job    workload.Job
	leaves time.Duration // the caller goes away; 0: it does not
	first  int           // gateway
	sends  []send
}

// send is one attempt to hand a job in.
type send struct {
	gateway     *node
	incarnation int
	from, to    time.Time
	answer      platform.JobResponse
	err         error
	started     bool // a task of the job had started by then
}

func (c *callers) draw(rnd *rand.Rand) *callerJob {
	kind := pick(rnd, kinds)
	j := &callerJob{first: rnd.IntN(len(c.b.gateways))}
	failures := 0 // of each task's first runs
	switch rnd.IntN(20) {
	case 0:
		failures = 1
	case 1:
		failures = Attempts
	case 2:
		j.leaves = time.Duration(20+rnd.IntN(600)) * time.Millisecond
	}
	j.job = newJob(c.nextID(), kind.tasks, taskSpec{cpu: taskCPU, work: kind.work, failures: failures})
	return j
}

// nextID returns an id for a job.
func (c *callers) nextID() string { return fmt.Sprintf("%016x", c.number.Add(1)) }

// submit sends a job until it has an answer, as the platform's callers do: once more
// elsewhere after a broken connection or a refusal.
func (c *callers) submit(j *callerJob) {
	c.jobsSent.Add(1)
	ctx, cancel := context.WithTimeout(c.b.ctx, callerWait)
	defer cancel()
	if j.leaves > 0 {
		ctx, cancel = context.WithTimeout(ctx, j.leaves)
		defer cancel()
	}
	for i := range maxSends {
		s := c.send(ctx, c.b.gateways[(j.first+i)%len(c.b.gateways)], steadyPrefix, j.job)
		j.sends = append(j.sends, s)
		if s.err == nil && !s.answer.Refused() {
			break
		}
		pause := resendPause
		if s.err == nil {
			pause = s.answer.RetryAfter
		}
		if !sleep(ctx, pause) {
			break
		}
	}
	c.judge(j)
}

func (c *callers) send(ctx context.Context, g *node, prefix string, job workload.Job) send {
	s := send{gateway: g, incarnation: g.incarnation(), from: time.Now()}
	r, err := platform.NewJobRequest(ctx, g.callers, host, prefix, job, callerWait)
	if err == nil {
		var resp *http.Response
		if resp, err = c.client.Do(r); err == nil {
			s.answer, err = platform.ReadJobResponse(resp)
		}
	}
	s.err, s.to, s.started = err, time.Now(), c.b.ledger.started(job.ID)
	return s
}

// judge checks a job's answers against what the targets saw.
func (c *callers) judge(j *callerJob) {
	last := j.sends[len(j.sends)-1]
	for _, s := range j.sends {
		c.checkLost(j, s)
		if s.err == nil && s.answer.Status == http.StatusNotFound {
			c.b.ledger.violation("CONFIG", "%s answers 404 on a route that every version has, job %s", s.gateway.name, j.job.ID)
		}
	}
	switch {
	case last.err != nil && j.leaves > 0:
		c.left.Add(1)
	case last.err != nil:
		c.broken.Add(1)
	case last.answer.State == "done":
		c.served.Add(1)
		c.b.ledger.checkDone(j.job)
	case last.answer.State == "failed":
		c.failed.Add(1)
		c.b.ledger.checkFailed(j.job.ID)
	case last.answer.Refused():
		c.refused.Add(1)
	default:
		c.broken.Add(1)
	}
	if j.refusedAlways() {
		c.mu.Lock()
		c.unserved = append(c.unserved, j)
		c.mu.Unlock()
	}
	if !c.b.timeline.calm(everywhere, j.sends[0].from.Add(-contact), last.to) {
		return
	}
	if j.leaves == 0 && (last.err != nil || last.answer.State == "") {
		c.b.ledger.violation("CALM", "job %s is not served though nothing was disturbed: status %d %s %v", j.job.ID, last.answer.Status, last.answer.Reason, last.err)
	}
}

// checkLost checks that a request that a gateway has read gets a complete answer
// when nothing but planned work was under way.
func (c *callers) checkLost(j *callerJob, s send) {
	var dial *net.OpError
	if s.err == nil || errors.Is(s.err, context.DeadlineExceeded) || errors.As(s.err, &dial) && dial.Op == "dial" {
		return // the caller went away, or the request was never sent
	}
	if !c.b.timeline.calm(everywhere, s.from.Add(-contact), s.to) {
		return
	}
	if s.to.Sub(s.from) > lossSlack || s.started {
		c.b.ledger.violation("LOST", "job %s at %s after %v: %v", j.job.ID, s.gateway.name, s.to.Sub(s.from), s.err)
	}
}

// refusedAlways reports whether every answer said that the job has not run.
func (j *callerJob) refusedAlways() bool {
	for _, s := range j.sends {
		if s.err != nil || !s.answer.Refused() {
			return false
		}
	}
	return true
}

// checkRefused checks that nothing of a refused job has run, then or later.
func (c *callers) checkRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.unserved {
		if c.b.ledger.started(j.job.ID) {
			c.b.ledger.violation("REFUSED", "job %s was refused %d times and a task of it has started", j.job.ID, len(j.sends))
		}
	}
}
