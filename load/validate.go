package load

import (
	"encoding/json"

	"github.com/catkinline/catkinline/settings"
)

// validate returns the first error in an experiment.
func (e *Experiment) validate() error {
	switch {
	case e.Name == "" || e.Service == "":
		return Err.New("name and service are required")
	case e.Seconds <= 0 || e.Seconds > maxSeconds:
		return Err.New("seconds must be above 0 and at most %d", maxSeconds)
	case e.DrainSeconds < 0 || e.DrainSeconds > maxDrainSeconds:
		return Err.New("drain_seconds must be from 0 to %d", maxDrainSeconds)
	case e.WarmupSeconds < 0 || e.WarmupSeconds >= e.Seconds:
		return Err.New("warmup_seconds must be at least 0 and less than seconds")
	case e.Load < 0 || e.MaxJobs <= 0 || e.MaxOutstanding <= 0 || e.IdealMS < 0:
		return Err.New("load and ideal_ms must not be negative, max_jobs and max_outstanding must be positive")
	case len(e.Classes) == 0:
		return Err.New("at least one class is required")
	}
	for _, c := range e.Classes {
		if err := c.validate(); err != nil {
			return err
		}
	}
	if err := e.Quick.validate(); err != nil {
		return err
	}
	if err := e.Fleet.validate(); err != nil {
		return err
	}
	return e.validateVariants()
}

func (q Quick) validate() error {
	bad := q.Seconds < 0 || q.Seconds > maxSeconds || q.DrainSeconds < 0 || q.DrainSeconds > maxDrainSeconds
	if bad || q.WarmupSeconds < 0 || (q.Seconds > 0 && q.WarmupSeconds >= q.Seconds) {
		return Err.New("quick: seconds and drain_seconds must be within the limits of the experiment, and warmup_seconds at least 0 and less than seconds")
	}
	return nil
}

func (f Fleet) validate() error {
	if f.Targets <= 0 || f.Slots <= 0 || f.Entries <= 0 || f.Connections < f.Slots {
		return Err.New("fleet: targets, slots and entries must be positive, and connections at least slots")
	}
	if f.DomainDelayMS < 0 || f.CallerDelayMS < 0 {
		return Err.New("fleet: delays must not be negative")
	}
	if len(f.Configuration) > 0 && !json.Valid(f.Configuration) {
		return Err.New("fleet: configuration is not valid JSON")
	}
	return nil
}

func (c Class) validate() error {
	switch {
	case c.Name == "" || c.Share < 0 || len(c.Workspaces) == 0:
		return Err.New("class %q: name, share and workspaces are required", c.Name)
	case c.Tasks.Min < 1 || c.Tasks.Max > maxTasksPerJob:
		return Err.New("class %q: tasks must be from 1 to %d", c.Name, maxTasksPerJob)
	case c.DeadlineMS <= 0:
		return Err.New("class %q: deadline_ms is required", c.Name)
	case c.PayloadBytes < 0 || c.ResultBytes < 0:
		return Err.New("class %q: sizes must not be negative", c.Name)
	}
	for _, d := range []Distribution{c.Tasks, c.RunMS, c.Declared} {
		if err := d.validate(); err != nil {
			return Err.New("class %q: %w", c.Name, err)
		}
	}
	return nil
}

// validateVariants validates every variant in advance, so that an error in the last
// one isn't found only after an hour of runs.
func (e *Experiment) validateVariants() error {
	names := []string{DefaultVariant}
	for name := range e.Variants {
		names = append(names, name)
	}
	for _, name := range names {
		r, err := e.resolve(name, false)
		if err != nil {
			return err
		}
		if err := r.validateResolved(); err != nil {
			return Err.New("variant %q: %w", name, err)
		}
	}
	return nil
}

func (r *resolvedExperiment) validateResolved() error {
	if _, err := r.policy(); err != nil {
		return err
	}
	if err := r.editEntry(new(settings.Entry)); err != nil {
		return err
	}
	if err := r.editAgent(new(settings.Agent)); err != nil {
		return err
	}
	s := r.Swing
	if s.Factor < 0 || (s.Factor > 0 && (s.Seconds <= 0 || s.Every < s.Seconds || s.FirstAt < 0)) {
		return Err.New("swing: factor and first_at must not be negative, seconds must be above 0 and every at least seconds")
	}
	for _, w := range r.CancellationWaves {
		if w.AtSeconds < 0 || w.Share < 0 || w.Share > 1 {
			return Err.New("cancellation wave: at_seconds must not be negative and share must be from 0 to 1")
		}
	}
	for i, f := range r.Faults {
		if err := f.validate(r.Fleet); err != nil {
			return Err.New("fault %d: %w", i, err)
		}
	}
	return nil
}

func (f Fault) validate(fleet Fleet) error {
	kinds := 0
	for _, set := range []bool{f.Process != "", f.Target != nil, f.Relay != "", len(f.Store) > 0} {
		if set {
			kinds++
		}
	}
	switch {
	case kinds != 1 || f.AtSeconds < 0:
		return Err.New("exactly one of process, target, relay and store_faults is required, and at_seconds must not be negative")
	case f.Process != "" && !f.Action.known():
		return Err.New("unknown action %q", f.Action)
	case f.Target != nil && (*f.Target < 0 || *f.Target >= fleet.Targets || f.Faults == nil):
		return Err.New("target must be the number of a target, and target_faults is required")
	case f.Relay != "" && f.Change == nil:
		return Err.New("change is required with relay")
	}
	return nil
}

func (a Action) known() bool {
	switch a {
	case ActionTerminate, ActionKill, ActionFreeze, ActionResume, ActionRestart:
		return true
	}
	return false
}
