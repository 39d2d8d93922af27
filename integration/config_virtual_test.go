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

// configPropagationLimit is the time after acceptance within which a change must be in
// force at every entry and agent (invariant I8).
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

// simulatedEntry implements the configuration part of an entry: it watches the store,
// sends views to agents and documents to peers, and announces its revision in
// heartbeats.
type simulatedEntry struct {
	t       *testing.T
	holder  *config.Holder
	store   *standin.LocalStore
	watcher *config.Watcher
	agents  []*agent.Agent
	links   []*simulatedLink
	peers   []*simulatedEntry // reachable peers

	heartbeatRevision uint64 // set after the views of a revision were sent

	mu        sync.Mutex
	sentViews map[int]string // last view sent, by agent
	outcomes  []*wire.Outcome
}

// simulatedLink is an entry's end of a link to one agent. It delivers messages without
// delay.
type simulatedLink struct {
	entry       *simulatedEntry
	name        string
	incarnation wire.Incarnation
}

func (l *simulatedLink) Name() string                  { return l.name }
func (l *simulatedLink) Incarnation() wire.Incarnation { return l.incarnation }
func (l *simulatedLink) Close(error)                   {}

// Send receives a message from the agent. The agent holds its lock during the call, so
// that Send handles a view in another goroutine.
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

// run sends views after each change of the holder, and heartbeats, until ctx ends.
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
				a.Handle(e.links[i], &wire.Heartbeat{Revision: e.heartbeatRevision})
			}
		}
	}
}

// sendViews sends the current document to the peers and changed views to the agents.
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
		if e.sentViews[i] != string(view.Config) {
			e.sentViews[i] = string(view.Config)
			a.Handle(e.links[i], &view)
		}
	}
	e.heartbeatRevision = current.Revision()
}

// simulatedFleet has two agents and three entries. Entries 0 and 1 are peers, entry 2 has
// no peer.
type simulatedFleet struct {
	t       *testing.T
	store   *standin.Store
	entries []*simulatedEntry
	agents  []*agent.Agent
}

// inVirtualTime starts a fleet in a synctest bubble, applies a first document, runs the
// test and stops the fleet.
func inVirtualTime(t *testing.T, test func(f *simulatedFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &simulatedFleet{t: t, store: standin.NewStore(standin.StoreOptions{FirstRevision: 100})}
		for i := range 2 {
			f.agents = append(f.agents, newSimulatedAgent(i))
		}
		for i := range 3 {
			e := &simulatedEntry{t: t, holder: config.NewHolder(), store: f.store.Local(), agents: f.agents, sentViews: map[int]string{}}
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
		time.Sleep(time.Minute) // lets abandoned store calls end
	})
}

// simulatedAgentIncarnation is the incarnation of all simulated agents.
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

// applyChange writes a document to the store through an entry and returns its revision.
// The change "first" writes the initial document, every later one drains target-0.
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
		f.t.Fatalf("change %s: %+v, want accepted", id, r)
	}
	return r.Revision
}

func (f *simulatedFleet) setStoreFaults(c standin.StoreFaultChange) {
	f.t.Helper()
	if err := f.store.ChangeFaults(c); err != nil && !errors.Is(err, kv.ErrLeaseNotFound) {
		f.t.Fatal(err)
	}
}

// checkInForce checks that the agents have at least the given revision, and that the
// entries have it with target-0 drained.
func (f *simulatedFleet) checkInForce(revision uint64, entries ...int) {
	f.t.Helper()
	for i, a := range f.agents {
		if got := a.Revision(); got < revision {
			f.t.Errorf("agent %d has revision %d, want at least %d", i, got, revision)
		}
	}
	for _, i := range entries {
		s := f.entries[i].holder.Current()
		if got := s.RevisionFor("frames", "target-0"); got < revision || !s.Target("target-0").Drain {
			f.t.Errorf("entry %d has revision %d for target-0, want at least %d and target-0 drained", i, got, revision)
		}
	}
}

// Guards against a change that is not in force at every entry and agent 4 s after its
// acceptance, or is reverted later, while the store is slow, stale, down or hanging
// right after it and one entry is partitioned from the store and the other entries.
func TestConfigPropagationWithinLimitVirtual(t *testing.T) {
	enabled, slowMS, staleMS := true, 700, 20_000
	faults := map[string]func(f *simulatedFleet){
		"healthy": func(*simulatedFleet) {},
		"slow":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{LatencyMS: &slowMS}) },
		"stale":   func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{StaleReadsMS: &staleMS}) },
		"down":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{Down: &enabled}) },
		"hang":    func(f *simulatedFleet) { f.setStoreFaults(standin.StoreFaultChange{Hang: &enabled}) },
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

// Guards against an agent that accepts a start under an old revision from an entry that
// was partitioned from the store, or that does not send that entry the newer revision.
func TestConfigOldRevisionIsRefusedVirtual(t *testing.T) {
	inVirtualTime(t, func(f *simulatedFleet) {
		partitioned := f.entries[2]
		old := partitioned.holder.Current().Revision()
		a := config.Applier{Store: f.entries[0].store, Holder: f.entries[0].holder}
		partitioned.store.SetPartitioned(true)
		r := a.Edit(context.Background(), "label", config.SetLabels("target-1", map[string]string{"stage": "live"}, nil))
		synctest.Wait() // the agents have the new revision; the partitioned entry has sent no heartbeat
		id := wire.TaskID{Job: wire.JobID{Entry: partitioned.links[1].incarnation, Seq: 1}, Attempt: 1}
		f.agents[1].Handle(partitioned.links[1], &wire.Start{Task: id, Grant: wire.GrantID{Agent: simulatedAgentIncarnation}, Revision: old, TimeLeft: time.Minute})
		synctest.Wait()
		partitioned.mu.Lock()
		defer partitioned.mu.Unlock()
		if len(partitioned.outcomes) != 1 || partitioned.outcomes[0].State != wire.StateRefused || partitioned.outcomes[0].Code != result.OldRevision {
			t.Errorf("start under revision %d with %d in force: %d outcomes, want one refusal as old revision", old, r.Revision, len(partitioned.outcomes))
		}
		if got := partitioned.holder.Current().RevisionFor("frames", "target-1"); got < r.Revision {
			t.Errorf("the partitioned entry has revision %d for target-1, want at least %d", got, r.Revision)
		}
	})
}
