package gateway

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/catkinline/catkinline/metrics"
)

// readyRoutes tells the balancer whether to send callers here: the routes are
// known and a target can be reached. The store need not answer.
func (g *Gateway) readyRoutes() http.Handler {
	r := bunrouter.New()
	r.GET("/readyz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if reason := g.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return nil
		}
		_, err := w.Write([]byte("ready\n"))
		return err
	})
	return r
}

func (g *Gateway) notReady() string {
	switch {
	case g.stopping.Load():
		return "a planned stop has begun"
	case g.routes.Load() == nil:
		return "no configuration is known yet"
	case g.scheduler.Load().Targets == 0:
		return "no target is reachable"
	}
	return ""
}

// serveAdmin serves the metrics page.
func (g *Gateway) serveAdmin() error {
	if g.opts.AdminPort == 0 {
		return nil
	}
	r := bunrouter.New()
	r.GET("/metrics", bunrouter.HTTPHandler(g.opts.Metrics.Handler()))
	return g.serve(net.JoinHostPort(g.node.IP, strconv.Itoa(g.opts.AdminPort)), r)
}

// gaugeLoop keeps the gauges.
func (g *Gateway) gaugeLoop() error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
			load := g.scheduler.Load()
			g.opts.Metrics.Set(metrics.JobsRunning, float64(load.Jobs))
			g.opts.Metrics.Set(metrics.TasksWaiting, float64(load.WaitingTasks))
			g.opts.Metrics.Set(metrics.TasksOut, float64(load.Runs))
			g.opts.Metrics.Set(metrics.AgentsLinked, float64(load.Targets))
		}
	}
}
