package sidecar_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/targets"
)

// lateOrders holds the orders to start a run back on their way to the target, and
// their answers on the way from it.
type delayedStarts struct {
	targets.Client
	there, back time.Duration
}

func (l *delayedStarts) Start(_ context.Context, target string, o targets.StartRequest) (targets.StartResult, string) {
	time.Sleep(l.there)
	result, reason := l.Client.Start(context.Background(), target, o)
	time.Sleep(l.back)
	return result, reason
}

// restartWithOrder lets a target start again under its id while an order to start the
// first task is on its way, and returns the entry's link. The agent has begun a minute
// into the target's first life, so that its token is high.
func (b *fixture) restartDuringStart() *fakeLink {
	b.t.Helper()
	if err := b.sidecar.Kill(); err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(time.Minute)
	client := &delayedStarts{Client: b.client, there: 20 * time.Millisecond, back: 50 * time.Millisecond}
	b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{}})
	b.sidecar.Start()
	b.report("ready")
	l := b.open("a")
	b.start(l, id(0, 1), 1000)
	time.Sleep(19 * time.Millisecond)
	b.runner.Restart()
	return l
}

// Guards against two runs of a task when a target starts again under its id while an
// order is on its way: the new life carries the order out, and the run was reported as
// ended with the old life.
func TestOrderThatReachesTheNextLife(t *testing.T) {
	run(t, lasting(10*time.Second), func(b *fixture) {
		l := b.restartDuringStart()
		for range 1000 {
			time.Sleep(time.Millisecond / 2)
			if left := b.runner.Running(); len(l.ends()) > 0 && len(left) > 0 {
				t.Errorf("the end was reported and the run goes on: %v", left)
				break
			}
		}
		if ends := l.ends(); len(ends) != 1 {
			t.Errorf("ends: %+v", ends)
		}
	})
}

// Guards against a target that takes no runs for as long as its last life was, because
// an order has shown the new one that life's high token.
func TestTargetTakesRunsInItsNextLife(t *testing.T) {
	run(t, lasting(10*time.Second), func(b *fixture) {
		l := b.restartDuringStart()
		time.Sleep(time.Second)
		b.report("ready")
		b.start(l, id(1, 1), 1000)
		time.Sleep(time.Second)
		if n := b.runner.Starts(secondTask); n != 1 {
			t.Errorf("%d starts, ends %+v", n, l.ends())
		}
	})
}

// Guards against an agent's next process whose token is lower than what the target has
// seen: it knows nothing of the target's last life.
func TestNewAgentOfATargetThatStartedAgain(t *testing.T) {
	run(t, lasting(10*time.Second), func(b *fixture) {
		b.restartDuringStart()
		time.Sleep(time.Second)
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.sidecar = b.newSidecar()
		b.report("ready")
		l := b.open("a")
		b.start(l, id(1, 1), 1000)
		time.Sleep(time.Second)
		if n := b.runner.Starts(secondTask); n != 1 {
			t.Errorf("%d starts, ends %+v", n, l.ends())
		}
	})
}

const secondTask = "5c0e7a21d94b36f8.0.0.1"
