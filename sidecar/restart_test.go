package sidecar_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/targets"
)

// delayedStarts delays start requests on the way to the target, and their responses on the way
// back.
type delayedStarts struct {
	targets.Client
	requestDelay, responseDelay time.Duration
}

func (l *delayedStarts) Start(_ context.Context, target string, o targets.StartRequest) targets.StartResponse {
	time.Sleep(l.requestDelay)
	response := l.Client.Start(context.Background(), target, o)
	time.Sleep(l.responseDelay)
	return response
}

// restartDuringStart restarts the target under the same id while a request to start the first
// task is in transit, and returns the entry's link. The agent starts one minute after the
// target's first process, so that its fencing token is high.
func (b *fixture) restartDuringStart() *fakeLink {
	b.t.Helper()
	if err := b.sidecar.Kill(); err != nil {
		b.t.Fatal(err)
	}
	time.Sleep(time.Minute)
	client := &delayedStarts{Client: b.client, requestDelay: 20 * time.Millisecond, responseDelay: 50 * time.Millisecond}
	b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{}})
	b.sidecar.Start()
	b.report("ready")
	l := b.open("a")
	b.start(l, id(0, 1), 1000)
	time.Sleep(19 * time.Millisecond)
	b.runner.Restart()
	return l
}

// Guards against two runs of a task when a target restarts under the same id while a start
// request is in transit: the new process executes the request although the end of the run was
// reported with the old process.
func TestDelayedStartAcrossTargetRestart(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.restartDuringStart()
		for range 1000 {
			time.Sleep(time.Millisecond / 2)
			if left := b.runner.Running(); len(l.ends()) > 0 && len(left) > 0 {
				t.Errorf("a run continues after its end was reported: %v", left)
				break
			}
		}
		if ends := l.ends(); len(ends) != 1 {
			t.Errorf("run ends received: %+v, want exactly one", ends)
		}
	})
}

// Guards against a restarted target that accepts no runs for as long as its previous process
// lived, because a delayed request has shown it the high token of that process.
func TestRestartedTargetAcceptsRuns(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		l := b.restartDuringStart()
		time.Sleep(time.Second)
		b.report("ready")
		b.start(l, id(1, 1), 1000)
		time.Sleep(time.Second)
		if n := b.runner.Starts(secondTask); n != 1 {
			t.Errorf("the second task started %d times, want once; run ends received: %+v", n, l.ends())
		}
	})
}

// Guards against a restarted agent whose token is lower than the one that the target has seen:
// the agent knows nothing of the target's earlier process.
func TestNewAgentAfterTargetRestart(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
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
			t.Errorf("the second task started %d times, want once; run ends received: %+v", n, l.ends())
		}
	})
}

const secondTask = "5c0e7a21d94b36f8.0.0.1"

// overtakenPoll is a client that delays the response to one poll.
type overtakenPoll struct {
	targets.Client
	delayNext chan time.Duration
}

func (c *overtakenPoll) Poll(ctx context.Context, r targets.PollRequest) (targets.PollResponse, error) {
	response, err := c.Client.Poll(ctx, r)
	select {
	case d := <-c.delayNext:
		time.Sleep(d)
	default:
	}
	return response, err
}

// Guards against a response of the target's earlier process that arrives after one of the next
// process and is taken for another restart: the next process would count as crashed.
func TestOvertakenResponseIsNoRestart(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		client := &overtakenPoll{Client: b.client, delayNext: make(chan time.Duration, 1)}
		b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{}})
		b.sidecar.Start()
		b.report("ready")
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		client.delayNext <- 400 * time.Millisecond
		time.Sleep(160 * time.Millisecond) // a poll has its response by now
		b.runner.Restart()
		time.Sleep(100 * time.Millisecond)
		b.start(l, id(1, 1), 1000)
		time.Sleep(2 * time.Second)
		if reports, _ := l.crashReports(); len(reports) != 1 {
			t.Errorf("%d crash reports after one crash", len(reports))
		}
	})
}
