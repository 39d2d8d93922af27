package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// Guards against an entry that counts as cut off while it starts, has a link or is alone, and against one that
// does not take jobs again.
func TestContact(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const short, long = maxCutOff, maxCutOff + time.Millisecond
	for name, last := range map[string][3]int{"agents": {1, 0, 2}, "peers": {0, 1, 2}, "no other entry": {0, 0, 0}} {
		var c contact
		c.update(1, 1, 2, start)
		if c.update(last[0], last[1], last[2], at(long)) || c.isOutdated() {
			t.Errorf("cut off with %s", name)
		}
	}
	var starting contact
	if starting.update(0, 0, 2, start) || starting.update(0, 0, 2, at(time.Minute)) {
		t.Error("cut off before its first link")
	}
	cutOff := func() *contact {
		c := &contact{}
		c.update(1, 1, 2, start)
		if c.update(0, 0, 2, at(short)) || !c.update(0, 0, 2, at(long)) || c.update(0, 0, 2, at(2*long)) || !c.isOutdated() {
			t.Error("not cut off once, after maxCutOff")
		}
		return c
	}
	c := cutOff()
	c.update(3, 1, 2, at(4*time.Second))
	if !c.isOutdated() {
		t.Error("up to date before a peer has told the cancelled jobs")
	}
	c.told(at(4 * time.Second))
	if c.isOutdated() || c.update(3, 1, 2, at(5*time.Second)) {
		t.Error("cut off after a peer has told the cancelled jobs")
	}
	c = cutOff()
	c.update(1, 0, 2, at(4*time.Second))
	c.update(1, 0, 2, at(4*time.Second+peerGrace))
	if !c.isOutdated() {
		t.Error("up to date although peers are known and none is linked")
	}
	if c.update(1, 0, 2, at(4*time.Second+peerGrace+time.Millisecond)); c.isOutdated() {
		t.Error("waits for a peer for ever")
	}
	c = cutOff()
	if c.update(0, 0, 0, at(4*time.Second)); c.isOutdated() {
		t.Error("waits for a peer although none is known any more")
	}
}

// Guards against an entry that was cut off and starts jobs again that were cancelled elsewhere meanwhile, as
// their first agent is linked before a peer, and against one that takes such a job from a caller then.
func TestCutOffEntryGivesItsJobsUp(t *testing.T) {
	all, _ := linkedGateways(t, 3)
	g := all[0]
	now := time.Now()
	request := placement.Request{Job: smallJob("1"), Deadline: now.Add(time.Minute)}
	ticket, refusal := g.scheduler.Submit(request, now)
	if refusal != nil {
		t.Fatal(refusal)
	}
	g.checkContact(now)
	for _, l := range g.forwarder.links() {
		g.forwarder.linkDown(l)
	}
	g.checkContact(now.Add(maxCutOff + time.Millisecond))
	select {
	case a := <-ticket.Done():
		if a.Outcome != placement.Refused {
			t.Errorf("a job that has not started: %+v, want refused", a)
		}
	default:
		t.Error("the job goes on")
	}
	if a := g.Submit(context.Background(), request); a.Outcome != placement.Refused {
		t.Errorf("a job since then: %+v, want refused", a)
	}
	l := &recordingLink{silentLink: silentLink{name: "peer"}}
	g.forwarder.linkUp(l)
	g.handlePeer(l, &wire.JobForward{RequestID: 7, Job: smallJob("2"), TimeLeft: time.Second})
	if a, ok := l.sent()[len(l.sent())-1].(*wire.JobAnswer); !ok || !a.Declined {
		t.Errorf("a job of a peer: %+v, want declined", l.sent())
	}
	g.handlePeer(l, &wire.JobsCancelled{IDs: []string{"1"}})
	g.handlePeer(l, &wire.PlacerState{})
	if a := g.Submit(context.Background(), request); a.Outcome != placement.Cancelled {
		t.Errorf("the cancelled job, once a peer has told: %+v, want cancelled", a)
	}
}
