package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/catkinline/catkinline/wire"
)

const ms = time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

func at(n int) time.Time { return epoch.Add(time.Duration(n) * ms) }

// message is a report in transit.
type message struct {
	due    int
	from   int
	to     int
	report []wire.WorkspaceUsage
}

// cluster simulates entries that start tasks of one workspace as their allowances
// permit, in steps of one millisecond.
type cluster struct {
	r        *rand.Rand
	entries  []*Divider
	running  [][]int // per entry, when each task ends
	waiting  []int
	messages []message
	cut      func(from, to int) bool
}

func newCluster(n, quota int, seed uint64) *cluster {
	c := &cluster{r: rand.New(rand.NewPCG(seed, 1)), running: make([][]int, n), waiting: make([]int, n)}
	for i := range n {
		d := New(fmt.Sprint(i), Options{})
		d.SetQuotas(map[string]int{"t": quota})
		for j := range 2 * n {
			if j%n != i {
				d.Receive(fmt.Sprint(j%n), nil, epoch)
			}
		}
		c.entries = append(c.entries, d)
	}
	return c
}

// advance runs the step at now, in milliseconds, and returns the number of slots in
// use.
func (c *cluster) advance(now, maxRun int) int {
	c.deliver(now)
	used := 0
	for i, d := range c.entries {
		var left []int
		for _, end := range c.running[i] {
			if end > now {
				left = append(left, end)
			}
		}
		c.running[i] = left
		d.SetOwnUsage("t", len(left), c.waiting[i])
		for c.waiting[i] > 0 && d.MayStart("t", at(now)) {
			c.waiting[i]--
			c.running[i] = append(c.running[i], now+1+c.r.IntN(maxRun))
			d.SetOwnUsage("t", len(c.running[i]), c.waiting[i])
		}
		used += len(c.running[i])
		if now%(110+110*i) == 0 {
			c.report(i, now)
		}
	}
	return used
}

func (c *cluster) report(from, now int) {
	report, ok := c.entries[from].Report(at(now))
	for to := range c.entries {
		if ok && to != from && (c.cut == nil || !c.cut(from, to)) {
			c.messages = append(c.messages, message{now + 1 + c.r.IntN(45), from, to, report})
		}
	}
}

func (c *cluster) deliver(now int) {
	var left []message
	for _, m := range c.messages {
		if m.due > now {
			left = append(left, m)
			continue
		}
		c.entries[m.to].Receive(fmt.Sprint(m.from), m.report, at(now))
	}
	c.messages = left
}

// Guards against entries that together exceed a quota while demand moves between
// them, and against idle slots while work waits.
func TestOvershootIsBounded(t *testing.T) {
	offered, used := 0, 0
	for seed := range uint64(24) {
		entries, quota := 2+int(seed%4), 40+int(seed%5)
		c := newCluster(entries, quota, seed)
		idle := 0
		for _, d := range c.entries {
			n, _ := d.Allowance("t", epoch)
			idle += n
		}
		if idle != quota {
			t.Errorf("seed %d: %d idle entries may use %d of %d", seed, entries, idle, quota)
		}
		maxUsed := 0
		for now := range 8000 {
			if now%700 == 0 {
				clear(c.waiting)
				for range 3 {
					c.waiting[c.r.IntN(entries)] += c.r.IntN(400)
				}
			}
			n := c.advance(now, 400)
			maxUsed = max(maxUsed, n)
			if now%700 > 400 && slices.Max(c.waiting) > 0 {
				offered += quota
				used += n
			}
		}
		if maxUsed > quota+entries {
			t.Errorf("seed %d: %d slots used of a quota of %d by %d entries", seed, maxUsed, quota, entries)
		}
	}
	// An even division among all entries uses less than 70%.
	if used*100 < offered*80 {
		t.Errorf("%d%% used while work waits", used*100/offered)
	}
}

// Guards against reclaiming a share before the peer that borrowed it has reported
// again.
func TestBorrowedShareIsKeptUntilReport(t *testing.T) {
	c := newCluster(2, 40, 1)
	d := c.entries[0]
	busy := []wire.WorkspaceUsage{{Workspace: "t", Running: 20, Waiting: 100}}
	d.SetOwnUsage("t", 20, 100)
	d.Report(at(0))
	d.Receive("1", busy, at(150))
	d.SetOwnUsage("t", 0, 0)
	d.Report(at(200))
	d.SetOwnUsage("t", 0, 100)
	d.Report(at(300))
	if n, _ := d.Allowance("t", at(450)); n != 4 {
		t.Errorf("allowance %d while the peer may use 36 of 40, want 4", n)
	}
	d.Receive("1", busy, at(500))
	if n, _ := d.Allowance("t", at(500)); n < 18 {
		t.Errorf("allowance %d after the peer's report, want at least 18", n)
	}
}

// Guards against a borrowed share that is not returned, and against a share that
// stays idle when only one entry has work.
func TestIdleShareIsBorrowedAndReturned(t *testing.T) {
	c := newCluster(4, 40, 1)
	c.waiting[0] = 1 << 20
	for now := range 2000 {
		c.advance(now, 100)
	}
	if n := len(c.running[0]); n < 30 {
		t.Errorf("the only busy entry uses %d of 40, want at least 30", n)
	}
	c.waiting[1] = 1 << 20
	if c.advance(2001, 100); len(c.running[1]) < 1 {
		t.Error("an entry has to wait for its minimum share")
	}
	for now := 2002; now < 3000; now++ {
		c.advance(now, 100)
	}
	if a, b := len(c.running[0]), len(c.running[1]); a < 16 || b < 16 {
		t.Errorf("after a second the busy entries use %d and %d of 40, want at least 16 each", a, b)
	}
}

// Guards against overshoot during a network partition, and against quota that stays
// reserved for a removed entry.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	c := newCluster(4, 40, 1)
	c.waiting[0], c.waiting[1] = 1<<20, 1<<20
	for now := range 30_000 {
		if now == 2000 {
			c.cut = func(from, to int) bool { return from < 2 != (to < 2) }
		}
		if now == 10_000 {
			c.waiting[2], c.waiting[3] = 1<<20, 1<<20
		}
		if n := c.advance(now, 100); n > 44 {
			t.Fatalf("%d slots used of 40, want at most 44; at %d ms", n, now)
		}
	}
	d := c.entries[0]
	before, _ := d.Allowance("t", at(30_000))
	d.RemovePeer("2", at(30_000))
	d.RemovePeer("3", at(30_000))
	if n, _ := d.Allowance("t", at(59_000)); n != before {
		t.Errorf("allowance %d, then %d while tasks of removed entries may run, want no change", before, n)
	}
	d.Receive("1", []wire.WorkspaceUsage{{Workspace: "t", Running: 10, Waiting: 1000}}, at(60_000))
	if n, _ := d.Allowance("t", at(60_001)); n < 20 || len(d.peers) != 1 {
		t.Errorf("allowance %d with %d peers after the hold of removed peers, want at least 20 with 1", n, len(d.peers))
	}
}

// Guards against a new entry that uses a share which the others already use, and
// against one that is stuck because a peer never reports.
func TestNewPeer(t *testing.T) {
	d := New("a", Options{})
	d.SetQuotas(map[string]int{"t": 40, "none": 0, "small": 1})
	if n, _ := d.Allowance("t", epoch); n != 40 {
		t.Errorf("allowance without peers: %d, want 40", n)
	}
	d.AddPeer("b", epoch)
	if n, _ := d.Allowance("t", at(100)); n != 4 {
		t.Errorf("allowance before the first report: %d, want the minimum share of 4", n)
	}
	if n, _ := d.Allowance("t", at(4000)); n != 20 {
		t.Errorf("allowance after FirstReportTimeout without a report: %d, want 20", n)
	}
	if n, limited := d.Allowance("none", epoch); n != 0 || !limited {
		t.Errorf("allowance for a quota of zero: %d, want a limit of 0", n)
	}
	if _, limited := d.Allowance("free", epoch); limited || !d.MayStart("free", epoch) {
		t.Error("a workspace without a quota is limited")
	}
	d.Receive("b", []wire.WorkspaceUsage{{Workspace: "small", Running: 2}}, epoch)
	if n, _ := d.Allowance("small", at(50)); n != 1 {
		t.Errorf("allowance for a quota below the number of entries: %d, want 1", n)
	}
	if _, ok := d.Report(epoch); !ok {
		t.Error("first report refused")
	}
	if _, ok := d.Report(at(99)); ok {
		t.Error("second report before the first has settled")
	}
}

// Guards against a division that loses or invents slots by rounding, or that leaves
// demand unmet while free slots remain.
func TestSplitIsExact(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	for range 1000 {
		demands := make([]int, 1+r.IntN(5))
		for i := range demands {
			demands[i] = r.IntN(3) * r.IntN(50)
		}
		slots, sum, demand, unmet := r.IntN(100), 0, 0, 0
		out := make([]int, len(demands))
		split(slots, demands, out)
		for i, n := range out {
			sum += n
			demand += demands[i]
			unmet += max(0, demands[i]-n)
		}
		if sum != slots || unmet > max(0, demand-slots) {
			t.Fatalf("%d slots for %v: %v", slots, demands, out)
		}
	}
}
