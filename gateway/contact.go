package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxCutOff is how long an entry may be without any link before it gives up its jobs. Others may cancel
	// them meanwhile, and must not find them started again more than 3 s later. An idle link is lost within
	// 1.25 s.
	maxCutOff = 1500 * time.Millisecond
	// peerGrace is how long after the first link to an agent an entry that was cut off waits for one to a peer.
	peerGrace = time.Second
)

// contact tracks whether this entry may have missed that jobs were cancelled elsewhere, since it was cut off
// from all other processes. It is safe for concurrent use.
type contact struct {
	mu       sync.Mutex
	linkedAt time.Time // when there last was a link, or no other entry was known; zero: not yet
	outdated bool      // there was none for maxCutOff, and no peer has told the cancelled jobs since
	agentAt  time.Time // when an agent was linked again since then; zero: not yet
}

// update records what there is, and reports whether this entry has just become cut off.
func (c *contact) update(agents, peers, knownPeers int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outdated {
		c.waitForPeer(agents, knownPeers, now)
		return false
	}
	if agents > 0 || peers > 0 || knownPeers == 0 {
		c.linkedAt = now
	}
	c.outdated, c.agentAt = !c.linkedAt.IsZero() && now.Sub(c.linkedAt) > maxCutOff, time.Time{}
	return c.outdated
}

// waitForPeer ends the wait for a peer if none is known any more, or none comes. It must be called with mu held.
func (c *contact) waitForPeer(agents, knownPeers int, now time.Time) {
	if agents == 0 {
		c.agentAt = time.Time{}
	} else if c.agentAt.IsZero() {
		c.agentAt = now
	}
	if knownPeers == 0 || !c.agentAt.IsZero() && now.Sub(c.agentAt) > peerGrace {
		c.outdated, c.linkedAt = false, now
	}
}

// told records that a peer has told the cancelled jobs.
func (c *contact) told(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outdated, c.linkedAt = false, now
}

func (c *contact) isOutdated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outdated
}

// checkContact gives up all jobs when this entry has become cut off. Their runs were stopped with the links.
func (g *Gateway) checkContact(now time.Time) {
	g.mu.Lock()
	agents := len(g.agents)
	g.mu.Unlock()
	if !g.contact.update(agents, len(g.forwarder.links()), len(g.members.Snapshot().Direct), now) {
		return
	}
	const reason = "the entry was cut off from all others"
	g.log.Warn("cut off from all agents and entries: jobs are given up", zap.Int("jobs", g.scheduler.Load().Jobs))
	g.scheduler.AbandonAll(reason, now)
	g.forwarder.abandonAll(reason)
}
