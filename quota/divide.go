package quota

import (
	"math"
	"time"
)

// Allowance returns the number of slots that this entry may use for a workspace now.
// Limited is false for a workspace without a quota. Usage above the allowance is not
// reclaimed: no further task may start until usage has fallen below the allowance.
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

// compute returns the lower of two allowances: the one for the usage that every peer
// knows and the one for the usage in the last report. A report thus lowers this
// entry's allowance before it raises that of another.
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

// division is the result of dividing a quota among the entries.
type division struct {
	share    []int // in the order of Divider.names
	own      int   // index of this entry
	minShare int   // guaranteed share, which no other entry can borrow
}

// divide splits a quota in proportion to reported demand. Every entry gets a minimum
// share; slots without demand are split evenly, so that a burst finds slots before it
// is reported. Peers that have not reported yet keep the most that they may be using.
// All entries with the same reports compute the same division.
func (d *Divider) divide(workspace string, quota int, own usage, now time.Time) division {
	out := division{
		share:    make([]int, len(d.names)),
		minShare: minShare(quota, len(d.names), d.options.MinShare),
	}
	demands := make([]int, len(d.names))
	participants := 0
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
		participants++
	}
	split(max(0, quota-out.minShare*participants), demands, out.share)
	return out
}

func minShare(quota, entries int, share float64) int {
	if quota <= 0 {
		return 0
	}
	return max(1, int(float64(quota)*share/float64(entries)))
}

// unreportedShare returns the upper bound on the slots used by a peer that has not
// reported: all of the quota, or an equal share after FirstReportTimeout, since a
// peer whose reports cannot reach this entry may never be heard.
func (d *Divider) unreportedShare(p *peer, quota int, now time.Time) int {
	if now.Sub(p.reportedAt) <= d.options.FirstReportTimeout {
		return quota
	}
	return quota / len(d.names)
}

// excluded is the demand value of an entry that split skips.
const excluded = -1

// split adds slots to shares in proportion to demands or, if there are enough, meets
// all demands and divides the rest evenly. Remainders go to the first entries, so
// that the sum is exact.
func split(slots int, demands, shares []int) {
	sum, participants := 0, 0
	for _, n := range demands {
		if n != excluded {
			sum += n
			participants++
		}
	}
	if participants == 0 {
		return
	}
	left := slots
	for i, n := range demands {
		if n == excluded {
			continue
		}
		part := n + (slots-sum)/participants
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

// allowed returns the slots that this entry may use: its share, reduced by what peers
// may still be using. A peer may use more than its share if its share was larger, or
// if it knew less, since its last report. This includes peers that no longer
// send reports.
func (v division) allowed(d *Divider, workspace string, quota int) int {
	free := quota
	for _, p := range d.peers {
		free -= p.maxUse[workspace]
	}
	return max(v.minShare, min(v.share[v.own], free))
}
