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

// developmentSecret is the secret from which the measured processes derive their
// credentials.
const developmentSecret = "scale"

// redialDelay is the mean pause between attempts to link to an entry, as in an agent
// process.
const redialDelay = 500 * time.Millisecond

// timerRunner simulates a target. Its tasks are timers, with the run time in
// milliseconds as the payload.
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

// startMetrics implements agent.Metrics. It counts started tasks and ignores the rest.
type startMetrics struct{ starts *atomic.Int64 }

func (m startMetrics) Started(wire.Class)             { m.starts.Add(1) }
func (m startMetrics) Refused(result.Code)            {}
func (m startMetrics) Sent(wire.Type)                 {}
func (m startMetrics) GrantsExpired(int)              {}
func (m startMetrics) GrantsUnused(int)               {}
func (m startMetrics) IdleWhileWaiting(time.Duration) {}
func (m startMetrics) BadView()                       {}
func (m startMetrics) StatusFailed()                  {}

// Messages counts the messages of one type and their bytes, as seen by the agents.
type Messages struct {
	Sent, Received           int64
	BytesSent, BytesReceived int64
}

// Traffic is the traffic of all agents together, on the wire and by message type.
type Traffic struct {
	Wire  transport.Traffic
	Types map[string]Messages
}

// agentState is the reply to a request: the state of all agents of a process.
// It is encoded as JSON under the names of its fields.
type agentState struct {
	Linked   int
	Opened   int // links opened so far, closed ones included
	Starts   int64
	Revision uint64 // lowest configuration revision of all agents
	Traffic  Traffic
}

// agentGroup holds the agents of one process.
type agentGroup struct {
	tomb   tomb.Tomb
	starts atomic.Int64

	mu      sync.Mutex
	members []*groupMember
	links   map[*transport.Link]bool
	opened  int
	closed  transport.Traffic // traffic of closed links
	types   map[wire.Type]*Messages
}

func newAgentGroup() *agentGroup {
	return &agentGroup{links: map[*transport.Link]bool{}, types: map[wire.Type]*Messages{}}
}

// CountMessage implements transport.Counter.
func (g *agentGroup) CountMessage(t wire.Type, bytes int, sent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.types[t]
	if m == nil {
		m = &Messages{}
		g.types[t] = m
	}
	if sent {
		m.Sent++
		m.BytesSent += int64(bytes)
		return
	}
	m.Received++
	m.BytesReceived += int64(bytes)
}

// groupMember is one agent of a group with its links.
type groupMember struct {
	group  *agentGroup
	agent  *agent.Agent
	ctx    context.Context
	cancel context.CancelFunc
	links  sync.Map // from *transport.Link to *link
}

// link adapts a transport link to agent.Link.
type link struct{ *transport.Link }

// Close implements agent.Link.
func (l link) Close(err error) { _ = l.Link.Close(err) }

// LinkUp implements transport.Handler.
func (m *groupMember) LinkUp(l *transport.Link) {
	adapter := &link{l}
	m.links.Store(l, adapter)
	m.group.mu.Lock()
	m.group.links[l] = true
	m.group.opened++
	m.group.mu.Unlock()
	m.agent.LinkUp(adapter)
}

// Handle implements transport.Handler.
func (m *groupMember) Handle(l *transport.Link, message wire.Message) {
	if adapter, ok := m.links.Load(l); ok {
		m.agent.Handle(adapter.(*link), message)
	}
}

// LinkDown implements transport.Handler.
func (m *groupMember) LinkDown(l *transport.Link, _ error) {
	m.group.mu.Lock()
	delete(m.group.links, l)
	addTraffic(&m.group.closed, l.Traffic())
	m.group.mu.Unlock()
	if adapter, ok := m.links.LoadAndDelete(l); ok {
		m.agent.LinkDown(adapter.(*link))
	}
}

// addTraffic adds t to sum.
func addTraffic(sum *transport.Traffic, t transport.Traffic) {
	sum.BytesSent += t.BytesSent
	sum.BytesReceived += t.BytesReceived
	sum.PacketsSent += t.PacketsSent
	sum.PacketsReceived += t.PacketsReceived
}

// decodeView decodes a configuration view as an agent process does.
func decodeView(spec []byte) (agent.View, error) {
	v, err := config.DecodeView(spec)
	if err != nil {
		return agent.View{}, err
	}
	return agent.View{Draining: v.Target.Drain, Labels: v.Target.Labels}, nil
}

// start adds agent number i, which links to the entries.
func (g *agentGroup) start(i int, service string, entries []string) error {
	name := targetName(i)
	self := transport.Identity{Role: wire.RoleAgent, Name: name}
	credentials, err := transport.NewCredentials(settings.TLS{DevelopmentSecret: developmentSecret}, self)
	if err != nil {
		return err
	}
	m := &groupMember{group: g}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	incarnation := wire.NewIncarnation(time.Now())
	m.agent = agent.New(agent.Config{
		Incarnation:   incarnation,
		FailureDomain: domainName(i),
		Target:        settings.Target{Name: name, Service: service, Slots: 8},
		Runner:        &timerRunner{},
		Decode:        decodeView,
		Metrics:       startMetrics{&g.starts},
	})
	options := transport.Options{
		Self: self, Incarnation: incarnation, Credentials: credentials,
		Handler: m, Revision: m.agent.Revision, Counter: g,
		Idle: func(l *transport.Link) bool { return m.agent.Idle(l.Name()) },
	}
	for _, address := range entries {
		g.tomb.Go(func() error {
			m.maintainLink(address, options)
			return nil
		})
	}
	g.mu.Lock()
	g.members = append(g.members, m)
	g.mu.Unlock()
	return nil
}

// maintainLink dials an entry, again whenever the link ends, until the agent is
// stopped.
func (m *groupMember) maintainLink(address string, o transport.Options) {
	for m.ctx.Err() == nil {
		_ = transport.Dial(m.ctx, address, o)
		select {
		case <-m.ctx.Done():
		case <-time.After(withJitter(redialDelay)):
		}
	}
}

// killLast kills the last n agents without a planned stop, to simulate the loss of a
// failure domain.
func (g *agentGroup) killLast(n int) {
	g.mu.Lock()
	killed := g.members[len(g.members)-n:]
	g.members = g.members[:len(g.members)-n]
	g.mu.Unlock()
	for _, m := range killed {
		m.cancel()
	}
	for _, m := range killed {
		_ = m.agent.Kill()
	}
}

// state returns the totals of the group. The traffic includes closed links.
func (g *agentGroup) state() agentState {
	g.mu.Lock()
	members := g.members
	s := agentState{Linked: len(g.links), Opened: g.opened, Starts: g.starts.Load()}
	s.Traffic.Wire = g.closed
	for l := range g.links {
		addTraffic(&s.Traffic.Wire, l.Traffic())
	}
	s.Traffic.Types = make(map[string]Messages, len(g.types))
	for t, m := range g.types {
		s.Traffic.Types[t.String()] = *m
	}
	g.mu.Unlock()
	for i, m := range members {
		if r := m.agent.Revision(); i == 0 || r < s.Revision {
			s.Revision = r
		}
	}
	return s
}

func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%5) }
