// Package member maintains an entry's lease in the store and publishes which other
// entries are live.
package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/wire"
)

// Prefix is the key prefix of entries. A key is Prefix + name.
const Prefix = "entries/"

// Defaults of Options.
const (
	// DefaultLeaseTTL is how long a dead entry stays listed.
	DefaultLeaseTTL = 10 * time.Second
	// DefaultRenewInterval leaves time for two more attempts before the lease ends.
	DefaultRenewInterval = 3 * time.Second
	// DefaultMaxBackoff spreads the entries' calls after a long outage: each returns
	// at a random time within this span, so that a fleet of 50 makes about 30 calls a
	// second, of the several hundred that the store serves.
	DefaultMaxBackoff = 10 * time.Second
	// DefaultRecoveryGrace is how long an entry that was listed before an outage
	// stays listed after it without its key. It is a multiple of the longest backoff,
	// within which live entries rewrite their keys.
	DefaultRecoveryGrace = time.Minute
	// DefaultReportedTTL is how long an entry stays listed after a report by another
	// process, if neither the store nor a link lists it.
	DefaultReportedTTL = 30 * time.Second
)

const (
	minBackoff = 500 * time.Millisecond
	// minWatchInterval is the minimum time between two watch calls. Without it, every
	// watch would return once for each of many entries that register at the same
	// time.
	minWatchInterval = 500 * time.Millisecond
	expireInterval   = time.Second
	// renewJitter is the fraction by which a renewal is randomly early or late, so
	// that entries started together do not stay synchronized.
	renewJitter = 0.2
)

// Options configure a Membership. Zero fields take the defaults.
type Options struct {
	LeaseTTL      time.Duration
	RenewInterval time.Duration // mean time between renewals
	MaxBackoff    time.Duration // longest delay between attempts while the store fails
	RecoveryGrace time.Duration
	ReportedTTL   time.Duration
	// ObserveOnly tracks the entries without registering as one.
	ObserveOnly bool
	Log         *zap.Logger
}

func (o Options) withDefaults() Options {
	options.Default(&o.LeaseTTL, DefaultLeaseTTL)
	options.Default(&o.RenewInterval, DefaultRenewInterval)
	options.Default(&o.MaxBackoff, DefaultMaxBackoff)
	options.Default(&o.RecoveryGrace, DefaultRecoveryGrace)
	options.Default(&o.ReportedTTL, DefaultReportedTTL)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

// Membership registers one entry and tracks the others. It is safe for concurrent
// use.
type Membership struct {
	store        kv.Store
	self         wire.Peer
	options      Options
	directory    *directory
	registration *registration
	// keyLost makes registerLoop rewrite the entry's key.
	keyLost chan struct{}
	tomb    tomb.Tomb
}

// New returns the Membership of an entry. With a nil store, it lists only linked and
// reported entries.
func New(store kv.Store, self wire.Peer, o Options) *Membership {
	o = o.withDefaults()
	return &Membership{
		store:        store,
		self:         self,
		options:      o,
		directory:    newDirectory(self, o.RecoveryGrace, o.ReportedTTL, o.Log),
		registration: newRegistration(store, self, o.LeaseTTL),
		keyLost:      make(chan struct{}, 1),
	}
}

// Start starts the background loops. It does not wait for the store.
func (m *Membership) Start() {
	ctx := m.tomb.Context(context.Background())
	m.tomb.Go(m.expireLoop)
	if m.store == nil {
		return
	}
	m.tomb.Go(func() error { return m.watchLoop(ctx) })
	if !m.options.ObserveOnly {
		m.tomb.Go(func() error { return m.registerLoop(ctx) })
	}
}

// Stop ends the loops and removes the entry's key by revoking its lease. If that
// fails, the key is removed when the lease expires.
func (m *Membership) Stop(ctx context.Context) error {
	m.tomb.Kill(nil)
	if err := m.tomb.Wait(); err != nil {
		return err
	}
	return m.registration.revoke(ctx)
}

// Snapshot returns the entries that are currently live. It does not block.
func (m *Membership) Snapshot() *Snapshot { return m.directory.snapshot.Load() }

// AddLinked lists a peer until RemoveLinked is called for it. The call is
// ignored if a later incarnation of the peer is linked.
func (m *Membership) AddLinked(p wire.Peer) { m.directory.addLinked(p) }

// RemoveLinked reverts AddLinked for the same incarnation.
func (m *Membership) RemoveLinked(p wire.Peer) { m.directory.removeLinked(p) }

// AddReported lists peers that another process reported, for Options.ReportedTTL.
func (m *Membership) AddReported(peers []wire.Peer) { m.directory.addReported(peers, time.Now()) }

// IsLive reports whether an incarnation is this entry or a listed one.
func (m *Membership) IsLive(i wire.Incarnation) bool {
	return i == m.self.Incarnation || m.Snapshot().hasIncarnation(i)
}

// random returns a source of randomness for one loop, seeded with the incarnation so
// that entries differ.
func (m *Membership) random(loop uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(m.self.Incarnation), loop))
}

const (
	registerSeed = iota + 1
	watchSeed
)

// registerLoop maintains the entry's key under a live lease.
func (m *Membership) registerLoop(ctx context.Context) error {
	wait := newBackoff(m.options.MaxBackoff, m.random(registerSeed))
	for {
		err := m.registration.refresh(ctx)
		m.logRenewal(err, wait.failures)
		delay := jitter(wait.random, m.options.RenewInterval, renewJitter)
		if err != nil {
			delay = wait.next()
		} else {
			wait.reset()
		}
		if !m.sleep(delay, m.keyLost) {
			return nil
		}
	}
}

func (m *Membership) logRenewal(err error, failures int) {
	switch {
	case err != nil && failures == 0 && m.tomb.Alive():
		m.options.Log.Warn("entry lease is not renewed", zap.Error(err))
	case err == nil && failures > 0:
		m.options.Log.Info("entry lease is renewed again", zap.Int("failed_attempts", failures))
	}
}

// watchLoop tracks the keys of the other entries with one pending call.
func (m *Membership) watchLoop(ctx context.Context) error {
	wait := newBackoff(m.options.MaxBackoff, m.random(watchSeed))
	w := watcher{store: m.store, directory: m.directory, lastContact: time.Now(), outageAfter: m.options.LeaseTTL / 2}
	for {
		registered := m.registration.registered.Load()
		err := w.step(ctx)
		delay := jitter(wait.random, minWatchInterval, renewJitter)
		if err != nil {
			delay = wait.next()
		} else {
			wait.reset()
			m.checkOwnKey(registered, w.ownKey)
		}
		if !m.sleep(delay, nil) {
			return nil
		}
	}
}

// checkOwnKey makes registerLoop rewrite the entry's key if it is gone although its
// lease may be live, for example because the key was deleted manually. Registered is
// whether the key was registered before the call that reported present.
func (m *Membership) checkOwnKey(registered, present bool) {
	if present || !registered {
		return
	}
	m.registration.registered.Store(false)
	select {
	case m.keyLost <- struct{}{}:
	default:
	}
}

func (m *Membership) expireLoop() error {
	for m.sleep(expireInterval, nil) {
		m.directory.expire(time.Now())
	}
	return nil
}

// sleep waits for d, or until wake receives a value. It returns false if the
// Membership is stopping.
func (m *Membership) sleep(d time.Duration, wake <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-m.tomb.Dying():
		return false
	case <-wake:
	case <-t.C:
	}
	return true
}

// watcher is the state of the watch loop.
type watcher struct {
	store       kv.Store
	directory   *directory
	listed      bool
	revision    uint64
	ownKey      bool          // the entry's own key is present
	lastContact time.Time     // time of the last response
	outageAfter time.Duration // time without a response after which leases may have expired without renewal
}

// step makes one call: a list initially and after every error, else a watch.
func (w *watcher) step(ctx context.Context) error {
	if !w.listed {
		return w.list(ctx)
	}
	changes, revision, err := w.store.Watch(ctx, Prefix, w.revision)
	if err != nil {
		w.listed = false
		return err
	}
	w.revision = revision
	w.lastContact = time.Now()
	w.ownKey = w.directory.apply(changes, w.ownKey)
	return nil
}

func (w *watcher) list(ctx context.Context) error {
	entries, revision, err := w.store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	w.ownKey = w.directory.replace(entries, now, now.Sub(w.lastContact) >= w.outageAfter)
	w.listed = true
	w.revision = revision
	w.lastContact = now
	return nil
}

// errSuperseded reports that a later incarnation is registered under the entry's
// name.
var errSuperseded = errors.New("member: a later incarnation holds the entry's name")

// List returns the entries registered in the store, for processes that do not track
// them.
func List(ctx context.Context, store kv.Store) ([]wire.Peer, error) {
	entries, _, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	var peers []wire.Peer
	for _, e := range entries {
		if p, err := decodePeer(e); err == nil { // the entries log those that are none
			peers = append(peers, p)
		}
	}
	return peers, nil
}
