package standin

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/platform"
)

// RunnerOptions configures a Runner. Zero fields take the defaults.
type RunnerOptions struct {
	ID       string
	CPU      int64         // thousandths of a core; default 32000
	Zone     string        // in its reports; default "a"
	MaxLease time.Duration // longest lease that the target accepts; default 1 s
	// ClockRate is the rate of the target's clock, on which leases are measured, against this
	// process's clock; default 1.
	ClockRate float64
	// Work returns the run time of a task and whether the task fails after it. The
	// default is 50 ms without a failure.
	Work func(task, spec string) (time.Duration, bool)
	// Crashes reports whether a task crashes the target's process CrashDelay after its start; nil:
	// none does. The next process starts after RestartTime.
	Crashes                 func(spec string) bool
	CrashDelay, RestartTime time.Duration
	StopTime                time.Duration // from the acknowledgement of a stop to the end of the run
	// Observer is notified of the target's runs; it may be nil.
	Observer RunnerObserver
}

// RunnerObserver is notified of a target's runs, in order and with the target's mutex
// held: LeaseEnd and ApplyingLate are the only methods of the target that it may call.
type RunnerObserver interface {
	RunStarted(target, task, spec string)
	// RunEnded reports the outcome of a run: "done", "failed", "stopped", "lapsed" if
	// the lease expired, or "broken" if the target's process ended.
	RunEnded(target, task, outcome string)
}

type noopObserver struct{}

func (noopObserver) RunStarted(string, string, string) {}
func (noopObserver) RunEnded(string, string, string)   {}

// Runner is an in-memory stand-in for a target whose runs end when their lease
// expires. It takes the time from package time, so that it works with the fake clock
// of testing/synctest.
type Runner struct {
	opts RunnerOptions

	mu            sync.Mutex
	faults        RunnerFaults
	born          time.Time
	clockLag      time.Duration // lag of the target's wall clock
	generation    int           // counts process starts
	fencingToken  uint64
	leaseEnd      atomic.Pointer[time.Time]
	leaseTimer    *time.Timer
	runs          map[string]*activeRun
	endedAttempts map[string]uint32 // highest attempt that ended or was stopped, by task
	ended         []endedRun
	endSeq        uint64         // sequence number of the last ended run
	runEnded      chan struct{}  // closed and replaced when a run ends
	starts        map[string]int // by task
	downUntil     time.Time      // nothing answers before
	applyingLate  atomic.Bool
	draining      atomic.Bool // its reports say that it is about to leave
	silent        atomic.Bool // it sends no reports
}

// RunnerFaults are the fault switches of a Runner. Zero fields are off.
type RunnerFaults struct {
	// DropStarts, DropStops and DropPolls are the numbers of next requests of each
	// kind that get no response. They are applied after ApplyDelay, or not at all
	// if it is 0.
	DropStarts, DropStops, DropPolls int
	ApplyDelay                       time.Duration
}

type activeRun struct {
	task    string
	attempt uint32
	timer   *time.Timer
}

type endedRun struct {
	seq     uint64
	task    string
	attempt uint32
	outcome string
}

// NewRunner returns a target without runs and without a lease.
func NewRunner(o RunnerOptions) *Runner {
	if o.ID == "" {
		o.ID = "i-standin"
	}
	if o.CPU == 0 {
		o.CPU = 32000
	}
	if o.MaxLease == 0 {
		o.MaxLease = time.Second
	}
	if o.ClockRate == 0 {
		o.ClockRate = 1
	}
	if o.Zone == "" {
		o.Zone = "a"
	}
	if o.Work == nil {
		o.Work = func(string, string) (time.Duration, bool) { return 50 * time.Millisecond, false }
	}
	if o.Observer == nil {
		o.Observer = noopObserver{}
	}
	r := &Runner{opts: o, starts: make(map[string]int)}
	r.reset()
	return r
}

// reset clears the state that a process loses when it ends.
func (r *Runner) reset() {
	r.born = time.Now()
	r.generation++
	r.fencingToken, r.endSeq = 0, 0
	r.runs = make(map[string]*activeRun)
	r.endedAttempts = make(map[string]uint32)
	r.ended = nil
	r.leaseEnd.Store(nil)
	r.runEnded = make(chan struct{})
}

// Restart simulates a crash of the process and the start of a new one under the same
// id. It loses the runs, the lease and the fencing token.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart()
}

func (r *Runner) restart() {
	for task, run := range r.runs {
		run.timer.Stop()
		r.opts.Observer.RunEnded(r.opts.ID, task, "broken")
	}
	close(r.runEnded)
	r.reset()
}

// crash ends a process of the target, if it still runs; the next one answers after RestartTime.
func (r *Runner) crash(generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation == r.generation {
		r.restart()
		r.downUntil = time.Now().Add(r.opts.RestartTime)
	}
}

// down reports whether the target's process has crashed and the next one has not started.
func (r *Runner) down() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.downUntil)
}

// ApplyingLate reports whether the run that starts was requested a while ago: the request got no
// response and was delayed. Observers may call it.
func (r *Runner) ApplyingLate() bool { return r.applyingLate.Load() }

// SetCPU changes the capacity that the target reports.
func (r *Runner) SetCPU(cpu int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.CPU = cpu
}

// Replace simulates a crash of the process and the start of another instance with a
// new id, whose wall clock lags by the given time.
func (r *Runner) Replace(id string, clockLag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restart()
	r.opts.ID = id
	r.clockLag = clockLag
	r.draining.Store(false)
	r.silent.Store(false)
}

// Drain makes the target report that it is about to leave, until Replace.
func (r *Runner) Drain() { r.draining.Store(true) }

// Silence stops the target's reports until Replace.
func (r *Runner) Silence() { r.silent.Store(true) }

// bornMS is the start time of the process by its own wall clock, in Unix ms.
func (r *Runner) bornMS() int64 { return r.born.Add(-r.clockLag).UnixMilli() }

// SetFaults replaces all fault switches.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Running returns the attempt numbers of the current runs, by task.
func (r *Runner) Running() map[string]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint32, len(r.runs))
	for task, run := range r.runs {
		out[task] = run.attempt
	}
	return out
}

// Starts returns how often a task has started, over all processes of the target.
func (r *Runner) Starts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// Report returns the body of a heartbeat to the agent.
func (r *Runner) Report(service, state string, sequence uint64) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": service, "address": "", "zone": r.opts.Zone, "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]any{"cpu": r.opts.CPU, "mem_mb": 131072, "gpu": 0},
		"labels":   []string{"a", "r1-1"}, "sequence": sequence, "born": r.bornMS(),
	}
}

// clock is the time since the start of the process on the target's clock.
func (r *Runner) clock() time.Duration {
	return time.Duration(float64(time.Since(r.born)) * r.opts.ClockRate)
}

// timeAt returns when the target's clock shows a time.
func (r *Runner) timeAt(clock time.Duration) time.Time {
	return r.born.Add(time.Duration(float64(clock) / r.opts.ClockRate))
}

func (r *Runner) clockMS() int64 { return r.clock().Milliseconds() }

func (r *Runner) response(reason string) platform.TargetResponse {
	a := platform.TargetResponse{Reason: reason}
	a.SetClock(r.clock())
	return a
}

// LeaseEnd returns the time at which the lease expires, and the zero time without a
// lease. No run continues after it. Observers may call it.
func (r *Runner) LeaseEnd() time.Time {
	if end := r.leaseEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// extendLease renews the lease until a time on the target's own clock, but for no
// longer than MaxLease from now.
func (r *Runner) extendLease(deadlineMS int64) {
	r.RenewLease(r.timeAt(min(time.Duration(deadlineMS)*time.Millisecond, r.clock()+r.opts.MaxLease)))
}

// RenewLease extends the lease to end. An earlier end than the current one has no
// effect.
func (r *Runner) RenewLease(end time.Time) {
	if !end.After(r.LeaseEnd()) {
		return
	}
	r.leaseEnd.Store(&end)
	if r.leaseTimer != nil {
		r.leaseTimer.Stop()
	}
	generation := r.generation
	r.leaseTimer = time.AfterFunc(time.Until(end), func() { r.expireLease(generation) })
}

func (r *Runner) expireLease(generation int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if generation == r.generation {
		r.endExpiredRuns()
	}
}

// endExpiredRuns ends all runs if the lease has expired.
func (r *Runner) endExpiredRuns() {
	if time.Now().Before(r.LeaseEnd()) {
		return
	}
	for task := range r.runs {
		r.endRun(task, "lapsed")
	}
}

func (r *Runner) endRun(task, outcome string) {
	run := r.runs[task]
	run.timer.Stop()
	delete(r.runs, task)
	r.endedAttempts[task] = max(r.endedAttempts[task], run.attempt)
	r.endSeq++
	r.ended = append(r.ended, endedRun{seq: r.endSeq, task: task, attempt: run.attempt, outcome: outcome})
	r.opts.Observer.RunEnded(r.opts.ID, task, outcome)
	close(r.runEnded)
	r.runEnded = make(chan struct{})
}

// rejectToken reports whether a fencing token is older than the newest one seen, and
// records it otherwise.
func (r *Runner) rejectToken(token uint64) bool {
	if token < r.fencingToken {
		return true
	}
	r.fencingToken = token
	return false
}

func (r *Runner) start(q platform.RunStartRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectToken(q.FencingToken) {
		return http.StatusConflict, r.response(platform.ReasonFence)
	}
	if int64(q.Deadline) < r.clockMS() {
		return http.StatusConflict, r.response(platform.ReasonLate)
	}
	r.endExpiredRuns()
	r.extendLease(int64(q.Deadline))
	if run := r.runs[q.Task]; run != nil && run.attempt == q.Run {
		return http.StatusOK, r.response("")
	}
	if q.Run <= r.endedAttempts[q.Task] || r.runs[q.Task] != nil {
		return http.StatusConflict, r.response(platform.ReasonStale)
	}
	runTime, fails := r.opts.Work(q.Task, q.Spec)
	outcome := "done"
	if fails {
		outcome = "failed"
	}
	generation := r.generation
	run := &activeRun{task: q.Task, attempt: q.Run}
	run.timer = time.AfterFunc(runTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if generation == r.generation && r.runs[q.Task] == run {
			r.endRun(q.Task, outcome)
		}
	})
	r.runs[q.Task] = run
	r.starts[q.Task]++
	if r.opts.Crashes != nil && r.opts.Crashes(q.Spec) {
		time.AfterFunc(r.opts.CrashDelay, func() { r.crash(generation) })
	}
	r.opts.Observer.RunStarted(r.opts.ID, q.Task, q.Spec)
	return http.StatusOK, r.response("")
}

func (r *Runner) stop(q platform.RunStopRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rejectToken(q.FencingToken) {
		return http.StatusConflict, r.response(platform.ReasonFence)
	}
	r.endedAttempts[q.Task] = max(r.endedAttempts[q.Task], q.Run)
	if run := r.runs[q.Task]; run != nil && run.attempt <= q.Run {
		r.stopRun(q.Task, run)
	}
	return http.StatusOK, r.response("")
}

// stopRun ends a run after the time that a stop takes.
func (r *Runner) stopRun(task string, run *activeRun) {
	if r.opts.StopTime == 0 {
		r.endRun(task, "stopped")
		return
	}
	time.AfterFunc(r.opts.StopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[task] == run {
			r.endRun(task, "stopped")
		}
	})
}

// ID returns the id of the target's current incarnation.
func (r *Runner) ID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.ID
}
