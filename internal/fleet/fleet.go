// Package fleet starts and stops processes of the catkinline binary on loopback
// addresses, for integration tests and experiments. It is a development tool; the
// entries and agents themselves start no processes.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/settings"
)

// Error is the error class of this package.
var Error = errs.Class("fleet")

// MaxProcesses is the largest size of a fleet. With more processes, measurements
// would mostly show their competition for the CPUs of one machine.
const MaxProcesses = 60

// readyTimeout is long enough for the start of one process on a busy machine.
const readyTimeout = 30 * time.Second

// Network selects the connections that go through a relay. DomainDelay above zero
// implies RelayLinks, and CallerDelay above zero implies RelayCallers.
type Network struct {
	DomainDelay  time.Duration // one way, between failure domains
	CallerDelay  time.Duration // one way, between callers and entries
	RelayLinks   bool          // agent to entry and entry to entry, UDP
	RelayCallers bool          // caller to entry, TCP
	RelayTargets bool          // agent to target, TCP
	RelayStores  bool          // entry to store, TCP
	Seed         uint64        // of packet loss and duplication
}

// Options describe a fleet. It has one agent for each target.
type Options struct {
	Executable     string
	Environment    []string // KEY=VALUE, added to the environment of this process
	Directory      string   // for settings and logs; empty: a temporary directory that Close removes
	Targets        int
	Entries        int
	Slots          int // of each target
	Connections    int // to each target
	FailureDomains []string
	Region         string
	Service        string
	Store          bool
	// Configuration is the configuration document that is written to the store
	// before any entry starts; empty: none.
	Configuration json.RawMessage
	Network       Network
	Policy        settings.Policy
	TargetLabels  func(target int) label.Set
	EditEntry     func(entry int, s *settings.Entry) // applied last, before the defaults
	EditAgent     func(agent int, s *settings.Agent)
}

// Fleet is a set of processes and the relays between them. Its methods are safe
// for concurrent use, except that a process must not be restarted by two calls at
// once.
type Fleet struct {
	options       Options
	directory     string
	temporary     bool
	domains       []string
	plan          plan
	relays        map[string]faultproxy.Relay
	stopAfterFunc func() bool
	closing       sync.Once

	mu        sync.Mutex
	processes map[string]*process
	order     []string
	closed    bool
}

// Names of the processes.
func targetName(i int) string { return fmt.Sprintf("target-%d", i) }
func agentName(i int) string  { return fmt.Sprintf("agent-%d", i) }
func entryName(i int) string  { return fmt.Sprintf("entry-%d", i) }

const storeName = "store"

// Start starts a fleet and waits until every process is ready. When ctx ends, the
// fleet is closed. On an error no process is left running. If a process did not
// become ready, the error contains the end of its log.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f, err := prepare(options)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.stopAfterFunc = context.AfterFunc(ctx, f.Close)
	f.mu.Unlock()
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func prepare(options Options) (*Fleet, error) {
	if os.Getenv(childVariable) != "" {
		return nil, Error.New("a process of a fleet must not start a fleet itself")
	}
	count := 2*options.Targets + options.Entries
	if options.Store {
		count++
	}
	if count > MaxProcesses || options.Targets < 0 || options.Entries < 0 {
		return nil, Error.New("the fleet would have %d processes; at most %d are allowed", count, MaxProcesses)
	}
	if len(options.FailureDomains) == 0 {
		options.FailureDomains = []string{"domain-0"}
	}
	f := &Fleet{
		options:       options,
		directory:     options.Directory,
		domains:       options.FailureDomains,
		relays:        map[string]faultproxy.Relay{},
		processes:     map[string]*process{},
		stopAfterFunc: func() bool { return true },
	}
	if f.directory == "" {
		directory, err := os.MkdirTemp("", "catkinline-fleet-")
		if err != nil {
			return nil, Error.Wrap(err)
		}
		f.directory, f.temporary = directory, true
	}
	if err := os.MkdirAll(f.directory, 0o700); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := f.setUp(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// setUp chooses addresses, starts the relays and writes the settings files.
func (f *Fleet) setUp() error {
	var err error
	if f.plan, err = newPlan(f.options); err != nil {
		return err
	}
	if err := f.startRelays(); err != nil {
		return err
	}
	for i := range f.options.Entries {
		if err := f.writeSettings(entryName(i), f.entrySettings(i)); err != nil {
			return err
		}
	}
	for i := range f.options.Targets {
		if err := f.writeSettings(agentName(i), f.agentSettings(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if f.options.Store {
		if err := f.launch(storeName, "http://"+f.plan.store+"/faults", "standin", "store", "--address", f.plan.store); err != nil {
			return err
		}
		if err := f.writeConfiguration(ctx); err != nil {
			return err
		}
	}
	for i, address := range f.plan.targets {
		slots := fmt.Sprint(f.options.Slots)
		if err := f.launch(targetName(i), "http://"+address+"/status", "standin", "target", "--address", address, "--slots", slots); err != nil {
			return err
		}
	}
	for i, address := range f.plan.callers {
		if err := f.launch(entryName(i), "http://"+address+"/readyz", "entry", "--settings", f.settingsPath(entryName(i))); err != nil {
			return err
		}
	}
	for i, address := range f.plan.admins {
		if err := f.launch(agentName(i), "http://"+address+"/readyz", "agent", "--settings", f.settingsPath(agentName(i))); err != nil {
			return err
		}
	}
	for _, name := range f.Names() {
		if err := f.WaitReady(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// launch starts a process without waiting until it is ready.
func (f *Fleet) launch(name, readyURL string, arguments ...string) error {
	p := &process{
		name:        name,
		executable:  f.options.Executable,
		environment: f.options.Environment,
		arguments:   arguments,
		logPath:     filepath.Join(f.directory, name+".log"),
		readyURL:    readyURL,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return Error.New("the fleet is closed")
	}
	if err := p.start(); err != nil {
		return err
	}
	f.processes[name] = p
	f.order = append(f.order, name)
	return nil
}

// Close kills every process, closes the relays and removes the directory if it is
// temporary. Concurrent calls also return only when this is done, since the program
// may exit right after Close.
func (f *Fleet) Close() { f.closing.Do(f.close) }

func (f *Fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.stopAfterFunc()
	f.mu.Unlock()
	for _, p := range f.processes {
		p.kill()
	}
	for _, p := range f.processes {
		p.awaitExit()
	}
	for _, relay := range f.relays {
		relay.Close()
	}
	if f.temporary {
		os.RemoveAll(f.directory)
	}
}

// Names returns the names of the processes in the order of their first start:
// store, target-N, entry-N, agent-N.
func (f *Fleet) Names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.order...)
}

func (f *Fleet) process(name string) (*process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		return nil, Error.New("the fleet has no process %q", name)
	}
	return p, nil
}

// Relays returns the relays by name: "link/entry-N", "caller/entry-N",
// "target/agent-N", "store/entry-N" and "store/agents".
func (f *Fleet) Relays() map[string]faultproxy.Relay { return f.relays }

// Relay returns the relay with a name, or nil.
func (f *Fleet) Relay(name string) faultproxy.Relay { return f.relays[name] }

// CallerURLs returns the entries' caller URLs, through the relays if there are any.
func (f *Fleet) CallerURLs() []string {
	var out []string
	for i, direct := range f.plan.callers {
		out = append(out, "http://"+f.relayAddress("caller/"+entryName(i), direct))
	}
	return out
}

// EntryURLs returns the entries' caller URLs without relays, for reading metrics.
func (f *Fleet) EntryURLs() []string { return urls(f.plan.callers) }

// AgentURLs returns the agents' admin URLs.
func (f *Fleet) AgentURLs() []string { return urls(f.plan.admins) }

// TargetURLs returns the targets' URLs without relays.
func (f *Fleet) TargetURLs() []string { return urls(f.plan.targets) }

// StoreURL returns the store's URL without relays, or "" if the fleet has no store.
func (f *Fleet) StoreURL() string {
	if f.plan.store == "" {
		return ""
	}
	return "http://" + f.plan.store
}

func urls(addresses []string) []string {
	var out []string
	for _, address := range addresses {
		out = append(out, "http://"+address)
	}
	return out
}
