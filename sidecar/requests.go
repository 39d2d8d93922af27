package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Handle processes a message from an entry. Messages on links that were lost or replaced are
// ignored.
func (s *Sidecar) Handle(l Link, m wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Paused() {
		s.closeStaleLinks()
	}
	state := s.links[l.Name()]
	if state == nil || state.link != l {
		return
	}
	switch m := m.(type) {
	case *wire.RunStart:
		s.handleStart(state, m, time.Now())
	case *wire.Evacuations:
		s.setEvacuations(state, m)
	case *wire.Backlog:
		s.setBacklog(state, m)
		signal(s.roomChanged)
	case *wire.RunStop:
		for _, id := range m.Runs {
			if r := s.table.Get(id); r != nil && r.Owner == ownerOf(l) {
				s.stop(r, "stop requested by the entry")
			}
		}
	}
}

// closeStaleLinks closes all links after a pause of this process. The entries have given up
// the agent in the meantime, and the tasks of messages that are left in its buffers may run
// elsewhere.
func (s *Sidecar) closeStaleLinks() {
	for _, state := range s.links {
		if state.stale {
			continue
		}
		state.stale = true
		s.reportedAt = time.Time{} // the clock that it was read from may have stood still
		s.log.Warn("link closed after a pause of this process", zap.String("entry", state.link.Name()))
		_ = state.link.Close(Error.New("the agent process was paused"))
	}
}

func (s *Sidecar) setBacklog(state *linkState, m *wire.Backlog) {
	if state.retiring {
		return // the entry sends no more starts
	}
	s.offers.SetBacklog(ownerOf(state.link), runs.Backlog{Tasks: int(m.Tasks), Key: time.Now().Add(m.Urgency), MinNeed: m.MinNeed})
}

func (s *Sidecar) handleStart(state *linkState, m *wire.RunStart, now time.Time) {
	state.startsReceived++
	if m.Backlog != nil {
		s.setBacklog(state, m.Backlog)
	}
	s.noteSpeed(m)
	r := runs.Run{ID: m.Run, Owner: ownerOf(state.link), Need: m.Need, Route: m.Route, Alone: m.Alone, SentAt: now}
	if s.evacuated() {
		s.refuseEvacuated(&r)
		return
	}
	if end, reason := s.admit(state, m, r, now); end != 0 {
		s.reportEnd(&r, end, 0, reason)
		return
	}
	s.lastNeed = m.Need
	signal(s.roomChanged)
	request := targets.StartRequest{Run: m.Run, Spec: m.Spec, LeaseEnd: s.startLease(now), FencingToken: s.target.fencingToken}
	incarnation := s.report.Target
	run := s.table.Get(m.Run)
	s.opts.Metrics.RunStarted()
	s.spawn(func() { s.sendStart(run, incarnation, request) })
}

func (s *Sidecar) admit(state *linkState, m *wire.RunStart, r runs.Run, now time.Time) (wire.EndStatus, string) {
	switch {
	case state.stale:
		return wire.EndNotRun, "the agent process was paused"
	case !state.evacuations:
		return wire.EndNotRun, "the evacuated failure domains are not known from the entry"
	case m.Need.Negative():
		return wire.EndNotRun, "malformed: negative resource need"
	case !s.acceptsRuns():
		return wire.EndNotRun, "the target does not accept runs"
	case m.Target != s.report.Target:
		return wire.EndNotRun, "the target was replaced"
	case m.Unguarded && s.capacityStale(now):
		return wire.EndNotRun, "the target has not reported its capacity recently"
	case now.Before(s.target.backoffUntil):
		return wire.EndNotRun, "the target refused a run a moment ago"
	case runTimeLeft(state.link) < max(minStartLease, s.leaseLeft(now)):
		return wire.EndNotRun, "the entry may have died since it sent the start"
	case s.table.HasUnansweredStop() && s.leaseLeft(now) < minStartLease:
		return wire.EndNotRun, "a stop has no response, and the lease ends soon"
	case s.longestLease() < minStartLease:
		return wire.EndNotRun, "another entry with runs here may have died"
	}
	switch end := s.table.Admit(r); end {
	case wire.EndNotRun:
		return end, "another run of the task may be on the target"
	default:
		return end, ""
	}
}

// capacityStale reports whether the target may have shrunk without this process knowing.
func (s *Sidecar) capacityStale(now time.Time) bool {
	age := s.reportAge(now)
	return age < 0 || age > maxCapacityAge
}

// updateStaleness tells the entries when the capacity begins or ceases to be stale.
func (s *Sidecar) updateStaleness(now time.Time) {
	if s.capacityStale(now) != s.saidStale {
		s.broadcastState()
	}
}

// startLease returns the lease end to send with a start that was admitted, which extends the lease of all
// runs. While a stop has no response, it must not be extended.
func (s *Sidecar) startLease(now time.Time) time.Duration {
	if s.table.HasUnansweredStop() {
		return s.target.leaseSent
	}
	return s.leaseEnd(now, s.longestLease())
}

// leaseLeft returns how long the last lease that was sent lasts.
func (s *Sidecar) leaseLeft(now time.Time) time.Duration {
	return s.target.leaseSent - s.target.clock - now.Sub(s.target.clockAt)
}

// leaseEnd returns the time on the target's clock at which a lease that is sent now ends, and
// records it for leaseExpired. It returns 0 while that clock is not known, or without a lease.
func (s *Sidecar) leaseEnd(now time.Time, lease time.Duration) time.Duration {
	if s.target.clockAt.IsZero() || lease <= 0 {
		return 0
	}
	end := s.target.clock + now.Sub(s.target.clockAt) + lease
	s.target.leaseSent = max(s.target.leaseSent, end)
	return end
}

// minStartLease is the shortest lease with which a run is started: a stop without a response is
// repeated twice in it, after which the lease is renewed again.
const minStartLease = 300 * time.Millisecond

// refusalBackoff is the delay before the next start after the target refused one for which the
// table has room. It covers the time until the target lists the end of the run that uses the
// room.
const refusalBackoff = 20 * time.Millisecond

// isStillWanted reports whether a run that was admitted may be started now. If not, it reports the
// run as not started.
func (s *Sidecar) isStillWanted(r *runs.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Paused() {
		s.closeStaleLinks()
	}
	if s.table.Get(r.ID) != r {
		return false
	}
	if s.evacuated() {
		s.table.Remove(r.ID)
		s.opts.Metrics.RunEnded(wire.EndNotRun, time.Since(r.SentAt))
		s.refuseEvacuated(r)
		signal(s.roomChanged)
		return false
	}
	state := s.links[r.Owner.Name]
	if state != nil && ownerOf(state.link) == r.Owner && !state.stale && !r.StopRequested {
		return true
	}
	s.remove(r, wire.EndNotRun, "given up before the start was sent")
	return false
}

// sendStart sends a start request and processes its result.
func (s *Sidecar) sendStart(r *runs.Run, incarnation string, request targets.StartRequest) {
	if !s.isStillWanted(r) {
		return
	}
	response := s.requestStart(r, incarnation, request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.Get(r.ID) != r {
		return // its end has been reported already
	}
	now := time.Now()
	switch response.Result {
	case targets.Started:
		r.MayStartLate = response.unanswered > 0
		if s.answersAsPolled(response.sentAt, response.Clock) {
			r.State, r.ConfirmedAt = runs.Running, now
			return
		}
		// Its lease ends by the clock of a process that has not answered a poll.
		if r.State == runs.Starting {
			r.State = runs.Unconfirmed
		}
		signal(s.pollNow)
		return
	case targets.StartUnknown:
		s.recordUnanswered("start")
		if r.State == runs.Running {
			return // a poll response has listed it
		}
		r.State = runs.Unconfirmed
		s.stop(r, "no response to the start request")
		return
	case targets.StartNoRoom:
		s.target.backoffUntil = now.Add(refusalBackoff)
		s.remove(r, wire.EndNoRoom, "refused by the target")
	case targets.StartStale:
		s.remove(r, wire.EndStale, "")
	case targets.StartFenced:
		if request.FencingToken == s.target.fencingToken {
			s.target.raiseFencingToken()
			signal(s.pollNow)
		}
		s.remove(r, wire.EndNotRun, "fenced")
	default:
		s.target.backoffUntil = now.Add(refusalBackoff)
		s.remove(r, wire.EndNotRun, response.Reason)
	}
}

// answersAsPolled reports whether a response with a time on the target's clock, to a request sent at
// sentAt, is from the process that answered the last poll. The clock of a process that has started
// since then is behind.
func (s *Sidecar) answersAsPolled(sentAt time.Time, clock time.Duration) bool {
	if s.target.clockAt.IsZero() {
		return false
	}
	passed := sentAt.Sub(s.target.clockAt)
	if passed > 0 {
		passed = time.Duration(float64(passed) / clockDriftFactor)
	}
	return clock+clockResolution >= s.target.clock+passed
}

func (s *Sidecar) remove(r *runs.Run, end wire.EndStatus, reason string) {
	s.table.Remove(r.ID)
	s.finish(runs.EndedRun{Run: r, End: end, Reason: reason})
}

// stop requests the stop of a run. The request is repeated until the target acknowledges it or
// the end of the run is known.
func (s *Sidecar) stop(r *runs.Run, reason string) {
	if r.StopRequested {
		return
	}
	r.StopRequested, r.StopReason = true, reason
	incarnation := s.report.Target
	s.spawn(func() { s.sendStop(r, incarnation) })
}

func (s *Sidecar) sendStop(r *runs.Run, incarnation string) {
	for timeout := min(firstStopTimeout, s.opts.RequestTimeout); ; timeout = min(2*timeout, s.opts.RequestTimeout) {
		s.mu.Lock()
		fencingToken, known := s.target.fencingToken, s.table.Get(r.ID) == r
		s.mu.Unlock()
		if !known {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		stopped := s.opts.Target.Stop(ctx, incarnation, r.ID, fencingToken)
		cancel()
		if stopped {
			s.mu.Lock()
			r.StopAckedAt = time.Now()
			s.mu.Unlock()
			signal(s.pollNow)
			return
		}
		s.mu.Lock()
		s.recordUnanswered("stop")
		s.mu.Unlock()
		select {
		case <-s.tomb.Dying():
			return
		case <-time.After(stopRetryDelay):
		}
	}
}

// finish logs and reports the end of a run that was removed from the table.
func (s *Sidecar) finish(e runs.EndedRun) {
	took := time.Since(e.Run.SentAt)
	s.opts.Metrics.RunEnded(e.End, took)
	if e.End != wire.EndDone {
		s.log.Info("run ended", zap.Stringer("run", e.Run.ID), zap.Stringer("end", e.End), zap.String("reason", e.Reason),
			zap.String("entry", e.Run.Owner.Name), zap.Duration("took", took), zap.Int64("free_cpu", s.table.Free().CPU),
			zap.Duration("listing_age", time.Since(s.target.answeredAt)))
	}
	s.reportEnd(e.Run, e.End, took, e.Reason)
	signal(s.roomChanged)
}

// reportEnd sends the end of a run to the entry that started it, over the current link to the
// same entry process. If that process is not linked, the end is dropped.
func (s *Sidecar) reportEnd(r *runs.Run, end wire.EndStatus, took time.Duration, reason string) {
	s.sendEnd(r, &wire.RunEnd{Run: r.ID, Status: end, RunTime: took, Reason: reason})
}

func (s *Sidecar) sendEnd(r *runs.Run, m *wire.RunEnd) {
	state := s.links[r.Owner.Name]
	if state == nil || ownerOf(state.link) != r.Owner {
		return
	}
	s.updateOffers()
	state.advertised = s.roomFor(state)
	m.Room = state.advertised
	s.send(state, m)
}

// stopOrphans requests the stop of runs that the target lists and the table does not have. An
// earlier process of this agent started them, and their entries have given them up.
func (s *Sidecar) stopOrphans(incarnation string, ids []workload.RunID, fencingToken uint64) {
	for _, id := range ids {
		s.log.Info("stopping a run of an earlier agent", zap.Stringer("run", id))
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.opts.RequestTimeout)
			defer cancel()
			if !s.opts.Target.Stop(ctx, incarnation, id, fencingToken) {
				s.opts.Metrics.RequestUnanswered("stop")
			}
			signal(s.pollNow)
		})
	}
}
