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
	testPrefix      = "ops/"
	testKey         = testPrefix + "routes"
	testEvacuations = testPrefix + "evacuate/"
	watchWait       = 3 * time.Second
)

// lossyStore is a store that can lose the changes that pending watches should report. A watch
// then ends after watchWait with ErrCompacted.
type lossyStore struct {
	kv.Store
	mu      sync.Mutex
	lossy   bool
	floor   uint64 // watches from an earlier revision fail at once with ErrCompacted
	watches int
}

// discardHistory makes the store forget all changes so far.
func (s *lossyStore) discardHistory(t *testing.T) {
	t.Helper()
	_, revision, err := s.Store.List(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.watches = revision, 0
}

func (s *lossyStore) setLossy(lossy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossy = lossy
}

// Watch implements kv.Store.
func (s *lossyStore) Watch(ctx context.Context, prefix string, after uint64) ([]kv.Change, uint64, error) {
	s.mu.Lock()
	lossy, discarded := s.lossy, after < s.floor
	s.watches++
	s.mu.Unlock()
	if discarded {
		return nil, after, kv.ErrCompacted
	}
	if !lossy {
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

// runRoutesLoop runs a gateway's routes loop against a store in virtual time.
func runRoutesLoop(t *testing.T, test func(*testing.T, *Gateway, *lossyStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &lossyStore{Store: standin.NewStore(standin.StoreOptions{FirstRevision: 1}).Local()}
		g, err := New(Options{
			Node: settings.Node{Name: "edge"}, Log: zap.NewNop(), Metrics: metrics.New(nil), Store: store,
			RoutesKey: testKey, DecodeRoutes: decodeVersion, EvacuationPrefix: testEvacuations, OperatorPrefix: testPrefix,
		})
		if err != nil {
			t.Fatal(err)
		}
		g.tomb.Go(g.routesLoop)
		test(t, g, store)
		g.tomb.Kill(nil)
		if err := g.tomb.Wait(); err != nil {
			t.Error(err)
		}
		if err := g.opts.Metrics.Close(); err != nil {
			t.Error(err)
		}
	})
}

func writeRoutes(t *testing.T, s kv.Store, version string) {
	t.Helper()
	var known uint64
	if e, err := s.Get(t.Context(), testKey); err == nil {
		known = e.Version
	}
	if _, err := s.CompareAndSwap(t.Context(), testKey, known, []byte(version), 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a version of the routes that stays unknown because the store compacted its
// history while a watch was pending: it must be applied within about 4 s.
func TestRoutesAfterCompaction(t *testing.T) {
	runRoutesLoop(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		writeRoutes(t, s, "1")
		time.Sleep(time.Second)
		if g.version() != 1 {
			t.Fatalf("routes version %d, want 1", g.version())
		}
		s.setLossy(true)
		writeRoutes(t, s, "2") // the pending watch reports it; changes after it are lost
		time.Sleep(time.Second)
		writeRoutes(t, s, "3")
		time.Sleep(4 * time.Second)
		if g.version() != 3 {
			t.Errorf("version %d 4 s after version 3 was written", g.version())
		}
	})
}

// Guards against an entry that reads the routes ten times a second for as long as they do not
// change: the store has discarded the history since their last change, and a watch from there
// fails at once.
func TestWatchAfterDiscardedHistory(t *testing.T) {
	const minute = 60
	runRoutesLoop(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		writeRoutes(t, s, "1")
		for i := range 10 {
			if _, err := s.CompareAndSwap(t.Context(), "other", uint64(0), []byte{byte(i)}, 0); i == 0 && err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		s.discardHistory(t)
		s.setLossy(true) // the pending watches end after watchWait
		time.Sleep(minute * time.Second)
		s.mu.Lock()
		watches := s.watches
		s.mu.Unlock()
		if most := 2 * minute / int(watchWait.Seconds()); watches > most {
			t.Errorf("%d watches in a minute without a change of the routes, want at most %d", watches, most)
		}
	})
}

// Guards against older routes that replace newer ones, and against a malformed document that
// replaces a valid one.
func TestOlderRoutesAreIgnored(t *testing.T) {
	runRoutesLoop(t, func(t *testing.T, g *Gateway, s *lossyStore) {
		writeRoutes(t, s, "5")
		time.Sleep(time.Second)
		g.applyRoutes([]byte("4"), "peer")
		g.applyRoutes([]byte("{"), "peer")
		if g.version() != 5 {
			t.Errorf("version %d after an older and an unreadable document", g.version())
		}
		g.applyRoutes([]byte("7"), "peer")
		writeRoutes(t, s, "6")
		time.Sleep(time.Second)
		if g.version() != 7 {
			t.Errorf("version %d after a peer's 7 and the store's 6", g.version())
		}
	})
}

// Guards against jobs that are refused right after the start of the process although the
// routes arrive in time, and against jobs that wait indefinitely for routes.
func TestFirstJobsWaitForRoutes(t *testing.T) {
	runRoutesLoop(t, func(t *testing.T, g *Gateway, store *lossyStore) {
		found := make(chan error, 1)
		find := func() {
			_, _, err := g.FindRoute("jobs.example", "/frames/1")
			found <- err
		}
		go find()
		time.Sleep(initialRoutesTimeout / 2)
		select {
		case err := <-found:
			t.Fatalf("answered before any routes: %v", err)
		default:
		}
		writeRoutes(t, store, "1")
		if err := <-found; err != routing.ErrNoRoute {
			t.Errorf("with routes: %v", err)
		}
	})
	runRoutesLoop(t, func(t *testing.T, g *Gateway, _ *lossyStore) {
		started := time.Now()
		if _, _, err := g.FindRoute("jobs.example", "/frames/1"); err != routing.ErrNoTable {
			t.Errorf("without routes: %v", err)
		}
		if waited := time.Since(started); waited != initialRoutesTimeout {
			t.Errorf("waited %s for routes", waited)
		}
		started = time.Now()
		if _, _, err := g.FindRoute("jobs.example", "/frames/1"); err != routing.ErrNoTable || time.Since(started) > 0 {
			t.Errorf("a later job: %v after %s", err, time.Since(started))
		}
	})
}
