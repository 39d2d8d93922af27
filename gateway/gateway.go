// Package gateway is the entry process for jobs with sized tasks: it accepts
// callers' jobs, has them placed on the targets whose agents are linked to it,
// and follows the operators' routes.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/internal/standstill"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// Error is the class of errors of a gateway's life cycle.
var Error = errs.Class("gateway")

// Options are what a gateway needs.
type Options struct {
	Node          settings.Node
	Log           *zap.Logger
	Metrics       *metrics.Registry
	Store         kv.Store
	RoutesKey     string                                        // store key of the operators' routes
	DecodeRoutes  func(document []byte) (*routing.Table, error) // reads the routes
	CallerHandler func(*Gateway) http.Handler                   // serves the callers' address
	AdminPort     int                                           // TCP, for metrics; 0: none
	// LinkListen is the UDP ip:port that links are accepted on, where it differs from
	// the address that Node announces.
	LinkListen string
	// ForwardAlways hands every job to the placers, not only while tasks wait and there
	// are entries enough.
	ForwardAlways bool
}

// Gateway is a running entry.
type Gateway struct {
	opts        Options
	node        settings.Node
	log         *zap.Logger
	store       kv.Store
	incarnation wire.Incarnation
	credentials *transport.Credentials
	scheduler   *placement.Scheduler
	members     *member.Membership
	standstill  *standstill.Detector
	pauseMu     sync.Mutex
	listener    *transport.Listener
	tomb        tomb.Tomb

	routes     atomic.Pointer[routing.Table]
	configured chan struct{} // closed with the first routes in force
	created    time.Time

	stopping atomic.Bool // a planned stop has begun
	refusing atomic.Bool // new jobs are refused
	requests atomic.Int64
	servers  *httpserve.Servers

	mu     sync.Mutex
	agents map[*transport.Link]bool
	dials  map[string]bool // addresses of peers that a loop dials

	pressure pressure
	forwards *forwarder
}

// New returns a gateway that Run starts.
func New(o Options) (*Gateway, error) {
	self := transport.Identity{Role: wire.RoleEntry, Name: o.Node.Name}
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: LinkSecret}, self)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		opts:        o,
		node:        o.Node,
		log:         o.Log,
		store:       o.Store,
		incarnation: wire.NewIncarnation(time.Now()),
		credentials: credentials,
		agents:      make(map[*transport.Link]bool),
		dials:       make(map[string]bool),
		configured:  make(chan struct{}),
		forwards:    newForwarder(),
		created:     time.Now(),
	}
	g.servers = httpserve.New(&g.tomb, o.Log)
	g.scheduler = placement.New(placement.Options{
		FailureDomain:  o.Node.FailureDomain,
		Random:         rand.New(rand.NewPCG(uint64(g.incarnation), 1)),
		Observer:       observer{log: o.Log, metrics: o.Metrics},
		LostRunTimeout: LostRunTimeout,
		Entries:        func() int { return len(g.members.Snapshot().Peers) + 1 },
	})
	return g, nil
}

// Run serves until ctx is cancelled, which begins a planned stop, and returns
// when that stop has ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.standstill = standstill.Start(maxPause)
	defer g.standstill.Stop()
	if err := g.start(); err != nil {
		return err
	}
	g.log.Info("gateway started", zap.String("name", g.node.Name), zap.String("callers", g.node.CallerAddress), zap.Uint64("incarnation", uint64(g.incarnation)))
	select {
	case <-ctx.Done():
		g.drain()
	case <-g.tomb.Dying():
	}
	return g.stop()
}

func (g *Gateway) start() error {
	g.members = member.New(g.store, g.self(), member.Options{MaxBackoff: memberBackoff, Log: g.log})
	conn, err := transport.Bind(g.linkListen())
	if err != nil {
		return err
	}
	if err := g.servers.Serve(g.node.CallerAddress, g.opts.CallerHandler(g)); err != nil {
		return err
	}
	if err := g.servers.Serve(g.node.ReadyAddress, g.readyRoutes()); err != nil {
		return err
	}
	if err := g.servers.ServeMetrics(g.node.IP, g.opts.AdminPort, g.opts.Metrics); err != nil {
		return err
	}
	g.members.Start()
	g.tomb.Go(func() error {
		g.tomb.Go(g.routesLoop)
		g.tomb.Go(g.tickLoop)
		g.tomb.Go(g.gaugeLoop)
		return nil
	})
	// The links of a large fleet's agents take a small instance's processor for a
	// second; without routes they serve nobody.
	g.awaitRoutes()
	if g.listener, err = transport.ListenOn(conn, g.linkOptions()); err != nil {
		return err
	}
	g.tomb.Go(g.peerLoop)
	return nil
}

// linkListen returns the address that links are accepted on.
func (g *Gateway) linkListen() string {
	if g.opts.LinkListen != "" {
		return g.opts.LinkListen
	}
	return g.node.LinkAddress()
}

func (g *Gateway) self() wire.Peer {
	return wire.Peer{
		Name: g.node.Name, Address: g.node.LinkAddress(), FailureDomain: g.node.FailureDomain,
		Region: g.node.Region, Incarnation: g.incarnation, CPU: uint32(g.node.CPU),
	}
}

// FindRoute waits for the first routes in the first moments of a process. It returns the
// route of a request and the version that selected it, or one of
// routing.ErrNoTable and routing.ErrNoRoute.
func (g *Gateway) FindRoute(host, path string) (routing.Route, uint64, error) {
	table := g.routes.Load()
	if table == nil {
		g.awaitRoutes()
		if table = g.routes.Load(); table == nil {
			return routing.Route{}, 0, routing.ErrNoTable
		}
	}
	route, ok := table.Find(host, path)
	if !ok {
		return routing.Route{}, table.Version, routing.ErrNoRoute
	}
	return route, table.Version, nil
}

// Submit runs a job and returns its answer. A caller that goes away ends it.
func (g *Gateway) Submit(ctx context.Context, r placement.Request) placement.Answer {
	g.requests.Add(1)
	defer g.requests.Add(-1)
	if g.refusing.Load() {
		g.log.Info("job refused", zap.String("job", r.Job.ID), zap.String("route", r.Route.Name), zap.Uint64("version", r.Version), zap.String("reason", "the entry is stopping"))
		return placement.Answer{Outcome: placement.Refused, Reason: "the entry is stopping", RetryAfter: time.Second}
	}
	if a, taken := g.submitElsewhere(ctx, r); taken {
		return a
	}
	ticket, refusal := g.scheduler.Submit(r, time.Now())
	if refusal != nil {
		return *refusal
	}
	select {
	case a := <-ticket.Done():
		return a
	case <-ctx.Done():
		ticket.Cancel(time.Now())
		return <-ticket.Done()
	}
}

// RecordRejection logs and counts a request that was answered before it became a job.
func (g *Gateway) RecordRejection(host, path string, version uint64, reason string) {
	g.opts.Metrics.Add(metrics.JobsRefused, 1, metrics.TagCode, "rejected")
	g.log.Info("request rejected", zap.String("host", host), zap.String("path", path), zap.Uint64("version", version), zap.String("reason", reason))
}

// Cancel ends a job and reports whether it was here.
func (g *Gateway) Cancel(id string) bool {
	return g.forwards.cancel(id) || g.scheduler.Cancel(id, time.Now())
}

// JobState reports whether a job is here and whether a task of it has started.
func (g *Gateway) JobState(id string) (known, started bool) {
	if g.forwards.holder(id) != nil {
		return true, true // only the peer knows; it starts what it takes within milliseconds
	}
	return g.scheduler.Status(id)
}

// PendingJobs returns the number of jobs of a route that have not started.
func (g *Gateway) PendingJobs(route string) int { return g.scheduler.Pending(route) }

// ShouldCloseConnection reports whether callers should open a new connection, which leads them
// to another entry, after an answer.
func (g *Gateway) ShouldCloseConnection() bool {
	return g.stopping.Load() || g.scheduler.Isolated(time.Now())
}

// tickLoop does what is due in the scheduler. After a pause it first ends the
// jobs whose callers may have been served elsewhere.
func (g *Gateway) tickLoop() error {
	ticker := time.NewTicker(placement.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.tomb.Dying():
			return nil
		case <-ticker.C:
			g.checkPause()
			now := time.Now()
			g.pressure.tick(now, placement.TickInterval)
			g.scheduler.Tick(now)
			if g.scheduler.HasWaitingTasks() {
				g.forwards.setContended(now)
			}
		}
	}
}

// checkPause ends all jobs after a pause: the agents have stopped their runs, and
// callers may have sent them to other entries. Nothing else is handled meanwhile.
func (g *Gateway) checkPause() {
	g.pauseMu.Lock()
	defer g.pauseMu.Unlock()
	if !g.standstill.Paused() {
		return
	}
	g.log.Warn("this process stood still", zap.Duration("longer_than", maxPause))
	g.scheduler.AbandonAll("the entry stood still", time.Now())
	g.forwards.abandonAll("the entry stood still")
}
