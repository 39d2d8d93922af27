package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/targets"
)

// recallTime is how long a kept report is used before the target has reported
// again. Targets report every 1.5 s, and one that has begun to drain in the
// meantime must get no run 2 s after it said so to the earlier process.
const recallTime = 1800 * time.Millisecond

// RestoreReport takes in what an earlier process of this agent kept. It counts once the
// target has answered as the incarnation that the report names, and until the
// target reports itself or recallTime has passed.
func (s *Sidecar) RestoreReport(r targets.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reported || r.Left || r.Target == "" {
		return
	}
	s.log.Info("report of an earlier process recalled", zap.String("target", r.Target), zap.String("service", r.Service),
		zap.Bool("draining", r.Draining), zap.Int64("born", r.Born), zap.Uint64("sequence", r.Sequence))
	s.report, s.recalled = r, true
	s.table.SetCapacity(r.Capacity)
	signal(s.wake)
	time.AfterFunc(recallTime, s.endRecall)
}

// confirmRecall compares a kept report with the answer to an inquiry that named its
// incarnation, and reports whether it may be used. An incarnation may have ended
// and started again under its name.
func (s *Sidecar) confirmRecall(l targets.PollResponse) bool {
	if l.Replaced || l.Born != s.report.Born {
		s.log.Info("the recalled report is out of date", zap.String("target", s.report.Target), zap.Int64("born", s.report.Born), zap.Int64("answered", l.Born))
		s.report, s.recalled = targets.Report{}, false
		return false
	}
	s.reported = true
	return true
}

// endRecall stops the use of a kept report that the target has not confirmed.
func (s *Sidecar) endRecall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.recalled {
		return
	}
	s.log.Warn("the target has not reported since this process started", zap.String("target", s.report.Target))
	s.recalled = false
	s.report.Left = true
	s.tellState()
}
