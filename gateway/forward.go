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
	// entriesPerPlacer is the number of entries for which one places the jobs while
	// targets are full. Fewer placers serve more in time (14 entries at 1.2 times what
	// 76 targets can do, in virtual time: all place 0.68 of the worth, six 0.76, three
	// 0.82, one 0.85), but one of 0.8 cores places some 900 jobs a second.
	entriesPerPlacer = 5
	// fewestEntries is the number of entries below which each places its own jobs: a
	// placer on an instance that turns slow takes the jobs of all with it. Three entries
	// lost 0.10 and 0.17 of a day's worth so, and gained 0.01 on other days.
	fewestEntries = 6
	// contendedFor is how long after tasks last waited jobs still go to placers, so
	// that entries do not fall back to placing against each other at each gap.
	contendedFor = 500 * time.Millisecond
	// declinePause is for how long a peer that has declined a job is asked for none:
	// a few of its mean lags.
	declinePause = 200 * time.Millisecond
	// hopTime is what the way to a peer and back takes off a caller's time.
	hopTime = 5 * time.Millisecond
)

// forwarder hands jobs to placers while targets are full, and keeps the jobs that
// peers have handed to this entry. Entries that place against each other see room
// that others are about to take and cannot order each other's jobs; a few that place
// for all can. A placer runs such a job as its own and ends it with the link, as
// agents end the runs of an entry that went silent; the caller's entry passes the
// answer on.
type forwarder struct {
	created     time.Time
	contendedAt atomic.Int64 // nanoseconds since created, whatever the time of day does

	mu       sync.Mutex
	number   uint64
	out      map[uint64]*forward // handed to peers
	byID     map[string]*forward
	in       map[*transport.Link]map[uint64]*placement.Ticket // from peers
	peers    map[*transport.Link]bool
	declined map[string]time.Time // by peer, when it last declined
}

// forward is a job that a peer runs.
type forward struct {
	number uint64
	id     string
	link   *transport.Link
	answer chan wire.JobAnswer // has room for one
}

// cancel tells the peer that the job's caller no longer waits.
func (o *forward) cancel() {
	// An error is a link that ends, and with it the job.
	_ = o.link.Send(&wire.JobCancel{Number: o.number})
}

func newForwarder() *forwarder {
	return &forwarder{
		created: time.Now(),
		out:     make(map[uint64]*forward), byID: make(map[string]*forward),
		in:    make(map[*transport.Link]map[uint64]*placement.Ticket),
		peers: make(map[*transport.Link]bool), declined: make(map[string]time.Time),
	}
}

// linkUp takes in a link to a peer.
func (f *forwarder) linkUp(l *transport.Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[l] = true
}

// busy reports whether jobs are out on a link, or here from it.
func (f *forwarder) busy(l *transport.Link) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.in[l]) > 0 {
		return true
	}
	for _, o := range f.out {
		if o.link == l {
			return true
		}
	}
	return false
}

// send hands a job to a peer.
func (f *forwarder) send(l *transport.Link, r placement.Request) (*forward, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	o := &forward{number: f.number, id: r.Job.ID, link: l, answer: make(chan wire.JobAnswer, 1)}
	f.out[o.number], f.byID[o.id] = o, o
	left := time.Until(r.Deadline) - hopTime
	err := l.Send(&wire.JobForward{Number: o.number, Job: r.Job, Route: r.Route, Version: r.Version, Left: left})
	if err != nil {
		f.forget(o)
	}
	return o, err
}

// forget must be called with mu held.
func (f *forwarder) forget(o *forward) {
	delete(f.out, o.number)
	if f.byID[o.id] == o {
		delete(f.byID, o.id)
	}
}

// end takes a job off the list and reports whether it was on it.
func (f *forwarder) end(o *forward) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.out[o.number] == o
	f.forget(o)
	return known
}

// answered passes an answer on.
func (f *forwarder) answered(l *transport.Link, a *wire.JobAnswer, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Declined {
		f.declined[l.Name()] = now
	}
	if a.Contended {
		f.setContended(now)
	}
	if o := f.out[a.Number]; o != nil && o.link == l {
		f.forget(o)
		o.answer <- *a
	}
}

// linkDown answers for a peer whose link has ended, and returns the jobs that it had
// handed to this entry.
func (f *forwarder) linkDown(l *transport.Link) []*placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, l)
	f.abandon("the link to the peer that ran the job has ended", func(o *forward) bool { return o.link == l })
	var tickets []*placement.Ticket
	for _, t := range f.in[l] {
		tickets = append(tickets, t)
	}
	delete(f.in, l)
	return tickets
}

// abandon answers jobs that peers have as of unknown outcome. It must be called with
// mu held.
func (f *forwarder) abandon(reason string, which func(*forward) bool) {
	for _, o := range f.out {
		if which(o) {
			f.forget(o)
			o.answer <- wire.JobAnswer{Number: o.number, Outcome: uint8(placement.Expired), Reason: reason}
		}
	}
}

// abandonAll answers all jobs that peers have as of unknown outcome.
func (f *forwarder) abandonAll(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.out {
		o.cancel()
	}
	f.abandon(reason, func(*forward) bool { return true })
}

// cancel ends a job that a peer has, and reports whether there was one.
func (f *forwarder) cancel(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.byID[id]
	if o == nil {
		return false
	}
	o.cancel()
	f.forget(o)
	o.answer <- wire.JobAnswer{Number: o.number, Outcome: uint8(placement.Cancelled), Reason: "cancelled by a request"}
	return true
}

// holder returns the link to the peer that has a job already, or nil.
func (f *forwarder) holder(id string) *transport.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.byID[id]; o != nil {
		return o.link
	}
	return nil
}

// setContended takes note that tasks wait here or at a placer.
func (f *forwarder) setContended(now time.Time) {
	f.contendedAt.Store(max(1, int64(now.Sub(f.created))))
}

// contended reports whether tasks wait, or did just now.
func (f *forwarder) contended(now time.Time) bool {
	at := f.contendedAt.Load()
	return at > 0 && now.Sub(f.created)-time.Duration(at) < contendedFor
}

// placers chooses the entries that place for all: those with the most processor, over
// as many failure domains as possible. Entries that know the same peers choose alike.
// One that does not say what processor it has may be of a version without placers.
func placers(entries []wire.Peer) []string {
	count := (len(entries) + entriesPerPlacer - 1) / entriesPerPlacer
	inDomain := make(map[string]int)
	left := slices.DeleteFunc(slices.Clone(entries), func(p wire.Peer) bool { return p.CPU == 0 })
	var out []string
	for len(out) < count && len(left) > 0 {
		best := slices.MinFunc(left, func(a, b wire.Peer) int {
			return cmp.Or(cmp.Compare(b.CPU, a.CPU), cmp.Compare(inDomain[a.FailureDomain], inDomain[b.FailureDomain]), strings.Compare(a.Name, b.Name))
		})
		left = slices.DeleteFunc(left, func(p wire.Peer) bool { return p.Name == best.Name })
		inDomain[best.FailureDomain]++
		out = append(out, best.Name)
	}
	return out
}

// forwardTo returns the link to the placer that a job should go to, or nil.
func (g *Gateway) forwardTo(id string, now time.Time) *transport.Link {
	f := g.forwards
	if g.stopping.Load() || !g.opts.ForwardAlways && !f.contended(now) {
		return nil
	}
	direct := g.members.Snapshot().Direct
	entries := append([]wire.Peer{g.self()}, direct...)
	if len(entries) < fewestEntries && !g.opts.ForwardAlways {
		return nil
	}
	names := placers(entries)
	if len(names) == 0 || slices.Contains(names, g.node.Name) {
		return nil
	}
	if known, _ := g.scheduler.Status(id); known {
		return nil
	}
	return f.choose(names, now)
}

// choose returns the link to one of some peers that has not declined a job just now,
// in turn, or nil.
func (f *forwarder) choose(names []string, now time.Time) *transport.Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range names {
		name := names[(f.number+uint64(i))%uint64(len(names))]
		if now.Sub(f.declined[name]) < declinePause {
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

// submitElsewhere hands a job to a peer and returns its answer, and whether the peer
// has taken it.
func (g *Gateway) submitElsewhere(ctx context.Context, r placement.Request) (placement.Answer, bool) {
	f, begun := g.forwards, time.Now()
	link := f.holder(r.Job.ID)
	if link == nil {
		if link = g.forwardTo(r.Job.ID, begun); link == nil {
			return placement.Answer{}, false
		}
	}
	o, err := f.send(link, r)
	if err != nil {
		return placement.Answer{}, false
	}
	var a wire.JobAnswer
	select {
	case a = <-o.answer:
	case <-ctx.Done():
		if f.end(o) {
			o.cancel()
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
		zap.String("peer", link.Name()), zap.Duration("took", time.Since(begun)), zap.Stringer("outcome", answer.Outcome), zap.String("reason", answer.Reason))
	return answer, true
}

// handleForward takes a job from a peer, or declines it.
func (g *Gateway) handleForward(l *transport.Link, m *wire.JobForward) {
	now := time.Now()
	if g.stopping.Load() || g.pressure.high() {
		g.log.Info("job of a peer declined", zap.String("job", m.Job.ID), zap.String("peer", l.Name()),
			zap.Bool("stopping", g.stopping.Load()), zap.Duration("lag", g.pressure.lag()))
		// An error is a link that ends; the peer answers its caller then.
		_ = l.Send(&wire.JobAnswer{Number: m.Number, Declined: true})
		return
	}
	g.requests.Add(1)
	r := placement.Request{Job: m.Job, Route: m.Route, Version: m.Version, Deadline: now.Add(m.Left)}
	ticket, refusal := g.scheduler.Submit(r, now)
	if refusal != nil {
		g.answerForward(l, m.Number, *refusal)
		return
	}
	if !g.forwards.take(l, m.Number, ticket) {
		ticket.Cancel(now)
	}
	g.tomb.Go(func() error {
		g.answerForward(l, m.Number, <-ticket.Done())
		return nil
	})
}

// take keeps a job that a peer has handed over. It reports false if the peer's link
// has ended.
func (f *forwarder) take(l *transport.Link, number uint64, t *placement.Ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.peers[l] {
		return false
	}
	if f.in[l] == nil {
		f.in[l] = make(map[uint64]*placement.Ticket)
	}
	f.in[l][number] = t
	return true
}

// drop takes a peer's job off the list and returns it, or nil.
func (f *forwarder) drop(l *transport.Link, number uint64) *placement.Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.in[l][number]
	delete(f.in[l], number)
	return t
}

// answerForward sends the answer of a peer's job.
func (g *Gateway) answerForward(l *transport.Link, number uint64, a placement.Answer) {
	defer g.requests.Add(-1)
	g.forwards.drop(l, number)
	m := &wire.JobAnswer{
		Number: number, Outcome: uint8(a.Outcome), Reason: a.Reason, RetryAfter: a.RetryAfter,
		Contended: g.forwards.contended(time.Now()),
	}
	if err := l.Send(m); err != nil {
		g.log.Info("the answer of a peer's job is lost with the link", zap.String("peer", l.Name()), zap.Stringer("outcome", a.Outcome), zap.Error(err))
	}
}
