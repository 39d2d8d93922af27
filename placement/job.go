package placement

import (
	"time"

	"github.com/catkinline/catkinline/workload"
)

// Outcome is the kind of a job's answer.
type Outcome uint8

// Outcomes of jobs.
const (
	Done      Outcome = iota + 1
	Failed            // a task has failed as often as the route allows
	Refused           // no task has started, and none will
	Expired           // the time ran out after a task had started
	Cancelled         // the caller no longer waits
)

var outcomeNames = [...]string{"invalid", "done", "failed", "refused", "expired", "cancelled"}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Answer is the one answer to a job. RetryAfter is set where a caller may try
// again.
type Answer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// taskState says where a task stands.
type taskState uint8

const (
	taskWaiting taskState = iota // may start as soon as its step may
	taskOut                      // a run of it is out
	taskDone
)

// task is one task of an active job.
type task struct {
	state    taskState
	attempt  uint32 // of the last run
	failures int
	avoid    *target // where the last run failed or was lost
	run      *run    // while out
	restarts int     // runs that were stopped for taking too long
	doneOn   *target
	took     time.Duration // of the run that was done
}

// activeJob is a job that was accepted and has not ended.
type activeJob struct {
	request   Request
	arrived   time.Time
	objective time.Time       // until when the answer is in time
	tasks     [][]task        // by step
	doneTasks []int           // by step
	expected  []time.Duration // by step, of one task
	waiting   int             // tasks waiting, of all steps
	out       int             // runs that are out
	left      int             // tasks not done
	ran       bool
	ended     bool
	queued    bool
	stage     stage
	key       float64
	firstRun  time.Time
	runs      int           // runs sent
	noRoom    int           // runs refused for want of room
	callers   []chan Answer // of everyone who waits for the answer
}

func newJob(r Request, now time.Time) *activeJob {
	j := &activeJob{
		request:   r,
		arrived:   now,
		tasks:     make([][]task, len(r.Job.Steps)),
		doneTasks: make([]int, len(r.Job.Steps)),
		expected:  make([]time.Duration, len(r.Job.Steps)),
	}
	for i, step := range r.Job.Steps {
		j.tasks[i] = make([]task, step.Tasks)
		j.waiting += step.Tasks
	}
	j.left = j.waiting
	return j
}

// addCaller returns where a caller gets the job's answer.
func (j *activeJob) addCaller() chan Answer {
	c := make(chan Answer, 1)
	j.callers = append(j.callers, c)
	return c
}

// started reports whether a run of a task has begun or may have.
func (j *activeJob) started() bool { return j.ran || j.out > 0 }

// open reports whether a step's tasks may start.
func (j *activeJob) open(step int) bool {
	for _, before := range j.request.Job.Steps[step].After {
		if j.doneTasks[before] < len(j.tasks[before]) {
			return false
		}
	}
	return true
}

// remaining is the expected work of the tasks that are not done.
func (j *activeJob) remaining() time.Duration {
	var sum time.Duration
	for i := range j.tasks {
		sum += time.Duration(len(j.tasks[i])-j.doneTasks[i]) * j.expected[i]
	}
	return sum
}

// chain is the expected duration of the longest chain of steps that is left.
func (j *activeJob) chain() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.tasks))
	for i, step := range j.request.Job.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		if j.doneTasks[i] < len(j.tasks[i]) {
			ends[i] += j.expected[i]
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (j *activeJob) taskID(step, index int) workload.TaskID {
	return workload.TaskID{Job: j.request.Job.ID, Step: uint32(step), Index: uint32(index)}
}

// JobReport is the end of a job, for logs and metrics.
type JobReport struct {
	ID           string
	Route        string
	Version      uint64
	Answer       Answer
	Tasks        int
	Runs, NoRoom int
	Took         time.Duration
	FirstRun     time.Duration // from the arrival; negative: no run
	TimeLeft     time.Duration // until the deadline
	InTime       bool
	Targets      int // usable at the end
	QueueLength  int // jobs waiting at the end
}

func (s *Scheduler) reportJob(j *activeJob, a Answer, now time.Time) {
	if s.opts.Observer == nil {
		return
	}
	first := time.Duration(-1)
	if !j.firstRun.IsZero() {
		first = j.firstRun.Sub(j.arrived)
	}
	s.opts.Observer.JobEnded(JobReport{
		ID: j.request.Job.ID, Route: j.request.Route.Name, Version: j.request.Version, Answer: a,
		Tasks: j.request.Job.Tasks(), Runs: j.runs, NoRoom: j.noRoom,
		Took: now.Sub(j.arrived), FirstRun: first, TimeLeft: j.request.Deadline.Sub(now),
		InTime: !now.After(j.objective), Targets: s.usableTargets(), QueueLength: len(s.queue),
	})
}
