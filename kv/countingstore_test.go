package kv

import (
	"context"
	"testing"
	"testing/synctest"
)

// blockingStore is a Store whose Watch blocks until release is closed.
type blockingStore struct {
	Store
	release chan struct{}
}

func (s blockingStore) Watch(context.Context, string, uint64) ([]Change, uint64, error) {
	<-s.release
	return nil, 0, ErrUnavailable
}

// Guards against a pending watch that is missing from the counts or counted twice.
func TestPendingWatchIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCountingStore(blockingStore{release: make(chan struct{})})
		go c.Watch(t.Context(), "p", 0)
		synctest.Wait()
		checkWatchCounts(t, c, map[Outcome]uint64{OutcomePending: 1})
		close(c.inner.(blockingStore).release)
		synctest.Wait()
		checkWatchCounts(t, c, map[Outcome]uint64{OutcomeUnavailable: 1})
		if c.Reads() != 1 || c.Writes() != 0 {
			t.Errorf("%d reads and %d writes, want 1 and 0", c.Reads(), c.Writes())
		}
	})
}

func checkWatchCounts(t *testing.T, c *CountingStore, want map[Outcome]uint64) {
	t.Helper()
	for _, n := range c.Counts() {
		if n.Op == OpWatch && n.Calls != want[n.Outcome] {
			t.Errorf("%s %s: %d calls, want %d", n.Op, n.Outcome, n.Calls, want[n.Outcome])
		}
	}
}
