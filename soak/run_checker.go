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

// runChecker is a standin.RunnerObserver. At each start it checks that no target with a valid
// lease runs the task yet and that the CPU suffices; at a job's answer, that it fits the runs.
type runChecker struct {
	mu         sync.Mutex
	targets    map[string]*standin.Runner // by id, including earlier incarnations
	tasks      map[string]*taskHistory
	byJob      map[string][]*taskHistory
	cpuInUse   map[string]int64 // CPU in use in thousandths of a core, by target
	capacity   map[*standin.Runner]reportedCapacity
	domains    map[*standin.Runner]string // failure domains; fixed once the soak has begun
	evacuated  map[string]time.Time       // since when a domain is evacuated; zero: it is not
	violations []string
	// repeated counts starts of tasks that were done. It is no violation: a job that
	// was resent begins anew at another gateway, which is permitted here.
	repeated  int
	startedAt time.Time
}

// taskHistory is the record of one task's runs.
type taskHistory struct {
	running map[string]int64 // CPU in thousandths of a core, by target that runs the task
	starts  int
	done    int // runs that ended "done"
	crashes int // starts that crashed a target
	failed  int // runs that ended "failed"
}

// MaxAttempts is the number of failed runs of a task that fail its job, on every route.
const MaxAttempts = 2

func newRunChecker() *runChecker {
	return &runChecker{
		targets: make(map[string]*standin.Runner), tasks: make(map[string]*taskHistory), byJob: make(map[string][]*taskHistory),
		cpuInUse: make(map[string]int64), capacity: make(map[*standin.Runner]reportedCapacity), startedAt: time.Now(),
		domains: make(map[*standin.Runner]string), evacuated: make(map[string]time.Time),
	}
}

// reportedCapacity is a target's capacity and since when it is in force.
type reportedCapacity struct {
	cpu   int64
	since time.Time
}

// shrinkNotice is the time after which a target that has shrunk must not get more than fits: three
// seconds and one report.
const shrinkNotice = 3*time.Second + 1500*time.Millisecond

// setCPU changes the capacity of a target.
func (c *runChecker) setCPU(r *standin.Runner, cpu int64) {
	r.SetCPU(cpu)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[r] = reportedCapacity{cpu, time.Now()}
}

// limit returns the CPU that the runs on a target may use.
func (c *runChecker) limit(r *standin.Runner, now time.Time) int64 {
	k, changed := c.capacity[r]
	if changed && now.Sub(k.since) > shrinkNotice && !r.ApplyingLate() {
		return k.cpu
	}
	return targetCPU
}

// maxCrashes is the number of targets that may crash under one task: two more after three.
const maxCrashes = 5

// checkCrashes counts the starts of a task that crashes its targets.
func (c *runChecker) checkCrashes(t *taskHistory, task string) {
	t.crashes++
	if t.crashes > maxCrashes {
		c.addViolation("BUDGET", "%s was started %d times and crashed its target each time", task, t.crashes)
	}
}

// addTarget registers a target under an id.
func (c *runChecker) addTarget(id string, r *standin.Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets[id] = r
}

// addViolation records a violation of a rule. It must be called with mu held.
func (c *runChecker) addViolation(rule, format string, values ...any) {
	at := time.Since(c.startedAt).Round(time.Millisecond)
	c.violations = append(c.violations, fmt.Sprintf("%s at %v: %s", rule, at, fmt.Sprintf(format, values...)))
}

func (c *runChecker) reportViolation(rule, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, values...)
}

func (c *runChecker) task(name string) *taskHistory {
	t := c.tasks[name]
	if t == nil {
		t = &taskHistory{running: make(map[string]int64)}
		c.tasks[name] = t
		job := platform.JobIDOfTask(name)
		c.byJob[job] = append(c.byJob[job], t)
	}
	return t
}

// RunStarted implements standin.RunnerObserver.
func (c *runChecker) RunStarted(target, task, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(task)
	now := time.Now()
	for other := range t.running {
		// A run whose lease has expired may not have been ended by its target yet.
		if now.Before(c.targets[other].LeaseEnd()) {
			c.addViolation("TWICE", "%s starts on %s while it runs on %s", task, target, other)
		}
	}
	c.checkEvacuation(c.targets[target], task, now)
	t.starts++
	s := parseSpec(spec)
	if s.crashes {
		c.checkCrashes(t, task)
	}
	cpu := s.cpu
	t.running[target] = cpu
	c.cpuInUse[target] += cpu
	if t.done > 0 {
		c.repeated++
	}
	if limit := c.limit(c.targets[target], now); c.cpuInUse[target] > limit {
		c.addViolation("LIMIT", "%s uses %d of %d thousandths of a core after the start of %s", target, c.cpuInUse[target], limit, task)
	}
}

// RunEnded implements standin.RunnerObserver.
func (c *runChecker) RunEnded(target, task, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(task)
	c.cpuInUse[target] -= t.running[target]
	delete(t.running, target)
	switch outcome {
	case "done":
		t.done++
	case "failed":
		t.failed++
	}
}

// work implements standin.RunnerOptions.Work. The first runs of a task fail, as many as
// its spec sets.
func (c *runChecker) work(task, spec string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := parseSpec(spec)
	return s.runTime, c.task(task).failed < s.failures
}

// runningTasks returns the tasks with a current run, sorted.
func (c *runChecker) runningTasks() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, t := range c.tasks {
		if len(t.running) > 0 {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// repeatedStarts returns the number of starts of tasks that were done.
func (c *runChecker) repeatedStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeated
}

// recordedViolations returns the recorded violations.
func (c *runChecker) recordedViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// startsOf returns the number of starts of a job's tasks.
func (c *runChecker) startsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, t := range c.byJob[job] {
		n += t.starts
	}
	return n
}

// runs reports whether a task of a job runs.
func (c *runChecker) runs(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.byJob[job] {
		for target := range t.running {
			if time.Now().Before(c.targets[target].LeaseEnd()) {
				return true
			}
		}
	}
	return false
}

// started reports whether a task of a job has started.
func (c *runChecker) started(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byJob[job]) > 0
}

// checkDone checks that each task of a job that was reported as done is done.
func (c *runChecker) checkDone(job workload.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	done := 0
	for _, t := range c.byJob[job.ID] {
		done += min(t.done, 1)
	}
	if done != job.Tasks() {
		c.addViolation("UNTRUE", "job %s is reported as done and %d of %d tasks are", job.ID, done, job.Tasks())
	}
}

// checkFailed checks that some task of a job that was reported as failed has failed
// MaxAttempts times, or has crashed two targets.
func (c *runChecker) checkFailed(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.byJob[job] {
		if t.failed >= MaxAttempts || t.crashes >= 2 {
			return
		}
	}
	c.addViolation("UNTRUE", "job %s is reported as failed and no task failed %d times", job, MaxAttempts)
}
