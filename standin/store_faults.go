package standin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinline/catkinline/kv"
)

// StoreFaults are the fault switches of a store. Zero fields are off.
type StoreFaults struct {
	// Down fails every call with ErrUnavailable, without applying it.
	Down bool `json:"down"`
	// Hang leaves every call without a response. A call that hangs gets none after
	// the switch is cleared either, as on a half-open connection.
	Hang bool `json:"hang"`
	// LatencyMS delays every call. A write is applied even if its caller gives up
	// in the meantime.
	LatencyMS int `json:"latency_ms"`
	// StaleReadsMS serves gets and lists from a snapshot of this age, at most 30 s.
	StaleReadsMS int `json:"stale_reads_ms"`
	// DropWriteAnswers is the number of next writes that take effect and get no
	// response.
	DropWriteAnswers int `json:"drop_write_answers"`
	// WritesPerSecond and ReadsPerSecond limit the rates of calls. Calls over the
	// limit fail without being applied. Lease calls count as writes and watches as
	// reads.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// StoreFaultChange sets the switches that are present and leaves the others.
type StoreFaultChange struct {
	Down             *bool `json:"down,omitempty"`
	Hang             *bool `json:"hang,omitempty"`
	LatencyMS        *int  `json:"latency_ms,omitempty"`
	StaleReadsMS     *int  `json:"stale_reads_ms,omitempty"`
	DropWriteAnswers *int  `json:"drop_write_answers,omitempty"`
	WritesPerSecond  *int  `json:"writes_per_second,omitempty"`
	ReadsPerSecond   *int  `json:"reads_per_second,omitempty"`
	// ExpireLease is the id of a lease to expire immediately. ExpireLeaseOf is a key
	// whose lease is to expire immediately.
	ExpireLease   kv.LeaseID `json:"expire_lease,omitempty"`
	ExpireLeaseOf string     `json:"expire_lease_of,omitempty"`
}

// StoreCalls counts the calls to a store since its start. Limited, Refused and
// Unserved calls are also in Reads and Writes.
type StoreCalls struct {
	Reads    uint64 `json:"reads"`
	Writes   uint64 `json:"writes"`
	Limited  uint64 `json:"limited"`  // over the rate limit
	Refused  uint64 `json:"refused"`  // while the store was down
	Unserved uint64 `json:"unserved"` // got no response
}

// StoreStatus is the response body of PathFaults.
type StoreStatus struct {
	Faults   StoreFaults `json:"faults"`
	Calls    StoreCalls  `json:"calls"`
	Revision uint64      `json:"revision"`
}

// burstDivisor divides the rate limit to give the burst size: a tenth of a second's
// calls, as for a store that responds within 100 ms.
const burstDivisor = 10

// errRateLimited is returned for calls over the rate limit, which are not applied.
var errRateLimited = fmt.Errorf("%w: over the rate limit", kv.ErrUnavailable)

// errNoResponse is returned for calls that get no response, whether or not they took
// effect.
var errNoResponse = errors.New("standin: no response")

// Status returns the fault switches and the counts. DropWriteAnswers in it is the
// number of responses still to be dropped.
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
	setIfPresent(&f.Down, c.Down)
	setIfPresent(&f.Hang, c.Hang)
	setIfPresent(&f.LatencyMS, c.LatencyMS)
	setIfPresent(&f.StaleReadsMS, c.StaleReadsMS)
	setIfPresent(&f.DropWriteAnswers, c.DropWriteAnswers)
	setIfPresent(&f.WritesPerSecond, c.WritesPerSecond)
	setIfPresent(&f.ReadsPerSecond, c.ReadsPerSecond)
	s.setFaults(f)
	return s.expireNow(c)
}

func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (s *Store) setFaults(f StoreFaults) {
	f.StaleReadsMS = min(f.StaleReadsMS, int(maxStaleReads.Milliseconds()))
	if f.WritesPerSecond != s.faults.WritesPerSecond {
		s.writeLimiter = newStoreLimiter(f.WritesPerSecond)
	}
	if f.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.readLimiter = newStoreLimiter(f.ReadsPerSecond)
	}
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// newStoreLimiter returns nil if perSecond sets no limit.
func newStoreLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstDivisor))
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

// serve applies one call subject to the faults. It returns errNoResponse if the caller
// must not get a response. ctx ends when the caller gives up.
func (s *Store) serve(ctx context.Context, write bool, apply func() error) error {
	hang, latency, err := s.admit(write)
	if err != nil {
		return err
	}
	if hang {
		<-ctx.Done()
		return errNoResponse
	}
	// The context doesn't interrupt this: a request that was sent is applied even
	// if its caller gives up.
	time.Sleep(latency)
	err = apply()
	if write && err == nil && s.dropResponse() {
		return errNoResponse
	}
	return err
}

// admit counts a call and evaluates the faults that keep it from being applied or
// delay it.
func (s *Store) admit(write bool) (hang bool, latency time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.readLimiter
	if write {
		s.calls.Writes++
		limiter = s.writeLimiter
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

// interruptWatch ends a pending watch if the store has been set to hang or to be down
// since the watch began.
func (s *Store) interruptWatch(ctx context.Context) error {
	s.mu.Lock()
	hang, down := s.faults.Hang, s.faults.Down
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
		return errNoResponse
	}
	if down {
		return kv.ErrUnavailable
	}
	return nil
}

func (s *Store) dropResponse() bool {
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
