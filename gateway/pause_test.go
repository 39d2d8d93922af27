package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

func smallJob(id string) workload.Job {
	return workload.Job{ID: id, Spec: "s", Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 100}, Estimate: 10 * time.Millisecond}}}
}

// Guards against a job of a peer that arrived before a pause of this process and is started after it:
// the peer has given it up, and its caller has sent it elsewhere.
func TestForwardedJobFromBeforePauseIsNotStarted(t *testing.T) {
	g := newPlacer(t)
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	g.closeLinks("test")
	g.handlePeer(l, &wire.JobForward{RequestID: 1, Job: smallJob("1"), TimeLeft: time.Second})
	if known, _ := g.scheduler.Status("1"); known {
		t.Error("a job that arrived on a link from before the pause was accepted")
	}
	if g.scheduler.HasTargets() {
		t.Error("a target is usable over a link from before the pause")
	}
}

// Guards against a request that is read before a pause of this process and handed on after it, to a
// placer or to the scheduler of this one.
func TestRequestFromBeforePauseIsRefused(t *testing.T) {
	now := time.Now()
	left, leave := context.WithCancel(context.Background())
	leave()
	for name, c := range map[string]struct {
		ctx     context.Context
		request placement.Request
		pause   bool
		refused bool
	}{
		"nothing is wrong":    {context.Background(), placement.Request{Job: smallJob("1"), ReadAt: now, Deadline: now.Add(time.Minute)}, false, false},
		"read before a pause": {context.Background(), placement.Request{Job: smallJob("1"), ReadAt: now, Deadline: now.Add(time.Minute)}, true, true},
		"time is over":        {context.Background(), placement.Request{Job: smallJob("1"), ReadAt: now, Deadline: now.Add(-time.Millisecond)}, false, true},
		"caller has left":     {left, placement.Request{Job: smallJob("1"), ReadAt: now, Deadline: now.Add(time.Minute)}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := newPlacer(t)
			if c.pause {
				time.Sleep(maxPause + 50*time.Millisecond) // nothing checks the clock meanwhile, as in a pause
			}
			if reason := g.outdated(c.ctx, c.request); (reason != "") != c.refused {
				t.Errorf("refused because %q, want refused %t", reason, c.refused)
			}
		})
	}
}
