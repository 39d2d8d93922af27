package placement

import (
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// CrashReport describes the crash of a target for logs and metrics.
type CrashReport struct {
	Target          string
	Born            int64 // start of the crashed process, Unix milliseconds
	Suspects        int   // runs that were on it
	Partial         bool  // there may have been more
	Age             time.Duration
	MostCrashesTask workload.TaskID // the suspect with the most crashes
	MostCrashes     int
}

// HandleCrash handles the record of a crash of a target, from its agent or from another entry,
// and reports whether it was new.
func (s *Scheduler) HandleCrash(r crash.Record, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashes.Add(r, now) {
		return false
	}
	for _, t := range s.ordered {
		if t.state.Target == r.Target {
			t.crashedAt = r.At
		}
	}
	s.reportCrash(r, now)
	s.updateSandbox(now)
	s.judge(now)
	s.schedule(now)
	return true
}

// inferCrash records that a target has crashed together with its agent, which therefore reports
// nothing: another process of the target is there now, and runs of this entry were on the one
// before. Other entries may have had further runs there.
func (s *Scheduler) inferCrash(t *target, before wire.TargetState, now time.Time) *crash.Record {
	suspects := t.lostRuns
	t.lostRuns = nil
	if before.Born == 0 || t.state.Born == 0 || before.Born == t.state.Born {
		return nil
	}
	suspects = append(suspects, t.suspects(now, func(r *run) bool { return r.incarnation != t.incarnation })...)
	if len(suspects) == 0 {
		return nil
	}
	r := crash.Record{Target: before.Target, Born: before.Born, At: now, Suspects: suspects, Partial: true}
	if !s.crashes.Add(r, now) {
		return nil
	}
	s.reportCrash(r, now)
	s.judge(now)
	return &r
}

// suspects returns the runs on a target for which keep returns true.
func (t *target) suspects(now time.Time, keep func(*run) bool) []crash.Suspect {
	var suspects []crash.Suspect
	for _, r := range t.sortedRuns(keep) {
		suspects = append(suspects, crash.Suspect{Task: r.id.Task, Route: r.job.request.Route.Name, RunTime: now.Sub(r.sent)})
	}
	return suspects
}

// Crashes returns the known crashes of the last minute.
func (s *Scheduler) Crashes(now time.Time) []crash.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Records(now)
}

func (s *Scheduler) reportCrash(r crash.Record, now time.Time) {
	if s.opts.Observer == nil {
		return
	}
	report := CrashReport{Target: r.Target, Born: r.Born, Suspects: len(r.Suspects), Partial: r.Partial, Age: now.Sub(r.At)}
	for _, k := range r.Suspects {
		if n := s.crashes.Crashes(k.Task); n > report.MostCrashes {
			report.MostCrashesTask, report.MostCrashes = k.Task, n
		}
	}
	s.opts.Observer.TargetCrashed(report)
}

// mostCrashes returns the number of targets that crashed under one of a job's tasks, the
// highest of all tasks.
func (s *Scheduler) mostCrashes(j *activeJob) int {
	most := 0
	if s.crashes.Empty() {
		return 0
	}
	for step := range j.tasks {
		for index := range j.tasks[step] {
			most = max(most, s.crashes.Crashes(j.taskID(step, index)))
		}
	}
	return most
}
