// Package quota divides the workspaces' quotas of slots among the entries. Every
// entry computes its own allowance from what the entries report to each other,
// without a store call.
//
// Bound on overshoot: the slots that a workspace uses in all entries together stay
// within its quota and one slot per entry, if reports arrive within
// Options.Delay or not at all. A change takes effect at once where it lowers an
// allowance, and raises another only after the entries that it lowers have
// reported since. More is possible for a quota below the number of entries,
// since every entry may use at least one slot, and for an entry that comes up
// while another takes itself to be alone, until they know of each other.
package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/wire"
)

// Options set the division. Zero fields take the defaults.
type Options struct {
	Delay              time.Duration // bound on a report's way, and least time between two; default 50 ms
	FirstReportTimeout time.Duration // how long a peer's first report is waited for; default 3 s
	RemovedPeerHold    time.Duration // how long the share of a peer that is gone is kept for its running tasks; default 30 s
	MinShare           float64       // part of an equal share that no peer can borrow; default 0.2
}

func (o Options) withDefaults() Options {
	options.Default(&o.Delay, 50*time.Millisecond) // several times the latency between regions
	options.Default(&o.FirstReportTimeout, 3*time.Second)
	options.Default(&o.RemovedPeerHold, 30*time.Second) // the longest usual task
	options.Default(&o.MinShare, 0.2)
	return o
}

// usage is one entry's usage of slots by one workspace.
type usage struct {
	running, waiting int
}

func (u usage) demand() int { return u.running + u.waiting }

// peer is what is known of another entry.
type peer struct {
	reportedAt  time.Time // of the last report; of the join before the first
	hasReported bool      // has reported
	removedAt   time.Time // zero: not known to be gone
	workspaces  map[string]usage
	maxUse      map[string]int // the most that the peer may use since its last report
}

// allowance is a cached result.
type allowance struct {
	slots int
	until time.Time
}

// Divider computes one entry's allowances. It is not safe for concurrent use.
type Divider struct {
	options        Options
	name           string
	quotas         map[string]int
	current        map[string]usage // now
	lastReported   map[string]usage // as last reported
	knownReport    map[string]usage // as reported before, or as last reported once all peers know it
	lastReportedAt time.Time
	peers          map[string]*peer
	names          []string // of all entries, sorted
	order          []*peer  // in the order of names; nil stands for this entry
	cache          map[string]allowance
}

// New returns the divider of the entry with a name, without peers and quotas.
func New(name string, o Options) *Divider {
	return &Divider{
		options: o.withDefaults(),
		name:    name,
		current: map[string]usage{},
		peers:   map[string]*peer{},
		cache:   map[string]allowance{},
	}
}

// SetQuotas sets the workspaces' quotas in slots across all entries. A workspace that is
// not named has none. The map must not change afterwards.
func (d *Divider) SetQuotas(quotas map[string]int) {
	d.quotas = quotas
	clear(d.cache)
}

// SetOwnUsage records this entry's use: tasks that are out, and tasks that wait.
func (d *Divider) SetOwnUsage(workspace string, running, waiting int) {
	if running == 0 && waiting == 0 {
		delete(d.current, workspace)
		return
	}
	d.current[workspace] = usage{running, waiting}
}

// Report returns what to tell all peers, by workspace. It reports false if the last
// report is too recent: a report must have reached every peer before the next is
// sent.
func (d *Divider) Report(now time.Time) ([]wire.WorkspaceUse, bool) {
	if now.Sub(d.lastReportedAt) < d.settleTime() {
		return nil, false
	}
	d.knownReport = d.lastReported
	d.lastReported = make(map[string]usage, len(d.current))
	d.lastReportedAt = now
	report := make([]wire.WorkspaceUse, 0, len(d.current))
	for workspace, u := range d.current {
		d.lastReported[workspace] = u
		report = append(report, wire.WorkspaceUse{Workspace: workspace, Running: uint32(u.running), Waiting: uint32(u.waiting)})
	}
	slices.SortFunc(report, func(a, b wire.WorkspaceUsage) int { return strings.Compare(a.Workspace, b.Workspace) })
	for workspace, slots := range d.quotas {
		d.raiseMaxUse(workspace, slots, d.lastReported[workspace], now)
	}
	clear(d.cache)
	return report, true
}

// settleTime is the time after which a report has reached every peer and any
// report that arrives was sent in its knowledge.
func (d *Divider) settleTime() time.Duration { return 2 * d.options.Delay }

// AddPeer makes a peer known that has not reported yet. Until it does, or is stale,
// it may be using all of a quota. A peer that was taken to be gone is back.
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

// rebuildOrder rebuilds the order of entries, which is the same in all of them.
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

// Receive takes in a peer's report.
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

// raiseMaxUses raises what each peer may raiseMaxUses to its share as of now. A peer may learn
// of a change before this entry or after it, so only the peer's next report
// lowers what it may raiseMaxUses.
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

// RemovePeer records that a peer is known to be gone: its lease has ended or it has
// left. Its share is kept for the tasks that it started, then it is forgotten.
// A peer that is only silent is never forgotten, since it may still be at work
// behind a broken link.
func (d *Divider) RemovePeer(name string, now time.Time) {
	p, ok := d.peers[name]
	if !ok || !p.removedAt.IsZero() {
		return
	}
	p.removedAt = now
	clear(d.cache)
}

// dropRemoved drops peers whose time after RemovePeer is over.
func (d *Divider) dropRemoved(now time.Time) {
	for name, p := range d.peers {
		if p.removedAt.IsZero() || now.Sub(p.removedAt) < d.options.RemovedPeerHold {
			continue
		}
		delete(d.peers, name)
		d.rebuildOrder()
	}
}

// knownUsage returns this entry's use of a workspace as every peer knows it.
func (d *Divider) knownUsage(workspace string, now time.Time) usage {
	if now.Sub(d.lastReportedAt) >= d.settleTime() {
		return d.lastReported[workspace]
	}
	return d.knownReport[workspace]
}
