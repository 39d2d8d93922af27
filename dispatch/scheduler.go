// Package dispatch implements the scheduler of one service at an entry. It connects
// the jobs, their queue, the slots granted by agents and the outcomes of tasks.
//
// A Scheduler does no I/O of its own and starts no goroutines: its methods take the
// current time, send through Sender and do not block.
package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/catkinline/catkinline/admission"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/estimate"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/outlier"
	"github.com/catkinline/catkinline/queue"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// Recorder records metrics. *metrics.Registry implements it.
type Recorder interface {
	Add(name string, n int64, tags ...string)
	RecordDuration(name string, d time.Duration, tags ...string)
	RecordRatio(name string, v float64, tags ...string)
}

// Quotas limits the slots that a workspace uses across all entries. Its methods
// are called with the scheduler's lock held and must not block.
type Quotas interface {
	// Allow reports whether the workspace may use one more slot.
	Allow(workspace string) bool
	// TaskStarted and TaskEnded report that a task of the workspace takes up a slot
	// through this entry, and that it no longer does.
	TaskStarted(workspace string)
	TaskEnded(workspace string)
}

// Options configure a Scheduler. Quotas may be nil: then no workspace has a quota.
type Options struct {
	Service       string
	Incarnation   wire.Incarnation
	FailureDomain string
	Region        string
	Policy        settings.Policy
	Limits        settings.Limits
	Random        *rand.Rand
	Recorder      Recorder
	Quotas        Quotas
	// NextJobSeq returns the sequence number of a new job, unique within the entry.
	NextJobSeq func() uint64
	// LiveEntries returns the number of live entries, including this one. Nil means
	// that this entry is the only one.
	LiveEntries func() int
	// OnJobEnd is called once for each job that ends, with the scheduler's lock
	// held. Nil means no callback.
	OnJobEnd func(answer job.Answer)
}

// Scheduler dispatches the jobs of one service at one entry. Its methods are safe
// for concurrent use.
type Scheduler struct {
	opts     Options
	recorder Recorder

	mu                sync.Mutex
	snapshot          *config.Snapshot
	jobs              map[uint64]*activeJob
	expiry            expiryHeap
	targets           map[string]*target
	sortedTargets     []*target // sorted by name
	groups            map[string]*group
	groupsByID        []*group // indexed by queue.Group
	queue             *queue.Queue
	unassigned        []assignedTask // tasks without a target; push bindings only
	inFlight          int
	totalGrantedSlots int            // sum of the unused slots of all grants
	sampleOffset      int            // where the next sample of targets starts
	lastSeq           uint64         // sequence number of the newest job
	targetsWithDemand int            // targets whose last demand from this entry is not empty
	pendingStarts     []pendingStart // starts of the current call of schedule
	demandOffset      int
	urgentBudget      int // targets that may be sent a more urgent head before the next tick
	estimates         *estimate.Estimator
	admission         *admission.Controller
	rate              *admission.Rate
	outliers          *outlier.Detector
}

// activeJob is an accepted job that has not ended.
type activeJob struct {
	job           *job.Job
	seq           uint64
	group         *group
	labels        string          // canonical key of the labels
	expected      []time.Duration // by task
	classes       []wire.Class    // by task
	confident     bool            // every estimate is based on observed run times
	usage         admission.Usage // what the job counts towards the admission limits
	remainingWork time.Duration   // expected run time of the tasks that are not done
	assignedTo    []*target       // by task; nil if the task is not in flight
	payloadBytes  int64
	held          bool
	queued        bool
	started       bool
	longestRun    time.Duration // longest run time of a finished task
	done          chan job.Answer
}

// New returns a scheduler without configuration. It refuses every job until
// SetConfig is called.
func New(o Options) *Scheduler {
	rate := admission.NewRate()
	return &Scheduler{
		estimates: newEstimator(o.Policy),
		admission: admission.New(admissionOptions(o), rate, o.Random),
		rate:      rate,
		outliers:  outlier.New(outlier.Options{Disabled: o.Policy.Outliers == outliersNone}),
		opts:      o,
		recorder:  o.Recorder,
		jobs:      make(map[uint64]*activeJob),
		targets:   make(map[string]*target),
		groups:    make(map[string]*group),
		queue:     queue.New(queue.Options{Order: queue.Order(o.Policy.Order)}),
	}
}

// Ticket is the caller's handle on an accepted job.
type Ticket struct {
	s *Scheduler
	j *activeJob
}

// Done returns the channel on which the only answer to the job is delivered.
func (t *Ticket) Done() <-chan job.Answer { return t.j.done }

// ID returns the id of the job: the incarnation of this entry and a sequence
// number.
func (t *Ticket) ID() wire.JobID { return t.j.job.ID() }

// Release allows a held job to start. It has no effect on a job that is not held or
// has ended.
func (t *Ticket) Release(now time.Time) { t.s.releaseHeld(t.j, now) }

// Fail ends a job with an error. It has no effect on a job that has ended.
func (t *Ticket) Fail(err *result.Error, now time.Time) {
	t.s.endEarly(t.j, now, func() bool { return t.j.job.Fail(err) })
}

// Cancel ends a job because its caller no longer waits for the answer. It has no
// effect on a job that has ended.
func (t *Ticket) Cancel(now time.Time) {
	t.s.endEarly(t.j, now, t.j.job.Cancel)
}

// Submit accepts a job, or rejects it with an error before any task has run. A held
// job counts towards the admission limits but does not start before Ticket.Release.
func (s *Scheduler) Submit(spec *job.Spec, hold bool, now time.Time) (*Ticket, *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, refusal := s.groupFor(spec.Labels)
	if refusal != nil {
		return nil, refusal
	}
	if len(g.targets) == 0 {
		return nil, result.New(result.NoMatchingTarget, "")
	}
	j := s.newJob(spec, g, now)
	if refusal := s.admit(j, now); refusal != nil {
		return nil, refusal
	}
	s.accept(j)
	j.held = hold
	if !hold {
		s.enqueue(j)
		s.schedule(now)
	}
	return &Ticket{s: s, j: j}, nil
}

func (s *Scheduler) releaseHeld(j *activeJob, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.held || j.job.Ended() {
		return
	}
	j.held = false
	s.enqueue(j)
	s.schedule(now)
}

func (s *Scheduler) endEarly(j *activeJob, now time.Time, end func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end() {
		s.finish(j, now)
	}
}

// finish delivers the answer of a job that has ended, removes it from the queue and
// cancels its tasks that are still in flight.
func (s *Scheduler) finish(j *activeJob, now time.Time) {
	answer, _ := j.job.Answer()
	s.dequeue(j)
	s.cancelInFlight(j)
	delete(s.jobs, j.seq)
	s.releaseUsage(j)
	s.recordEnd(j, answer, now)
	if s.opts.OnJobEnd != nil {
		s.opts.OnJobEnd(answer)
	}
	j.done <- answer
	j.job.ReleaseResults() // the job stays in the expiry heap until its deadline
}

// cancelInFlight asks the agents to stop the in-flight tasks of an ended job. Each
// task keeps its slot until its outcome arrives.
func (s *Scheduler) cancelInFlight(j *activeJob) {
	ids := j.job.ToCancel()
	if len(ids) == 0 {
		return
	}
	byTarget := make(map[*target][]wire.TaskID)
	for _, id := range ids {
		if t := j.assignedTo[id.Index]; t != nil {
			byTarget[t] = append(byTarget[t], id)
		}
	}
	for t, tasks := range byTarget {
		s.send(t, &wire.Cancel{Tasks: tasks})
	}
}

func (s *Scheduler) recordEnd(j *activeJob, a job.Answer, now time.Time) {
	workspace, class := j.job.Spec().Workspace, j.longestClass().String()
	if a.Err != nil {
		s.recorder.Add(metrics.JobsFailed, 1, metrics.TagCode, a.Err.Code.String())
		return
	}
	took := now.Sub(j.job.Arrived())
	s.recorder.Add(metrics.JobsComplete, 1)
	s.recorder.RecordDuration(metrics.JobSeconds, took, metrics.TagWorkspace, workspace, metrics.TagClass, class)
	if j.longestRun > 0 {
		s.recorder.RecordRatio(metrics.ResponseOverhead, float64(took)/float64(j.longestRun), metrics.TagWorkspace, workspace, metrics.TagClass, class)
	}
}

// send sends a message to a target if it has a link. Send errors are ignored
// because LinkDown follows each of them.
func (s *Scheduler) send(t *target, m wire.Message) {
	if t.link != nil {
		_ = t.link.Send(m)
	}
}

func (s *Scheduler) countWasted(messages int64) { s.recorder.Add(metrics.MessagesWasted, messages) }
