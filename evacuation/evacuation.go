// Package evacuation holds which failure domains the operators have evacuated: no run may start
// on a target there. It does no I/O. Gateways read the domains from the store (View), and all
// processes keep the newest state that they have heard of (Current).
package evacuation

import (
	"slices"
	"sync/atomic"
)

// State is the set of evacuated failure domains at a revision of the store. It is immutable.
type State struct {
	Revision uint64
	Domains  []string // sorted, without duplicates and empty names
}

// New returns the state with these domains, in any order.
func New(revision uint64, domains []string) *State {
	sorted := slices.DeleteFunc(slices.Clone(domains), func(d string) bool { return d == "" })
	slices.Sort(sorted)
	return &State{Revision: revision, Domains: slices.Compact(sorted)}
}

// Covers reports whether a failure domain is evacuated. A nil state covers none.
func (s *State) Covers(domain string) bool {
	if s == nil {
		return false
	}
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// SameDomains reports whether two states evacuate the same domains; nil evacuates none.
func (s *State) SameDomains(other *State) bool { return slices.Equal(s.domains(), other.domains()) }

func (s *State) domains() []string {
	if s == nil {
		return nil
	}
	return s.Domains
}

// Current is the newest state that a process has heard of. The zero value knows none. It is safe
// for concurrent use.
type Current struct{ newest atomic.Pointer[State] }

// Load returns the newest state, or nil if none is known.
func (c *Current) Load() *State { return c.newest.Load() }

// Advance adopts a state if its revision is higher than the known one, and reports whether it is.
// A state that arrives late over another link thus revokes nothing.
func (c *Current) Advance(s *State) bool {
	for {
		known := c.newest.Load()
		if known != nil && known.Revision >= s.Revision {
			return false
		}
		if c.newest.CompareAndSwap(known, s) {
			return true
		}
	}
}

// View follows the domains in the store by a list and the changes after it. It is not safe for
// concurrent use.
type View struct {
	revision uint64
	domains  map[string]bool
}

// List replaces the domains by those of a list, which is at least as new as the revision: a
// domain that is not in the list has been revoked, also if the store has lost the change.
func (v *View) List(revision uint64, domains []string) *State {
	v.revision = revision
	v.domains = make(map[string]bool, len(domains))
	for _, d := range domains {
		v.domains[d] = true
	}
	return v.state()
}

// Change is the request for an evacuation, or its revocation.
type Change struct {
	Domain  string
	Revoked bool
}

// Apply applies all changes up to a revision of the store, in their order.
func (v *View) Apply(revision uint64, changes []Change) *State {
	v.revision = max(v.revision, revision)
	for _, c := range changes {
		if c.Revoked {
			delete(v.domains, c.Domain)
		} else {
			v.domains[c.Domain] = true
		}
	}
	return v.state()
}

func (v *View) state() *State {
	domains := make([]string, 0, len(v.domains))
	for d := range v.domains {
		domains = append(domains, d)
	}
	return New(v.revision, domains)
}
