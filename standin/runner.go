package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/platform"
)

// RunnerOptions describe a Runner. Zero fields take the defaults.
type RunnerOptions struct {
	ID      string
	CPU     int64 // thousandths of a core; default 32000
	MaxHold time.Duration
	// Work returns how long a task runs and whether it fails.
	Work func(task, spec string) (time.Duration, bool)
	// Observer is told of the target's runs; nil: nobody is.
	Observer RunnerObserver
}

// RunnerObserver is told of a target's runs, in order and while the target is
// locked: of the target, its methods may call LeaseEnd only.
type RunnerObserver interface {
	RunStarted(target, task, spec string)
	// RunEnded is told how a run ended: "done", "failed", "stopped", "lapsed", or
	// "broken" by the end of the target's process.
	RunEnded(target, task, how string)
}

type nobody struct{}

func (nobody) RunStarted(string, string, string) {}
func (nobody) RunEnded(string, string, string)   {}

// Runner is the stand-in of a target whose runs hold a lease, in memory. It takes
// the time from package time, so that it works in virtual time.
type Runner struct {
	opts RunnerOptions

	mu     sync.Mutex
	faults RunnerFaults
	born   time.Time
	behind time.Duration // of the time of day
	life   int
	fence  uint64
	lease  atomic.Pointer[time.Time]
	timer  *time.Timer
	runs   map[string]*standinRun
	barred map[string]uint32 // highest attempt that ended or was stopped, by task
	ended  []endedRun
	number uint64
	change chan struct{} // closed and replaced when a run ends
	// starts counts the runs that began, by task.
	starts map[string]int
}

// RunnerFaults are the switches of a Runner. Zero fields are off.
type RunnerFaults struct {
	// DropAnswers leaves the next orders of each kind without an answer; they are
	// carried out after Late, or not at all where it is 0.
	DropStarts, DropStops, DropHolds int
	Late                             time.Duration
}

type standinRun struct {
	task    string
	attempt uint32
	timer   *time.Timer
}

type endedRun struct {
	number  uint64
	task    string
	attempt uint32
	how     string
}

// NewRunner returns a target that runs nothing.
func NewRunner(o RunnerOptions) *Runner {
	if o.ID == "" {
		o.ID = "i-standin"
	}
	if o.CPU == 0 {
		o.CPU = 32000
	}
	if o.MaxHold == 0 {
		o.MaxHold = time.Second
	}
	if o.Work == nil {
		o.Work = func(string, string) (time.Duration, bool) { return 50 * time.Millisecond, false }
	}
	if o.Observer == nil {
		o.Observer = nobody{}
	}
	r := &Runner{opts: o, starts: make(map[string]int)}
	r.reset()
	return r
}

// reset begins a new life.
func (r *Runner) reset() {
	r.born = time.Now()
	r.life++
	r.fence, r.number = 0, 0
	r.runs = make(map[string]*standinRun)
	r.barred = make(map[string]uint32)
	r.ended = nil
	r.lease.Store(nil)
	r.change = make(chan struct{})
}

// Restart ends the process at once and starts a new one under the same id.
func (r *Runner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, run := range r.runs {
		run.timer.Stop()
		r.opts.Observer.RunEnded(r.opts.ID, task, "broken")
	}
	close(r.change)
	r.reset()
}

// Replace ends the process at once and starts another incarnation whose time of day
// is behind.
func (r *Runner) Replace(id string, behind time.Duration) {
	r.Restart()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.ID = id
	r.behind = behind
}

// bornMS is the target's birth by its own time of day, in Unix ms.
func (r *Runner) bornMS() int64 { return r.born.Add(-r.behind).UnixMilli() }

// SetFaults sets the switches.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Running returns the tasks that run, with their attempts.
func (r *Runner) Running() map[string]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]uint32, len(r.runs))
	for task, run := range r.runs {
		out[task] = run.attempt
	}
	return out
}

// Starts returns how often a task has begun here.
func (r *Runner) Starts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[task]
}

// Report returns what the target says of itself.
func (r *Runner) Report(service, state string, sequence uint64) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": service, "address": "", "zone": "a", "version": "v1", "slots": 8, "state": state,
		"capacity": map[string]any{"cpu": r.opts.CPU, "mem_mb": 131072, "gpu": 0},
		"labels":   []string{"a", "r1-1"}, "sequence": sequence, "born": r.bornMS(),
	}
}

func (r *Runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *Runner) answer(reason string) platform.TargetResponse {
	a := platform.TargetResponse{Reason: reason}
	a.SetClock(time.Since(r.born))
	return a
}

// LeaseEnd returns when the lease runs out; no run goes on after it. Observers may
// call it.
func (r *Runner) LeaseEnd() time.Time {
	if end := r.lease.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// extend takes a lease that ends at a time on the target's clock.
func (r *Runner) extend(deadlineMS int64) {
	r.Renew(r.born.Add(min(time.Duration(deadlineMS)*time.Millisecond, time.Since(r.born)+r.opts.MaxHold)))
}

// Renew takes a lease, which never shortens.
func (r *Runner) Renew(end time.Time) {
	if !end.After(r.LeaseEnd()) {
		return
	}
	r.lease.Store(&end)
	if r.timer != nil {
		r.timer.Stop()
	}
	life := r.life
	r.timer = time.AfterFunc(time.Until(end), func() { r.lapse(life) })
}

func (r *Runner) lapse(life int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if life == r.life {
		r.settle()
	}
}

// settle ends the runs whose lease has run out.
func (r *Runner) settle() {
	if time.Now().Before(r.LeaseEnd()) {
		return
	}
	for task := range r.runs {
		r.finish(task, "lapsed")
	}
}

func (r *Runner) finish(task, how string) {
	run := r.runs[task]
	run.timer.Stop()
	delete(r.runs, task)
	r.barred[task] = max(r.barred[task], run.attempt)
	r.number++
	r.ended = append(r.ended, endedRun{number: r.number, task: task, attempt: run.attempt, how: how})
	r.opts.Observer.RunEnded(r.opts.ID, task, how)
	close(r.change)
	r.change = make(chan struct{})
}

// fenced takes in a fencing token and reports whether it is too old.
func (r *Runner) fenced(token uint64) bool {
	if token < r.fence {
		return true
	}
	r.fence = token
	return false
}

func (r *Runner) start(q platform.RunStartRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(q.FencingToken) {
		return http.StatusConflict, r.answer(platform.ReasonFence)
	}
	if int64(q.Deadline) < r.clock() {
		return http.StatusConflict, r.answer(platform.ReasonLate)
	}
	r.settle()
	r.extend(int64(q.Deadline))
	if run := r.runs[q.Task]; run != nil && run.attempt == q.Run {
		return http.StatusOK, r.answer("")
	}
	if q.Run <= r.barred[q.Task] || r.runs[q.Task] != nil {
		return http.StatusConflict, r.answer(platform.ReasonStale)
	}
	took, fails := r.opts.Work(q.Task, q.Spec)
	how := "done"
	if fails {
		how = "failed"
	}
	life := r.life
	run := &standinRun{task: q.Task, attempt: q.Run}
	run.timer = time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if life == r.life && r.runs[q.Task] == run {
			r.finish(q.Task, how)
		}
	})
	r.runs[q.Task] = run
	r.starts[q.Task]++
	r.opts.Observer.RunStarted(r.opts.ID, q.Task, q.Spec)
	return http.StatusOK, r.answer("")
}

func (r *Runner) stop(q platform.RunStopRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fenced(q.FencingToken) {
		return http.StatusConflict, r.answer(platform.ReasonFence)
	}
	r.barred[q.Task] = max(r.barred[q.Task], q.Run)
	if run := r.runs[q.Task]; run != nil && run.attempt <= q.Run {
		r.finish(q.Task, "stopped")
	}
	return http.StatusOK, r.answer("")
}

func (r *Runner) hold(ctx context.Context, q platform.PollRequest) (int, platform.TargetResponse) {
	r.mu.Lock()
	if r.fenced(q.FencingToken) {
		defer r.mu.Unlock()
		return http.StatusConflict, r.answer(platform.ReasonFence)
	}
	r.settle()
	r.extend(int64(q.Deadline))
	for len(r.ended) > 0 && r.ended[0].number <= q.AckedEnd {
		r.ended = r.ended[1:]
	}
	change := r.change
	wait := len(r.ended) == 0 && q.Wait > 0
	r.mu.Unlock()
	if wait {
		timer := time.NewTimer(time.Duration(q.Wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-change:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return http.StatusOK, r.listing()
}

func (r *Runner) listing() platform.TargetResponse {
	a := r.answer("")
	a.Born = r.bornMS()
	for task, run := range r.runs {
		a.Running = append(a.Running, row(task, run.attempt, "", 0))
	}
	for _, e := range r.ended {
		a.Ended = append(a.Ended, row(e.number, e.task, e.attempt, e.how, ""))
	}
	return a
}

func row(values ...any) []json.RawMessage {
	out := make([]json.RawMessage, len(values))
	for i, v := range values {
		out[i], _ = json.Marshal(v) // numbers and strings always encode
	}
	return out
}

func (r *Runner) id() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.ID
}
