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

// findings are the results of comparing a run's responses with the targets'
// records of started tasks.
type findings struct {
	starts     int
	violations []string
	notes      []string
}

// maxViolations bounds the list of violations, because a broken build could
// otherwise report one for each task.
const maxViolations = 50

func (found *findings) addViolation(format string, args ...any) {
	switch {
	case len(found.violations) < maxViolations:
		found.violations = append(found.violations, fmt.Sprintf(format, args...))
	case len(found.violations) == maxViolations:
		found.violations = append(found.violations, "more violations are not listed")
	}
}

// idleTimeout bounds the wait for tasks of cancelled and failed jobs that still
// run on the targets.
const idleTimeout = 10 * time.Second

// awaitIdle waits until no target runs a task. It adds a note for each target
// that still runs tasks after idleTimeout.
func awaitIdle(ctx context.Context, s system, found *findings) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	for i, url := range s.TargetURLs() {
		for {
			var status standin.TargetStatus
			data, err := doRequest(ctx, http.MethodGet, url+"/status", nil)
			if err == nil {
				err = json.Unmarshal(data, &status)
			}
			if err == nil && status.Running == 0 {
				break
			}
			if !sleepUntil(ctx, time.Now().Add(probeInterval)) {
				found.notes = append(found.notes, fmt.Sprintf("target %d still runs %d tasks after the end of all jobs (%v)", i, status.Running, err))
				break
			}
		}
	}
}

// checkRun checks that no task started twice, that every response agrees with
// the targets' records of started tasks, and that no process exited unexpectedly.
func checkRun(ctx context.Context, s system, d *driver) *findings {
	found := &findings{}
	awaitIdle(ctx, s, found)
	recorded, complete := found.collectStarts(ctx, s, d.plan.Faults)
	for _, id := range slices.Sorted(maps.Keys(recorded.Starts)) {
		if n := recorded.Starts[id]; n > 1 {
			found.addViolation("identity %s was started %d times", id, n)
		}
		found.starts += recorded.Starts[id]
	}
	for _, echo := range slices.Sorted(maps.Keys(recorded.Echoes)) {
		if n := recorded.Echoes[echo]; n > 1 {
			found.addViolation("task %s was started %d times", echo, n)
		}
	}
	answered := map[string]int{}
	for i := range d.records {
		d.checkRecord(found, i, recorded, complete, answered)
	}
	found.checkProcesses(s, d.plan.Faults)
	return found
}

// collectStarts merges the records of all targets. The result is incomplete if
// a target can't be read or was stopped by a fault: a restarted target loses
// its records.
func (found *findings) collectStarts(ctx context.Context, s system, faults []Fault) (recorded standin.TargetStarts, complete bool) {
	recorded = standin.TargetStarts{Starts: map[string]int{}, Echoes: map[string]int{}}
	complete = true
	for i, url := range s.TargetURLs() {
		var starts standin.TargetStarts
		data, err := doRequest(ctx, http.MethodGet, url+"/starts", nil)
		if err == nil {
			err = json.Unmarshal(data, &starts)
		}
		if err != nil {
			found.notes = append(found.notes, fmt.Sprintf("starts of target %d could not be read: %v", i, err))
			complete = false
			continue
		}
		for id, n := range starts.Starts {
			recorded.Starts[id] += n
		}
		for echo, n := range starts.Echoes {
			recorded.Echoes[echo] += n
		}
		if endedByFaults(faults, fmt.Sprintf("target-%d", i)) {
			found.notes = append(found.notes, fmt.Sprintf("target %d was stopped by a scheduled fault; its starts before the fault are not checked", i))
			complete = false
		}
	}
	return recorded, complete
}

// endedByFaults reports whether a scheduled fault ends the process.
func endedByFaults(faults []Fault, process string) bool {
	for _, f := range faults {
		if f.Process == process && f.endsProcess() {
			return true
		}
	}
	return false
}

// checkRecord checks the response to job i against the started tasks. The map
// answered holds the job that returned each task identity so far.
func (d *driver) checkRecord(found *findings, i int, recorded standin.TargetStarts, complete bool, answered map[string]int) {
	r := &d.records[i]
	if r.violation != "" {
		found.addViolation("%s", r.violation)
	}
	for _, id := range r.tasks {
		if other, ok := answered[id]; ok {
			found.addViolation("jobs %d and %d both have the result of %s", other, i, id)
		}
		answered[id] = i
		if complete && recorded.Starts[id] == 0 {
			found.addViolation("job %d has a result of %s, which no target started", i, id)
		}
	}
	if r.outcome != outcomeFailed || r.failure.Ran != result.NotRun {
		return
	}
	for t := range r.job.runMS {
		if n := recorded.Echoes[d.echo(i, t)]; n > 0 {
			found.addViolation("job %d failed with %d %s and was reported as not run, but its task %d was started", i, r.failure.Code, r.failure.Name, t)
		}
	}
}

// checkProcesses reports processes that exited without a scheduled fault.
func (found *findings) checkProcesses(s system, faults []Fault) {
	for _, name := range s.Names() {
		if !s.Alive(name) && !endedByFaults(faults, name) {
			found.addViolation("process %s exited without a scheduled fault", name)
		}
	}
}
