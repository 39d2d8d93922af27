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
	"github.com/catkinline/catkinline/workload"
)

// kept is what an agent's earlier process kept of the stand-in target.
func (b *fixture) savedReport(target string) targets.Report {
	return targets.Report{
		Target: target, Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072},
		Born: b.runner.Report("frames", "ready", 1)["born"].(int64), Sequence: 1,
	}
}

// restart replaces the agent by a new process that has not heard of its target.
func (b *fixture) restart() *fakeLink {
	b.t.Helper()
	if err := b.sidecar.Kill(); err != nil {
		b.t.Error(err)
	}
	b.sidecar = b.newSidecar()
	return b.link("a")
}

func takesRuns(l *fakeLink) bool {
	s := l.state()
	return s != nil && !s.Closed
}

// Guards against a target that stays unused after its agent started again, until
// its next report, which may be 1.5 s away.
func TestRecalledTargetOpensAtOnce(t *testing.T) {
	run(t, lasting(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-standin"))
		time.Sleep(200 * time.Millisecond)
		if !takesRuns(l) {
			t.Fatal("closed 200 ms after the start")
		}
		b.report("ready")
		time.Sleep(3 * time.Second)
		if !takesRuns(l) {
			t.Error("closed although the target has reported")
		}
	})
}

// Guards against the use of a target that has long said that it drains: the last
// report that was kept may be older than that.
func TestRecalledTargetClosesWithoutAReport(t *testing.T) {
	run(t, lasting(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-standin"))
		time.Sleep(2 * time.Second)
		if takesRuns(l) {
			t.Fatal("open 2 s after the start without a report")
		}
		b.report("ready")
		time.Sleep(200 * time.Millisecond)
		if !takesRuns(l) {
			t.Error("closed although the target has reported")
		}
	})
}

// Guards against runs that are ordered by the capacity and the labels of a target
// that was there before: another one, or another life under the same name.
func TestRecalledTargetThatIsGoneIsNotUsed(t *testing.T) {
	run(t, lasting(time.Second), func(b *fixture) {
		l := b.restart()
		b.sidecar.RestoreReport(b.savedReport("i-earlier"))
		time.Sleep(500 * time.Millisecond)
		if takesRuns(l) {
			t.Error("open with the report of another target")
		}
		l = b.restart()
		earlier := b.savedReport("i-standin")
		earlier.Born--
		b.sidecar.RestoreReport(earlier)
		time.Sleep(500 * time.Millisecond)
		if takesRuns(l) {
			t.Error("open with the report of an earlier life")
		}
		b.report("ready")
		time.Sleep(200 * time.Millisecond)
		if !takesRuns(l) {
			t.Error("closed although the target has reported")
		}
	})
}

// Guards against reports that are lost with the process, or written at each of the
// target's reports: only changes cost the store a write.
func TestReportsAreKeptOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewCounted(standin.NewStore(standin.StoreOptions{}).Local())
		first := targets.Report{Target: "i-1", Service: "frames", Born: 5, Sequence: 1, Labels: []string{"a"}}
		play := func(reports ...targets.Report) (restored []targets.Report) {
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
		if restored := play(); len(restored) != 0 {
			t.Errorf("recalled %+v from an empty store", restored)
		}
		second := first
		second.Sequence = 2
		play(first, second)
		if n := store.Writes(); n != 1 {
			t.Errorf("%d writes for reports that differ in their number", n)
		}
		draining := second
		draining.Draining = true
		if restored := play(second, draining); len(restored) != 1 || restored[0].Target != "i-1" {
			t.Errorf("recalled %+v", restored)
		}
		if n := store.Writes(); n != 2 {
			t.Errorf("%d writes after one change", n)
		}
		if restored := play(); len(restored) != 1 || !restored[0].Draining {
			t.Errorf("recalled %+v", restored)
		}
	})
}
