package config

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
)

func newApplier(store *fakeStore) *Applier { return &Applier{Store: store, Holder: NewHolder()} }

func expectResult(t *testing.T, what string, r Result, want Outcome, code result.Code) {
	t.Helper()
	if r.Outcome != want || r.Code != code {
		t.Fatalf("%s: %s %s (%s), want %s %s", what, r.Outcome, r.Code, r.Reason, want, code)
	}
}

// Guards against a lost update: two operators change the same object and both changes are
// reported as accepted.
func TestConcurrentEditsOfSameObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		first, second := newApplier(store), newApplier(store)
		expectResult(t, "create", first.Edit(t.Context(), "c0", PutWorkspace("shops", Workspace{Weight: 1})), Accepted, 0)
		// The second operator reads the version before the first operator's write, so its own
		// write fails.
		expectResult(t, "first", first.Edit(t.Context(), "c1", PutWorkspace("shops", Workspace{Weight: 2})), Accepted, 0)
		store.withLock(func() { store.staleReads = 1 })
		r := second.Edit(t.Context(), "c2", PutWorkspace("shops", Workspace{Weight: 3}))
		expectResult(t, "second", r, Refused, result.ConfigConflict)
		o := r.Conflict.Objects[0]
		if o.Name != "shops" || o.Yours.Workspace.Weight != 3 || o.Theirs.Workspace.Weight != 2 {
			t.Errorf("conflict %+v", o)
		}
		// A whole document that was made from an old revision.
		r = second.Apply(t.Context(), "c3", r.Conflict.Base, Document{Workspaces: map[string]Workspace{"shops": {Weight: 4}}})
		expectResult(t, "document", r, Refused, result.ConfigConflict)
		if len(r.Conflict.Objects) != 1 || r.Conflict.Current != r.Conflict.Base+3 {
			t.Errorf("conflict %+v", r.Conflict)
		}
		// Both operators request the same content, so no update is lost.
		store.withLock(func() { store.staleReads = 1 })
		expectResult(t, "same", second.Edit(t.Context(), "c4", PutWorkspace("shops", Workspace{Weight: 2})), Accepted, 0)
	})
}

// slowStore refuses the first read, and does not answer the later ones.
type slowStore struct {
	*fakeStore
	reads int
}

func (s *slowStore) Get(ctx context.Context, _ string) (kv.Entry, error) {
	s.reads++
	if s.reads == 1 {
		return kv.Entry{}, fmt.Errorf("%w: HTTP status 503", kv.ErrUnavailable)
	}
	<-ctx.Done()
	return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrUnavailable, ctx.Err())
}

// Guards against a result that names the time limit of the change in place of the store's answer, because the
// limit interrupted the last attempt.
func TestInterruptedAttemptDoesNotHideStoreError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout/2)
		defer cancel()
		store := &slowStore{fakeStore: newFakeStore()}
		r := (&Applier{Store: store, Holder: NewHolder()}).Edit(ctx, "c1", SetDrain("target-1", true))
		expectResult(t, "edit", r, Refused, result.ConfigUnavailable)
		if store.reads < 2 || !strings.Contains(r.Reason, "HTTP status 503") {
			t.Errorf("%d reads, reason %q, want two or more and the store's status", store.reads, r.Reason)
		}
	})
}

// Guards against a conflict or a lost update between concurrent changes of different objects.
func TestConcurrentEditsOfDifferentObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		var wg sync.WaitGroup
		const operators = 20
		for i := range operators {
			wg.Go(func() {
				name := fmt.Sprintf("runner-%d", i)
				edit := SetDrain(name, true)
				if i%2 == 1 {
					edit = SetLabels(name, label.Set{"rack": "r2"}, []string{"gpu"})
				}
				r := newApplier(store).Edit(context.Background(), name, edit)
				if r.Outcome != Accepted {
					t.Errorf("%s: got %+v, want it accepted", name, r)
				}
			})
		}
		wg.Wait()
		if d := store.document(); len(d.Targets) != operators || len(d.Changes) != operators {
			t.Errorf("got %d targets and %d changes, want 20 of each", len(d.Targets), len(d.Changes))
		}
	})
}

// Guards against a write whose response is lost being reported as failed or applied twice.
func TestLostResponsesAreResolved(t *testing.T) {
	for name, faults := range map[string][]fault{
		"applied":       {responseLost},
		"not applied":   {writeLost},
		"applied later": {writeDelayed},
		"lost twice":    {writeLost, responseLost},
		"late and lost": {writeDelayed, responseLost},
		"refused":       {writeRefused, writeRefused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				store.faults = faults
				r := newApplier(store).Apply(t.Context(), "c1", 0, Document{Workspaces: map[string]Workspace{"a": {Weight: 1}}})
				expectResult(t, name, r, Accepted, 0)
				time.Sleep(time.Second)
				if n := store.countWrites("c1"); n != 1 || r.Revision != 3 {
					t.Errorf("got %d writes and revision %d, want 1 and 3", n, r.Revision)
				}
			})
		})
	}
}

// Guards against a change with an unknown outcome that is reported as refused, against a retry
// that applies it twice, and against a reused id that is mistaken for a retry.
func TestRetryAfterUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.faults = []fault{responseLost}
		time.AfterFunc(time.Millisecond, func() { store.withLock(func() { store.down = true }) })
		a := newApplier(store)
		expectResult(t, "first", a.Edit(t.Context(), "c1", SetDrain("r1", true)), Unknown, result.ConfigUnknown)
		store.withLock(func() { store.down = false })
		expectResult(t, "change with another id", a.Edit(t.Context(), "c2", SetDrain("r2", true)), Accepted, 0)
		r := a.Edit(t.Context(), "c1", SetDrain("r1", true))
		expectResult(t, "retry", r, Accepted, 0)
		if r.Revision != 3 || store.countWrites("c1") != 1 {
			t.Errorf("got revision %d and %d writes, want 3 and 1", r.Revision, store.countWrites("c1"))
		}
		expectResult(t, "different change with the same id", a.Edit(t.Context(), "c1", SetDrain("r1", false)), Refused, result.ConfigInvalid)
	})
}

// Guards against a wrong outcome of a write without a response. A newer revision resolves it;
// a stale read does not, nor does a document that no longer lists every change since.
func TestOnlyNewerRevisionsResolveWrites(t *testing.T) {
	allRefused := make([]fault, 1000)
	for i := range allRefused {
		allRefused[i] = writeRefused
	}
	for name, c := range map[string]struct {
		faults  []fault
		during  func(t *testing.T, s *fakeStore)
		want    Outcome
		code    result.Code
		written int
	}{
		"other change": {[]fault{writeLost, healthy}, func(t *testing.T, s *fakeStore) { writeChange(t, s, "other") }, Refused, result.ConfigUnavailable, 0},
		"stale read":   {[]fault{writeDelayed, writeLost}, func(_ *testing.T, s *fakeStore) { s.withLock(func() { s.staleReads = 1 }) }, Unknown, result.ConfigUnknown, 1},
		"list too short": {append([]fault{responseLost}, make([]fault, MaxChanges)...), func(t *testing.T, s *fakeStore) {
			for i := range MaxChanges {
				writeChange(t, s, fmt.Sprint("other-", i))
			}
		}, Unknown, result.ConfigUnknown, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				writeChange(t, store, "before-1")
				writeChange(t, store, "before-2")
				store.writeDelay = time.Minute
				store.faults = append(c.faults, allRefused...)
				time.AfterFunc(time.Millisecond, func() { c.during(t, store) })
				expectResult(t, name, newApplier(store).Edit(t.Context(), "c1", SetDrain("r1", true)), c.want, c.code)
				time.Sleep(time.Hour)
				if n := store.countWrites("c1"); n != c.written || len(store.document().Changes) > MaxChanges {
					t.Errorf("got %d writes and %d listed changes, want c.written writes and at most MaxChanges changes", n, len(store.document().Changes))
				}
			})
		})
	}
}

// Guards against a store outage that loses an accepted change or applies a refused one.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a := newApplier(store)
		r := a.Edit(t.Context(), "c1", SetDrain("r1", true))
		store.withLock(func() { store.down = true })
		expectResult(t, "accepted", r, Accepted, 0)
		if s := a.Holder.Current(); s.Revision() != r.Revision || !s.Target("r1").Drain {
			t.Errorf("the accepting entry does not know revision %d", r.Revision)
		}
		expectResult(t, "down", a.Edit(t.Context(), "c2", SetDrain("r2", true)), Refused, result.ConfigUnavailable)
		store.withLock(func() { store.down = false })
		time.Sleep(time.Minute)
		if store.countWrites("c2") != 0 || a.Holder.Current().Target("r2").Drain {
			t.Error("the refused change was applied")
		}
	})
}

// Guards against a stale read that reverts a newer document or is reported as a conflict.
func TestStaleReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a := newApplier(store)
		base := uint64(0)
		for i := range 3 {
			r := a.Apply(t.Context(), fmt.Sprint("c", i), base, Document{Workspaces: map[string]Workspace{"a": {Weight: float64(i + 1)}}})
			expectResult(t, "apply", r, Accepted, 0)
			base = r.Revision
		}
		store.withLock(func() { store.staleReads = 2 })
		expectResult(t, "short", a.Apply(t.Context(), "c4", base, Document{}), Accepted, 0)
		store.withLock(func() { store.staleReads = 1 << 20 })
		expectResult(t, "long", a.Apply(t.Context(), "c5", base+3, Document{}), Refused, result.ConfigUnavailable)
		r := a.Edit(t.Context(), "c6", SetDrain("r1", true))
		expectResult(t, "edit", r, Refused, result.ConfigUnavailable)
		if !strings.Contains(r.Reason, "older than") {
			t.Errorf("reason %q does not say that the read is older than the document", r.Reason)
		}
		if s, err := a.Read(t.Context()); err != nil || s.Revision() != base+3 {
			t.Errorf("read %v, %v", s, err)
		}
	})
}

// Guards against writing a document that is invalid or too large, and against editing one with
// fields that this release does not know.
func TestInvalidDocumentsAreNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		a := newApplier(store)
		invalid := Document{Workspaces: map[string]Workspace{"a b": {Weight: -1}}}
		r := a.Apply(t.Context(), "", 0, invalid)
		expectResult(t, "invalid", r, Refused, result.ConfigInvalid)
		if len(r.Errors) != 3 {
			t.Errorf("errors %v", r.Errors)
		}
		large := Document{Workspaces: map[string]Workspace{}}
		for i := range 60_000 {
			large.Workspaces[fmt.Sprint("workspace-", i)] = Workspace{Weight: 1}
		}
		// The file is smaller than the limit, but not with the defaults written out.
		file := []byte(`{"workspaces":{`)
		for i := range 50_000 {
			file = fmt.Appendf(file, `"t%d":{},`, i)
		}
		if _, errs := Parse(append(file, "}}"...)); len(errs) != 1 {
			t.Errorf("a large file: %v", errs)
		}
		expectResult(t, "large", a.Apply(t.Context(), "c1", 0, large), Refused, result.ConfigTooLarge)
		store.withLock(func() { _, _ = store.write(0, []byte(`{"later":1,"changes":[{"id":"x"}]}`)) })
		expectResult(t, "later release", a.Edit(t.Context(), "c2", SetDrain("r1", true)), Refused, result.ConfigInvalid)
		if len(store.history) != 1 {
			t.Errorf("%d versions stored, want 1", len(store.history))
		}
	})
}

// Guards against an accepted change that is not written exactly once, or a refused one that
// is written, for random concurrent changes and injected store faults.
func TestOutcomesMatchStoreHistory(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1)) // the same cases on every run
	properties.Property("outcomes match the store's history", prop.ForAll(func(seed int64) bool {
		ok := true
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			store := newFakeStore()
			for range 30 {
				store.faults = append(store.faults, fault(random.Intn(5)))
			}
			store.staleReads = random.Intn(4)
			results := make([]Result, 8)
			var wg sync.WaitGroup
			for i := range results {
				delay := time.Duration(random.Intn(200)) * time.Millisecond
				edit := PutWorkspace(fmt.Sprint("workspace-", random.Intn(3)), Workspace{Weight: float64(i + 1)})
				wg.Go(func() {
					time.Sleep(delay)
					results[i] = newApplier(store).Edit(context.Background(), fmt.Sprint("c", i), edit)
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			for i, r := range results {
				n := store.countWrites(fmt.Sprint("c", i))
				ok = ok && (r.Outcome == Unknown && n <= 1 || r.Outcome == Accepted && n == 1 || r.Outcome == Refused && n == 0)
			}
		})
		return ok
	}, gen.Int64()))
	properties.TestingRun(t)
}

// Guards against a change that is reported as accepted but never adopted: the store was
// replaced by an empty one, whose revisions are lower than the one in effect.
func TestChangeAtReplacedStoreIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		applier := newApplier(newFakeStore())
		old := Document{Workspaces: map[string]Workspace{"shops": {Weight: 1}}}
		if adopted, err := applier.Holder.AdoptStored(1000, old.encode()); !adopted {
			t.Fatal(err)
		}
		r := applier.Edit(t.Context(), "c1", PutWorkspace("shops", Workspace{Weight: 2}))
		expectResult(t, "edit", r, Refused, result.ConfigUnavailable)
		r = applier.Apply(t.Context(), "c2", 0, Document{})
		expectResult(t, "document", r, Refused, result.ConfigUnavailable)
	})
}
