package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
)

var testScope = Scope{Service: "orders", Workspace: "gabrovo/a"}

type entry struct {
	*Manager
	view    *standin.LocalStore
	counted *kv.CountingStore
}

type fleet struct {
	*testing.T
	store   *standin.Store
	entries []entry
	dead    sync.Map // incarnations of entries that died
	jobs    atomic.Uint64
}

func withFleet(t *testing.T, n int, run func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, store: standin.NewStore(standin.StoreOptions{})}
		for i := range n {
			view := f.store.Local()
			calls := kv.NewCountingStore(view)
			c := New(calls, wire.Incarnation(i+1), Options{IsLive: f.live, Scopes: func() []Scope { return []Scope{testScope} }})
			c.Start()
			f.entries = append(f.entries, entry{c, view, calls})
		}
		run(f)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		for _, e := range f.entries {
			e.Stop(ended)
		}
	})
}

func (f *fleet) live(i wire.Incarnation) bool {
	_, dead := f.dead.Load(i)
	return !dead
}

func (f *fleet) setFaults(c standin.StoreFaultChange) { f.store.ChangeFaults(c) }

func (f *fleet) claim(entry int, key string) (*Claim, error) {
	e := f.entries[entry]
	job := wire.JobID{Entry: e.incarnation, Seq: f.jobs.Add(1)}
	return e.Claim(f.Context(), Request{Scope: testScope, Key: key, Job: job})
}

func (f *fleet) mustClaim(entry int, key string) *Claim {
	f.Helper()
	c, err := f.claim(entry, key)
	if err != nil {
		f.Fatal(err)
	}
	return c
}

// expectClaimed checks that a submission is refused for an existing claim in the
// given state.
func (f *fleet) expectClaimed(entry int, key string, state State) {
	f.Helper()
	_, err := f.claim(entry, key)
	var claimed *AlreadyClaimedError
	if !errors.As(err, &claimed) || claimed.Record.State != state {
		f.Errorf("%s at entry %d: %v, want claimed with state %s", key, entry, err, state)
	}
	expectCode(f.T, err, result.AlreadyClaimed)
}

func expectCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	r, ok := result.From(err)
	if !ok || r.Code != code || r.Ran != result.NotRun {
		t.Errorf("%v, want %s, not run", err, code)
	}
}

// Guards against a request that runs twice because it was submitted at two entries,
// and against a claim whose end state is not recorded.
func TestOneClaimPerKey(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		c := f.mustClaim(0, "k")
		f.expectClaimed(1, "k", Running)
		f.expectClaimed(0, "k", Running)
		<-c.Finish(Complete)
		f.expectClaimed(1, "k", Complete)
		<-f.mustClaim(1, "other").Finish(Failed)
		f.expectClaimed(0, "other", Failed)
		_, err := f.claim(0, "")
		expectCode(t, err, result.MissingKey)
	})
}

// Guards against blocking a request that certainly did not run, and against two
// submissions that both take it over.
func TestTakeoverAfterNotRun(t *testing.T) {
	withFleet(t, 8, func(f *fleet) {
		<-f.mustClaim(0, "k").Finish(FailedNotRun)
		var granted atomic.Int32
		var g sync.WaitGroup
		for i := range f.entries {
			g.Go(func() {
				if _, err := f.claim(i, "k"); err == nil {
					granted.Add(1)
				}
			})
		}
		g.Wait()
		if granted.Load() != 1 {
			f.Errorf("%d submissions took the claim over, want 1", granted.Load())
		}
	})
}

// Guards against taking over the claim of a dead entry, whose request may have run.
func TestClaimOfDeadEntryIsKept(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.mustClaim(0, "k")
		f.dead.Store(wire.Incarnation(1), true)
		time.Sleep(DefaultRetention - time.Minute)
		f.expectClaimed(1, "k", Running)
	})
}

// Guards against running a request without a claim, or delaying its refusal beyond
// DefaultTimeout, while the store is down, unresponsive or slow.
func TestStoreFailureRefusesClaim(t *testing.T) {
	for _, fault := range []standin.StoreFaultChange{{Down: new(true)}, {Hang: new(true)}, {LatencyMS: new(20000)}} {
		withFleet(t, 1, func(f *fleet) {
			f.setFaults(fault)
			var g sync.WaitGroup
			for i := range 200 {
				g.Go(func() {
					start := time.Now()
					_, err := f.claim(0, fmt.Sprint(i))
					expectCode(t, err, result.ClaimUnavailable)
					if waited := time.Since(start); waited > DefaultTimeout {
						f.Errorf("refused after %v", waited)
					}
				})
			}
			g.Wait()
			// No refused request may have left a claim: once the store is back, every
			// request can still run.
			f.setFaults(standin.StoreFaultChange{Down: new(false), Hang: new(false), LatencyMS: new(0)})
			time.Sleep(5 * time.Minute)
			for i := range 200 {
				f.mustClaim(0, fmt.Sprint(i))
			}
			time.Sleep(time.Minute)
		})
	}
}

// Guards against refusing a claim that was created, or leaving it in state Running
// forever, when the response to its creation or takeover was lost.
func TestLostWriteResponse(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(1)})
		c := f.mustClaim(0, "created")
		f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(1)})
		<-c.Finish(FailedNotRun)
		// One creation, one end state, and one retry that finds the end state
		// recorded.
		if n := f.entries[0].counted.Calls(kv.OpCompareAndSwap); n != 3 {
			f.Errorf("got %d writes, want 3", n)
		}
		f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(1)})
		<-f.mustClaim(1, "created").Finish(Complete)
		f.expectClaimed(0, "created", Complete)
	})
}

// outageAfterWrite disconnects from the store right after a write whose response was
// lost.
type outageAfterWrite struct {
	kv.Store
	view *standin.LocalStore
}

func (s outageAfterWrite) CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	version, err := s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	if errors.Is(err, kv.ErrUnknown) {
		s.view.SetPartitioned(true)
	}
	return version, err
}

// Guards against a refused request that stays blocked by its own claim because the
// response was lost and reading back failed too, and against a second attempt for the
// same job adopting the claim that is about to be marked as not run.
func TestLostWriteResponseThenOutage(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		e := f.entries[0]
		e.store.inner = outageAfterWrite{e.counted, e.view}
		f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(1)})
		q := Request{Scope: testScope, Key: "k", Job: wire.JobID{Entry: 1, Seq: 1}}
		_, err := e.Claim(f.Context(), q)
		expectCode(f.T, err, result.ClaimUnavailable)
		f.expectClaimed(1, "k", Running)
		time.Sleep(time.Hour)
		e.view.SetPartitioned(false)
		_, err = e.Claim(f.Context(), q)
		expectCode(f.T, err, result.AlreadyClaimed)
		time.Sleep(maxRetryDelay + time.Second)
		f.mustClaim(1, "k")
	})
}

// Guards against manually deleted claims whose end states block all others.
func TestDeletedClaimsAreAbandoned(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		for i := range DefaultMaxInFlight {
			c := f.mustClaim(0, fmt.Sprint(i))
			if err := f.entries[0].view.Delete(f.Context(), c.key, c.version); err != nil {
				f.Fatal(err)
			}
			c.Finish(Complete)
		}
		f.mustClaim(0, "other").Finish(Complete)
		// Two rounds are needed, since there are half as many recording loops as
		// claims.
		time.Sleep(3 * maxStaleReads)
		if s := f.entries[0].Stats(); s.Abandoned != DefaultMaxInFlight || s.Recorded != 1 {
			f.Errorf("got %+v, want DefaultMaxInFlight abandoned and 1 recorded", s)
		}
	})
}

// Guards against more store calls per claim than documented, and against more
// concurrent calls than the limit.
func TestCallsPerClaim(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		const n = 400
		e := f.entries[0]
		f.setFaults(standin.StoreFaultChange{LatencyMS: new(5)})
		var most int
		var g sync.WaitGroup
		for i := range n {
			g.Go(func() { <-f.mustClaim(0, fmt.Sprint(i)).Finish(Complete) })
		}
		g.Go(func() {
			for e.Stats().Recorded < n {
				most = max(most, len(e.store.slots))
				time.Sleep(time.Millisecond)
			}
		})
		g.Wait()
		f.Logf("%d claims: %d writes, %d reads, at most %d in flight", n, e.counted.Writes(), e.counted.Reads(), most)
		if e.counted.Writes() != 2*n || e.counted.Reads() != 0 || most > DefaultMaxInFlight {
			f.Errorf("%d writes, %d reads, %d in flight, want two writes per claim, no read and at most DefaultMaxInFlight", e.counted.Writes(), e.counted.Reads(), most)
		}
		time.Sleep(DefaultRetention)
		time.Sleep(time.Minute)
		if n := e.counted.Calls(kv.OpDelete); n != 400 || e.Stats().Deleted != 400 {
			f.Errorf("%d deletions, %+v, want 400", n, e.Stats())
		}
	})
}

// Guards against claims that are never deleted, are deleted too early, or are deleted
// at a rate that loads the store.
func TestOldClaimsAreDeleted(t *testing.T) {
	withFleet(t, 4, func(f *fleet) {
		const dead = 300
		for i := range dead {
			f.mustClaim(0, fmt.Sprint("dead", i))
		}
		f.mustClaim(1, "live")
		f.dead.Store(wire.Incarnation(1), true)
		f.entries[0].tomb.Kill(nil)
		time.Sleep(DefaultRetention - time.Minute)
		if n := f.countClaims(); n != dead+1 {
			f.Errorf("%d claims before the retention ends", n)
		}
		var most uint64
		for range 5 * 3600 {
			before := f.store.Status().Calls.Writes
			time.Sleep(time.Second)
			most = max(most, f.store.Status().Calls.Writes-before)
		}
		if n := f.countClaims(); n != 1 || most > DefaultDeletesPerSecond+5 {
			f.Errorf("%d claims left, %d writes in one second, want 1 and at most DefaultDeletesPerSecond + 5", n, most)
		}
		f.expectClaimed(2, "live", Running)
	})
}

// Guards against concurrent sweeps when one takes longer than the TTL of the lock's
// lease.
func TestOneSweepAtATime(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		for i := range 900 {
			f.mustClaim(0, fmt.Sprint(i))
		}
		f.dead.Store(wire.Incarnation(1), true)
		time.Sleep(DefaultRetention - time.Minute)
		// Keeps the background loops from starting a sweep.
		if err := f.entries[1].recordSweepDone(f.Context()); err != nil {
			f.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		ended := make(chan error, 1)
		go func() { ended <- f.entries[1].sweep(f.Context()) }()
		time.Sleep(sweepLeaseTTL + 10*time.Second)
		if err := f.entries[2].sweep(f.Context()); !errors.Is(err, errSweepInProgress) {
			f.Errorf("second sweep: %v, want errSweepInProgress", err)
		}
		if err := <-ended; err != nil || f.countClaims() != 0 {
			f.Errorf("first sweep: %v, %d claims left, want none", err, f.countClaims())
		}
	})
}

// countClaims returns the number of claims in the store.
func (f *fleet) countClaims() int {
	f.Helper()
	entries, _, err := f.store.Local().List(f.Context(), Prefix)
	if err != nil {
		f.Fatal(err)
	}
	return len(entries)
}

// Guards against a planned stop that loses end states, and against one that hangs.
func TestStopRecordsEndStates(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		for i := range 100 {
			f.mustClaim(0, fmt.Sprint(i)).Finish(Complete)
		}
		if err := f.entries[0].Stop(f.Context()); err != nil {
			f.Fatal(err)
		}
		f.expectClaimed(1, "99", Complete)
		const late = 2 * DefaultMaxInFlight // more than the recording loops process at once
		var claims [late]*Claim
		for i := range claims {
			claims[i] = f.mustClaim(1, fmt.Sprint("late", i))
		}
		f.setFaults(standin.StoreFaultChange{Down: new(true)})
		var done [late]<-chan struct{}
		for i, c := range claims {
			done[i] = c.Finish(Complete)
		}
		ctx, cancel := context.WithTimeout(f.Context(), time.Minute)
		defer cancel()
		f.entries[1].Stop(ctx)
		for _, d := range done {
			<-d
		}
		if s := f.entries[1].Stats(); s.Abandoned != late {
			f.Errorf("got %+v, want every late end state abandoned", s)
		}
	})
}

// Guards against running any request twice under random faults, among them stale
// reads, lost responses and writes that are applied after their caller timed out, and
// against requests that stay blocked although nothing ran.
func TestAtMostOneRunUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		withFleet(t, 4, func(f *fleet) { runUnderFaults(f, rand.New(rand.NewPCG(seed, 1)), seed) })
	}
}

func runUnderFaults(f *fleet, random *rand.Rand, seed uint64) {
	const keys = 30
	var runs [keys]atomic.Int32
	var g sync.WaitGroup
	for range 600 {
		switch random.IntN(10) {
		case 0:
			f.setFaults(standin.StoreFaultChange{DropWriteAnswers: new(random.IntN(4))})
		case 1:
			f.setFaults(standin.StoreFaultChange{Down: new(random.IntN(3) == 0)})
		case 2:
			f.setFaults(standin.StoreFaultChange{LatencyMS: new(random.IntN(3) * random.IntN(1500))})
		case 3:
			f.setFaults(standin.StoreFaultChange{StaleReadsMS: new(random.IntN(2) * random.IntN(3000))})
		}
		at, key, ran := random.IntN(len(f.entries)), random.IntN(keys), random.IntN(3) == 0
		length := time.Duration(random.IntN(5000)) * time.Millisecond
		g.Go(func() {
			c, err := f.claim(at, fmt.Sprint(key))
			if err != nil {
				return
			}
			time.Sleep(length)
			if !ran {
				c.Finish(FailedNotRun)
				return
			}
			runs[key].Add(1)
			c.Finish(Complete)
		})
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	g.Wait()
	f.setFaults(standin.StoreFaultChange{Down: new(false), LatencyMS: new(0), StaleReadsMS: new(0), DropWriteAnswers: new(0)})
	time.Sleep(10 * time.Minute)
	for key := range keys {
		_, err := f.claim(0, fmt.Sprint(key))
		n := runs[key].Load()
		if n > 1 || (err == nil) != (n == 0) {
			f.Errorf("seed %d, key %d: %d runs, then %v", seed, key, n, err)
		}
	}
}
