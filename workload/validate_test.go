package workload_test

import (
	"testing"

	"github.com/catkinline/catkinline/workload"
)

// Guards against jobs that crash a scheduler, which indexes its state by steps and tasks:
// callers and peers may send any numbers.
func TestValidateJob(t *testing.T) {
	step := workload.Step{Tasks: 2}
	for name, c := range map[string]struct {
		steps []workload.Step
		valid bool
	}{
		"two steps":              {[]workload.Step{step, {Tasks: 1, After: []int{0}}}, true},
		"no step":                {nil, false},
		"too many steps":         {make([]workload.Step, workload.MaxSteps+1), false},
		"no task":                {[]workload.Step{{}}, false},
		"negative tasks":         {[]workload.Step{{Tasks: -1}}, false},
		"too many tasks":         {[]workload.Step{{Tasks: workload.MaxTasks}, step}, false},
		"negative need":          {[]workload.Step{{Tasks: 1, Need: workload.Resources{CPU: -1}}}, false},
		"after itself":           {[]workload.Step{{Tasks: 1, After: []int{0}}}, false},
		"after a later step":     {[]workload.Step{{Tasks: 1, After: []int{1}}, step}, false},
		"after a negative index": {[]workload.Step{step, {Tasks: 1, After: []int{-1}}}, false},
	} {
		job := workload.Job{ID: "1", Steps: c.steps}
		if err := job.Validate(); (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid %t", name, err, c.valid)
		}
	}
}
