// Package faultproxy relays UDP and TCP traffic between loopback addresses and
// injects delay, packet loss, duplicates and network partitions. It is a
// development tool for integration tests and experiments and is not part of the
// request path.
package faultproxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("faultproxy")

// Cut names the directions in which a relay blocks traffic. Forward is from the
// client, which opens the flow, to the server.
type Cut string

// Values of Cut.
const (
	CutNone     Cut = ""
	CutBoth     Cut = "both"
	CutForward  Cut = "forward"
	CutBackward Cut = "backward"
)

// Faults are the faults that one relay injects. While a direction is cut, UDP
// datagrams are dropped. TCP bytes are held and delivered after the cut, as with
// retransmission, and a new connection is opened to the server after the cut.
type Faults struct {
	Delay     time.Duration // one way
	Loss      float64       // probability that a datagram is dropped; UDP only
	Duplicate float64       // probability that a datagram is sent twice; UDP only
	Cut       Cut
	Clients   []string // clients that Loss, Duplicate and Cut apply to; empty: all
}

// Counters count the traffic of a relay since its start, in datagrams or TCP
// chunks.
type Counters struct {
	Flows     int64 `json:"flows"` // flows opened
	Forwarded int64 `json:"forwarded"`
	Dropped   int64 `json:"dropped"`  // by loss, a cut or SilenceFlows
	Overflow  int64 `json:"overflow"` // dropped by a full queue, an oversized datagram or the limit on flows
	// Duplicated counts datagrams sent twice; Forwarded counts them once.
	Duplicated int64 `json:"duplicated"`
}

// Relay is a UDP or TCP relay. Its methods are safe for concurrent use.
type Relay interface {
	// Address returns the ip:port on which the relay listens.
	Address() string
	// Faults returns the current faults.
	Faults() Faults
	// SetFaults replaces the faults for existing and new flows.
	SetFaults(Faults) error
	// Restore sets the faults that the relay was created with. It does not undo
	// SilenceFlows.
	Restore()
	// SilenceFlows drops all further traffic of the existing flows without
	// closing them and returns their number. New flows are not affected.
	SilenceFlows() int
	Counters() Counters
	// Close ends the relay and its flows, and waits for its goroutines.
	Close()
}

// relayState holds what UDP and TCP relays share: the current faults, which are
// read for each packet without a lock, and the counters.
type relayState struct {
	initial Faults
	faults  atomic.Pointer[Faults]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each change

	flows, forwarded, dropped, overflow, duplicated atomic.Int64
}

func (s *relayState) init(f Faults) {
	s.initial = f
	s.changed = make(chan struct{})
	s.faults.Store(&f)
}

// Faults implements Relay.
func (s *relayState) Faults() Faults { return *s.faults.Load() }

// Restore implements Relay.
func (s *relayState) Restore() { s.replace(s.initial) }

// Counters implements Relay.
func (s *relayState) Counters() Counters {
	return Counters{
		Flows:      s.flows.Load(),
		Forwarded:  s.forwarded.Load(),
		Dropped:    s.dropped.Load(),
		Overflow:   s.overflow.Load(),
		Duplicated: s.duplicated.Load(),
	}
}

func (s *relayState) replace(f Faults) {
	s.faults.Store(&f)
	s.notifyChange()
}

// notifyChange wakes the goroutines that wait on changeSignal, which then check the
// faults and the silent flags again.
func (s *relayState) notifyChange() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *relayState) changeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (f Faults) validate() error {
	if f.Delay < 0 || f.Loss < 0 || f.Loss > 1 {
		return Error.New("delay %v is negative or loss %v is not between 0 and 1", f.Delay, f.Loss)
	}
	if f.Duplicate < 0 || f.Duplicate > 1 {
		return Error.New("duplicate %v is not between 0 and 1", f.Duplicate)
	}
	switch f.Cut {
	case CutNone, CutBoth, CutForward, CutBackward:
		return nil
	}
	return Error.New("cut %q is not one of: both, forward, backward or empty", f.Cut)
}

// appliesTo reports whether loss, duplication and cuts apply to a client's flows.
func (f *Faults) appliesTo(client string) bool {
	return len(f.Clients) == 0 || slices.Contains(f.Clients, client)
}

// cuts reports whether a direction is cut for a client's flows.
func (f *Faults) cuts(direction Cut, client string) bool {
	return (f.Cut == CutBoth || f.Cut == direction) && f.appliesTo(client)
}
