package agent

import (
	"context"
	"time"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/wire"
)

const (
	// statusInterval is short compared with most tasks, so that an occupied slot
	// is released soon after its work has ended.
	statusInterval = 100 * time.Millisecond
	// statusMaxInterval is the longest pause between status requests to a target
	// that does not answer; the pauses double up to it to limit the load.
	statusMaxInterval = time.Second
	// statusLimit is the timeout of one status request.
	statusLimit = time.Second
	// idleWait is how long deadlineLoop waits when no deadline is set.
	idleWait   = time.Hour
	stopReason = "planned stop"
)

// finish records the end of a task and sends its outcome.
func (a *Agent) finish(entry string, report runner.Report) {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	out := report.Outcome
	delete(a.tasks, out.Task.Identity())
	if report.MayBeRunning {
		a.table.Detach(out.Task, out, now)
		signal(a.poll)
	} else {
		a.table.Finish(out.Task, out, now)
	}
	if state := a.links[entry]; state != nil && state.Incarnation() == out.Task.Job.Entry {
		a.queueOutcome(entry, out)
	}
	signal(a.progress)
	a.flush(now)
}

// deadlineLoop processes the slot table's deadlines: the expiry of grants and of
// retained outcomes, and the removal of entries that stay disconnected.
func (a *Agent) deadlineLoop() error {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(a.applyDeadlines())
		select {
		case <-a.tomb.Dying():
			return nil
		case <-a.wake:
		case <-timer.C:
		}
	}
}

// applyDeadlines returns the time until the next deadline.
func (a *Agent) applyDeadlines() time.Duration {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	a.table.Expire(now)
	a.timerDeadline = now // no signal from this flush
	a.flush(now)
	a.timerDeadline = a.table.NextDeadline()
	if a.timerDeadline.IsZero() {
		return idleWait
	}
	return max(0, a.timerDeadline.Sub(now))
}

// statusLoop polls the target for its number of running tasks while slots are
// occupied without a task of this agent: after the start of the agent, and after a
// request that ended without a complete response.
func (a *Agent) statusLoop() error {
	previous := a.cfg.Target.Slots
	wait := time.Duration(0)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case <-timer.C:
		}
		estimate, ok := a.estimateOccupied()
		switch {
		case !ok:
			wait = min(max(2*wait, statusInterval), statusMaxInterval)
		case a.lowerOccupied(max(previous, estimate), estimate) > 0:
			previous, wait = estimate, statusInterval
		default:
			previous, wait = a.cfg.Target.Slots, statusInterval
			select {
			case <-a.tomb.Dying():
				return nil
			case <-a.poll:
			}
		}
		timer.Reset(wait)
	}
}

// estimateOccupied estimates how many tasks the target runs in addition to those of
// this agent. It reports false if the status request failed.
func (a *Agent) estimateOccupied() (estimate int, ok bool) {
	before := a.inFlight()
	ctx, cancel := context.WithTimeout(a.ctx, statusLimit)
	defer cancel()
	running, err := a.cfg.Runner.Status(ctx)
	if err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.cfg.Metrics.StatusFailed()
		return 0, false
	}
	return max(0, running-min(before, a.inFlight())), true
}

func (a *Agent) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tasks)
}

// lowerOccupied reduces the number of occupied slots to the estimate and returns
// the new number. While tasks run, an estimate can be too low, because a task may
// have ended on the target before its response arrived; then the greater of two
// consecutive estimates is used. Without running tasks one estimate is exact.
func (a *Agent) lowerOccupied(greater, estimate int) int {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	if len(a.tasks) > 0 {
		estimate = greater
	}
	a.table.SetOccupied(min(a.table.Occupied(), estimate), now)
	a.flush(now)
	return a.table.Occupied()
}

// Stop performs a planned stop. It notifies the entries, grants no further slots,
// waits up to StopLimit for running tasks and up to AckLimit for acknowledgements of
// their outcomes. It then cancels the remaining tasks and returns when the agent has
// ended.
func (a *Agent) Stop(ctx context.Context) error {
	a.mu.Lock()
	a.stopping = true
	a.table.SetDraining(true, time.Now())
	a.sendAll(&wire.Leave{Reason: stopReason})
	a.flush(time.Now())
	a.unlock()

	runCtx, cancel := context.WithTimeout(ctx, a.cfg.StopLimit)
	defer cancel()
	a.waitUntil(runCtx, func() bool { return len(a.tasks) == 0 })
	ackCtx, cancelAck := context.WithTimeout(ctx, a.cfg.AckLimit)
	defer cancelAck()
	a.waitUntil(ackCtx, func() bool { return a.table.Stats(time.Now()).Retained == 0 })
	return a.Kill()
}

// LeaveEntry asks one entry to send no further work. Its running tasks finish.
func (a *Agent) LeaveEntry(name string) {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	a.table.EntryLeaving(name, now)
	a.sendTo(name, &wire.Leave{Reason: "this agent moves its link to another entry"})
	a.flush(now)
}

// waitUntil waits until a condition on the locked state holds or ctx ends.
func (a *Agent) waitUntil(ctx context.Context, holds func() bool) {
	for {
		a.mu.Lock()
		done := holds()
		a.mu.Unlock()
		if done {
			return
		}
		select {
		case <-a.progress:
		case <-ctx.Done():
			return
		case <-a.tomb.Dying():
			return
		}
	}
}

// Kill ends the agent at once: running tasks are cancelled, and their outcomes
// are sent before the links are closed.
func (a *Agent) Kill() error {
	a.mu.Lock()
	a.ended = true
	a.table.SetDraining(true, time.Now())
	a.unlock()
	a.tomb.Kill(nil)
	err := a.tomb.Wait()
	a.mu.Lock()
	for _, state := range a.links {
		a.closeLink(state, nil)
	}
	a.unlock()
	return err
}
