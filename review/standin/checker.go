package main

import (
	"slices"
	"sync"
	"time"
)

// checker follows the runs on all runners and records each breach of the rules that it checks.
type checker struct {
	record *record
	checks map[string]bool // by name of the rule

	mu      sync.Mutex
	running map[string][]*activeRun // by task
	twice   map[string]time.Time    // since when a task has run twice
}

type activeRun struct {
	life    *life
	run     int
	started time.Time
}

func newChecker(r *record, rules []string) *checker {
	c := &checker{record: r, checks: make(map[string]bool), running: make(map[string][]*activeRun), twice: make(map[string]time.Time)}
	for _, rule := range rules {
		c.checks[rule] = true
	}
	return c
}

func jobOf(task string) string { return task[:min(16, len(task))] }

func (c *checker) runStarted(l *life, t *taskRun, s spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.write("run started", "task", t.task, "run", t.run, "runner", l.id)
	if others := c.running[t.task]; c.checks["TWICE"] && len(others) > 0 {
		o := others[0]
		c.record.breach("TWICE: run %d of task %s starts on %s while run %d has been running on %s for %v", t.run, t.task, l.id, o.run, o.life.id, time.Since(o.started).Round(time.Millisecond))
		c.twice[t.task] = time.Now()
	}
	if c.checks["ROUTE"] && s.label != "" && !slices.Contains(l.labels, s.label) {
		c.record.breach("ROUTE: task %s needs the label %q and starts on %s, whose labels are %v", t.task, s.label, l.id, l.labels)
	}
	c.running[t.task] = append(c.running[t.task], &activeRun{l, t.run, time.Now()})
}

func (c *checker) runEnded(l *life, t *taskRun, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.write("run "+how, "task", t.task, "run", t.run, "runner", l.id)
	c.running[t.task] = slices.DeleteFunc(c.running[t.task], func(o *activeRun) bool { return o.life == l && o.run == t.run })
	if since, twice := c.twice[t.task]; twice && len(c.running[t.task]) < 2 {
		c.record.write("ran twice", "task", t.task, "for_ms", float64(time.Since(since).Microseconds())/1000)
		delete(c.twice, t.task)
	}
}

// runningOf returns the number of runs of a job at this moment.
func (c *checker) runningOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, runs := range c.running {
		if jobOf(task) == job {
			n += len(runs)
		}
	}
	return n
}
