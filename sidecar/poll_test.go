package sidecar_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// editedPolls is a client that can change the response to one poll.
type editedPolls struct {
	targets.Client
	edit atomic.Pointer[func(*targets.PollResponse)] // called once, for the next response
	last atomic.Int64                                // clock of the last other response
}

func (c *editedPolls) Poll(ctx context.Context, r targets.PollRequest) (targets.PollResponse, error) {
	response, err := c.Client.Poll(ctx, r)
	if edit := c.edit.Swap(nil); edit != nil {
		(*edit)(&response)
	} else if err == nil {
		c.last.Store(int64(response.Clock))
	}
	return response, err
}

// useEditedPolls replaces the sidecar by one whose poll responses can be changed.
func (b *fixture) useEditedPolls() *editedPolls {
	b.t.Helper()
	client := &editedPolls{Client: b.client}
	b.useClient(client)
	return client
}

// Guards against two polls that are answered in the same millisecond of the target's clock, and whose
// responses arrive in the wrong order: a run that has ended counts as one of an earlier agent, which
// closes the target.
func TestPollsOfOneMillisecondOutOfOrder(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		client := b.useEditedPolls()
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(990 * time.Millisecond)
		older := func(r *targets.PollResponse) {
			time.Sleep(50 * time.Millisecond) // the other poller's response is processed meanwhile
			r.Clock, r.Running, r.Ended = time.Duration(client.last.Load()), []workload.RunID{id(0, 1)}, nil
		}
		client.edit.Store(&older)
		time.Sleep(500 * time.Millisecond)
		for _, m := range l.messages() {
			if s, ok := m.(*wire.TargetState); ok && s.Closed {
				t.Fatalf("the target was closed: %+v", s)
			}
		}
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone {
			t.Errorf("run ends received: %+v, want one done run", ends)
		}
	})
}

// Guards against a run that counts as ended because the target's list leaves it out, as a part of the
// list could not be read.
func TestRunThatIncompleteListLeavesOutGoesOn(t *testing.T) {
	runFixture(t, withRunTime(time.Second), func(b *fixture) {
		client := b.useEditedPolls()
		l := b.open("a")
		b.start(l, id(0, 1), 1000)
		time.Sleep(100 * time.Millisecond)
		odd := func(r *targets.PollResponse) { r.Running, r.Incomplete = nil, true }
		client.edit.Store(&odd)
		time.Sleep(500 * time.Millisecond)
		if ends := l.ends(); len(ends) != 0 {
			t.Fatalf("run ends received: %+v, want a run that goes on", ends)
		}
		time.Sleep(500 * time.Millisecond)
		if ends := l.ends(); len(ends) != 1 || ends[0].Status != wire.EndDone {
			t.Errorf("run ends received: %+v, want one done run", ends)
		}
	})
}

// lateTokenTarget is a client of a target to which a start of an earlier agent is on its way: the
// target carries it out after it has answered a poll without a token.
type lateTokenTarget struct {
	targets.Client
	polls atomic.Int32
	late  func() // carries the start out
}

func (c *lateTokenTarget) Poll(ctx context.Context, r targets.PollRequest) (targets.PollResponse, error) {
	if r.FencingToken > 0 && r.MaxWait > 0 {
		time.Sleep(60 * time.Millisecond) // polls with a token are slow
	}
	if r.FencingToken == 0 && r.Target == "" {
		time.Sleep(100 * time.Microsecond) // both pollers' first polls are under way at once
	}
	response, err := c.Client.Poll(ctx, r)
	if r.FencingToken == 0 && r.Target == "" && c.polls.Add(1) == 2 {
		time.Sleep(20 * time.Millisecond) // the token is raised meanwhile
		time.AfterFunc(time.Millisecond, c.late)
	}
	return response, err
}

// Guards against a new agent that announces its target on the strength of a poll without a fencing
// token: a start of an earlier agent may still be carried out after it.
func TestPollWithoutTokenProvesNothing(t *testing.T) {
	runFixture(t, withRunTime(10*time.Second), func(b *fixture) {
		if err := b.sidecar.Kill(); err != nil {
			t.Fatal(err)
		}
		b.runner.Restart() // it has seen no token
		client := &lateTokenTarget{Client: b.client}
		client.late = func() {
			b.client.Start(context.Background(), "i-standin", targets.StartRequest{Run: id(0, 1), LeaseEnd: 10 * time.Second, FencingToken: 1})
		}
		b.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: client, Log: zap.NewNop(), Metrics: discardMetrics{}})
		l := b.link("a")
		b.sidecar.Start()
		time.Sleep(time.Millisecond)
		b.report("ready")
		for range 1000 {
			time.Sleep(time.Millisecond)
			if l.state() != nil {
				break
			}
		}
		time.Sleep(5 * time.Millisecond)
		if left := b.runner.Running(); l.state() == nil || len(left) != 0 {
			t.Errorf("announced %+v while %v of an earlier agent run", l.state(), left)
		}
	})
}
