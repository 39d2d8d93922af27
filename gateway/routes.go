package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/metrics"
)

func (g *Gateway) version() uint64 {
	if t := g.routes.Load(); t != nil {
		return t.Version
	}
	return 0
}

// applyRoutes applies routes that are newer than the current ones. A document that cannot be
// decoded changes nothing.
func (g *Gateway) applyRoutes(document []byte, source string) {
	table, err := g.opts.DecodeRoutes(document)
	if err != nil {
		g.log.Error("cannot decode routes", zap.String("source", source), zap.Error(err))
		return
	}
	for {
		current := g.routes.Load()
		if current != nil && current.Version >= table.Version {
			return
		}
		if g.routes.CompareAndSwap(current, table) {
			if current == nil {
				close(g.configured)
			}
			break
		}
	}
	g.servers.SetRules(table.Limits)
	g.opts.Metrics.Set(metrics.ConfigRevision, float64(table.Version))
	g.log.Info("routes in force", zap.Uint64("version", table.Version), zap.Int("routes", table.Routes()), zap.String("source", source))
}

// waitForRoutes waits for the first routes, until initialRoutesTimeout after the process
// started.
func (g *Gateway) waitForRoutes() {
	limit := time.NewTimer(initialRoutesTimeout - time.Since(g.created))
	defer limit.Stop()
	select {
	case <-g.configured:
	case <-limit.C:
	case <-g.tomb.Dying():
	}
}

// routesLoop keeps one watch on the operators' keys: the routes and the evacuations. After a failure
// the keys are read again before the next watch.
func (g *Gateway) routesLoop() error {
	ctx := g.tomb.Context(context.Background())
	delay := minRetryDelay
	failing := false
	for g.tomb.Alive() {
		err := g.watchRoutes(ctx)
		if !failing && g.tomb.Alive() {
			g.log.Warn("store lost", zap.Error(err))
		}
		failing = true
		if errors.Is(err, errWatchEnded) {
			g.log.Info("store regained")
			failing, delay = false, minRetryDelay
		}
		select {
		case <-g.tomb.Dying():
			return nil
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// errWatchEnded marks the failure of a watch after the keys were read successfully.
var errWatchEnded = errors.New("gateway: watch on the operators' keys ended")

// watchRoutes reads the operators' keys and watches them until a call fails.
func (g *Gateway) watchRoutes(ctx context.Context) error {
	var view evacuation.View
	after, err := g.readRoutes(ctx, &view)
	if err != nil {
		return err
	}
	for {
		changes, next, err := g.store.Watch(ctx, g.watchPrefix(), after)
		if err != nil {
			return errors.Join(errWatchEnded, err)
		}
		if evacuations := g.evacuationChanges(changes); len(evacuations) > 0 {
			g.adoptEvacuations(view.Apply(next, evacuations), "watch")
		}
		for _, c := range changes {
			if !c.Deleted && c.Entry.Key == g.opts.RoutesKey {
				g.applyRoutes(c.Entry.Value, "watch")
			}
		}
		after = max(after, next)
	}
}

// watchPrefix returns the prefix of the keys that are read and watched.
func (g *Gateway) watchPrefix() string {
	if g.opts.OperatorPrefix != "" {
		return g.opts.OperatorPrefix
	}
	return g.opts.RoutesKey
}

// readRoutes reads the operators' keys and returns the revision of the store from which to watch
// them. The revisions of the keys themselves may be older than the history that the store keeps.
// The evacuations apply before the routes: without routes, this entry starts nothing.
func (g *Gateway) readRoutes(ctx context.Context, view *evacuation.View) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, revision, err := g.store.List(ctx, g.watchPrefix())
	if err != nil {
		return 0, err
	}
	g.adoptEvacuations(view.List(revision, g.evacuatedDomains(entries)), "read")
	for _, e := range entries {
		if e.Key == g.opts.RoutesKey {
			g.applyRoutes(e.Value, "read")
		}
	}
	return revision, nil
}
