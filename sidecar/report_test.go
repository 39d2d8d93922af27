package sidecar_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// foreignReports are reports that are not from the target, which has started at the given time.
func foreignReports(born int64) map[string]targets.Report {
	capacity := workload.Resources{CPU: 4000, Memory: 8192}
	return map[string]targets.Report{
		"another id, started later":    {Target: "w-71c0", Service: "other", Capacity: capacity, Born: born + 1000, Sequence: 1},
		"another id, start not known":  {Target: "w-71c0", Service: "frames", Capacity: capacity, Sequence: 1},
		"the target's id, later start": {Target: "i-standin", Service: "frames", Capacity: capacity, Born: born + 1000, Sequence: 900},
		"the target's id, no start":    {Target: "i-standin", Service: "frames", Capacity: capacity, Sequence: 900},
		"start far in the future":      {Target: "w-71c0", Service: "frames", Capacity: capacity, Born: 1 << 62, Sequence: 1 << 63},
	}
}

// Guards against a report of another writer that is taken for the target's successor: the runs
// would be reported as ended, and start elsewhere, while they go on.
func TestForeignReportEndsNoRun(t *testing.T) {
	for name := range foreignReports(0) {
		t.Run(name, func(t *testing.T) {
			runFixture(t, withRunTime(time.Second), func(b *fixture) {
				l := b.open("a")
				b.start(l, id(0, 1), 1000)
				time.Sleep(10 * time.Millisecond)
				b.sidecar.HandleReport(foreignReports(b.born())[name])
				time.Sleep(500 * time.Millisecond)
				if ends, s := l.ends(), l.state(); len(ends) != 0 || s.Target != "i-standin" || s.Closed {
					t.Errorf("run ends received: %+v, announced state %+v; want a run that goes on and an open target", ends, s)
				}
				b.report("ready")
				b.start(l, id(1, 1), 1000)
				time.Sleep(1100 * time.Millisecond)
				if ends := l.ends(); len(ends) != 2 || ends[0].Status != wire.EndDone || ends[1].Status != wire.EndDone {
					t.Errorf("run ends received: %+v, want two done runs", ends)
				}
			})
		})
	}
}

// Guards against an agent that uses the report of another writer because it is the first one
// that it gets.
func TestForeignReportAtStartIsNotUsed(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.sidecar = b.newSidecar()
		for _, r := range foreignReports(b.born()) {
			b.sidecar.HandleReport(r)
		}
		l := b.link("a")
		time.Sleep(time.Second)
		if s := l.state(); s != nil {
			t.Errorf("announced state %+v before the target has reported", s)
		}
		b.report("ready")
		time.Sleep(time.Second)
		if s := l.state(); s == nil || s.Target != "i-standin" || s.Closed {
			t.Errorf("announced state %+v, want i-standin accepting runs", s)
		}
	})
}

// Guards against reports for a service that is not the target's, even if the target's id is in them.
func TestReportForAnotherServiceIsIgnored(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Service: "frames", Target: b.client, Log: zap.NewNop(), Metrics: discardMetrics{}})
		b.sidecar.Start()
		b.report("ready")
		l := b.open("a")
		b.sidecar.HandleReport(targets.Report{Target: "i-standin", Service: "other", Born: b.born(), Sequence: 900})
		time.Sleep(100 * time.Millisecond)
		if s := l.state(); s.Service != "frames" || s.Closed {
			t.Errorf("announced state %+v, want the service frames accepting runs", s)
		}
	})
}

// Guards against a report of the target's earlier process that arrives after the first one of the
// next process under the same id, and replaces what that one has reported.
func TestLateReportOfEarlierProcessIsIgnored(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		late := targets.Report{Target: "i-standin", Service: "frames", Capacity: workload.Resources{CPU: 1}, Born: b.born(), Sequence: 900}
		b.runner.Restart()
		time.Sleep(300 * time.Millisecond)
		for _, first := range []bool{true, false} {
			if !first {
				b.report("ready")
				time.Sleep(100 * time.Millisecond)
			}
			b.sidecar.HandleReport(late)
			time.Sleep(100 * time.Millisecond)
			if s := l.state(); s.Capacity.CPU != 32000 {
				t.Errorf("announced state %+v after a late report, before the new process reported: %t", s, first)
			}
		}
	})
}

// Guards against runs of a replaced target that are never reported as ended, and against a target
// that is announced as open before its next process has reported.
func TestReplacedTargetEndsRunsOnceItAnswers(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(10 * time.Millisecond)
		b.runner.Replace("i-next", 0)
		time.Sleep(300 * time.Millisecond)
		if ends := l.ends(); len(ends) != 1 || !l.state().Closed {
			t.Errorf("run ends received: %+v, announced state %+v; want one end and a closed target", ends, l.state())
		}
		b.reportAs("i-next", "ready")
		time.Sleep(300 * time.Millisecond)
		if s := l.state(); s.Target != "i-next" || s.Closed {
			t.Errorf("announced state %+v, want i-next accepting runs", s)
		}
	})
}

// Guards against a leaving target whose runs are reported as ended when it announces its end or
// closes its address: they go on until its process has ended, which takes a while.
func TestRunsOfLeavingTargetEndWithItsProcess(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		client := b.useCrashingTarget()
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.report("draining")
		time.Sleep(100 * time.Millisecond)
		b.sidecar.HandleDeregistration("i-standin")
		time.Sleep(3 * time.Second)
		if ends := l.ends(); len(ends) != 0 || !l.state().Closed {
			t.Fatalf("run ends received: %+v, closed %t; want a run that goes on and a closed target", ends, l.state().Closed)
		}
		close(client.crashed) // the target's process still lives: its lease counts
		for range 3000 {
			time.Sleep(time.Millisecond)
			if len(l.ends()) > 0 {
				break
			}
		}
		reports, _ := l.crashReports()
		if ends, left := l.ends(), b.runner.Running(); len(ends) != 1 || ends[0].Status != wire.EndStopped || len(left) != 0 || len(reports) != 0 {
			t.Errorf("run ends received: %+v while %v still run, %d crash reports; want one stopped run after its lease and none", ends, left, len(reports))
		}
	})
}

// Guards against a leaving target whose runs are not reported as ended once another one answers.
func TestRunsOfLeavingTargetEndWithItsSuccessor(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.sidecar.HandleDeregistration("i-standin")
		time.Sleep(time.Second)
		b.runner.Replace("i-next", 0)
		time.Sleep(300 * time.Millisecond)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndStopped {
			t.Errorf("run ends received: %+v, want one stopped run", ends)
		}
	})
}

// Guards against a run that ends as planned on a leaving target and is not reported as done.
func TestRunIsDoneOnLeavingTarget(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.sidecar.HandleDeregistration("i-standin")
		time.Sleep(1100 * time.Millisecond)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone {
			t.Errorf("run ends received: %+v, want one done run", ends)
		}
	})
}

// Guards against tasks that start on a target which came back under its id as another kind: it is
// closed until it has reported, and entries are told of the labels.
func TestRestartedTargetIsClosedUntilItReports(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.Restart()
		time.Sleep(time.Second)
		if s := l.state(); !s.Closed {
			t.Errorf("announced state %+v before the new process has reported, want a closed target", s)
		}
		b.start(l, id(0, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		if n := b.runner.Starts(firstTask); n != 0 {
			t.Errorf("%d starts before the new process has reported", n)
		}
		b.sidecar.HandleReport(targets.Report{
			Target: "i-standin", Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072}, Labels: []string{"b"}, Born: b.born(), Sequence: 1,
		})
		time.Sleep(300 * time.Millisecond)
		if s := l.state(); s.Closed || len(s.Labels) != 1 || s.Labels[0] != "b" {
			t.Errorf("announced state %+v, want an open target with the label b", s)
		}
	})
}

// Guards against entries that are not told of a target's changed labels.
func TestChangedLabelsAreAnnounced(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.number++
		b.sidecar.HandleReport(targets.Report{
			Target: "i-standin", Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072}, Labels: []string{"b"}, Born: b.born(), Sequence: b.number,
		})
		if s := l.state(); len(s.Labels) != 1 || s.Labels[0] != "b" {
			t.Errorf("announced labels %v, want b", s.Labels)
		}
	})
}

// Guards against a delayed report that replaces the state of a newer incarnation.
func TestDelayedReportIsIgnored(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		old := targets.Report{Target: "i-before", Service: "frames", Capacity: workload.Resources{CPU: 1}, Born: 1, Sequence: 900}
		if b.sidecar.HandleReport(old) {
			t.Error("a report of an earlier incarnation was accepted")
		}
		if l.state().Target != "i-standin" {
			t.Errorf("announced target %s, want i-standin", l.state().Target)
		}
	})
}

// Guards against a replaced target that stays unused because the system clock was set back
// before it started.
func TestTargetReplacedAfterClockStepsBack(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.Replace("i-next", time.Hour)
		time.Sleep(300 * time.Millisecond)
		b.reportAs("i-next", "ready")
		time.Sleep(300 * time.Millisecond)
		if s := l.state(); s.Target != "i-next" || s.Closed {
			t.Errorf("announced state %+v, want i-next accepting runs", s)
		}
	})
}
