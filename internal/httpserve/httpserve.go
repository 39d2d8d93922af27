// Package httpserve runs the HTTP servers of one process and shuts them down
// together.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"strconv"
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
	server := &http.Server{
		Handler:           h,
		ConnContext:       connstate.NewContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          settings.ServerLogger(s.log),
	}
	s.servers = append(s.servers, server)
	s.tomb.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return Error.Wrap(err)
		}
		return nil
	})
	return nil
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

// Shutdown shuts down every server and waits for its requests until ctx ends.
// Requests that remain then are aborted when the process exits.
func (s *Servers) Shutdown(ctx context.Context) {
	for _, server := range s.servers {
		_ = server.Shutdown(ctx) // the error is that of ctx
	}
}
