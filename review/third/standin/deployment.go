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

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/standin"
)

// Ports of every machine. Each machine has a loopback address of its own, as on the platform.
const (
	frontPort     = 8161
	readinessPort = 8167
	controlPort   = 8166
	runnerPort    = 8080
	storePort     = 8169
	linkPort      = 7720
)

// site describes a small deployment.
type site struct {
	zones        []string
	sidesPerZone int
	service      string
	host, prefix string
	// bounds of the site's page that the programs read.
	graceS, farPenalty float64
	maxHoldMS          int
	stopTime           time.Duration // of the runners
	work               func(task, spec string) (time.Duration, bool)
}

// machine is an edge machine with its gateway, or a side machine with its sidecar and its runner.
type machine struct {
	name, zone, role, ip string
	settings             string
	store                *door
	runner               *standin.Runner
	late                 *lateRunner // the runner's calls

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ending  bool
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// deployment is the processes of a site with stand-ins of the platform and the runners in this process.
type deployment struct {
	site     site
	dir      string
	program  string
	record   *record
	store    *standin.Store
	operator *standin.LocalStore
	edges    []*machine
	sides    []*machine
	cancel   context.CancelFunc
	ctx      context.Context
	servers  []*http.Server
	version  uint64
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
	runs  []runEvent
}

// runEvent is the start or the end of a run at a runner.
type runEvent struct {
	at            time.Time
	machine, zone string
	runner        string
	task, how     string // how: empty at the start
	late          bool   // on an order that was carried out late
}

func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, arguments...))
}

// observer records the runs of the runner on a machine.
type observer struct {
	record  *record
	machine *machine
}

func (o observer) RunStarted(target, task, _ string) {
	o.add(runEvent{runner: target, task: task, late: o.machine.runner != nil && o.machine.runner.ApplyingLate()})
	o.record.printf("%-22s %s starts %s", o.machine.name, target, task)
}

func (o observer) RunEnded(target, task, how string) {
	o.add(runEvent{runner: target, task: task, how: how})
	o.record.printf("%-22s %s ends   %s: %s", o.machine.name, target, task, how)
}

func (o observer) add(e runEvent) {
	e.at, e.machine, e.zone = time.Now(), o.machine.name, o.machine.zone
	o.record.mu.Lock()
	defer o.record.mu.Unlock()
	o.record.runs = append(o.record.runs, e)
}

// starts returns the starts of runs for which keep returns true.
func (r *record) starts(keep func(runEvent) bool) []runEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runEvent
	for _, e := range r.runs {
		if e.how == "" && keep(e) {
			out = append(out, e)
		}
	}
	return out
}

// door is the address of the platform's store for one machine, which the store may turn away.
type door struct {
	inner http.Handler
	mu    sync.Mutex
	away  bool
	conns map[net.Conn]bool
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	away := d.away
	d.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.inner.ServeHTTP(w, r)
}

// turnAway sets whether the machine is turned away. Its open channels, with the watches that wait on them, are cut.
func (d *door) turnAway(away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = away
	if away {
		for c := range d.conns {
			_ = c.Close()
		}
	}
}

func (d *door) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		d.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
	}
}

// newDeployment starts the stand-ins and writes the settings of all machines.
func newDeployment(s site, program, recordPath string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		site: s, dir: dir, program: program, record: &record{file: file, since: time.Now()},
		store: standin.NewStore(standin.StoreOptions{FirstRevision: 1}), ctx: ctx, cancel: cancel,
	}
	d.operator = d.store.Local()
	network, err := freeNetwork()
	if err != nil {
		return d, err
	}
	number := 0
	add := func(class, zone string, n int) *machine {
		number++
		return &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, n), zone: zone, role: class, ip: fmt.Sprintf("%s.%d", network, number)}
	}
	for _, zone := range s.zones {
		d.edges = append(d.edges, add("edge", zone, 1))
	}
	for _, zone := range s.zones {
		for n := range s.sidesPerZone {
			d.sides = append(d.sides, add("side", zone, n+1))
		}
	}
	for _, m := range d.machines() {
		if err := d.prepare(m); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) machines() []*machine {
	return append(append([]*machine(nil), d.edges...), d.sides...)
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, port := range []int{frontPort, readinessPort, controlPort, storePort, runnerPort, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// prepare starts the stand-ins of a machine and writes its settings.
func (d *deployment) prepare(m *machine) error {
	m.store = &door{inner: d.store.Handler(), conns: make(map[net.Conn]bool)}
	if err := d.serve(m.address(storePort), m.store, m.store.track); err != nil {
		return err
	}
	if m.role == "side" {
		m.runner = standin.NewRunner(standin.RunnerOptions{
			ID: "i-" + m.name, Zone: m.zone, Work: d.site.work, StopTime: d.site.stopTime,
			MaxLease: time.Duration(d.site.maxHoldMS) * time.Millisecond, Observer: observer{d.record, m},
		})
		m.late = &lateRunner{
			inner: m.runner.Handler(), runner: m.runner, record: d.record, name: m.name, address: m.address(runnerPort),
			conns: make(map[*http.Request]chan struct{}), back: make(chan struct{}, 1),
		}
		if err := m.late.listen(); err != nil {
			return err
		}
		go d.reportLoop(m)
	}
	return d.writeSettings(m)
}

func (d *deployment) serve(address string, h http.Handler, track func(net.Conn, http.ConnState)) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ConnState: track, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// heartbeatInterval is that of the site's settings.
const heartbeatInterval = 1500 * time.Millisecond

// reportLoop sends the heartbeats of a machine's runner, the first ones more often while the sidecar starts. Each process
// of the runner sends its first one at once, and counts anew.
func (d *deployment) reportLoop(m *machine) {
	client := &http.Client{Timeout: time.Second}
	for sequence := uint64(1); d.ctx.Err() == nil; sequence++ {
		wait := heartbeatInterval
		if m.late.up() && !d.report(client, m, sequence) {
			wait = 200 * time.Millisecond // nothing listens there yet
		}
		select {
		case <-d.ctx.Done():
		case <-m.late.back:
			sequence = 0
		case <-time.After(wait):
		}
	}
}

// report sends a heartbeat, and reports whether it was answered.
func (d *deployment) report(client *http.Client, m *machine, sequence uint64) bool {
	body, err := json.Marshal(m.runner.Report(d.site.service, "ready", sequence))
	if err != nil {
		return false
	}
	response, err := client.Post("http://"+m.address(controlPort)+"/instances/"+m.runner.ID()+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

func (d *deployment) writeSettings(m *machine) error {
	listen := map[string]string{}
	limits := map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	serves := []string{"edge"}
	s := map[string]any{
		"node_name": m.name, "role": "gateway", "machine_class": m.role, "ip": m.ip, "zone": m.zone, "region": "central",
		"port_range": []int{linkPort, linkPort + 15}, "seeds": []string{}, "bootstrap": true, "in_fault_budget": false,
		"data_dir": nil, "discovery": "local", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(), "commands": "invocation",
		"bounds": map[string]any{"max_hold_ms": d.site.maxHoldMS, "grace_s": d.site.graceS, "far_penalty": d.site.farPenalty},
		"platform": map[string]any{
			"address": m.address(storePort), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": kv.MaxValueBytes, "min_ttl_ms": 1000,
		},
	}
	if m.role == "edge" {
		listen["front"], listen["readiness"] = m.address(frontPort), m.address(readinessPort)
	} else {
		listen["control"] = m.address(controlPort)
		limits["cpu_share"], limits["memory_mb"], limits["max_fds"] = 0.24, 152, 4096
		serves = []string{"side"}
		s["role"], s["app"], s["service"] = "sidecar", m.address(runnerPort), d.site.service
	}
	s["listen"], s["limits"], s["serves"] = listen, limits, serves
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(d.dir, m.name+".json")
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	command := map[string]string{"edge": "gateway", "side": "sidecar"}[m.role]
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(d.program, command)
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited, m.ending = c, exited, false
	m.mu.Unlock()
	go func() {
		err := c.Wait()
		m.mu.Lock()
		ending := m.ending
		m.mu.Unlock()
		d.record.printf("%-22s process ended: %v, asked to: %t", m.name, err, ending)
		close(exited)
	}()
	d.record.printf("%-22s process started", m.name)
	return nil
}

// signal sends a signal to the process of a machine.
func (d *deployment) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	c := m.command
	m.ending = m.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	m.mu.Unlock()
	if c != nil {
		d.record.printf("%-22s gets %v", m.name, s)
		_ = c.Process.Signal(s)
	}
}

// configure writes the operator's configuration with one route.
func (d *deployment) configure(timeout time.Duration) error {
	d.version++
	document := map[string]any{
		"version": d.version,
		"routes": []any{map[string]any{
			"name": "jobs", "host": d.site.host, "prefix": d.site.prefix, "service": d.site.service, "timeout_ms": timeout.Milliseconds(),
			"priority": 0, "max_attempts": 2, "stretch": 4.0, "target_duration_ms": 60,
		}},
		"services": []any{map[string]any{"name": d.site.service, "enforces_capacity": true}},
		"limits":   map[string]any{},
	}
	value, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return d.write(platform.RoutesKey, value)
}

// write sets a key of the operator and records the acknowledgement.
func (d *deployment) write(key string, value []byte) error {
	revision := uint64(0)
	if e, err := d.operator.Get(d.ctx, key); err == nil {
		revision = e.Version
	}
	_, err := d.operator.CompareAndSwap(d.ctx, key, revision, value, 0)
	if err == nil {
		d.record.printf("operator writes %s, acknowledged", key)
	}
	return err
}

// startAll starts all processes and waits until every gateway is ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	for _, m := range d.edges {
		if err := d.awaitReady(m, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) awaitReady(m *machine, limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(readinessPort) + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.record.printf("%-22s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", m.name)
}

// answer is a response to a client. Its status is 0 if the channel broke.
type answer struct {
	status int
	body   string
	at     time.Time
}

// request sends a client's request on a channel of its own and records both.
func (d *deployment) request(m *machine, method, id string, body []byte, wait time.Duration) answer {
	client := &http.Client{Timeout: wait + 2*time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(d.ctx, method, "http://"+m.address(frontPort)+d.site.prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	r.Host = d.site.host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(platform.HeaderDeadline, fmt.Sprint(wait.Milliseconds()))
	d.record.printf("client sends %s %s to %s", method, id, m.name)
	response, err := client.Do(r)
	if err != nil {
		d.record.printf("client gets no answer to %s %s from %s: %v", method, id, m.name, err)
		return answer{at: time.Now()}
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(response.Body, 4096)) // what was read is recorded
	a := answer{status: response.StatusCode, body: string(data), at: time.Now()}
	d.record.printf("client gets %d %s to %s %s from %s", a.status, a.body, method, id, m.name)
	return a
}

// jobID returns an id as clients choose it.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// close ends all processes and servers and removes the temporary folder.
func (d *deployment) close() {
	for _, m := range d.machines() {
		m.mu.Lock()
		c, exited := m.command, m.exited
		m.ending = true
		m.mu.Unlock()
		if c == nil {
			continue
		}
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-exited
	}
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	for _, m := range d.sides {
		if m.late != nil {
			m.late.close()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
