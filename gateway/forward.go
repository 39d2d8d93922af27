package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

const (
	// maxForwards is the number of placers that a job is offered to. Each offer that is declined
	// costs a round trip.
	maxForwards = 3
	// peerRoundTrip is subtracted from the time left of a forwarded job for the way to the
	// peer and back.
	peerRoundTrip = 5 * time.Millisecond
	// placerPollInterval is how often a job that waits for a placer looks for one.
	placerPollInterval = 10 * time.Millisecond
)

// forwarder sends jobs to the placers, and tracks the jobs that peers sent to this entry. Many
// entries that place independently compete for the same free room, cannot order each other's
// jobs by priority, and need a link to every agent; a few placers that place for all do
// better. A placer runs a forwarded job as its own and ends it when the link to the sender
// ends, as agents do with the runs of a lost entry. The sender returns the answer to the
// caller.
type forwarder struct {
	mu         sync.Mutex
	lastNumber uint64
	sent       map[uint64]*forwardedJob                  // to peers, by number
	byID       map[string]*forwardedJob                  // sent, by job ID
	received   map[peerLink]map[uint64]*placement.Ticket // from peers, by number
	placers    placerTable
}

// forwardedJob is a job that was sent to a peer.
type forwardedJob struct {
	number uint64
	id     string
	link   peerLink
	answer chan wire.JobAnswer // buffered, so that the sender never blocks
}

// cancel tells the peer that the job's caller no longer waits.
func (j *forwardedJob) cancel() {
	// Sending fails only on a closed link, whose end also ends the job.
	_ = j.link.Send(&wire.JobCancel{RequestID: j.number})
}

func newForwarder() *forwarder {
	return &forwarder{
		sent: make(map[uint64]*forwardedJob), byID: make(map[string]*forwardedJob),
		received: make(map[peerLink]map[uint64]*placement.Ticket),
		placers:  newPlacerTable(),
	}
}

// linkUp adds a link to a peer. Links to earlier processes of the peer are closed at once: they
// would time out only later, and jobs that are sent over them are lost.
func (f *forwarder) linkUp(l peerLink) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, old := range f.placers.replaced(l) {
		_ = old.Close(nil) // never fails
	}
	f.placers.peers[l] = &peerState{}
}

// linked reports whether a link to a peer is in use.
func (f *forwarder) linked(l peerLink) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placers.peers[l] != nil
}

// linkedTo reports whether a named peer is linked.
func (f *forwarder) linkedTo(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, _ := f.placers.find(peer)
	return l != nil
}

// handleState records what a peer says of itself.
func (f *forwarder) handleState(l peerLink, m *wire.PlacerState, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.placers.peers[l]; p != nil {
		p.PlacerState, p.waitingAt = *m, now
	}
}

// links returns the open links to peers.
func (f *forwarder) links() []peerLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	var links []peerLink
	for l := range f.placers.peers {
		links = append(links, l)
	}
	return links
}

// hasJobs reports whether jobs were sent over a link or received from it that have not ended.
func (f *forwarder) hasJobs(l peerLink) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.placers.peers[l]
	return len(f.received[l]) > 0 || p != nil && p.jobs > 0
}

// hasJobsWith reports whether a link to a named peer has jobs.
func (f *forwarder) hasJobsWith(peer string) bool {
	for _, l := range f.links() {
		if l.Name() == peer && f.hasJobs(l) {
			return true
		}
	}
	return false
}

// send forwards a job to a peer.
func (f *forwarder) send(l peerLink, r placement.Request, lastChoice bool, now time.Time) (*forwardedJob, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastNumber++
	j := &forwardedJob{number: f.lastNumber, id: r.Job.ID, link: l, answer: make(chan wire.JobAnswer, 1)}
	m := &wire.JobForward{
		RequestID: j.number, Job: r.Job, Route: r.Route, RoutesVersion: r.Version,
		TimeLeft: r.Deadline.Sub(now) - peerRoundTrip, LastChoice: lastChoice,
	}
	if !r.StopAt.IsZero() {
		m.StopIn = max(1, r.StopAt.Sub(now)-peerRoundTrip)
	}
	if err := l.Send(m); err != nil {
		return nil, err
	}
	f.sent[j.number], f.byID[j.id] = j, j
	f.placers.jobSent(l, now)
	return j, nil
}

// remove removes a sent job. It must be called with mu held.
func (f *forwarder) remove(j *forwardedJob) {
	if f.sent[j.number] == j {
		f.placers.jobEnded(j.link)
	}
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
func (f *forwarder) handleAnswer(l peerLink, a *wire.JobAnswer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.placers.peers[l]; p != nil {
		p.WaitingCPU, p.waitingAt = a.WaitingCPU, now
		if a.Declined && !a.Hopeless {
			p.declinedAt = now
		}
	}
	if j := f.sent[a.RequestID]; j != nil && j.link == l {
		f.remove(j)
		j.answer <- *a
	}
}

// linkDown removes a link to a peer and answers the jobs that were sent over it. It returns
// the jobs that were received over it.
func (f *forwarder) linkDown(l peerLink) []*placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandon("the link to the peer that ran the job has ended", func(j *forwardedJob) bool { return j.link == l })
	delete(f.placers.peers, l)
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
func (f *forwarder) linkOf(id string) peerLink {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.byID[id]; j != nil {
		return j.link
	}
	return nil
}

// choose returns the link to the placer that a job should be offered to next, or nil, and
// whether there are more that it could be offered to.
func (f *forwarder) choose(names []string, exclude []peerLink, now time.Time) (link peerLink, more bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sound, others := f.placers.candidates(names, exclude, now)
	return f.placers.choose(names, exclude, now), len(sound)+len(others) > 1
}

// otherIdle reports whether a named linked placer with targets lately reported that it has no waiting work.
func (f *forwarder) otherIdle(names []string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placers.anyIdle(names, now)
}

// mostTargets returns the number of targets of the named linked placer that has the most.
func (f *forwarder) mostTargets(names []string) uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placers.mostTargets(names)
}

// reachable reports whether a named placer is linked and has targets.
func (f *forwarder) reachable(names []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.placers.reachable(names)
}

// submitToPlacer offers a job to placers and returns its answer, and whether one accepted it.
func (g *Gateway) submitToPlacer(ctx context.Context, r placement.Request) (placement.Answer, bool) {
	if link := g.forwarder.linkOf(r.Job.ID); link != nil {
		return g.forwardTo(ctx, link, r, true)
	}
	if g.placesItself(r.Job.ID) {
		return placement.Answer{}, false
	}
	return g.offer(ctx, r)
}

// offer offers a job to one placer after the other, and returns its answer, and whether one accepted it. The
// last one refuses a hopeless job, the others decline it.
func (g *Gateway) offer(ctx context.Context, r placement.Request) (placement.Answer, bool) {
	var asked []peerLink
	for len(asked) < maxForwards {
		link, more := g.forwarder.choose(g.placers(), asked, time.Now())
		if link == nil {
			break
		}
		asked = append(asked, link)
		if a, accepted := g.forwardTo(ctx, link, r, !more || len(asked) == maxForwards); accepted {
			return a, true
		}
	}
	return placement.Answer{}, false
}

// placesItself reports whether this entry places a job: it is a placer with targets, and not few
// against the others, or it runs the job already. During a planned stop, others place if they can.
func (g *Gateway) placesItself(id string) bool {
	if known, _ := g.scheduler.Status(id); known {
		return true
	}
	placers := g.placers()
	if !slices.Contains(placers, g.node.Name) || !g.scheduler.HasTargets() {
		return false
	}
	most := g.forwarder.mostTargets(placers)
	return most == 0 || !g.stopping.Load() && !hasFew(g.usableTargets.Load(), most)
}

// forwardTo sends a job to a peer and returns its answer, and whether the peer accepted the
// job.
func (g *Gateway) forwardTo(ctx context.Context, link peerLink, r placement.Request, lastChoice bool) (placement.Answer, bool) {
	if a := g.cancelledAnswer(r.Job.ID); a != nil {
		return *a, true
	}
	if reason := g.outdated(ctx, r); reason != "" {
		return g.refuse(r, reason), true
	}
	f, started := g.forwarder, time.Now()
	j, err := f.send(link, r, lastChoice, started)
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
	answer := answerOf(a)
	g.opts.Metrics.Add(metrics.JobsForwarded, 1, metrics.TagOutcome, answer.Outcome.String())
	g.log.Info("forwarded job ended", zap.String("job", r.Job.ID), zap.String("route", r.Route.Name), zap.Uint64("version", r.Version),
		zap.String("peer", link.Name()), zap.Duration("took", time.Since(started)), zap.Stringer("outcome", answer.Outcome), zap.String("reason", answer.Reason))
	return answer, true
}

// answerOf returns the answer in a peer's message. The outcome of a job is unknown if the
// message names none that exists.
func answerOf(a wire.JobAnswer) placement.Answer {
	answer := placement.Answer{Outcome: placement.Outcome(a.Outcome), Reason: a.Reason, RetryAfter: a.RetryAfter}
	if !answer.Outcome.Valid() {
		return placement.Answer{Outcome: placement.Expired, Reason: fmt.Sprintf("the peer answered with the unknown outcome %d", a.Outcome)}
	}
	return answer
}

// awaitPlacement waits until a placer or a target of this entry can be reached, and reports
// whether there is one. It gives up when this entry counts as isolated, when the job is cancelled, or with ctx.
func (g *Gateway) awaitPlacement(ctx context.Context, id string) bool {
	for {
		switch {
		case g.cancelled.has(id, time.Now()):
			return false
		case g.scheduler.HasTargets() || g.forwarder.reachable(g.placers()):
			return true
		case g.isolated(time.Now()):
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-g.tomb.Dying():
			return false
		case <-time.After(placerPollInterval):
		}
	}
}
