package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/wire"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	all   = []Group{0, 1}
)

func id(n int) wire.JobID { return wire.JobID{Entry: 1, Seq: uint64(n)} }

func item(n int, workspace string, remaining time.Duration, after time.Duration) Item {
	return Item{Job: id(n), Workspace: workspace, Remaining: remaining, Waiting: 10, Arrived: epoch.Add(after)}
}

func (q *Queue) mustSelect(t *testing.T, allow Allow) int {
	t.Helper()
	job, ok := q.Select(all, allow)
	if !ok {
		t.Fatal("Select returned no job")
	}
	return int(job.Seq)
}

// Guards against a short job that waits behind an earlier long one, and against a
// job that keeps its position after its remaining work has decreased.
func TestLeastRemainingFirst(t *testing.T) {
	q := New(Options{})
	q.Add(item(1, "a", 100*time.Second, 0))
	q.Add(item(2, "b", 2*time.Second, time.Second))
	if got := q.mustSelect(t, nil); got != 2 {
		t.Fatalf("job %d selected first, want 2", got)
	}
	q.Update(id(1), time.Second, 1, wire.ClassShort)
	if got := q.mustSelect(t, nil); got != 1 {
		t.Fatalf("job %d selected first after the update, want 1", got)
	}
	fifo := New(Options{Order: FIFO})
	fifo.Add(item(2, "b", 2*time.Second, time.Second))
	fifo.Add(item(1, "a", 100*time.Second, 0))
	fifo.Charge("a", time.Hour)
	if got := fifo.mustSelect(t, nil); got != 1 {
		t.Fatalf("FIFO: job %d selected first, want 1", got)
	}
}

// Guards against a long job that starves under a steady stream of short ones, and
// against one that is overtaken until its deadline has passed.
func TestAgingBoundsWaiting(t *testing.T) {
	for _, c := range []struct{ deadline, bound time.Duration }{{0, DefaultMaxAgingDelay}, {20 * time.Second, 10 * time.Second}} {
		q := New(Options{})
		long := item(0, "a", time.Hour, 0)
		if c.deadline > 0 {
			long.Deadline = epoch.Add(c.deadline)
		}
		q.Add(long)
		passed := time.Duration(0)
		for n := 1; ; n++ {
			at := time.Duration(n) * 100 * time.Millisecond
			q.Add(item(n, "a", 50*time.Millisecond, at))
			if q.mustSelect(t, nil) == 0 {
				break
			}
			passed = at
			q.Remove(id(n))
		}
		if passed > c.bound || passed < c.bound-time.Second {
			t.Errorf("deadline %v: overtaken by jobs that arrived up to %v later, bound %v", c.deadline, passed, c.bound)
		}
	}
}

// runTasks starts n tasks of one second each and returns the slot seconds by job
// number.
func runTasks(t *testing.T, q *Queue, n int, allow Allow) map[int]int {
	used := map[int]int{}
	for range n {
		got := q.mustSelect(t, allow)
		used[got]++
		q.Charge(q.jobs[id(got)].item.Workspace, time.Second)
	}
	return used
}

// Guards against a workspace that gets more than its weighted share because its
// jobs are shorter or more numerous.
func TestWeightedFairness(t *testing.T) {
	q := New(Options{})
	q.SetWeights(map[string]float64{"b": 3})
	q.Add(item(1, "a", time.Second, 0))
	q.Add(item(2, "b", time.Hour, 0))
	used := runTasks(t, q, 4000, nil)
	lead := float64(used[1]) - float64(used[2])/3
	if lead < 0 || lead > DefaultFairnessWindow.Seconds()+1 {
		t.Fatalf("a used %d, b with weight 3 used %d", used[1], used[2])
	}
}

// Guards against a workspace that waits for its share after it was idle, and
// against one that is charged for idle shares that it used.
func TestIdleWorkspaceNeitherSavesNorOwesItsShare(t *testing.T) {
	q := New(Options{})
	q.Add(item(1, "a", time.Second, 0))
	q.Add(item(3, "c", time.Second, 0))
	q.Remove(id(3))
	runTasks(t, q, 1000, nil)
	q.Add(item(2, "c", time.Hour, 0))
	used := runTasks(t, q, 200, nil)
	if used[1] < 100 || used[1] > 100+int(DefaultFairnessWindow.Seconds()) {
		t.Fatalf("a used %d and the returning workspace %d of 200", used[1], used[2])
	}
}

// Guards against a workspace that saves up its share while its quota blocks it, and
// then blocks all others.
func TestBlockedWorkspaceLagIsBounded(t *testing.T) {
	q := New(Options{})
	q.Add(item(1, "a", time.Hour, 0))
	q.Add(item(2, "b", time.Second, 0))
	runTasks(t, q, 1000, func(workspace string, _ wire.Class) bool { return workspace == "a" })
	used := runTasks(t, q, 200, nil)
	if most := 100 + int(1.5*DefaultFairnessWindow.Seconds()) + 1; used[2] > most {
		t.Fatalf("the workspace that was blocked used %d of 200, at most %d expected", used[2], most)
	}
}

// Guards against an estimate that counts work which the job order, or the share of
// another workspace, places behind the job.
func TestWorkAhead(t *testing.T) {
	q := New(Options{})
	for n := range 100 {
		q.Add(item(n, "flood", time.Minute, 0))
	}
	q.Add(item(100, "b", 2*time.Second, 0))
	if got := q.WorkAhead(item(101, "b", 4*time.Second, time.Second), all); got != 2*time.Second {
		t.Errorf("ahead of a short job: %v", got)
	}
	late := item(102, "b", time.Minute, time.Minute)
	if got := q.WorkAhead(late, all); got != 2*time.Second+DefaultFairnessWindow+62*time.Second {
		t.Errorf("ahead of a late job: %v", got)
	}
	late.Workspace = "flood"
	if got := q.WorkAhead(late, all); got != 6002*time.Second {
		t.Errorf("ahead of a late job of the same workspace: %v", got)
	}
	if got := q.WorkAhead(late, []Group{1}); got != 0 {
		t.Errorf("ahead in another group: %v", got)
	}
}

// Guards against state that stays behind when many jobs are cancelled at once.
func TestRemovingAllJobsLeavesNoState(t *testing.T) {
	q := New(Options{})
	for n := range 10_000 {
		it := item(n, fmt.Sprint(n%390), time.Duration(n)*time.Millisecond, 0)
		it.Group, it.Class = Group(n%7), wire.Class(n%2)
		q.Add(it)
	}
	for n := range 10_000 {
		q.Remove(id(n))
	}
	if q.Len()+q.Waiting()+len(q.groups)+len(q.active) != 0 {
		t.Fatalf("%d jobs, %d tasks, %d groups, %d workspaces left", q.Len(), q.Waiting(), len(q.groups), len(q.active))
	}
}

// selectNaively returns the job that Select must return and the number of allowed
// waiting tasks, by scanning every job.
func (q *Queue) selectNaively(groups []Group, allow Allow) (best *queuedJob, waiting int) {
	var allowed []*queuedJob
	for _, j := range q.jobs {
		if j.item.Waiting > 0 && j.item.Group == groups[0] && allow(j.item.Workspace, j.item.Class) {
			allowed = append(allowed, j)
			waiting += j.item.Waiting
		}
	}
	first := func(windows float64, class ...wire.Class) (best *queuedJob) {
		for _, j := range allowed {
			in := len(class) == 0 || j.item.Class == class[0]
			for _, other := range allowed {
				in = in && q.workspaces[j.item.Workspace].virtualTime <= q.workspaces[other.item.Workspace].virtualTime+windows*q.options.FairnessWindow.Seconds()
			}
			if in && (best == nil || j.rank.compare(best.rank) < 0) {
				best = j
			}
		}
		return best
	}
	best = first(1)
	if best != nil && best.item.Class == wire.ClassLong {
		if short := first(1+shortLeadWindows, wire.ClassShort); short != nil && short.rank.compare(best.rank) < 0 {
			best = short
		}
	}
	return best, waiting
}

// Guards against short work that waits behind long work because its workspace is
// ahead, and against a workspace that takes an unbounded share with short work.
func TestShortWorkPassesLongWorkOfOtherWorkspaces(t *testing.T) {
	q := New(Options{})
	q.Add(Item{Job: id(1), Workspace: "ahead", Class: wire.ClassShort, Remaining: time.Second, Waiting: 1, Arrived: epoch})
	q.Add(Item{Job: id(2), Workspace: "behind", Class: wire.ClassLong, Remaining: time.Minute, Waiting: 1, Arrived: epoch})
	q.Charge("ahead", shortLeadWindows*DefaultFairnessWindow)
	if got, _ := q.Select([]Group{0}, nil); got != id(1) {
		t.Errorf("job %v was selected, want the short one", got)
	}
	q.Charge("ahead", 2*DefaultFairnessWindow)
	if got, _ := q.Select([]Group{0}, nil); got != id(2) {
		t.Errorf("job %v was selected although its workspace is %d windows ahead", got, shortLeadWindows+2)
	}
}

// Guards against buckets and totals that disagree with the jobs after any sequence
// of additions, updates, removals and charges.
func TestSelectMatchesNaiveSelection(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(4)
	p.MinSuccessfulTests = 300
	props := gopter.NewProperties(p)
	props.Property("Select agrees with a scan of all jobs", prop.ForAll(func(steps []int) bool {
		q := New(Options{})
		for i, n := range steps {
			workspace, class := fmt.Sprint(n%5), wire.Class(n/5%2)
			work := time.Duration(n/7%40) * time.Second
			switch n % 4 {
			case 0, 1:
				q.Add(Item{Job: id(i), Workspace: workspace, Group: Group(n / 3 % 2), Class: class, Remaining: work, Waiting: n / 11 % 3, Arrived: epoch.Add(time.Duration(i) * time.Second)})
			case 2:
				q.Update(id(n%(i+1)), work, n/13%3, class)
				q.Charge(workspace, work)
			case 3:
				q.Remove(id(n / 17 % (i + 1)))
			}
			allow := func(name string, c wire.Class) bool { return name != workspace || c != class }
			groups := []Group{Group(n / 19 % 2)}
			want, waiting := q.selectNaively(groups, allow)
			head, headOK := q.Peek(groups, allow)
			got, ok := q.Select(groups, allow)
			if ok != (want != nil) || headOK != ok {
				return false
			}
			if ok && (got != want.item.Job || head.Key != want.rank.key || head.Waiting != waiting) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(80, gen.IntRange(0, 1<<20))))
	props.TestingRun(t)
}
