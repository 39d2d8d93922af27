// Package agent implements the agent, the process that runs next to each target. It
// connects the slot table, the runner and the links to entries.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/agent/runner"
	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/wire"
)

// Defaults of Config.
const (
	// DefaultStopLimit exceeds the default run-time limit of a task, so that a
	// planned stop interrupts no task.
	DefaultStopLimit = runner.DefaultRunLimit + time.Minute
	// DefaultAckLimit is how long a planned stop waits for acknowledgements once
	// no task runs. It leaves time for several reconnects of a link.
	DefaultAckLimit = 5 * time.Second
)

// Error is the class of errors with which the agent closes links.
var Error = errs.Class("agent")

var (
	errReplaced = Error.New("replaced by a newer link of the same entry")
	errStale    = Error.New("a newer incarnation of the entry is known, or this one has been removed")
	errEnded    = Error.New("the agent has ended")
)

// Link is a connection to one entry. The agent calls its methods under its lock:
// Send queues a message and returns without blocking, and neither Send nor Name
// nor Incarnation calls back into the agent. An error from Send means that the
// link is lost. Close is called without the lock; a nil error is a planned end.
type Link interface {
	Send(wire.Message) error
	Name() string
	Incarnation() wire.Incarnation
	Close(error)
}

// Runner runs single tasks on the target; runner.Runner implements it.
type Runner interface {
	Run(ctx context.Context, task wire.TaskID, payload []byte, limit time.Duration) runner.Report
	Status(ctx context.Context) (running int, err error)
}

// View is the part of the operators' configuration that applies to one agent. A
// limit of 0 selects the runner's default.
type View struct {
	Draining   bool
	Labels     label.Set // override the target's own labels
	ShortLimit time.Duration
	LongLimit  time.Duration
}

func (v View) limit(c wire.Class) time.Duration {
	if c == wire.ClassLong {
		return v.LongLimit
	}
	return v.ShortLimit
}

// Metrics receives the agent's counters. Its methods are called under the
// agent's lock and must not block.
type Metrics interface {
	Started(wire.Class)
	Refused(result.Code) // a start was refused and its task not run
	Sent(wire.Type)
	GrantsExpired(slots int)
	GrantsUnused(slots int) // returned or withdrawn
	IdleWhileWaiting(slotTime time.Duration)
	BadView()      // a configuration view that could not be decoded
	StatusFailed() // a status request to the target got no valid response
}

// Config describes an agent. Incarnation, Target, Runner, Decode and Metrics are
// required; zero fields of the others take the defaults.
type Config struct {
	Incarnation   wire.Incarnation
	FailureDomain string
	Region        string
	Target        settings.Target
	Slots         slots.Options // Slots is taken from Target
	Runner        Runner
	Decode        func(data []byte) (View, error) // decodes wire.View.Config
	Metrics       Metrics
	StopLimit     time.Duration // of a planned stop, for running tasks
	AckLimit      time.Duration // of a planned stop, for acknowledgements after that
}

// linkState is a link and the configuration revision sent on it.
type linkState struct {
	Link
	viewSent uint64 // revision of the view last sent to the entry
	closed   bool
}

// task is a running task.
type task struct {
	id     wire.TaskID
	cancel context.CancelFunc
}

// pendingOutcome is an outcome that flush sends at the end of the current operation.
type pendingOutcome struct {
	entry   string
	outcome wire.Outcome
}

// pendingClose is a link that unlock closes after it has released the lock.
type pendingClose struct {
	link Link
	err  error
}

// Agent is a running agent. One mutex guards its state; it is held only for work in
// memory. All methods are safe for concurrent use.
type Agent struct {
	cfg      Config
	tomb     tomb.Tomb
	ctx      context.Context // ends when the tomb is dying
	wake     chan struct{}   // signals a deadline earlier than timerDeadline
	poll     chan struct{}   // signals that a slot became occupied
	progress chan struct{}   // signals that a task ended or an outcome was acknowledged

	mu            sync.Mutex
	table         *slots.Table
	links         map[string]*linkState
	tasks         map[wire.TaskID]task // by identity
	view          View
	views         config.ViewTracker
	stopping      bool
	ended         bool
	timerDeadline time.Time // deadline that the timer loop waits for
	outcomes      []pendingOutcome
	closing       []pendingClose
	reported      slots.Stats
}

// New starts an agent. It grants no slot until the target has reported how many
// tasks of an earlier agent it still runs.
func New(cfg Config) *Agent {
	options.Default(&cfg.Target.Slots, slots.DefaultSlots)
	options.Default(&cfg.StopLimit, DefaultStopLimit)
	options.Default(&cfg.AckLimit, DefaultAckLimit)
	cfg.Slots.Slots = cfg.Target.Slots
	a := &Agent{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		poll:     make(chan struct{}, 1),
		progress: make(chan struct{}, 1),
		table:    slots.New(cfg.Incarnation, cfg.Slots),
		links:    map[string]*linkState{},
		tasks:    map[wire.TaskID]task{},
	}
	a.ctx = a.tomb.Context(context.Background())
	a.table.SetOccupied(cfg.Target.Slots, time.Now())
	a.tomb.Go(func() error {
		a.tomb.Go(a.deadlineLoop)
		a.tomb.Go(a.statusLoop)
		return nil
	})
	return a
}

// Revision returns the newest configuration revision known to the agent, which its
// heartbeats carry.
func (a *Agent) Revision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Revision()
}

// Idle reports whether an entry has no work at this agent. Idle links send heartbeats
// at a longer interval.
func (a *Agent) Idle(entry string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Idle(entry)
}

// Stats returns a snapshot of the slot table.
func (a *Agent) Stats() slots.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Stats(time.Now())
}

// LinkUp adds a link to an entry. An earlier link to the same entry is closed.
func (a *Agent) LinkUp(l Link) {
	a.mu.Lock()
	defer a.unlock()
	now := time.Now()
	if a.ended {
		a.closing = append(a.closing, pendingClose{l, errEnded})
		return
	}
	if !a.table.EntryConnected(l.Name(), l.Incarnation(), now) {
		a.closing = append(a.closing, pendingClose{l, errStale})
		return
	}
	if old := a.links[l.Name()]; old != nil {
		a.views.RemoveLink(l.Name())
		a.closeLink(old, errReplaced)
	}
	state := &linkState{Link: l}
	a.links[l.Name()] = state
	a.send(state, a.announcement())
	if a.stopping {
		a.send(state, &wire.Leave{Reason: stopReason})
	}
	a.flush(now)
}

// LinkDown removes a lost link. It ignores a link that has been replaced.
func (a *Agent) LinkDown(l Link) {
	a.mu.Lock()
	defer a.unlock()
	if a.current(l) == nil {
		return
	}
	now := time.Now()
	delete(a.links, l.Name())
	a.views.RemoveLink(l.Name())
	a.table.EntryDisconnected(l.Name(), now)
	a.flush(now)
}

// current returns the state of a link, or nil if it was replaced or removed.
func (a *Agent) current(l Link) *linkState {
	if state := a.links[l.Name()]; state != nil && state.Link == l {
		return state
	}
	return nil
}

func (a *Agent) announcement() *wire.Announce {
	return &wire.Announce{
		Target:        a.cfg.Target.Name,
		Service:       a.cfg.Target.Service,
		FailureDomain: a.cfg.FailureDomain,
		Region:        a.cfg.Region,
		Labels:        a.cfg.Target.Labels.Merge(a.view.Labels),
		Slots:         uint32(a.cfg.Target.Slots),
		Draining:      a.draining(),
	}
}

func (a *Agent) draining() bool { return a.stopping || a.view.Draining }
