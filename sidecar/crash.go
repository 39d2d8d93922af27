package sidecar

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
)

// suspects returns the runs that may have been on the target when it crashed: those that the table
// has, and those that were given up while the target was silent. A run that was on an earlier process
// that crashed, and that the current one has not confirmed, counts for that crash only.
func (s *Sidecar) suspects(now time.Time) []crash.Suspect {
	suspects := s.target.silentRuns
	known := func(r *runs.Run) bool {
		return slices.ContainsFunc(suspects, func(k crash.Suspect) bool { return k.Task == r.ID.Task })
	}
	counted := func(r *runs.Run) bool { return r.Crashed && r.State != runs.Running }
	for _, r := range s.table.Select(func(r *runs.Run) bool { return !known(r) && !counted(r) }) {
		suspects = append(suspects, crash.Suspect{Task: r.ID.Task, Route: r.Route, RunTime: now.Sub(r.SentAt)})
	}
	return suspects
}

// recordCrash records that the current process of the target has crashed and tells the entries.
// The planned end of a target is no crash, and without runs there is no suspect.
func (s *Sidecar) recordCrash(now time.Time) {
	suspects := s.suspects(now)
	s.target.silentRuns = nil
	if len(suspects) == 0 || s.target.born == 0 || s.leaves() {
		return
	}
	r := crash.Record{Target: s.report.Target, Born: s.target.born, At: now, Suspects: suspects}
	if !s.crashes.Add(r, now) {
		return
	}
	s.opts.Metrics.TargetCrashed()
	youngest, jobs := crash.Summarize(suspects)
	s.log.Warn("target crashed", zap.String("target", r.Target), zap.Int64("born", r.Born), zap.Int("runs", len(suspects)),
		zap.Int("jobs", jobs), zap.Stringer("youngest", youngest.Task), zap.Duration("youngest_age", youngest.RunTime),
		zap.Duration("listing_age", now.Sub(s.target.answeredAt)))
	s.broadcastCrash(r, now)
	s.saveReport(s.report)
}

func (s *Sidecar) broadcastCrash(r crash.Record, now time.Time) {
	for _, state := range s.links {
		s.send(state, wire.NewCrashReport(r, now))
	}
}

// restoreCrashes adds the crashes that an earlier process of this agent saved.
func (s *Sidecar) restoreCrashes(records []crash.Record) {
	now := time.Now()
	added := false
	for _, r := range records {
		if s.crashes.Add(r, now) {
			s.broadcastCrash(r, now)
			added = true
		}
	}
	if added && s.reportUsable {
		s.saveReport(s.report) // it was saved without them
	}
}

// saveReport saves a report of the target together with the recent crashes and the fencing token.
func (s *Sidecar) saveReport(r targets.Report) {
	now := time.Now()
	r.FencingToken, s.savedToken = s.target.fencingToken, s.target.fencingToken
	s.crashes.Refresh(now)
	r.Crashes = s.crashes.Records(now)
	s.opts.SaveReport(r)
}
