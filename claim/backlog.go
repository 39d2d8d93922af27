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
	// maxRetryDelay bounds the calls of an entry during an outage to about one a
	// second for each recording loop, and less.
	maxRetryDelay = 10 * time.Second
	// maxStaleReads is how long reads may contradict a write before the claim
	// counts as deleted. It keeps claims that were deleted by hand from
	// blocking the recording loops, and is longer than reads are known to lag.
	maxStaleReads = time.Minute
)

// errStaleRead is a read that shows an older version than one that is known.
var errStaleRead = errors.New("claim: the read is stale or the claim was deleted")

// endStateWrite is an end state that is to be recorded.
type endStateWrite struct {
	key      string
	record   Record
	expected uint64 // the version that it replaces, as far as known
	deadline time.Time
	done     chan struct{}
}

// backlog holds the tasks that are not done, at most limit.
type backlog struct {
	queue chan *endStateWrite

	mu      sync.Mutex
	pending int
	stopped bool
	idle    chan struct{} // closed once stopped and without pending tasks
}

func newBacklog(limit int) *backlog {
	return &backlog{queue: make(chan *endStateWrite, limit), idle: make(chan struct{})}
}

// add queues a task and reports whether it was taken.
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

// stop refuses further tasks and returns a channel that is closed when no task
// is pending.
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

// enqueueEndState queues an end state. A task that finds no room is given up: its claim
// stays as it is, which refuses later submissions but never runs one twice.
func (c *Manager) enqueueEndState(t *endStateWrite) <-chan struct{} {
	t.done = make(chan struct{})
	t.deadline = time.Now().Add(c.options.Retention)
	if !c.backlog.add(t) {
		c.abandon(t, "the backlog is full or stopped")
		close(t.done)
	}
	return t.done
}

// abandonQueued gives up the tasks that are left after the loops have ended.
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

// recordLoop records one end state after the other. During an outage each loop
// waits with its own task, so that the calls after it stay few.
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

// recordWithRetry tries to record an end state until it is recorded, has no more use, or
// the retention time is over.
func (c *Manager) recordWithRetry(ctx context.Context, t *endStateWrite) {
	limit := initialRetryDelay
	var stale time.Time // since when reads contradict the writes
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

// tryRecord makes one attempt to record an end state. It returns nil when nothing
// is left to do.
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
			// The next attempt meets a write that was applied as a conflict.
			return err
		}
		done, err := c.resolveConflict(ctx, t)
		if done || err != nil {
			return err
		}
	}
	return err
}

// resolveConflict finds out why a task's write met another version. Done tells that
// nothing is left to do; otherwise the task expects the version that was read.
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
		// Someone else's: the claim never came to be, or was taken over after
		// this end state was recorded.
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

// sleep waits and reports whether to go on.
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
