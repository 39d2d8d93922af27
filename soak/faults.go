package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/internal/faultproxy"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/standin"
)

// fault is one fault that a soak injects. Apply begins it; the function that it returns
// ends it, and returns when a process that was stopped runs again.
type fault struct {
	name    string
	place   string
	planned bool
	at      time.Duration // since the start of its phase
	lasts   time.Duration
	apply   func() (end func())
}

// generator generates random faults. The same seed gives the same faults.
type generator struct {
	b   *testbed
	rnd *rand.Rand
}

func newGenerator(b *testbed, seed uint64) *generator {
	return &generator{b: b, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// between returns a random duration from low to high, in milliseconds.
func (g *generator) between(low, high int) time.Duration {
	return time.Duration(low+g.rnd.IntN(high-low+1)) * time.Millisecond
}

func pick[T any](rnd *rand.Rand, from []T) T { return from[rnd.IntN(len(from))] }

func (g *generator) anyGateway() *node { return pick(g.rnd, g.b.gateways) }
func (g *generator) anySidecar() *node { return pick(g.rnd, g.b.sidecars) }
func (g *generator) any() *node        { return pick(g.rnd, g.b.nodes()) }

// planned generates planned operations: stops, reloads and configuration changes. It
// stops only one gateway and one sidecar, so that the others serve meanwhile.
func (g *generator) planned(phase time.Duration) []fault {
	var out []fault
	for at := g.between(100, 400); at < phase; at += g.between(300, 900) {
		var f fault
		switch g.rnd.IntN(4) {
		case 0:
			f = g.terminate(g.b.gateways[0])
		case 1:
			f = g.terminate(g.b.sidecars[0])
		case 2:
			f = g.reload(g.any())
		default:
			f = g.configuration()
		}
		f.at, f.planned = at, true
		out = append(out, f)
	}
	return out
}

// overlapping generates unplanned and planned faults that may overlap.
func (g *generator) overlapping(phase time.Duration) []fault {
	generators := []func() fault{
		func() fault { return g.kill(g.anyGateway()) },
		func() fault { return g.kill(g.anySidecar()) },
		func() fault { return g.freeze(g.anyGateway()) },
		func() fault { return g.freeze(g.anySidecar()) },
		func() fault { return g.terminate(g.any()) },
		func() fault { return g.reload(g.any()) },
		g.killGroup,
		g.storeFault,
		func() fault { return g.tcpFault("store of", g.any(), func(n *node) *faultproxy.TCP { return n.store }) },
		func() fault {
			return g.tcpFault("callers of", g.anyGateway(), func(n *node) *faultproxy.TCP { return n.inbound })
		},
		func() fault {
			return g.tcpFault("target of", g.anySidecar(), func(n *node) *faultproxy.TCP { return n.inbound })
		},
		g.linkFault,
		g.linkFault,
		g.targetFault,
		g.configuration,
	}
	var out []fault
	for at := g.between(0, 300); at < phase; at += g.between(50, 700) {
		f := pick(g.rnd, generators)()
		f.at = at
		out = append(out, f)
	}
	return out
}

// crashing generates jobs that crash their targets and targets that shrink and grow again. They
// are drawn apart from the other faults, so that these are the same for a seed with and without.
func (g *generator) crashing(phase time.Duration, seed uint64) []fault {
	apart := &generator{b: g.b, rnd: rand.New(rand.NewPCG(seed, 3))}
	var out []fault
	for at := apart.between(0, 1500); at < phase; at += apart.between(1000, 3000) {
		f := apart.shrink()
		if apart.rnd.IntN(2) == 0 {
			f = apart.crashJobs()
		}
		f.at = at
		out = append(out, f)
	}
	return out
}

// crashJobs makes some of the callers' jobs crash each target that starts their first task.
func (g *generator) crashJobs() fault {
	return fault{name: "jobs crash their targets", place: everywhere, lasts: g.between(500, 2500), apply: func() func() {
		g.b.crashingJobs.Store(true)
		return func() { g.b.crashingJobs.Store(false) }
	}}
}

// shrink lowers the capacity of a target for a while, to nothing or to a part.
func (g *generator) shrink() fault {
	n, cpu := g.anySidecar(), targetCPU*int64(g.rnd.IntN(3))/4
	return fault{name: fmt.Sprintf("target of %s shrinks to %d", n.name, cpu), place: n.name, lasts: g.between(500, 6000), apply: func() func() {
		g.b.runChecker.setCPU(n.target, cpu)
		return func() { g.b.runChecker.setCPU(n.target, targetCPU) }
	}}
}

func (g *generator) kill(n *node) fault {
	return fault{name: "kill " + n.name, place: n.name, lasts: g.between(100, 1500), apply: func() func() {
		p := n.signal(syscall.SIGKILL)
		return func() { g.b.restart(n, p) }
	}}
}

func (g *generator) terminate(n *node) fault {
	return fault{name: "stop " + n.name, place: n.name, lasts: g.between(0, 500), apply: func() func() {
		p := n.signal(syscall.SIGTERM)
		return func() { g.b.restart(n, p) }
	}}
}

func (g *generator) freeze(n *node) fault {
	return fault{name: "freeze " + n.name, place: n.name, lasts: g.between(50, 3000), apply: func() func() {
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}}
}

func (g *generator) reload(n *node) fault {
	return fault{name: "reload " + n.name, place: n.name, planned: true, apply: func() func() {
		n.signal(syscall.SIGHUP)
		return func() {}
	}}
}

// killGroup kills all gateways, all sidecars, or both at the same time.
func (g *generator) killGroup() fault {
	nodes := pick(g.rnd, [][]*node{g.b.gateways, g.b.sidecars, g.b.nodes()})
	return fault{name: fmt.Sprintf("kill %d processes at once", len(nodes)), place: everywhere, lasts: g.between(100, 1500), apply: func() func() {
		killed := make([]*fleet.Process, len(nodes))
		for i, n := range nodes {
			killed[i] = n.signal(syscall.SIGKILL)
		}
		return func() {
			for i, n := range nodes {
				g.b.restart(n, killed[i])
			}
		}
	}}
}

func (g *generator) configuration() fault {
	return fault{name: "configuration", planned: true, apply: func() func() {
		// An error means that the soak was cancelled.
		_ = g.b.configure()
		return func() {}
	}}
}

// storeFault sets one of the store's fault switches.
func (g *generator) storeFault() fault {
	off, zero := false, 0
	on, latency, staleness, drops := true, 20+g.rnd.IntN(300), 500+g.rnd.IntN(3000), 1+g.rnd.IntN(5)
	choices := []struct {
		name    string
		on, off standin.StoreFaultChange
	}{
		{"down", standin.StoreFaultChange{Down: &on}, standin.StoreFaultChange{Down: &off}},
		{"hangs", standin.StoreFaultChange{Hang: &on}, standin.StoreFaultChange{Hang: &off}},
		{"slow", standin.StoreFaultChange{LatencyMS: &latency}, standin.StoreFaultChange{LatencyMS: &zero}},
		{"stale", standin.StoreFaultChange{StaleReadsMS: &staleness}, standin.StoreFaultChange{StaleReadsMS: &zero}},
		{"drops responses", standin.StoreFaultChange{DropWriteAnswers: &drops}, standin.StoreFaultChange{DropWriteAnswers: &zero}},
	}
	c := pick(g.rnd, choices)
	return fault{name: "store " + c.name, place: everywhere, lasts: g.between(300, 4000), apply: func() func() {
		g.changeStoreFaults(c.on)
		return func() { g.changeStoreFaults(c.off) }
	}}
}

func (g *generator) changeStoreFaults(c standin.StoreFaultChange) {
	if err := g.b.store.ChangeFaults(c); err != nil {
		g.b.runChecker.reportViolation("SOAK", "setting the store's faults: %v", err)
	}
}

// tcpFault injects a fault into the connections through a TCP relay of a node.
func (g *generator) tcpFault(label string, n *node, relayOf func(*node) *faultproxy.TCP) fault {
	relay := relayOf(n)
	f := fault{name: fmt.Sprintf("%s %s ", label, n.name), place: n.name, lasts: g.between(100, 2500)}
	switch g.rnd.IntN(4) {
	case 0:
		f.name += "reset"
		f.apply = func() func() { relay.ResetFlows(); return func() {} }
	case 1:
		f.name += "silenced"
		// A silenced connection stays faulty until it is closed.
		f.apply = func() func() { relay.SilenceFlows(); return func() { relay.ResetFlows() } }
	case 2:
		f.name += "delayed"
		f.apply = g.relayFault(relay, faultproxy.Faults{Delay: g.between(5, 80)})
	default:
		g.cut(&f, relay)
	}
	return f
}

// linkFault injects a fault into the links of a gateway to its sidecars and peers.
func (g *generator) linkFault() fault {
	n := g.anyGateway()
	f := fault{name: "links of " + n.name + " ", place: everywhere, lasts: g.between(100, 3000)}
	switch g.rnd.IntN(5) {
	case 0:
		f.name += "silenced"
		f.apply = func() func() { n.links.SilenceFlows(); return func() {} }
	case 1:
		f.name += "lossy"
		f.apply = g.relayFault(n.links, faultproxy.Faults{Loss: 0.5})
	case 2:
		f.name += "delayed"
		f.apply = g.relayFault(n.links, faultproxy.Faults{Delay: g.between(5, 80), Duplicate: 0.2})
	default:
		g.cut(&f, n.links)
	}
	return f
}

// cut makes f drop the traffic through a relay in one direction or both.
func (g *generator) cut(f *fault, relay faultproxy.Relay) {
	cut := pick(g.rnd, []faultproxy.Cut{faultproxy.CutBoth, faultproxy.CutForward, faultproxy.CutBackward})
	f.name += "cut " + string(cut)
	f.apply = g.relayFault(relay, faultproxy.Faults{Cut: cut})
}

func (g *generator) relayFault(relay faultproxy.Relay, f faultproxy.Faults) func() func() {
	return func() func() {
		if err := relay.SetFaults(f); err != nil {
			g.b.runChecker.reportViolation("SOAK", "setting a relay's faults: %v", err)
		}
		return relay.Restore
	}
}

// targetFault injects a fault into a target: its process ends, or requests get no
// response and are applied late.
func (g *generator) targetFault() fault {
	n := g.anySidecar()
	f := fault{place: n.name}
	switch g.rnd.IntN(3) {
	case 0:
		f.name = "target of " + n.name + " restarts"
		f.apply = func() func() { n.target.Restart(); return func() {} }
	case 1:
		clockLag := g.between(0, 30000)
		f.name = "target of " + n.name + " is replaced, its clock lags"
		f.apply = func() func() { g.b.replace(n, clockLag); return func() {} }
	default:
		faults := standin.RunnerFaults{DropStarts: 1 + g.rnd.IntN(5), DropStops: g.rnd.IntN(3), DropPolls: g.rnd.IntN(5), ApplyDelay: g.between(0, 2000)}
		f.name = "target of " + n.name + " applies requests late"
		f.lasts = g.between(100, 2000)
		f.apply = func() func() {
			n.target.SetFaults(faults)
			return func() { n.target.SetFaults(standin.RunnerFaults{}) }
		}
	}
	return f
}

// inject begins and ends faults, which may overlap, and returns when all have ended.
func (b *testbed) inject(ctx context.Context, faults []fault) {
	var all sync.WaitGroup
	for _, f := range faults {
		all.Go(func() {
			if !sleep(ctx, f.at) {
				return
			}
			b.log.Info("fault started", zap.String("fault", f.name), zap.String("place", f.place), zap.Duration("lasts", f.lasts))
			endSpan := b.timeline.begin(f.place, f.planned)
			end := f.apply()
			sleep(ctx, f.lasts)
			end()
			endSpan()
			b.log.Info("fault ended", zap.String("fault", f.name))
		})
	}
	all.Wait()
}

// sleep waits for d and returns true, or returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
