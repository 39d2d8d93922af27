package soak

import (
	"fmt"
	"time"

	"github.com/catkinline/catkinline/workload"
)

const (
	// targetCPU is the capacity of a target, in thousandths of a core: eight of the
	// users' usual tasks fit in.
	targetCPU = 32000
	// taskCPU and taskMemory (MB) are what one task needs.
	taskCPU    = 3600
	taskMemory = 64
)

// taskSpec is what a target is told of a task: its need, its run time, and how many
// of its first runs fail.
type taskSpec struct {
	cpu      int64
	work     time.Duration
	failures int
}

func (s taskSpec) String() string {
	return fmt.Sprintf("cpu=%d work=%d failures=%d", s.cpu, s.work.Milliseconds(), s.failures)
}

// parseSpec reads what String has written; anything else needs and does nothing.
func parseSpec(text string) taskSpec {
	var s taskSpec
	var ms int64
	if _, err := fmt.Sscanf(text, "cpu=%d work=%d failures=%d", &s.cpu, &ms, &s.failures); err != nil {
		return taskSpec{}
	}
	s.work = time.Duration(ms) * time.Millisecond
	return s
}

// kinds are the shapes of the users' jobs, as numbers of tasks and run times.
var kinds = []struct {
	tasks int
	work  time.Duration
}{
	{8, 51 * time.Millisecond},
	{4, 760 * time.Millisecond},
	{2, 170 * time.Millisecond},
}

func newJob(id string, tasks int, s taskSpec) workload.Job {
	return workload.Job{ID: id, Spec: s.String(), Steps: []workload.Step{{
		Tasks: tasks, Need: workload.Resources{CPU: s.cpu, Memory: taskMemory}, Estimate: s.work,
	}}}
}
