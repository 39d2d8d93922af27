package config

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// effectTimeout is the time limit of invariant I8, within which a change must be in effect
// everywhere.
const effectTimeout = 4 * time.Second

// writeChange applies a change with the given id and returns its revision.
func writeChange(t *testing.T, store *fakeStore, id string) uint64 {
	t.Helper()
	r := newApplier(store).Edit(t.Context(), id, SetDrain(id, true))
	expectResult(t, id, r, Accepted, 0)
	return r.Revision
}

// Guards against a watcher that stops retrying, reads too often or exceeds effectTimeout when
// the store is down at the start, goes down later, or its watch goes silent.
func TestWatcherFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.down = true
		h := NewHolder()
		w := StartWatcher(store, h, zap.NewNop())
		time.Sleep(time.Minute)
		if calls, _ := store.takeCounts(); calls > 150 {
			t.Errorf("%d calls in a minute of outage, want at most 150", calls)
		}
		for i, fail := range []func(){func() {}, func() { store.silent = true }, func() { store.down = true }} {
			store.withLock(fail)
			time.Sleep(time.Minute)
			store.withLock(func() { store.down = false })
			revision := writeChange(t, store, fmt.Sprint("r", i))
			time.Sleep(effectTimeout)
			if got := h.Current().Revision(); got != revision {
				t.Errorf("revision %d after %v, want %d", got, effectTimeout, revision)
			}
			store.withLock(func() { store.silent = false })
		}
		store.takeCounts()
		time.Sleep(time.Minute)
		if calls, watching := store.takeCounts(); calls > 100 || watching != 1 {
			t.Errorf("%d calls in a quiet minute and %d watches at once, want at most 100 and 1", calls, watching)
		}
		store.withLock(func() { store.emptyWatches = true })
		time.Sleep(time.Minute)
		if calls, _ := store.takeCounts(); calls > 200 {
			t.Errorf("%d calls in a minute of watches that do not wait, want at most 200", calls)
		}
		if err := w.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a stale read or an invalid document that replaces the configuration in
// effect.
func TestWatcherNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		h := NewHolder()
		logged, logs := observer.New(zap.ErrorLevel)
		w := StartWatcher(store, h, zap.New(logged))
		defer func() { _ = w.Stop() }()
		writeChange(t, store, "r1")
		revision := writeChange(t, store, "r2")
		time.Sleep(effectTimeout)
		for range 20 {
			store.withLock(func() { store.staleReads = 3 })
			time.Sleep(time.Second)
			if got := h.Current().Revision(); got != revision {
				t.Fatalf("revision %d, want %d", got, revision)
			}
		}
		store.withLock(func() { store.staleReads = 0; _, _ = store.write(revision, []byte(`{"workspaces": 1}`)) })
		time.Sleep(effectTimeout)
		if s := h.Current(); s.Revision() != revision || !s.Target("r2").Drain {
			t.Errorf("an invalid document replaced revision %d", revision)
		}
		if n := logs.Len(); n != 1 {
			t.Errorf("the invalid document was logged %d times", n)
		}
	})
}

// Guards against a Refresh that waits for a silent watch, and against one store read for every
// heartbeat that calls Refresh.
func TestRefreshReadsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.silent = true
		h := NewHolder()
		w := StartWatcher(store, h, zap.NewNop())
		defer func() { _ = w.Stop() }()
		synctest.Wait()
		revision := writeChange(t, store, "r1")
		w.Refresh()
		time.Sleep(refreshInterval + time.Millisecond)
		if got := h.Current().Revision(); got != revision {
			t.Errorf("revision %d, want %d", got, revision)
		}
		store.takeCounts()
		for range 1000 {
			w.Refresh()
			time.Sleep(time.Millisecond)
		}
		if calls, _ := store.takeCounts(); calls > 15 {
			t.Errorf("%d calls in a second", calls)
		}
	})
}
