package gateway

import "sync"

// receipts tracks the cancellings that wait for a peer's receipt. It is safe for concurrent use.
type receipts struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan struct{} // closed with the first receipt
}

func newReceipts() *receipts { return &receipts{waiting: make(map[uint64]chan struct{})} }

// await returns a new request number and a channel that is closed with its first receipt.
func (r *receipts) await() (request uint64, receipt <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	c := make(chan struct{})
	r.waiting[r.last] = c
	return r.last, c
}

func (r *receipts) received(request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.waiting[request]; c != nil {
		close(c)
		delete(r.waiting, request)
	}
}

func (r *receipts) forget(request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, request)
}
