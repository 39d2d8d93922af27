// Package sidecar implements the agent beside a target whose runs hold a lease. It accepts
// runs from entries, starts them where the target has room, renews their lease while the
// entries that started them are linked, and reports how they end.
package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Error is the class of errors that this package creates.
var Error = errs.Class("sidecar")

// Defaults of Options.
const (
	// DefaultLease is how long runs continue without this process. It spans four renewals, so
	// that a slow machine loses no runs.
	DefaultLease = 600 * time.Millisecond
	// MaxEntrySilence is how long after an entry was last known to be alive its runs get a full lease. Older
	// proofs get what is left: no lease ends later than MaxEntrySilence and DefaultLease after the proof. The
	// entry's callers send their jobs again, to another entry, 1.3 s after it died at the earliest. By then the
	// last lease has expired, also on a target's clock that is 2% slow, and if no stop gets a response.
	MaxEntrySilence = 500 * time.Millisecond
	// MaxStartSilence is how old the proof of a start's entry may be. A run that starts with less than the
	// shortest lease would most likely end with it.
	MaxStartSilence = MaxEntrySilence + DefaultLease - minStartLease
	// DefaultRenewInterval is the longest time between two polls.
	DefaultRenewInterval = 150 * time.Millisecond
	// DefaultRequestTimeout bounds one request to the target. The target is on the same
	// machine and responds in less than a millisecond; a busy machine may take a tenth of a
	// second.
	DefaultRequestTimeout = 100 * time.Millisecond
	// pollers is the number of polls that wait at the target concurrently, so that a lost
	// response delays the report of an end by backupPollDelay at most.
	pollers = 2
	// backupPollDelay is the delay between the polls of all pollers but the first. Each lost
	// response costs a connection, which limits how often the others should poll.
	backupPollDelay = 40 * time.Millisecond
	// lossyPeriod is how long after a request without a response polls are short and frequent: several times
	// the mean interval of such requests, when a twentieth of a busy target's are lost.
	lossyPeriod = 500 * time.Millisecond
	// lossyPollDelay replaces a longer backupPollDelay meanwhile, and lossyPollWait and lossyPollTimeout the
	// wait of a poll at the target and the time for its response. A lost poll must not delay an end for
	// longer than about half of what the shortest tasks' callers can wait for, 80 ms.
	lossyPollDelay   = 10 * time.Millisecond
	lossyPollWait    = 20 * time.Millisecond
	lossyPollTimeout = 20 * time.Millisecond
	// maxCapacityAge is how long after a report the capacity in it counts as known. Targets report
	// every 1.5 s, and one that has shrunk must not get more than fits from 4.5 s after that.
	maxCapacityAge = 3 * time.Second
	// brokenPollDelay is the delay before the next poll when a connection has broken. If the
	// target's process has ended, that poll shows it.
	brokenPollDelay = 5 * time.Millisecond
	// unresponsiveAfter is the time without a response to any poll after which the target
	// accepts no more runs: every poller has failed once by then.
	unresponsiveAfter = 400 * time.Millisecond
	// clockDriftFactor allows for a target clock that runs up to 2% slow.
	clockDriftFactor = 1.02
	// clockResolution is the resolution of the target's clock in responses.
	clockResolution = time.Millisecond
	// leaseMargin is added to the time after which a lease counts as expired. It allows for the
	// target's timers.
	leaseMargin = 50 * time.Millisecond
	// maxFencingToken bounds the fencing token to integers that every JSON decoder
	// represents exactly.
	maxFencingToken = 1 << 52
	// roomInterval is the shortest time between two messages about free room to an entry, so
	// that several ends cost one message.
	roomInterval = time.Millisecond
	// stopPollWait is how long a poll waits at the target after it acknowledged a stop. Only a
	// listing that was requested after the acknowledgement shows how the run ended, and the
	// short wait lets that end be in it.
	stopPollWait = time.Millisecond
	// firstStopTimeout bounds the first request to stop a run. The capacity of a run that has to end stays
	// in use until a stop is acknowledged. The bound doubles with each request without a response, up to
	// Options.RequestTimeout, so that a busy target has the time to respond.
	firstStopTimeout = 25 * time.Millisecond
	// stopRetryDelay is the delay after a stop request without a response. Five requests fit into a
	// lease, which is not renewed meanwhile.
	stopRetryDelay = 10 * time.Millisecond
	// drainPollInterval is how often a planned stop checks for remaining runs. It is short
	// compared with the shortest runs.
	drainPollInterval = 10 * time.Millisecond
)

// Metrics receives counts and durations. Its methods must not block.
type Metrics interface {
	RunStarted()
	RunEnded(end wire.EndStatus, took time.Duration)
	RequestUnanswered(kind string)
	TargetCrashed()
	StartRefusedEvacuated()
}

// Options configures a Sidecar. Durations that are zero take the defaults.
type Options struct {
	FailureDomain  string
	Service        string // of the target; reports for other services are ignored; empty: not known
	Target         targets.Client
	Log            *zap.Logger
	Metrics        Metrics
	Lease          time.Duration
	RenewInterval  time.Duration
	RequestTimeout time.Duration
	// Paused reports whether this process was suspended since the last call, so that queued
	// messages may be long out of date.
	Paused func() bool
	// SaveReport is called with each change of the target's report. It must not block; nil
	// saves nothing.
	SaveReport func(targets.Report)
}

// Sidecar is a running agent. All methods are safe for concurrent use. One mutex guards its
// state and is held for in-memory work only.
type Sidecar struct {
	opts        Options
	log         *zap.Logger
	tomb        tomb.Tomb
	roomChanged chan struct{} // signals a change of the free room
	pollNow     chan struct{} // signals that a poll is due at once

	mu               sync.Mutex
	table            *runs.Table
	offers           runs.Offers
	nextOffersUpdate time.Time // when the current offer ends
	// lastNeed is the resource need of the last task that was started.
	lastNeed     workload.Resources
	links        map[string]*linkState
	crashes      *crash.History // of the target's processes
	report       targets.Report
	speed        *wire.TargetSpeed // of the target, as an entry last told; nil: not known
	reportUsable bool              // report is from the target itself, or was confirmed by a poll
	coldUntil    time.Time         // the target is slow until then, as it reports
	reportedAt   time.Time         // when the target last reported to this process; zero: not, or the process was paused since
	saidStale    bool              // the entries were told that the capacity is stale
	saidSilent   bool              // it was logged that an entry is silent and the lease is shortened
	restored     bool              // the report is from an earlier process
	// confirmations is the number of reports about which the target is being asked, and confirmedAt
	// is when the last one was confirmed.
	confirmations int
	confirmedAt   time.Time
	startedAt     time.Time // of this process of the agent
	polls         uint64    // number of polls sent
	savedToken    uint64    // fencing token in the last saved report
	stopping      bool
	killed        bool      // Kill was called
	unansweredAt  time.Time // when a request to the target last got no response in time
	target        targetState
	evacuations   evacuation.Current
	saidRefusal   bool // since the last change of the evacuations it was logged that starts are refused
}

// targetState is what is known about the current process of the target.
type targetState struct {
	born         int64 // Unix milliseconds of the start of the target's process
	endedBorn    int64 // start of the target's previous process; 0: not known
	fencingToken uint64
	clock        time.Duration // the target's clock at clockAt
	clockAt      time.Time
	leaseSent    time.Duration // the latest lease end that was sent, on the target's clock
	ackedEnd     uint64        // number of the last processed end
	synced       bool          // the table holds every run that may be on the target
	reachable    bool
	leaves       bool // the process has announced its planned end
	replaced     bool // the target answered that it is another incarnation; its runs were ended
	answeredAt   time.Time
	// answeredPolls is the number of polls that had been sent when the last response was processed.
	answeredPolls uint64
	backoffUntil  time.Time // no start is sent before this time
	// silentRuns are the runs that were given up because the target was silent for longer than
	// their lease. If another process of it responds next, it has crashed under them.
	silentRuns []crash.Suspect
	// orphans is the number of listed runs that the table does not have. They use capacity, so that
	// starts wait for their end.
	orphans int
}

// New returns a sidecar that runs nothing until Start is called.
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
		opts:        o,
		log:         o.Log,
		roomChanged: make(chan struct{}, 1),
		pollNow:     make(chan struct{}, 1),
		table:       runs.New(),
		links:       make(map[string]*linkState),
		crashes:     crash.NewHistory(),
		startedAt:   time.Now(),
	}
}

// Start starts the goroutines that poll the target and advertise its free room.
func (s *Sidecar) Start() {
	s.tomb.Go(func() error {
		s.tomb.Go(func() error { return s.pollLoop(0) })
		for range pollers - 1 {
			s.tomb.Go(func() error { return s.pollLoop(backupPollDelay) })
		}
		s.tomb.Go(s.roomLoop)
		return nil
	})
}

// Kill stops the goroutines and waits for them. The leases of remaining runs expire.
func (s *Sidecar) Kill() error {
	s.mu.Lock()
	s.killed = true
	s.mu.Unlock()
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Drain stops accepting runs, and returns when no run is left or ctx ends.
func (s *Sidecar) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopping = true
	s.broadcastState()
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		remaining := s.table.Len()
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// spawn runs a request to the target in its own goroutine. It must be called with mu held.
func (s *Sidecar) spawn(request func()) {
	if s.killed {
		return
	}
	s.tomb.Go(func() error {
		request()
		return nil
	})
}

// ready reports whether the target may be announced to entries: its report is known and the
// table has every run that is left on it.
func (s *Sidecar) ready() bool { return s.reportUsable && s.target.synced }

// acceptsRuns reports whether new runs can be started on the target.
func (s *Sidecar) acceptsRuns() bool {
	return s.ready() && s.reportIsCurrent() && s.target.reachable && s.target.orphans == 0 && !s.stopping && !s.report.Draining && !s.report.Left
}

// reportIsCurrent reports whether the report is from the process that answers the polls. Another
// process under the same id may be of another kind or size.
func (s *Sidecar) reportIsCurrent() bool {
	return s.target.born == 0 || s.report.Born == 0 || s.target.born == s.report.Born
}

// broadcastState tells the entries the target's state. An entry that knows nothing of the target on
// its link is told only when it may be announced: the first state also says that nothing is left
// of an earlier process.
func (s *Sidecar) broadcastState() {
	for _, state := range s.links {
		if state.announced || s.ready() {
			s.sendState(state)
		}
	}
}

func (s *Sidecar) sendState(state *linkState) {
	state.advertised = s.roomFor(state)
	s.saidStale = s.capacityStale(time.Now())
	m := &wire.TargetState{
		Target:        s.report.Target,
		Service:       s.report.Service,
		FailureDomain: s.opts.FailureDomain,
		Labels:        s.report.Labels,
		Capacity:      s.report.Capacity,
		Room:          state.advertised,
		Closed:        !s.acceptsRuns() || state.retiring,
		Born:          s.target.born,
		CapacityStale: s.saidStale,
		Speed:         s.speed,
		ColdLeft:      max(0, time.Until(s.coldUntil)),
	}
	if !state.announced {
		state.announced = true
		m.Runs = s.table.RunsOf(ownerOf(state.link))
	}
	s.send(state, m)
}

func (s *Sidecar) send(state *linkState, m wire.Message) {
	// Sending fails only on a closed link, for which LinkDown follows.
	_ = state.link.Send(m)
}

// Stats describes the current load of a sidecar.
type Stats struct {
	Runs, Links int
	Free        workload.Resources
	Accepting   bool
	Evacuations *evacuation.State // nil: not known
}

// Stats returns a consistent snapshot of the current load.
func (s *Sidecar) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Runs: s.table.Len(), Links: len(s.links), Free: s.table.Free(), Accepting: s.acceptsRuns(), Evacuations: s.evacuations.Load()}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
