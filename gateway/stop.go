package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// drain is the first part of a planned stop: the balancer is told at once, and jobs
// that still arrive are served if they will end in time, until none is left.
func (g *Gateway) drain() {
	begun := time.Now()
	g.log.Info("planned stop begins", zap.Int64("requests", g.requests.Load()))
	g.stopping.Store(true)
	left := g.stopTime()
	g.scheduler.SetStopDeadline(begun.Add(left))
	limit := time.NewTimer(left)
	defer limit.Stop()
	ticker := time.NewTicker(quietTime / 10)
	defer ticker.Stop()
	quiet := begun
	for {
		select {
		case <-g.tomb.Dying():
			return
		case <-limit.C:
			g.refusing.Store(true)
			g.log.Warn("planned stop ends with requests left", zap.Int64("requests", g.requests.Load()))
			g.scheduler.AbandonAll("the entry stops", time.Now())
			g.forwards.abandonAll("the entry stops")
			return
		case now := <-ticker.C:
			if g.requests.Load() > 0 {
				quiet = now
			}
			if now.Sub(begun) >= leaveAfter && now.Sub(quiet) >= quietTime {
				return
			}
		}
	}
}

// stopTime is how long a planned stop may serve jobs.
func (g *Gateway) stopTime() time.Duration {
	grace := g.node.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	return max(0, grace-lastMoments)
}

// lastMoments is what the end of a planned stop may take.
const lastMoments = 300 * time.Millisecond

// stop closes what is open.
func (g *Gateway) stop() error {
	g.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), lastMoments/2)
	defer cancel()
	g.servers.Shutdown(ctx)
	g.tomb.Kill(nil)
	if err := g.members.Stop(ctx); err != nil {
		g.log.Warn("the entry stays listed until its lease ends", zap.Error(err))
	}
	_ = g.listener.Close()
	err := g.tomb.Wait()
	g.log.Info("gateway stopped", zap.Error(err))
	return err
}
