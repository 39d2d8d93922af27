package load

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
)

// verdict is what the targets' records say about a run.
type verdict struct {
	starts     int
	violations []string
	notes      []string
}

// maxViolations bounds the list; a broken build would otherwise print one line
// for each task.
const maxViolations = 50

func (v *verdict) violation(format string, args ...any) {
	switch {
	case len(v.violations) < maxViolations:
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	case len(v.violations) == maxViolations:
		v.violations = append(v.violations, "more violations are not listed")
	}
}

// idleWait bounds the wait for tasks of cancelled and failed jobs to end.
const idleWait = 10 * time.Second

// awaitIdle waits until no target runs a task and notes those that still do.
func awaitIdle(ctx context.Context, s system, v *verdict) {
	ctx, cancel := context.WithTimeout(ctx, idleWait)
	defer cancel()
	for i, url := range s.TargetURLs() {
		for {
			var status standin.TargetStatus
			data, err := exchange(ctx, http.MethodGet, url+"/status", nil)
			if err == nil {
				err = json.Unmarshal(data, &status)
			}
			if err == nil && status.Running == 0 {
				break
			}
			if !sleepUntil(ctx, time.Now().Add(balancerInterval)) {
				v.notes = append(v.notes, fmt.Sprintf("target %d still runs %d tasks after the end of all jobs (%v)", i, status.Running, err))
				break
			}
		}
	}
}

// judgeRun reads every target's record and compares it with the answers.
func judgeRun(ctx context.Context, s system, d *driver) *verdict {
	v := &verdict{}
	awaitIdle(ctx, s, v)
	all, complete := v.collect(ctx, s, d.plan.Faults)
	for _, id := range slices.Sorted(maps.Keys(all.Starts)) {
		if n := all.Starts[id]; n > 1 {
			v.violation("identity %s was started %d times", id, n)
		}
		v.starts += all.Starts[id]
	}
	for _, echo := range slices.Sorted(maps.Keys(all.Echoes)) {
		if n := all.Echoes[echo]; n > 1 {
			v.violation("task %s was started %d times", echo, n)
		}
	}
	answered := map[string]int{}
	for i := range d.records {
		d.judgeRecord(v, i, all, complete, answered)
	}
	v.judgeProcesses(s, d.plan.Faults)
	return v
}

// collect sums the records of all targets. It reports whether they are
// complete: a target that was restarted has lost what it had.
func (v *verdict) collect(ctx context.Context, s system, faults []Fault) (all standin.TargetStarts, complete bool) {
	all = standin.TargetStarts{Starts: map[string]int{}, Echoes: map[string]int{}}
	complete = true
	for i, url := range s.TargetURLs() {
		var one standin.TargetStarts
		data, err := exchange(ctx, http.MethodGet, url+"/starts", nil)
		if err == nil {
			err = json.Unmarshal(data, &one)
		}
		if err != nil {
			v.notes = append(v.notes, fmt.Sprintf("starts of target %d are not known: %v", i, err))
			complete = false
			continue
		}
		for id, n := range one.Starts {
			all.Starts[id] += n
		}
		for echo, n := range one.Echoes {
			all.Echoes[echo] += n
		}
		if ended(faults, fmt.Sprintf("target-%d", i)) {
			v.notes = append(v.notes, fmt.Sprintf("target %d was stopped by the schedule; its starts before that are not judged", i))
			complete = false
		}
	}
	return all, complete
}

func ended(faults []Fault, process string) bool {
	for _, f := range faults {
		if f.Process == process && f.ends() {
			return true
		}
	}
	return false
}

// judgeRecord checks one answer against the record of starts.
func (d *driver) judgeRecord(v *verdict, i int, all standin.TargetStarts, complete bool, answered map[string]int) {
	r := &d.records[i]
	if r.wrong != "" {
		v.violation("%s", r.wrong)
	}
	for _, id := range r.tasks {
		if other, ok := answered[id]; ok {
			v.violation("jobs %d and %d both hold the result of %s", other, i, id)
		}
		answered[id] = i
		if complete && all.Starts[id] == 0 {
			v.violation("job %d holds a result of %s, which no target started", i, id)
		}
	}
	if r.outcome != outcomeFailed || r.failure.Ran != result.NotRun {
		return
	}
	for t := range r.job.runMS {
		if n := all.Echoes[d.echo(i, t)]; n > 0 {
			v.violation("job %d was answered %d %s as not run, and its task %d was started", i, r.failure.Code, r.failure.Name, t)
		}
	}
}

// judgeProcesses reports processes that ended without being told to.
func (v *verdict) judgeProcesses(s system, faults []Fault) {
	for _, name := range s.Names() {
		if !s.Alive(name) && !ended(faults, name) {
			v.violation("process %s ended by itself", name)
		}
	}
}
