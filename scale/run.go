// Package scale measures what the system costs as it grows: processor time,
// memory, messages, bytes and store calls of each role for fleets of several
// sizes, with straight lines through the results. Entries are real processes;
// agents are library objects with timers as targets, many in one process, linked
// over QUIC on loopback.
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

// The target size of docs/design.md, section 1.6, and a number of services for
// it, which that section leaves open.
const (
	TargetAgents     = 1400
	TargetWorkspaces = 390
	TargetServices   = 40
)

// headerBytes are the IPv4 and UDP headers of one packet.
const headerBytes = 28

// linkLimit bounds the wait for all links of a fleet.
const linkLimit = 40 * time.Second

// Options say what to measure.
type Options struct {
	Executable    string
	Sizes         []int // numbers of agents
	Entries       int
	LinksPerAgent int           // entries that each agent links to; 0: all
	Settle        time.Duration // before the idle step
	Idle          time.Duration // of the idle step
	Load          time.Duration // of each step with load
	IdleOnly      bool          // leave out every step after the idle one
}

// Run measures each size in turn, with a fleet of its own.
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
	report.fit(o.Sizes)
	return report, nil
}

// run is the measurement of one size.
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
	fleet     *agentsProcess
}

// entryProcess is an entry as a process of its own. Its addresses stay over a
// restart.
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
	fleet, err := startAgents(r.options.Executable)
	if err != nil {
		return err
	}
	r.fleet = fleet
	return r.allSteps(ctx)
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

// apply replaces the document.
func (r *run) apply(ctx context.Context, d config.Document) error {
	r.changes++
	answer := r.applier.Apply(ctx, fmt.Sprintf("scale-%d", r.changes), r.revision, d)
	if answer.Outcome != config.Accepted {
		return errors.New(answer.Reason)
	}
	r.revision = answer.Revision
	return nil
}

// addresses returns free addresses on loopback, the last one of UDP.
func addresses() (callers, links string, err error) {
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
	callers, links, err := addresses()
	if err != nil {
		return err
	}
	s := settings.Entry{
		Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: domainName(i),
		CallerAddress: callers, LinkAddress: links,
		Peers:  []string{}, // the settings file takes no null
		Store:  settings.Store{URL: r.storeURL},
		TLS:    settings.TLS{DevelopmentSecret: secret},
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

// kill ends the process without a planned stop.
func (e *entryProcess) kill() {
	if e.cmd == nil || e.cmd.Process == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
}

func (r *run) links() []string {
	var out []string
	for _, e := range r.entries {
		out = append(out, e.settings.LinkAddress)
	}
	return out
}

func (r *run) linksEach() int {
	if n := r.options.LinksPerAgent; n > 0 && n < len(r.entries) {
		return n
	}
	return len(r.entries)
}

// stop ends what the run started.
func (r *run) stop() {
	if r.fleet != nil {
		r.fleet.stop()
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

// await asks the agents until a condition holds and returns the time it took.
func (r *run) await(ctx context.Context, limit time.Duration, holds func(agentState) bool) (time.Duration, error) {
	const interval = 50 * time.Millisecond
	start := time.Now()
	for {
		s, err := r.fleet.ask(request{})
		if err != nil {
			return 0, err
		}
		took := time.Since(start)
		if holds(s) {
			return took, nil
		}
		if took > limit {
			return took, fmt.Errorf("%d links and lowest revision %d after %s", s.Linked, s.Revision, took.Round(time.Second))
		}
		if err := pause(ctx, interval); err != nil {
			return took, err
		}
	}
}

func (r *run) whole(s agentState) bool {
	return s.Linked == r.agents*r.linksEach() && s.Revision >= r.revision
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
