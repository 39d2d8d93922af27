package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// rotation is the platform's choice of gateways for new channels: it asks each once a second whether
// it is ready, and takes it out after two misses until it answers again.
type rotation struct {
	mu     sync.Mutex
	misses map[*machine]int
	edges  []*machine
}

// watchRotation starts to ask the gateways, until the case is over.
func (s *scene) watchRotation() *rotation {
	r := &rotation{misses: make(map[*machine]int), edges: s.edges}
	for _, m := range s.edges {
		go func() {
			for range time.Tick(time.Second) {
				ready := s.ready(m)
				r.mu.Lock()
				r.misses[m]++
				if ready {
					r.misses[m] = 0
				}
				r.mu.Unlock()
			}
		}()
	}
	return r
}

// pick returns a gateway in rotation other than the given one, or any if there is none.
func (r *rotation) pick(not *machine) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in []*machine
	for _, m := range r.edges {
		if m != not && r.misses[m] < 2 {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = r.edges
	}
	return in[rand.IntN(len(in))]
}
