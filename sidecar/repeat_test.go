package sidecar_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/workload"
)

// lateRepetitions is a client that loses the response to the first request to start a run, which is
// executed, and all later ones, and whose target may have closed its address.
type lateRepetitions struct {
	targets.Client
	mu       sync.Mutex
	requests []targets.StartRequest
	closed   bool
}

func (c *lateRepetitions) Start(ctx context.Context, target string, q targets.StartRequest) targets.StartResponse {
	c.mu.Lock()
	c.requests = append(c.requests, q)
	first := len(c.requests) == 1
	c.mu.Unlock()
	if first {
		c.Client.Start(ctx, target, q)
	}
	<-ctx.Done()
	return targets.StartResponse{Result: targets.StartUnknown}
}

func (c *lateRepetitions) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return targets.PollResponse{}, targets.ErrNotListening
	}
	return c.Client.Poll(ctx, q)
}

func (c *lateRepetitions) Stop(ctx context.Context, target string, run workload.RunID, token uint64) bool {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	return !closed && c.Client.Stop(ctx, target, run, token)
}

func (c *lateRepetitions) setClosed(closed bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = closed
	return len(c.requests)
}

// Guards against a second run of a task after its target has crashed: a poll had listed the run, so that
// it counts as confirmed although repeated requests to start it are unanswered, and the target's next
// process may execute one of them. Its end must not be reported while nothing listens.
func TestRepeatedStartOfListedRunReachesNextProcess(t *testing.T) {
	repeated := 0
	for phase := range 10 {
		for _, crashAfter := range []time.Duration{70 * time.Millisecond, 300 * time.Millisecond} {
			runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
				client := &lateRepetitions{Client: b.client}
				b.useClient(client)
				l := b.open("a")
				time.Sleep(time.Duration(phase) * 20 * time.Millisecond)
				b.start(l, id(0, 1), 1000)
				time.Sleep(crashAfter)
				if client.setClosed(true) < 2 || len(b.runner.Running()) == 0 {
					return // a poll had listed the run before the request was repeated, or none in time
				}
				repeated++
				b.runner.Restart()
				time.Sleep(200 * time.Millisecond)
				if ends := l.ends(); len(ends) != 0 {
					t.Errorf("phase %d, crash after %v: run ends received: %+v while a repeated request is in transit, want none", phase, crashAfter, ends)
				}
			})
		}
	}
	if repeated == 0 {
		t.Error("no case with a repeated request")
	}
}
