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

// reportThreshold is the change of a workspace's demand, as a fraction of the greater
// of its quota and its last reported demand, above which a report is sent early. A
// smaller change would move few slots between entries.
const reportThreshold = 0.1

// quotaTracker records the workspaces' use of slots at this entry and divides their
// quotas among the entries. It implements dispatch.Quotas and is safe for concurrent
// use.
//
// Entries are identified by name and incarnation, so that the tasks of an earlier
// incarnation keep their share until they must have ended.
type quotaTracker struct {
	mu       sync.Mutex
	divider  *quota.Divider
	limits   map[string]int
	running  map[string]int
	waiting  map[string]int
	reported map[string]int  // demand by workspace in the last report
	peers    map[string]bool // live entries known to the divider
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

// setWorkspaces applies the workspaces' quotas.
func (q *quotaTracker) setWorkspaces(workspaces map[string]config.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous := q.limits
	q.limits = make(map[string]int)
	for name, w := range workspaces {
		if w.QuotaSlots > 0 {
			q.limits[name] = w.QuotaSlots
		}
	}
	if maps.Equal(previous, q.limits) {
		return
	}
	q.changed = true
	for workspace := range previous {
		if _, limited := q.limits[workspace]; !limited {
			q.divider.SetOwnUsage(workspace, 0, 0)
		}
	}
	q.divider.SetQuotas(q.limits)
	for workspace := range q.limits {
		q.updateUsage(workspace)
	}
}

// updateUsage passes the usage of a workspace with a quota to the divider.
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

// setWaiting sets the numbers of tasks that wait at this entry, by workspace.
func (q *quotaTracker) setWaiting(waiting map[string]int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = waiting
	for workspace := range q.limits {
		q.updateUsage(workspace)
	}
}

// reportDue reports whether quotas, peers or demand have changed so much that peers
// should be informed before the next regular report.
func (q *quotaTracker) reportDue() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed {
		return true
	}
	for workspace, limit := range q.limits {
		previous := q.reported[workspace]
		change := math.Abs(float64(q.running[workspace] + q.waiting[workspace] - previous))
		if change > reportThreshold*float64(max(limit, previous)) {
			return true
		}
	}
	return false
}

// report returns the usage to send to all peers, or false if the last report is too
// recent.
func (q *quotaTracker) report(now time.Time) ([]wire.WorkspaceUsage, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	usage, ok := q.divider.Report(now)
	if !ok {
		return nil, false
	}
	q.changed = false
	q.reported = make(map[string]int, len(usage))
	for _, u := range usage {
		q.reported[u.Workspace] = int(u.Running) + int(u.Waiting)
	}
	return usage, true
}

// receive applies a peer's report.
func (q *quotaTracker) receive(peer string, usage []wire.WorkspaceUsage, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers[peer] = true
	q.divider.Receive(peer, usage, now)
}

// setPeers sets which other entries are live. An entry that is no longer live keeps
// its share for the tasks that it may have started.
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

// handlePeerState applies the usage report in a peer's state. A state may come without
// a report.
func (e *Entry) handlePeerState(l *transport.Link, m *wire.PeerState) {
	if m.UsageReported {
		e.quotas.receive(quotaName(l.Name(), l.Incarnation()), m.Workspaces, time.Now())
	}
}

// updatePeers sets the live entries of the quota tracker: those listed by the store or
// by other processes, and those with a link.
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

// updateDemand passes the numbers of waiting tasks of all schedulers to the quota
// tracker.
func (e *Entry) updateDemand() {
	waiting := make(map[string]int)
	for _, s := range *e.schedulers.Load() {
		s.AddWaiting(waiting)
	}
	e.quotas.setWaiting(waiting)
}
