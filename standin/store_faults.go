package standin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinline/catkinline/kv"
)

// StoreFaults are the switches of a store. Zero fields are off.
type StoreFaults struct {
	// Down answers every call with ErrUnavailable, before processing it.
	Down bool `json:"down"`
	// Hang answers no call. A call that hangs stays without an answer when the
	// switch is cleared, as on a connection that went silent.
	Hang bool `json:"hang"`
	// LatencyMS delays the processing of every call. A caller that gives up in
	// the meantime does not stop its write.
	LatencyMS int `json:"latency_ms"`
	// StaleReadsMS answers gets and lists from a snapshot of this long ago, at
	// most 30 s.
	StaleReadsMS int `json:"stale_reads_ms"`
	// DropWriteAnswers loses the answers of the next writes that take effect.
	DropWriteAnswers int `json:"drop_write_answers"`
	// WritesPerSecond and ReadsPerSecond refuse the calls over a rate, before
	// processing them. Lease calls are writes and watches are reads.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// StoreFaultChange sets the switches that it names and leaves the others.
type StoreFaultChange struct {
	Down             *bool `json:"down,omitempty"`
	Hang             *bool `json:"hang,omitempty"`
	LatencyMS        *int  `json:"latency_ms,omitempty"`
	StaleReadsMS     *int  `json:"stale_reads_ms,omitempty"`
	DropWriteAnswers *int  `json:"drop_write_answers,omitempty"`
	WritesPerSecond  *int  `json:"writes_per_second,omitempty"`
	ReadsPerSecond   *int  `json:"reads_per_second,omitempty"`
	// ExpireLease expires the lease of this id now, ExpireLeaseOf that of a key.
	ExpireLease   kv.LeaseID `json:"expire_lease,omitempty"`
	ExpireLeaseOf string     `json:"expire_lease_of,omitempty"`
}

// StoreCalls counts the calls that reached a store since its start.
type StoreCalls struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Limited  uint64 `json:"limited"`  // refused over the rate, in the above
	Refused  uint64 `json:"refused"`  // refused while down, in the above
	Unserved uint64 `json:"unserved"` // left without an answer, in the above
}

// StoreStatus is the answer on the admin path.
type StoreStatus struct {
	Faults   StoreFaults `json:"faults"`
	Calls    StoreCalls  `json:"calls"`
	Revision uint64      `json:"revision"`
}

// burstShare is the share of a second's calls that a capped store takes at
// once: a tenth, as a store that answers within 100 ms.
const burstShare = 10

// errRateLimited is a call over the rate, which was not processed.
var errRateLimited = fmt.Errorf("%w: over the rate limit", kv.ErrUnavailable)

// errNoAnswer is a call that gets no answer, whether or not it took effect.
var errNoAnswer = errors.New("standin: no answer")

// Status returns the switches and the counts. DropWriteAnswers is what is left.
func (s *Store) Status() StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{Faults: s.faults, Calls: s.calls, Revision: s.state.revision}
}

// ChangeFaults sets fault switches and expires leases. It returns ErrLeaseNotFound if
// the lease to expire does not exist; the switches are set in any case.
func (s *Store) ChangeFaults(c StoreFaultChange) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	set(&f.Down, c.Down)
	set(&f.Hang, c.Hang)
	set(&f.LatencyMS, c.LatencyMS)
	set(&f.StaleReadsMS, c.StaleReadsMS)
	set(&f.DropWriteAnswers, c.DropWriteAnswers)
	set(&f.WritesPerSecond, c.WritesPerSecond)
	set(&f.ReadsPerSecond, c.ReadsPerSecond)
	s.setFaults(f)
	return s.expireNow(c)
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *Store) setFaults(f StoreFaults) {
	f.StaleReadsMS = min(f.StaleReadsMS, int(maxStaleReads.Milliseconds()))
	if f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writes = newStoreLimiter(f.WritesPerSecond)
	}
	if f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.reads = newStoreLimiter(f.ReadsPerSecond)
	}
	s.faults = f
	close(s.switched)
	s.switched = make(chan struct{})
}

// newStoreLimiter returns nil for no cap.
func newStoreLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstShare))
}

func (s *Store) expireNow(c StoreFaultChange) error {
	id := c.ExpireLease
	if c.ExpireLeaseOf != "" {
		e, _ := s.state.current(c.ExpireLeaseOf)
		id = e.Lease
	}
	if id == 0 && c.ExpireLeaseOf == "" {
		return nil
	}
	return s.state.endLease(id)
}

// serve passes one call through the faults. Its error is errNoAnswer where the
// caller must not get an answer; the context is that of the caller's patience.
func (s *Store) serve(ctx context.Context, write bool, apply func() error) error {
	hang, latency, err := s.admit(write)
	if err != nil {
		return err
	}
	if hang {
		<-ctx.Done()
		return errNoAnswer
	}
	// Not ended by the context: a request that has left its caller is still
	// processed.
	time.Sleep(latency)
	err = apply()
	if write && err == nil && s.dropAnswer() {
		return errNoAnswer
	}
	return err
}

// admit counts a call and applies the faults that come before its processing.
func (s *Store) admit(write bool) (hang bool, latency time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if write {
		s.calls.Writes++
		limiter = s.writes
	} else {
		s.calls.Reads++
	}
	switch {
	case s.faults.Hang:
		s.calls.Unserved++
		return true, 0, nil
	case s.faults.Down:
		s.calls.Refused++
		return false, 0, kv.ErrUnavailable
	case limiter != nil && !limiter.Allow():
		s.calls.Limited++
		return false, 0, errRateLimited
	}
	return false, milliseconds(s.faults.LatencyMS), nil
}

// interrupt applies faults that were switched on while a watch was pending.
func (s *Store) interrupt(ctx context.Context) error {
	s.mu.Lock()
	hang, down := s.faults.Hang, s.faults.Down
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
		return errNoAnswer
	}
	if down {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *Store) dropAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropWriteAnswers <= 0 {
		return false
	}
	s.faults.DropWriteAnswers--
	s.calls.Unserved++
	return true
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
