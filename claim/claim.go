// Package claim records non-idempotent requests in the store, so that each runs at
// most once no matter where and how often it is submitted.
//
// A job has one claim, created by compare-and-swap from an absent key before any of
// its tasks may start. Every decision is made by a compare-and-swap; reads only
// select the next one, so that stale reads cost attempts but not safety. A claim is
// taken over only if its owner recorded that nothing ran. The claim of an entry that
// died is kept, since the request may have run.
//
// Normally a claim costs three writes and no read: the creation, the end state, and
// the deletion after the retention time.
package claim

import (
	"context"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/wire"
)

// Defaults of Options.
const (
	// DefaultRetention is how long a request key is remembered. A day suffices, since
	// users repeat their requests every morning under new keys.
	DefaultRetention = 24 * time.Hour
	// DefaultTimeout bounds how long a job waits for its claim: two lost store calls
	// of 1 s each, and one more call.
	DefaultTimeout = 3 * time.Second
	// DefaultMaxInFlight is the number of concurrent store calls of one entry. At a
	// few milliseconds per call it exceeds the write rate of the store, and it is low
	// enough to limit the work held up by an outage.
	DefaultMaxInFlight = 16
	// DefaultMaxWaiting bounds the number of claims in progress.
	DefaultMaxWaiting = 1024
	// DefaultMaxBacklog bounds the memory for unrecorded end states to a few
	// megabytes.
	DefaultMaxBacklog = 10000
	// DefaultMaxRetained bounds the memory for claims to be deleted later to a few
	// megabytes. The sweep deletes claims beyond it.
	DefaultMaxRetained = 50000
	// DefaultDeletesPerSecond leaves most of the store's several hundred writes per
	// second to claims when ten entries delete at once.
	DefaultDeletesPerSecond = 15
	// DefaultSweepInterval is the time between two sweeps across the whole fleet.
	DefaultSweepInterval = time.Hour
)

// Options configure a Manager. Zero fields take the defaults.
type Options struct {
	Retention        time.Duration
	Timeout          time.Duration // of one claim
	MaxInFlight      int           // concurrent store calls
	MaxWaiting       int           // concurrent calls of Claim
	MaxBacklog       int           // unrecorded end states
	MaxRetained      int           // ended claims that this entry remembers in order to delete them
	DeletesPerSecond int           // limit for expired claims and, separately, for the sweep
	SweepInterval    time.Duration
	// IsLive reports whether an entry's incarnation is live. If it is nil, claims of
	// other entries are never deleted.
	IsLive func(wire.Incarnation) bool
	// Scopes returns the services and workspaces whose claims the sweep visits, with
	// sixteen list calls per scope. If it is nil, the sweep reads all claims in one
	// list call, which suits only small stores.
	Scopes func() []Scope
	Log    *zap.Logger
}

func (o Options) withDefaults() Options {
	options.Default(&o.Retention, DefaultRetention)
	options.Default(&o.Timeout, DefaultTimeout)
	options.Default(&o.MaxInFlight, DefaultMaxInFlight)
	options.Default(&o.MaxWaiting, DefaultMaxWaiting)
	options.Default(&o.MaxBacklog, DefaultMaxBacklog)
	options.Default(&o.MaxRetained, DefaultMaxRetained)
	options.Default(&o.DeletesPerSecond, DefaultDeletesPerSecond)
	options.Default(&o.SweepInterval, DefaultSweepInterval)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

// Manager creates and ends the claims of one entry. It is safe for concurrent use.
type Manager struct {
	store       *limitedStore
	incarnation wire.Incarnation
	options     Options
	attempts    attemptCounter
	random      *random
	waiting     chan struct{}
	backlog     *backlog
	retained    *retained
	counters    counters
	tomb        tomb.Tomb
}

// New returns the Manager of an entry's incarnation. Start must be called for end
// states to be recorded.
func New(store kv.Store, self wire.Incarnation, o Options) *Manager {
	o = o.withDefaults()
	return &Manager{
		store:       &limitedStore{inner: store, slots: make(chan struct{}, o.MaxInFlight)},
		incarnation: self,
		options:     o,
		random:      newRandom(uint64(self)),
		waiting:     make(chan struct{}, o.MaxWaiting),
		backlog:     newBacklog(o.MaxBacklog),
		retained:    &retained{limit: o.MaxRetained},
	}
}

// Start starts the background loops, which record end states, delete old claims and,
// with Options.IsLive, sweep the claims of dead entries.
func (c *Manager) Start() {
	ctx := c.tomb.Context(context.Background())
	for range max(1, c.options.MaxInFlight/2) {
		// Half of the limit on concurrent store calls is left to new claims, since
		// callers wait for those.
		c.tomb.Go(func() error { return c.recordLoop(ctx) })
	}
	c.tomb.Go(func() error { return c.deleteLoop(ctx) })
	if c.options.IsLive != nil {
		c.tomb.Go(func() error { return c.sweepLoop(ctx) })
	}
}

// Stop waits until every end state is recorded or ctx ends, then stops the loops. End
// states passed to Finish after Stop are not recorded.
func (c *Manager) Stop(ctx context.Context) error {
	idle := c.backlog.stop()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	c.tomb.Kill(nil)
	err := c.tomb.Wait()
	c.abandonQueued()
	return err
}

// AlreadyClaimedError reports that an earlier submission holds the request key. It
// wraps a *result.Error with the code AlreadyClaimed.
type AlreadyClaimedError struct {
	Record Record
	err    *result.Error
}

func newAlreadyClaimedError(r Record) *AlreadyClaimedError {
	err := result.Newf(result.AlreadyClaimed, "its state is %q since %s", r.State, r.Time.UTC().Format(time.RFC3339))
	return &AlreadyClaimedError{Record: r, err: err}
}

// Error implements error.
func (e *AlreadyClaimedError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped *result.Error.
func (e *AlreadyClaimedError) Unwrap() error { return e.err }

// Claim is a claim held by this entry. While it is held, the job may start.
type Claim struct {
	manager *Manager
	key     string
	record  Record
	version uint64
}

// Finish records the job's end state in the background and returns a channel that is
// closed when the state is recorded or abandoned. It must be called at most once,
// with a state other than Running. FailedNotRun lets another submission run the
// request, so it may be passed only if no task can have started.
func (c *Claim) Finish(state State) <-chan struct{} {
	r := c.record
	r.State = state
	return c.manager.enqueueEndState(&endStateWrite{key: c.key, record: r, expected: c.version})
}
