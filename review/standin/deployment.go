package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the small deployment. Each machine has a loopback address of its own.
const (
	frontPort     = 8161
	readinessPort = 8167
	controlPort   = 8166
	runnerPort    = 8165
	storePort     = 8169
	firstLinkPort = 7720
	lastLinkPort  = 7735
)

// program is the binary that the build of the deploy file makes.
const program = "target/catkinline"

// process is one of the project's programs, which the case started.
type process struct {
	name string
	args []string
	env  []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// machine is a machine of the deployment with its process; runner is set on side machines.
type machine struct {
	*process
	zone   string
	ip     string
	runner *runner
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix string
	timeout            time.Duration
}

// deployment is a small deployment: a store, gateways, and sidecars with a runner each.
type deployment struct {
	rec      *record
	dir      string // temporary folder for settings files and logs
	network  string // first three numbers of all addresses
	store    *process
	storeURL string
	edges    []*machine
	sides    []*machine
	spans    *spanLog
	service  string

	mu        sync.Mutex
	processes []*process // all that were ever started
	version   uint64
	revision  uint64
}

var zones = []string{"saimaa", "pohjanmaa", "lappi"}

// newDeployment picks a loopback network whose addresses are free and starts the store.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, spans: &spanLog{}, service: "kuvavirta"}
	for range 20 {
		d.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.7:%d", d.network, storePort))
		if err != nil {
			continue
		}
		l.Close()
		address := fmt.Sprintf("%s.7:%d", d.network, storePort)
		d.storeURL = "http://" + address
		d.store = d.newProcess("store", nil, "standin", "store", "--address", address)
		if err := d.store.start(d); err != nil {
			return d, err
		}
		return d, d.await("the store answers", 10*time.Second, func() bool {
			response, err := http.Get(d.storeURL + "/kv-range?prefix=op/")
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	return d, errors.New("no free loopback address")
}

func (d *deployment) newProcess(name string, env []string, args ...string) *process {
	return &process{name: name, args: args, env: env, log: filepath.Join(d.dir, name+".log")}
}

// start starts the process with a log of its own.
func (p *process) start(d *deployment) error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	cmd := exec.Command(program, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.mu.Lock()
	p.cmd, p.done = cmd, done
	d.processes = append(d.processes, &process{name: p.name, cmd: cmd, done: done})
	d.mu.Unlock()
	d.rec.printf("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		d.rec.printf("process %s has ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(d *deployment, s syscall.Signal) {
	d.rec.printf("process %s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s) // fails if the process has ended
}

// kill ends the process and waits for its end.
func (p *process) kill(d *deployment) {
	p.signal(d, syscall.SIGKILL)
	<-p.done
}

// settings is the settings file of a machine, as the users' pages show it.
func (d *deployment) settings(m *machine, class string) map[string]any {
	listen := map[string]any{"control": m.control()}
	s := map[string]any{
		"node_name": m.name, "role": class, "machine_class": class, "serves": []string{class}, "ip": m.ip, "zone": m.zone, "region": "suomi",
		"zones":      map[string]string{"saimaa": "suomi", "pohjanmaa": "suomi", "lappi": "suomi"},
		"port_range": []int{firstLinkPort, lastLinkPort}, "seeds": []string{}, "bootstrap": true,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "local", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recovery_s": 12,
			"max_hold_ms": maxHold.Milliseconds(), "stop_ms": 50, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
			"fencing_required": true, "lease_ttl_ms": 3000, "retransmit_ms": 1300,
		},
		"commands": "invocation",
		"platform": map[string]any{
			"address": fmt.Sprintf("%s.7:%d", d.network, storePort), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
			"history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000,
		},
	}
	if class == "edge" {
		listen["front"] = m.front()
		listen["readiness"] = fmt.Sprintf("%s:%d", m.ip, readinessPort)
	} else {
		s["app"] = fmt.Sprintf("%s:%d", m.ip, runnerPort)
		s["service"] = d.service
	}
	s["listen"] = listen
	return s
}

// addMachine writes the settings file of a machine and starts its process.
func (d *deployment) addMachine(class, role string, number int) (*machine, error) {
	m := &machine{zone: zones[(number-1)%len(zones)]}
	host := 10 + number
	if class == "side" {
		host = 100 + number
	}
	m.ip = fmt.Sprintf("%s.%d", d.network, host)
	name := fmt.Sprintf("%s-%s-%d", class, m.zone, number)
	path := filepath.Join(d.dir, name+".json")
	m.process = d.newProcess(name, []string{"CATKINLINE_SETTINGS=" + path}, role)
	data, err := json.Marshal(d.settings(m, class))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	return m, m.start(d)
}

// start starts gateways, and a sidecar for each runner, and waits until all gateways are ready.
func (d *deployment) start(gateways int, runners []identity) error {
	for n := range gateways {
		m, err := d.addMachine("edge", "gateway", n+1)
		if err != nil {
			return err
		}
		d.edges = append(d.edges, m)
	}
	for n, who := range runners {
		m, err := d.addMachine("side", "sidecar", n+1)
		if err != nil {
			return err
		}
		who.zone = m.zone
		m.runner = &runner{name: m.name, address: fmt.Sprintf("%s:%d", m.ip, runnerPort), control: m.control(), rec: d.rec, spans: d.spans}
		if err := m.runner.start(who, 300*time.Millisecond); err != nil {
			return err
		}
		d.sides = append(d.sides, m)
	}
	for _, m := range d.edges {
		if err := d.await(m.name+" is ready", 20*time.Second, func() bool { return d.ready(m) }); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether a gateway says that it is ready.
func (d *deployment) ready(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", m.ip, readinessPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func (d *deployment) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			d.rec.printf("%s", what)
			return nil
		}
	}
	return fmt.Errorf("timeout: %s", what)
}

// configure writes a version of the operator's configuration and returns when the store has
// acknowledged it.
func (d *deployment) configure(routes ...route) (time.Time, error) {
	d.version += 3
	document := map[string]any{
		"version": d.version,
		"services": []any{map[string]any{
			"name": d.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	list := []any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "kind": "unsafe", "timeout_ms": r.timeout.Milliseconds(),
			"target_duration_ms": 60, "priority": 0, "service": d.service, "max_attempts": 2, "stretch": 1.6,
		})
	}
	document["routes"] = list
	value, err := json.Marshal(document)
	if err != nil {
		return time.Time{}, err
	}
	body, err := json.Marshal(map[string]any{
		"expect": []any{map[string]any{"key": "op/config", "revision": d.revision}},
		"writes": []any{map[string]any{"key": "op/config", "value": value}},
	})
	if err != nil {
		return time.Time{}, err
	}
	response, err := http.Post(d.storeURL+"/kv-txn", "application/json", bytes.NewReader(body))
	if err != nil {
		return time.Time{}, err
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	if response.StatusCode != http.StatusOK || json.Unmarshal(data, &answer) != nil {
		return time.Time{}, fmt.Errorf("the store answers %d to the configuration: %s", response.StatusCode, data)
	}
	d.revision = answer.Revision
	d.rec.printf("configuration %d with %d routes is acknowledged", d.version, len(routes))
	return time.Now(), nil
}

// stop ends the runners and all processes that the case started, and removes the temporary
// folder unless KEEP_LOGS is set.
func (d *deployment) stop() {
	for _, m := range d.sides {
		m.runner.crash("the case is over")
	}
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails if the process has ended
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}
