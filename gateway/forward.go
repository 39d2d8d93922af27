package gateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

const (
	// entriesPerPlacer is the number of entries for which one entry places jobs while targets
	// are full. With fewer placers, more jobs are ordered by priority against each other, but
	// one placer with 0.8 cores is limited to about 900 jobs per second.
	entriesPerPlacer = 5
	// minEntriesForPlacers is the number of entries below which each entry places its own
	// jobs. With few entries, the gain from a placer is smaller than the loss when it runs on
	// an instance that becomes slow, which delays the jobs of all entries.
	minEntriesForPlacers = 6
	// contentionHold is how long jobs are still forwarded to placers after the last task
	// waited, so that entries do not switch back to placing on their own in each short gap.
	contentionHold = 500 * time.Millisecond
	// declineBackoff is how long a peer is sent no jobs after it declined one: a few of its
	// mean lags.
	declineBackoff = 200 * time.Millisecond
	// peerRoundTrip is subtracted from the time left of a forwarded job for the way to the
	// peer and back.
	peerRoundTrip = 5 * time.Millisecond
)

// forwarder sends jobs to placers while targets are full, and tracks the jobs that peers sent
// to this entry. Entries that place independently compete for the same free room and cannot
// order each other's jobs by priority; a few placers that place for all can. A placer runs a
// forwarded job as its own and ends it when the link to the sender ends, as agents do with the
// runs of a lost entry. The sender returns the answer to the caller.
type forwarder struct {
	created     time.Time
	contendedAt atomic.Int64 // monotonic nanoseconds since created; 0: never

	mu         sync.Mutex
	lastNumber uint64
	sent       map[uint64]*forwardedJob                         // to peers, by number
	byID       map[string]*forwardedJob                         // sent, by job ID
	received   map[*transport.Link]map[uint64]*placement.Ticket // from peers, by number
	peers      map[*transport.Link]bool
	declined   map[string]time.Time // when a peer last declined a job, by name
}

// forwardedJob is a job that was sent to a peer.
type forwardedJob struct {
	number uint64
	id     string
	link   *transport.Link
	answer chan wire.JobAnswer // buffered, so that the sender never blocks
}

// cancel tells the peer that the job's caller no longer waits.
func (j *forwardedJob) cancel() {
	// Sending fails only on a closed link, whose end also ends the job.
	_ = j.link.Send(&wire.JobCancel{RequestID: j.number})
}

func newForwarder() *forwarder {
	return &forwarder{
		created: time.Now(),
		sent:    make(map[uint64]*forwardedJob), byID: make(map[string]*forwardedJob),
		received: make(map[*transport.Link]map[uint64]*placement.Ticket),
		peers:    make(map[*transport.Link]bool), declined: make(map[string]time.Time),
	}
}

// linkUp adds a link to a peer.
func (f *forwarder) linkUp(l *transport.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[l] = true
}

// hasJobs reports whether jobs were sent over a link or received from it that have not ended.
func (f *forwarder) hasJobs(l *transport.Link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.received[l]) > 0 {
		return true
	}
	for _, j := range f.sent {
		if j.link == l {
			return true
		}
	}
	return false
}

// send forwards a job to a peer.
func (f *forwarder) send(l *transport.Link, r placement.Request) (*forwardedJob, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	j := &forwardedJob{number: f.lastNumber, id: r.Job.ID, link: l, answer: make(chan wire.JobAnswer, 1)}
	f.sent[j.number], f.byID[j.id] = j, j
	left := time.Until(r.Deadline) - peerRoundTrip
	err := l.Send(&wire.JobForward{RequestID: j.number, Job: r.Job, Route: r.Route, RoutesVersion: r.Version, TimeLeft: left})
	if err != nil {
		f.remove(j)
	}
	return j, err
}

// remove removes a sent job. It must be called with mu held.
func (f *forwarder) remove(j *forwardedJob) {
	delete(f.sent, j.number)
	if f.byID[j.id] == j {
		delete(f.byID, j.id)
	}
}

// finish removes a sent job and reports whether it had not been answered yet.
func (f *forwarder) finish(j *forwardedJob) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.sent[j.number] == j
	f.remove(j)
	return known
}

// handleAnswer passes the answer of a peer to the waiting caller.
func (f *forwarder) handleAnswer(l *transport.Link, a *wire.JobAnswer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Declined {
		f.declined[l.Name()] = now
	}
	if a.Contended {
		f.markContended(now)
	}
	if j := f.sent[a.RequestID]; j != nil && j.link == l {
		f.remove(j)
		j.answer <- *a
	}
}

// linkDown removes a link to a peer and answers the jobs that were sent over it. It returns
// the jobs that were received over it.
func (f *forwarder) linkDown(l *transport.Link) []*placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, l)
	f.abandon("the link to the peer that ran the job has ended", func(j *forwardedJob) bool { return j.link == l })
	var tickets []*placement.Ticket
	for _, t := range f.received[l] {
		tickets = append(tickets, t)
	}
	delete(f.received, l)
	return tickets
}

// abandon answers the selected sent jobs with an unknown outcome. It must be called with mu
// held.
func (f *forwarder) abandon(reason string, selected func(*forwardedJob) bool) {
	for _, j := range f.sent {
		if selected(j) {
			f.remove(j)
			j.answer <- wire.JobAnswer{RequestID: j.number, Outcome: uint8(placement.Expired), Reason: reason}
		}
	}
}

// abandonAll cancels all sent jobs and answers them with an unknown outcome.
func (f *forwarder) abandonAll(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range f.sent {
		j.cancel()
	}
	f.abandon(reason, func(*forwardedJob) bool { return true })
}

// cancel cancels a job that was sent to a peer, and reports whether there was one.
func (f *forwarder) cancel(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.byID[id]
	if j == nil {
		return false
	}
	j.cancel()
	f.remove(j)
	j.answer <- wire.JobAnswer{RequestID: j.number, Outcome: uint8(placement.Cancelled), Reason: "cancelled by a request"}
	return true
}

// linkOf returns the link to the peer that a job was sent to, or nil.
func (f *forwarder) linkOf(id string) *transport.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.byID[id]; j != nil {
		return j.link
	}
	return nil
}

// markContended records that tasks wait here or at a placer.
func (f *forwarder) markContended(now time.Time) {
	f.contendedAt.Store(max(1, int64(now.Sub(f.created))))
}

// contended reports whether tasks wait or did so within contentionHold.
func (f *forwarder) contended(now time.Time) bool {
	at := f.contendedAt.Load()
	return at > 0 && now.Sub(f.created)-time.Duration(at) < contentionHold
}

// selectPlacers selects the entries that place for all: those with the most CPU, spread over
// as many failure domains as possible. Entries that know the same peers select the same
// placers. An entry that does not announce its CPU is left out, because its version may not
// support placers.
func selectPlacers(entries []wire.Peer) []string {
	count := (len(entries) + entriesPerPlacer - 1) / entriesPerPlacer
	inDomain := make(map[string]int)
	candidates := slices.DeleteFunc(slices.Clone(entries), func(p wire.Peer) bool { return p.CPU == 0 })
	var names []string
	for len(names) < count && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b wire.Peer) int {
			return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(inDomain[a.FailureDomain], inDomain[b.FailureDomain]), strings.Compare(a.Name, b.Name))
		})
		candidates = slices.DeleteFunc(candidates, func(p wire.Peer) bool { return p.Name == best.Name })
		inDomain[best.FailureDomain]++
		names = append(names, best.Name)
	}
	return names
}

// choosePlacer returns the link to the placer that a job should be sent to, or nil if this
// entry should place it.
func (g *Gateway) choosePlacer(id string, now time.Time) *transport.Link {
	f := g.forwarder
	if g.stopping.Load() || !g.opts.ForwardAlways && !f.contended(now) {
		return nil
	}
	direct := g.members.Snapshot().Direct
	entries := append([]wire.Peer{g.self()}, direct...)
	if len(entries) < minEntriesForPlacers && !g.opts.ForwardAlways {
		return nil
	}
	names := selectPlacers(entries)
	if len(names) == 0 || slices.Contains(names, g.node.Name) {
		return nil
	}
	if known, _ := g.scheduler.Status(id); known {
		return nil
	}
	return f.pickLink(names, now)
}

// pickLink returns the link to one of the named peers, chosen in rotation, or nil. Peers that
// declined a job within declineBackoff are skipped.
func (f *forwarder) pickLink(names []string, now time.Time) *transport.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range names {
		name := names[(f.lastNumber+uint64(i))%uint64(len(names))]
		if now.Sub(f.declined[name]) < declineBackoff {
			continue
		}
		for l := range f.peers {
			if l.Name() == name {
				return l
			}
		}
	}
	return nil
}

// submitToPlacer forwards a job to a peer and returns its answer, and whether the peer
// accepted the job.
func (g *Gateway) submitToPlacer(ctx context.Context, r placement.Request) (placement.Answer, bool) {
	f, started := g.forwarder, time.Now()
	link := f.linkOf(r.Job.ID)
	if link == nil {
		if link = g.choosePlacer(r.Job.ID, started); link == nil {
			return placement.Answer{}, false
		}
	}
	j, err := f.send(link, r)
	if err != nil {
		return placement.Answer{}, false
	}
	var a wire.JobAnswer
	select {
	case a = <-j.answer:
	case <-ctx.Done():
		if f.finish(j) {
			j.cancel()
		}
		a = wire.JobAnswer{Outcome: uint8(placement.Cancelled), Reason: "the caller went away"}
	}
	if a.Declined {
		g.log.Info("placer declined a job", zap.String("job", r.Job.ID), zap.String("peer", link.Name()))
		return placement.Answer{}, false
	}
	answer := placement.Answer{Outcome: placement.Outcome(a.Outcome), Reason: a.Reason, RetryAfter: a.RetryAfter}
	g.opts.Metrics.Add(metrics.JobsForwarded, 1, metrics.TagOutcome, answer.Outcome.String())
	g.log.Info("forwarded job ended", zap.String("job", r.Job.ID), zap.String("route", r.Route.Name), zap.Uint64("version", r.Version),
		zap.String("peer", link.Name()), zap.Duration("took", time.Since(started)), zap.Stringer("outcome", answer.Outcome), zap.String("reason", answer.Reason))
	return answer, true
}

// handleForward accepts a job from a peer, or declines it when this entry is stopping or
// overloaded.
func (g *Gateway) handleForward(l *transport.Link, m *wire.JobForward) {
	now := time.Now()
	if g.stopping.Load() || g.loopLag.tooHigh() {
		g.log.Info("job of a peer declined", zap.String("job", m.Job.ID), zap.String("peer", l.Name()),
			zap.Bool("stopping", g.stopping.Load()), zap.Duration("lag", g.loopLag.meanLag()))
		// Sending fails only on a closed link; the peer answers its caller when it notices that.
		_ = l.Send(&wire.JobAnswer{RequestID: m.RequestID, Declined: true})
		return
	}
	g.requests.Add(1)
	r := placement.Request{Job: m.Job, Route: m.Route, Version: m.RoutesVersion, Deadline: now.Add(m.TimeLeft)}
	ticket, refusal := g.scheduler.Submit(r, now)
	if refusal != nil {
		g.sendForwardAnswer(l, m.RequestID, *refusal)
		return
	}
	if !g.forwarder.addReceived(l, m.RequestID, ticket) {
		ticket.Cancel(now)
	}
	g.tomb.Go(func() error {
		g.sendForwardAnswer(l, m.RequestID, <-ticket.Done())
		return nil
	})
}

// addReceived records a job that a peer sent. It reports false if the peer's link has ended.
func (f *forwarder) addReceived(l *transport.Link, number uint64, t *placement.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.peers[l] {
		return false
	}
	if f.received[l] == nil {
		f.received[l] = make(map[uint64]*placement.Ticket)
	}
	f.received[l][number] = t
	return true
}

// removeReceived removes a job that a peer sent and returns its ticket, or nil.
func (f *forwarder) removeReceived(l *transport.Link, number uint64) *placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.received[l][number]
	delete(f.received[l], number)
	return t
}

// sendForwardAnswer sends the answer of a job to the peer that forwarded it.
func (g *Gateway) sendForwardAnswer(l *transport.Link, number uint64, a placement.Answer) {
	defer g.requests.Add(-1)
	g.forwarder.removeReceived(l, number)
	m := &wire.JobAnswer{
		RequestID: number, Outcome: uint8(a.Outcome), Reason: a.Reason, RetryAfter: a.RetryAfter,
		Contended: g.forwarder.contended(time.Now()),
	}
	if err := l.Send(m); err != nil {
		g.log.Info("cannot send the answer of a forwarded job: the link to the peer has ended", zap.String("peer", l.Name()), zap.Stringer("outcome", a.Outcome), zap.Error(err))
	}
}
