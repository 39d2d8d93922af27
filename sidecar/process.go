package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/internal/pausedetect"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

const (
	// dialInterval is the mean delay between attempts to connect to an entry. It is short
	// because a restarted entry cannot use the target until it is linked.
	dialInterval = 100 * time.Millisecond
	// maxDialInterval bounds the delay for an entry that does not answer.
	maxDialInterval = time.Second
	// lookupInterval is the mean delay between reads of the store while no entry is linked.
	// Linked agents learn of other entries from entries, so that the reads of the store do not
	// grow with the fleet.
	lookupInterval = time.Second
	// lookupTimeout bounds one read of the list of entries.
	lookupTimeout = time.Second
	// maxPause is the longest pause of the process after which queued messages are still
	// processed. It is below the time after which entries start runs elsewhere.
	maxPause = 600 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for closing servers and
	// links.
	shutdownReserve = 300 * time.Millisecond
	// gaugeInterval is the interval at which gauges are updated; they are scraped every few
	// seconds.
	gaugeInterval = time.Second
	// linksInterval is the interval at which the links are compared with those that are needed.
	linksInterval = 250 * time.Millisecond
	// listSettleInterval is the delay between the reads of the store at the first start of the
	// whole system, which end when two lists are equal: links to the entries that registered
	// first would have to move within a second. listSettleTimeout bounds the delay.
	listSettleInterval = 300 * time.Millisecond
	listSettleTimeout  = 1500 * time.Millisecond
)

// ProcessOptions configures an agent process. All fields but the last two are required.
type ProcessOptions struct {
	Node          settings.Node
	Log           *zap.Logger
	Metrics       *metrics.Registry
	Store         kv.Store
	Target        targets.Client
	ReportHandler func(*Sidecar) http.Handler // serves the target's reports
	LinkSecret    string
	Timing        transport.Timing
	AdminPort     int            // TCP port for metrics; 0 disables it
	Topology      topology.Rules // which entries to link to, the same for all processes
}

// Process is an agent with its links to entries and its listening addresses.
type Process struct {
	opts          ProcessOptions
	node          settings.Node
	log           *zap.Logger
	incarnation   wire.Incarnation
	credentials   *transport.Credentials
	sidecar       *Sidecar
	pauseDetector *pausedetect.Detector
	tomb          tomb.Tomb
	servers       *httpserve.Servers
	messages      *ingress.Messages

	created time.Time

	mu    sync.Mutex
	plan  *topology.Links
	open  map[string]*transport.Link // by name of the entry
	keep  map[string]wire.Peer       // entries to link to, by name
	dials map[string]bool            // names of entries with a running dialLoop
}

// NewProcess returns a process that does nothing until Run is called.
func NewProcess(o ProcessOptions) (*Process, error) {
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: o.LinkSecret},
		transport.Identity{Role: wire.RoleAgent, Name: o.Node.Name})
	if err != nil {
		return nil, err
	}
	p := &Process{
		opts:        o,
		node:        o.Node,
		log:         o.Log,
		incarnation: wire.NewIncarnation(time.Now()),
		credentials: credentials,
		created:     time.Now(),
		plan:        topology.NewLinks(o.Node.Name, o.Topology),
		open:        make(map[string]*transport.Link),
		keep:        make(map[string]wire.Peer),
		dials:       make(map[string]bool),
	}
	plan := ingress.NewPlan(o.Node.Machine)
	p.messages = ingress.NewMessages(plan.Messages)
	p.servers = httpserve.New(&p.tomb, httpserve.Options{Log: o.Log, Metrics: o.Metrics, Plan: plan})
	return p, nil
}

// Run serves until ctx is cancelled, which begins a planned stop, and returns when that stop
// has ended.
func (p *Process) Run(ctx context.Context) error {
	p.pauseDetector = pausedetect.Start(maxPause)
	defer p.pauseDetector.Stop()
	reports := NewReportStore(p.opts.Store, p.node.Name, p.log)
	p.sidecar = New(Options{
		FailureDomain: p.node.FailureDomain,
		Service:       p.node.Service,
		Target:        p.opts.Target,
		Log:           p.log,
		Metrics:       recorder{p.opts.Metrics},
		Lease:         lease(p.node.MaxLease),
		Paused:        p.pauseDetector.Paused,
		SaveReport:    reports.Save,
	})
	if _, err := p.servers.Serve(httpserve.Reports, p.node.ReportAddress, p.opts.ReportHandler(p.sidecar)); err != nil {
		return err
	}
	if err := p.servers.ServeMetrics(p.node.IP, p.opts.AdminPort, p.opts.Metrics); err != nil {
		return err
	}
	p.sidecar.Start()
	p.tomb.Go(func() error {
		p.tomb.Go(p.lookupLoop)
		p.tomb.Go(p.linksLoop)
		p.tomb.Go(p.gaugeLoop)
		p.tomb.Go(func() error {
			reports.Run(p.tomb.Context(context.Background()), p.sidecar.RestoreReport)
			return nil
		})
		return nil
	})
	p.log.Info("agent started", zap.String("name", p.node.Name), zap.String("target", p.node.TargetAddress), zap.Uint64("incarnation", uint64(p.incarnation)))
	select {
	case <-ctx.Done():
		p.drain()
	case <-p.tomb.Dying():
	}
	return p.stop()
}

// lease returns the default lease, or the longest one that the target grants if that is
// shorter.
func lease(longest time.Duration) time.Duration {
	if longest > 0 {
		return min(longest, DefaultLease)
	}
	return DefaultLease
}

// drain stops accepting runs and waits for those that are left.
func (p *Process) drain() {
	p.log.Info("planned stop begins", zap.Int("runs", p.sidecar.Stats().Runs))
	grace := p.node.GracePeriod
	if grace <= 0 {
		grace = 10 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace-shutdownReserve)
	defer cancel()
	p.sidecar.Drain(ctx)
}

func (p *Process) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownReserve/2)
	defer cancel()
	p.servers.Shutdown(ctx)
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	_ = p.sidecar.Kill()
	p.log.Info("agent stopped", zap.Error(err))
	return err
}

// sleepJittered waits for a random time between 0.5 and 1.5 times d, or until the process stops.
func (p *Process) sleepJittered(d time.Duration) {
	select {
	case <-p.tomb.Dying():
	case <-time.After(d/2 + rand.N(d)):
	}
}

func (p *Process) linkOptions() transport.Options {
	return transport.Options{
		Self:        transport.Identity{Role: wire.RoleAgent, Name: p.node.Name},
		Incarnation: p.incarnation,
		Credentials: p.credentials,
		Handler:     linkHandler{p},
		Revision:    func() uint64 { return 0 },
		Counter:     metrics.MessageCounter{Registry: p.opts.Metrics},
		Timing:      p.opts.Timing,
		Messages:    p.messages,
		Idle:        func(l *transport.Link) bool { return p.sidecar.Idle(l) },
	}
}

// gaugeLoop updates the gauges.
func (p *Process) gaugeLoop() error {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-ticker.C:
			stats := p.sidecar.Stats()
			p.opts.Metrics.Set(metrics.TasksInFlight, float64(stats.Runs))
			p.opts.Metrics.Set(metrics.EntriesLinked, float64(stats.Links))
			p.opts.Metrics.Set(metrics.FreeCPU, float64(stats.Free.CPU))
			if e := stats.Evacuations; e != nil {
				p.opts.Metrics.Set(metrics.EvacuatedDomains, float64(len(e.Domains)))
				p.opts.Metrics.Set(metrics.EvacuationRevision, float64(e.Revision))
			}
		}
	}
}

// recorder writes the sidecar's counts to the metrics registry.
type recorder struct{ metrics *metrics.Registry }

// RunStarted implements Metrics.
func (r recorder) RunStarted() { r.metrics.Add(metrics.TaskStarts, 1) }

// RunEnded implements Metrics.
func (r recorder) RunEnded(end wire.EndStatus, took time.Duration) {
	r.metrics.Add(metrics.TaskOutcomes, 1, metrics.TagState, end.String())
	if end == wire.EndDone {
		r.metrics.RecordDuration(metrics.TaskSeconds, took)
	}
}

// TargetCrashed implements Metrics.
func (r recorder) TargetCrashed() { r.metrics.Add(metrics.TargetCrashes, 1) }

// StartRefusedEvacuated implements Metrics.
func (r recorder) StartRefusedEvacuated() { r.metrics.Add(metrics.EvacuationRefusals, 1) }

// RequestUnanswered implements Metrics.
func (r recorder) RequestUnanswered(kind string) {
	r.metrics.Add(metrics.RequestsUnanswered, 1, metrics.TagType, kind)
}
