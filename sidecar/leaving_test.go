package sidecar_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
)

// awaitEndAfterRuns waits for the end of the first run, and fails if it is reported while the target still
// has a run.
func (b *fixture) awaitEndAfterRuns(l *fakeLink, want wire.EndStatus) {
	b.t.Helper()
	for range 3000 {
		time.Sleep(time.Millisecond)
		if len(l.ends()) > 0 {
			break
		}
	}
	if ends, left := l.ends(), b.runner.Running(); len(ends) != 1 || ends[0].Status != want || len(left) != 0 {
		b.t.Errorf("run ends received: %+v while %v still run, want one %v end and none", ends, left, want)
	}
}

// Guards against a planned end that is taken for a crash because its announcement did not reach the
// agent: the target closes its address, and its runs go on until its process has ended.
func TestClosedAddressOfTargetThatMayLeaveEndsNoRun(t *testing.T) {
	for name, c := range map[string]struct {
		lose func(b *fixture)
		end  wire.EndStatus
	}{
		"no report for a while": {func(*fixture) { time.Sleep(2 * time.Second) }, wire.EndCrashed},
		"a late report after the deregistration": {func(b *fixture) {
			b.sidecar.HandleDeregistration("i-standin")
			b.report("ready")
		}, wire.EndStopped},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, withRunTime(20*time.Second), func(b *fixture) {
				client := b.useCrashingTarget()
				l := b.open("a")
				b.start(l, id(0, 1), 1000)
				c.lose(b)
				time.Sleep(100 * time.Millisecond)
				close(client.crashed)
				b.awaitEndAfterRuns(l, c.end)
			})
		})
	}
}

// Guards against an agent that takes a ready report from before its restart for the newest: the target may have told
// the agent's earlier process that it leaves.
func TestClosedAddressAfterRestartOfAgentEndsNoRun(t *testing.T) {
	runFixture(t, withRunTime(20*time.Second), func(b *fixture) {
		b.open("a")
		saved := b.savedReport("i-standin")
		client := &crashingTarget{Client: b.client, crashed: make(chan struct{})}
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.sidecar = b.sidecarWith(client)
		l := b.link("a")
		b.sidecar.RestoreReport(saved)
		time.Sleep(500 * time.Millisecond)
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		close(client.crashed)
		b.awaitEndAfterRuns(l, wire.EndCrashed)
	})
}

// killAgentWithRun starts a run, kills the agent's process, and sets the target's faults.
func (b *fixture) killAgentWithRun(faults standin.RunnerFaults) {
	b.t.Helper()
	b.start(b.open("a"), id(0, 1), 1000)
	time.Sleep(100 * time.Millisecond)
	if err := b.sidecar.Kill(); err != nil {
		b.t.Fatal(err)
	}
	b.runner.SetFaults(faults)
}

// closedTarget is a client of a target that closes its address once closed is set.
type closedTarget struct {
	targets.Client
	closed atomic.Bool
}

func (c *closedTarget) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	if c.closed.Load() {
		return targets.PollResponse{}, targets.ErrNotListening
	}
	return c.Client.Poll(ctx, q)
}

// Guards against a new agent process that says that nothing is left of the earlier one's runs because the
// target has closed its address: a leaving target still works on them, and entries start them elsewhere.
func TestNewAgentOfClosedTargetAwaitsEarlierLease(t *testing.T) {
	runFixture(t, withRunTime(20*time.Second), func(b *fixture) {
		b.killAgentWithRun(standin.RunnerFaults{DropStops: 1000})
		client := &closedTarget{Client: b.client}
		b.sidecar = b.sidecarWith(client)
		next := b.link("a")
		b.report("ready")
		time.Sleep(150 * time.Millisecond) // the report is confirmed
		client.closed.Store(true)
		for range 3000 {
			time.Sleep(time.Millisecond)
			if left := b.runner.Running(); next.state() != nil && len(left) > 0 {
				t.Errorf("the target was announced while %v of the earlier agent process still run", left)
				return
			}
		}
		if next.state() == nil {
			t.Error("the target was never announced, so that entries keep the runs of the earlier agent process in their books")
		}
	})
}

// Guards against runs of an earlier agent process that a new one keeps alive with its polls while their
// stops get no response: entries start them elsewhere 1.2 s after they lost the earlier process.
func TestUnknownRunsGetNoRenewals(t *testing.T) {
	runFixture(t, withRunTime(20*time.Second), func(b *fixture) {
		b.killAgentWithRun(standin.RunnerFaults{DropStops: 1000, ApplyDelay: 5 * time.Second})
		b.sidecar = b.newSidecar()
		b.link("a")
		b.report("ready")
		time.Sleep(resendAfter / 2)
		if left := b.runner.Running(); len(left) > 0 {
			t.Errorf("%v of the earlier agent process still run %v after the start of the new one", left, resendAfter/2)
		}
	})
}
