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
	"sync/atomic"
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
	// gracePeriod is the period from SIGTERM to SIGKILL, as in the platform's deployments.
	gracePeriod = 6 * time.Second
	// storeTimeout bounds one store call that writes routes.
	storeTimeout = 500 * time.Millisecond
	// smallGatewayCPU and largeGatewayCPU are CPU shares in thousandths of a core. The
	// large gateways are the placers.
	smallGatewayCPU = 200
	largeGatewayCPU = 800
	// maxLease is the longest lease that targets accept.
	maxLease = time.Second
	// maxStopTime is the longest time that a target may take to end a run that is stopped.
	maxStopTime = 50 * time.Millisecond
	// crashDelay and crashRestartTime are how the users' targets crash under a task.
	crashDelay       = 25 * time.Millisecond
	crashRestartTime = 3 * time.Second
)

// node is one instance: its process and the fault relays of its connections.
type node struct {
	name          string
	role          string
	settingsPath  string
	listen        string // UDP address for links; gateways only
	callerAddress string // address of the relay for callers; gateways only
	logPath       string
	store         *faultproxy.TCP
	inbound       *faultproxy.TCP // from callers to a gateway, from a sidecar to its target
	links         *faultproxy.UDP // gateways only
	target        *standin.Runner // sidecars only
	reports       string          // address for the target's reports; sidecars only

	mu           sync.Mutex
	process      *fleet.Process
	processes    int  // number of processes started
	endRequested bool // the process was signalled to end
	replaced     int  // replacements of the target; sidecars only
}

// testbed is a fleet of processes, with the stand-ins for the platform in this one.
type testbed struct {
	ctx        context.Context
	dir        string
	log        *zap.Logger
	runChecker *runChecker
	timeline   *timeline
	store      *standin.Store
	server     *httptest.Server
	gateways   []*node
	onePlacer  bool // one gateway places the jobs of all
	seed       uint64
	plain      bool // see Options.Plain
	sidecars   []*node
	cleanups   []func()
	watchers   sync.WaitGroup

	// crashingJobs says that some of the callers' jobs crash their targets.
	crashingJobs atomic.Bool

	writeMu sync.Mutex // held while routes are written, so that versions are written in order

	mu        sync.Mutex
	version   uint64
	writtenAt map[uint64]time.Time // when a version was written
}

func newTestbed(ctx context.Context, o Options, log *zap.Logger) (*testbed, error) {
	b := &testbed{
		ctx: ctx, dir: o.Dir, log: log, runChecker: newRunChecker(), timeline: &timeline{}, store: standin.NewStore(standin.StoreOptions{FirstRevision: 1}),
		writtenAt: make(map[uint64]time.Time), onePlacer: o.Seed%2 == 1, seed: o.Seed, plain: o.Plain,
	}
	b.server = httptest.NewServer(b.store.Handler())
	b.cleanups = append(b.cleanups, b.server.Close)
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

// close ends the processes, then the relays and servers that they use.
func (b *testbed) close() {
	for _, n := range b.nodes() {
		n.mu.Lock()
		n.endRequested = true
		if n.process != nil {
			n.process.Close()
		}
		n.mu.Unlock()
	}
	b.watchers.Wait()
	for i := len(b.cleanups) - 1; i >= 0; i-- {
		b.cleanups[i]()
	}
}

// startRelay starts a TCP relay, which close ends.
func (b *testbed) startRelay(upstream string) (*faultproxy.TCP, error) {
	r, err := faultproxy.NewTCP(faultproxy.TCPOptions{Listen: "127.0.0.1:0", Upstream: upstream})
	if err == nil {
		b.cleanups = append(b.cleanups, r.Close)
	}
	return r, err
}

// commonSettings returns the settings of both roles, and the relay to the store in them.
func (b *testbed) commonSettings(name string, place int) (settings.Node, *faultproxy.TCP, error) {
	store, err := b.startRelay(strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		return settings.Node{}, nil, err
	}
	return settings.Node{
		Name: name, FailureDomain: string(rune('a' + place%3)), IP: "127.0.0.1", StoreURL: "http://" + store.Address(),
		MaxLease: maxLease, GracePeriod: gracePeriod,
	}, store, nil
}

func (b *testbed) addGateway(i int, seed uint64) error {
	name := fmt.Sprint("edge-", i)
	s, store, err := b.commonSettings(name, i)
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
	if n.inbound, err = b.startRelay(s.CallerAddress); err != nil {
		return err
	}
	if n.links, err = faultproxy.NewUDP(faultproxy.UDPOptions{Listen: "127.0.0.1:0", Upstream: n.listen, Seed: seed + uint64(i)}); err != nil {
		return err
	}
	b.cleanups = append(b.cleanups, n.links.Close)
	links, err := net.ResolveUDPAddr("udp", n.links.Address())
	if err != nil {
		return err
	}
	s.LinkPort, s.CPU = links.Port, largeGatewayCPU
	if i == 0 {
		s.CPU = smallGatewayCPU
	}
	n.callerAddress = n.inbound.Address()
	b.gateways = append(b.gateways, n)
	return b.writeSettings(n, s)
}

func (b *testbed) addSidecar(i int) error {
	name := fmt.Sprint("side-", i)
	s, store, err := b.commonSettings(name, i)
	if err != nil {
		return err
	}
	n := &node{name: name, role: "sidecar", store: store}
	id := fmt.Sprintf("i-%d-0", i)
	n.target = standin.NewRunner(standin.RunnerOptions{ID: id, Zone: s.FailureDomain, CPU: targetCPU, MaxLease: maxLease, Work: b.runChecker.work, Observer: b.runChecker,
		Crashes:    func(spec string) bool { return b.crashes(name, spec) },
		CrashDelay: crashDelay, RestartTime: crashRestartTime, StopTime: b.stopTime()})
	b.runChecker.addTarget(id, n.target)
	b.runChecker.domains[n.target] = s.FailureDomain
	server := httptest.NewServer(n.target.Handler())
	b.cleanups = append(b.cleanups, server.Close)
	if n.inbound, err = b.startRelay(strings.TrimPrefix(server.URL, "http://")); err != nil {
		return err
	}
	if s.ReportAddress, err = fleet.FreeTCPAddress(); err != nil {
		return err
	}
	n.reports = s.ReportAddress
	s.TargetAddress, s.Service, s.LinkPort = n.inbound.Address(), service, 1
	go n.target.SendReports(b.ctx, s.ReportAddress, service)
	b.sidecars = append(b.sidecars, n)
	return b.writeSettings(n, s)
}

func (b *testbed) writeSettings(n *node, s settings.Node) error {
	n.settingsPath, n.logPath = filepath.Join(b.dir, n.name+".json"), filepath.Join(b.dir, n.name+".log")
	return platform.WriteNode(n.settingsPath, s)
}

// start starts a process of a node and reports a violation if it exits without having
// been signalled. It is called with the node's mu held, or before the node is shared.
func (b *testbed) start(n *node) error {
	arguments := []string{n.role, "--settings", n.settingsPath, "--admin-port", "0"}
	if n.listen != "" {
		arguments = append(arguments, "--link-listen", n.listen)
	}
	if b.onePlacer {
		arguments = append(arguments, "--placers", "1")
	}
	p, err := fleet.StartProcess(n.name, n.logPath, arguments...)
	if err != nil {
		return err
	}
	n.process, n.endRequested = p, false
	n.processes++
	b.watchers.Go(func() {
		<-p.Exited()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process == p && !n.endRequested {
			b.runChecker.reportViolation("ENDED", "%s exited without a signal", n.name)
		}
	})
	return nil
}

// signal sends a signal to a node's process and returns the process. It doesn't send
// SIGTERM to a process that has been signalled to end before.
func (n *node) signal(s os.Signal) *fleet.Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGTERM && n.endRequested {
		return n.process
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.endRequested = true
	}
	_ = n.process.Signal(s) // an error means that the process has ended
	return n.process
}

// restart starts a node's next process after the previous one has ended. A process that
// doesn't end within the grace period is killed.
func (b *testbed) restart(n *node, before *fleet.Process) {
	select {
	case <-before.Exited():
	case <-time.After(gracePeriod):
		_ = before.Signal(syscall.SIGKILL) // an error means that the process has ended
		<-before.Exited()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != before {
		return // another fault has restarted it
	}
	if err := b.start(n); err != nil {
		b.runChecker.reportViolation("ENDED", "%s cannot be started: %v", n.name, err)
	}
}

// incarnation returns the number of the current process, counted from 1.
func (n *node) incarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes
}

// prefixOf returns the prefix of the route that exists only in one version.
func prefixOf(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// commonPrefix is the prefix of the route that every version has.
const commonPrefix = "/frames/"

// configure writes the next version of the routes and retries until it is stored. It
// returns an error if the soak is cancelled.
func (b *testbed) configure() error {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	b.mu.Lock()
	b.version++
	version := b.version
	b.mu.Unlock()
	var routes []routing.Route
	for _, prefix := range []string{commonPrefix, prefixOf(version)} {
		routes = append(routes, routing.Route{
			Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Service: service, MaxAttempts: MaxAttempts, Stretch: 1.6,
			TargetDuration: 60 * time.Millisecond, Timeout: 1500 * time.Millisecond, Unguarded: true,
		})
	}
	document, err := platform.EncodeRoutes(version, routes)
	if err != nil {
		return err
	}
	store := b.store.Local()
	// The store may be down, or may have dropped the response of an applied write.
	for b.writeRoutes(store, document) != nil {
		select {
		case <-b.ctx.Done():
			return b.ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writtenAt[version] = time.Now()
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

// newestVersion returns the newest version whose write has begun.
func (b *testbed) newestVersion() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.version
}

// writeTime returns the time at which a version had been written, or the zero time.
func (b *testbed) writeTime(version uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writtenAt[version]
}

// stopTime returns how long the targets take to end a run that is stopped.
func (b *testbed) stopTime() time.Duration {
	if b.plain {
		return 0
	}
	return maxStopTime * time.Duration(b.seed%4) / 4
}

// crashes reports whether a task crashes the target of a node, which counts as an unplanned fault
// until the target is back.
func (b *testbed) crashes(place, spec string) bool {
	if !parseSpec(spec).crashes {
		return false
	}
	end := b.timeline.begin(place, false)
	time.AfterFunc(crashDelay+crashRestartTime, end)
	return true
}

// replace ends a node's target and starts one with a new id in its place.
func (b *testbed) replace(n *node, clockLag time.Duration) {
	n.mu.Lock()
	n.replaced++
	id := fmt.Sprintf("%s-%d", strings.Replace(n.name, "side", "i", 1), n.replaced)
	n.mu.Unlock()
	b.runChecker.addTarget(id, n.target)
	n.target.Replace(id, clockLag)
}
