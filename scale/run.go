// Package scale measures how the cost of the system grows with the number of agents.
// For fleets of several sizes it measures processor time, memory, messages, bytes
// and store calls of each role, and fits lines to the results. Entries are real
// processes. Agents are library objects in one process, with timers as targets, and
// link to the entries over QUIC on loopback.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/catkinline/catkinline/client"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

// The target size of docs/design.md, section 1.6. That section doesn't specify the
// number of services.
const (
	TargetAgents     = 1400
	TargetWorkspaces = 390
	TargetServices   = 40
)

// headerBytes is the size of the IPv4 and UDP headers of one packet.
const headerBytes = 28

// convergeTimeout bounds the wait for all agents to have their links and the current
// revision.
const convergeTimeout = 40 * time.Second

// Options select the sizes, durations and steps to measure.
type Options struct {
	Executable    string // path of the catkinline binary
	Sizes         []int  // numbers of agents, in ascending order
	Entries       int
	LinksPerAgent int           // entries that each agent links to; 0: all
	Settle        time.Duration // pause before the idle step
	Idle          time.Duration // duration of the idle step
	Load          time.Duration // duration of each load step
	IdleOnly      bool          // skip the steps after the idle step
}

// Run measures each size in turn with a new fleet and calls progress after each step.
// If it fails, the report holds the steps measured so far, without fitted lines.
func Run(ctx context.Context, o Options, progress func(*Step)) (*Report, error) {
	report := &Report{DocumentBytes: documentBytes(), PeerBytes: peerStateBytes(), ViewBytes: viewBytes()}
	for _, n := range o.Sizes {
		r := &run{options: o, agents: n, progress: progress}
		err := r.measure(ctx)
		r.stop()
		report.Steps = append(report.Steps, r.steps...)
		if err != nil {
			return report, fmt.Errorf("scale: %d agents: %w", n, err)
		}
	}
	report.fitLines(o.Sizes)
	return report, nil
}

// run measures a fleet of one size.
type run struct {
	options   Options
	agents    int
	progress  func(*Step)
	steps     []*Step
	directory string
	store     *standin.Store
	server    *http.Server
	storeURL  string
	applier   config.Applier
	revision  uint64
	changes   int
	entries   []*entryProcess
	agentHost *agentProcess
}

// entryProcess is an entry in a separate process. It keeps its addresses across
// restarts.
type entryProcess struct {
	settings settings.Entry
	file     string
	cmd      *exec.Cmd
	client   *client.Client
}

func (r *run) measure(ctx context.Context) error {
	if err := r.startStore(ctx); err != nil {
		return err
	}
	for i := range r.options.Entries {
		if err := r.addEntry(i); err != nil {
			return err
		}
	}
	process, err := startAgentProcess(r.options.Executable)
	if err != nil {
		return err
	}
	r.agentHost = process
	return r.measureSteps(ctx)
}

func (r *run) startStore(ctx context.Context) error {
	r.store = standin.NewStore(standin.StoreOptions{FirstRevision: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.storeURL = "http://" + l.Addr().String()
	r.server = &http.Server{Handler: r.store.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = r.server.Serve(l) }()
	r.applier = config.Applier{Store: r.store.Local(), Holder: config.NewHolder()}
	return r.apply(ctx, document(r.agents, TargetWorkspaces, TargetServices, 0))
}

// apply replaces the configuration document.
func (r *run) apply(ctx context.Context, d config.Document) error {
	r.changes++
	answer := r.applier.Apply(ctx, fmt.Sprintf("scale-%d", r.changes), r.revision, d)
	if answer.Outcome != config.Accepted {
		return errors.New(answer.Reason)
	}
	r.revision = answer.Revision
	return nil
}

// freeAddresses returns unused loopback addresses: a TCP address for callers and a
// UDP address for links.
func freeAddresses() (callers, links string, err error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", "", err
	}
	defer udp.Close()
	return tcp.Addr().String(), udp.LocalAddr().String(), nil
}

func (r *run) addEntry(i int) error {
	if r.directory == "" {
		directory, err := os.MkdirTemp("", "catkinline-scale-")
		if err != nil {
			return err
		}
		r.directory = directory
	}
	callers, links, err := freeAddresses()
	if err != nil {
		return err
	}
	s := settings.Entry{
		Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: domainName(i),
		CallerAddress: callers, LinkAddress: links,
		Peers:  []string{}, // null is not valid in the settings file
		Store:  settings.Store{URL: r.storeURL},
		TLS:    settings.TLS{DevelopmentSecret: developmentSecret},
		Log:    settings.Log{Level: "error"},
		Policy: settings.Policy{Admission: "bounds"},
	}
	settings.SetDefaults(&s)
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	e := &entryProcess{settings: s, file: filepath.Join(r.directory, s.Name+".json")}
	if err := os.WriteFile(e.file, text, 0o600); err != nil {
		return err
	}
	r.entries = append(r.entries, e)
	if e.client, err = client.New("http://" + callers); err != nil {
		return err
	}
	return e.start(r.options.Executable)
}

func (e *entryProcess) start(executable string) error {
	e.cmd = exec.Command(executable, "entry", "--settings", e.file)
	e.cmd.Stderr = os.Stderr
	return e.cmd.Start()
}

// kill ends the process without a planned stop and waits for its exit.
func (e *entryProcess) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

// linkAddresses returns the addresses at which the entries accept links.
func (r *run) linkAddresses() []string {
	var out []string
	for _, e := range r.entries {
		out = append(out, e.settings.LinkAddress)
	}
	return out
}

// linksPerAgent returns the number of entries that each agent links to.
func (r *run) linksPerAgent() int {
	if n := r.options.LinksPerAgent; n > 0 && n < len(r.entries) {
		return n
	}
	return len(r.entries)
}

// stop ends all processes, stops the store and removes the temporary directory.
func (r *run) stop() {
	if r.agentHost != nil {
		r.agentHost.stop()
	}
	for _, e := range r.entries {
		e.kill()
	}
	if r.server != nil {
		_ = r.server.Close()
	}
	if r.directory != "" {
		_ = os.RemoveAll(r.directory)
	}
}

// awaitState polls the agents until their state satisfies a condition and returns the
// elapsed time. It fails after the timeout.
func (r *run) awaitState(ctx context.Context, timeout time.Duration, satisfied func(agentState) bool) (time.Duration, error) {
	const interval = 50 * time.Millisecond
	start := time.Now()
	for {
		s, err := r.agentHost.query(request{})
		if err != nil {
			return 0, err
		}
		took := time.Since(start)
		if satisfied(s) {
			return took, nil
		}
		if took > timeout {
			return took, fmt.Errorf("agents did not converge: %d links and lowest revision %d after %s", s.Linked, s.Revision, took.Round(time.Second))
		}
		if err := pause(ctx, interval); err != nil {
			return took, err
		}
	}
}

// converged reports whether all agents have their links and the current revision.
func (r *run) converged(s agentState) bool {
	return s.Linked == r.agents*r.linksPerAgent() && s.Revision >= r.revision
}

// pause waits for a duration. It returns the error of ctx if that is done first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
