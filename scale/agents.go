package scale

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/agent"
	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// secret is the development secret of the measured fleet.
const secret = "scale"

// redial is the pause between attempts to reach an entry, as in an agent process.
const redial = 500 * time.Millisecond

// timerRunner is a target whose tasks are timers: the payload is the run time in
// milliseconds.
type timerRunner struct{ running atomic.Int64 }

// Run implements agent.Runner.
func (r *timerRunner) Run(ctx context.Context, id wire.TaskID, payload []byte, _ time.Duration) runner.Report {
	r.running.Add(1)
	defer r.running.Add(-1)
	ms, _ := strconv.Atoi(string(payload))
	d := time.Duration(ms) * time.Millisecond
	timer := time.NewTimer(d)
	defer timer.Stop()
	out := wire.Outcome{Task: id, State: wire.StateDone, RunTime: d, Result: payload}
	select {
	case <-timer.C:
	case <-ctx.Done():
		out.State, out.Code = wire.StateFailed, result.Cancelled
	}
	return runner.Report{Outcome: out}
}

// Status implements agent.Runner.
func (r *timerRunner) Status(context.Context) (int, error) { return int(r.running.Load()), nil }

// noMetrics implements agent.Metrics.
type noMetrics struct{ starts *atomic.Int64 }

func (m noMetrics) Started(wire.Class)             { m.starts.Add(1) }
func (m noMetrics) Refused(result.Code)            {}
func (m noMetrics) Sent(wire.Type)                 {}
func (m noMetrics) GrantsExpired(int)              {}
func (m noMetrics) GrantsUnused(int)               {}
func (m noMetrics) IdleWhileWaiting(time.Duration) {}
func (m noMetrics) BadView()                       {}
func (m noMetrics) StatusFailed()                  {}

// Messages counts messages of one type.
type Messages struct {
	Sent, Received           int64
	BytesSent, BytesReceived int64
}

// Traffic is what all agents together have sent and received.
type Traffic struct {
	Wire  transport.Traffic
	Types map[string]Messages
}

// agentState answers the parent's questions about all agents of a process.
type agentState struct {
	Linked   int
	Opened   int // links so far
	Starts   int64
	Revision uint64 // the lowest of all agents
	Traffic  Traffic
}

// fleet is the agents of one process.
type fleet struct {
	tomb   tomb.Tomb
	starts atomic.Int64

	mu      sync.Mutex
	members []*member
	links   map[*transport.Link]bool
	opened  int
	closed  transport.Traffic // of links that are down
	types   map[wire.Type]*Messages
}

func newFleet() *fleet {
	return &fleet{links: map[*transport.Link]bool{}, types: map[wire.Type]*Messages{}}
}

// CountMessage implements transport.Counter.
func (f *fleet) CountMessage(t wire.Type, bytes int, sent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.types[t]
	if m == nil {
		m = &Messages{}
		f.types[t] = m
	}
	if sent {
		m.Sent++
		m.BytesSent += int64(bytes)
		return
	}
	m.Received++
	m.BytesReceived += int64(bytes)
}

// member is one agent with its links.
type member struct {
	fleet  *fleet
	agent  *agent.Agent
	ctx    context.Context
	cancel context.CancelFunc
	links  sync.Map // *transport.Link to *link
}

// link adapts a transport link to what the agent needs.
type link struct{ *transport.Link }

// Close implements agent.Link.
func (l link) Close(err error) { _ = l.Link.Close(err) }

// LinkUp implements transport.Handler.
func (m *member) LinkUp(l *transport.Link) {
	own := &link{l}
	m.links.Store(l, own)
	m.fleet.mu.Lock()
	m.fleet.links[l] = true
	m.fleet.opened++
	m.fleet.mu.Unlock()
	m.agent.LinkUp(own)
}

// Handle implements transport.Handler.
func (m *member) Handle(l *transport.Link, message wire.Message) {
	if own, ok := m.links.Load(l); ok {
		m.agent.Handle(own.(*link), message)
	}
}

// LinkDown implements transport.Handler.
func (m *member) LinkDown(l *transport.Link, _ error) {
	m.fleet.mu.Lock()
	delete(m.fleet.links, l)
	add(&m.fleet.closed, l.Traffic())
	m.fleet.mu.Unlock()
	if own, ok := m.links.LoadAndDelete(l); ok {
		m.agent.LinkDown(own.(*link))
	}
}

func add(sum *transport.Traffic, t transport.Traffic) {
	sum.BytesSent += t.BytesSent
	sum.BytesReceived += t.BytesReceived
	sum.PacketsSent += t.PacketsSent
	sum.PacketsReceived += t.PacketsReceived
}

// decodeView reads a view as the agent process does.
func decodeView(spec []byte) (agent.View, error) {
	v, err := config.DecodeView(spec)
	if err != nil {
		return agent.View{}, err
	}
	return agent.View{Draining: v.Target.Drain, Labels: v.Target.Labels}, nil
}

// start adds an agent that links to the entries.
func (f *fleet) start(i int, service string, entries []string) error {
	name := targetName(i)
	self := transport.Identity{Role: wire.RoleAgent, Name: name}
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: secret}, self)
	if err != nil {
		return err
	}
	m := &member{fleet: f}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	incarnation := wire.NewIncarnation(time.Now())
	m.agent = agent.New(agent.Config{
		Incarnation:   incarnation,
		FailureDomain: domainName(i),
		Target:        settings.Target{Name: name, Service: service, Slots: 8},
		Runner:        &timerRunner{},
		Decode:        decodeView,
		Metrics:       noMetrics{&f.starts},
	})
	options := transport.Options{
		Self: self, Incarnation: incarnation, Credentials: credentials,
		Handler: m, Revision: m.agent.Revision, Counter: f,
		Idle: func(l *transport.Link) bool { return m.agent.Idle(l.Name()) },
	}
	for _, address := range entries {
		f.tomb.Go(func() error {
			m.keep(address, options)
			return nil
		})
	}
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	return nil
}

// keep holds a link to an entry until the agent is stopped.
func (m *member) keep(address string, o transport.Options) {
	for m.ctx.Err() == nil {
		_ = transport.Dial(m.ctx, address, o)
		select {
		case <-m.ctx.Done():
		case <-time.After(jittered(redial)):
		}
	}
}

// lose ends the last n agents at once, as the loss of a failure domain does.
func (f *fleet) lose(n int) {
	f.mu.Lock()
	lost := f.members[len(f.members)-n:]
	f.members = f.members[:len(f.members)-n]
	f.mu.Unlock()
	for _, m := range lost {
		m.cancel()
	}
	for _, m := range lost {
		_ = m.agent.Kill()
	}
}

func (f *fleet) state() agentState {
	f.mu.Lock()
	members := f.members
	s := agentState{Linked: len(f.links), Opened: f.opened, Starts: f.starts.Load()}
	s.Traffic.Wire = f.closed
	for l := range f.links {
		add(&s.Traffic.Wire, l.Traffic())
	}
	s.Traffic.Types = make(map[string]Messages, len(f.types))
	for t, m := range f.types {
		s.Traffic.Types[t.String()] = *m
	}
	f.mu.Unlock()
	for i, m := range members {
		if r := m.agent.Revision(); i == 0 || r < s.Revision {
			s.Revision = r
		}
	}
	return s
}

func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%5) }
