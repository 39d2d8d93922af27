package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

const (
	// cancelledTTL is how long the id of a cancelled job is kept. Copies of a job's request arrive
	// seconds after its answer, and an entry that was cut off for some seconds learns of the
	// cancelling when a link returns.
	cancelledTTL = 15 * time.Second
	// maxCancelled bounds the ids that are kept, to a few megabytes; the oldest ones go first.
	maxCancelled = 1 << 15
	// cancelRelays is the number of placers that are asked to pass a cancelling on. One that has died and is
	// still linked passes nothing on.
	cancelRelays = 2
	// receiptTimeout is how long a cancelling waits for a peer's receipt. By then the links to peers that do
	// not answer have ended.
	receiptTimeout = time.Second
)

// cancelledJobs holds the ids of the jobs that were cancelled lately. It is safe for concurrent use.
type cancelledJobs struct {
	mu    sync.Mutex
	until map[string]time.Time
	order []string // the keys of until, in the order in which they were added
}

func newCancelledJobs() *cancelledJobs { return &cancelledJobs{until: make(map[string]time.Time)} }

// add records a cancelled job and reports whether it was not recorded before.
func (c *cancelledJobs) add(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if _, known := c.until[id]; known {
		return false
	}
	if len(c.order) >= maxCancelled {
		c.removeOldest()
	}
	c.until[id] = now.Add(cancelledTTL)
	c.order = append(c.order, id)
	return true
}

// has reports whether a job was cancelled lately.
func (c *cancelledJobs) has(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until[id])
}

// recent returns the recorded ids.
func (c *cancelledJobs) recent(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	return slices.Clone(c.order)
}

// expire removes the ids whose time is over. It must be called with mu held, as must removeOldest.
func (c *cancelledJobs) expire(now time.Time) {
	for len(c.order) > 0 && !now.Before(c.until[c.order[0]]) {
		c.removeOldest()
	}
}

func (c *cancelledJobs) removeOldest() {
	delete(c.until, c.order[0])
	c.order = c.order[1:]
}

// Cancel cancels a job wherever it is, and wherever a copy of its request arrives later: all entries are told its
// id, and run no job with it from then on. It reports whether another entry has recorded it, or none is known. An
// entry that is cut off from the others cannot cancel what they run.
func (g *Gateway) Cancel(ctx context.Context, id string) bool {
	g.cancelHere(id, "a request")
	request, receipt := g.receipts.await()
	defer g.receipts.forget(request)
	if told := g.tellCancelled(id, request); told == 0 {
		return len(g.members.Snapshot().Direct) == 0
	}
	timeout := time.NewTimer(receiptTimeout)
	defer timeout.Stop()
	select {
	case <-receipt:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	g.log.Warn("no entry has confirmed a cancelling", zap.String("job", id))
	return false
}

// tellCancelled tells the linked peers that a job was cancelled, and returns their number. Placers are asked
// first to pass it on; other peers may be linked to few entries.
func (g *Gateway) tellCancelled(id string, request uint64) int {
	placers := g.placers()
	var links, others []peerLink
	for _, l := range g.forwarder.links() {
		if slices.Contains(placers, l.Name()) {
			links = append(links, l)
		} else {
			others = append(others, l)
		}
	}
	links = append(links, others...)
	relays := cancelRelays
	if slices.Contains(placers, g.node.Name) {
		relays = 0 // a placer is linked to all entries
	}
	for _, l := range links {
		m := &wire.JobsCancelled{IDs: []string{id}, Relay: relays > 0, Request: request}
		relays--
		// Sending fails only on a closed link. The next one begins with the recent cancellings.
		_ = l.Send(m)
	}
	return len(links)
}

// cancelHere ends a job at this entry and keeps others with its id from being started. It reports whether
// the cancelling was not known.
func (g *Gateway) cancelHere(id, source string) bool {
	now := time.Now()
	added := g.cancelled.add(id, now) // before the job is looked for: see submitHere
	forwarded, placed := g.forwarder.cancel(id), g.scheduler.Cancel(id, now)
	if added || forwarded || placed {
		g.log.Info("job cancelled", zap.String("job", id), zap.String("source", source), zap.Bool("forwarded", forwarded), zap.Bool("placed", placed))
	}
	return added
}

// handleCancelled ends the jobs that a peer says were cancelled. Entries that place no jobs are linked to
// placers only, which pass it on to the others.
func (g *Gateway) handleCancelled(l peerLink, m *wire.JobsCancelled) {
	var added []string
	for _, id := range m.IDs {
		if g.cancelHere(id, "peer "+l.Name()) {
			added = append(added, id)
		}
	}
	if m.Request != 0 {
		_ = l.Send(&wire.CancelReceipt{Request: m.Request}) // without it, the peer's caller asks again
	}
	if !m.Relay || len(added) == 0 {
		return
	}
	placers := g.placers()
	for _, other := range g.forwarder.links() {
		if other != l && !slices.Contains(placers, other.Name()) {
			_ = other.Send(&wire.JobsCancelled{IDs: added}) // as in Cancel
		}
	}
}

// sendCancelled tells a newly linked peer which jobs were cancelled lately.
func (g *Gateway) sendCancelled(l peerLink) {
	if ids := g.cancelled.recent(time.Now()); len(ids) > 0 {
		_ = l.Send(&wire.JobsCancelled{IDs: ids}) // as in Cancel
	}
}

// submitHere hands a job to this entry's scheduler, unless it has been cancelled.
func (g *Gateway) submitHere(r placement.Request, now time.Time) (*placement.Ticket, *placement.Answer) {
	if a := g.cancelledAnswer(r.Job.ID); a != nil {
		return nil, a
	}
	ticket, refusal := g.scheduler.Submit(r, now)
	if refusal == nil && g.cancelled.has(r.Job.ID, now) {
		g.scheduler.Cancel(r.Job.ID, now) // cancelled since the first look
	}
	return ticket, refusal
}

// cancelledAnswer returns the answer to a request for a job that was cancelled lately, or nil.
func (g *Gateway) cancelledAnswer(id string) *placement.Answer {
	if !g.cancelled.has(id, time.Now()) {
		return nil
	}
	return &placement.Answer{Outcome: placement.Cancelled, Reason: "cancelled by a request"}
}
