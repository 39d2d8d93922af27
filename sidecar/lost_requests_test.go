package sidecar_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/wire"
)

// Guards against a task that waits for another target because one of its target's requests was lost, and
// against a second run when the lost request is executed late. The load: a twentieth of the requests get
// no response and are executed seconds later.
func TestLostStartRequestIsRepeated(t *testing.T) {
	for _, delay := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
		runFixture(t, withRunTime(time.Second), func(b *fixture) {
			l := b.open("a")
			b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: delay})
			b.start(l, id(0, 1), 1000)
			time.Sleep(30 * time.Millisecond)
			if n := len(b.runner.Running()); n != 1 {
				t.Errorf("delay %v: %d runs after 30 ms, want 1", delay, n)
			}
			time.Sleep(5 * time.Second)
			if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone {
				t.Errorf("delay %v: run ends received: %+v, want one that is done", delay, ends)
			}
			if n := b.runner.Starts(firstTask); n != 1 {
				t.Errorf("delay %v: the run was started %d times", delay, n)
			}
		})
	}
}

// Guards against ends of runs that are reported late while single requests are lost: both polls that would have
// listed an end are. The load: a twentieth of all requests to the target get no response.
func TestEndIsReportedSoonWhilePollsAreLost(t *testing.T) {
	runFixture(t, withRunTime(100*time.Millisecond), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1})
		b.start(l, id(0, 1), 1000)
		time.Sleep(60 * time.Millisecond)
		b.start(l, id(1, 1), 1000)
		time.Sleep(50 * time.Millisecond) // the first run ends in 5 ms, and new polls follow
		b.runner.SetFaults(standin.RunnerFaults{DropPolls: 2})
		time.Sleep(130 * time.Millisecond) // 80 ms after the end of the second run
		if ends := l.ends(); len(ends) != 2 {
			t.Errorf("run ends received: %+v, want two", ends)
		}
	})
}

// Guards against a second run of a task after its target has crashed: a lost request to start the first one,
// which a repeated request had started, is executed by the target's next process. Its end counts only
// when the next process has acknowledged a stop.
func TestLostStartRequestReachesNextProcess(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, ApplyDelay: 500 * time.Millisecond})
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		b.runner.Restart()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if len(l.ends()) > 0 && len(b.runner.Running()) > 0 {
				t.Fatal("the task's run was reported as ended, and a delayed request started it")
			}
		}
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndCrashed {
			t.Errorf("run ends received: %+v, want one crashed run", ends)
		}
	})
}
