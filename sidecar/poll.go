package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// pollLoop polls the target continuously, which renews the lease: each poll waits at the
// target until a run ends or the renewal is due. Delay is the time between a response and the
// next poll.
func (s *Sidecar) pollLoop(delay time.Duration) error {
	broken := false
	for s.tomb.Alive() {
		result := s.poll()
		wait := s.pollDelay(delay, result, broken)
		broken = result == pollBroken
		if wait == 0 {
			continue
		}
		select {
		case <-s.tomb.Dying():
		case <-s.pollNow:
		case <-time.After(wait):
		}
	}
	return nil
}

// pollDelay returns the delay before the next poll of a poller with a usual delay.
func (s *Sidecar) pollDelay(usual time.Duration, result pollResult, brokenBefore bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	lossy := s.losesResponses(now)
	switch {
	case result == pollBroken && !brokenBefore:
		return brokenPollDelay
	case result != pollAnswered && lossy:
		return lossyPollDelay
	case result != pollAnswered:
		return s.opts.RenewInterval
	case lossy:
		return min(usual, lossyPollDelay)
	}
	return usual
}

// losesResponses reports whether single requests to the target got no response recently, while it
// responds to others. Ends of runs are then read by shorter and more frequent polls: each poll without a
// response delays the ends that it would have listed.
func (s *Sidecar) losesResponses(now time.Time) bool {
	return s.table.Len() > 0 && !s.unansweredAt.IsZero() && now.Sub(s.unansweredAt) < lossyPeriod && now.Sub(s.target.answeredAt) < s.opts.RequestTimeout
}

// recordUnanswered records that a request to the target got no response.
func (s *Sidecar) recordUnanswered(kind string) {
	s.opts.Metrics.RequestUnanswered(kind)
	s.unansweredAt = time.Now()
}

// pollResult says when the next poll may follow.
type pollResult uint8

const (
	pollAnswered pollResult = iota // after the usual delay
	pollFailed                     // when the renewal is due
	pollBroken                     // at once: the connection broke, most likely with the target's process
)

// sentPoll is a poll with its number, from 1, in the order in which the polls were sent.
type sentPoll struct {
	request targets.PollRequest
	sentAt  time.Time
	number  uint64
	timeout time.Duration
}

// nextPoll returns the next poll to send.
func (s *Sidecar) nextPoll() sentPoll {
	s.polls++
	p := sentPoll{sentAt: time.Now(), number: s.polls, timeout: s.opts.RequestTimeout}
	p.request = targets.PollRequest{
		Target:       s.report.Target,
		LeaseEnd:     s.renewedLease(p.sentAt),
		FencingToken: s.target.fencingToken,
		AckedEnd:     s.target.ackedEnd,
		MaxWait:      s.opts.RenewInterval,
	}
	switch {
	case p.request.FencingToken == 0:
		p.request.MaxWait = 0
	case s.hasPendingStops():
		p.request.MaxWait = stopPollWait
	case s.losesResponses(p.sentAt):
		p.request.MaxWait, p.timeout = lossyPollWait, min(lossyPollTimeout, p.timeout)
	}
	return p
}

// poll sends one poll.
func (s *Sidecar) poll() pollResult {
	s.mu.Lock()
	p := s.nextPoll()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), p.request.MaxWait+p.timeout)
	response, err := s.opts.Target.Poll(ctx, p.request)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.handlePollFailure(err)
		if errors.Is(err, targets.ErrNotListening) || errors.Is(err, context.DeadlineExceeded) {
			return pollFailed
		}
		return pollBroken
	}
	if !s.handlePollResponse(p, response) {
		return pollFailed
	}
	return pollAnswered
}

// hasPendingStops reports whether the target has acknowledged a stop without having listed the
// end of the run. The next listing shows how the run ended.
func (s *Sidecar) hasPendingStops() bool {
	return len(s.table.Select(func(r *runs.Run) bool { return !r.StopAckedAt.IsZero() })) > 0
}

// renewedLease returns the lease end to send with a poll, or 0 to renew nothing. A target that
// has been silent for unresponsiveAfter may still receive the polls; with renewals, its runs
// would continue for as long as it is silent. While there are runs of an earlier process of this agent, or
// the lease must not be extended for another reason, nothing is renewed either, so that these runs end with
// the lease before their tasks start elsewhere. A lease that no process gets would delay the report of its
// runs' end. Without runs there is nothing to renew; the next start brings a lease.
func (s *Sidecar) renewedLease(now time.Time) time.Duration {
	if !s.target.answeredAt.IsZero() && (!s.target.reachable || now.Sub(s.target.answeredAt) > unresponsiveAfter) {
		return 0
	}
	if s.table.HasUnansweredStop() || s.hasUnknownRuns() || s.table.Len() == 0 {
		return 0
	}
	longest := s.longestLease()
	s.logSilence(longest)
	return s.leaseEnd(now, longest)
}

// logSilence logs when an entry is silent for so long that the lease is shortened, and when none is any more.
func (s *Sidecar) logSilence(longest time.Duration) {
	silent := longest < s.opts.Lease
	if s.saidSilent == silent {
		return
	}
	s.saidSilent = silent
	if silent {
		s.log.Warn("lease is shortened: an entry may have died", zap.Duration("lease", longest), zap.Duration("left", s.leaseLeft(time.Now())))
	} else {
		s.log.Info("lease is no longer shortened", zap.Duration("left", s.leaseLeft(time.Now())))
	}
}

// hasUnknownRuns reports whether the target may have runs of an earlier process of this agent, which
// are being stopped.
func (s *Sidecar) hasUnknownRuns() bool { return !s.target.synced || s.target.orphans > 0 }

// leaseExpired reports whether every lease that was sent to the target has ended on its clock.
func (s *Sidecar) leaseExpired(now time.Time) bool {
	if s.target.clockAt.IsZero() {
		return false
	}
	left := time.Duration(clockDriftFactor * float64(s.target.leaseSent-s.target.clock))
	return now.Sub(s.target.clockAt) > left+leaseMargin
}

// earlierLeasesExpired reports whether every lease has expired that an earlier process of this agent may
// have renewed.
func (s *Sidecar) earlierLeasesExpired(now time.Time) bool {
	return now.Sub(s.startedAt) > time.Duration(clockDriftFactor*float64(s.opts.Lease))+leaseMargin
}

// handlePollFailure records that a poll got no response. Once the lease has expired, no run
// continues whose start the target had confirmed. A start request without a response may still
// be in transit, and a target that restarts under its id would execute it; these runs stay in
// the table until the target responds. A target that leaves may close its address before its runs
// have ended, so that nothing listening there proves the end of the runs of one that stays only.
func (s *Sidecar) handlePollFailure(err error) {
	notListening := errors.Is(err, targets.ErrNotListening)
	if !notListening {
		s.recordUnanswered("inquiry")
		if time.Since(s.target.answeredAt) < unresponsiveAfter {
			return
		}
	}
	if s.target.reachable {
		s.log.Warn("target does not answer", zap.String("target", s.report.Target), zap.Bool("leaves", s.leaves()),
			zap.Duration("report_age", s.reportAge(time.Now())), zap.Int("runs", s.table.Len()), zap.Error(err))
	}
	wasReachable, wasReady := s.target.reachable, s.ready()
	s.target.reachable = false
	now := time.Now()
	switch {
	case notListening && !s.mayLeave(now):
		s.recordCrash(now)
		s.endLostRuns(now, wire.EndCrashed, "the target's process has ended")
	case notListening && s.leaseExpired(now):
		s.recordCrash(now)
		s.endLostRuns(now, s.endWithProcess(), "nothing listens at the target's address, and its lease has ended")
	case s.leaseExpired(now):
		s.target.silentRuns = s.suspects(now)
		s.endLostRuns(now, wire.EndStopped, "the target was unreachable for longer than its lease")
	}
	s.target.synced = s.target.synced || notListening && s.earlierLeasesExpired(now)
	if wasReachable || wasReady != s.ready() {
		s.broadcastState()
	}
}

// handlePollResponse processes the response to a poll, and reports whether the next poll may
// follow at once.
func (s *Sidecar) handlePollResponse(p sentPoll, response targets.PollResponse) bool {
	wasAccepting := s.acceptsRuns()
	again := s.updateFromPoll(p, response)
	s.updateStaleness(time.Now())
	if s.reportUsable && s.target.fencingToken > s.savedToken {
		s.saveReport(s.report)
	}
	if wasAccepting != s.acceptsRuns() {
		if s.acceptsRuns() {
			s.log.Info("target accepts runs", zap.String("target", s.report.Target), zap.Int64("born", s.target.born), zap.Uint64("fence", s.target.fencingToken))
		}
		s.broadcastState()
	}
	return again
}

// updateFromPoll updates the state of the target and its runs, as handlePollResponse.
func (s *Sidecar) updateFromPoll(p sentPoll, response targets.PollResponse) bool {
	now := time.Now()
	if s.restored && !s.reportUsable && p.request.Target == s.report.Target && !s.confirmRestored(response) {
		return true
	}
	if response.Replaced {
		s.handleReplaced(p.request)
		return false // the report of the new incarnation follows
	}
	if s.overtaken(p, response) {
		return true
	}
	if response.Born != s.target.born && response.Born != 0 {
		s.handleTargetRestart(p.sentAt, response)
	}
	s.target.clock, s.target.clockAt, s.target.answeredAt, s.target.answeredPolls = response.Clock, now, now, s.polls
	if s.target.fencingToken == 0 || response.Fenced {
		if p.request.FencingToken == s.target.fencingToken { // not raised since the poll was sent
			s.target.raiseFencingToken()
		}
		return true
	}
	if p.request.FencingToken < s.target.fencingToken {
		return true // a request with a lower token may still have been executed after this list
	}
	s.target.reachable = true
	s.target.silentRuns = nil // they were stopped, or go on without a lease
	orphans := s.applyPollResponse(p.sentAt, response)
	s.target.synced = s.target.synced || len(orphans) == 0 && !response.Incomplete
	s.target.orphans = len(orphans)
	if len(orphans) > 0 {
		s.stopOrphans(s.report.Target, orphans, s.target.fencingToken)
	}
	return len(orphans) == 0
}

// overtaken reports whether a response to a later poll, or of a later process, was processed first.
// The target's clock is read in whole milliseconds: within one, the order of two responses is
// known only if the second poll was sent after the first response had arrived.
func (s *Sidecar) overtaken(p sentPoll, response targets.PollResponse) bool {
	if response.Born != 0 && response.Born == s.target.endedBorn {
		return true
	}
	if response.Born != s.target.born {
		return false
	}
	return response.Clock < s.target.clock || response.Clock == s.target.clock && p.number <= s.target.answeredPolls
}

// raiseFencingToken selects a token above the last one. The target's clock is monotonic while
// its process lives, so that a later agent usually starts with a higher token. A restarted
// target may have seen a much higher token, from a delayed request meant for the earlier
// process; doubling exceeds it within about fifty calls. Only the agent on the target's own
// instance starts runs, so that no other agent raises the token in competition.
func (t *targetState) raiseFencingToken() { t.fencingToken = nextToken(t.fencingToken, t.clock) }

// nextToken returns the token to use after one that was too low, at a time on the target's clock.
func nextToken(token uint64, clock time.Duration) uint64 {
	return max(uint64(clock.Milliseconds()), min(2*token, maxFencingToken)) + 1
}

// handleTargetRestart processes the first response of a restarted target. Delayed requests
// that were meant for the earlier process may be executed by the new one, which has seen no
// token. The token is therefore raised across the restart, and runs whose end was not known
// before the restart are stopped before their end is reported.
func (s *Sidecar) handleTargetRestart(sentAt time.Time, response targets.PollResponse) {
	oldToken := s.target.fencingToken
	if s.target.born != 0 {
		s.log.Info("target started again", zap.Int64("born", response.Born), zap.Int64("before", s.target.born))
		// The target read its clock, in whole milliseconds, after the poll was sent.
		age := time.Duration(clockDriftFactor*float64(response.Clock)) + time.Millisecond
		s.recordCrash(time.Now())
		s.endLostRuns(sentAt.Add(-age), s.endWithProcess(), "the target started again")
	}
	s.target = targetState{born: response.Born, endedBorn: s.target.born}
	if oldToken != 0 {
		s.target.fencingToken = oldToken + 1
	}
}

// endLostRuns reports the end of the runs that the target's previous process had confirmed, and
// stops those that its next process may have started.
func (s *Sidecar) endLostRuns(ended time.Time, end wire.EndStatus, reason string) {
	lost, unconfirmed := s.table.TargetRestarted(ended, end, reason)
	for _, e := range lost {
		s.finish(e)
	}
	for _, r := range unconfirmed {
		s.stop(r, reason)
	}
}

// applyPollResponse reports the ends that the target lists and returns the runs that the table
// does not have.
func (s *Sidecar) applyPollResponse(sentAt time.Time, response targets.PollResponse) []workload.RunID {
	listing := runs.Listing{
		Incomplete:  response.Incomplete,
		RequestedAt: sentAt,
		ReceivedAt:  time.Now(),
		Running:     make(map[workload.RunID]bool, len(response.Running)),
		Ended:       make(map[workload.RunID]runs.ListedEnd, len(response.Ended)),
	}
	var orphans []workload.RunID
	for _, id := range response.Running {
		listing.Running[id] = true
		if s.table.Get(id) == nil {
			orphans = append(orphans, id)
		}
	}
	for _, e := range response.Ended {
		listing.Ended[e.Run] = runs.ListedEnd{End: e.End, Reason: e.Reason}
		s.target.ackedEnd = max(s.target.ackedEnd, e.Number)
	}
	for _, e := range s.table.Apply(listing) {
		s.finish(e)
	}
	return orphans
}
