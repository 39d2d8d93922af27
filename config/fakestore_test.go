package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/catkinline/catkinline/kv"
)

// fault is the fault injected into one write.
type fault int

const (
	healthy      fault = iota
	responseLost       // applied, but the caller gets ErrUnknown
	writeLost          // not applied, and the caller gets ErrUnknown
	writeDelayed       // applied only after the caller got ErrUnknown
	writeRefused       // not applied, and the caller gets ErrUnavailable
)

// fakeStore is an in-memory store of one key with injected faults.
type fakeStore struct {
	kv.Store // methods that the package must not call are nil

	mu           sync.Mutex
	history      []kv.Entry    // every written version
	changed      chan struct{} // closed by the next write
	down         bool
	silent       bool          // watches neither return changes nor fail
	emptyWatches bool          // watches return at once, without a change
	faults       []fault       // of the next writes, one each
	staleReads   int           // number of reads that still return the version before the latest
	writeDelay   time.Duration // time until a writeDelayed write is applied
	watching     int
	maxWatching  int // of watching
	calls        int
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), writeDelay: 80 * time.Millisecond}
}

// withLock calls change with mu held.
func (s *fakeStore) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// latest returns the current version, or the one before it for a read that is stale. The
// caller must hold mu.
func (s *fakeStore) latest(read bool) (kv.Entry, bool) {
	n := len(s.history)
	if read && s.staleReads > 0 {
		s.staleReads--
		n--
	}
	if n <= 0 {
		return kv.Entry{Key: Key}, false
	}
	return s.history[n-1], true
}

func (s *fakeStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return kv.Entry{}, kv.ErrUnavailable
	}
	e, ok := s.latest(true)
	if !ok {
		return e, kv.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	e, err := s.Get(ctx, prefix)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return []kv.Entry{e}, e.Version, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, _ kv.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	var f fault
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	switch {
	case s.down || f == writeRefused:
		return 0, fmt.Errorf("fake: %w", kv.ErrUnavailable)
	case f == writeLost:
		return 0, kv.ErrUnknown
	case f == writeDelayed:
		time.AfterFunc(s.writeDelay, func() { s.withLock(func() { s.write(expected, value) }) })
		return 0, kv.ErrUnknown
	}
	version, err := s.write(expected, value)
	if f == responseLost {
		return 0, kv.ErrUnknown
	}
	return version, err
}

// write applies a write if the current version is the expected one. The caller must hold mu.
func (s *fakeStore) write(expected uint64, value []byte) (uint64, error) {
	e, _ := s.latest(false)
	if e.Version != expected {
		return 0, kv.ErrConflict
	}
	version := e.Version + 3 // other keys are written in between
	s.history = append(s.history, kv.Entry{Key: Key, Value: value, Version: version})
	close(s.changed)
	s.changed = make(chan struct{})
	return version, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Change, uint64, error) {
	s.mu.Lock()
	s.calls++
	s.watching++
	s.maxWatching = max(s.maxWatching, s.watching)
	defer s.withLock(func() { s.watching-- })
	for {
		e, ok := s.latest(true)
		down, silent, empty, changed := s.down, s.silent, s.emptyWatches, s.changed
		s.mu.Unlock()
		switch {
		case empty:
			return nil, after, nil
		case down:
			return nil, after, kv.ErrUnavailable
		case silent:
			<-ctx.Done()
			return nil, after, ctx.Err()
		case ok && e.Version > after:
			return []kv.Change{{Entry: e}}, e.Version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
		s.mu.Lock()
	}
}

// takeCounts returns the number of calls since the previous takeCounts, and the maximum
// number of concurrent watches so far.
func (s *fakeStore) takeCounts() (calls, peakWatching int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, s.calls = s.calls, 0
	return calls, s.maxWatching
}

// countWrites returns the number of versions that the change with an id wrote.
func (s *fakeStore) countWrites(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.history {
		d, _, _ := ParseStored(e.Version, e.Value)
		if d.Changes[len(d.Changes)-1].ID == id {
			n++
		}
	}
	return n
}

func (s *fakeStore) document() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.latest(false)
	d, _, _ := ParseStored(e.Version, e.Value)
	return d
}
