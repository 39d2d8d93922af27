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
func (b *backlog) add(w *endStateWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped || b.pending == cap(b.queue) {
		return false
	}
	b.pending++
	b.queue <- w
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
func (c *Manager) enqueueEndState(w *endStateWrite) <-chan struct{} {
	w.done = make(chan struct{})
	w.deadline = time.Now().Add(c.options.Retention)
	if !c.backlog.add(w) {
		c.abandon(w, "the backlog is full or stopped")
		close(w.done)
	}
	return w.done
}

// abandonQueued abandons the writes that are left after the loops have ended.
func (c *Manager) abandonQueued() {
	for {
		select {
		case w := <-c.backlog.queue:
			c.abandon(w, "the entry stopped")
			close(w.done)
		default:
			return
		}
	}
}

func (c *Manager) abandon(w *endStateWrite, reason string) {
	c.counters.abandoned.Add(1)
	c.options.Log.Warn("end state of a claim is not recorded",
		zap.String("key", w.key), zap.String("state", string(w.record.State)), zap.String("reason", reason))
}

// recordLoop writes queued end states one after another. During an outage each loop
// retries only its own write, so that few calls are made.
func (c *Manager) recordLoop(ctx context.Context) error {
	for {
		select {
		case <-c.tomb.Dying():
			return nil
		case w := <-c.backlog.queue:
			c.recordWithRetry(ctx, w)
			close(w.done)
			c.backlog.finish()
		}
	}
}

// recordWithRetry retries a write until it succeeds, is no longer needed, or the
// retention time is over.
func (c *Manager) recordWithRetry(ctx context.Context, w *endStateWrite) {
	limit := initialRetryDelay
	var staleSince time.Time // time of the first in a series of stale reads
	for {
		err := c.tryRecord(ctx, w)
		if err == nil {
			return
		}
		if !errors.Is(err, errStaleRead) {
			staleSince = time.Time{}
		} else if staleSince.IsZero() {
			staleSince = time.Now()
		}
		wait := c.random.between(limit/2, limit)
		limit = min(2*limit, maxRetryDelay)
		next := time.Now().Add(wait)
		deleted := !staleSince.IsZero() && next.Sub(staleSince) > maxStaleReads
		if deleted || next.After(w.deadline) || !c.sleep(wait) {
			c.abandon(w, err.Error())
			return
		}
	}
}

// tryRecord makes one attempt to record an end state. It returns nil if the state is
// recorded or need not be.
func (c *Manager) tryRecord(ctx context.Context, w *endStateWrite) error {
	var err error
	for range maxCASAttempts {
		var version uint64
		w.record.Time = time.Now()
		version, err = c.store.CompareAndSwap(ctx, w.key, w.expected, w.record.encode())
		if err == nil {
			c.markRecorded(w, version)
			return nil
		}
		if !errors.Is(err, kv.ErrConflict) {
			// If the write was applied, the next attempt gets a conflict.
			return err
		}
		done, err := c.resolveConflict(ctx, w)
		if done || err != nil {
			return err
		}
	}
	return err
}

// resolveConflict reads the key after a write conflict. It returns done if nothing is
// left to write; otherwise the next write expects the version that was read.
func (c *Manager) resolveConflict(ctx context.Context, w *endStateWrite) (done bool, err error) {
	e, err := c.store.Get(ctx, w.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return false, err
	}
	if e.Version <= w.expected {
		return false, errStaleRead
	}
	found := decodeRecord(e.Value)
	switch {
	case !found.sameAttempt(w.record):
		// Another attempt holds the key: this claim was never applied, or it was
		// taken over after this end state was recorded.
		return true, nil
	case found.State == w.record.State:
		c.markRecorded(w, e.Version)
		return true, nil
	}
	w.expected = e.Version
	return false, nil
}

func (c *Manager) markRecorded(w *endStateWrite, version uint64) {
	c.counters.recorded.Add(1)
	c.retained.add(endedClaim{key: w.key, version: version, due: time.Now().Add(c.options.Retention)})
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
