// Package workload defines jobs, their steps and tasks, and the resources that a
// task requests from a target.
package workload

import (
	"fmt"
	"strconv"
	"time"
)

// Resources is an amount of a target's capacity. CPU is in thousandths of a
// core, Memory in MB, Accelerators in devices.
type Resources struct {
	CPU          int64 `cbor:"1,keyasint,omitempty"`
	Memory       int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of both amounts, resource by resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, resource by resource; it may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// FitsIn reports whether free holds at least r of every resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Negative reports whether any resource is below zero.
func (r Resources) Negative() bool { return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0 }

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string `cbor:"1,keyasint"`
	Step  uint32 `cbor:"2,keyasint,omitempty"`
	Index uint32 `cbor:"3,keyasint,omitempty"`
}

// String returns the id in the form JOB/STEP/INDEX.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.Itoa(int(t.Step)) + "/" + strconv.Itoa(int(t.Index))
}

// RunID identifies one run of a task. Attempt starts at 1 and increases with each run.
type RunID struct {
	Task    TaskID `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
}

// String returns the id in the form JOB/STEP/INDEX#ATTEMPT.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(int(r.Attempt)) }

// Step is a set of identical tasks.
type Step struct {
	Tasks         int           `cbor:"1,keyasint"`
	Need          Resources     `cbor:"2,keyasint"`           // per task
	Estimate      time.Duration `cbor:"3,keyasint,omitempty"` // run time of a task as the caller estimates it
	After         []int         `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must be done first
	RequiredLabel string        `cbor:"5,keyasint,omitempty"` // label that a target must have; empty: any target
	DataRack      string        `cbor:"6,keyasint,omitempty"` // rack that holds the data; tasks on other racks take longer
	MaxPerTarget  int           `cbor:"7,keyasint,omitempty"` // tasks of the step that may run on one target at once; 0: unlimited
}

// Job is a caller's request to run tasks. The caller chooses the ID.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Spec  string `cbor:"2,keyasint"` // passed on to the target with every task
	Steps []Step `cbor:"3,keyasint"`
	// Unsupported names a requested feature that is not implemented. A job with one
	// is refused before any task runs.
	Unsupported string `cbor:"4,keyasint,omitempty"`
}

// Bounds of a job. The largest jobs in use have 160 tasks.
const (
	MaxSteps = 64
	MaxTasks = 4096
)

// Validate returns an error if a job is outside the bounds, has negative needs, or has a step
// that depends on one that does not precede it.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	for i, s := range j.Steps {
		if s.Tasks < 1 || s.Tasks > MaxTasks || s.Need.Negative() {
			return fmt.Errorf("step %d: invalid number of tasks (%d) or resources (cpu %d)", i, s.Tasks, s.Need.CPU)
		}
		for _, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				return fmt.Errorf("step %d depends on step %d, which does not precede it", i, dependency)
			}
		}
	}
	if j.Tasks() > MaxTasks {
		return fmt.Errorf("a job has at most %d tasks, this one has %d", MaxTasks, j.Tasks())
	}
	return nil
}

// Tasks returns the number of tasks in all steps.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}
