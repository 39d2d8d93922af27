package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/workload"
)

// ledger keeps what the targets saw of each task and checks the promises about runs
// at each event. It implements standin.RunnerObserver.
type ledger struct {
	mu         sync.Mutex
	targets    map[string]*standin.Runner // by id, earlier incarnations too
	tasks      map[string]*taskHistory
	byJob      map[string][]*taskHistory
	used       map[string]int64 // thousandths of a core, by target
	violations []string
	// repeated counts starts of tasks that were done: a job that was sent again begins
	// anew at another gateway, which these jobs allow.
	repeated int
	began    time.Time
}

// taskHistory is what became of one task.
type taskHistory struct {
	running map[string]int64 // thousandths of a core in use, by target that runs it
	done    int              // ends "done"
	failed  int              // ends "failed"
}

// Attempts are the failed runs after which a job fails, on every route.
const Attempts = 2

func newLedger() *ledger {
	return &ledger{
		targets: make(map[string]*standin.Runner), tasks: make(map[string]*taskHistory), byJob: make(map[string][]*taskHistory),
		used: make(map[string]int64), began: time.Now(),
	}
}

// add makes a target known by an id.
func (l *ledger) add(id string, r *standin.Runner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[id] = r
}

// report adds a broken promise. It must be called with mu held.
func (l *ledger) report(rule, format string, values ...any) {
	at := time.Since(l.began).Round(time.Millisecond)
	l.violations = append(l.violations, fmt.Sprintf("%s at %v: %s", rule, at, fmt.Sprintf(format, values...)))
}

func (l *ledger) violation(rule, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report(rule, format, values...)
}

func (l *ledger) task(name string) *taskHistory {
	t := l.tasks[name]
	if t == nil {
		t = &taskHistory{running: make(map[string]int64)}
		l.tasks[name] = t
		job := platform.JobIDOfTask(name)
		l.byJob[job] = append(l.byJob[job], t)
	}
	return t
}

// RunStarted implements standin.RunnerObserver.
func (l *ledger) RunStarted(target, task, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(task)
	now := time.Now()
	for other := range t.running {
		// The other target may not have got round to ending what has lapsed.
		if now.Before(l.targets[other].LeaseEnd()) {
			l.report("TWICE", "%s starts on %s and runs on %s", task, target, other)
		}
	}
	cpu := parseSpec(spec).cpu
	t.running[target] = cpu
	l.used[target] += cpu
	if t.done > 0 {
		l.repeated++
	}
	if l.used[target] > targetCPU {
		l.report("LIMIT", "%s has %d of %d thousandths of a core in use with %s", target, l.used[target], targetCPU, task)
	}
}

// RunEnded implements standin.RunnerObserver.
func (l *ledger) RunEnded(target, task, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(task)
	l.used[target] -= t.running[target]
	delete(t.running, target)
	switch how {
	case "done":
		t.done++
	case "failed":
		t.failed++
	}
}

// work implements standin.RunnerOptions.Work: the first runs of a task fail as often
// as its spec says.
func (l *ledger) work(task, spec string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := parseSpec(spec)
	return s.work, l.task(task).failed < s.failures
}

// running returns the tasks that still run, sorted.
func (l *ledger) running() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, t := range l.tasks {
		if len(t.running) > 0 {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// repeats returns how many starts were of tasks that were done.
func (l *ledger) repeats() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.repeated
}

// broken returns the broken promises.
func (l *ledger) broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// started reports whether a task of a job has started.
func (l *ledger) started(job string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byJob[job]) > 0
}

// checkDone checks that each task of a job that was said to be done has ended so.
func (l *ledger) checkDone(job workload.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := 0
	for _, t := range l.byJob[job.ID] {
		done += min(t.done, 1)
	}
	if done != job.Tasks() {
		l.report("UNTRUE", "job %s is said to be done and %d of %d tasks are", job.ID, done, job.Tasks())
	}
}

// checkFailed checks that a task of a job that was said to have failed did so as
// often as its route allows.
func (l *ledger) checkFailed(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.byJob[job] {
		if t.failed >= Attempts {
			return
		}
	}
	l.report("UNTRUE", "job %s is said to have failed and no task failed %d times", job, Attempts)
}
