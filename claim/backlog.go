package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
)

const (
	initialRetryDelay = 500 * time.Millisecond
	// maxRetryDelay keeps the calls of an entry during an outage low: about one a
	// second, or less, for each recording loop.
	maxRetryDelay = 10 * time.Second
	// maxStaleReads is how long reads may contradict a write before the claim is
	// considered deleted. It keeps manually deleted claims from blocking the
	// recording loops, and exceeds the known lag of reads.
	maxStaleReads = time.Minute
)

// errStaleRead reports a read that returned no later version than the expected one.
var errStaleRead = errors.New("claim: the read is stale or the claim was deleted")

// endStateWrite is a pending write of a claim's end state.
type endStateWrite struct {
	key      string
	record   Record
	expected uint64 // latest known version of the key, which the write replaces
	deadline time.Time
	done     chan struct{}
}

// backlog holds the pending end state writes, at most the capacity of queue.
type backlog struct {
	queue chan *endStateWrite

	mu      sync.Mutex
	pending int
	stopped bool
	idle    chan struct{} // closed once stopped and without pending writes
}

func newBacklog(limit int) *backlog {
	return &backlog{queue: make(chan *endStateWrite, limit), idle: make(chan struct{})}
}

// add queues a write. It returns false if the backlog is full or stopped.
func (b *backlog) add(t *endStateWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.pending == cap(b.queue) {
		return false
	}
	b.pending++
	b.queue <- t
	return true
}

func (b *backlog) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending--
	b.closeIfIdle()
}

// stop rejects further writes and returns a channel that is closed when none is
// pending.
func (b *backlog) stop() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		b.stopped = true
		b.closeIfIdle()
	}
	return b.idle
}

func (b *backlog) closeIfIdle() {
	if b.stopped && b.pending == 0 {
		close(b.idle)
	}
}

func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending
}

// enqueueEndState queues a write of an end state. If the backlog is full, the write
// is abandoned and the claim keeps its state: later submissions are refused, but none
// runs twice.
func (c *Manager) enqueueEndState(t *endStateWrite) <-chan struct{} {
	t.done = make(chan struct{})
	t.deadline = time.Now().Add(c.options.Retention)
	if !c.backlog.add(t) {
		c.abandon(t, "the backlog is full or stopped")
		close(t.done)
	}
	return t.done
}

// abandonQueued abandons the writes that are left after the loops have ended.
func (c *Manager) abandonQueued() {
	for {
		select {
		case t := <-c.backlog.queue:
			c.abandon(t, "the entry stopped")
			close(t.done)
		default:
			return
		}
	}
}

func (c *Manager) abandon(t *endStateWrite, reason string) {
	c.counters.abandoned.Add(1)
	c.options.Log.Warn("end state of a claim is not recorded",
		zap.String("key", t.key), zap.String("state", string(t.record.State)), zap.String("reason", reason))
}

// recordLoop writes queued end states one after another. During an outage each loop
// retries only its own write, so that few calls are made.
func (c *Manager) recordLoop(ctx context.Context) error {
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case t := <-c.backlog.queue:
			c.recordWithRetry(ctx, t)
			close(t.done)
			c.backlog.finish()
		}
	}
}

// recordWithRetry retries a write until it succeeds, is no longer needed, or the
// retention time is over.
func (c *Manager) recordWithRetry(ctx context.Context, t *endStateWrite) {
	limit := initialRetryDelay
	var stale time.Time // time of the first in a series of stale reads
	for {
		err := c.tryRecord(ctx, t)
		if err == nil {
			return
		}
		if !errors.Is(err, errStaleRead) {
			stale = time.Time{}
		} else if stale.IsZero() {
			stale = time.Now()
		}
		wait := c.random.between(limit/2, limit)
		limit = min(2*limit, maxRetryDelay)
		next := time.Now().Add(wait)
		deleted := !stale.IsZero() && next.Sub(stale) > maxStaleReads
		if deleted || next.After(t.deadline) || !c.sleep(wait) {
			c.abandon(t, err.Error())
			return
		}
	}
}

// tryRecord makes one attempt to record an end state. It returns nil if the state is
// recorded or need not be.
func (c *Manager) tryRecord(ctx context.Context, t *endStateWrite) error {
	var err error
	for range maxCASAttempts {
		var version uint64
		t.record.Time = time.Now()
		version, err = c.store.CompareAndSwap(ctx, t.key, t.expected, t.record.encode())
		if err == nil {
			c.markRecorded(t, version)
			return nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			// If the write was applied, the next attempt gets a conflict.
			return err
		}
		done, err := c.resolveConflict(ctx, t)
		if done || err != nil {
			return err
		}
	}
	return err
}

// resolveConflict reads the key after a write conflict. It returns done if nothing is
// left to write; otherwise the next write expects the version that was read.
func (c *Manager) resolveConflict(ctx context.Context, t *endStateWrite) (done bool, err error) {
	e, err := c.store.Get(ctx, t.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false, err
	}
	if e.Version <= t.expected {
		return false, errStaleRead
	}
	found := decodeRecord(e.Value)
	switch {
	case !found.sameAttempt(t.record):
		// Another attempt holds the key: this claim was never applied, or it was
		// taken over after this end state was recorded.
		return true, nil
	case found.State == t.record.State:
		c.markRecorded(t, e.Version)
		return true, nil
	}
	t.expected = e.Version
	return false, nil
}

func (c *Manager) markRecorded(t *endStateWrite, version uint64) {
	c.counters.recorded.Add(1)
	c.retained.add(endedClaim{key: t.key, version: version, due: time.Now().Add(c.options.Retention)})
}

// sleep waits for d and returns false if the Manager is stopping.
func (c *Manager) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.tomb.Dying():
		return false
	case <-timer.C:
		return true
	}
}
