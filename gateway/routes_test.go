package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/standin"
)

const (
	testKey   = "routes"
	watchWait = 3 * time.Second
)

// lossyStore is a store that can lose the changes of pending watches, which then
// wait to their end, and answers the next one with ErrCompacted.
type lossyStore struct {
	kv.Store
	mu   sync.Mutex
	lose bool
}

func (s *lossyStore) losing(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Watch implements kv.Store.
func (s *lossyStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Change, uint64, error) {
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if !lose {
		return s.Store.Watch(ctx, prefix, after)
	}
	select {
	case <-ctx.Done():
	case <-time.After(watchWait):
	}
	return nil, after, kv.ErrCompacted
}

func decodeVersion(document []byte) (*routing.Table, error) {
	var version uint64
	if err := json.Unmarshal(document, &version); err != nil {
		return nil, err
	}
	return routing.Build(version, nil, document), nil
}

// follow runs a gateway's routes loop against a store in virtual time.
func follow(t *testing.T, play func(*testing.T, *Gateway, *lossyStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &lossyStore{Store: standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local()}
		g, err := New(Options{
			Node: settings.Node{Name: "edge"}, Log: zap.NewNop(), Metrics: metrics.New(nil), Store: store,
			RoutesKey: testKey, DecodeRoutes: decodeVersion,
		})
		if err != nil {
			t.Fatal(err)
		}
		g.tomb.Go(g.routesLoop)
		play(t, g, store)
		g.tomb.Kill(nil)
		if err := g.tomb.Wait(); err != nil {
			t.Error(err)
		}
		if err := g.opts.Metrics.Close(); err != nil {
			t.Error(err)
		}
	})
}

func write(t *testing.T, s kv.Store, version string) {
	t.Helper()
	var known uint64
	if e, err := s.Get(t.Context(), testKey); err == nil {
		known = e.Version
	}
	if _, err := s.CompareAndSwap(t.Context(), testKey, known, []byte(version), 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a version that stays unknown because the store discarded its
// history while a watch was pending: it must be in force some 4 s later.
func TestRoutesAfterDiscardedHistory(t *testing.T) {
	follow(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		write(t, s, "1")
		time.Sleep(time.Second)
		if g.version() != 1 {
			t.Fatalf("version %d", g.version())
		}
		s.losing(true)
		write(t, s, "2") // the pending watch hears it and the next one is lost
		time.Sleep(time.Second)
		write(t, s, "3")
		time.Sleep(4 * time.Second)
		if g.version() != 3 {
			t.Errorf("version %d 4 s after version 3 was acknowledged", g.version())
		}
	})
}

// Guards against routes that go back, and against a document that cannot be read
// replacing one that can.
func TestRoutesNeverGoBack(t *testing.T) {
	follow(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		write(t, s, "5")
		time.Sleep(time.Second)
		g.adopt([]byte("4"), "peer")
		g.adopt([]byte("{"), "peer")
		if g.version() != 5 {
			t.Errorf("version %d after an older and an unreadable document", g.version())
		}
		g.adopt([]byte("7"), "peer")
		write(t, s, "6")
		time.Sleep(time.Second)
		if g.version() != 7 {
			t.Errorf("version %d after a peer's 7 and the store's 6", g.version())
		}
	})
}

// Guards against jobs that are refused in the first moments of a process, although
// the routes arrive before their callers' time is over; and against jobs that wait
// for routes that do not come.
func TestFirstJobsWaitForRoutes(t *testing.T) {
	follow(t, func(t *testing.T, g *Gateway, store *lossyStore) {
		found := make(chan error, 1)
		find := func() {
			_, _, err := g.FindRoute("jobs.example", "/frames/1")
			found <- err
		}
		go find()
		time.Sleep(startWait / 2)
		select {
		case err := <-found:
			t.Fatalf("answered before any routes: %v", err)
		default:
		}
		write(t, store, "1")
		if err := <-found; err != routing.ErrNoRoute {
			t.Errorf("with routes: %v", err)
		}
	})
	follow(t, func(t *testing.T, g *Gateway, _ *lossyStore) {
		begun := time.Now()
		if _, _, err := g.FindRoute("jobs.example", "/frames/1"); err != routing.ErrNoTable {
			t.Errorf("without routes: %v", err)
		}
		if waited := time.Since(begun); waited != startWait {
			t.Errorf("waited %s for routes", waited)
		}
		begun = time.Now()
		if _, _, err := g.FindRoute("jobs.example", "/frames/1"); err != routing.ErrNoTable || time.Since(begun) > 0 {
			t.Errorf("a later job: %v after %s", err, time.Since(begun))
		}
	})
}
