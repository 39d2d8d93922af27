package gateway

import (
	"time"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/transport"
)

// LinkSecret is the secret from which the processes of a deployment derive their link
// certificates. The platform provides no keys. The secret only separates the links of
// different systems; it does not protect against an attacker on the network.
const LinkSecret = "catkinline-links"

// LinkTiming sets the heartbeats and timeouts of links. The peer timeout spans three heartbeats,
// so that one lost packet does not end a link. How long runs outlast their entry does not depend
// on it, but on sidecar.MaxEntrySilence.
var LinkTiming = transport.Timing{
	Heartbeat:   150 * time.Millisecond,
	PeerTimeout: 500 * time.Millisecond,
	Handshake:   400 * time.Millisecond,
}

// LostRunTimeout is how long the runs of an agent may continue after the link to it ended: no
// lease ends later than sidecar.MaxEntrySilence and DefaultLease after the agent's last proof that this entry
// is alive.
const LostRunTimeout = sidecar.MaxEntrySilence + sidecar.DefaultLease + leaseMargin

// leaseMargin allows for the clock of a target, which may be 2% slow, and for its timers.
const leaseMargin = 100 * time.Millisecond

// maxPause is the longest pause of the process after which jobs and links continue. Agents
// shorten the leases of this entry's runs meanwhile, and of those for a peer that dies.
const maxPause = 600 * time.Millisecond

const (
	// maxMemberBackoff bounds the delay between attempts to register while the store fails: a
	// restarted entry must be listed within 2 s after the store recovers.
	maxMemberBackoff = 1500 * time.Millisecond
	// gaugeInterval is the interval at which gauges are updated; they are scraped every few
	// seconds.
	gaugeInterval = time.Second
	// refusalRetryAfter is the delay after which callers may send a refused job again, to this entry
	// or another one.
	refusalRetryAfter = time.Second
	// agentListInterval is the shortest interval between two lists of entries to the agents, and
	// the one at which links to peers that are no longer needed are closed. Agents reach their
	// other placer meanwhile.
	agentListInterval = time.Second
	// placerStateInterval is the interval at which this entry checks whether it has targets, and
	// tells its peers of a change.
	placerStateInterval = 100 * time.Millisecond
	// dialInterval is the delay between attempts to connect to a peer. It is short because an
	// entry without a link to a placer serves no jobs.
	dialInterval = 100 * time.Millisecond
	// initialRoutesTimeout is how long a process waits after its start for the first routes
	// before it accepts links and refuses jobs. The store answers within a few milliseconds;
	// while it is unavailable, routes come from peers over links.
	initialRoutesTimeout = 500 * time.Millisecond
	// storeCallTimeout bounds one call to the store by the routes loop.
	storeCallTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Durations of a planned stop, from its request. The load balancer checks once per second and
// needs two failed checks before it sends new connections elsewhere.
const (
	// minDrainTime is the shortest drain. Until it has passed, the load balancer may send new
	// connections here; answers ask callers to close theirs.
	minDrainTime = 2200 * time.Millisecond
	// defaultGrace is the usual time from the stop request until the process is killed, for
	// platforms that do not specify it.
	defaultGrace = 6 * time.Second
	// drainIdleTime is how long no request may be in progress before the drain ends early.
	drainIdleTime = 300 * time.Millisecond
)
