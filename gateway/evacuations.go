package gateway

import (
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/evacuation"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/metrics"
	"github.com/catkinline/catkinline/wire"
)

// adoptEvacuations applies a state that is newer than the known one and passes it on to all agents
// and peers, so that entries that the store turns away learn of it. It is passed on also if its
// domains are the known ones, since an agent may have heard of a state in between, but then not more
// often than passUnsentEvacuations is called: where watches fail at once, each gateway reads a newer
// revision ten times a second.
func (g *Gateway) adoptEvacuations(s *evacuation.State, source string) {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	before := g.evacuations.Load()
	if !g.evacuations.Advance(s) {
		return
	}
	g.opts.Metrics.Set(metrics.EvacuatedDomains, float64(len(s.Domains)))
	g.opts.Metrics.Set(metrics.EvacuationRevision, float64(s.Revision))
	if before != nil && s.SameDomains(before) {
		g.evacuationsUnsent = true
		return
	}
	// The agents are told first, so that they refuse no start that follows a revocation.
	g.passEvacuations(s)
	g.scheduler.SetEvacuations(s, time.Now())
	if !s.SameDomains(before) {
		g.log.Info("evacuations changed", zap.Strings("domains", s.Domains), zap.Uint64("revision", s.Revision), zap.String("source", source))
	}
}

// passEvacuations sends a state to all agents and peers. It must be called with evacuationMu held.
func (g *Gateway) passEvacuations(s *evacuation.State) {
	g.evacuationsUnsent = false
	m := wire.NewEvacuations(s)
	g.mu.Lock()
	for l := range g.agents {
		_ = l.Send(m) // fails only on a closed link
	}
	g.mu.Unlock()
	g.sendToPeers(m)
}

// passUnsentEvacuations sends the known state if a higher revision with the same domains has not been
// passed on yet.
func (g *Gateway) passUnsentEvacuations() {
	g.evacuationMu.Lock()
	defer g.evacuationMu.Unlock()
	if g.evacuationsUnsent {
		g.passEvacuations(g.evacuations.Load())
	}
}

// sendEvacuations sends the known state on a new link, before anything that could lead to a start.
// Without a known state this entry has no routes, and starts nothing.
func (g *Gateway) sendEvacuations(l interface{ Send(wire.Message) error }) {
	if s := g.evacuations.Load(); s != nil {
		_ = l.Send(wire.NewEvacuations(s)) // fails only on a closed link
	}
}

// evacuatedDomain returns the failure domain that a key of the store asks to evacuate. Its value does
// not matter.
func (g *Gateway) evacuatedDomain(key string) (domain string, ok bool) {
	if g.opts.EvacuationPrefix == "" {
		return "", false
	}
	domain, ok = strings.CutPrefix(key, g.opts.EvacuationPrefix)
	return domain, ok && domain != ""
}

// evacuatedDomains returns the failure domains in a list of the store.
func (g *Gateway) evacuatedDomains(entries []kv.Entry) []string {
	var domains []string
	for _, e := range entries {
		if domain, ok := g.evacuatedDomain(e.Key); ok {
			domains = append(domains, domain)
		}
	}
	return domains
}

// evacuationChanges returns the changes of evacuations among those of a watch.
func (g *Gateway) evacuationChanges(changes []kv.Change) []evacuation.Change {
	var list []evacuation.Change
	for _, c := range changes {
		if domain, ok := g.evacuatedDomain(c.Entry.Key); ok {
			list = append(list, evacuation.Change{Domain: domain, Revoked: c.Deleted})
		}
	}
	return list
}
