// Package httpserve runs the HTTP servers of one process and shuts them down together. What their clients
// hold is bounded by package ingress.
package httpserve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/connstate"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
)

// Error is the error class of servers that cannot listen or that fail.
var Error = errs.Class("serve")

const (
	// receiveBuffer and sendBuffer are the sizes in bytes of the kernel's buffers of a connection; the kernel
	// takes twice as much. What waits there is memory of the machine, too, and by default the kernel lets
	// one connection have several MB. A job of 400 bytes fits into it many times.
	receiveBuffer = ingress.ReceiveBuffer / 2
	sendBuffer    = 32 << 10
	// bodyReceiveBuffer is that of a connection whose large body is being read: one of 256 KB took 0.39 to 0.46 ms
	// over loopback with it, and 0.28 ms with 32 KB, with which 1,500 connections had 40 MB waiting.
	bodyReceiveBuffer = 16 << 10
	// gaugeInterval is the interval at which gauges are updated; they are scraped every few seconds.
	gaugeInterval = time.Second
)

// Group is a set of clients with a budget of their own.
type Group string

// Groups of clients.
const (
	Callers   Group = "callers"   // at a gateway or an entry
	Operators Group = "operators" // at an entry
	Reports   Group = "reports"   // the target beside a sidecar
	Readiness Group = "readiness" // the load balancer
	Metrics   Group = "metrics"   // the operators
)

// Options configures Servers.
type Options struct {
	Log     *zap.Logger
	Metrics *metrics.Registry
	Plan    ingress.Plan
	// RefusalBody returns the body of a refusal for callers whose request did not get to a handler, with
	// status 408, 431 or 503. Nothing of the request has run. Nil: an object with the reason.
	RefusalBody func(status int, reason string) []byte
}

// Servers are the HTTP servers of one process. The methods must not be called
// concurrently, except for SetRules.
type Servers struct {
	tomb    *tomb.Tomb
	opts    Options
	servers []*http.Server
	drained []*drainListener // of the servers
	groups  map[Group]*group
}

// New returns an empty set of servers. A server that fails kills the tomb with its
// error.
func New(t *tomb.Tomb, o Options) *Servers {
	s := &Servers{tomb: t, opts: o, groups: make(map[Group]*group)}
	for _, name := range []Group{Callers, Operators, Reports, Readiness, Metrics} {
		s.groups[name] = newGroup(name, o)
	}
	return s
}

// SetRules sets the limits of callers' requests. Open connections follow them from their next byte on.
func (s *Servers) SetRules(r ingress.Rules) {
	r = r.WithDefaults()
	s.groups[Callers].rulesNow.Store(&r)
}

// Serve listens on a TCP ip:port and serves it in the background until Shutdown. It returns the address that it is
// bound to.
func (s *Servers) Serve(name Group, address string, h http.Handler) (net.Addr, error) {
	return s.ServeTLS(name, address, nil, h)
}

// ServeTLS is Serve for connections with TLS, unless config is nil.
func (s *Servers) ServeTLS(name Group, address string, tlsConfig *tls.Config, h http.Handler) (net.Addr, error) {
	config := net.ListenConfig{Control: setBuffers}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := setBacklog(l, s.groups[name].backlog()); err != nil {
		_ = l.Close()
		return nil, Error.Wrap(err)
	}
	s.serveOn(s.groups[name], l, tlsConfig, h)
	return l.Addr(), nil
}

// serveOn serves a listener for a group in the background until Shutdown.
func (s *Servers) serveOn(g *group, l net.Listener, tlsConfig *tls.Config, h http.Handler) {
	drained := newDrainListener(l)
	server := &http.Server{
		Handler:     g.handler(h),
		ConnContext: connContext,
		ConnState:   connState,
		ErrorLog:    settings.ServerLogger(s.opts.Log),
	}
	s.servers, s.drained = append(s.servers, server), append(s.drained, drained)
	s.tomb.Go(func() error {
		defer close(drained.served)
		s.tomb.Go(func() error { return g.gaugeLoop(s.tomb.Dying()) })
		if err := server.Serve(&listener{Listener: drained, group: g, tls: tlsConfig}); err != http.ErrServerClosed {
			return Error.Wrap(err)
		}
		return nil
	})
}

// setBuffers sets the sizes of the buffers of a listening socket, which its connections inherit.
func setBuffers(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		if sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer); sockoptErr == nil {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		}
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// setBacklog sets how many connections may wait to be accepted; 0 leaves it as it is.
func setBacklog(l net.Listener, n int) error {
	s, ok := l.(syscall.Conn)
	if !ok || n == 0 {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// connContext makes the connection of a request known to this package and to connstate.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(connstate.NewContext(ctx, c), connKey{}, c)
}

// connState tells a connection that a request has begun, or that an answer was sent.
func connState(c net.Conn, state http.ConnState) {
	served := c.(*conn)
	if state == http.StateIdle {
		served.idle(time.Now())
		if served.hasHeld() {
			return // the next request has begun
		}
	}
	served.setState(state)
}

// ServeMetrics serves /metrics on a port. With port 0 it does nothing.
func (s *Servers) ServeMetrics(ip string, port int, r *metrics.Registry) error {
	if port == 0 {
		return nil
	}
	router := bunrouter.New()
	router.GET("/metrics", bunrouter.HTTPHandler(r.Handler()))
	_, err := s.Serve(Metrics, net.JoinHostPort(ip, strconv.Itoa(port)), router)
	return err
}

// ShutdownWhenDying shuts the servers down when the tomb is dying, within a time.
func (s *Servers) ShutdownWhenDying(limit time.Duration) {
	s.tomb.Go(func() error {
		<-s.tomb.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		s.Shutdown(ctx)
		return nil
	})
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
