package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/standin"
)

// evacuationBound is the time from the store's acknowledgement of an evacuation until the last start
// in the domain: 5 s, and 6 s more where the store turns processes away, which the faults do.
const evacuationBound = 11 * time.Second

// evacuate requests and revokes evacuations, one at a time, until ctx ends. Most last longer than the
// bound.
func (b *testbed) evacuate(ctx context.Context, rnd *rand.Rand) {
	for sleep(ctx, time.Duration(rnd.IntN(2000))*time.Millisecond) {
		domain := b.runChecker.domains[pick(rnd, b.sidecars).target]
		lasts := time.Duration(5000+rnd.IntN(10000)) * time.Millisecond
		if !b.retryStore(ctx, func(ctx context.Context, store kv.Store) error { return requestEvacuation(ctx, store, domain) }) {
			return
		}
		b.runChecker.setEvacuated(domain, time.Now())
		b.log.Info("domain evacuated", zap.String("domain", domain), zap.Duration("lasts", lasts))
		sleep(ctx, lasts)
		b.runChecker.setEvacuated(domain, time.Time{})
		b.retryStore(b.ctx, func(ctx context.Context, store kv.Store) error { return revokeEvacuation(ctx, store, domain) })
		b.log.Info("evacuation revoked", zap.String("domain", domain))
	}
}

// retryStore repeats a change until the store acknowledges it, and reports false if ctx ends before.
func (b *testbed) retryStore(ctx context.Context, change func(context.Context, kv.Store) error) bool {
	store := b.store.Local()
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := change(call, store)
		cancel()
		if err == nil || !sleep(ctx, pollInterval) {
			return err == nil
		}
	}
}

func requestEvacuation(ctx context.Context, store kv.Store, domain string) error {
	_, err := store.CompareAndSwap(ctx, platform.EvacuationPrefix+domain, 0, []byte(`{}`), 0)
	if errors.Is(err, kv.ErrConflict) {
		return nil // an earlier attempt has taken effect
	}
	return err
}

func revokeEvacuation(ctx context.Context, store kv.Store, domain string) error {
	e, err := store.Get(ctx, platform.EvacuationPrefix+domain)
	if errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return store.Delete(ctx, e.Key, e.Version)
}

// setEvacuated records since when a domain is evacuated; zero: it is not.
func (c *runChecker) setEvacuated(domain string, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuated[domain] = since
}

// checkEvacuation checks a start on a target. It must be called with mu held. A target that applies
// requests late may start what was sent before.
func (c *runChecker) checkEvacuation(r *standin.Runner, task string, now time.Time) {
	domain := c.domains[r]
	since := c.evacuated[domain]
	if since.IsZero() || now.Sub(since) <= evacuationBound || r.ApplyingLate() {
		return
	}
	c.addViolation("EVACUATED", "%s starts in domain %s, %v after its evacuation", task, domain, now.Sub(since).Round(time.Millisecond))
}
