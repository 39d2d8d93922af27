package placement

import (
	"time"

	"github.com/catkinline/catkinline/workload"
)

// Outcome is how a job ended. Its values are part of the protocol between entries.
type Outcome uint8

// Outcomes of jobs. The zero value is invalid.
const (
	Done      Outcome = iota + 1
	Failed            // a task failed as many times as the route allows
	Refused           // no task has started or will start
	Expired           // the deadline passed, or the job was given up, after a task had started
	Cancelled         // the caller disconnected or cancelled the job
	// Withdrawn says that no task has started and that the job may be handed to another entry. It is
	// not sent between entries, which decline such a job.
	Withdrawn
)

var outcomeNames = [...]string{"invalid", "done", "failed", "refused", "expired", "cancelled", "withdrawn"}

// String returns the outcome's name as used in metrics and logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return outcomeNames[0]
	}
	return outcomeNames[o]
}

// Valid reports whether o is one of the outcomes that entries send each other.
func (o Outcome) Valid() bool { return o >= Done && o <= Cancelled }

// Answer is the final answer to a job; each caller of the job gets exactly one.
// Reason is sent to the caller; RetryAfter is set if the caller may submit the job again.
type Answer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration
}

// taskState is the scheduling state of a task.
type taskState uint8

const (
	taskWaiting  taskState = iota // starts when its step is ready and a target has free capacity
	taskInFlight                  // a run was sent and has not ended
	taskDone
)

// task is one task of an active job.
type task struct {
	state    taskState
	attempt  uint32 // of the last run, 0 before the first
	failures int
	avoid    *target       // where the last run failed or was lost
	run      *run          // while in flight
	restarts int           // runs that were stopped as overdue
	doneOn   *target       // where the task was done
	took     time.Duration // run time, once done
	work     time.Duration // the same on a target of mean speed in the rack of its data
	far      bool          // it was done in another rack than its data
	coldness float64       // of the target on which it was done
}

// activeJob is an accepted job. It leaves the scheduler when it ends.
type activeJob struct {
	request    Request
	arrived    time.Time
	objective  time.Time       // an answer by then is in time
	tasks      [][]task        // by step
	doneTasks  []int           // by step
	expected   []time.Duration // by step, run time of one task
	waiting    int             // waiting tasks of all steps
	inFlight   int             // runs that were sent and have not ended
	unfinished int             // tasks that are not done
	ran        bool            // a run ended that may have done work
	ended      bool
	queued     bool // in the scheduler's queue
	prime      bool // a task of it has most likely crashed a target
	timeliness timeliness
	key        float64 // position in the queue, see orderKey
	firstRun   time.Time
	runs       int      // runs sent
	noRoom     int      // runs refused for lack of free capacity
	callers    []caller // those that wait for the answer
}

// caller is a caller of a job, or another entry that passes its answer on.
type caller struct {
	answer chan Answer
	origin Origin // nil: this entry
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
	j.unfinished = j.waiting
	return j
}

// addCaller returns a new channel that delivers the job's answer to one caller. Its buffer
// keeps the scheduler from blocking on a caller.
func (j *activeJob) addCaller(origin Origin) chan Answer {
	c := make(chan Answer, 1)
	j.callers = append(j.callers, caller{c, origin})
	return c
}

// waitingCPU returns the sum of the CPU needs of the job's waiting tasks, in thousandths of a
// core.
func (j *activeJob) waitingCPU() int64 {
	sum := int64(0)
	for step := range j.tasks {
		sum += int64(j.waitingTasks(step)) * j.request.Job.Steps[step].Need.CPU
	}
	return sum
}

// started reports whether any task has run or may be running.
func (j *activeJob) started() bool { return j.ran || j.inFlight > 0 }

// stepReady reports whether all steps that a step depends on are done.
func (j *activeJob) stepReady(step int) bool {
	for _, before := range j.request.Job.Steps[step].After {
		if j.doneTasks[before] < len(j.tasks[before]) {
			return false
		}
	}
	return true
}

// remainingWork returns the sum of the expected run times of the tasks that are not done.
func (j *activeJob) remainingWork() time.Duration {
	var sum time.Duration
	for i := range j.tasks {
		sum += time.Duration(len(j.tasks[i])-j.doneTasks[i]) * j.expected[i]
	}
	return sum
}

// criticalPath returns the expected duration of the longest chain of dependent steps that
// are not done.
func (j *activeJob) criticalPath() time.Duration { return j.longestPath(true) }

// longestPath returns the expected duration of the longest chain of dependent steps, of all or of
// those that are not done.
func (j *activeJob) longestPath(remaining bool) time.Duration {
	if len(j.tasks) == 1 {
		if remaining && j.doneTasks[0] == len(j.tasks[0]) {
			return 0
		}
		return j.expected[0]
	}
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.tasks))
	for i, step := range j.request.Job.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !remaining || j.doneTasks[i] < len(j.tasks[i]) {
			ends[i] += j.expected[i]
		}
		longest = max(longest, ends[i])
	}
	return longest
}

func (j *activeJob) taskID(step, index int) workload.TaskID {
	return workload.TaskID{Job: j.request.Job.ID, Step: uint32(step), Index: uint32(index)}
}

// JobReport describes an ended or refused job for logs and metrics.
type JobReport struct {
	ID           string
	Route        string
	Version      uint64 // of the routing table
	Answer       Answer
	Tasks        int
	Runs, NoRoom int           // runs sent, and those refused for lack of free capacity
	Took         time.Duration // since arrival
	FirstRun     time.Duration // time from arrival to the first run; negative: no run
	TimeLeft     time.Duration // until the deadline; negative after it
	InTime       bool          // ended within its latency objective
	Targets      int           // usable targets when the job ended
	QueueLength  int           // jobs with waiting tasks when the job ended
	Overload     string        // "arrival" or "waiting" if the job was refused under overload then
	Crashes      int           // targets that crashed under the task with the most crashes
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
		InTime: !now.After(j.objective), Targets: s.usableTargets(), QueueLength: len(s.queue), Overload: refusalMoment(a), Crashes: s.mostCrashes(j),
	})
}
