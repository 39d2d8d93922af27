// Package workload holds jobs whose tasks are sized: each task asks for a part
// of a target's capacity and names what it may run on.
package workload

import (
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

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// MaxTasks returns how many tasks that need need each fit into r, at most most.
func (r Resources) MaxTasks(need Resources, most int) int {
	n := int64(most)
	for _, d := range [][2]int64{{r.CPU, need.CPU}, {r.Memory, need.Memory}, {r.Accelerators, need.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(0, d[0])/d[1])
		}
	}
	return int(n)
}

// FitsIn reports whether r is at most room in every resource.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string `cbor:"1,keyasint"`
	Step  uint32 `cbor:"2,keyasint,omitempty"`
	Index uint32 `cbor:"3,keyasint,omitempty"`
}

// String returns the id as logs show it.
func (t TaskID) String() string {
	return t.Job + "/" + strconv.Itoa(int(t.Step)) + "/" + strconv.Itoa(int(t.Index))
}

// RunID names one run of a task. Attempt counts from 1 and rises with each run.
type RunID struct {
	Task    TaskID `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
}

// String returns the id as logs show it.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(int(r.Attempt)) }

// Step is a set of equal tasks.
type Step struct {
	Tasks         int           `cbor:"1,keyasint"`
	Need          Resources     `cbor:"2,keyasint"`           // of each task
	Estimate      time.Duration `cbor:"3,keyasint,omitempty"` // the caller's rough estimate of a task's run time
	After         []int         `cbor:"4,keyasint,omitempty"` // earlier steps that must be done first
	RequiredLabel string        `cbor:"5,keyasint,omitempty"` // that a target must have; empty: any target
	DataRack      string        `cbor:"6,keyasint,omitempty"` // rack of the data; elsewhere tasks take longer
	MaxPerTarget  int           `cbor:"7,keyasint,omitempty"` // tasks of the step on one target; 0: no bound
}

// Job is a request of a caller. ID is chosen by the caller.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Spec  string `cbor:"2,keyasint"` // passed on to the target with every task
	Steps []Step `cbor:"3,keyasint"`
	// Unsupported names a feature that the job asks for and the system does not
	// have; such a job is refused before anything runs.
	Unsupported string `cbor:"4,keyasint,omitempty"`
}

// Tasks returns the number of tasks.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}
