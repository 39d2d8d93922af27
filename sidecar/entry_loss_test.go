package sidecar_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/catkinline/catkinline/gateway"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// entryLoss is a way in which the entry of a job is lost, with the phases of all loops that
// decide how long its runs go on.
type entryLoss struct {
	busy      bool          // the job's target had a run of the same entry before
	cut       bool          // the links of the entry are cut, and it lives
	forwarded bool          // another entry, the placer, runs the job for the entry
	thenDies  time.Duration // the placer dies that long after the entry; 0: it lives
	frozen    time.Duration // the agent, or the placer if there is one, stands still that long, around the loss
	phase     time.Duration // of the loss, against the polls
	agentTick time.Duration // phases of the heartbeats
	entryTick time.Duration
}

func (c entryLoss) String() string {
	return fmt.Sprintf("busy %t, cut %t, forwarded %t, placer dies after %s, frozen for %s, phases %s, %s, %s",
		c.busy, c.cut, c.forwarded, c.thenDies, c.frozen, c.phase, c.agentTick, c.entryTick)
}

// lossFleet is a target with its agent, the entry that places jobs on it, and, if jobs are
// forwarded, the entry that received them.
type lossFleet struct {
	*fixture
	scheduler *placement.Scheduler
	agentLink *virtualLink // from the placing entry
	peerLink  *virtualLink // from the entry that received the jobs to the placing one; nil: the same
}

// lastEnd records when the last run of a target ended.
type lastEnd struct {
	mu sync.Mutex
	at time.Time
}

// RunStarted implements standin.RunnerObserver.
func (o *lastEnd) RunStarted(_, _, _ string) {}

// RunEnded implements standin.RunnerObserver.
func (o *lastEnd) RunEnded(_, _, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at = time.Now()
}

// frozenClient holds up the requests to a target while the agent is frozen.
type frozenClient struct {
	targets.Client
	agent *virtualEnd
}

func (c frozenClient) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	time.Sleep(c.agent.frozenFor())
	response, err := c.Client.Poll(ctx, q)
	time.Sleep(c.agent.frozenFor())
	return response, err
}

func (c frozenClient) Stop(ctx context.Context, target string, run workload.RunID, token uint64) bool {
	time.Sleep(c.agent.frozenFor())
	return c.Client.Stop(ctx, target, run, token)
}

func (b *fixture) newLossFleet(c entryLoss) *lossFleet {
	f := &lossFleet{fixture: b, agentLink: newVirtualLink()}
	b.useClient(frozenClient{b.client, f.agentLink.ends[0]})
	f.scheduler = placement.New(placement.Options{LostRunTimeout: gateway.LostRunTimeout, Random: rand.New(rand.NewPCG(1, 1))})
	agent, placer := f.agentLink.ends[0], f.agentLink.ends[1]
	agent.handle = func(m wire.Message) { b.sidecar.Handle(agent, m) }
	agent.idle = func() bool { return b.sidecar.Idle(agent) }
	agent.lost = func() { b.sidecar.LinkDown(agent, nil) }
	placer.idle = func() bool { return f.scheduler.Idle("agent") }
	placer.originAge = func() time.Duration { return f.scheduler.OriginAge("agent") }
	placer.lost = func() { f.scheduler.LinkDown("agent", placer, time.Now()) }
	placer.handle = func(m wire.Message) {
		switch m := m.(type) {
		case *wire.TargetState:
			f.scheduler.HandleState("agent", placer, m, time.Now())
		case *wire.Room:
			f.scheduler.HandleRoom("agent", placer, m, time.Now())
		case *wire.RunEnd:
			f.scheduler.HandleRunEnd("agent", placer, m, time.Now())
		}
	}
	f.scheduler.LinkUp("agent", 1, placer)
	b.sidecar.LinkUp(agent)
	b.sidecar.Handle(agent, &wire.Evacuations{Revision: 1})
	f.agentLink.start([2]time.Duration{c.agentTick, c.entryTick})
	if c.forwarded {
		f.addPeer(c)
	}
	return f
}

// addPeer adds the entry that received the jobs. Its link begins and ends them.
func (f *lossFleet) addPeer(c entryLoss) {
	f.peerLink = newVirtualLink()
	placer, peer := f.peerLink.ends[0], f.peerLink.ends[1]
	jobs, tickets := 0, []*placement.Ticket(nil)
	placer.handle = func(m wire.Message) {
		if m, ok := m.(*wire.JobForward); ok {
			jobs++
			tickets = append(tickets, f.submit(m.RequestID, placer))
		}
	}
	placer.idle = func() bool { return jobs == 0 }
	peer.idle = func() bool { return jobs == 0 }
	placer.lost = func() {
		for _, t := range tickets {
			t.Cancel(time.Now())
		}
	}
	f.peerLink.start([2]time.Duration{c.entryTick / 2, c.agentTick + c.entryTick})
}

// submit submits a job with one task that outlasts the test.
func (f *lossFleet) submit(n uint64, origin placement.Origin) *placement.Ticket {
	ticket, refusal := f.scheduler.Submit(placement.Request{
		Job:      workload.Job{ID: fmt.Sprintf("%016x", n), Spec: "s", Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second}}},
		Route:    routing.Route{Name: "r", Service: "frames", MaxAttempts: 2, Stretch: 2, TargetDuration: time.Minute},
		Deadline: time.Now().Add(time.Minute),
		Origin:   origin,
	}, time.Now())
	if refusal != nil {
		f.t.Errorf("the job was refused: %+v", refusal)
		return nil
	}
	return ticket
}

// hand hands a job to the entry that is to be lost.
func (f *lossFleet) hand(n uint64) {
	if f.peerLink == nil {
		f.submit(n, nil)
		return
	}
	_ = f.peerLink.ends[1].Send(&wire.JobForward{RequestID: n})
}

// freeze stops the agent, or the placer if there is one, for a while.
func (f *lossFleet) freeze(c entryLoss) {
	if f.peerLink == nil {
		f.agentLink.ends[0].freeze(c.frozen)
		return
	}
	f.agentLink.ends[1].freeze(c.frozen)
	f.peerLink.ends[0].freeze(c.frozen)
}

// lose loses the entry.
func (f *lossFleet) lose(c entryLoss) {
	link := f.agentLink
	if c.forwarded {
		link = f.peerLink
	}
	if c.cut {
		link.sever()
		return
	}
	link.ends[1].kill()
	if c.thenDies > 0 {
		time.Sleep(c.thenDies)
		f.agentLink.ends[1].kill()
		f.peerLink.ends[0].kill()
	}
}

// outlives returns how long the runs of a lost entry go on, while no stop gets a response and the
// target's clock is 2% slow; and when the entry, if it lives, lost the link to the agent, counted in the
// same way.
func outlives(t *testing.T, c entryLoss) (runs, entryNotices time.Duration) {
	t.Helper()
	ends := &lastEnd{}
	options := withRunTime(time.Minute)
	options.ClockRate, options.StopTime, options.Observer = 0.98, 50*time.Millisecond, ends
	runFixture(t, options, func(b *fixture) {
		f := b.newLossFleet(c)
		time.Sleep(2 * time.Second)
		if c.busy {
			f.hand(1)
			time.Sleep(2 * time.Second)
		}
		b.runner.SetFaults(standin.RunnerFaults{DropStops: 1 << 20, ApplyDelay: 5 * time.Second})
		time.Sleep(c.phase)
		f.hand(2)
		time.Sleep(5 * time.Millisecond)
		f.freeze(c)
		time.Sleep(c.frozen / 2)
		lostAt := time.Now()
		if n := len(b.runner.Running()); n == 0 || c.busy && n != 2 {
			t.Errorf("%d runs on the target", n)
		}
		f.lose(c)
		time.Sleep(3 * time.Second)
		if left := b.runner.Running(); len(left) != 0 {
			t.Errorf("%s: still running after 3 s: %v", c, left)
		}
		runs = ends.at.Sub(lostAt)
		if at := f.agentLink.ends[1].lostAt; !at.IsZero() {
			entryNotices = at.Sub(lostAt)
		}
		f.stop()
	})
	return runs, entryNotices
}

// stop ends the heartbeats.
func (f *lossFleet) stop() {
	for _, l := range []*virtualLink{f.agentLink, f.peerLink} {
		if l != nil {
			l.ends[0].kill()
			l.ends[1].kill()
		}
	}
	time.Sleep(time.Second)
}

// phases returns n even phases of the heartbeat interval.
func phases(n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = time.Duration(i) * gateway.LinkTiming.Heartbeat / time.Duration(n)
	}
	return out
}

// eachPhase plays an entry's loss at n phases of the polls and m of the heartbeats at each end, with
// and without an earlier run, and returns the longest time for which runs outlive it.
func eachPhase(t *testing.T, c entryLoss, n, m int, check func(c entryLoss, runs, entryNotices time.Duration)) {
	t.Helper()
	longest := time.Duration(0)
	for _, c.busy = range []bool{false, true} {
		for _, c.phase = range phases(n) {
			for _, c.agentTick = range phases(m) {
				for _, c.entryTick = range phases(m) {
					runs, notices := outlives(t, c)
					longest = max(longest, runs)
					check(c, runs, notices)
				}
			}
		}
	}
	t.Logf("runs go on for up to %s", longest)
}

// checkResend checks that no run is left when callers send their jobs again.
func checkResend(t *testing.T) func(c entryLoss, runs, entryNotices time.Duration) {
	return func(c entryLoss, runs, _ time.Duration) {
		if runs >= resendAfter {
			t.Errorf("%s: a run goes on for %s after its entry was lost; its job is sent again after %s", c, runs, resendAfter)
		}
	}
}

// Guards against a task that runs twice because the delays until the runs of a dead entry end, from its
// silence to the end of their lease, add up to more than the time after which its callers send their jobs again.
func TestRunsOfDeadEntryEndBeforeCallersSendAgain(t *testing.T) {
	eachPhase(t, entryLoss{}, 15, 5, checkResend(t))
}

// Guards against the same for jobs that a dead entry had forwarded to a placer, which may die before it
// has noticed: the delays of two links in a row must not add up.
func TestForwardedRunsEndBeforeCallersSendAgain(t *testing.T) {
	for _, after := range []time.Duration{0, 100, 250, 400, 550, 700} {
		eachPhase(t, entryLoss{forwarded: true, thenDies: after * time.Millisecond}, 5, 3, checkResend(t))
	}
}

// Guards against a placer that passes a dead entry off as alive after it stood still.
func TestRunsEndAfterFreezeOfPlacerBeforeCallersSendAgain(t *testing.T) {
	for _, d := range []time.Duration{150, 300, 450, 590} {
		eachPhase(t, entryLoss{forwarded: true, frozen: d * time.Millisecond}, 5, 2, checkResend(t))
	}
}

// Guards against an agent that renews a lease as it wakes from a freeze, before it has read what it was sent
// meanwhile, and against one that takes for alive who sent that.
func TestRunsEndAfterFreezeOfAgentBeforeCallersSendAgain(t *testing.T) {
	for _, d := range []time.Duration{150, 300, 450, 590} {
		eachPhase(t, entryLoss{frozen: d * time.Millisecond}, 5, 3, checkResend(t))
	}
}

// Guards against an entry that starts tasks of a lost agent elsewhere while their runs go on: each end of
// a link that is cut notices in its own time.
func TestEntryOutwaitsRunsOfCutOffAgent(t *testing.T) {
	eachPhase(t, entryLoss{cut: true}, 5, 5, func(c entryLoss, runs, entryNotices time.Duration) {
		if entryNotices <= 0 || runs >= entryNotices+gateway.LostRunTimeout {
			t.Errorf("%s: a run goes on for %s; the entry loses the link after %s and starts its task again %s later", c, runs, entryNotices, gateway.LostRunTimeout)
		}
		if runs >= gateway.LostRunTimeout {
			t.Errorf("%s: a run goes on for %s after the entry's last message, longer than it waits if it closes the link itself: %s", c, runs, gateway.LostRunTimeout)
		}
	})
}
