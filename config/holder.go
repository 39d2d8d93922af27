package config

import (
	"sync"
	"sync/atomic"

	"github.com/catkinline/catkinline/wire"
)

// Holder holds the current snapshot of a process. The revision of its document never
// decreases. It is safe for concurrent use; Current takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex // serialises replacements and guards subscribers
	subscribers map[chan struct{}]bool
}

// NewHolder returns a holder whose snapshot is empty and has revision 0.
func NewHolder() *Holder {
	h := &Holder{subscribers: map[chan struct{}]bool{}}
	h.current.Store(&Snapshot{})
	return h
}

// Current returns the current snapshot, which is never nil.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Adopt replaces the snapshot if next has a higher revision, and reports whether it did.
// Merged parts that are newer than next are kept.
func (h *Holder) Adopt(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.current.Load()
	if next.revision <= old.revision {
		return false
	}
	merged := *next
	merged.retainNewer(old)
	h.replace(&merged)
	return true
}

// AdoptStored compiles a stored document, received from the store or from a peer, and
// adopts it. A revision that is not higher than the current one is not compiled.
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

// MergeView merges the view that an agent returned when it refused a start with an older
// revision. The configuration of the view's service and of its target takes effect where
// it is newer than the current one. MergeView reports whether anything changed.
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
	next, changed := h.current.Load().withNewerView(view.Revision, v)
	if changed {
		h.replace(next)
	}
	return changed, nil
}

// Subscribe returns a channel that receives a value after the snapshot is replaced. All
// replacements between two receives yield one value. The caller must call cancel to end
// the subscription.
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

// replace stores the snapshot and notifies subscribers. The caller must hold mu.
func (h *Holder) replace(next *Snapshot) {
	h.current.Store(next)
	for ch := range h.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
