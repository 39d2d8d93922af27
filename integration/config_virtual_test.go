package integration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/agent"
	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
)

// configPropagationLimit is the bound of invariant I8.
const configPropagationLimit = 4 * time.Second

type noopRunner struct{}

func (noopRunner) Run(context.Context, wire.TaskID, []byte, time.Duration) runner.Report {
	return runner.Report{}
}
func (noopRunner) Status(context.Context) (int, error) { return 0, nil }

type noopMetrics struct{}

func (noopMetrics) Started(wire.Class)             {}
func (noopMetrics) Refused(result.Code)            {}
func (noopMetrics) Sent(wire.Type)                 {}
func (noopMetrics) GrantsExpired(int)              {}
func (noopMetrics) GrantsUnused(int)               {}
func (noopMetrics) IdleWhileWaiting(time.Duration) {}
func (noopMetrics) BadView()                       {}
func (noopMetrics) StatusFailed()                  {}

// simulatedEntry is what an entry does about configuration: a watcher of the
// store, views to agents, revisions on heartbeats and documents to peers.
type simulatedEntry struct {
	t       *testing.T
	holder  *config.Holder
	store   *standin.LocalStore
	watcher *config.Watcher
	agents  []*agent.Agent
	links   []*simulatedLink
	peers   []*simulatedEntry // reachable ones

	announced uint64 // revision of heartbeats, behind that of the views sent

	mu       sync.Mutex
	sent     map[int]string // view last sent, by agent
	outcomes []*wire.Outcome
}

// simulatedLink is an entry's end of a link to one agent, without delay.
type simulatedLink struct {
	entry       *simulatedEntry
	name        string
	incarnation wire.Incarnation
}

func (l *simulatedLink) Name() string                  { return l.name }
func (l *simulatedLink) Incarnation() wire.Incarnation { return l.incarnation }
func (l *simulatedLink) Close(error)                   {}

// Send takes a message of the agent, which holds its lock.
func (l *simulatedLink) Send(m wire.Message) error {
	switch m := m.(type) {
	case *wire.View:
		view := *m
		go func() {
			if merged, _ := l.entry.holder.MergeView(view); merged {
				l.entry.watcher.Refresh()
			}
		}()
	case *wire.Outcome:
		l.entry.mu.Lock()
		l.entry.outcomes = append(l.entry.outcomes, m)
		l.entry.mu.Unlock()
	}
	return nil
}

// run follows the holder and sends heartbeats until ctx ends.
func (e *simulatedEntry) run(ctx context.Context) {
	changed, cancel := e.holder.Subscribe()
	defer cancel()
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		e.sendViews()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
			for i, a := range e.agents {
				a.Handle(e.links[i], &wire.Heartbeat{Revision: e.announced})
			}
		}
	}
}

func (e *simulatedEntry) sendViews() {
	current := e.holder.Current()
	for _, p := range e.peers {
		_, _ = p.holder.AdoptStored(current.Revision(), current.Body())
	}
	if current.Revision() == 0 {
		return
	}
	for i, a := range e.agents {
		view, err := current.View("frames", fmt.Sprint("target-", i))
		if err != nil {
			e.t.Error(err)
			return
		}
		if e.sent[i] != string(view.Config) {
			e.sent[i] = string(view.Config)
			a.Handle(e.links[i], &view)
		}
	}
	e.announced = current.Revision()
}

// simulatedFleet has two agents and three entries. Entries 0 and 1 are peers;
// entry 2 has no peer.
type simulatedFleet struct {
	t       *testing.T
	store   *standin.Store
	entries []*simulatedEntry
	agents  []*agent.Agent
}

func inVirtualTime(t *testing.T, test func(f *simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &simulatedFleet{t: t, store: standin.NewStore(standin.StoreOptions{FirstRevision: 100})}
		for i := range 2 {
			f.agents = append(f.agents, newSimulatedAgent(i))
		}
		for i := range 3 {
			e := &simulatedEntry{t: t, holder: config.NewHolder(), store: f.store.Local(), agents: f.agents, sent: map[int]string{}}
			e.watcher = config.StartWatcher(e.store, e.holder, zap.NewNop())
			for _, a := range f.agents {
				l := &simulatedLink{e, fmt.Sprint("entry-", i), wire.Incarnation(i + 1)}
				e.links = append(e.links, l)
				a.LinkUp(l)
			}
			f.entries = append(f.entries, e)
		}
		f.entries[0].peers = f.entries[1:2]
		f.entries[1].peers = f.entries[:1]
		var running sync.WaitGroup
		for _, e := range f.entries {
			running.Go(func() { e.run(ctx) })
		}
		f.applyChange("first", 0)
		time.Sleep(configPropagationLimit)
		test(f)
		cancel()
		running.Wait()
		for _, e := range f.entries {
			_ = e.watcher.Stop()
		}
		for _, a := range f.agents {
			_ = a.Kill()
		}
		time.Sleep(time.Minute) // calls of the store that were given up end
	})
}

// simulatedAgentIncarnation is the incarnation of the agents.
const simulatedAgentIncarnation = wire.Incarnation(7)

func newSimulatedAgent(i int) *agent.Agent {
	return agent.New(agent.Config{
		Incarnation: simulatedAgentIncarnation,
		Target:      settings.Target{Name: fmt.Sprint("target-", i), Service: "frames", Slots: 2},
		Slots:       slots.Options{Policy: settings.Policy{Reserve: "none"}},
		Runner:      noopRunner{},
		Metrics:     noopMetrics{},
		Decode: func(spec []byte) (agent.View, error) {
			v, err := config.DecodeView(spec)
			return agent.View{Draining: v.Target.Drain}, err
		},
	})
}

// applyChange puts a document in the store, in which target-0 is drained from the
// second change on, and returns its revision.
func (f *simulatedFleet) applyChange(id string, entry int) uint64 {
	f.t.Helper()
	e := f.entries[entry]
	a := config.Applier{Store: e.store, Holder: e.holder}
	if id == "first" {
		d, _ := config.Parse([]byte(configDocument))
		r := a.Apply(context.Background(), id, 0, d)
		return r.Revision
	}
	r := a.Edit(context.Background(), id, config.SetDrain("target-0", true))
	if r.Outcome != config.Accepted {
		f.t.Fatalf("change %s: %+v", id, r)
	}
	return r.Revision
}

func (f *simulatedFleet) setStoreFaults(c standin.StoreFaultChange) {
	f.t.Helper()
	if err := f.store.ChangeFaults(c); err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		f.t.Fatal(err)
	}
}

// checkInForce checks that a revision is in force at the agents and at the entries.
func (f *simulatedFleet) checkInForce(revision uint64, entries ...int) {
	f.t.Helper()
	for i, a := range f.agents {
		if got := a.Revision(); got < revision {
			f.t.Errorf("agent %d has revision %d, want %d", i, got, revision)
		}
	}
	for _, i := range entries {
		s := f.entries[i].holder.Current()
		if got := s.RevisionFor("frames", "target-0"); got < revision || !s.Target("target-0").Drain {
			f.t.Errorf("entry %d has revision %d for the drained target, want %d", i, got, revision)
		}
	}
}

// Guards against a change that is not in force at every entry and agent 4 s
// after its acceptance, or is taken back, while the store is slow, stale or down
// right after it, while one entry is cut off from the store and its peers, and
// for an agent that starts meanwhile.
func TestConfigPropagationWithinLimitVirtual(t *testing.T) {
	yes, slow, stale := true, 700, 20_000
	faults := map[string]func(f *simulatedFleet){
		"healthy": func(*simulatedFleet) {},
		"slow":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{LatencyMS: &slow}) },
		"stale":   func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{StaleReadsMS: &stale}) },
		"down":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{Down: &yes}) },
		"hang":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{Hang: &yes}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(f *simulatedFleet) {
				f.entries[2].store.SetPartitioned(true)
				time.Sleep(configPropagationLimit)
				revision := f.applyChange("drain", 0)
				fault(f)
				time.Sleep(configPropagationLimit)
				f.checkInForce(revision, 0, 1, 2)
				time.Sleep(time.Minute)
				f.checkInForce(revision, 0, 1, 2)
			})
		})
	}
}

// Guards against an agent that accepts a start under an old revision of an entry
// that was away, or that does not hand it the newer one.
func TestConfigOldRevisionIsRefusedVirtual(t *testing.T) {
	inVirtualTime(t, func(f *simulatedFleet) {
		away := f.entries[2]
		old := away.holder.Current().Revision()
		a := config.Applier{Store: f.entries[0].store, Holder: f.entries[0].holder}
		away.store.SetPartitioned(true)
		r := a.Edit(context.Background(), "label", config.SetLabels("target-1", map[string]string{"stage": "live"}, nil))
		synctest.Wait() // the agents have the revision, before any heartbeat of the entry
		id := wire.TaskID{Job: wire.JobID{Entry: away.links[1].incarnation, Seq: 1}, Attempt: 1}
		f.agents[1].Handle(away.links[1], &wire.Start{Task: id, Grant: wire.GrantID{Agent: simulatedAgentIncarnation}, Revision: old, TimeLeft: time.Minute})
		synctest.Wait()
		away.mu.Lock()
		defer away.mu.Unlock()
		if len(away.outcomes) != 1 || away.outcomes[0].State != wire.StateRefused || away.outcomes[0].Code != result.OldRevision {
			t.Errorf("the start under revision %d of %d was answered with %d outcomes", old, r.Revision, len(away.outcomes))
		}
		if got := away.holder.Current().RevisionFor("frames", "target-1"); got < r.Revision {
			t.Errorf("the entry has revision %d for the target, want %d", got, r.Revision)
		}
	})
}
