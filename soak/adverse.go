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
	// lateStopDelay is how late a stop is applied that got no response.
	lateStopDelay = 3 * time.Second
)

// adverse generates what other writers, leaving targets and impatient callers do. It is drawn apart
// from the other faults, so that these are the same for a seed with and without.
func (g *generator) adverse(phase time.Duration, c *callers) []fault {
	apart := &generator{b: g.b, rnd: rand.New(rand.NewPCG(g.b.seed, 5))}
	rush := func() fault { return apart.freezeInRush(c) }
	choices := []func() fault{apart.oddReport, apart.oddReport, apart.leavingTarget, apart.unansweredStops, rush, rush}
	var out []fault
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
// whether its sidecar has acknowledged that or not. Another one takes its place.
func (g *generator) leavingTarget() fault {
	n, drains, ends := g.anySidecar(), g.between(300, 1500), g.between(20, 400)
	return fault{name: fmt.Sprintf("target of %s leaves and ends %v after it has deregistered", n.name, ends), place: n.name, lasts: drains + ends, apply: func() func() {
		n.target.Drain()
		time.AfterFunc(drains, func() { n.target.Deregister(n.reports) })
		return func() { g.b.replace(n, 0) }
	}}
}

// unansweredStops has the next stops at a target get no response; they are applied much later.
func (g *generator) unansweredStops() fault {
	n, stops := g.anySidecar(), 2+g.rnd.IntN(20)
	return fault{name: fmt.Sprintf("%d stops at the target of %s get no response", stops, n.name), place: n.name, lasts: g.between(500, 3000), apply: func() func() {
		n.target.SetFaults(standin.RunnerFaults{DropStops: stops, ApplyDelay: lateStopDelay})
		return func() { n.target.SetFaults(standin.RunnerFaults{}) }
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
		for i := range lasts / rushInterval {
			j := &callerJob{impatient: true, firstGateway: at, job: newJob(c.nextID(), 1, taskSpec{cpu: taskCPU / 40, runTime: rushRunTime})}
			c.jobs.Go(func() {
				if sleep(g.b.ctx, i*rushInterval) {
					c.submit(j)
				}
			})
		}
		return func() { n.signal(syscall.SIGCONT) }
	}}
}
