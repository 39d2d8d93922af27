package sidecar

import (
	"slices"

	"github.com/catkinline/catkinline/forecast"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
)

// noteSpeed keeps what an entry has learnt of the target's speed, for entries that link to this
// agent later. The agent sees all runs on its target, but no sibling on another one and no
// estimate, so that it cannot tell a slow target from long tasks.
func (s *Sidecar) noteSpeed(m *wire.RunStart) {
	if m.Speed == nil || m.Target != s.report.Target {
		return
	}
	s.speed = m.Speed
}

// forgetSpeed drops what is known of the speed if a report is of another target, or of one of another
// kind or size. Of another process on a machine that is alike, little is kept.
func (s *Sidecar) forgetSpeed(before, next targets.Report) {
	switch {
	case s.speed == nil:
	case before.Target != next.Target || before.Capacity != next.Capacity || !slices.Equal(before.Labels, next.Labels):
		s.speed = nil
	case before.Born != next.Born:
		s.speed = &wire.TargetSpeed{Log: s.speed.Log, Runs: min(s.speed.Runs, forecast.RestartRuns)}
	}
}
