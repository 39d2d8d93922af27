// Package httpserve runs the HTTP servers of one process and shuts them down
// together.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/internal/connstate"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
)

// Error is the error class of servers that cannot listen or that fail.
var Error = errs.Class("serve")

const (
	// headerTimeout limits the time to read a request's header; idleTimeout is
	// the time after which an idle keep-alive connection is closed. Both match the
	// platform's limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// Servers are the HTTP servers of one process. The methods must not be called
// concurrently.
type Servers struct {
	tomb    *tomb.Tomb
	log     *zap.Logger
	servers []*http.Server
	drained []*drainListener // of the servers
}

// New returns an empty set of servers. A server that fails kills the tomb with its
// error.
func New(t *tomb.Tomb, log *zap.Logger) *Servers { return &Servers{tomb: t, log: log} }

// Serve listens on a TCP ip:port and serves it in the background until Shutdown.
func (s *Servers) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	s.serveOn(l, h)
	return nil
}

// serveOn serves a listener in the background until Shutdown.
func (s *Servers) serveOn(l net.Listener, h http.Handler) {
	drained := newDrainListener(l)
	server := &http.Server{
		Handler:           h,
		ConnContext:       connstate.NewContext,
		ConnState:         setState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          settings.ServerLogger(s.log),
	}
	s.servers, s.drained = append(s.servers, server), append(s.drained, drained)
	s.tomb.Go(func() error {
		defer close(drained.served)
		if err := server.Serve(drained); err != http.ErrServerClosed {
			return Error.Wrap(err)
		}
		return nil
	})
}

// ServeMetrics serves /metrics on a port. With port 0 it does nothing.
func (s *Servers) ServeMetrics(ip string, port int, r *metrics.Registry) error {
	if port == 0 {
		return nil
	}
	router := bunrouter.New()
	router.GET("/metrics", bunrouter.HTTPHandler(r.Handler()))
	return s.Serve(net.JoinHostPort(ip, strconv.Itoa(port)), router)
}

// Shutdown shuts down every server. Requests are served until no connection has one and the callers
// know that the connections end, or ctx ends. Requests that remain then are aborted when the
// process exits.
func (s *Servers) Shutdown(ctx context.Context) {
	var drains sync.WaitGroup
	for _, l := range s.drained {
		drains.Go(func() { l.drain(ctx) })
	}
	drains.Wait()
	ctx, cancel := context.WithCancel(ctx)
	cancel() // the drain has waited for the requests
	for _, server := range s.servers {
		_ = server.Shutdown(ctx) // the error is that of ctx
	}
}
