package entry

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/wire"
)

// trackerReport is a report in transit to another tracker.
type trackerReport struct {
	due   time.Time
	from  string
	to    int
	usage []wire.WorkspaceUsage
}

// trackerGroup connects quota trackers by messages that take up to 45 ms. Each
// tracker's entry starts the waiting tasks of one workspace as far as it is allowed.
type trackerGroup struct {
	random   *rand.Rand
	trackers []*quotaTracker
	ends     [][]time.Time // of running tasks, by entry
	waiting  []int
	reports  []trackerReport
	sent     []time.Time
}

const testQuota = 20

func newTrackerGroup(n int, seed uint64) *trackerGroup {
	f := &trackerGroup{
		random:  rand.New(rand.NewPCG(seed, 1)),
		ends:    make([][]time.Time, n),
		waiting: make([]int, n),
		sent:    make([]time.Time, n),
	}
	live := make(map[string]bool)
	for i := range n {
		f.trackers = append(f.trackers, newQuotaTracker("e", wire.Incarnation(i)))
		live[quotaName("e", wire.Incarnation(i))] = true
	}
	for i, q := range f.trackers {
		others := make(map[string]bool)
		for name := range live {
			if name != quotaName("e", wire.Incarnation(i)) {
				others[name] = true
			}
		}
		q.setWorkspaces(map[string]config.Workspace{"t": {QuotaSlots: testQuota}, "free": {}})
		q.setPeers(others, time.Now())
	}
	return f
}

// step runs one millisecond and returns the slots in use.
func (f *trackerGroup) step() int {
	time.Sleep(time.Millisecond)
	now := time.Now()
	f.deliver(now)
	used := 0
	for i, q := range f.trackers {
		f.run(i, q, now)
		used += len(f.ends[i])
		if age := now.Sub(f.sent[i]); age < peerStateInterval && !q.reportDue() {
			continue
		}
		if usage, ok := q.report(now); ok {
			f.sent[i] = now
			f.send(i, usage, now)
		}
	}
	return used
}

func (f *trackerGroup) run(i int, q *quotaTracker, now time.Time) {
	running := f.ends[i][:0]
	for _, end := range f.ends[i] {
		if end.After(now) {
			running = append(running, end)
			continue
		}
		q.TaskEnded("t")
	}
	for f.waiting[i] > 0 && q.Allow("t") {
		f.waiting[i]--
		q.TaskStarted("t")
		running = append(running, now.Add(time.Duration(1+f.random.IntN(300))*time.Millisecond))
	}
	f.ends[i] = running
	q.setWaiting(map[string]int{"t": f.waiting[i]})
}

func (f *trackerGroup) send(from int, usage []wire.WorkspaceUsage, now time.Time) {
	for to := range f.trackers {
		if to != from {
			due := now.Add(time.Duration(1+f.random.IntN(45)) * time.Millisecond)
			f.reports = append(f.reports, trackerReport{due, quotaName("e", wire.Incarnation(from)), to, usage})
		}
	}
}

func (f *trackerGroup) deliver(now time.Time) {
	left := f.reports[:0]
	for _, r := range f.reports {
		if r.due.After(now) {
			left = append(left, r)
			continue
		}
		f.trackers[r.to].receive(r.from, r.usage, now)
	}
	f.reports = left
}

// Guards against entries that together exceed a workspace's quota by more than the
// bound in package quota, and against slots that stay idle at one entry while work
// waits at another, when demand is skewed and shifts between entries.
func TestTrackersShareOneQuota(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			entries := 2 + int(seed%2)
			f := newTrackerGroup(entries, seed)
			most, used, offered := 0, 0, 0
			for ms := range 12_000 {
				if ms%1500 == 0 {
					clear(f.waiting)
					f.waiting[ms/1500%entries] = 4000 // all of the demand is at one entry
					f.waiting[(ms/1500+1)%entries] = f.random.IntN(20)
				}
				n := f.step()
				most = max(most, n)
				if ms > 4000 && ms%1500 > 700 {
					used += n
					offered += testQuota
				}
			}
			if most > testQuota+entries {
				t.Errorf("seed %d: %d slots in use, the bound is %d", seed, most, testQuota+entries)
			}
			if used*100 < offered*80 {
				t.Errorf("seed %d: %d%% of the quota in use while work waits", seed, used*100/offered)
			}
		})
	}
}

// Guards against a large change of demand that is sent only in the next regular report,
// and against reports about workspaces without a quota.
func TestDemandChangeIsReportedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTrackerGroup(2, 1).trackers[0]
		if _, ok := q.report(time.Now()); !ok {
			t.Fatal("the first report is refused")
		}
		q.TaskStarted("free")
		q.setWaiting(map[string]int{"t": 1, "free": 100})
		if q.reportDue() {
			t.Error("a small change, or one of a workspace without a quota, is reported at once")
		}
		q.setWaiting(map[string]int{"t": 5})
		if !q.reportDue() {
			t.Error("a change by a quarter of the quota waits for the regular report")
		}
		time.Sleep(200 * time.Millisecond)
		usage, ok := q.report(time.Now())
		if !ok || len(usage) != 1 || usage[0] != (wire.WorkspaceUsage{Workspace: "t", Waiting: 5}) {
			t.Errorf("reported %v, %v", usage, ok)
		}
	})
}

// Guards against a workspace that keeps its limit after its quota was removed, and
// against running tasks that are not counted when a quota is set.
func TestQuotaChangeCountsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTracker("e", 1)
		for range 3 {
			q.TaskStarted("t")
		}
		q.setWorkspaces(map[string]config.Workspace{"t": {QuotaSlots: 3}})
		if q.Allow("t") {
			t.Error("a fourth task may start under a quota of 3")
		}
		q.setWorkspaces(map[string]config.Workspace{"t": {}})
		if !q.Allow("t") {
			t.Error("the removed quota still limits the workspace")
		}
	})
}
