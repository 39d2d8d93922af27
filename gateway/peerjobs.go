package gateway

import "github.com/catkinline/catkinline/wire"

// Jobs of peers are bounded by their memory here as callers' requests are bounded at the peers: ten entries may
// forward to one placer what each of them has admitted.

// peerJobShare is the part of the callers' memory that jobs of peers may hold as well.
const peerJobShare = 2

// holdPeerJob counts a job of a peer. It returns false if the job does not fit.
func (g *Gateway) holdPeerJob(m *wire.JobForward) bool {
	size := int64(len(m.Job.Spec))
	if g.peerJobBytes.Add(size) <= g.plan.Clients.Bytes/peerJobShare {
		return true
	}
	g.peerJobBytes.Add(-size)
	return false
}

func (g *Gateway) releasePeerJob(m *wire.JobForward) { g.peerJobBytes.Add(-int64(len(m.Job.Spec))) }
