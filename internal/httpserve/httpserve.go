// Package httpserve serves the HTTP addresses of one process and closes them
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

	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
)

// Error is the class of errors of addresses that cannot be served.
var Error = errs.Class("serve")

const (
	// headerTimeout bounds how long a connection may take to send a request's
	// header; idleTimeout closes kept-alive connections that went silent. Both are
	// the platform's usual limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// Servers are the HTTP servers of one process.
type Servers struct {
	tomb    *tomb.Tomb
	log     *zap.Logger
	servers []*http.Server
}

// New returns no servers yet. A server that fails ends the tomb.
func New(t *tomb.Tomb, log *zap.Logger) *Servers { return &Servers{tomb: t, log: log} }

// Serve serves an address until Shutdown.
func (s *Servers) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           h,
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

// ServeMetrics serves the metrics page on a port; port 0 serves none.
func (s *Servers) ServeMetrics(ip string, port int, r *metrics.Registry) error {
	if port == 0 {
		return nil
	}
	router := bunrouter.New()
	router.GET("/metrics", bunrouter.HTTPHandler(r.Handler()))
	return s.Serve(net.JoinHostPort(ip, strconv.Itoa(port)), router)
}

// Shutdown closes every server. Requests that are left when ctx ends are cut by
// the end of the process.
func (s *Servers) Shutdown(ctx context.Context) {
	for _, server := range s.servers {
		_ = server.Shutdown(ctx) // the error is ctx's
	}
}
