package config

import (
	"sync"
	"sync/atomic"

	"github.com/catkinline/catkinline/wire"
)

// Holder owns the current snapshot of a process. The document's revision in it
// only grows. Reading is safe from any goroutine and takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serialises replacements
	subscribers map[chan struct{}]bool
}

// NewHolder returns a holder of an empty snapshot with revision 0.
func NewHolder() *Holder {
	h := &Holder{subscribers: map[chan struct{}]bool{}}
	h.current.Store(&Snapshot{})
	return h
}

// Current returns the snapshot, never nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Adopt replaces the snapshot by one with a higher revision and reports whether
// it did. Merged parts that are newer still are kept.
func (h *Holder) Adopt(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if next.revision <= old.revision {
		return false
	}
	merged := *next
	merged.keepNewer(old)
	h.replace(&merged)
	return true
}

// AdoptStored compiles a document's stored form, from the store or from a peer,
// and adopts it. It does not compile a revision that would not be adopted.
func (h *Holder) AdoptStored(revision uint64, body []byte) (bool, error) {
	if revision <= h.Current().revision {
		return false, nil
	}
	next, err := Compile(revision, body)
	if err != nil {
		return false, err
	}
	return h.Adopt(next), nil
}

// MergeView takes the view that an agent handed back when it refused a start
// under an older revision. The service's configuration and that target's take
// effect if they are newer than what is known; it reports whether any was.
func (h *Holder) MergeView(view wire.View) (bool, error) {
	if view.Revision <= h.Current().revision {
		return false, nil
	}
	v, err := DecodeView(view.Config)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next, changed := h.current.Load().withNewer(view.Revision, v)
	if changed {
		h.replace(next)
	}
	return changed, nil
}

// Subscribe returns a channel that receives after the snapshot was replaced,
// once for any number of replacements since the last receive. Cancel ends it.
func (h *Holder) Subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[ch] = true
	return ch, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.subscribers, ch)
	}
}

// replace must be called with mu held.
func (h *Holder) replace(next *Snapshot) {
	h.current.Store(next)
	for ch := range h.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
