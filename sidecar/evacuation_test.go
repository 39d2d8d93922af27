package sidecar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

func (b *fixture) evacuate(l *fakeLink, revision uint64, domains ...string) {
	b.sidecar.Handle(l, &wire.Evacuations{Revision: revision, Domains: domains})
}

// expectRefusal fails the test unless the last end on a link is a refusal that names the evacuation
// of a revision.
func (b *fixture) expectRefusal(l *fakeLink, revision uint64) {
	b.t.Helper()
	ends := l.ends()
	if len(ends) == 0 || ends[len(ends)-1].Status != wire.EndNotRun || ends[len(ends)-1].Evacuations == nil || ends[len(ends)-1].Evacuations.Revision != revision {
		b.t.Errorf("run ends %+v, want a refusal with revision %d", ends, revision)
	}
}

// Guards against a start by an entry that does not know the evacuations, at an agent that has just
// started and heard of none.
func TestStartBeforeEvacuationsAreKnown(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := &fakeLink{name: "a", incarnation: 1}
		b.sidecar.LinkUp(l)
		time.Sleep(time.Second)
		b.start(l, id(0, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		if ends := l.ends(); b.runner.Starts(firstTask) != 0 || len(ends) != 1 || ends[0].Status != wire.EndNotRun || ends[0].Evacuations != nil {
			t.Errorf("%d starts, ends %+v; want a refusal", b.runner.Starts(firstTask), ends)
		}
		b.evacuate(l, 7)
		b.start(l, id(0, 2), 1000)
		time.Sleep(50 * time.Millisecond)
		if b.runner.Starts(firstTask) != 1 {
			t.Error("no start after the evacuations are known")
		}
	})
}

// Guards against a start in an evacuated domain by an entry that has not heard of it yet, or whose
// older state arrives late, against runs there that are stopped, and against an evacuation that
// stays in force after its revocation.
func TestAgentEnforcesEvacuation(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		first, second := b.open("first"), b.open("second")
		b.start(first, id(0, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		b.evacuate(second, 9, "a")
		b.evacuate(first, 8) // late
		for i, l := range []*fakeLink{first, second} {
			b.start(l, id(uint32(1+i), 1), 1000)
			synctest.Wait()
			b.expectRefusal(l, 9)
		}
		time.Sleep(time.Second)
		if running := b.runner.Running(); len(running) != 1 || b.runner.Starts(firstTask) != 1 {
			t.Errorf("running %v, want the earlier run only", running)
		}
		b.evacuate(first, 10, "elsewhere")
		b.start(first, id(3, 1), 1000)
		time.Sleep(50 * time.Millisecond)
		if n := len(b.runner.Running()); n != 2 {
			t.Errorf("%d runs after the revocation, want 2", n)
		}
	})
}

// Guards against a start that was admitted before the evacuation and is sent to the target after it.
func TestStartAdmittedBeforeEvacuation(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.evacuate(l, 9, "a") // before the request is sent: nothing has blocked since
		time.Sleep(50 * time.Millisecond)
		if n := b.runner.Starts(firstTask); n != 0 {
			t.Errorf("%d starts after the evacuation", n)
		}
		b.expectRefusal(l, 9)
		if free := b.sidecar.Stats().Free; free.CPU != 32000 {
			t.Errorf("free CPU %d, want all", free.CPU)
		}
	})
}

// Guards against starts on a target that reports a domain other than that of its agent's settings.
func TestDomainInReportIsEvacuated(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		b.number++
		b.sidecar.HandleReport(targets.Report{
			Target: "i-standin", Service: "frames", FailureDomain: "b", Capacity: workload.Resources{CPU: 32000, Memory: 131072}, Born: b.born(), Sequence: b.number,
		})
		b.evacuate(l, 9, "b")
		b.start(l, id(0, 1), 1000)
		synctest.Wait()
		b.expectRefusal(l, 9)
	})
}

// Guards against entries that do not hear that a target is slow after its start, or still take it for
// slow, and against a message to each of them for each report meanwhile.
func TestColdTimeIsAnnounced(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		l := b.open("a")
		report := func(left time.Duration) {
			b.number++
			b.sidecar.HandleReport(targets.Report{
				Target: "i-standin", Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072}, Born: b.born(), Sequence: b.number, ColdLeft: left,
			})
		}
		report(10 * time.Second)
		if left := l.state().ColdLeft; left != 10*time.Second {
			t.Errorf("announced %s, want 10 s", left)
		}
		sent := len(l.messages())
		time.Sleep(1500 * time.Millisecond)
		report(8400 * time.Millisecond)
		if n := len(l.messages()); n != sent {
			t.Errorf("%d further messages after a report without news", n-sent)
		}
		report(0)
		if left := l.state().ColdLeft; left != 0 {
			t.Errorf("announced %s after the target is warm", left)
		}
	})
}
