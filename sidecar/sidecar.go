// Package sidecar is the agent beside a target whose runs hold a lease: it takes
// runs from entries, starts them where the target has room, renews their lease
// while the entries that asked for them are there, and reports their ends.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Error is the class of errors of a sidecar.
var Error = errs.Class("sidecar")

// Defaults of Options.
const (
	// DefaultLease is how long runs go on without this process. Four renewals fit
	// in, so that a slow machine loses none.
	DefaultLease = 600 * time.Millisecond
	// DefaultRenewInterval is the longest time between two inquiries.
	DefaultRenewInterval = 150 * time.Millisecond
	// DefaultRequestTimeout bounds one order. The target is on the same machine and
	// answers in less than a millisecond; a busy machine may take a tenth of a
	// second.
	DefaultRequestTimeout = 100 * time.Millisecond
	// inquirers is the number of inquiries that wait at the target at once, so
	// that one whose answer is lost delays the news of an end by backupPause only.
	inquirers = 2
	// backupPause is the pause between the inquiries of all inquirers but the
	// first. Each answer that is lost costs a connection, so that the others ask
	// no more often than a late end is worth.
	backupPause = 40 * time.Millisecond
	// silenceLimit is how long no inquiry may be answered before the target takes
	// no more runs: all inquirers have failed once.
	silenceLimit = 400 * time.Millisecond
	// clockSlack is by how much the target's clock may be slow.
	clockSlack = 1.02
	// maxFence bounds the token to what every JSON reader takes for a whole number.
	maxFence = 1 << 52
	// roomInterval is the shortest time between two messages about room to an
	// entry, so that several ends cost one message.
	roomInterval = time.Millisecond
	// stopWait is how long an inquiry waits after a stop was acknowledged: only a
	// listing that was asked for later decides, so that some time has to pass.
	stopWait = time.Millisecond
	// stopPause is the time between two orders to stop a run.
	stopPause = 100 * time.Millisecond
	// drainPoll is how often a planned stop looks whether runs are left: short
	// against the shortest runs.
	drainPoll = 10 * time.Millisecond
)

// Link is a connection to one entry. Send never blocks.
type Link interface {
	Send(wire.Message) error
	Name() string
	Incarnation() wire.Incarnation
	Close(error) error
}

// Metrics receives counters. Its methods must not block.
type Metrics interface {
	RunStarted()
	RunEnded(end wire.End, took time.Duration)
	RequestUnanswered(kind string)
}

// Options configure a Sidecar. Zero durations take the defaults.
type Options struct {
	FailureDomain  string
	Target         targets.Client
	Log            *zap.Logger
	Metrics        Metrics
	Lease          time.Duration
	RenewInterval  time.Duration
	RequestTimeout time.Duration
	// Paused reports whether this process has stood still since the last call and
	// may be handling messages that are long out of date.
	Paused func() bool
	// SaveReport is told of each change of the target's report; nil keeps nothing.
	SaveReport func(targets.Report)
}

// linkState is a link and what was told on it.
type linkState struct {
	link  Link
	seen  uint64 // starts received
	told  wire.Room
	stale bool // starts on it may be out of date
}

// Sidecar is a running agent. One mutex guards its state and is held for
// in-memory work only.
type Sidecar struct {
	opts Options
	log  *zap.Logger
	tomb tomb.Tomb
	room chan struct{} // room has changed
	wake chan struct{} // an inquiry is due at once

	mu       sync.Mutex
	table    *runs.Table
	offers   runs.Offers
	offersAt time.Time // when the offers change by themselves
	// usualNeed is the need of the last task that was started.
	usualNeed workload.Resources
	links     map[string]*linkState
	report    targets.Report
	reported  bool // report may be used
	recalled  bool // report is from an earlier process
	stopping  bool
	ended     bool
	target    targetState
}

// targetState is what is known of the target's current life.
type targetState struct {
	born      int64
	fence     uint64
	clock     time.Duration // on the target's clock
	clockAt   time.Time
	seen      uint64 // number of the last end that was taken note of
	synced    bool   // the table holds everything that may be on the target
	reachable bool
	replaced  bool // it answered that it is another incarnation
	answered  time.Time
	pause     time.Time // no start before, since the target refused one
}

// New returns a sidecar that Start starts.
func New(o Options) *Sidecar {
	options.Default(&o.Lease, DefaultLease)
	options.Default(&o.RenewInterval, DefaultRenewInterval)
	options.Default(&o.RequestTimeout, DefaultRequestTimeout)
	if o.Paused == nil {
		o.Paused = func() bool { return false }
	}
	if o.SaveReport == nil {
		o.SaveReport = func(targets.Report) {}
	}
	return &Sidecar{
		opts:  o,
		log:   o.Log,
		room:  make(chan struct{}, 1),
		wake:  make(chan struct{}, 1),
		table: runs.New(),
		links: make(map[string]*linkState),
	}
}

// Start starts the loops.
func (s *Sidecar) Start() {
	s.tomb.Go(func() error {
		s.tomb.Go(func() error { return s.inquireLoop(0) })
		for range inquirers - 1 {
			s.tomb.Go(func() error { return s.inquireLoop(backupPause) })
		}
		s.tomb.Go(s.roomLoop)
		return nil
	})
}

// Kill ends the loops. Runs that are left lose their lease.
func (s *Sidecar) Kill() error {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Drain takes no new run, and returns when none is left or ctx ends.
func (s *Sidecar) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.tellState()
	s.mu.Unlock()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		left := s.table.Len()
		s.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// spawn runs an order in its own goroutine. It must be called with mu held.
func (s *Sidecar) spawn(order func()) {
	if s.ended {
		return
	}
	s.tomb.Go(func() error {
		order()
		return nil
	})
}

// LinkUp adds a link to an entry. An earlier link to the same entry is closed.
func (s *Sidecar) LinkUp(l Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Paused() {
		s.distrustLinks() // before the new link is one of them
	}
	if old := s.links[l.Name()]; old != nil {
		s.dropLink(old, "replaced by a newer link")
		_ = old.link.Close(nil)
	}
	state := &linkState{link: l}
	s.links[l.Name()] = state
	s.log.Info("entry linked", zap.String("entry", l.Name()), zap.Uint64("incarnation", uint64(l.Incarnation())))
	if s.ready() {
		s.sendState(state)
	}
}

// LinkDown removes a link that was lost and stops the runs that came over it: the
// entry starts them elsewhere.
func (s *Sidecar) LinkDown(l Link, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.links[l.Name()]
	if state == nil || state.link != l {
		return
	}
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	delete(s.links, l.Name())
	s.dropLink(state, reason)
}

func (s *Sidecar) dropLink(state *linkState, reason string) {
	owner := ownerOf(state.link)
	s.offers.Remove(owner)
	signal(s.room)
	lost := s.table.Select(func(r *runs.Run) bool { return r.Owner == owner })
	s.log.Info("entry link ended", zap.String("entry", owner.Name), zap.String("reason", reason), zap.Int("runs", len(lost)))
	for _, r := range lost {
		s.stop(r, "the link to its entry ended")
	}
}

func ownerOf(l Link) runs.Owner { return runs.Owner{Name: l.Name(), Incarnation: l.Incarnation()} }

// Idle reports whether no run of a link's entry is here. Nothing has to be stopped
// when such a link goes silent, so that it may be noticed later.
func (s *Sidecar) Idle(l Link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.table.HasRunsOf(ownerOf(l))
}

// ready reports whether entries may be told of the target: its report is known
// and nothing is left on it that is not in the table.
func (s *Sidecar) ready() bool { return s.reported && s.target.synced }

// open reports whether the target takes runs.
func (s *Sidecar) open() bool {
	return s.ready() && s.target.reachable && !s.stopping && !s.report.Draining && !s.report.Left
}

func (s *Sidecar) tellState() {
	if !s.ready() {
		return
	}
	for _, state := range s.links {
		s.sendState(state)
	}
}

func (s *Sidecar) sendState(state *linkState) {
	state.told = s.roomFor(state)
	s.send(state, &wire.TargetState{
		Target:        s.report.Target,
		Service:       s.report.Service,
		FailureDomain: s.opts.FailureDomain,
		Labels:        s.report.Labels,
		Capacity:      s.report.Capacity,
		Room:          state.told,
		Closed:        !s.open(),
	})
}

// roomFor is the room that an entry is told of: none while it is kept for an
// entry with more urgent work.
func (s *Sidecar) roomFor(state *linkState) wire.Room {
	if !s.offers.VisibleTo(ownerOf(state.link)) {
		return wire.Room{Seen: state.seen}
	}
	return wire.Room{Free: s.table.Free(), Seen: state.seen}
}

func (s *Sidecar) send(state *linkState, m wire.Message) {
	// A send fails only on a link that is closed; LinkDown follows.
	_ = state.link.Send(m)
}

// Stats is what a sidecar has in hand.
type Stats struct {
	Runs, Links int
	Free        workload.Resources
	Accepting   bool
}

// Stats returns what the sidecar has in hand.
func (s *Sidecar) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Runs: s.table.Len(), Links: len(s.links), Free: s.table.Free(), Accepting: s.open()}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// roomLoop tells the entries what is free.
func (s *Sidecar) roomLoop() error {
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-s.room:
		}
		s.tellRoom()
		select {
		case <-s.tomb.Dying():
			return nil
		case <-time.After(roomInterval):
		}
	}
}

// updateOffers decides who sees the room that is free now, before anybody is told
// of it.
func (s *Sidecar) updateOffers() {
	now := time.Now()
	again := s.offers.Update(s.table.Free(), now)
	if again.IsZero() || again.Equal(s.offersAt) {
		return
	}
	s.offersAt = again
	time.AfterFunc(again.Sub(now), func() { signal(s.room) })
}

func (s *Sidecar) tellRoom() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready() {
		return
	}
	s.updateOffers()
	for _, state := range s.links {
		room := s.roomFor(state)
		if !s.offers.ShouldNotify(ownerOf(state.link), state.told.Free, room.Free, s.usualNeed) {
			continue
		}
		state.told = room
		s.send(state, &room)
	}
}
