package gateway

import (
	"time"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/transport"
)

// LinkSecret is the secret from which the processes of a deployment derive their
// link certificates. The platform hands out no keys, so it keeps links of other
// systems apart and is no protection against an attacker on the network.
const LinkSecret = "catkinline-links"

// LinkTiming is the pace of links. A caller whose connection broke sends its job
// again, to another entry, 1.3 s later at the earliest; by then the agents must
// have given this entry up and stopped its runs. Three heartbeats fit into the
// silence limit, so that one lost packet ends no link.
var LinkTiming = transport.Timing{
	Heartbeat: 150 * time.Millisecond,
	Silence:   500 * time.Millisecond,
	Handshake: 400 * time.Millisecond,
}

// LostRunTimeout is how long after a link's end the agent's runs may go on: either
// the agent lives, notices the silence and stops them, or their lease ends.
const LostRunTimeout = 500*time.Millisecond + sidecar.DefaultLease + stopTime

// stopTime is what an agent needs to have runs stopped, and the target's clock
// may be slow by.
const stopTime = 100 * time.Millisecond

// maxPause is the longest pause of the process after which jobs go on. It is
// below the time after which callers send their jobs again.
const maxPause = time.Second

const (
	// memberBackoff bounds the pause between attempts to register while the store
	// fails: an entry that is back must be listed within 2 s of the store's return.
	memberBackoff = 1500 * time.Millisecond
	// gaugeInterval is how old a gauge may be; the page is read every few seconds.
	gaugeInterval = time.Second
	// dialInterval is the pause between attempts to reach a peer.
	dialInterval = 500 * time.Millisecond
	// startWait is how long a process that has just started waits for its first
	// routes before it takes links and refuses jobs. The store answers within some
	// milliseconds; while it is down, routes come from peers over links.
	startWait = 500 * time.Millisecond
	// callTimeout bounds one call to the store by the routes loop.
	callTimeout = time.Second
	// retryLowest and retryLongest bound the pause after a failed call.
	retryLowest  = 100 * time.Millisecond
	retryLongest = 800 * time.Millisecond
)

// Times of a planned stop, from its request. The balancer needs two misses of a
// check each second to send new connections elsewhere.
const (
	// leaveAfter is when answers ask callers to close their connections.
	leaveAfter = 2200 * time.Millisecond
	// defaultGrace is the usual time from the request to stop until the process is
	// killed, for a platform that does not say.
	defaultGrace = 6 * time.Second
	// quietTime is how long no request may have come for the stop to end early.
	quietTime = 300 * time.Millisecond
)
