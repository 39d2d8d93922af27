package sidecar_test

import (
	"testing"
	"time"

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
