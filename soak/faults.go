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

// fault is one disturbance of a soak. Apply begins it; the function that it returns
// ends it, and returns when the disturbed process is there again.
type fault struct {
	name    string
	place   string
	planned bool
	at      time.Duration // from the start of its phase
	lasts   time.Duration
	apply   func() (end func())
}

// drawer draws faults from a seed. The same seed draws the same faults.
type drawer struct {
	b   *bed
	rnd *rand.Rand
}

func newDrawer(b *bed, seed uint64) *drawer {
	return &drawer{b: b, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// between returns a duration in a range of milliseconds.
func (d *drawer) between(low, high int) time.Duration {
	return time.Duration(low+d.rnd.IntN(high-low+1)) * time.Millisecond
}

func pick[T any](rnd *rand.Rand, from []T) T { return from[rnd.IntN(len(from))] }

func (d *drawer) gateway() *node { return pick(d.rnd, d.b.gateways) }
func (d *drawer) sidecar() *node { return pick(d.rnd, d.b.sidecars) }
func (d *drawer) any() *node     { return pick(d.rnd, d.b.nodes()) }

// planned draws planned work: stops, reloads and configurations. The stops follow
// each other, and one of two processes of a role always stays.
func (d *drawer) planned(phase time.Duration) []fault {
	var out []fault
	for at := d.between(100, 400); at < phase; at += d.between(300, 900) {
		var f fault
		switch d.rnd.IntN(4) {
		case 0:
			f = d.stop(d.b.gateways[0])
		case 1:
			f = d.stop(d.b.sidecars[0])
		case 2:
			f = d.reload(d.any())
		default:
			f = d.configuration()
		}
		f.at, f.planned = at, true
		out = append(out, f)
	}
	return out
}

// storm draws faults that overlap.
func (d *drawer) storm(phase time.Duration) []fault {
	draws := []func() fault{
		func() fault { return d.kill(d.gateway()) },
		func() fault { return d.kill(d.sidecar()) },
		func() fault { return d.freeze(d.gateway()) },
		func() fault { return d.freeze(d.sidecar()) },
		func() fault { return d.stop(d.any()) },
		func() fault { return d.reload(d.any()) },
		d.power,
		d.storeFault,
		func() fault { return d.cutTCP("store of", d.any(), func(n *node) *faultproxy.TCP { return n.store }) },
		func() fault {
			return d.cutTCP("callers of", d.gateway(), func(n *node) *faultproxy.TCP { return n.inbound })
		},
		func() fault {
			return d.cutTCP("target of", d.sidecar(), func(n *node) *faultproxy.TCP { return n.inbound })
		},
		d.cutLinks,
		d.cutLinks,
		d.targetFault,
		d.configuration,
	}
	var out []fault
	for at := d.between(0, 300); at < phase; at += d.between(50, 700) {
		f := pick(d.rnd, draws)()
		f.at = at
		out = append(out, f)
	}
	return out
}

func (d *drawer) kill(n *node) fault {
	return fault{name: "kill " + n.name, place: n.name, lasts: d.between(100, 1500), apply: func() func() {
		p := n.signal(syscall.SIGKILL)
		return func() { d.b.restart(n, p) }
	}}
}

func (d *drawer) stop(n *node) fault {
	return fault{name: "stop " + n.name, place: n.name, lasts: d.between(0, 500), apply: func() func() {
		p := n.signal(syscall.SIGTERM)
		return func() { d.b.restart(n, p) }
	}}
}

func (d *drawer) freeze(n *node) fault {
	return fault{name: "freeze " + n.name, place: n.name, lasts: d.between(50, 3000), apply: func() func() {
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}}
}

func (d *drawer) reload(n *node) fault {
	return fault{name: "reload " + n.name, place: n.name, planned: true, apply: func() func() {
		n.signal(syscall.SIGHUP)
		return func() {}
	}}
}

// power kills all gateways, all sidecars, or both at once.
func (d *drawer) power() fault {
	nodes := pick(d.rnd, [][]*node{d.b.gateways, d.b.sidecars, d.b.nodes()})
	return fault{name: fmt.Sprintf("kill %d processes at once", len(nodes)), place: everywhere, lasts: d.between(100, 1500), apply: func() func() {
		killed := make([]*fleet.Process, len(nodes))
		for i, n := range nodes {
			killed[i] = n.signal(syscall.SIGKILL)
		}
		return func() {
			for i, n := range nodes {
				d.b.restart(n, killed[i])
			}
		}
	}}
}

func (d *drawer) configuration() fault {
	return fault{name: "configuration", planned: true, apply: func() func() {
		// An error is the end of the soak.
		_ = d.b.configure()
		return func() {}
	}}
}

// storeFault turns one of the store's switches on.
func (d *drawer) storeFault() fault {
	off, zero := false, 0
	on, late, stale, lost := true, 20+d.rnd.IntN(300), 500+d.rnd.IntN(3000), 1+d.rnd.IntN(5)
	choices := []struct {
		name    string
		on, off standin.StoreFaultChange
	}{
		{"down", standin.StoreFaultChange{Down: &on}, standin.StoreFaultChange{Down: &off}},
		{"hangs", standin.StoreFaultChange{Hang: &on}, standin.StoreFaultChange{Hang: &off}},
		{"slow", standin.StoreFaultChange{LatencyMS: &late}, standin.StoreFaultChange{LatencyMS: &zero}},
		{"stale", standin.StoreFaultChange{StaleReadsMS: &stale}, standin.StoreFaultChange{StaleReadsMS: &zero}},
		{"loses answers", standin.StoreFaultChange{DropWriteAnswers: &lost}, standin.StoreFaultChange{DropWriteAnswers: &zero}},
	}
	c := pick(d.rnd, choices)
	return fault{name: "store " + c.name, place: everywhere, lasts: d.between(300, 4000), apply: func() func() {
		d.change(c.on)
		return func() { d.change(c.off) }
	}}
}

func (d *drawer) change(c standin.StoreFaultChange) {
	if err := d.b.store.Change(c); err != nil {
		d.b.ledger.violation("SOAK", "the store's switch: %v", err)
	}
}

// cutTCP disturbs the connections through a relay of a node.
func (d *drawer) cutTCP(what string, n *node, of func(*node) *faultproxy.TCP) fault {
	relay := of(n)
	f := fault{name: fmt.Sprintf("%s %s ", what, n.name), place: n.name, lasts: d.between(100, 2500)}
	switch d.rnd.IntN(4) {
	case 0:
		f.name += "reset"
		f.apply = func() func() { relay.ResetFlows(); return func() {} }
	case 1:
		f.name += "silenced"
		// A silent connection goes on to be a fault until it is given up.
		f.apply = func() func() { relay.SilenceFlows(); return func() { relay.ResetFlows() } }
	case 2:
		f.name += "delayed"
		f.apply = d.set(relay, faultproxy.Faults{Delay: d.between(5, 80)})
	default:
		cut := pick(d.rnd, []faultproxy.Cut{faultproxy.CutBoth, faultproxy.CutForward, faultproxy.CutBackward})
		f.name += "cut " + string(cut)
		f.apply = d.set(relay, faultproxy.Faults{Cut: cut})
	}
	return f
}

// cutLinks disturbs the links of a gateway to its sidecars and peers.
func (d *drawer) cutLinks() fault {
	n := d.gateway()
	f := fault{name: "links of " + n.name + " ", place: everywhere, lasts: d.between(100, 3000)}
	switch d.rnd.IntN(5) {
	case 0:
		f.name += "silenced"
		f.apply = func() func() { n.links.SilenceFlows(); return func() {} }
	case 1:
		f.name += "lossy"
		f.apply = d.set(n.links, faultproxy.Faults{Loss: 0.5})
	case 2:
		f.name += "delayed"
		f.apply = d.set(n.links, faultproxy.Faults{Delay: d.between(5, 80), Duplicate: 0.2})
	default:
		cut := pick(d.rnd, []faultproxy.Cut{faultproxy.CutBoth, faultproxy.CutForward, faultproxy.CutBackward})
		f.name += "cut " + string(cut)
		f.apply = d.set(n.links, faultproxy.Faults{Cut: cut})
	}
	return f
}

func (d *drawer) set(relay faultproxy.Relay, f faultproxy.Faults) func() func() {
	return func() func() {
		if err := relay.Set(f); err != nil {
			d.b.ledger.violation("SOAK", "the relay's faults: %v", err)
		}
		return relay.Restore
	}
}

// targetFault disturbs a target: its process ends, or orders get no answer and are
// carried out late.
func (d *drawer) targetFault() fault {
	n := d.sidecar()
	f := fault{place: n.name}
	switch d.rnd.IntN(3) {
	case 0:
		f.name = "target of " + n.name + " starts again"
		f.apply = func() func() { n.target.Restart(); return func() {} }
	case 1:
		behind := d.between(0, 30000)
		f.name = "target of " + n.name + " is replaced, its clock behind"
		f.apply = func() func() { d.b.replace(n, behind); return func() {} }
	default:
		lost := standin.RunnerFaults{DropStarts: 1 + d.rnd.IntN(5), DropStops: d.rnd.IntN(3), DropHolds: d.rnd.IntN(5), Late: d.between(0, 2000)}
		f.name = "target of " + n.name + " answers late"
		f.lasts = d.between(100, 2000)
		f.apply = func() func() {
			n.target.SetFaults(lost)
			return func() { n.target.SetFaults(standin.RunnerFaults{}) }
		}
	}
	return f
}

// play plays faults that may overlap, and returns when all have ended.
func (b *bed) play(ctx context.Context, faults []fault) {
	var all sync.WaitGroup
	for _, f := range faults {
		all.Go(func() {
			if !sleep(ctx, f.at) {
				return
			}
			b.log.Info("fault begins", zap.String("fault", f.name), zap.String("place", f.place), zap.Duration("lasts", f.lasts))
			over := b.timeline.begin(f.place, f.planned)
			end := f.apply()
			sleep(ctx, f.lasts)
			end()
			over()
			b.log.Info("fault ended", zap.String("fault", f.name))
		})
	}
	all.Wait()
}

// sleep waits, and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
