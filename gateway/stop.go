package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/wire"
)

// drain runs the first phase of a planned stop, which was requested at a time. The readiness check fails from its
// start, so that the load balancer sends connections elsewhere. Jobs that still arrive are
// served if they will end in time, until none is left and the callers' connections are closed.
func (g *Gateway) drain(started time.Time) {
	g.log.Info("planned stop begins", zap.Int64("requests", g.requests.Load()))
	g.stopping.Store(true)
	g.leaving.add(g.node.Name, g.incarnation)
	stopAt := started.Add(g.drainTimeout())
	g.stopAt.Store(&stopAt)
	g.scheduler.SetStopDeadline(stopAt)
	g.announceStop()
	limit := time.NewTimer(time.Until(stopAt))
	defer limit.Stop()
	ticker := time.NewTicker(drainIdleTime / 10)
	defer ticker.Stop()
	lastBusy := started
	withdrawn := false
	var closed chan struct{} // closed when no caller's connection is left; nil: they are not being closed
	for {
		select {
		case <-g.tomb.Dying():
			if closed == nil {
				<-g.closeConnections(time.Now())
			}
			return
		case <-limit.C:
			g.giveUp()
			if closed == nil {
				closed = g.closeConnections(stopAt)
			}
		case <-closed:
			// Jobs of peers are left only if the limit has passed: none is accepted during the stop.
			return
		case now := <-ticker.C:
			if !withdrawn && g.forwarder.reachable(g.placers()) {
				withdrawn = true
				g.handOver(now)
			}
			if g.requests.Load() > 0 {
				lastBusy = now
			}
			if closed == nil && now.Sub(started) >= minDrainTime && now.Sub(lastBusy) >= drainIdleTime {
				closed = g.closeConnections(stopAt)
			}
		}
	}
}

// handOver gives the jobs back of which nothing has run, once another placer can be reached: this entry ends
// before many of them, and its agents move to others. Entries that sent them here, and the handlers of this
// entry's callers, offer them elsewhere.
func (g *Gateway) handOver(now time.Time) {
	if n := g.scheduler.Withdraw(now); n > 0 {
		g.log.Info("planned stop: jobs that have not started are handed to other placers", zap.Int("jobs", n))
	}
}

// giveUp ends the jobs that are left at the end of the time for a planned stop. Those that arrive later are
// refused.
func (g *Gateway) giveUp() {
	g.refusing.Store(true)
	if left := g.requests.Load(); left > 0 {
		g.log.Warn("planned stop ends with requests left", zap.Int64("requests", left))
	}
	g.scheduler.AbandonAll("the entry stops", time.Now())
	g.forwarder.abandonAll("the entry stops")
}

// closeConnections begins to close the servers. Requests that are on their way are answered. It returns a
// channel that is closed at the end, which comes at half of shutdownReserve after the time for jobs ends at
// the latest.
func (g *Gateway) closeConnections(stopAt time.Time) chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		ctx, cancel := context.WithDeadline(context.Background(), stopAt.Add(shutdownReserve/2))
		defer cancel()
		g.servers.Shutdown(ctx)
	}()
	return closed
}

// announceStop tells the agents to link to other entries, and the peers to send no more jobs.
func (g *Gateway) announceStop() {
	g.mu.Lock()
	for l := range g.agents {
		// Sending fails only on a closed link.
		_ = l.Send(leaveMessage())
	}
	g.mu.Unlock()
	g.sendToPeers(g.placerState())
}

func leaveMessage() *wire.Leave { return &wire.Leave{Reason: "the entry stops"} }

// drainTimeout returns how long a planned stop may serve jobs.
func (g *Gateway) drainTimeout() time.Duration {
	grace := g.node.GracePeriod
	if grace <= 0 {
		grace = defaultGrace
	}
	return max(0, grace-shutdownReserve)
}

// shutdownReserve is the part of the grace period that is kept for closing servers and links.
const shutdownReserve = 300 * time.Millisecond

// exitReserve is the part of shutdownReserve that is kept for the end of the links and of the process, which
// come last.
const exitReserve = 50 * time.Millisecond

// closeDeadline returns until when a stop may wait for the store: the servers may have used their part of
// shutdownReserve before.
func (g *Gateway) closeDeadline(now time.Time) time.Time {
	deadline := now.Add(shutdownReserve / 2)
	if stopAt := g.stopAt.Load(); stopAt != nil {
		if latest := stopAt.Add(shutdownReserve - exitReserve); latest.Before(deadline) {
			return latest
		}
	}
	return deadline
}

// stop refuses new jobs and closes links, the registration, and the servers if no drain has closed them.
func (g *Gateway) stop() error {
	g.refusing.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), g.closeDeadline(time.Now()))
	defer cancel()
	if !g.stopping.Load() {
		g.servers.Shutdown(ctx)
	}
	g.tomb.Kill(nil)
	if err := g.members.Stop(ctx); err != nil {
		g.log.Warn("cannot end the registration; the entry stays listed until its lease expires", zap.Error(err))
	}
	_ = g.listener.Close()
	err := g.tomb.Wait()
	g.log.Info("gateway stopped", zap.Error(err))
	return err
}
