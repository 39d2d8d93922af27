package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// Timing of an agent process.
const (
	// dialInterval is the mean pause between attempts to connect to an entry.
	dialInterval = 500 * time.Millisecond
	// lookupInterval is the mean pause between reads of the store while no entry is
	// linked. Linked agents receive the list of entries on their links, so that the
	// number of reads does not grow with the fleet.
	lookupInterval = 2 * time.Second
	// shutdownTimeout limits the time for probes that are being answered when the agent stops.
	shutdownTimeout = 200 * time.Millisecond
)

// Process runs an agent, its links to entries and its admin HTTP server.
type Process struct {
	settings    settings.Agent
	log         *zap.Logger
	metrics     *metrics.Registry
	incarnation wire.Incarnation
	credentials *transport.Credentials
	store       kv.Store // nil: none
	agent       *Agent
	tomb        tomb.Tomb
	dialling    sync.Map // entry addresses that have a dial loop
	messages    *ingress.Messages

	mu    sync.Mutex
	links map[*transport.Link]Link
	peers map[string]map[string]bool // listed addresses, by the name of the entry that lists them

	subset subsetLinks // used with settings.EntryLinks, under mu
}

// NewProcess returns a process that Run starts.
func NewProcess(s settings.Agent, store kv.Store, log *zap.Logger) (*Process, error) {
	credentials, err := transport.NewCredentials(s.TLS, transport.Identity{Role: wire.RoleAgent, Name: s.Name})
	if err != nil {
		return nil, err
	}
	return &Process{
		settings:    s,
		log:         log,
		metrics:     metrics.New(map[string]string{"role": "agent", "instance": s.Name}),
		incarnation: wire.NewIncarnation(time.Now()),
		credentials: credentials,
		store:       store,
		messages:    ingress.NewMessages(plan(s).Messages),
		links:       make(map[*transport.Link]Link),
		peers:       make(map[string]map[string]bool),
		subset:      newSubsetLinks(),
	}, nil
}

func plan(s settings.Agent) ingress.Plan { return ingress.NewPlan(httpserve.Machine(s.Machine)) }

// Run serves until ctx is cancelled, which begins a planned stop, and returns when
// the stop is complete.
func (p *Process) Run(ctx context.Context) error {
	p.agent = New(Config{
		Incarnation:   p.incarnation,
		FailureDomain: p.settings.FailureDomain,
		Region:        p.settings.Region,
		Target:        p.settings.Target,
		Slots:         slots.Options{Policy: p.settings.Policy},
		Runner:        runner.New(runner.Config{URL: p.settings.Target.URL, Connections: p.settings.Target.Connections}),
		Decode:        decodeView,
		Metrics:       recorder{p.metrics},
	})
	if err := p.serveAdmin(); err != nil {
		_ = p.agent.Kill()
		return err
	}
	if p.settings.EntryLinks > 0 {
		p.tomb.Go(p.subsetLoop)
	} else {
		for _, address := range p.settings.Entries {
			p.dial(address)
		}
	}
	p.tomb.Go(p.lookupLoop)
	p.log.Info("agent started", zap.String("name", p.settings.Name), zap.String("target", p.settings.Target.URL))
	var err error
	select {
	case <-ctx.Done():
		p.log.Info("planned stop begins")
		err = p.agent.Stop(context.Background())
	case <-p.tomb.Dying():
		err = p.agent.Kill()
	}
	p.tomb.Kill(err)
	err = p.tomb.Wait()
	_ = p.metrics.Close()
	p.log.Info("agent stopped")
	return err
}

// decodeView decodes a view. The longer of the two run-time limits applies to both
// classes, because the class is an estimate and a wrong one must not end a task.
func decodeView(data []byte) (View, error) {
	v, err := config.DecodeView(data)
	if err != nil {
		return View{}, err
	}
	out := View{Draining: v.Target.Drain, Labels: v.Target.Labels}
	if v.Service != nil {
		limit := time.Duration(max(v.Service.Short.RunMS, v.Service.Long.RunMS)) * time.Millisecond
		out.ShortLimit, out.LongLimit = limit, limit
	}
	return out, nil
}

// dial starts a loop that maintains a link to an entry, unless the address already has
// one.
func (p *Process) dial(address string) {
	if _, running := p.dialling.LoadOrStore(address, true); running || !p.tomb.Alive() {
		return
	}
	p.tomb.Go(func() error {
		defer p.dialling.Delete(address)
		ctx := p.tomb.Context(context.Background())
		for p.tomb.Alive() && p.wanted(address) {
			if err := transport.Dial(ctx, address, p.linkOptions()); err != nil {
				p.log.Debug("no link to entry", zap.String("address", address), zap.Error(err))
			}
			p.pause(dialInterval)
		}
		return nil
	})
}

// pause waits for a random time between 0.5 d and 1.5 d or until the process stops.
func (p *Process) pause(d time.Duration) {
	select {
	case <-p.tomb.Dying():
	case <-time.After(d/2 + rand.N(d)):
	}
}

// wanted reports whether an address belongs to a configured entry or to one that
// a linked entry lists.
func (p *Process) wanted(address string) bool {
	if p.settings.EntryLinks > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.subset.keepLinked[address]
	}
	for _, e := range p.settings.Entries {
		if e == address {
			return true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listed := range p.peers {
		if listed[address] {
			return true
		}
	}
	return false
}

// lookupLoop reads the list of entries from the store while no entry is linked.
func (p *Process) lookupLoop() error {
	for p.tomb.Alive() {
		if p.store != nil && p.linked() == 0 {
			p.lookup()
		}
		p.pause(lookupInterval)
	}
	return nil
}

// storeSource is the key of the addresses listed by the store, which are kept in the
// same map as those listed by entries.
const storeSource = ""

func (p *Process) lookup() {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), lookupInterval)
	defer cancel()
	peers, err := member.List(ctx, p.store)
	if err != nil {
		return
	}
	p.updateEntries(storeSource, peers)
}

func (p *Process) linked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// updateEntries records the entries that one source lists and dials them, unless the
// agent links to a subset.
func (p *Process) updateEntries(source string, peers []wire.Peer) {
	p.closeReplaced(peers)
	if p.settings.EntryLinks > 0 {
		p.mu.Lock()
		p.subset.lists[source] = peers
		p.mu.Unlock()
		return
	}
	listed := make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.Address] = true
	}
	p.mu.Lock()
	p.peers[source] = listed
	p.mu.Unlock()
	for _, peer := range peers {
		p.dial(peer.Address)
	}
}

// closeReplaced closes links to earlier incarnations of listed entries. A crashed
// entry does not close its links, and an idle link times out only after several
// seconds; until then the entry's new incarnation has no link to this agent.
func (p *Process) closeReplaced(peers []wire.Peer) {
	p.mu.Lock()
	var replaced []*transport.Link
	for l := range p.links {
		for _, peer := range peers {
			if peer.Name == l.Name() && peer.Incarnation > l.Incarnation() {
				replaced = append(replaced, l)
			}
		}
	}
	p.mu.Unlock()
	for _, l := range replaced {
		_ = l.Close(errReplaced)
	}
}

func (p *Process) linkOptions() transport.Options {
	return transport.Options{
		Self:        transport.Identity{Role: wire.RoleAgent, Name: p.settings.Name},
		Incarnation: p.incarnation,
		Credentials: p.credentials,
		Handler:     handler{p},
		Revision:    p.agent.Revision,
		Counter:     metrics.MessageCounter{Registry: p.metrics},
		Idle:        func(l *transport.Link) bool { return p.agent.Idle(l.Name()) },
		Messages:    p.messages,
	}
}

// quicLink adapts a transport link to Link.
type quicLink struct{ *transport.Link }

// Close implements Link.
func (l quicLink) Close(err error) { _ = l.Link.Close(err) }

// handler passes the events of links to the agent.
type handler struct{ p *Process }

// LinkUp implements transport.Handler.
func (h handler) LinkUp(l *transport.Link) {
	link := &quicLink{l}
	h.p.mu.Lock()
	h.p.links[l] = link
	h.p.mu.Unlock()
	h.p.log.Info("entry linked", zap.String("entry", l.Name()))
	h.p.agent.LinkUp(link)
}

// LinkDown implements transport.Handler. The list received from a lost entry is kept,
// because the agent finds that entry's successor by it.
func (h handler) LinkDown(l *transport.Link, err error) {
	h.p.mu.Lock()
	link := h.p.links[l]
	delete(h.p.links, l)
	if !slices.Contains(h.p.linkedNames(), l.Name()) {
		delete(h.p.subset.leavingSince, l.Name())
	}
	h.p.mu.Unlock()
	h.p.log.Info("entry link closed", zap.String("entry", l.Name()), zap.Error(err))
	h.p.agent.LinkDown(link)
}

// Handle implements transport.Handler.
func (h handler) Handle(l *transport.Link, m wire.Message) {
	if list, ok := m.(*wire.Peers); ok {
		h.p.updateEntries(l.Name(), list.Peers)
		return
	}
	h.p.mu.Lock()
	link := h.p.links[l]
	h.p.mu.Unlock()
	if link != nil {
		h.p.agent.Handle(link, m)
	}
}

func (p *Process) serveAdmin() error {
	if p.settings.AdminAddress == "" {
		return nil
	}
	r := bunrouter.New()
	r.GET("/healthz", writeOK)
	r.GET("/readyz", writeOK)
	r.GET("/metrics", bunrouter.HTTPHandler(p.metrics.Handler()))
	servers := httpserve.New(&p.tomb, httpserve.Options{Log: p.log, Metrics: p.metrics, Plan: plan(p.settings)})
	if _, err := servers.Serve(httpserve.Metrics, p.settings.AdminAddress, r); err != nil {
		return Error.Wrap(err)
	}
	servers.ShutdownWhenDying(shutdownTimeout)
	return nil
}

func writeOK(w http.ResponseWriter, _ bunrouter.Request) error {
	_, err := w.Write([]byte("ok\n"))
	return err
}

// recorder implements Metrics.
type recorder struct{ registry *metrics.Registry }

// Started implements Metrics.
func (r recorder) Started(c wire.Class) {
	r.registry.Add(metrics.TaskStarts, 1, metrics.TagClass, c.String())
}

// Refused implements Metrics.
func (r recorder) Refused(c result.Code) {
	r.registry.Add(metrics.StartRefusals, 1, metrics.TagCode, c.String())
}

// Sent implements Metrics. The link counts messages by type.
func (r recorder) Sent(wire.Type) {}

// GrantsExpired implements Metrics.
func (r recorder) GrantsExpired(n int) {
	r.registry.Add(metrics.GrantsUnused, int64(n), metrics.TagReason, "expired")
}

// GrantsUnused implements Metrics.
func (r recorder) GrantsUnused(n int) {
	r.registry.Add(metrics.GrantsUnused, int64(n), metrics.TagReason, "returned")
}

// IdleWhileWaiting implements Metrics.
func (r recorder) IdleWhileWaiting(d time.Duration) {
	r.registry.Add(metrics.IdleSlotMillis, d.Milliseconds())
}

// BadView implements Metrics.
func (r recorder) BadView() { r.registry.Add(metrics.BadViews, 1) }

// StatusFailed implements Metrics.
func (r recorder) StatusFailed() { r.registry.Add(metrics.StatusFailures, 1) }
