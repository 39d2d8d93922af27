package entry

import (
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/quota"
	"github.com/catkinline/catkinline/transport"
	"github.com/catkinline/catkinline/wire"
)

// reportThreshold is the change of a workspace's demand, as a share of its quota or of
// its last reported demand, that is worth a report before the regular one. Less
// would move few slots between entries.
const reportThreshold = 0.1

// quotaTracker follows the workspaces' use of slots at this entry and divides their
// quotas with the other entries. It implements dispatch.Quotas.
//
// Entries are named by name and incarnation, so that the tasks of an earlier run
// of an entry keep their share until they must have ended.
type quotaTracker struct {
	mu       sync.Mutex
	divider  *quota.Divider
	limits   map[string]int
	running  map[string]int
	waiting  map[string]int
	reported map[string]int  // demand by workspace in the last report
	peers    map[string]bool // that the divider knows and that are not gone
	changed  bool            // quotas or peers have changed since the last report
}

func newQuotaTracker(name string, incarnation wire.Incarnation) *quotaTracker {
	return &quotaTracker{
		divider: quota.New(quotaName(name, incarnation), quota.Options{}),
		running: make(map[string]int),
		peers:   make(map[string]bool),
	}
}

func quotaName(name string, incarnation wire.Incarnation) string {
	return name + "/" + strconv.FormatUint(uint64(incarnation), 16)
}

// setWorkspaces takes the workspaces' quotas into force.
func (q *quotaTracker) setWorkspaces(workspaces map[string]config.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.limits
	q.limits = make(map[string]int)
	for name, t := range workspaces {
		if t.QuotaSlots > 0 {
			q.limits[name] = t.QuotaSlots
		}
	}
	if maps.Equal(old, q.limits) {
		return
	}
	q.changed = true
	for workspace := range old {
		if _, limited := q.limits[workspace]; !limited {
			q.divider.SetOwnUsage(workspace, 0, 0)
		}
	}
	q.divider.SetQuotas(q.limits)
	for workspace := range q.limits {
		q.updateUsage(workspace)
	}
}

// note tells the divider what a workspace with a quota uses.
func (q *quotaTracker) updateUsage(workspace string) {
	if _, limited := q.limits[workspace]; limited {
		q.divider.SetOwnUsage(workspace, q.running[workspace], q.waiting[workspace])
	}
}

// Allow implements dispatch.Quotas.
func (q *quotaTracker) Allow(workspace string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, limited := q.limits[workspace]; !limited {
		return true
	}
	return q.divider.MayStart(workspace, time.Now())
}

// TaskStarted implements dispatch.Quotas.
func (q *quotaTracker) TaskStarted(workspace string) { q.add(workspace, 1) }

// TaskEnded implements dispatch.Quotas.
func (q *quotaTracker) TaskEnded(workspace string) { q.add(workspace, -1) }

func (q *quotaTracker) add(workspace string, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[workspace] += n
	if q.running[workspace] == 0 {
		delete(q.running, workspace)
	}
	q.updateUsage(workspace)
}

// setWaiting takes in the tasks that wait at this entry, by workspace.
func (q *quotaTracker) setWaiting(waiting map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = waiting
	for workspace := range q.limits {
		q.updateUsage(workspace)
	}
}

// due reports whether demand has changed so much that peers should hear of it
// before the regular report.
func (q *quotaTracker) reportDue() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed {
		return true
	}
	for workspace, limit := range q.limits {
		was := q.reported[workspace]
		change := math.Abs(float64(q.running[workspace] + q.waiting[workspace] - was))
		if change > reportThreshold*float64(max(limit, was)) {
			return true
		}
	}
	return false
}

// report returns what to tell all peers. It reports false if the last report is
// too recent.
func (q *quotaTracker) report(now time.Time) ([]wire.WorkspaceUsage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	uses, ok := q.divider.Report(now)
	if !ok {
		return nil, false
	}
	q.changed = false
	q.reported = make(map[string]int, len(uses))
	for _, u := range uses {
		q.reported[u.Workspace] = int(u.Running) + int(u.Waiting)
	}
	return uses, true
}

// receive takes in a peer's report.
func (q *quotaTracker) receive(peer string, uses []wire.WorkspaceUsage, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers[peer] = true
	q.divider.Receive(peer, uses, now)
}

// setPeers takes in which other entries are live. Those that no longer are keep
// their share for the tasks that they may have started.
func (q *quotaTracker) setPeers(live map[string]bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for peer := range live {
		if !q.peers[peer] {
			q.peers[peer] = true
			q.divider.AddPeer(peer, now)
			q.changed = true
		}
	}
	for peer := range q.peers {
		if !live[peer] {
			delete(q.peers, peer)
			q.divider.RemovePeer(peer, now)
		}
	}
}

// handlePeerState takes in what a peer says of itself. A state without a report
// says nothing about use.
func (e *Entry) handlePeerState(l *transport.Link, m *wire.PeerState) {
	if m.UsageReported {
		e.quotas.receive(quotaName(l.Name(), l.Incarnation()), m.Workspaces, time.Now())
	}
}

// updatePeers tells the quotas which entries are live: those listed by the store
// or by other processes, and those with a link.
func (e *Entry) updatePeers() {
	live := make(map[string]bool)
	for _, p := range e.members.Snapshot().Peers {
		live[quotaName(p.Name, p.Incarnation)] = true
	}
	for _, l := range e.peerLinks() {
		live[quotaName(l.Name(), l.Incarnation())] = true
	}
	e.quotas.setPeers(live, time.Now())
}

// updateDemand tells the quotas what waits in the schedulers.
func (e *Entry) updateDemand() {
	waiting := make(map[string]int)
	for _, s := range *e.schedulers.Load() {
		s.AddWaiting(waiting)
	}
	e.quotas.setWaiting(waiting)
}
