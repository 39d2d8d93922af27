package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/catkinline/catkinline/standin"
)

const (
	// rushInterval is the time between the jobs of impatient callers that reach a gateway while it
	// is frozen. They are sent again impatientTimeout and resendDelay later, and run for
	// rushRunTime: a freeze that ends meanwhile is the worst.
	rushInterval = 6 * time.Millisecond
	rushRunTime  = 1200 * time.Millisecond
	// lateStopDelay is how late a stop is applied that got no response. Runs of lateStopRunTime, one started in each
	// lateStopInterval, outlive their callers' time and the delay before these send the job again.
	lateStopDelay    = 3 * time.Second
	lateStopInterval = 50 * time.Millisecond
	lateStopRunTime  = impatientTimeout + resendDelay + time.Second
	// announceTime is how long a target reports nothing that could not announce its end.
	announceTime = 2 * time.Second
)

// adverse generates what other writers, leaving targets and impatient callers do. It is drawn apart
// from the other faults, so that these are the same for a seed with and without.
func (g *generator) adverse(phase time.Duration, c *callers) []fault {
	apart := &generator{b: g.b, rnd: rand.New(rand.NewPCG(g.b.seed, 5))}
	rush := func() fault { return apart.freezeInRush(c) }
	choices := []func() fault{apart.oddReport, apart.oddReport, apart.leavingTarget, apart.leavingTarget, rush, rush}
	var out []fault
	if apart.rnd.IntN(2) == 0 {
		f := apart.unansweredStops(c)
		f.at = apart.between(0, 2000)
		out = append(out, f)
	}
	for at := apart.between(0, 800); at < phase; at += apart.between(300, 1500) {
		f := pick(apart.rnd, choices)()
		f.at = at
		out = append(out, f)
	}
	return out
}

// oddReport sends a sidecar a report, or a deregistration, that is not from its target. It must
// have no effect, so that it does not count as a fault.
func (g *generator) oddReport() fault {
	n := g.anySidecar()
	kind := g.rnd.IntN(standin.OddReports)
	return fault{name: "odd report to " + n.name, place: n.name, planned: true, apply: func() func() {
		n.target.SendOddReport(n.reports, service, kind)
		return func() {}
	}}
}

// leavingTarget has a target leave as planned and take some time to end after it has deregistered,
// whether its sidecar has acknowledged that or not. Another one takes its place. Some close their address first and
// work on; some of these could announce nothing.
func (g *generator) leavingTarget() fault {
	n, drains, ends := g.anySidecar(), g.between(300, 1500), g.between(20, 400)
	closes, announces := g.rnd.IntN(2) == 0, true
	if closes {
		ends, announces = g.between(0, 5000), g.rnd.IntN(2) == 0
	}
	if !announces {
		drains += announceTime
	}
	name := fmt.Sprintf("target of %s leaves and ends %v later, address closed before %t, announced %t", n.name, ends, closes, announces)
	return fault{name: name, place: n.name, lasts: drains + ends, apply: func() func() {
		leaving := n.target.ID()
		if announces {
			n.target.Drain()
		} else {
			n.target.Silence()
		}
		time.AfterFunc(drains, func() {
			if n.target.ID() != leaving {
				return // replaced meanwhile: the next process reports that it is ready
			}
			if announces {
				n.target.Deregister(n.reports)
			}
			if closes {
				n.inbound.StopListening()
			}
		})
		return func() {
			g.b.replace(n, 0)
			if closes {
				g.b.listenAgain(n)
			}
		}
	}}
}

// unansweredStops has the stops at all targets get no response, which are applied much later or never, while
// callers hand in jobs that cannot be done in their time, leave, and send them again elsewhere.
func (g *generator) unansweredStops(c *callers) fault {
	first, sends := g.rnd.IntN(len(g.b.gateways)), g.between(1000, 3000)
	lasts := sends + lateStopRunTime
	return fault{name: "stops get no response", place: everywhere, lasts: lasts, apply: func() func() {
		g.b.setTargetFaults(standin.RunnerFaults{DropStops: 1 << 20, ApplyDelay: lateStopDelay})
		c.rush(sends, lateStopInterval, lateStopRunTime, first)
		return func() { g.b.setTargetFaults(standin.RunnerFaults{}) }
	}}
}

// freezeInRush freezes a gateway while impatient callers send it jobs: they leave and send them
// elsewhere before it wakes, or as it does.
func (g *generator) freezeInRush(c *callers) fault {
	at := g.rnd.IntN(len(g.b.gateways))
	n := g.b.gateways[at]
	lasts := g.between(300, 4000)
	if worst := impatientTimeout + resendDelay; g.rnd.IntN(2) == 0 {
		lasts = worst + g.between(200, int(rushRunTime.Milliseconds()))
	}
	return fault{name: "freeze " + n.name + " as callers rush in", place: n.name, lasts: lasts, apply: func() func() {
		n.signal(syscall.SIGSTOP)
		c.rush(lasts, rushInterval, rushRunTime, at)
		return func() { n.signal(syscall.SIGCONT) }
	}}
}

// rush has an impatient caller send a small job to a gateway in each interval.
func (c *callers) rush(lasts, interval, runTime time.Duration, firstGateway int) {
	for i := range lasts / interval {
		j := &callerJob{impatient: true, firstGateway: firstGateway, job: newJob(c.nextID(), 1, taskSpec{cpu: taskCPU / 40, runTime: runTime})}
		c.jobs.Go(func() {
			if sleep(c.b.ctx, i*interval) {
				c.submit(j)
			}
		})
	}
}

// listenAgain has the address of a node's target listen again. A connection of another process may use the
// port for a moment.
func (b *testbed) listenAgain(n *node) {
	for n.inbound.Listen() != nil && sleep(b.ctx, pollInterval) {
	}
}

// setTargetFaults sets the fault switches of all targets.
func (b *testbed) setTargetFaults(f standin.RunnerFaults) {
	for _, n := range b.sidecars {
		n.target.SetFaults(f)
	}
}
