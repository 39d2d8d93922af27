// Package placement is an entry's scheduler of jobs whose tasks are sized. Work
// waits in the entry until a target is known to have room for it.
//
// A Scheduler does no I/O of its own and starts no goroutines: every method
// takes the time, sends through Sender, and returns at once.
package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Sender sends messages to one agent. Send never blocks; an error means that the
// link is closed, which LinkDown reports as well.
type Sender interface {
	Send(m wire.Message) error
}

// Observer learns of decisions, for logs and metrics. Its methods are called
// under the scheduler's lock and must not block.
type Observer interface {
	JobEnded(r JobReport)
	RunEnded(r RunReport)
	TargetChanged(c TargetChange)
}

// Options configure a Scheduler. Zero durations take the defaults.
type Options struct {
	FailureDomain string
	Random        *rand.Rand
	Observer      Observer
	// LostRunTimeout is how long after the end of a link its agent's runs may go on:
	// the agent's silence limit, the lease of runs and the time to stop them.
	LostRunTimeout time.Duration
	// Entries returns the number of live entries, this one included; nil is one.
	Entries func() int
}

// DefaultLostRunTimeout fits the agents' default silence limit and lease.
const DefaultLostRunTimeout = 1100 * time.Millisecond

// Scheduler dispatches jobs at one entry. Its methods are safe for concurrent
// use.
type Scheduler struct {
	opts      Options
	mu        sync.Mutex
	jobs      map[*activeJob]struct{}
	byID      map[string]*activeJob
	queue     []*activeJob // with waiting tasks, in the order of their keys
	targets   map[string]*target
	ordered   []*target // by name
	estimates estimates
	starts    []pendingStart // of the pump that is going on
	told      backlog        // last told to the agents
	toldAt    time.Time
	begun     time.Time // first call of Tick
	reachable time.Time // when a target was last usable
	stopAt    time.Time // when every job must have ended; zero: the entry stays
}

// New returns a scheduler without targets.
func New(o Options) *Scheduler {
	options.Default(&o.LostRunTimeout, DefaultLostRunTimeout)
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(1, 2))
	}
	return &Scheduler{
		opts:      o,
		jobs:      make(map[*activeJob]struct{}),
		byID:      make(map[string]*activeJob),
		targets:   make(map[string]*target),
		estimates: newEstimates(),
	}
}

// Request is a job on its way in.
type Request struct {
	Job      workload.Job
	Route    routing.Route
	Version  uint64 // of the routes that selected Route
	Deadline time.Time
}

// Submit accepts a job or refuses it, not run. Done delivers the answer. A job that
// is sent again while it is here stays one job, whose answer both callers get.
func (s *Scheduler) Submit(r Request, now time.Time) (*Ticket, *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.byID[r.Job.ID]; j != nil && j.request.Route.Name == r.Route.Name {
		if r.Deadline.After(j.request.Deadline) {
			j.request.Deadline = r.Deadline
		}
		return &Ticket{s: s, j: j, answer: j.addCaller()}, nil
	}
	j := newJob(r, now)
	s.estimate(j)
	if refusal := s.admit(j, now); refusal != nil {
		s.reportJob(j, *refusal, now)
		return nil, refusal
	}
	s.jobs[j] = struct{}{}
	s.byID[r.Job.ID] = j
	s.enqueue(j)
	answer := j.addCaller()
	s.pump(now)
	return &Ticket{s: s, j: j, answer: answer}, nil
}

// Ticket is a caller's hold on an accepted job.
type Ticket struct {
	s      *Scheduler
	j      *activeJob
	answer chan Answer
}

// Done delivers the job's one answer.
func (t *Ticket) Done() <-chan Answer { return t.answer }

// Cancel takes note that the caller went away. The job ends with its last caller.
func (t *Ticket) Cancel(now time.Time) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	if t.j.ended {
		return
	}
	gone := Answer{Outcome: Cancelled, Reason: "the caller went away"}
	if len(t.j.callers) == 1 {
		t.s.end(t.j, gone, now)
		t.s.pump(now)
		return
	}
	t.j.callers = slices.DeleteFunc(t.j.callers, func(c chan Answer) bool { return c == t.answer })
	t.answer <- gone
}

// Cancel ends a job by its caller's id and reports whether there was one.
func (s *Scheduler) Cancel(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.byID[id]
	if j == nil {
		return false
	}
	s.end(j, Answer{Outcome: Cancelled, Reason: "cancelled by a request"}, now)
	s.pump(now)
	return true
}

// Status reports whether a job is active and whether a task of it has started.
func (s *Scheduler) Status(id string) (known, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.byID[id]
	return j != nil, j != nil && j.started()
}

// Pending returns the number of jobs of a route of which no task has started.
func (s *Scheduler) Pending(route string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for j := range s.jobs {
		if j.request.Route.Name == route && !j.started() {
			n++
		}
	}
	return n
}

// Load is what a scheduler has in hand.
type Load struct {
	Jobs, WaitingTasks, Runs, Targets int
}

// Load returns what the scheduler has in hand.
func (s *Scheduler) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := Load{Jobs: len(s.jobs), Targets: s.usableTargets()}
	for j := range s.jobs {
		l.WaitingTasks += j.waiting
		l.Runs += j.out
	}
	return l
}

// HasWaitingTasks reports whether tasks wait for free capacity.
func (s *Scheduler) HasWaitingTasks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) > 0
}

// Isolated reports whether no target has been usable for so long that callers are
// better served by another entry.
func (s *Scheduler) Isolated(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cutOff(now)
}

// cutOffAfter rides out a moment without targets; startTime leaves a new process
// and new agents the time to link and to hear from their targets.
const (
	cutOffAfter = 700 * time.Millisecond
	startTime   = 2500 * time.Millisecond
)

func (s *Scheduler) cutOff(now time.Time) bool {
	if s.usableTargets() > 0 || s.begun.IsZero() {
		return false
	}
	return now.Sub(s.begun) > startTime && now.Sub(s.reachable) > cutOffAfter
}

func (s *Scheduler) usableTargets() int {
	n := 0
	for _, t := range s.ordered {
		if t.usable() {
			n++
		}
	}
	return n
}

// SetStopDeadline begins a planned stop: every job has to end by limit, and jobs that
// will probably take longer are refused.
func (s *Scheduler) SetStopDeadline(limit time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = limit
}

// AbandonAll ends every job. A process that stood still cannot know which of its
// callers were answered elsewhere in the meantime.
func (s *Scheduler) AbandonAll(reason string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.inOrder(func(*activeJob) bool { return true }) {
		s.end(j, s.giveUp(j, reason), now)
	}
}

// inOrder returns the jobs for which keep holds, by id.
func (s *Scheduler) inOrder(keep func(*activeJob) bool) []*activeJob {
	var jobs []*activeJob
	for j := range s.jobs {
		if keep(j) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *activeJob) int { return strings.Compare(a.request.Job.ID, b.request.Job.ID) })
	return jobs
}

func (s *Scheduler) send(t *target, m wire.Message) {
	if t.link != nil {
		// A send fails only on a link that is closed; LinkDown follows.
		_ = t.link.Send(m)
	}
}
