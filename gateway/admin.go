package gateway

import (
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/catkinline/catkinline/metrics"
)

// readyHandler serves the readiness check of the load balancer. The gateway is ready when
// routes are known and a target, or a placer with targets, can be reached; the store need not
// answer.
func (g *Gateway) readyHandler() http.Handler {
	r := bunrouter.New()
	r.GET("/readyz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if reason := g.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return nil
		}
		_, err := w.Write([]byte("ready\n"))
		return err
	})
	return r
}

func (g *Gateway) notReadyReason() string {
	switch {
	case g.stopping.Load():
		return "a planned stop has begun"
	case g.routes.Load() == nil:
		return "no configuration is known yet"
	case !g.scheduler.HasTargets() && !g.forwarder.reachable(g.offered()):
		return "no target and no placer is reachable"
	}
	return ""
}

// gaugeLoop updates the gauges, and passes on states of the evacuations that change nothing.
func (g *Gateway) gaugeLoop() error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
			g.passUnsentEvacuations()
			load := g.scheduler.Load()
			g.opts.Metrics.Set(metrics.JobsRunning, float64(load.Jobs))
			g.opts.Metrics.Set(metrics.TasksWaiting, float64(load.WaitingTasks))
			g.opts.Metrics.Set(metrics.TasksInFlight, float64(load.Runs))
			g.opts.Metrics.Set(metrics.SchedulingLag, g.loopLag.meanLag().Seconds())
			g.opts.Metrics.Set(metrics.AgentsLinked, float64(load.Targets))
			speeds := g.scheduler.Speeds()
			g.opts.Metrics.Set(metrics.FastestTarget, speeds.Fastest)
			g.opts.Metrics.Set(metrics.SlowestTarget, speeds.Slowest)
			g.opts.Metrics.Set(metrics.FarFactor, speeds.FarFactor)
		}
	}
}
