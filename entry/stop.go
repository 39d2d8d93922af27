package entry

import (
	"context"
	"time"

	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// Bounds of a planned stop.
const (
	// pollInterval is how often a stop looks whether work has ended.
	pollInterval = 20 * time.Millisecond
	// firstAgentTimeout is how long a new entry waits for its first agent before it
	// reports itself ready: a balancer should not send jobs that nothing can run.
	// Agents of a predecessor that was killed notice at the latest after the
	// silence limit of an idle link, 7.5 s, and then need a few attempts to dial.
	firstAgentTimeout = transport.IdleHeartbeatInterval + transport.PeerTimeout + 1500*time.Millisecond
	// leaveTimeout bounds the store calls of a stop.
	leaveTimeout = 2 * time.Second
)

// notReady returns why the balancer should not send callers here, or an empty
// text.
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

// agentCount counts the agents whose targets take jobs. One that is linked but
// has not announced its target yet does not count.
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

// drain is the planned stop: readiness fails first; after the balancer had time
// to see it, new jobs are refused; then every accepted job is answered.
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
	time.Sleep(5 * pollInterval) // lets the messages leave before the links close
}

// unanswered counts the requests that are being read, run or answered.
func (e *Entry) activeRequests() int64 { return e.requests.Load() }

// leave tells everyone that this entry is gone.
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
