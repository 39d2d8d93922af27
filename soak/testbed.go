package soak

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

const (
	host    = "jobs.example"
	service = "frames"
	// grace is the time from SIGTERM to SIGKILL, as in the platform's deployments.
	grace = 6 * time.Second
	// storeTimeout bounds one call of the operator to the store.
	storeTimeout = 500 * time.Millisecond
	// smallGateway and largeGateway are processor shares in thousandths of a core;
	// placers are the large ones.
	smallGateway = 200
	largeGateway = 800
	// maxLease is the longest lease that targets grant.
	maxLease = time.Second
)

// node is one instance: its process and the relays around it.
type node struct {
	name     string
	role     string
	settings string // path
	listen   string // UDP, of links; gateways only
	forwards bool   // hands every job to a placer
	callers  string // address for callers, through the relay; gateways only
	log      string // path
	store    *faultproxy.TCP
	inbound  *faultproxy.TCP // callers of a gateway, orders of a sidecar
	links    *faultproxy.UDP // gateways only
	target   *standin.Runner // sidecars only

	mu      sync.Mutex
	process *fleet.Process
	life    int  // rises with each process
	asked   bool // the process was asked to end
	// replaced counts the incarnations of the target beside a sidecar, less one.
	replaced int
}

// testbed is the whole path as processes, with stand-ins of the platform in this one.
type testbed struct {
	ctx      context.Context
	dir      string
	log      *zap.Logger
	ledger   *ledger
	timeline *timeline
	store    *standin.Store
	server   *httptest.Server
	gateways []*node
	sidecars []*node
	closers  []func()
	watchers sync.WaitGroup

	operator sync.Mutex // held while a version is written: versions are written in order

	mu      sync.Mutex
	version uint64
	acked   map[uint64]time.Time // when a version was written
}

func newTestbed(ctx context.Context, o Options, log *zap.Logger) (*testbed, error) {
	b := &testbed{
		ctx: ctx, dir: o.Dir, log: log, ledger: newLedger(), timeline: &timeline{}, store: standin.NewStore(standin.StoreOptions{FirstRevision: 1}),
		acked: make(map[uint64]time.Time),
	}
	b.server = httptest.NewServer(b.store.Handler())
	b.closers = append(b.closers, b.server.Close)
	if err := b.configure(); err != nil {
		return b, err
	}
	for i := range o.Gateways {
		if err := b.addGateway(i, o.Seed); err != nil {
			return b, err
		}
	}
	for i := range o.Targets {
		if err := b.addSidecar(i); err != nil {
			return b, err
		}
	}
	for _, n := range b.nodes() {
		if err := b.start(n); err != nil {
			return b, err
		}
	}
	return b, nil
}

func (b *testbed) nodes() []*node { return append(append([]*node(nil), b.gateways...), b.sidecars...) }

// close ends the processes, then what they use.
func (b *testbed) close() {
	for _, n := range b.nodes() {
		n.mu.Lock()
		n.asked = true
		if n.process != nil {
			n.process.Close()
		}
		n.mu.Unlock()
	}
	b.watchers.Wait()
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

// relay starts a TCP relay that the testbed closes.
func (b *testbed) relay(upstream string) (*faultproxy.TCP, error) {
	r, err := faultproxy.NewTCP(faultproxy.TCPOptions{Listen: "127.0.0.1:0", Upstream: upstream})
	if err == nil {
		b.closers = append(b.closers, r.Close)
	}
	return r, err
}

// common returns the settings that both roles have, with a relay to the store.
func (b *testbed) common(name string, place int) (settings.Node, *faultproxy.TCP, error) {
	store, err := b.relay(strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		return settings.Node{}, nil, err
	}
	return settings.Node{
		Name: name, FailureDomain: string(rune('a' + place%3)), IP: "127.0.0.1", StoreURL: "http://" + store.Address(),
		MaxLease: maxLease, GracePeriod: grace,
	}, store, nil
}

func (b *testbed) addGateway(i int, seed uint64) error {
	name := fmt.Sprint("edge-", i)
	s, store, err := b.common(name, i)
	if err != nil {
		return err
	}
	n := &node{name: name, role: "gateway", store: store}
	if s.CallerAddress, err = fleet.FreeTCPAddress(); err != nil {
		return err
	}
	if s.ReadyAddress, err = fleet.FreeTCPAddress(); err != nil {
		return err
	}
	if n.listen, err = fleet.FreeUDPAddress(); err != nil {
		return err
	}
	if n.inbound, err = b.relay(s.CallerAddress); err != nil {
		return err
	}
	if n.links, err = faultproxy.NewUDP(faultproxy.UDPOptions{Listen: "127.0.0.1:0", Upstream: n.listen, Seed: seed + uint64(i)}); err != nil {
		return err
	}
	b.closers = append(b.closers, n.links.Close)
	links, err := net.ResolveUDPAddr("udp", n.links.Address())
	if err != nil {
		return err
	}
	s.LinkPort, s.CPU = links.Port, largeGateway
	if i == 0 {
		s.CPU = smallGateway
		n.forwards = seed%2 == 1
	}
	n.callers = n.inbound.Address()
	b.gateways = append(b.gateways, n)
	return b.write(n, s)
}

func (b *testbed) addSidecar(i int) error {
	name := fmt.Sprint("side-", i)
	s, store, err := b.common(name, i)
	if err != nil {
		return err
	}
	n := &node{name: name, role: "sidecar", store: store}
	id := fmt.Sprintf("i-%d-0", i)
	n.target = standin.NewRunner(standin.RunnerOptions{ID: id, CPU: targetCPU, MaxLease: maxLease, Work: b.ledger.work, Observer: b.ledger})
	b.ledger.add(id, n.target)
	server := httptest.NewServer(n.target.Handler())
	b.closers = append(b.closers, server.Close)
	if n.inbound, err = b.relay(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return err
	}
	if s.ReportAddress, err = fleet.FreeTCPAddress(); err != nil {
		return err
	}
	s.TargetAddress, s.Service, s.LinkPort = n.inbound.Address(), service, 1
	go n.target.SendReports(b.ctx, s.ReportAddress, service)
	b.sidecars = append(b.sidecars, n)
	return b.write(n, s)
}

func (b *testbed) write(n *node, s settings.Node) error {
	n.settings, n.log = filepath.Join(b.dir, n.name+".json"), filepath.Join(b.dir, n.name+".log")
	return platform.WriteNode(n.settings, s)
}

// start starts a process of a node and watches for an end that nobody asked for. It
// must be called with the node's mu held, or before anybody else knows the node.
func (b *testbed) start(n *node) error {
	arguments := []string{n.role, "--settings", n.settings, "--admin-port", "0"}
	if n.listen != "" {
		arguments = append(arguments, "--link-listen", n.listen)
	}
	if n.forwards {
		arguments = append(arguments, "--forward-always")
	}
	p, err := fleet.StartProcess(n.name, n.log, arguments...)
	if err != nil {
		return err
	}
	n.process, n.asked = p, false
	n.life++
	b.watchers.Go(func() {
		<-p.Exited()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == p && !n.asked {
			b.ledger.violation("ENDED", "%s ended by itself", n.name)
		}
	})
	return nil
}

// signal sends a signal to a node's process and returns the process. One that has
// ended, or was asked to before, gets no SIGTERM.
func (n *node) signal(s os.Signal) *fleet.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGTERM && n.asked {
		return n.process
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.asked = true
	}
	_ = n.process.Signal(s) // an error is a process that has ended
	return n.process
}

// restart starts a node's next process when the one before has ended. A process that
// was asked to end and doesn't is killed after the grace.
func (b *testbed) restart(n *node, before *fleet.Process) {
	select {
	case <-before.Exited():
	case <-time.After(grace):
		_ = before.Signal(syscall.SIGKILL) // an error is a process that has ended
		<-before.Exited()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != before {
		return // another fault has started it again
	}
	if err := b.start(n); err != nil {
		b.ledger.violation("ENDED", "%s cannot be started: %v", n.name, err)
	}
}

// incarnation returns the number of the current process.
func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// prefixOf is the route that exists in one version only.
func prefixOf(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// steadyPrefix is the route that every version has.
const steadyPrefix = "/frames/"

// configure writes the next version of the operators' routes.
func (b *testbed) configure() error {
	b.operator.Lock()
	defer b.operator.Unlock()
	b.mu.Lock()
	b.version++
	version := b.version
	b.mu.Unlock()
	var routes []routing.Route
	for _, prefix := range []string{steadyPrefix, prefixOf(version)} {
		routes = append(routes, routing.Route{
			Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Service: service, MaxAttempts: MaxAttempts, Stretch: 1.6,
			TargetDuration: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond,
		})
	}
	document, err := platform.EncodeRoutes(version, routes)
	if err != nil {
		return err
	}
	store := b.store.Local()
	// The store may be down, or have lost the answer of a write that was done.
	for b.writeRoutes(store, document) != nil {
		select {
		case <-b.ctx.Done():
			return b.ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acked[version] = time.Now()
	return nil
}

func (b *testbed) writeRoutes(store kv.Store, document []byte) error {
	ctx, cancel := context.WithTimeout(b.ctx, storeTimeout)
	defer cancel()
	var known uint64
	if e, err := store.Get(ctx, platform.RoutesKey); err == nil {
		known = e.Version
	}
	_, err := store.CompareAndSwap(ctx, platform.RoutesKey, known, document, 0)
	return err
}

// newest returns the newest version whose writing has begun.
func (b *testbed) newest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// written returns when a version had been written, or the zero time.
func (b *testbed) written(version uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked[version]
}

// replace ends a node's target and starts another incarnation there.
func (b *testbed) replace(n *node, behind time.Duration) {
	n.mu.Lock()
	n.replaced++
	id := fmt.Sprintf("%s-%d", strings.Replace(n.name, "side", "i", 1), n.replaced)
	n.mu.Unlock()
	b.ledger.add(id, n.target)
	n.target.Replace(id, behind)
}
