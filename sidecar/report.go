package sidecar

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
)

const (
	// maxConfirmations bounds the number of reports that are being confirmed at a time. The target
	// reports again if one is left out.
	maxConfirmations = 4
	// confirmAttempts and confirmRetryDelay set how often the target is asked about a report. They
	// span the loss of a response and a raise of the fencing token.
	confirmAttempts   = 6
	confirmRetryDelay = 20 * time.Millisecond
)

// HandleReport processes a report that claims to be from the target, and returns whether it is
// used at once. Other writers can send reports, and after a network partition a delayed report
// may arrive after the first one of a new process. A report of a process that is not known to be
// the target's is therefore used only after the target has answered as that process.
func (s *Sidecar) HandleReport(r targets.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.opts.Service != "" && r.Service != s.opts.Service:
		s.ignoreReport(r, "it is for another service")
		return false
	case !s.isFromCurrentProcess(r):
		s.startConfirmation(r)
		return false
	case r.Born == s.report.Born && r.Sequence < s.report.Sequence:
		s.ignoreReport(r, "a later one has arrived")
		return false
	}
	s.applyReport(r)
	return true
}

func (s *Sidecar) ignoreReport(r targets.Report, reason string) {
	s.log.Info("target report ignored", zap.String("reason", reason), zap.String("target", r.Target), zap.String("service", r.Service),
		zap.Int64("born", r.Born), zap.Uint64("sequence", r.Sequence), zap.String("current", s.report.Target), zap.Int64("current_born", s.target.born))
}

// isFromCurrentProcess reports whether a report is from the process that answers the polls. The
// start time in its responses takes precedence over the one in its earlier reports.
func (s *Sidecar) isFromCurrentProcess(r targets.Report) bool {
	if !s.reportUsable || s.target.replaced || r.Target != s.report.Target {
		return false
	}
	if s.target.born != 0 {
		return r.Born == s.target.born
	}
	return r.Born == s.report.Born
}

// startConfirmation asks the target about a report.
func (s *Sidecar) startConfirmation(r targets.Report) {
	if s.confirmations >= maxConfirmations {
		s.ignoreReport(r, "too many reports are being confirmed")
		return
	}
	s.confirmations++
	s.spawn(func() {
		s.confirm(r)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.confirmations--
	})
}

// confirm asks the target whether it is the process that a report names, until it answers.
func (s *Sidecar) confirm(r targets.Report) {
	token := uint64(0)
	for range confirmAttempts {
		request, sentAt := s.confirmationRequest(r, token)
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.RequestTimeout)
		response, err := s.opts.Target.Poll(ctx, request)
		cancel()
		if s.handleConfirmation(r, sentAt, response, err) {
			return
		}
		if err == nil && response.Fenced {
			token = nextToken(request.FencingToken, response.Clock)
		}
		select {
		case <-s.tomb.Dying():
			return
		case <-time.After(confirmRetryDelay):
		}
	}
}

// confirmationRequest returns a poll that renews and acknowledges nothing. A process with another id
// has not seen the current token, and would refuse lower ones once it had; it gets the given one.
func (s *Sidecar) confirmationRequest(r targets.Report, token uint64) (targets.PollRequest, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := targets.PollRequest{Target: r.Target, FencingToken: token}
	if s.report.Target == "" || s.report.Target == r.Target {
		request.FencingToken = s.target.fencingToken
	}
	return request, time.Now()
}

// handleConfirmation processes the target's response about a report, and returns false if it has
// to be asked again.
func (s *Sidecar) handleConfirmation(r targets.Report, sentAt time.Time, response targets.PollResponse, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil || response.Fenced || s.confirmedAt.After(sentAt):
		return false
	case response.Replaced:
		s.ignoreReport(r, "the target answers as another incarnation")
		return true
	case response.Born != r.Born:
		s.ignoreReport(r, "the target answers as another process")
		return true
	}
	s.replaceProcess(r, sentAt, response)
	s.confirmedAt = time.Now()
	s.applyReport(r)
	return true
}

// replaceProcess ends the runs of the process that the target had before it answered as the one
// that a report names.
func (s *Sidecar) replaceProcess(r targets.Report, sentAt time.Time, response targets.PollResponse) {
	switch {
	case s.target.replaced: // its runs have been ended
		s.target = targetState{}
	case s.report.Target != "" && r.Target != s.report.Target:
		s.endReplacedRuns()
		s.target = targetState{}
	case s.target.born != 0 && response.Born != s.target.born:
		s.handleTargetRestart(sentAt, response)
	}
}

// handleReplaced processes the answer that the target is another incarnation than the polled one:
// the polled one has ended, and the other one refuses every request that was sent to it.
func (s *Sidecar) handleReplaced(request targets.PollRequest) {
	if request.Target != s.report.Target || !s.reportUsable || s.target.replaced {
		return
	}
	s.log.Info("target answers as another incarnation", zap.String("target", s.report.Target), zap.Int64("born", s.target.born))
	s.endReplacedRuns()
	s.target.replaced, s.target.reachable = true, false
}

// endReplacedRuns reports the end of all runs after another incarnation of the target has
// answered.
func (s *Sidecar) endReplacedRuns() {
	s.recordCrash(time.Now())
	for _, e := range s.table.Clear(s.endWithProcess(), "the target was replaced") {
		s.finish(e)
	}
}

// applyReport uses a report of the target's current process.
func (s *Sidecar) applyReport(r targets.Report) {
	before, wasAccepting, wasUsable := s.report, s.acceptsRuns(), s.reportUsable
	s.forgetSpeed(before, r)
	s.report, s.reportUsable, s.restored = r, true, false
	s.reportedAt = time.Now()
	coldChanged := s.setCold(r.ColdLeft, s.reportedAt)
	s.target.leaves = s.target.leaves || r.Draining
	s.saveReport(r)
	s.table.SetCapacity(r.Capacity)
	if !wasUsable || wasAccepting != s.acceptsRuns() || coldChanged || describesOtherwise(before, r) {
		s.log.Info("target reported", zap.String("target", r.Target), zap.String("service", r.Service), zap.Bool("draining", r.Draining),
			zap.Int64("cpu", r.Capacity.CPU), zap.Int64("memory_mb", r.Capacity.Memory), zap.Strings("labels", r.Labels), zap.Uint64("sequence", r.Sequence))
		s.broadcastState()
		signal(s.pollNow)
	}
	s.updateStaleness(s.reportedAt)
}

// minColdChange is the change of the end of the slow time that entries are told of. Reports are
// rounded and delayed by less.
const minColdChange = time.Second

// setCold sets how much longer the target is slow, and reports whether entries have to know.
func (s *Sidecar) setCold(left time.Duration, now time.Time) bool {
	until := now.Add(left)
	known := s.coldUntil
	if known.Before(now) {
		known = now
	}
	if until.Sub(known).Abs() < minColdChange {
		return false
	}
	s.coldUntil = until
	return true
}

// describesOtherwise reports whether two reports differ in what entries have to know.
func describesOtherwise(a, b targets.Report) bool {
	return a.Target != b.Target || a.Service != b.Service || a.Draining != b.Draining || a.Capacity != b.Capacity || !slices.Equal(a.Labels, b.Labels)
}

// endWithProcess returns how the runs end that were on the target when its process ended.
func (s *Sidecar) endWithProcess() wire.EndStatus {
	if s.leaves() {
		return wire.EndStopped
	}
	return wire.EndCrashed
}

// leaves reports whether the target's process has announced its planned end. Its later reports do not
// revoke that: they may have been delayed.
func (s *Sidecar) leaves() bool { return s.target.leaves || s.report.Draining || s.report.Left }

// mayLeave reports whether the target's process may be ending as planned: it has announced that, or it
// may have announced it to an earlier process of this agent, or while this one stood still.
func (s *Sidecar) mayLeave(now time.Time) bool {
	age := s.reportAge(now)
	return s.leaves() || age < 0 || age > maxReadyAge
}

// reportAge returns the age of the last report to this process, or a negative duration without one.
func (s *Sidecar) reportAge(now time.Time) time.Duration {
	if s.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportedAt)
}

// HandleDeregistration processes the announcement that the target's process is about to end. The
// process may take a while, or go on for some seconds if it gets no acknowledgement; its runs are
// at work until they are listed as ended or the process has ended.
func (s *Sidecar) HandleDeregistration(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target != s.report.Target {
		return
	}
	s.report.Left, s.target.leaves, s.restored = true, true, false
	s.saveReport(s.report)
	s.log.Info("target leaves", zap.String("target", target), zap.Int("runs", s.table.Len()))
	s.broadcastState()
	signal(s.pollNow)
}
