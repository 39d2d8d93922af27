package sidecar_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// savedReport returns the report that an earlier process of the agent saved for the stand-in
// target.
func (b *fixture) savedReport(target string) targets.Report {
	return targets.Report{
		Target: target, Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072},
		Born: b.runner.Report("frames", "ready", 1)["born"].(int64), Sequence: 1,
	}
}

// restart replaces the agent by a new process that has no report of its target.
func (b *fixture) restart() *fakeLink {
	b.t.Helper()
	if err := b.sidecar.Kill(); err != nil {
		b.t.Error(err)
	}
	b.sidecar = b.newSidecar()
	return b.link("a")
}

func acceptsRuns(l *fakeLink) bool {
	s := l.state()
	return s != nil && !s.Closed
}

// Guards against a target that stays unused after a restart of its agent until its next
// report, up to 1.5 s later.
func TestRestoredTargetOpensAtOnce(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-standin"))
		time.Sleep(200 * time.Millisecond)
		if !acceptsRuns(l) {
			t.Fatal("no runs accepted 200 ms after the restored report")
		}
		b.report("ready")
		time.Sleep(3 * time.Second)
		if !acceptsRuns(l) {
			t.Error("no runs accepted after the target reported ready")
		}
	})
}

// Guards against use of a target that has long reported that it is draining: the saved report
// may be older than that.
func TestRestoredReportExpires(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-standin"))
		time.Sleep(2 * time.Second)
		if acceptsRuns(l) {
			t.Fatal("runs accepted 2 s after the agent's start, before the target reported ready")
		}
		b.report("ready")
		time.Sleep(200 * time.Millisecond)
		if !acceptsRuns(l) {
			t.Error("no runs accepted after the target reported ready")
		}
	})
}

// Guards against starting runs by the capacity and labels of an earlier target: one with
// another id, or an earlier process under the same id.
func TestStaleRestoredReportIsIgnored(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-earlier"))
		time.Sleep(500 * time.Millisecond)
		if acceptsRuns(l) {
			t.Error("runs accepted on the restored report of another target")
		}
		l = b.restart()
		earlier := b.savedReport("i-standin")
		earlier.Born--
		b.sidecar.RestoreReport(earlier)
		time.Sleep(500 * time.Millisecond)
		if acceptsRuns(l) {
			t.Error("runs accepted on the restored report of an earlier process of the target")
		}
		b.report("ready")
		time.Sleep(200 * time.Millisecond)
		if !acceptsRuns(l) {
			t.Error("no runs accepted after the target reported ready")
		}
	})
}

// Guards against reports that are lost with the process, and against a write for each report
// of the target: only changes may be written to the store.
func TestReportsAreSavedOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewCountingStore(standin.NewStore(standin.StoreOptions{}).Local())
		first := targets.Report{Target: "i-1", Service: "frames", Born: 5, Sequence: 1, Labels: []string{"a"}}
		runStore := func(reports ...targets.Report) (restored []targets.Report) {
			ctx, cancel := context.WithCancel(t.Context())
			k := sidecar.NewReportStore(store, "agent-1", zap.NewNop())
			done := make(chan struct{})
			go func() {
				k.Run(ctx, func(r targets.Report) { restored = append(restored, r) })
				close(done)
			}()
			synctest.Wait()
			for _, r := range reports {
				k.Save(r)
				synctest.Wait()
			}
			cancel()
			<-done
			return restored
		}
		if restored := runStore(); len(restored) != 0 {
			t.Errorf("restored %+v from an empty store", restored)
		}
		second := first
		second.Sequence, second.ColdLeft = 2, 10*time.Second
		runStore(first, second)
		if n := store.Writes(); n != 1 {
			t.Errorf("%d writes for reports that differ only in sequence number and cold time, want 1", n)
		}
		draining := second
		draining.Draining = true
		if restored := runStore(second, draining); len(restored) != 1 || restored[0].Target != "i-1" {
			t.Errorf("restored %+v, want one report of i-1", restored)
		}
		if n := store.Writes(); n != 2 {
			t.Errorf("%d writes after one change, want 2", n)
		}
		if restored := runStore(); len(restored) != 1 || !restored[0].Draining {
			t.Errorf("restored %+v, want the report of a draining target", restored)
		}
	})
}

// scriptedPolls answers polls with responses that a test computes from the requests.
type scriptedPolls struct {
	targets.Client
	respond func(targets.PollRequest, targets.PollResponse) targets.PollResponse
}

func (c *scriptedPolls) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	response, err := c.Client.Poll(ctx, q)
	return c.respond(q, response), err
}

// Guards against a target that opens without its entries being told: the response that
// confirms the restored report may itself be out of date, or refuse the fencing token.
func TestRestoredTargetOpensWithOutdatedResponse(t *testing.T) {
	for name, change := range map[string]func(*targets.PollResponse){
		"overtaken": func(r *targets.PollResponse) { r.Clock -= time.Second },
		"fenced":    func(r *targets.PollResponse) { r.Fenced, r.Born = true, 0 },
	} {
		runFixture(t, withRunTime(time.Second), func(b *fixture) {
			if err := b.sidecar.Kill(); err != nil {
				t.Error(err)
			}
			time.Sleep(2 * time.Second)
			confirmed := false
			client := &scriptedPolls{Client: b.client, respond: func(q targets.PollRequest, r targets.PollResponse) targets.PollResponse {
				if q.Target != "" && !confirmed {
					confirmed = true
					change(&r)
				}
				return r
			}}
			b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{}})
			b.sidecar.Start()
			l := b.link("a")
			time.Sleep(300 * time.Millisecond)
			b.sidecar.RestoreReport(b.savedReport("i-standin"))
			time.Sleep(time.Second)
			if !acceptsRuns(l) {
				t.Errorf("%s: no runs accepted 1 s after the restored report", name)
			}
		})
	}
}

// Guards against a deadly task that starts from nothing after all processes were killed at once:
// only the store has kept what they knew of its crashes.
func TestCrashesSurviveTheAgent(t *testing.T) {
	for _, reported := range []bool{false, true} {
		runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
			if err := b.sidecar.Kill(); err != nil {
				t.Error(err)
			}
			var saved targets.Report
			options := sidecar.Options{
				FailureDomain: "a", Target: b.client, Log: zap.NewNop(), Metrics: discardMetrics{},
				SaveReport: func(r targets.Report) { saved = r },
			}
			b.sidecar = sidecar.New(options)
			b.sidecar.Start()
			b.report("ready")
			b.start(b.open("a"), id(0, 1), 1000)
			time.Sleep(50 * time.Millisecond)
			b.runner.Restart()
			time.Sleep(time.Second)
			if err := b.sidecar.Kill(); err != nil {
				t.Error(err)
			}
			before := saved
			b.sidecar = sidecar.New(options)
			b.sidecar.Start()
			if reported {
				b.report("ready") // before the store has answered
			}
			l := b.link("a")
			b.sidecar.RestoreReport(before)
			if reports, _ := l.crashReports(); len(reports) == 0 {
				t.Errorf("target reported first %t: the next agent process tells nothing of the crash", reported)
			}
			if reported && len(saved.Crashes) == 0 {
				t.Error("the crash is lost in the report that the next process saved")
			}
		})
	}
}

func (b *fixture) startUnguarded(l *fakeLink, run workload.RunID, cpu int64) {
	b.sidecar.Handle(l, &wire.RunStart{Run: run, Spec: "s", Need: workload.Resources{CPU: cpu}, TimeLeft: time.Second, Target: "i-standin", Unguarded: true})
}

// Guards against starts beyond the capacity of a target that has shrunk unseen and does not guard
// it: while the agent was restarted and only knows what its earlier process saved, while it was
// paused, or while no report arrived.
func TestUnguardedTargetNeedsItsOwnRecentReport(t *testing.T) {
	for name, makeStale := range map[string]func(*fixture) *fakeLink{
		"restored": func(b *fixture) *fakeLink {
			l := b.restart()
			b.sidecar.RestoreReport(b.savedReport("i-standin"))
			time.Sleep(200 * time.Millisecond)
			return l
		},
		"paused": func(b *fixture) *fakeLink {
			b.open("a")
			b.paused = true
			b.link("b")
			b.paused = false
			return b.link("c")
		},
		"silent": func(b *fixture) *fakeLink {
			l := b.open("a")
			time.Sleep(3 * time.Second)
			return l
		},
	} {
		runFixture(t, withRunTime(time.Second), func(b *fixture) {
			l := makeStale(b)
			if s := l.state(); s == nil || s.Closed || !s.CapacityStale {
				t.Errorf("%s: state %+v, want open with a stale capacity", name, s)
			}
			b.startUnguarded(l, id(0, 1), 1000)
			b.start(l, id(1, 1), 1000)
			synctest.Wait()
			if ends := l.ends(); len(ends) != 1 || ends[0].Run != id(0, 1) || ends[0].Status != wire.EndNotRun {
				t.Errorf("%s: run ends %+v, want the unguarded run refused only", name, ends)
			}
			b.report("ready")
			if s := l.state(); s == nil || s.CapacityStale {
				t.Errorf("%s: the capacity is stale after a report", name)
			}
			b.startUnguarded(l, id(2, 1), 1000)
			synctest.Wait()
			if n := len(l.ends()); n != 1 {
				t.Errorf("%s: %d run ends after a report, want no other refusal", name, n)
			}
			time.Sleep(1500 * time.Millisecond)
		})
	}
}

// Guards against starts beside a run that the agent does not know, which a delayed request of an
// earlier process has started: the target that does not guard its capacity would exceed it.
func TestUnknownRunClosesTheTarget(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStops: 2})
		started := b.client.Start(context.Background(), "i-standin", targets.StartRequest{
			Run: id(7, 1), Spec: "s", LeaseEnd: time.Hour, FencingToken: 1 << 40,
		})
		if started.Result != targets.Started {
			t.Errorf("start: %+v", started)
		}
		closed := false
		for range 1000 {
			time.Sleep(time.Millisecond)
			closed = closed || l.state().Closed
		}
		if !closed {
			t.Error("the target accepts runs while an unknown run is on it")
		}
		if l.state().Closed || len(b.runner.Running()) > 0 {
			t.Error("the target stays closed, or the run goes on")
		}
	})
}

// Guards against a second run of a task after its agent and its target have both started again: a start
// request of the agent's earlier process is executed seconds later, and carries a higher token than those of its
// next process, which are read from the clock of the target's next one.
func TestTokenSurvivesTheAgent(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		time.Sleep(time.Minute)
		var saved targets.Report
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.sidecar = sidecar.New(sidecar.Options{
			FailureDomain: "a", Target: b.client, Log: zap.NewNop(), Metrics: discardMetrics{},
			SaveReport: func(r targets.Report) { saved = r },
		})
		b.sidecar.Start()
		b.report("ready")
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: 3 * time.Second})
		b.start(l, id(0, 1), 1000)
		time.Sleep(10 * time.Millisecond)
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.runner.Restart()
		b.sidecar = b.newSidecar()
		b.sidecar.RestoreReport(saved)
		b.report("ready")
		b.open("a")
		time.Sleep(3 * time.Second)
		if n := b.runner.Starts(firstTask); n != 0 {
			t.Errorf("the request of the earlier agent process was executed %d times after the target had been announced", n)
		}
	})
}
