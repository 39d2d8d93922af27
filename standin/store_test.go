package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
)

func wantError(t *testing.T, what string, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// withStore runs a test on an empty store and a client of it, with a fake clock.
func withStore(t *testing.T, run func(*testing.T, *Store, *LocalStore)) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(StoreOptions{})
		run(t, s, s.Local())
	})
}

// put writes a value and returns its version.
func put(t *testing.T, l kv.Store, key, value string, expected uint64, lease kv.LeaseID) uint64 {
	t.Helper()
	v, err := l.CompareAndSwap(t.Context(), key, expected, []byte(value), lease)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// Guards against lost updates and against versions that don't increase across a
// deletion.
func TestStoreCompareAndSwap(t *testing.T) {
	withStore(t, func(t *testing.T, _ *Store, l *LocalStore) {
		ctx := t.Context()
		v := put(t, l, "k", "a", 0, 0)
		_, err := l.CompareAndSwap(ctx, "k", 0, nil, 0)
		wantError(t, "create over a value", err, kv.ErrConflict)
		wantError(t, "delete an old version", l.Delete(ctx, "k", v+1), kv.ErrConflict)
		wantError(t, "delete", l.Delete(ctx, "k", v), nil)
		wantError(t, "delete an absent key", l.Delete(ctx, "k", 0), kv.ErrConflict)
		if next := put(t, l, "k", "b", 0, 0); next <= v {
			t.Errorf("version %d after %d, want a higher one", next, v)
		}
		_, err = l.CompareAndSwap(ctx, "big", 0, make([]byte, kv.MaxValueBytes+1), 0)
		wantError(t, "too large", err, kv.ErrTooLarge)
	})
}

// Guards against a lease that outlives its time to live, that expires although it was
// renewed, or that deletes a key which has moved to another lease.
func TestStoreLeases(t *testing.T) {
	withStore(t, func(t *testing.T, s *Store, l *LocalStore) {
		ctx := t.Context()
		first, _ := l.GrantLease(ctx, 10*time.Second)
		second, _ := l.GrantLease(ctx, 30*time.Second)
		put(t, l, "stays", "", put(t, l, "stays", "", 0, first), second)
		put(t, l, "goes", "", 0, first)
		time.Sleep(8 * time.Second)
		wantError(t, "renewal", l.KeepAlive(ctx, first), nil)
		time.Sleep(8 * time.Second)
		_, err := l.Get(ctx, "goes")
		wantError(t, "key of a renewed lease", err, nil)
		s.ChangeFaults(StoreFaultChange{Down: new(true)})
		time.Sleep(3 * time.Second)
		s.ChangeFaults(StoreFaultChange{Down: new(false)})
		_, err = l.Get(ctx, "goes")
		wantError(t, "key of a lease that expired while down", err, kv.ErrNotFound)
		_, err = l.Get(ctx, "stays")
		wantError(t, "key on another lease", err, nil)
		wantError(t, "renewal of an expired lease", l.KeepAlive(ctx, first), kv.ErrLeaseNotFound)
		wantError(t, "expire now", s.ChangeFaults(StoreFaultChange{ExpireLeaseOf: "stays"}), nil)
		_, err = l.Get(ctx, "stays")
		wantError(t, "key of an expired lease", err, kv.ErrNotFound)
	})
}

// Guards against a watch that misses a change, returns one of another prefix, or returns
// no error when the store doesn't know the revision.
func TestStoreWatch(t *testing.T) {
	withStore(t, func(t *testing.T, s *Store, l *LocalStore) {
		ctx := t.Context()
		v := put(t, l, "a/1", "x", 0, 0)
		time.AfterFunc(time.Second, func() { put(t, l, "b/1", "", 0, 0) })
		time.AfterFunc(1500*time.Millisecond, func() { l.Delete(ctx, "a/1", v) })
		changes, revision, err := l.Watch(ctx, "a/", v)
		if err != nil || len(changes) != 1 || !changes[0].Deleted || revision != v+2 {
			t.Errorf("%+v at %d, %v", changes, revision, err)
		}
		changes, _, err = l.Watch(ctx, "a/", revision)
		if err != nil || len(changes) != 0 {
			t.Errorf("watch without changes: %+v, %v", changes, err)
		}
		_, _, err = l.Watch(ctx, "a/", revision+1)
		wantError(t, "revision of another store process", err, kv.ErrUnavailable)
		time.AfterFunc(time.Second, func() { s.ChangeFaults(StoreFaultChange{Down: new(true)}) })
		_, _, err = l.Watch(ctx, "a/", revision)
		wantError(t, "watch across the start of an outage", err, kv.ErrUnavailable)
	})
}

// Guards against a fault switch without effect, with which the tests that use it would
// verify nothing.
func TestStoreFaults(t *testing.T) {
	withStore(t, func(t *testing.T, s *Store, l *LocalStore) {
		ctx := t.Context()
		s.ChangeFaults(StoreFaultChange{DropWriteAnswers: new(1)})
		_, err := l.CompareAndSwap(ctx, "dropped", 0, nil, 0)
		wantError(t, "dropped response", err, kv.ErrUnknown)
		_, err = l.Get(ctx, "dropped")
		wantError(t, "write with a dropped response", err, nil)

		s.ChangeFaults(StoreFaultChange{LatencyMS: new(1500)})
		_, err = l.CompareAndSwap(ctx, "late", 0, nil, 0)
		wantError(t, "write slower than the timeout", err, kv.ErrUnknown)
		s.ChangeFaults(StoreFaultChange{LatencyMS: new(0)})
		_, err = l.Get(ctx, "late")
		wantError(t, "slow write before it is applied", err, kv.ErrNotFound)
		time.Sleep(time.Second)
		_, err = l.Get(ctx, "late")
		wantError(t, "slow write after it was applied", err, nil)

		s.ChangeFaults(StoreFaultChange{Hang: new(true)})
		_, err = l.Get(ctx, "late")
		wantError(t, "hanging read", err, kv.ErrUnavailable)
		wantError(t, "hanging write", l.Delete(ctx, "late", 2), kv.ErrUnknown)
		s.ChangeFaults(StoreFaultChange{Hang: new(false)})

		l.SetPartitioned(true)
		wantError(t, "partitioned client", l.Delete(ctx, "late", 2), kv.ErrUnavailable)
		_, err = s.Local().Get(ctx, "late")
		wantError(t, "other client", err, nil)
	})
}

// Guards against stale reads that mix two points in time: the entries and the revision
// of a list must be of the same snapshot, or a watch from that revision misses changes.
func TestStoreStaleReads(t *testing.T) {
	withStore(t, func(t *testing.T, s *Store, l *LocalStore) {
		ctx := t.Context()
		first := put(t, l, "k", "old", 0, 0)
		time.Sleep(time.Minute)
		put(t, l, "k", "new", first, 0)
		put(t, l, "other", "", 0, 0)
		s.ChangeFaults(StoreFaultChange{StaleReadsMS: new(1000)})
		entries, revision, _ := l.List(ctx, "")
		if len(entries) != 1 || string(entries[0].Value) != "old" || revision != first {
			t.Errorf("got %+v at revision %d, want one entry \"old\" at the first revision", entries, revision)
		}
		time.Sleep(2 * time.Second)
		if e, err := l.Get(ctx, "k"); err != nil || string(e.Value) != "new" {
			t.Errorf("got %q, %v, want \"new\"", e.Value, err)
		}
		// Writes drop superseded versions that are too old for stale reads.
		time.Sleep(time.Minute)
		put(t, l, "third", "", 0, 0)
		if n := len(s.state.keys["k"]); n != 1 {
			t.Errorf("%d versions kept, want 1", n)
		}
	})
}

// Guards against a rate limit that admits too many calls or applies those it refuses.
func TestStoreRateLimit(t *testing.T) {
	withStore(t, func(t *testing.T, s *Store, l *LocalStore) {
		s.ChangeFaults(StoreFaultChange{WritesPerSecond: new(100)})
		applied := 0
		for range 1000 {
			_, err := l.CompareAndSwap(t.Context(), "k", s.Revision(), nil, 0)
			if err == nil {
				applied++
			} else {
				wantError(t, "over the rate limit", err, kv.ErrUnavailable)
			}
			time.Sleep(time.Millisecond)
		}
		if applied < 100 || applied > 110 || s.Revision() != uint64(applied) {
			t.Errorf("%d writes applied, revision %d, want the limit of 100 and its burst of 10", applied, s.Revision())
		}
	})
}

// Guards against a store client and a stand-in that disagree on the HTTP protocol.
func TestStoreOverHTTP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	bound := make(chan string, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- RunStore(ctx, "127.0.0.1:0", RunStoreOptions{Listening: func(a net.Addr) { bound <- "http://" + a.String() }})
	}()
	url := <-bound
	// No call runs into this timeout; it is long so that none fails on a busy machine.
	l, err := platform.NewStore(url, platform.StoreOptions{Timeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	lease, err := l.GrantLease(ctx, time.Minute)
	wantError(t, "grant", err, nil)
	v := put(t, l, "a/1", "x", 0, lease)
	wantError(t, "renewal", l.KeepAlive(ctx, lease), nil)
	e, err := l.Get(ctx, "a/1")
	if err != nil || string(e.Value) != "x" || e.Version != v || e.Lease != lease {
		t.Errorf("get: %+v, %v", e, err)
	}
	_, err = l.Get(ctx, "absent")
	wantError(t, "absent", err, kv.ErrNotFound)
	wantError(t, "conflict", l.Delete(ctx, "a/1", v-1), kv.ErrConflict)
	wantError(t, "revoke", l.RevokeLease(ctx, lease), nil)
	wantError(t, "revoke again", l.RevokeLease(ctx, lease), kv.ErrLeaseNotFound)
	changes, revision, err := l.Watch(ctx, "a/", v-1)
	if err != nil || len(changes) != 2 || !changes[1].Deleted || revision != v+1 {
		t.Errorf("watch: %+v at %d, %v", changes, revision, err)
	}
	post(t, url, `{"drop_write_answers":1}`, http.StatusOK)
	_, err = l.CompareAndSwap(ctx, "b", 0, nil, 0)
	wantError(t, "dropped response", err, kv.ErrUnknown)
	if entries, _, err := l.List(ctx, ""); err != nil || len(entries) != 1 {
		t.Errorf("list: %+v, %v", entries, err)
	}
	post(t, url, `{"down":true}`, http.StatusOK)
	wantError(t, "down", l.Delete(ctx, "b", revision+1), kv.ErrUnavailable)
	post(t, url, `{"down":false,"writes_per_second":1}`, http.StatusOK)
	post(t, url, `{"dwon":true}`, http.StatusBadRequest)
	limited := func() bool { return errors.Is(l.Delete(ctx, "absent", 1), kv.ErrUnavailable) }
	for tries := 0; !limited(); tries++ {
		if tries == 1000 {
			t.Fatal("no write over the rate limit is refused")
		}
	}
	cancel()
	wantError(t, "end", <-ended, nil)
}

func post(t *testing.T, url, body string, status int) {
	t.Helper()
	r, err := http.Post(url+PathFaults, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Body.Close()
	if r.StatusCode != status {
		t.Errorf("%s: status %d, want %d", body, r.StatusCode, status)
	}
}
