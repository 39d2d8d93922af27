// Package agent is the agent process: it announces one target, owns its slots
// and every start on it, and reports outcomes to the entries.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/wire"
	"go.uber.org/zap"
)

// Link is an open link to an entry. Send never blocks; an error means that the
// link is closed, which LinkDown reports as well.
type Link interface {
	Send(m wire.Message) error
	Name() string
	Incarnation() wire.Incarnation
	Close(err error) error
}

// Runner runs tasks on the target; *runner.Runner is one.
type Runner interface {
	Run(ctx context.Context, task wire.TaskID, payload []byte, limit time.Duration) runner.Report
	Status(ctx context.Context) (running int, err error)
}

// Core owns the target's slots. Every change goes through its lock; messages are
// sent under it, so that they leave in the order of the changes.
type Core struct {
	log    *zap.Logger
	runner Runner

	mu       sync.Mutex
	announce wire.Announce
	table    *slots.Table
	links    map[string]Link // by entry name
	views    config.Views
	cancels  map[wire.TaskID]context.CancelFunc
	leaving  bool
	tasks    sync.WaitGroup
}

// NewCore returns the core of an agent incarnation.
func NewCore(incarnation wire.Incarnation, announce wire.Announce, o slots.Options, r Runner, log *zap.Logger) *Core {
	return &Core{
		log:      log,
		runner:   r,
		announce: announce,
		table:    slots.New(incarnation, o),
		links:    make(map[string]Link),
		cancels:  make(map[wire.TaskID]context.CancelFunc),
	}
}

// LinkUp joins an entry. A second link to the same entry replaces the first.
func (c *Core) LinkUp(l Link) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.table.EntryUp(l.Name(), l.Incarnation(), now) {
		_ = l.Close(nil)
		return
	}
	if old := c.links[l.Name()]; old != nil {
		_ = old.Close(nil)
	}
	c.links[l.Name()] = l
	announce := c.announce
	_ = l.Send(&announce)
	c.settle(now)
}

// LinkDown withdraws what the entry was granted. Running work goes on.
func (c *Core) LinkDown(l Link) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.views.Close(viewKey(l))
	if c.links[l.Name()] != l {
		return
	}
	delete(c.links, l.Name())
	c.table.EntryDown(l.Name(), now)
	c.settle(now)
}

// Handle handles a message from an entry.
func (c *Core) Handle(l Link, m wire.Message) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.Name()] != l {
		return
	}
	c.table.Heard(l.Name(), now)
	switch m := m.(type) {
	case *wire.View:
		c.adopt(c.views.Receive(viewKey(l), *m), now)
	case *wire.Heartbeat:
		c.adopt(c.views.Heard(viewKey(l), m.Revision), now)
	case *wire.Demand:
		c.table.SetDemand(l.Name(), *m, now)
	case *wire.Return:
		c.table.Return(l.Name(), *m, now)
	case *wire.Start:
		c.start(l, m, now)
	case *wire.Query:
		for _, o := range c.table.Query(l.Name(), m, now) {
			_ = l.Send(&o)
		}
	case *wire.Ack:
		c.table.Ack(l.Name(), m, now)
	case *wire.Cancel:
		c.cancel(m)
	case *wire.Leave:
		c.table.EntryLeaving(l.Name(), now)
	}
	c.settle(now)
}

func viewKey(l Link) string { return l.Name() }

// adopt takes a newer view into force.
func (c *Core) adopt(changed bool, now time.Time) {
	if !changed {
		return
	}
	current := c.views.Current()
	view, err := config.DecodeView(current.Spec)
	if err != nil {
		c.log.Error("an entry sent an invalid view", zap.Uint64("revision", current.Revision), zap.Error(err))
		return
	}
	c.table.SetRevision(current.Revision)
	drain := view.Target.Drain || c.leaving
	if drain != c.announce.Draining {
		c.setDraining(drain, now)
	}
}

func (c *Core) setDraining(drain bool, now time.Time) {
	c.announce.Draining = drain
	c.table.SetDraining(drain, now)
	for _, l := range c.links {
		announce := c.announce
		_ = l.Send(&announce)
	}
	c.log.Info("target draining changed", zap.Bool("draining", drain))
}

// start runs a task if every fence lets it through.
func (c *Core) start(l Link, m *wire.Start, now time.Time) {
	if len(m.Acks) > 0 {
		c.table.Ack(l.Name(), &wire.Ack{Tasks: m.Acks}, now)
	}
	ok, refusal := c.table.Start(l.Name(), m, now, now)
	if !ok {
		if refusal.Code == result.OldRevision {
			current := c.views.Current()
			_ = l.Send(&current)
		}
		_ = l.Send(&refusal)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancels[m.Task] = cancel
	c.tasks.Go(func() {
		defer cancel()
		c.finish(l.Name(), m.Task, c.runner.Run(ctx, m.Task, m.Payload, m.TimeLeft))
	})
}

func (c *Core) cancel(m *wire.Cancel) {
	for _, id := range m.Tasks {
		if cancel := c.cancels[id]; cancel != nil {
			cancel()
		}
	}
}

// finish frees the task's slot and reports its outcome, with a new grant where
// one goes to the same entry.
func (c *Core) finish(entry string, id wire.TaskID, r runner.Report) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, id)
	if r.Lingers {
		c.table.Detach(id, r.Outcome, now)
	} else {
		c.table.Finish(id, r.Outcome, now)
	}
	out := r.Outcome
	out.Load = c.load(now)
	for _, a := range c.table.Allocate(now) {
		if a.Entry == entry && out.Grant == nil {
			grant := a.Grant
			out.Grant = &grant
			continue
		}
		c.sendGrant(a, out.Load)
	}
	if l := c.links[entry]; l != nil {
		_ = l.Send(&out)
	}
	c.settle(now)
}

// settle sends what the table has to say after a change.
func (c *Core) settle(now time.Time) {
	load := c.load(now)
	for _, a := range c.table.Allocate(now) {
		c.sendGrant(a, load)
	}
	for _, r := range c.table.Revocations(now) {
		if l := c.links[r.Entry]; l != nil {
			revoke := r.Revoke
			_ = l.Send(&revoke)
		}
	}
}

func (c *Core) sendGrant(a slots.Allocation, load uint32) {
	if l := c.links[a.Entry]; l != nil {
		grant := a.Grant
		grant.Load = load
		_ = l.Send(&grant)
	}
}

func (c *Core) load(now time.Time) uint32 {
	s := c.table.Stats(now)
	return uint32(s.Running + s.Occupied + s.Waiting)
}

// Stats returns a reading of the slot table.
func (c *Core) Stats() slots.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Stats(time.Now())
}

// Revision returns the configuration revision that starts are held against.
func (c *Core) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Revision()
}

// Tick does what is due by time: expired grants, and slots that work of an
// earlier agent has left.
func (c *Core) Tick(ctx context.Context, now time.Time) {
	c.mu.Lock()
	occupied := c.table.Occupied() > 0
	c.table.Expire(now)
	c.settle(now)
	c.mu.Unlock()
	if occupied {
		c.checkOccupied(ctx)
	}
}

// checkOccupied asks the target how much it runs beyond this agent's own tasks.
func (c *Core) checkOccupied(ctx context.Context) {
	n, err := c.runner.Status(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetOccupied(max(0, n-c.table.Stats(now).Running), now)
	c.settle(now)
}

// Leave begins a planned stop: no new work, grants withdrawn.
func (c *Core) Leave() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	c.setDraining(true, now)
	for _, l := range c.links {
		_ = l.Send(&wire.Leave{})
	}
}

// Idle reports whether nothing runs and no entry has an outcome to acknowledge.
func (c *Core) Idle() (running, retained int) {
	s := c.Stats()
	return s.Running, s.Retained
}
