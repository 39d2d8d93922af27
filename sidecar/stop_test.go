package sidecar_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// resendAfter is when callers send a job again whose answer they did not get.
const resendAfter = 1300 * time.Millisecond

// Guards against a run whose stop gets no response and that goes on, kept alive by the polls, until after
// its caller has sent the job again.
func TestRunWithoutResponseToStopEndsWithItsLease(t *testing.T) {
	for name, end := range map[string]func(*fixture, *fakeLink){
		"stopped":   func(b *fixture, l *fakeLink) { b.sidecar.Handle(l, &wire.RunStop{Runs: []workload.RunID{id(0, 1)}}) },
		"link lost": func(b *fixture, l *fakeLink) { b.sidecar.LinkDown(l, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
				l, other := b.open("a"), b.open("b")
				b.start(l, id(0, 1), 1000)
				time.Sleep(time.Second)
				b.runner.SetFaults(standin.RunnerFaults{DropStops: 1000, ApplyDelay: 5 * time.Second})
				end(b, l)
				// Further starts do not keep it alive either.
				for i := range uint32(13) {
					b.start(other, id(1+i, 1), 100)
					time.Sleep(resendAfter / 2 / 13)
				}
				time.Sleep(resendAfter / 2 / 10)
				if left := b.runner.Running(); left[firstTask] != 0 {
					t.Errorf("%v still run %v after the first request to stop the first", left, resendAfter/2)
				}
			})
		})
	}
}

// Guards against a stop whose first responses are lost and that ends the other runs of the target.
func TestRepeatedStopEndsNoOtherRun(t *testing.T) {
	runFixture(t, withRunTime(3*time.Second), func(b *fixture) {
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		b.start(l, id(1, 1), 1000)
		time.Sleep(time.Second)
		b.runner.SetFaults(standin.RunnerFaults{DropStops: 3})
		b.sidecar.Handle(l, &wire.RunStop{Runs: []workload.RunID{id(0, 1)}})
		time.Sleep(50 * time.Millisecond)
		b.start(l, id(2, 1), 1000)
		time.Sleep(4 * time.Second)
		ends := make(map[uint32]wire.EndStatus)
		for _, e := range l.ends() {
			ends[e.Run.Task.Index] = e.Status
		}
		if ends[0] != wire.EndStopped || ends[1] != wire.EndDone || ends[2] != wire.EndDone {
			t.Errorf("run ends by task: %v, want the first stopped and the others done", ends)
		}
	})
}
