package entry

import (
	"context"
	"time"

	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// Intervals and timeouts of the start and of a planned stop.
const (
	// pollInterval is how often a planned stop checks whether requests remain.
	pollInterval = 20 * time.Millisecond
	// firstAgentTimeout is how long a new entry waits for its first agent before it
	// reports itself ready: a load balancer should not send jobs that no target
	// can run. Agents linked to a killed predecessor detect the loss at the latest
	// after the timeout of an idle link, 7.5 s, and then need a few dial attempts.
	firstAgentTimeout = transport.IdleHeartbeatInterval + transport.PeerTimeout + 1500*time.Millisecond
	// leaveTimeout limits the store calls of a planned stop.
	leaveTimeout = 2 * time.Second
)

// notReady returns the reason why the load balancer should send no jobs to this entry,
// or an empty string.
func (e *Entry) notReady() string {
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.config.Current().Revision() == 0:
		return "no configuration yet"
	case e.agentCount() == 0 && time.Since(e.started) < firstAgentTimeout:
		return "no agent yet"
	}
	return ""
}

// agentCount returns the number of linked agents that have announced their target.
func (e *Entry) agentCount() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	n := 0
	for _, a := range e.agents {
		if a.accepting {
			n++
		}
	}
	return n
}

// drain performs the planned stop. Readiness fails first. After the load balancer has
// had time to detect this, new jobs are refused. Then drain waits until every accepted
// job is answered.
func (e *Entry) drain() {
	e.log.Info("planned stop begins", zap.Int64("running", e.counts.running.Load()))
	e.stopping.Store(true)
	e.sendPeerState()
	time.Sleep(time.Duration(e.settings.DrainSeconds * float64(time.Second)))
	e.refusing.Store(true)
	for e.activeRequests() > 0 && e.tomb.Alive() {
		time.Sleep(pollInterval)
	}
	e.leave()
	time.Sleep(5 * pollInterval) // time to send the messages before the links are closed
}

// activeRequests returns the number of job requests being read, run or answered.
func (e *Entry) activeRequests() int64 { return e.requests.Load() }

// leave notifies the agents, records the end of claims and removes this entry from the
// store.
func (e *Entry) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.mu.RLock()
	for l := range e.agents {
		_ = l.Send(&wire.Leave{})
	}
	e.mu.RUnlock()
	if e.claims != nil {
		if err := e.claims.Stop(ctx); err != nil {
			e.log.Warn("cannot record the end of some claims", zap.Error(err))
		}
	}
	if e.store == nil {
		return
	}
	if err := e.members.Stop(ctx); err != nil {
		e.log.Warn("cannot end the registration; the entry stays listed until its lease expires", zap.Error(err))
	}
}

// stop ends everything that Run started.
func (e *Entry) stop() error {
	if e.watcher != nil {
		_ = e.watcher.Stop()
	}
	if e.listener != nil {
		_ = e.listener.Close()
	}
	err := e.tomb.Wait()
	_ = e.metrics.Close()
	e.log.Info("entry stopped", zap.Any("counts", e.Counts()))
	return err
}
