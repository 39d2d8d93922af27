package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkinline/catkinline/wire"
)

const (
	// declineBackoff is how long a placer is sent no jobs after it declined one: a few of its
	// mean lags.
	declineBackoff = 200 * time.Millisecond
	// quietAfter is the time without a message after which a placer with unfinished jobs is sent
	// no more while another one is left. Its heartbeats come every 150 ms, and jobs that are sent
	// to a placer that has died are lost.
	quietAfter = 250 * time.Millisecond
	// waitingTTL is how long a placer's waiting work is taken into account. A placer that is
	// avoided sends no answers that would say that its tasks have started; at a peak, an entry
	// gets several answers from each placer in this time.
	waitingTTL = 500 * time.Millisecond
)

// peerLink is a link to a peer entry. Send does not block and fails only on a closed link.
type peerLink interface {
	Name() string
	Incarnation() wire.Incarnation
	Send(m wire.Message) error
	Close(err error) error
	SinceReceived() time.Duration // time since the last message from the peer
	SinceAlive() time.Duration    // time since the peer was last known to be alive
}

// peerState is what is known about a linked peer.
type peerState struct {
	wire.PlacerState
	waitingAt  time.Time // when WaitingCPU was received
	declinedAt time.Time
	jobs       int       // sent and not answered
	busySince  time.Time // when jobs last rose from 0
}

// placerTable tracks the linked peers and chooses the placer of a job. It is not safe for
// concurrent use.
type placerTable struct {
	peers map[peerLink]*peerState
	turn  int
}

func newPlacerTable() placerTable { return placerTable{peers: make(map[peerLink]*peerState)} }

// jobSent records that a job was sent over a link.
func (t *placerTable) jobSent(l peerLink, now time.Time) {
	if p := t.peers[l]; p != nil {
		if p.jobs == 0 {
			p.busySince = now
		}
		p.jobs++
	}
}

// jobEnded records that a job that was sent over a link was answered or given up.
func (t *placerTable) jobEnded(l peerLink) {
	if p := t.peers[l]; p != nil {
		p.jobs--
	}
}

// quiet reports whether a peer owes a message for so long that it may have died.
func (p *peerState) quiet(l peerLink, now time.Time) bool {
	return p.jobs > 0 && now.Sub(p.busySince) > quietAfter && l.SinceReceived() > quietAfter
}

// waiting returns the peer's waiting work, or 0 if that is not known any more.
func (p *peerState) waiting(now time.Time) int64 {
	if now.Sub(p.waitingAt) > waitingTTL {
		return 0
	}
	return p.WaitingCPU
}

// anyIdle reports whether a named peer with targets lately reported that it has no waiting work.
func (t *placerTable) anyIdle(names []string, now time.Time) bool {
	for l, p := range t.peers {
		known := now.Sub(p.waitingAt) <= waitingTTL && !p.quiet(l, now)
		if known && p.WaitingCPU == 0 && p.Targets > 0 && !p.Stopping && slices.Contains(names, l.Name()) {
			return true
		}
	}
	return false
}

// reachable reports whether a named peer is linked and has targets.
func (t *placerTable) reachable(names []string) bool {
	for l, p := range t.peers {
		if p.Targets > 0 && slices.Contains(names, l.Name()) {
			return true
		}
	}
	return false
}

// choose returns the link to the named placer that should get the next job, or nil. Of two
// placers, one in turn and one at random, it takes the one with less waiting work for each of its
// targets: the numbers are as old as the last message, and if every entry sent its jobs to the placer
// with the least, that one would be flooded. Quiet placers, and those with few targets, are taken only
// if no other is left; excluded ones are not taken.
func (t *placerTable) choose(names []string, exclude []peerLink, now time.Time) peerLink {
	sound, others := t.candidates(names, exclude, now)
	if len(sound) == 0 {
		sound = others
	}
	if len(sound) == 0 {
		return nil
	}
	t.turn++
	first := t.turn % len(sound)
	if len(sound) == 1 {
		return sound[first]
	}
	second := (first + 1 + rand.IntN(len(sound)-1)) % len(sound)
	if a, b := t.peers[sound[first]], t.peers[sound[second]]; b.waiting(now)*int64(a.Targets) < a.waiting(now)*int64(b.Targets) {
		return sound[second]
	}
	return sound[first]
}

// fewTargetsShare is the share of the targets of the placer with the most below which another one has few:
// agents are still moving to it after its start, or away from it. Jobs that are sent to it wait while
// targets that it does not have are free. Otherwise placers differ by less, since agents choose them by hash.
const fewTargetsShare = 0.5

// hasFew reports whether a number of targets is small against that of the placer with the most.
func hasFew(targets, most uint32) bool { return float64(targets) < fewTargetsShare*float64(most) }

// candidates returns the links to the named placers that may get a job, those apart that are quiet or have
// few targets.
func (t *placerTable) candidates(names []string, exclude []peerLink, now time.Time) (sound, others []peerLink) {
	most := t.mostTargets(names)
	for _, name := range names {
		l, p := t.find(name)
		switch {
		case l == nil || p.Targets == 0 || slices.Contains(exclude, l) || now.Sub(p.declinedAt) < declineBackoff:
		case p.quiet(l, now) || hasFew(p.Targets, most):
			others = append(others, l)
		default:
			sound = append(sound, l)
		}
	}
	return sound, others
}

// mostTargets returns the number of targets of the named placer that has the most.
func (t *placerTable) mostTargets(names []string) (most uint32) {
	for l, p := range t.peers {
		if p.Targets > most && slices.Contains(names, l.Name()) {
			most = p.Targets
		}
	}
	return most
}

// find returns the link to a peer and its state, or nil. Of two links, which both sides may
// have dialled, it is the one that was heard of last.
func (t *placerTable) find(name string) (link peerLink, state *peerState) {
	for l, p := range t.peers {
		if l.Name() == name && (link == nil || l.SinceReceived() < link.SinceReceived()) {
			link, state = l, p
		}
	}
	return link, state
}

// replaced returns the links to earlier processes of a peer that has opened a new one.
func (t *placerTable) replaced(by peerLink) []peerLink {
	var old []peerLink
	for l := range t.peers {
		if l.Name() == by.Name() && l.Incarnation() < by.Incarnation() {
			old = append(old, l)
		}
	}
	return old
}
