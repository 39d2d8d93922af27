// Package entry implements the entry process: the callers' API, the links to agents
// and to other entries, and one scheduler per service.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/claim"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/dispatch"
	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"
)

// Error is the class of errors from starting, serving and stopping an entry.
var Error = errs.Class("entry")

// Entry is one entry process.
type Entry struct {
	settings    settings.Entry
	log         *zap.Logger
	metrics     *metrics.Registry
	incarnation wire.Incarnation
	credentials *transport.Credentials
	store       *kv.CountingStore // nil without a store
	config      *config.Holder
	watcher     *config.Watcher // nil without a store
	members     *member.Membership
	claims      *claim.Manager // nil without a store

	quotas  *quotaTracker
	tomb    tomb.Tomb
	started time.Time

	schedulers atomic.Pointer[map[string]*dispatch.Scheduler]
	jobs       atomic.Uint64
	stopping   atomic.Bool // a planned stop has begun
	refusing   atomic.Bool // new jobs are refused
	// announced is the revision that heartbeats carry. It is set to the current
	// revision only after every changed view has been sent, because for an agent a
	// heartbeat's revision confirms the last view received on its link.
	announced atomic.Uint64
	counts    counts
	calls     storeCallReporter // owned by gaugeLoop
	requests  atomic.Int64      // job requests being served
	dialling  sync.Map          // peer addresses that have a dial loop

	mu         sync.RWMutex
	agents     map[*transport.Link]*agentLink
	peers      map[*transport.Link]bool
	confirmed  map[string]uint64 // revision last received from each peer, by name
	listener   *transport.Listener
	servers    *httpserve.Servers
	messages   *ingress.Messages
	callerAddr net.Addr
}

// Options are the settings and dependencies of an entry.
type Options struct {
	Settings settings.Entry
	Log      *zap.Logger
	Store    kv.Store // nil for an entry without a store
}

// New returns an entry. Run starts it.
func New(o Options) (*Entry, error) {
	self := transport.Identity{Role: wire.RoleEntry, Name: o.Settings.Name}
	credentials, err := transport.NewCredentials(o.Settings.TLS, self)
	if err != nil {
		return nil, err
	}
	if o.Settings.Advertise == "" {
		o.Settings.Advertise = o.Settings.LinkAddress
	}
	e := &Entry{
		settings:    o.Settings,
		log:         o.Log,
		metrics:     metrics.New(map[string]string{"role": "entry", "instance": o.Settings.Name}),
		incarnation: wire.NewIncarnation(time.Now()),
		credentials: credentials,
		config:      config.NewHolder(),
		started:     time.Now(),
		agents:      make(map[*transport.Link]*agentLink),
		peers:       make(map[*transport.Link]bool),
		confirmed:   make(map[string]uint64),
		calls:       storeCallReporter{reported: make(map[kv.CallCount]uint64)},
	}
	e.messages = ingress.NewMessages(e.plan().Messages)
	e.quotas = newQuotaTracker(o.Settings.Name, e.incarnation)
	e.schedulers.Store(&map[string]*dispatch.Scheduler{})
	if o.Store != nil {
		e.store = kv.NewCountingStore(o.Store)
	}
	return e, nil
}

func (e *Entry) linkOptions() transport.Options {
	return transport.Options{
		Self:        transport.Identity{Role: wire.RoleEntry, Name: e.settings.Name},
		Incarnation: e.incarnation,
		Credentials: e.credentials,
		Handler:     linkHandler{e},
		Revision:    e.announced.Load,
		Counter:     metrics.MessageCounter{Registry: e.metrics},
		Idle:        e.idleLink,
		Messages:    e.messages,
	}
}

// Run serves until ctx is cancelled, which begins a planned stop, and returns when
// the stop is complete.
func (e *Entry) Run(ctx context.Context) error {
	if err := e.start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		e.drain()
	case <-e.tomb.Dying():
	}
	e.tomb.Kill(nil)
	return e.stop()
}

// start starts the membership, which registers this entry in the background, then opens
// the addresses for links, callers and operators and starts the loops. Peers and agents
// may thus learn of the entry shortly before it listens.
func (e *Entry) start() error {
	if err := e.startMembers(); err != nil {
		return err
	}
	listener, err := transport.Listen(e.settings.LinkAddress, e.linkOptions())
	if err != nil {
		return err
	}
	e.listener = listener
	if err := e.serveCallers(); err != nil {
		return err
	}
	if err := e.serveOperators(); err != nil {
		return err
	}
	e.tomb.Go(e.configLoop)
	e.tomb.Go(e.peerLoop)
	e.tomb.Go(e.stateLoop)
	e.tomb.Go(e.tickLoop)
	e.tomb.Go(e.gaugeLoop)
	e.log.Info("entry started", zap.String("name", e.settings.Name), zap.String("callers", e.callerAddr.String()))
	return nil
}

func (e *Entry) serveCallers() error {
	e.servers = e.newServers()
	e.servers.ShutdownWhenDying(shutdownTimeout)
	address, err := e.servers.Serve(httpserve.Callers, e.settings.CallerAddress, e.callerRoutes())
	if err != nil {
		return Error.Wrap(err)
	}
	e.callerAddr = address
	return nil
}

// CallerAddress returns the address of the callers' API. It must not be called before
// Run has opened the address.
func (e *Entry) CallerAddress() string { return e.callerAddr.String() }

// scheduler returns the scheduler of a service and creates it on first use.
func (e *Entry) scheduler(service string) *dispatch.Scheduler {
	if s := (*e.schedulers.Load())[service]; s != nil {
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := *e.schedulers.Load()
	if s := known[service]; s != nil {
		return s
	}
	s := dispatch.New(dispatch.Options{
		Service:       service,
		Incarnation:   e.incarnation,
		FailureDomain: e.settings.FailureDomain,
		Region:        e.settings.Region,
		Policy:        e.settings.Policy,
		Limits:        e.settings.Limits,
		Random:        rand.New(rand.NewPCG(uint64(e.incarnation), uint64(len(known)))),
		Recorder:      e.metrics,
		Quotas:        e.quotas,
		LiveEntries:   func() int { return len(e.members.Snapshot().Peers) + 1 },
		NextJobSeq:    func() uint64 { return e.jobs.Add(1) },
		OnJobEnd:      func(a job.Answer) { e.counts.end(a) },
	})
	if current := e.config.Current(); current.Revision() > 0 {
		s.SetConfig(current, time.Now())
	}
	next := maps.Clone(known)
	next[service] = s
	e.schedulers.Store(&next)
	return s
}

func (e *Entry) tickLoop() error {
	ticker := time.NewTicker(dispatch.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.tomb.Dying():
			return nil
		case now := <-ticker.C:
			for _, s := range *e.schedulers.Load() {
				s.Tick(now)
			}
		}
	}
}

// configLoop applies each new configuration.
func (e *Entry) configLoop() error {
	changed, cancel := e.config.Subscribe()
	defer cancel()
	for {
		e.applyConfig()
		select {
		case <-e.tomb.Dying():
			return nil
		case <-changed:
		}
	}
}

// applyConfig sends the agents their views before the schedulers may send starts
// with the new revision.
func (e *Entry) applyConfig() {
	current := e.config.Current()
	e.mu.Lock()
	for _, a := range e.agents {
		e.sendView(a)
	}
	e.announced.Store(current.Revision())
	e.mu.Unlock()
	for name := range current.Document().Services {
		e.scheduler(name)
	}
	e.quotas.setWorkspaces(current.Workspaces()) // before the schedulers start tasks of a new workspace
	now := time.Now()
	for _, s := range *e.schedulers.Load() {
		s.SetConfig(current, now)
	}
	e.metrics.Set(metrics.ConfigRevision, float64(current.Revision()))
	e.sendPeerState()
	if current.Revision() == 0 {
		return
	}
	e.log.Info("configuration in force", zap.Uint64("revision", current.Revision()))
}
