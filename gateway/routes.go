package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

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

// routesLoop keeps a watch on the routes' key. After a failure the key is read again before
// the next watch.
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

// errWatchEnded marks the failure of a watch after the key was read successfully.
var errWatchEnded = errors.New("gateway: watch on the routes ended")

// watchRoutes reads the key and watches it until a call fails.
func (g *Gateway) watchRoutes(ctx context.Context) error {
	after, err := g.readRoutes(ctx)
	if err != nil {
		return err
	}
	for {
		changes, next, err := g.store.Watch(ctx, g.opts.RoutesKey, after)
		if err != nil {
			return errors.Join(errWatchEnded, err)
		}
		for _, c := range changes {
			if !c.Deleted && c.Entry.Key == g.opts.RoutesKey {
				g.applyRoutes(c.Entry.Value, "watch")
			}
		}
		after = max(after, next)
	}
}

// readRoutes reads the key and returns the revision of the store from which to watch it. The
// revision of the key itself may be older than the history that the store keeps.
func (g *Gateway) readRoutes(ctx context.Context) (revision uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, revision, err := g.store.List(ctx, g.opts.RoutesKey)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		if e.Key == g.opts.RoutesKey {
			g.applyRoutes(e.Value, "read")
		}
	}
	return revision, nil
}
