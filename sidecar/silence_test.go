package sidecar_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
)

// lostResponses passes all requests on to the target and loses their responses while lost is
// set.
type lostResponses struct {
	targets.Client
	lost atomic.Bool
}

var errNoResponse = errors.New("no response")

func (c *lostResponses) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	if !c.lost.Load() {
		return c.Client.Poll(ctx, q)
	}
	_, _ = c.Client.Poll(ctx, q)
	<-ctx.Done()
	return targets.PollResponse{}, errNoResponse
}

// Guards against a task that starts elsewhere while its run continues on a target that is only
// silent: its responses are lost, but it still receives the renewals of its lease.
func TestRunsOfSilentTargetEndBeforeTheyAreReported(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		client := &lostResponses{Client: b.client}
		b.useClient(client)
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		client.lost.Store(true)
		for range 5000 {
			time.Sleep(time.Millisecond)
			if len(l.ends()) > 0 {
				break
			}
		}
		if left := b.runner.Running(); len(l.ends()) != 1 || len(left) != 0 {
			t.Errorf("run ends received: %+v while %v still run; want one end after the lease has expired", l.ends(), left)
		}
	})
}

// Guards against a second run of a task whose start request is delayed for longer than the
// lease: the target is silent meanwhile and restarts under the same id, and its new process,
// which has seen no fencing token, executes the request.
func TestStartDelayedBeyondLeaseAcrossRestart(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		time.Sleep(time.Minute)
		l := b.open("a")
		b.runner.SetFaults(standin.RunnerFaults{DropStarts: 1, DropStops: 1000, DropPolls: 1000, ApplyDelay: 1500 * time.Millisecond})
		b.start(l, id(0, 1), 1000)
		time.Sleep(1400 * time.Millisecond)
		if ends := l.ends(); len(ends) != 0 {
			t.Errorf("run ends received: %+v while the start request is in transit, want none", ends)
		}
		b.runner.Restart()
		time.Sleep(300 * time.Millisecond)
		b.runner.SetFaults(standin.RunnerFaults{})
		for range 3000 {
			time.Sleep(time.Millisecond)
			if left := b.runner.Running(); len(l.ends()) > 0 && len(left) > 0 {
				t.Fatalf("%v runs after its end was reported: %+v", left, l.ends())
			}
		}
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndStopped {
			t.Errorf("run ends received: %+v, want one stopped run once the target responds", ends)
		}
	})
}

// Guards against a run whose lease counts as over on the clock of a process that has ended: the target
// starts again while its responses to polls are lost, its next process takes the start, and its clock
// is so far behind that the lease lasts as long as it grants one.
func TestLeaseCountsOnTheClockOfTheProcessThatTookTheStart(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		client := &lostResponses{Client: b.client}
		b.useClient(client)
		l := b.open("a")
		time.Sleep(3 * time.Second)
		client.lost.Store(true)
		b.runner.SetFaults(standin.RunnerFaults{DropPolls: 1 << 20})
		time.Sleep(350 * time.Millisecond) // the last renewal is sent 400 ms after the last response
		b.runner.Restart()
		time.Sleep(20 * time.Millisecond)
		b.start(l, id(0, 1), 1000)
		for range 5000 {
			time.Sleep(time.Millisecond)
			if left := b.runner.Running(); len(l.ends()) > 0 && len(left) > 0 {
				t.Fatalf("run ends received: %+v while %v still run", l.ends(), left)
			}
		}
		client.lost.Store(false)
		b.runner.SetFaults(standin.RunnerFaults{})
		time.Sleep(2 * time.Second)
		if ends := l.ends(); len(ends) != 1 || b.runner.Starts(firstTask) != 1 {
			t.Errorf("run ends received: %+v after %d starts, want one end of one start", ends, b.runner.Starts(firstTask))
		}
	})
}
