// Package faultproxy relays UDP and TCP traffic between loopback addresses and
// injects delay, loss, cuts and silence. It is a development tool for
// integration tests and experiments, and no part of the request path.
package faultproxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("faultproxy")

// Cut names the directions in which a relay passes nothing. Forward is from the
// client, the side that dials, to the server.
type Cut string

// The four values of Cut.
const (
	CutNone     Cut = ""
	CutBoth     Cut = "both"
	CutForward  Cut = "forward"
	CutBackward Cut = "backward"
)

// Faults are the faults of one relay. UDP datagrams under a cut are dropped.
// TCP bytes under a cut are held and pass after it, as retransmission would
// make them; a connection opened under a cut reaches its server after it.
type Faults struct {
	Delay     time.Duration // one way
	Loss      float64       // share of datagrams dropped, 0 to 1; UDP only
	Duplicate float64       // share of datagrams sent twice, 0 to 1; UDP only
	Cut       Cut
	Clients   []string // restricts Loss, Duplicate and Cut to flows of these clients; empty: all
}

// Counters count what a relay did, in datagrams or TCP chunks.
type Counters struct {
	Flows     int64 `json:"flows"` // opened since the start
	Forwarded int64 `json:"forwarded"`
	Dropped   int64 `json:"dropped"`  // by loss, cut or silence
	Overflow  int64 `json:"overflow"` // by a full queue or an oversized datagram
	// Duplicated counts datagrams sent twice; Forwarded counts them once.
	Duplicated int64 `json:"duplicated"`
}

// Relay is a UDP or TCP relay.
type Relay interface {
	// Address returns the ip:port that clients use.
	Address() string
	// Faults returns the faults in force.
	Faults() Faults
	// SetFaults replaces the faults for existing and new flows.
	SetFaults(Faults) error
	// Restore returns to the faults that the relay was created with. Silenced
	// flows stay silent.
	Restore()
	// SilenceFlows makes every existing flow silent for good without closing it
	// and returns their number. New flows work.
	SilenceFlows() int
	Counters() Counters
	// Close ends the relay and all its flows.
	Close()
}

// switchboard holds what UDP and TCP relays share: faults that are read for
// each packet without a lock, and counters.
type switchboard struct {
	original Faults
	faults   atomic.Pointer[Faults]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each change

	flows, forwarded, dropped, overflow, duplicated atomic.Int64
}

func (s *switchboard) init(f Faults) {
	s.original = f
	s.changed = make(chan struct{})
	s.faults.Store(&f)
}

// Faults implements Relay.
func (s *switchboard) Faults() Faults { return *s.faults.Load() }

// Restore implements Relay.
func (s *switchboard) Restore() { s.replace(s.original) }

// Counters implements Relay.
func (s *switchboard) Counters() Counters {
	return Counters{
		Flows:      s.flows.Load(),
		Forwarded:  s.forwarded.Load(),
		Dropped:    s.dropped.Load(),
		Overflow:   s.overflow.Load(),
		Duplicated: s.duplicated.Load(),
	}
}

func (s *switchboard) replace(f Faults) {
	s.faults.Store(&f)
	s.wake()
}

// wake lets every waiter look at the faults and flags again.
func (s *switchboard) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *switchboard) waitChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (f Faults) validate() error {
	if f.Delay < 0 || f.Loss < 0 || f.Loss > 1 {
		return Error.New("delay %v or loss %v out of range", f.Delay, f.Loss)
	}
	if f.Duplicate < 0 || f.Duplicate > 1 {
		return Error.New("duplicate %v out of range", f.Duplicate)
	}
	switch f.Cut {
	case CutNone, CutBoth, CutForward, CutBackward:
		return nil
	}
	return Error.New("unknown cut %q", f.Cut)
}

// concerns reports whether loss and cut apply to a client's flows.
func (f *Faults) concerns(client string) bool {
	return len(f.Clients) == 0 || slices.Contains(f.Clients, client)
}

// cuts reports whether a direction is cut for a client's flows.
func (f *Faults) cuts(direction Cut, client string) bool {
	return (f.Cut == CutBoth || f.Cut == direction) && f.concerns(client)
}
