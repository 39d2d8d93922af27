package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
	"github.com/uptrace/bunrouter"
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"
)

// Error is the class of errors of an agent's life cycle.
var Error = errs.Class("agent")

// Timing of an agent.
const (
	tickInterval = 100 * time.Millisecond
	// dialInterval is the mean pause between attempts to reach an entry.
	dialInterval = 500 * time.Millisecond
	// ackLimit is how long a planned stop waits for entries to acknowledge the
	// last outcomes.
	ackLimit = 3 * time.Second
	// statusLimit bounds the first question to the target.
	statusLimit = 2 * time.Second
)

// Agent is one agent process.
type Agent struct {
	settings    settings.Agent
	log         *zap.Logger
	metrics     *metrics.Registry
	incarnation wire.Incarnation
	credentials *transport.Credentials
	core        *Core
	tomb        tomb.Tomb
	dialling    sync.Map // addresses of entries that a loop dials
	peers       sync.Map // live entries as heard, by address
}

// New returns an agent that Run starts.
func New(s settings.Agent, log *zap.Logger) (*Agent, error) {
	credentials, err := transport.NewCredentials(s.TLS, transport.Identity{Role: wire.RoleAgent, Name: s.Name})
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings:    s,
		log:         log,
		metrics:     metrics.New(map[string]string{"role": "agent", "instance": s.Name}),
		incarnation: wire.NewIncarnation(time.Now()),
		credentials: credentials,
	}
	announce := wire.Announce{
		Target: s.Target.Name, Service: s.Target.Service, FailureDomain: s.FailureDomain, Region: s.Region,
		Labels: s.Target.Labels, Slots: uint32(s.Target.Slots),
	}
	r := runner.New(runner.Config{URL: s.Target.URL, Connections: s.Target.Connections})
	a.core = NewCore(a.incarnation, announce, slots.Options{Slots: s.Target.Slots, Policy: s.Policy}, r, log)
	return a, nil
}

// Run serves until ctx is cancelled, which begins a planned stop, and returns
// when that stop has ended.
func (a *Agent) Run(ctx context.Context) error {
	if err := a.serveAdmin(); err != nil {
		return err
	}
	a.readOccupied()
	for _, address := range a.settings.Entries {
		a.dial(address)
	}
	a.tomb.Go(a.tickLoop)
	a.log.Info("agent started", zap.String("name", a.settings.Name), zap.String("target", a.settings.Target.URL))
	select {
	case <-ctx.Done():
		a.drain()
	case <-a.tomb.Dying():
	}
	a.tomb.Kill(nil)
	err := a.tomb.Wait()
	_ = a.metrics.Close()
	a.log.Info("agent stopped")
	return err
}

// readOccupied counts what the target still runs for an earlier agent.
func (a *Agent) readOccupied() {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	a.core.checkOccupied(ctx)
}

// drain finishes running work and waits for its acknowledgement.
func (a *Agent) drain() {
	a.log.Info("planned stop begins")
	a.core.Leave()
	for running, _ := a.core.Idle(); running > 0; running, _ = a.core.Idle() {
		time.Sleep(tickInterval)
	}
	end := time.Now().Add(ackLimit)
	for _, retained := a.core.Idle(); retained > 0 && time.Now().Before(end); _, retained = a.core.Idle() {
		time.Sleep(tickInterval)
	}
}

func (a *Agent) tickLoop() error {
	ctx := a.tomb.Context(context.Background())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.tomb.Dying():
			return nil
		case now := <-ticker.C:
			a.core.Tick(ctx, now)
		}
	}
}

// dial starts a loop that keeps a link to an entry, once per address.
func (a *Agent) dial(address string) {
	if _, running := a.dialling.LoadOrStore(address, true); running {
		return
	}
	a.tomb.Go(func() error {
		defer a.dialling.Delete(address)
		ctx := a.tomb.Context(context.Background())
		for a.tomb.Alive() && a.wanted(address) {
			if err := transport.Dial(ctx, address, a.linkOptions()); err != nil && a.tomb.Alive() {
				a.log.Debug("no link to entry", zap.String("address", address), zap.Error(err))
			}
			select {
			case <-a.tomb.Dying():
			case <-time.After(dialInterval/2 + rand.N(dialInterval)):
			}
		}
		return nil
	})
}

func (a *Agent) wanted(address string) bool {
	for _, e := range a.settings.Entries {
		if e == address {
			return true
		}
	}
	_, live := a.peers.Load(address)
	return live
}

func (a *Agent) linkOptions() transport.Options {
	return transport.Options{
		Self:        transport.Identity{Role: wire.RoleAgent, Name: a.settings.Name},
		Incarnation: a.incarnation,
		Credentials: a.credentials,
		Handler:     handler{a},
		Revision:    a.core.Revision,
		Counter:     metrics.Messages{Registry: a.metrics},
	}
}

// handler passes what happens on links to the core.
type handler struct{ a *Agent }

// LinkUp implements transport.Handler.
func (h handler) LinkUp(l *transport.Link) {
	h.a.log.Info("entry linked", zap.String("entry", l.Name()))
	h.a.core.LinkUp(l)
}

// LinkDown implements transport.Handler.
func (h handler) LinkDown(l *transport.Link, err error) {
	h.a.log.Info("entry link closed", zap.String("entry", l.Name()), zap.Error(err))
	h.a.core.LinkDown(l)
}

// Handle implements transport.Handler.
func (h handler) Handle(l *transport.Link, m wire.Message) {
	if p, ok := m.(*wire.Peers); ok {
		h.a.learn(p)
		return
	}
	h.a.core.Handle(l, m)
}

// learn dials the entries that an entry lists.
func (a *Agent) learn(p *wire.Peers) {
	for _, peer := range p.Peers {
		a.peers.Store(peer.Address, true)
		a.dial(peer.Address)
	}
}

func (a *Agent) serveAdmin() error {
	if a.settings.AdminAddress == "" {
		return nil
	}
	l, err := net.Listen("tcp", a.settings.AdminAddress)
	if err != nil {
		return Error.Wrap(err)
	}
	r := bunrouter.New()
	ok := func(w http.ResponseWriter, _ bunrouter.Request) error {
		_, err := w.Write([]byte("ok\n"))
		return err
	}
	r.GET("/healthz", ok)
	r.GET("/readyz", ok)
	r.GET("/metrics", bunrouter.HTTPHandler(a.metrics.Handler()))
	server := &http.Server{Handler: r, ReadHeaderTimeout: statusLimit}
	a.tomb.Go(func() error {
		<-a.tomb.Dying()
		return server.Close()
	})
	a.tomb.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return Error.Wrap(err)
		}
		return nil
	})
	return nil
}
