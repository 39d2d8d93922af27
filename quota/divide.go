package quota

import (
	"math"
	"time"
)

// Allowance returns the number of slots that this entry may use for a workspace now.
// Limited is false for a workspace without a quota. Use above the allowance is not
// taken back: no further task may start until it has fallen below.
func (d *Divider) Allowance(workspace string, now time.Time) (slots int, limited bool) {
	quota, ok := d.quotas[workspace]
	if !ok {
		return math.MaxInt, false
	}
	if c, ok := d.cache[workspace]; ok && now.Before(c.until) {
		return c.slots, true
	}
	slots = d.compute(workspace, quota, now)
	d.cache[workspace] = allowance{slots, now.Add(d.options.Delay)}
	return slots, true
}

// MayStart reports whether this entry may start one more task of a workspace.
func (d *Divider) MayStart(workspace string, now time.Time) bool {
	slots, _ := d.Allowance(workspace, now)
	return d.current[workspace].running < slots
}

// compute returns the lower of the allowances under the use that peers surely
// know and under the use that was sent last, so that a report lowers this
// entry's allowance before it raises another's.
func (d *Divider) compute(workspace string, quota int, now time.Time) int {
	d.dropRemoved(now)
	if len(d.peers) == 0 {
		return quota
	}
	known := d.knownUsage(workspace, now)
	slots := d.divide(workspace, quota, known, now).allowed(d, workspace, quota)
	if latest := d.lastReported[workspace]; latest != known {
		slots = min(slots, d.divide(workspace, quota, latest, now).allowed(d, workspace, quota))
	}
	return slots
}

// division is a quota divided among the entries that take part.
type division struct {
	share    []int // in the order of Divider.names
	own      int   // index of this entry
	minShare int   // share that no other entry can borrow
}

// divide splits a quota in proportion to reported demand. Every entry gets a
// least share; what no one demands is split evenly, so that a burst finds slots
// before it is reported. Peers that have not reported yet keep what they may
// use. All entries with the same reports come to the same division.
func (d *Divider) divide(workspace string, quota int, own usage, now time.Time) division {
	out := division{
		share:    make([]int, len(d.names)),
		minShare: minShare(quota, len(d.names), d.options.MinShare),
	}
	demands := make([]int, len(d.names))
	live := 0
	for i, p := range d.order {
		switch {
		case p == nil:
			out.own = i
			demands[i] = own.demand()
		case !p.hasReported:
			out.share[i] = d.unreportedShare(p, quota, now)
			quota -= out.share[i]
			demands[i] = excluded
			continue
		default:
			demands[i] = p.workspaces[workspace].demand()
		}
		out.share[i] = out.minShare
		demands[i] = max(0, demands[i]-out.minShare)
		live++
	}
	split(max(0, quota-out.minShare*live), demands, out.share)
	return out
}

func minShare(quota, entries int, share float64) int {
	if quota <= 0 {
		return 0
	}
	return max(1, int(float64(quota)*share/float64(entries)))
}

// unreportedShare returns the most that a peer without a report may be using: all of
// the quota, or an equal share after FirstReportTimeout, since a peer that cannot report
// to this entry from its start may never do so.
func (d *Divider) unreportedShare(p *peer, quota int, now time.Time) int {
	if now.Sub(p.reportedAt) <= d.options.FirstReportTimeout {
		return quota
	}
	return quota / len(d.names)
}

// excluded is the demand of an entry that takes no part in a split.
const excluded = -1

// split adds slots to shares in proportion to demands, or meets all demands and
// divides the rest evenly. Remainders go to the first entries, so that the sum
// is exact.
func split(slots int, demands, shares []int) {
	sum, live := 0, 0
	for _, n := range demands {
		if n != excluded {
			sum += n
			live++
		}
	}
	if live == 0 {
		return
	}
	left := slots
	for i, n := range demands {
		if n == excluded {
			continue
		}
		part := n + (slots-sum)/live
		if sum > slots {
			part = slots * n / sum
		}
		shares[i] += part
		left -= part
	}
	for i := 0; left > 0; i = (i + 1) % len(demands) {
		if demands[i] > 0 || demands[i] == 0 && sum <= slots {
			shares[i]++
			left--
		}
	}
}

// allowed returns what this entry may use: its share, as far as peers do not
// hold it. Peers may still use more than their share because it was larger, or
// they knew less, since their last report. That also holds against a peer that
// has fallen silent.
func (v division) allowed(d *Divider, workspace string, quota int) int {
	free := quota
	for _, p := range d.peers {
		free -= p.maxUse[workspace]
	}
	return max(v.minShare, min(v.share[v.own], free))
}
