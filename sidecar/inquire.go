package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/workload"
)

// inquireLoop renews the lease and asks the target for its runs without a break:
// each inquiry waits at the target until a run ends or the renewal is due. Pause is
// the time between an answer and the next inquiry.
func (s *Sidecar) inquireLoop(pause time.Duration) error {
	for s.tomb.Alive() {
		wait := pause
		if !s.inquire() {
			wait = s.opts.RenewInterval
		}
		if wait == 0 {
			continue
		}
		select {
		case <-s.tomb.Dying():
		case <-s.wake:
		case <-time.After(wait):
		}
	}
	return nil
}

// inquire makes one inquiry and reports whether it was answered.
func (s *Sidecar) inquire() bool {
	s.mu.Lock()
	now := time.Now()
	q := targets.PollRequest{
		Target:       s.report.Target,
		LeaseEnd:     s.leaseEnd(now),
		FencingToken: s.target.fence,
		AckedEnd:     s.target.seen,
		MaxWait:      s.opts.RenewInterval,
	}
	switch {
	case q.FencingToken == 0:
		q.MaxWait = 0
	case s.pendingStops():
		q.MaxWait = stopWait
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.MaxWait+s.opts.RequestTimeout)
	l, err := s.opts.Target.Poll(ctx, q)
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.unreachable(err)
		return false
	}
	return s.takeListing(q, now, l)
}

// pendingStops reports whether a stop was acknowledged whose end is not listed
// yet: the next listing decides.
func (s *Sidecar) pendingStops() bool {
	return len(s.table.Select(func(r *runs.Run) bool { return !r.StopAckedAt.IsZero() })) > 0
}

// unreachable takes in that an inquiry got no answer. When no renewal can have
// reached the target for longer than a lease, nothing runs there any more.
func (s *Sidecar) unreachable(err error) {
	gone := errors.Is(err, targets.ErrNotListening)
	if !gone {
		s.opts.Metrics.RequestUnanswered("inquiry")
		if time.Since(s.target.answered) < silenceLimit {
			return
		}
	}
	if s.target.reachable {
		s.log.Warn("target does not answer", zap.String("target", s.report.Target), zap.Error(err))
	}
	silent := time.Since(s.target.answered) > time.Duration(clockSlack*float64(s.opts.Lease))+2*s.opts.RequestTimeout+s.opts.RenewInterval
	was := s.target.reachable
	s.target.reachable = false
	switch {
	case silent && !s.target.answered.IsZero():
		for _, e := range s.table.Clear("the target was silent for longer than its lease") {
			s.finish(e)
		}
	case gone:
		s.loseRuns(time.Now(), "the target's process has ended")
	}
	s.target.synced = s.target.synced || gone
	if was {
		s.tellState()
	}
}

// takeListing takes in an answer and reports whether the next inquiry may follow
// at once.
func (s *Sidecar) takeListing(q targets.PollRequest, asked time.Time, l targets.PollResponse) bool {
	now, was := time.Now(), s.open()
	if s.recalled && !s.reported && q.Target == s.report.Target && !s.confirmRecall(l) {
		return true
	}
	if l.Replaced {
		s.target.replaced = true
		return false // the new incarnation's report is on its way
	}
	if l.Born == s.target.born && l.Clock < s.target.clock {
		return true // overtaken by the answer to a later inquiry
	}
	if l.Born != s.target.born && l.Born != 0 {
		s.targetReborn(asked, l)
	}
	s.target.clock, s.target.clockAt, s.target.answered = l.Clock, now, now
	if s.target.fence == 0 || l.Fenced {
		if q.FencingToken == s.target.fence { // not raised since
			s.target.raiseFence()
		}
		return true
	}
	s.target.reachable = true
	orphans := s.applyListing(asked, l)
	s.target.synced = s.target.synced || len(orphans) == 0
	if len(orphans) > 0 {
		s.stopOrphans(s.report.Target, orphans, s.target.fence)
	}
	if was != s.open() {
		if s.open() {
			s.log.Info("target takes runs", zap.String("target", s.report.Target), zap.Int64("born", s.target.born), zap.Uint64("fence", s.target.fence))
		}
		s.tellState()
	}
	return len(orphans) == 0
}

// raiseFence takes a token that is higher than the last one. The target's own clock
// rises within its life, whatever the time of day does, so that a later agent usually
// has the higher token at once. A life that has seen a token of the one before it, by
// an order that was on its way, may have seen a much higher one: doubling finds it
// within some fifty calls. Only the agent on the target's own instance orders runs, so
// that nobody else raises the token against it.
func (t *targetState) raiseFence() {
	t.fence = max(uint64(t.clock.Milliseconds()), min(2*t.fence, maxFence)) + 1
}

// targetReborn takes in the first answer of the target's next life. Orders for the
// last one that were on their way may be carried out in this one, which has seen no
// token: the token rises over the life's end, and what was not settled before the
// birth is stopped before its end is reported.
func (s *Sidecar) targetReborn(asked time.Time, l targets.PollResponse) {
	fence := s.target.fence
	if s.target.born != 0 {
		s.log.Info("target started again", zap.Int64("born", l.Born), zap.Int64("before", s.target.born))
		// The clock was read after the question was asked, in whole milliseconds.
		age := time.Duration(clockSlack*float64(l.Clock)) + time.Millisecond
		s.loseRuns(asked.Add(-age), "the target started again")
	}
	s.target = targetState{born: l.Born}
	if fence != 0 {
		s.target.fence = fence + 1
	}
}

// loseRuns reports the runs that a process of the target had confirmed before its
// end, and has those stopped that the next one may have begun.
func (s *Sidecar) loseRuns(ended time.Time, reason string) {
	over, unsure := s.table.TargetRestarted(ended, reason)
	for _, e := range over {
		s.finish(e)
	}
	for _, r := range unsure {
		s.stop(r, reason)
	}
}

// applyListing reports the ends that are listed and returns the runs that the
// table lacks.
func (s *Sidecar) applyListing(asked time.Time, l targets.PollResponse) []workload.RunID {
	listing := runs.Listing{
		RequestedAt: asked,
		ReceivedAt:  time.Now(),
		Running:     make(map[workload.RunID]bool, len(l.Running)),
		Ended:       make(map[workload.RunID]runs.EndStatus, len(l.Ended)),
	}
	var orphans []workload.RunID
	for _, id := range l.Running {
		listing.Running[id] = true
		if s.table.Get(id) == nil {
			orphans = append(orphans, id)
		}
	}
	for _, e := range l.Ended {
		listing.Ended[e.Run] = runs.EndStatus{End: e.End, Reason: e.Reason}
		s.target.seen = max(s.target.seen, e.Number)
	}
	for _, e := range s.table.Apply(listing) {
		s.finish(e)
	}
	return orphans
}

// outOfDate reports whether a report is of an earlier life or was overtaken. The
// time of day may step back between two lives: what the target itself has answered
// counts more than the birth in its reports.
func (s *Sidecar) outOfDate(r targets.Report) bool {
	switch {
	case !s.reported || s.target.replaced:
		return false
	case r.Target == s.report.Target && r.Born == s.report.Born:
		return r.Sequence < s.report.Sequence
	case s.target.born != 0 && r.Target == s.report.Target && r.Born == s.target.born:
		return false
	}
	return r.Born < s.report.Born
}

// HandleReport takes in what the target says of itself, and reports whether
// the report is of the current incarnation. A report that a partition delayed
// may arrive after a new incarnation's first one.
func (s *Sidecar) HandleReport(r targets.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outOfDate(r) {
		s.log.Info("out-of-date report ignored", zap.String("target", r.Target), zap.Int64("born", r.Born), zap.Uint64("sequence", r.Sequence))
		return false
	}
	before, was := s.report, s.open()
	s.report, s.reported, s.recalled = r, true, false
	s.opts.SaveReport(r)
	s.table.SetCapacity(r.Capacity)
	replaced := before.Target != r.Target
	if replaced && before.Target != "" {
		for _, e := range s.table.Clear("the target was replaced") {
			s.finish(e)
		}
		s.target = targetState{}
	}
	if replaced || was != s.open() || before.Draining != r.Draining || before.Capacity != r.Capacity {
		s.log.Info("target reported", zap.String("target", r.Target), zap.String("service", r.Service), zap.Bool("draining", r.Draining),
			zap.Int64("cpu", r.Capacity.CPU), zap.Int64("memory_mb", r.Capacity.Memory), zap.Strings("labels", r.Labels), zap.Uint64("sequence", r.Sequence))
		s.tellState()
		signal(s.wake)
	}
	return true
}

// HandleDeregistration takes in that the target has ended as planned.
func (s *Sidecar) HandleDeregistration(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if target != s.report.Target {
		return
	}
	s.report.Left, s.recalled = true, false
	s.opts.SaveReport(s.report)
	s.log.Info("target left", zap.String("target", target))
	for _, e := range s.table.Clear("the target left") {
		s.finish(e)
	}
	s.tellState()
}
