package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/standin"
)

const (
	routeHost   = "jobs.example"
	routePrefix = "/frames/"
	serviceName = "frames"
	linkPort    = 7720 // first of port_range
	storePort   = 8169
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	appPort     = 8165
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
)

// fleet is a small deployment: gateways and sidecars as processes, the platform's store and the
// runners as stand-ins in this process. Each machine has a loopback address of its own.
type fleet struct {
	record  *record
	dir     string
	network string // the first two bytes of all addresses
	store   string // address of the store
	nodes   map[string]*node
	runners []*runner
	closers []func()
	version uint64
	config  uint64 // revision of the configuration in the store
}

// node is a machine with one process of the system.
type node struct {
	name, role, ip string
	settings       string
	arguments      []string
	front, ready   string
	storeRelay     *faultproxy.TCP // on the way to the store; nil: none
	linkRelay      *faultproxy.UDP // on the way of all links to this node; nil: none

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, dir: dir, nodes: make(map[string]*node)}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	// The ports of a machine are fixed, so that two scripts at a time need other addresses.
	for i := range 200 {
		f.network = fmt.Sprintf("127.%d", 20+(os.Getpid()+i)%200)
		if l, err := net.Listen("tcp", f.address(1, storePort)); err == nil {
			f.store = f.address(1, storePort)
			server := &http.Server{Handler: standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Handler()}
			go func() { _ = server.Serve(l) }()
			f.closers = append(f.closers, func() { _ = server.Close() })
			return f, f.configure(true)
		}
	}
	return nil, errors.New("no free loopback address")
}

func (f *fleet) ip(machine int) string { return fmt.Sprintf("%s.0.%d", f.network, machine) }

func (f *fleet) address(machine, port int) string { return fmt.Sprintf("%s:%d", f.ip(machine), port) }

// configure writes the next configuration, as the operator does: with the clients' route or without
// it, and with a route that nobody uses and that is another one each time.
func (f *fleet) configure(clientsRoute bool) error {
	f.version++
	routes := []any{route("r-idle", fmt.Sprintf("/idle%d/", f.version))}
	if clientsRoute {
		routes = append(routes, route("r-frames", routePrefix))
	}
	document, _ := json.Marshal(map[string]any{
		"version": f.version,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": serviceName, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	body, _ := json.Marshal(map[string]any{
		"expect": []any{map[string]any{"key": "op/config", "revision": f.config}},
		"writes": []any{map[string]any{"key": "op/config", "value": base64.StdEncoding.EncodeToString(document)}},
	}) // plain values always encode
	response, err := http.Post("http://"+f.store+"/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var written struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.NewDecoder(response.Body).Decode(&written); err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store refused the configuration: status %d, %w", response.StatusCode, err)
	}
	f.config = written.Revision
	f.record.printf("operator: configuration %d acknowledged, with the clients' route: %t", f.version, clientsRoute)
	return nil
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "target_duration_ms": 60,
		"priority": 0, "service": serviceName, "max_attempts": 2, "stretch": 1.6,
	}
}

// settingsOf returns what both roles' settings have in common.
func (f *fleet) settingsOf(name, class string, machine int, store string) map[string]any {
	return map[string]any{
		"node_name": name, "role": class, "machine_class": class, "serves": []string{class}, "ip": f.ip(machine), "zone": "zone-a", "region": "land",
		"zones": map[string]string{"zone-a": "land"}, "port_range": []int{linkPort, linkPort + 15}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeatInterval.Milliseconds(), "commands": "invocation",
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": 1000, "stop_ms": 50,
			"cancel_ms": cancelBound.Milliseconds(), "retransmit_ms": 1300, "status_s": 120, "fencing_required": true,
		},
		"platform": map[string]any{"address": store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "min_ttl_ms": 1000},
	}
}

// addGateway adds a gateway. Where it can be cut off, its links and its way to the store lead
// through relays: the relay of the links listens on the address that the settings announce, and
// the process on another one, which its option for relays names.
func (f *fleet) addGateway(name string, machine int, canBeCut bool) (*node, error) {
	n := &node{name: name, role: "gateway", ip: f.ip(machine), front: f.address(machine, frontPort), ready: f.address(machine, readyPort)}
	store := f.store
	if canBeCut {
		listen := fmt.Sprintf("%s.1.%d:%d", f.network, machine, linkPort)
		var err error
		if n.linkRelay, err = faultproxy.NewUDP(faultproxy.UDPOptions{Listen: f.address(machine, linkPort), Upstream: listen}); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, n.linkRelay.Close)
		if n.storeRelay, err = faultproxy.NewTCP(faultproxy.TCPOptions{Listen: "127.0.0.1:0", Upstream: f.store}); err != nil {
			return nil, err
		}
		f.closers = append(f.closers, n.storeRelay.Close)
		store, n.arguments = n.storeRelay.Address(), []string{"--link-listen", listen}
	}
	s := f.settingsOf(name, "edge", machine, store)
	s["listen"] = map[string]string{"front": n.front, "readiness": n.ready, "control": f.address(machine, controlPort)}
	return n, f.add(n, s)
}

// addSidecar adds a sidecar with its runner.
func (f *fleet) addSidecar(name string, machine int) (*node, error) {
	n := &node{name: name, role: "sidecar", ip: f.ip(machine)}
	s := f.settingsOf(name, "side", machine, f.store)
	s["listen"] = map[string]string{"control": f.address(machine, controlPort)}
	s["app"], s["service"] = f.address(machine, appPort), serviceName
	r := newRunner("i-"+name, serviceName, f.address(machine, appPort), f.address(machine, controlPort), f.record)
	if err := r.serve(); err != nil {
		return nil, err
	}
	f.runners = append(f.runners, r)
	f.closers = append(f.closers, r.close)
	return n, f.add(n, s)
}

func (f *fleet) add(n *node, settings map[string]any) error {
	n.settings = filepath.Join(f.dir, n.name+".json")
	data, _ := json.Marshal(settings) // plain values always encode
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		return err
	}
	f.nodes[n.name] = n
	return f.start(n)
}

// start starts a node's process with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/catkinline", append([]string{n.role}, n.arguments...)...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "CATKINLINE_SETTINGS=" + n.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the status does not matter
		close(exited)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command, n.exited = command, exited
	return nil
}

func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.command.Process.Signal(s) // an error means that the process has ended
}

// awaitExit waits until the current process has ended.
func (n *node) awaitExit() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
}

// cut cuts a gateway off from all other machines of the system and from the store, or ends that.
func (n *node) cut(on bool) error {
	faults := faultproxy.Faults{}
	if on {
		faults.Cut = faultproxy.CutBoth
	}
	return errors.Join(n.linkRelay.SetFaults(faults), n.storeRelay.SetFaults(faults))
}

// awaitReady waits until all gateways report that they are ready and every one of them serves a job.
func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range f.nodes {
		for n.role == "gateway" {
			response, err := http.Get("http://" + n.ready + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) startsOf(job string) []startEvent {
	var starts []startEvent
	for _, r := range f.runners {
		starts = append(starts, r.startsOf(job)...)
	}
	return starts
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		n.awaitExit()
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
