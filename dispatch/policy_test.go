package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/wire"
)

// running counts the tasks that run at an agent.
func (a *fakeAgent) running() int { return a.table.Stats(a.f.now).Running }

// Guards against tasks that are sent to another failure domain while a target in
// the own one has free slots.
func TestNearTargetsGetWorkFirst(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	f.relocate(0, "pohjanmaa", "fi")
	f.submit(0, spec(6, time.Second))
	f.advance(50 * time.Millisecond)
	if far, near := f.agents[0].running(), f.agents[1].running(); far != 0 || near != 6 {
		t.Errorf("%d tasks in the other failure domain, %d in the own; want 0 and 6", far, near)
	}
	f.submit(0, spec(6, time.Second))
	f.advance(50 * time.Millisecond)
	if far := f.agents[0].running(); far != 4 {
		t.Errorf("%d tasks in the other failure domain, want the 4 that do not fit on the near target", far)
	}
}

// Guards against tasks that leave the region although the configuration does not
// allow it.
func TestOtherRegionIsUsedOnlyWhereAllowed(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	f.relocate(0, "gabrovo-a", "bg")
	_, refusal := f.entries[0].s.Submit(spec(1, time.Second), false, f.now)
	if refusal == nil || refusal.Code != result.NoMatchingTarget {
		t.Fatalf("refusal %v, want no_matching_target", refusal)
	}
	allowed := strings.Replace(testDocument, `"non_idempotent": true,`, `"spill_across_regions": true,`, 1)
	f.entries[0].s.SetConfig(compileRules(t, 6, allowed), f.now)
	ticket := f.submit(0, spec(1, time.Second))
	f.advance(2 * time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Errorf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
}

// relocate reconnects an agent and announces it from another failure domain and
// region.
func (f *fleet) relocate(agent int, domain, region string) {
	a := f.agents[agent]
	a.domain, a.region = domain, region
	for _, e := range f.entries {
		a.disconnect(e)
		a.connect(e)
	}
	f.advance(50 * time.Millisecond)
}

// Guards against a target that fails every task immediately and therefore attracts
// all work. Required by the users: at least 98% of the jobs complete after the
// first 5 s.
func TestFailingTargetDoesNotAttractWork(t *testing.T) {
	f := newFleet(t, 2, 10, 8, settings.Policy{})
	f.agents[3].failTasks = true
	var lateTickets []*Ticket
	for i := range 1000 {
		ticket := f.submit(i%2, spec(2, 200*time.Millisecond))
		if i >= 250 {
			lateTickets = append(lateTickets, ticket)
		}
		f.advance(20 * time.Millisecond)
	}
	f.advance(5 * time.Second)
	complete := 0
	for _, ticket := range lateTickets {
		if a, ok := pollAnswer(ticket); ok && a.Err == nil {
			complete++
		}
	}
	if complete*100 < len(lateTickets)*98 {
		t.Errorf("%d of %d jobs complete after the first 5 s", complete, len(lateTickets))
	}
}

// Guards against new tasks on a drained target.
func TestDrainedTargetGetsNoWork(t *testing.T) {
	f := newFleet(t, 1, 2, 8, settings.Policy{})
	drained := strings.Replace(testDocument, `"workspaces"`, `"targets": {"target-0": {"drain": true}}, "workspaces"`, 1)
	f.entries[0].s.SetConfig(compileRules(t, 6, drained), f.now)
	ticket := f.submit(0, spec(32, 200*time.Millisecond))
	f.advance(150 * time.Millisecond)
	if n := f.agents[0].running(); n != 0 {
		t.Errorf("%d tasks run on the drained target", n)
	}
	f.advance(2 * time.Second)
	if a, ok := pollAnswer(ticket); !ok || a.Err != nil {
		t.Errorf("answered %v, error %v; want an answer without an error", ok, a.Err)
	}
}

// Guards against a job that was declared short and is still scheduled as short work
// after its first tasks have proved to be long.
func TestOverrunReclassifiesWaitingSiblings(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	j := spec(24, 30*time.Second)
	for i := range j.Tasks {
		j.Tasks[i].RunTime = 100 * time.Millisecond
	}
	ticket := f.submit(0, j)
	f.advance(20 * time.Second)
	active := ticket.j
	for i, class := range active.classes {
		if active.job.IsWaiting(i) && class != wire.ClassLong {
			t.Fatalf("waiting task %d is still of class %s", i, class)
		}
	}
	// 16 tasks wait; the others have run for 20 s.
	if least := 16 * 10 * time.Second; active.remainingWork < least {
		t.Errorf("expected remaining work is %v, want at least %v", active.remainingWork, least)
	}
}

// Guards against a job that waits for a deadline it cannot meet, and against a
// refusal that reports anything but "not run".
func TestInfeasibleDeadlineIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	for range 40 {
		f.submit(0, spec(8, 500*time.Millisecond))
		f.advance(600 * time.Millisecond)
	}
	impossible := spec(80, 500*time.Millisecond)
	impossible.Deadline = 2 * time.Second
	_, refusal := f.entries[0].s.Submit(impossible, false, f.now)
	if refusal == nil || refusal.Code != result.DeadlineInfeasible || refusal.RetryAfter != 0 {
		t.Fatalf("5 s of work within 2 s on an idle target: refusal %+v", refusal)
	}
	for range 100 { // 500 s of work, due within a minute
		if _, refusal = f.entries[0].s.Submit(spec(80, 500*time.Millisecond), false, f.now); refusal != nil {
			break
		}
	}
	if refusal == nil || refusal.Code != result.DeadlineInfeasible || refusal.Ran != result.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("500 s of work within a minute: refusal %+v", refusal)
	}
}

// shortJobTailLatency runs a mix of short and long jobs with a load peak at twice
// the normal rate. It returns the 99th percentile of the ratio of response time to
// ideal time over the short jobs.
func shortJobTailLatency(t *testing.T, policy settings.Policy) float64 {
	f := newFleet(t, 3, 10, 8, policy)
	r := rand.New(rand.NewPCG(7, 9))
	type sent struct {
		ticket *Ticket
		at     time.Time
		ideal  time.Duration
	}
	var open []sent
	var ratios []float64
	collect := func() {
		open = slices.DeleteFunc(open, func(s sent) bool {
			a, ok := pollAnswer(s.ticket)
			if ok && a.Err == nil {
				ratios = append(ratios, float64(f.now.Sub(s.at))/float64(s.ideal))
			}
			return ok
		})
	}
	for begin := f.now; f.now.Sub(begin) < 40*time.Second; {
		rate := 27.0 // jobs per second, a load of about 0.9
		if since := f.now.Sub(begin); since > 10*time.Second && since < 20*time.Second {
			rate = 54
		}
		f.advance(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		run := time.Duration(50 * math.Pow(20, r.Float64()) * float64(time.Millisecond))
		n := int(1 / (1 - r.Float64()*0.994)) // 1 to 160, with density 1/n²
		if r.IntN(100) < 5 {
			f.submit(r.IntN(3), withLabel(spec(1+n/10, 10*run), "kind", "exposure"))
			continue
		}
		open = append(open, sent{f.submit(r.IntN(3), withLabel(spec(n, run), "kind", "preview")), f.now, run + 4*f.latency})
		collect()
	}
	for range 600 {
		f.advance(20 * time.Millisecond)
		collect()
	}
	f.checkStarts()
	slices.Sort(ratios)
	return ratios[len(ratios)*99/100]
}

// Guards against a policy that delays short jobs at least as much as a push to the
// less loaded of two random targets.
func TestShortJobTailLatencyBeatsTwoChoices(t *testing.T) {
	chosen := shortJobTailLatency(t, settings.Policy{})
	baseline := shortJobTailLatency(t, settings.Policy{Binding: bindingTwoChoices, Order: "fifo"})
	if chosen >= baseline {
		t.Errorf("short jobs at p99: %.1f times ideal, two-choices %.1f", chosen, baseline)
	}
	t.Logf("short jobs at p99: %.1f times ideal, two-choices %.1f", chosen, baseline)
}
