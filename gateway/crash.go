package gateway

import (
	"time"

	"github.com/catkinline/catkinline/wire"
)

// handleAgentCrash records a crash that an agent reports, and tells the peers if it is new. A
// job may go on at any of them, also when this process is gone.
func (g *Gateway) handleAgentCrash(m *wire.CrashReport) {
	now := time.Now()
	if g.scheduler.HandleCrash(m.Record(now), now) {
		g.sendToPeers(m)
	}
}

// handlePeerCrash records a crash that a peer reports. Placers are linked to each other, so that
// nothing is passed on.
func (g *Gateway) handlePeerCrash(m *wire.CrashReport) {
	now := time.Now()
	g.scheduler.HandleCrash(m.Record(now), now)
}

// sendCrashes tells a newly linked peer what this process knows of crashes. A process that has
// just started is told by the first peer, before most agents are linked to it.
func (g *Gateway) sendCrashes(l peerLink) {
	now := time.Now()
	for _, r := range g.scheduler.Crashes(now) {
		// Sending fails only on a closed link.
		_ = l.Send(wire.NewCrashReport(r, now))
	}
}
