package soak

import (
	"fmt"
	"time"

	"github.com/catkinline/catkinline/workload"
)

const (
	// targetCPU is the capacity of a target in thousandths of a core: eight tasks
	// of taskCPU fit.
	targetCPU = 32000
	// taskCPU (thousandths of a core) and taskMemory (MB) are the needs of one task.
	taskCPU    = 3600
	taskMemory = 64
)

// taskSpec is the part of a task that its target reads: CPU need, run time, the
// number of its first runs that fail, and whether it crashes its targets.
type taskSpec struct {
	cpu      int64
	runTime  time.Duration
	failures int
	crashes  bool // crashes each target that starts it
}

func (s taskSpec) String() string {
	return fmt.Sprintf("cpu=%d work=%d failures=%d crashes=%t", s.cpu, s.runTime.Milliseconds(), s.failures, s.crashes)
}

// parseSpec parses the result of String. It returns a zero taskSpec for other text.
func parseSpec(text string) taskSpec {
	var s taskSpec
	var ms int64
	if _, err := fmt.Sscanf(text, "cpu=%d work=%d failures=%d crashes=%t", &s.cpu, &ms, &s.failures, &s.crashes); err != nil {
		return taskSpec{}
	}
	s.runTime = time.Duration(ms) * time.Millisecond
	return s
}

// jobShapes are shapes of the users' jobs: number of tasks and their run time.
var jobShapes = []struct {
	tasks   int
	runTime time.Duration
}{
	{8, 51 * time.Millisecond},
	{4, 760 * time.Millisecond},
	{2, 170 * time.Millisecond},
}

func newJob(id string, tasks int, s taskSpec) workload.Job {
	return workload.Job{ID: id, Spec: s.String(), Steps: []workload.Step{{
		Tasks: tasks, Need: workload.Resources{CPU: s.cpu, Memory: taskMemory}, Estimate: s.runTime,
	}}}
}
