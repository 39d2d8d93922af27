// Package quota divides the workspaces' slot quotas among the entries. Every entry
// computes its own allowance from the usage that the entries report to each other,
// without calls to the store.
//
// Bound on overshoot: the slots that a workspace uses at all entries together exceed
// its quota by at most one slot per entry, provided that reports arrive within
// Options.Delay or not at all. A change lowers allowances at once, but raises one
// only after the entries whose allowances it lowers have reported again. The
// overshoot can be larger for a quota below the number of entries, since every entry
// may use at least one slot, and for an entry that starts while another believes it
// is alone, until they know of each other.
package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/wire"
)

// Options configure a Divider. Zero fields take the defaults.
type Options struct {
	// Delay is an upper bound on the delivery time of a report. Reports are sent at
	// least twice this time apart. Default 50 ms.
	Delay time.Duration
	// FirstReportTimeout is how long to wait for a peer's first report before assuming
	// that the peer uses no more than an equal share. Default 3 s.
	FirstReportTimeout time.Duration
	// RemovedPeerHold is how long the share of a removed peer stays reserved for its
	// running tasks. Default 30 s.
	RemovedPeerHold time.Duration
	// MinShare is the fraction of an equal share that no peer can borrow. Default 0.2.
	MinShare float64
}

func (o Options) withDefaults() Options {
	options.Default(&o.Delay, 50*time.Millisecond) // several times the latency between regions
	options.Default(&o.FirstReportTimeout, 3*time.Second)
	options.Default(&o.RemovedPeerHold, 30*time.Second) // long enough for most tasks that the removed peer had started to end
	options.Default(&o.MinShare, 0.2)
	return o
}

// usage is one entry's slot usage and demand for a workspace, in tasks.
type usage struct {
	running, waiting int
}

func (u usage) demand() int { return u.running + u.waiting }

// peer is the known state of another entry.
type peer struct {
	reportedAt  time.Time // time of the last report, or of AddPeer before the first
	hasReported bool      // at least one report was received
	removedAt   time.Time // zero unless RemovePeer was called
	workspaces  map[string]usage
	maxUse      map[string]int // by workspace: upper bound on the slots in use since the last report
}

// allowance is a cached result of compute.
type allowance struct {
	slots int
	until time.Time
}

// Divider computes the allowances of one entry. It is not safe for concurrent use.
type Divider struct {
	options        Options
	name           string
	quotas         map[string]int
	current        map[string]usage // current usage
	lastReported   map[string]usage // usage in the last report
	previousReport map[string]usage // usage in the report before the last; see knownUsage
	lastReportedAt time.Time
	peers          map[string]*peer
	names          []string // of all entries, sorted
	order          []*peer  // in the order of names; nil stands for this entry
	cache          map[string]allowance
}

// New returns the Divider of the named entry, without peers or quotas.
func New(name string, o Options) *Divider {
	return &Divider{
		options: o.withDefaults(),
		name:    name,
		current: map[string]usage{},
		peers:   map[string]*peer{},
		cache:   map[string]allowance{},
	}
}

// SetQuotas sets the workspaces' quotas in slots across all entries. Workspaces that
// are not in the map are unlimited. The map must not be modified afterwards.
func (d *Divider) SetQuotas(quotas map[string]int) {
	d.quotas = quotas
	clear(d.cache)
}

// SetOwnUsage records this entry's usage of a workspace: the number of tasks that
// occupy slots and the number that wait.
func (d *Divider) SetOwnUsage(workspace string, running, waiting int) {
	if running == 0 && waiting == 0 {
		delete(d.current, workspace)
		return
	}
	d.current[workspace] = usage{running, waiting}
}

// Report returns this entry's usage by workspace, to be sent to all peers. It returns
// false if the last report is too recent: a report must have reached every peer
// before the next is sent.
func (d *Divider) Report(now time.Time) ([]wire.WorkspaceUsage, bool) {
	if now.Sub(d.lastReportedAt) < d.settleTime() {
		return nil, false
	}
	d.previousReport = d.lastReported
	d.lastReported = make(map[string]usage, len(d.current))
	d.lastReportedAt = now
	report := make([]wire.WorkspaceUsage, 0, len(d.current))
	for workspace, u := range d.current {
		d.lastReported[workspace] = u
		report = append(report, wire.WorkspaceUsage{Workspace: workspace, Running: uint32(u.running), Waiting: uint32(u.waiting)})
	}
	slices.SortFunc(report, func(a, b wire.WorkspaceUsage) int { return strings.Compare(a.Workspace, b.Workspace) })
	for workspace, slots := range d.quotas {
		d.raiseMaxUse(workspace, slots, d.lastReported[workspace], now)
	}
	clear(d.cache)
	return report, true
}

// settleTime returns the time after which a report has reached every peer and every
// report that arrives was sent by a peer that had received it.
func (d *Divider) settleTime() time.Duration { return 2 * d.options.Delay }

// AddPeer registers a peer that has not reported yet. Until its first report or
// FirstReportTimeout it may be using all of a quota. AddPeer also revives a removed
// peer.
func (d *Divider) AddPeer(name string, now time.Time) { d.peer(name, now).removedAt = time.Time{} }

func (d *Divider) peer(name string, now time.Time) *peer {
	p, ok := d.peers[name]
	if ok {
		return p
	}
	p = &peer{reportedAt: now, maxUse: map[string]int{}}
	d.peers[name] = p
	d.rebuildOrder()
	return p
}

// rebuildOrder rebuilds the order of entries, which is the same at every entry.
func (d *Divider) rebuildOrder() {
	d.names = append(d.names[:0], d.name)
	for name := range d.peers {
		d.names = append(d.names, name)
	}
	slices.Sort(d.names)
	d.order = d.order[:0]
	for _, name := range d.names {
		d.order = append(d.order, d.peers[name])
	}
	clear(d.cache)
}

// Receive processes a peer's report, and registers or revives the peer.
func (d *Divider) Receive(name string, report []wire.WorkspaceUsage, now time.Time) {
	p := d.peer(name, now)
	p.reportedAt = now
	p.hasReported = true
	p.removedAt = time.Time{}
	p.workspaces = make(map[string]usage, len(report))
	for _, u := range report {
		p.workspaces[u.Workspace] = usage{int(u.Running), int(u.Waiting)}
	}
	p.maxUse = make(map[string]int, len(d.quotas))
	for workspace := range d.quotas {
		p.maxUse[workspace] = p.workspaces[workspace].running
	}
	d.raiseMaxUses(now)
}

// raiseMaxUses raises the upper bound on each peer's use to its current share. A peer
// may learn of a change before or after this entry, so only the peer's next report
// lowers the bound.
func (d *Divider) raiseMaxUses(now time.Time) {
	for workspace, slots := range d.quotas {
		d.raiseMaxUse(workspace, slots, d.knownUsage(workspace, now), now)
	}
	clear(d.cache)
}

func (d *Divider) raiseMaxUse(workspace string, quota int, own usage, now time.Time) {
	v := d.divide(workspace, quota, own, now)
	for i, p := range d.order {
		if p != nil && p.hasReported {
			p.maxUse[workspace] = max(p.maxUse[workspace], v.share[i])
		}
	}
}

// RemovePeer records that a peer's lease has ended or that it has left. Its share
// stays reserved during RemovedPeerHold for the tasks that it started; then the peer
// is dropped. A peer is never dropped just because it sends no reports, since it
// may still be running tasks behind a broken link.
func (d *Divider) RemovePeer(name string, now time.Time) {
	p, ok := d.peers[name]
	if !ok || !p.removedAt.IsZero() {
		return
	}
	p.removedAt = now
	clear(d.cache)
}

// dropRemoved drops each removed peer RemovedPeerHold after its removal.
func (d *Divider) dropRemoved(now time.Time) {
	for name, p := range d.peers {
		if p.removedAt.IsZero() || now.Sub(p.removedAt) < d.options.RemovedPeerHold {
			continue
		}
		delete(d.peers, name)
		d.rebuildOrder()
	}
}

// knownUsage returns this entry's usage of a workspace as known to every peer: that
// of the last report once it has reached them all, else that of the report before.
func (d *Divider) knownUsage(workspace string, now time.Time) usage {
	if now.Sub(d.lastReportedAt) >= d.settleTime() {
		return d.lastReported[workspace]
	}
	return d.previousReport[workspace]
}
