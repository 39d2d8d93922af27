// Package gateway implements the entry process for jobs whose tasks have resource needs. It
// accepts jobs from callers, hands them to the entries that place jobs or, as one of these,
// schedules their tasks on the targets whose agents are linked to it, and applies the routes
// that operators configure. "Entry" is the role of a gateway towards its peers and the agents.
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

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/internal/pausedetect"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// Error is the class of errors of a gateway's start and stop.
var Error = errs.Class("gateway")

// Options configures a gateway. Fields without a default are required.
type Options struct {
	Node         settings.Node
	Log          *zap.Logger
	Metrics      *metrics.Registry
	Store        kv.Store
	RoutesKey    string                                        // store key of the operators' routes
	DecodeRoutes func(document []byte) (*routing.Table, error) // decodes the document under RoutesKey
	// EvacuationPrefix is the prefix of the keys of evacuated failure domains, which follow it, and
	// OperatorPrefix one of these keys and of RoutesKey, by which all are read in one call. Empty:
	// nothing can be evacuated, and RoutesKey alone is read.
	EvacuationPrefix, OperatorPrefix string
	CallerHandler                    func(*Gateway) http.Handler // serves the address for callers
	AdminPort                        int                         // TCP port for metrics; 0 disables it
	// LinkListen is the UDP ip:port on which links are accepted, if it differs from the
	// address that Node announces.
	LinkListen string
	// Topology has the rules by which placers are chosen, the same for all processes.
	Topology topology.Rules
}

// Gateway is a running entry. Its exported methods are safe for concurrent use.
type Gateway struct {
	opts          Options
	node          settings.Node
	log           *zap.Logger
	store         kv.Store
	incarnation   wire.Incarnation
	credentials   *transport.Credentials
	scheduler     *placement.Scheduler
	members       *member.Membership
	pauseDetector *pausedetect.Detector
	pauseMu       sync.Mutex
	listener      *transport.Listener
	tomb          tomb.Tomb

	routes     atomic.Pointer[routing.Table]
	configured chan struct{} // closed when the first routes are applied
	created    time.Time

	evacuationMu sync.Mutex // keeps the states that are passed on in order
	evacuations  evacuation.Current
	// evacuationsUnsent says that the last state has not been passed on, see adoptEvacuations.
	evacuationsUnsent bool

	stopping     atomic.Bool               // a planned stop has begun
	stopAt       atomic.Pointer[time.Time] // when the planned stop ends; nil: none
	refusing     atomic.Bool               // new jobs are refused
	requests     atomic.Int64
	plan         ingress.Plan
	peerJobBytes atomic.Int64 // of jobs that peers forwarded
	// rejections bounds the log lines about requests that did not become jobs.
	rejections ingress.LogLimiter
	servers    *httpserve.Servers
	messages   *ingress.Messages

	mu     sync.Mutex
	agents map[*transport.Link]bool
	dials  map[string]context.CancelFunc // by address of peers with a running dial loop

	loopLag       lagMeter
	forwarder     *forwarder
	cancelled     *cancelledJobs
	receipts      *receipts
	contact       contact
	leaving       *leavingEntries
	usableTargets atomic.Uint32 // at the last check of placerStateLoop
	chosenPlacers atomic.Pointer[placerChoice]
	lastReachable atomic.Int64 // nanoseconds from created to when a placer was last reachable
}

// New returns a gateway that does nothing until Run is called.
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
		dials:       make(map[string]context.CancelFunc),
		configured:  make(chan struct{}),
		forwarder:   newForwarder(),
		cancelled:   newCancelledJobs(),
		receipts:    newReceipts(),
		leaving:     newLeavingEntries(),
		created:     time.Now(),

		pauseDetector: pausedetect.New(maxPause),
	}
	g.plan = ingress.NewPlan(o.Node.Machine)
	g.messages = ingress.NewMessages(g.plan.Messages)
	g.servers = httpserve.New(&g.tomb, httpserve.Options{Log: o.Log, Metrics: o.Metrics, Plan: g.plan})
	g.scheduler = placement.New(placement.Options{
		FailureDomain:  o.Node.FailureDomain,
		Random:         rand.New(rand.NewPCG(uint64(g.incarnation), 1)),
		Observer:       observer{log: o.Log, metrics: o.Metrics},
		LostRunTimeout: LostRunTimeout,
		Entries:        func() int { return o.Topology.LinksPerTarget(len(g.entries())) },
		Paused:         g.pauseDetector.Watch(),
		FarFactor:      o.Node.FarFactor,
	})
	return g, nil
}

// Run serves until ctx is cancelled, which begins a planned stop, and returns
// when that stop has ended.
func (g *Gateway) Run(ctx context.Context) error {
	g.pauseDetector.Start()
	defer g.pauseDetector.Stop()
	stopRequested := make(chan time.Time, 1)
	// The grace period begins with the request, also if it comes during the start.
	defer context.AfterFunc(ctx, func() { stopRequested <- time.Now() })()
	if err := g.start(); err != nil {
		return err
	}
	g.log.Info("gateway started", zap.String("name", g.node.Name), zap.String("callers", g.node.CallerAddress), zap.Uint64("incarnation", uint64(g.incarnation)))
	select {
	case requested := <-stopRequested:
		g.drain(requested)
	case <-g.tomb.Dying():
	}
	return g.stop()
}

func (g *Gateway) start() error {
	g.members = member.New(g.store, g.self(), member.Options{MaxBackoff: maxMemberBackoff, Log: g.log})
	conn, err := transport.Bind(g.linkListenAddress())
	if err != nil {
		return err
	}
	if _, err := g.servers.Serve(httpserve.Callers, g.node.CallerAddress, g.opts.CallerHandler(g)); err != nil {
		return err
	}
	if _, err := g.servers.Serve(httpserve.Readiness, g.node.ReadyAddress, g.readyHandler()); err != nil {
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
		g.tomb.Go(g.placerStateLoop)
		return nil
	})
	// Accepting the links of a large fleet's agents occupies the CPU of a small instance for a
	// second, and without routes the links are of no use yet.
	g.waitForRoutes()
	if g.listener, err = transport.ListenOn(conn, g.linkOptions()); err != nil {
		return err
	}
	g.tomb.Go(g.peerLoop)
	return nil
}

// linkListenAddress returns the UDP address on which links are accepted.
func (g *Gateway) linkListenAddress() string {
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

// FindRoute returns the route of a request and the version of the routes that selected it, or
// one of routing.ErrNoTable and routing.ErrNoRoute. Right after the start of the process it
// waits for the first routes.
func (g *Gateway) FindRoute(host, path string) (routing.Route, uint64, error) {
	table := g.routes.Load()
	if table == nil {
		g.waitForRoutes()
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

// Submit runs a job and returns its answer. The job is cancelled when ctx ends.
func (g *Gateway) Submit(ctx context.Context, r placement.Request) placement.Answer {
	g.requests.Add(1)
	defer g.requests.Add(-1)
	if g.refusing.Load() {
		return g.refuse(r, "the entry is stopping")
	}
	if stopAt := g.stopAt.Load(); stopAt != nil {
		r.StopAt = *stopAt
	}
	g.checkPause()
	if g.contact.isOutdated() {
		return g.refuse(r, "the entry was cut off, and does not know which jobs were cancelled")
	}
	a := g.submitToAny(ctx, r)
	if a.Outcome != placement.Withdrawn {
		return a
	}
	// A planned stop has begun, so that the job goes to another placer; if none takes it, it stays
	// here, since jobs are withdrawn once. It was accepted before, so that it is not refused for the
	// time that this entry has left.
	if g.refusing.Load() {
		return g.refuse(r, "the entry is stopping")
	}
	return g.submitToAny(ctx, r)
}

// submitToAny runs a job at another placer or here and returns its answer.
func (g *Gateway) submitToAny(ctx context.Context, r placement.Request) placement.Answer {
	if a, accepted := g.submitToPlacer(ctx, r); accepted {
		return a
	}
	if !g.scheduler.HasTargets() && g.awaitPlacement(ctx, r.Job.ID) {
		if a, accepted := g.submitToPlacer(ctx, r); accepted {
			return a
		}
	}
	if reason := g.outdated(ctx, r); reason != "" {
		return g.refuse(r, reason)
	}
	ticket, refusal := g.submitHere(r, time.Now())
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

// outdated returns why a request may not start a job any more, or an empty string. Its caller may
// have sent the job elsewhere.
func (g *Gateway) outdated(ctx context.Context, r placement.Request) string {
	switch {
	case ctx.Err() != nil:
		return "the caller has left"
	case !time.Now().Before(r.Deadline):
		return "the caller's time is over"
	case !r.ReadAt.IsZero() && g.pauseDetector.PausedSince(r.ReadAt):
		return "the entry process was paused"
	}
	return ""
}

// refuse logs the refusal of a job of which nothing has run here and returns it.
func (g *Gateway) refuse(r placement.Request, reason string) placement.Answer {
	g.log.Info("job refused", zap.String("job", r.Job.ID), zap.String("route", r.Route.Name), zap.Uint64("version", r.Version), zap.String("reason", reason))
	return placement.Answer{Outcome: placement.Refused, Reason: reason, RetryAfter: refusalRetryAfter}
}

// RecordRejection counts a request that was answered before it became a job, and logs it unless there are many.
func (g *Gateway) RecordRejection(host, path string, version uint64, reason string) {
	g.opts.Metrics.Add(metrics.JobsRefused, 1, metrics.TagCode, "rejected")
	if !g.rejections.Allow(time.Now()) {
		g.opts.Metrics.Add(metrics.LogLinesSuppressed, 1)
		return
	}
	g.log.Info("request rejected", zap.String("host", ingress.Shorten(host)), zap.String("path", ingress.Shorten(path)), zap.Uint64("version", version), zap.String("reason", ingress.Shorten(reason)))
}

// JobState reports whether a job is known and whether a task of it has started.
func (g *Gateway) JobState(id string) (known, started bool) {
	if g.forwarder.linkOf(id) != nil {
		return true, true // only the peer knows; it starts accepted jobs within milliseconds
	}
	return g.scheduler.Status(id)
}

// PendingJobs returns the number of jobs of a route that have not started.
func (g *Gateway) PendingJobs(route string) int { return g.scheduler.Pending(route) }

// ShouldCloseConnection reports whether callers should close their connection after an answer
// and open a new one, which leads them to another entry.
func (g *Gateway) ShouldCloseConnection() bool {
	return g.stopping.Load() || g.isolated(time.Now())
}

// tickLoop drives the scheduler. After a pause of the process it first abandons the jobs,
// because their callers may have been served elsewhere.
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
			g.loopLag.tick(now, placement.TickInterval)
			g.scheduler.Tick(now)
		}
	}
}

// checkPause abandons all jobs and links after a pause of the process: the agents have stopped
// their runs, callers may have sent the jobs to other entries, and what is left in the links'
// buffers is out of date. No message is handled in the meantime.
func (g *Gateway) checkPause() {
	g.pauseMu.Lock()
	defer g.pauseMu.Unlock()
	if !g.pauseDetector.Paused() {
		return
	}
	g.log.Warn("this process stood still", zap.Duration("longer_than", maxPause))
	g.scheduler.AbandonAll("the entry process was paused", time.Now())
	g.forwarder.abandonAll("the entry process was paused")
	g.closeLinks("this process was paused")
}
