package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/catkinline/catkinline/kv"
)

// deleteInterval is the time between two rounds of deletions.
const deleteInterval = time.Second

// endedClaim is a claim that this entry ended and will delete when it is due.
type endedClaim struct {
	key     string
	version uint64
	due     time.Time
}

// retained is the queue of the entry's ended claims, ordered by due time. Claims
// beyond limit are left to the sweep.
type retained struct {
	limit int
	mu    sync.Mutex
	list  []endedClaim
}

func (r *retained) add(o endedClaim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) < r.limit {
		r.list = append(r.list, o)
	}
}

// firstDue returns the first claim of the queue if it is due.
func (r *retained) firstDue(now time.Time) (endedClaim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == 0 || now.Before(r.list[0].due) {
		return endedClaim{}, false
	}
	return r.list[0], true
}

func (r *retained) removeFirst() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = r.list[1:]
}

// deleteLoop deletes the entry's own claims when they are due.
func (c *Manager) deleteLoop(ctx context.Context) error {
	limit := deleteInterval
	for c.sleep(c.random.between(limit/2, limit+limit/2)) {
		limit = min(2*limit, maxRetryDelay)
		if c.deleteDue(ctx) {
			limit = deleteInterval
		}
	}
	return nil
}

// deleteDue deletes up to DeletesPerSecond due claims and reports whether the store
// responded.
func (c *Manager) deleteDue(ctx context.Context) bool {
	for range c.options.DeletesPerSecond {
		o, ok := c.retained.firstDue(time.Now())
		if !ok {
			return true
		}
		err := c.store.Delete(ctx, o.key, o.version)
		if err != nil && !errors.Is(err, kv.ErrConflict) {
			return false
		}
		if err == nil {
			c.counters.deleted.Add(1)
		}
		// A conflict means that the claim was taken over, or that it was deleted by a
		// call whose response was lost.
		c.retained.removeFirst()
	}
	return true
}
