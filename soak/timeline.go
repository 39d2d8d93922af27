package soak

import (
	"sync"
	"time"
)

// everywhere is the place of a fault that concerns all processes.
const everywhere = ""

// span is a fault's time: at a place, from its start until its end.
type span struct {
	place    string
	planned  bool // a planned stop, a reload
	from, to time.Time
}

// timeline keeps when and where something was disturbed.
type timeline struct {
	mu    sync.Mutex
	spans []*span
}

// begin opens a span and returns the function that ends it.
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

// calm reports whether nothing unplanned was under way between two times. Place
// restricts this to faults there and everywhere, and counts planned work too; with
// everywhere, all places count and planned work does not.
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
