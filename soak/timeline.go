package soak

import (
	"sync"
	"time"
)

// everywhere is the place of a fault that affects all processes.
const everywhere = ""

// span is the period of a fault at a place. A zero end means that it is active.
type span struct {
	place    string
	planned  bool // a planned stop, reload or configuration change
	from, to time.Time
}

// timeline records when and where faults were active.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// begin starts a span and returns the function that ends it.
func (t *timeline) begin(place string, planned bool) func() {
	s := &span{place: place, planned: planned, from: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spans = append(t.spans, s)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.to = time.Now()
	}
}

// calm reports whether no fault was active between two times. With place everywhere, it
// considers unplanned faults at all places. With a node's name, it considers faults at
// that node and those that affect all, planned ones included.
func (t *timeline) calm(place string, from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.spans {
		if place == everywhere && s.planned {
			continue
		}
		if place != everywhere && s.place != place && s.place != everywhere {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}
