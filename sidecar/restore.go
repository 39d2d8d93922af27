package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/targets"
)

// maxReadyAge is how long after a report the target is known not to be ending as planned. Targets
// report every 1.5 s, and go on for 2 s at least after they have announced their end.
const maxReadyAge = 1800 * time.Millisecond

// RestoreReport loads the report that an earlier process of this agent saved. It is used once
// the target has responded as the incarnation that the report names, until the target reports
// itself or maxReadyAge has passed. The fencing token rises above that of the earlier process in any
// case: a target that has started again, and whose clock is behind, might execute a delayed request.
func (s *Sidecar) RestoreReport(r targets.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restoreCrashes(r.Crashes)
	if r.FencingToken != 0 && r.FencingToken < maxFencingToken {
		s.target.fencingToken = max(s.target.fencingToken, r.FencingToken+1)
	}
	if s.reportUsable || r.Left || r.Target == "" {
		return
	}
	s.log.Info("report of an earlier process recalled", zap.String("target", r.Target), zap.String("service", r.Service),
		zap.Bool("draining", r.Draining), zap.Int64("born", r.Born), zap.Uint64("sequence", r.Sequence))
	s.report, s.restored = r, true
	s.table.SetCapacity(r.Capacity)
	signal(s.pollNow)
	time.AfterFunc(maxReadyAge, s.expireRestored)
}

// confirmRestored compares the restored report with the response to a poll for its
// incarnation, and reports whether it may still be used. A target may have restarted under the
// same id. A target that refuses the fencing token does not say since when it runs, which
// confirms nothing.
func (s *Sidecar) confirmRestored(response targets.PollResponse) bool {
	if response.Born == 0 && !response.Replaced {
		return true
	}
	if response.Replaced || response.Born != s.report.Born {
		s.log.Info("the recalled report is out of date", zap.String("target", s.report.Target), zap.Int64("born", s.report.Born), zap.Int64("answered", response.Born))
		s.report, s.restored = targets.Report{}, false
		return false
	}
	s.reportUsable = true
	return true
}

// expireRestored stops the use of a restored report when the target has not reported itself in
// time.
func (s *Sidecar) expireRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restored {
		return
	}
	s.log.Warn("the target has not reported since this process started", zap.String("target", s.report.Target))
	s.restored = false
	s.report.Left = true
	s.broadcastState()
}
