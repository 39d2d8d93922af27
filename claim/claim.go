// Package claim records in the store that a non-idempotent request was taken
// on, so that it runs at most once wherever and however often it is submitted.
//
// There is one claim for a job, created by compare-and-swap from an absent key
// before any task may start. Every decision rests on a compare-and-swap; reads
// only choose the next one, so that stale reads cost attempts but no safety.
// A claim is taken over only if its owner recorded that nothing ran. The claim
// of an entry that died stays as it is, since the request may have run.
//
// In the ordinary case a claim costs three writes and no read: the creation, the
// end state, and the deletion after the retention time.
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
	// DefaultRetention is how long a request key is remembered. Users repeat
	// the same requests every morning, under new keys.
	DefaultRetention = 24 * time.Hour
	// DefaultTimeout bounds how long a job waits for its claim: two store calls
	// of 1 s that are lost, and one more.
	DefaultTimeout = 3 * time.Second
	// DefaultMaxInFlight is the number of store calls that one entry makes at a
	// time. At a few milliseconds a call it is more than the store's whole
	// write rate, and few enough that an outage holds up little.
	DefaultMaxInFlight = 16
	// DefaultMaxWaiting bounds the claims that wait for a call.
	DefaultMaxWaiting = 1024
	// DefaultMaxBacklog bounds the memory for end states that are not recorded
	// yet, to some megabytes.
	DefaultMaxBacklog = 10000
	// DefaultMaxRetained bounds the memory for claims to delete later, to some
	// megabytes. The sweep deletes those over it.
	DefaultMaxRetained = 50000
	// DefaultDeletesPerSecond leaves most of the store's several hundred writes
	// a second to claims, with ten entries deleting at once.
	DefaultDeletesPerSecond = 15
	// DefaultSweepInterval is the time between two sweeps of the whole fleet.
	DefaultSweepInterval = time.Hour
)

// Options are the parameters of a Manager. Zero fields take the defaults.
type Options struct {
	Retention        time.Duration
	Timeout          time.Duration // of one claim
	MaxInFlight      int           // store calls at once
	MaxWaiting       int           // claims at once
	MaxBacklog       int           // end states that are not recorded yet
	MaxRetained      int           // ended claims that this entry deletes itself
	DeletesPerSecond int           // also of the sweep
	SweepInterval    time.Duration
	// IsLive reports whether an entry's incarnation is live. Without it, claims
	// of other entries are never deleted.
	IsLive func(wire.Incarnation) bool
	// Scopes lists the services and workspaces whose claims the sweep visits, in
	// lists of a sixteenth of a scope each. Without it, the sweep reads all
	// claims in one list, which suits only small stores.
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

// Manager makes and ends the claims of one entry.
type Manager struct {
	store    *limitedStore
	self     wire.Incarnation
	options  Options
	attempts attemptCounter
	random   *random
	waiting  chan struct{}
	backlog  *backlog
	retained *retained
	counters counters
	tomb     tomb.Tomb
}

// New returns the claims of an entry's incarnation.
func New(store kv.Store, self wire.Incarnation, o Options) *Manager {
	o = o.withDefaults()
	return &Manager{
		store:    &limitedStore{inner: store, slots: make(chan struct{}, o.MaxInFlight)},
		self:     self,
		options:  o,
		random:   newRandom(uint64(self)),
		waiting:  make(chan struct{}, o.MaxWaiting),
		backlog:  newBacklog(o.MaxBacklog),
		retained: &retained{limit: o.MaxRetained},
	}
}

// Start starts the loops that record end states and delete old claims.
func (c *Manager) Start() {
	ctx := c.tomb.Context(context.Background())
	for range max(1, c.options.MaxInFlight/2) {
		// Half of the calls stay for new claims, which callers wait for.
		c.tomb.Go(func() error { return c.recordLoop(ctx) })
	}
	c.tomb.Go(func() error { return c.deleteLoop(ctx) })
	if c.options.IsLive != nil {
		c.tomb.Go(func() error { return c.sweepLoop(ctx) })
	}
}

// Stop waits until every end state is recorded or the context ends, then stops
// the loops. Claims made and ended after Stop are not recorded.
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

// AlreadyClaimedError is the error for a request key that an earlier submission holds. It
// wraps a result error with the code AlreadyClaimed.
type AlreadyClaimedError struct {
	Record Record
	err    *result.Error
}

func newClaimed(r Record) *AlreadyClaimedError {
	err := result.Newf(result.AlreadyClaimed, "its state is %q since %s", r.State, r.Time.UTC().Format(time.RFC3339))
	return &AlreadyClaimedError{Record: r, err: err}
}

// Error implements error.
func (e *AlreadyClaimedError) Error() string { return e.err.Error() }

// Unwrap returns the result error.
func (e *AlreadyClaimedError) Unwrap() error { return e.err }

// Claim is a claim that this entry holds. The job may start.
type Claim struct {
	claims  *Manager
	key     string
	record  Record
	version uint64
}

// Finish records the job's end state in the background and returns a channel
// that is closed when that is done or was given up. It is called once, with a
// state other than Running. FailedNotRun permits another submission to run the
// request, so it requires that certainly no task started.
func (c *Claim) Finish(state State) <-chan struct{} {
	r := c.record
	r.State = state
	return c.claims.enqueueEndState(&endStateWrite{key: c.key, record: r, expected: c.version})
}
