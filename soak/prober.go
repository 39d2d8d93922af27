package soak

import (
	"context"
	"net/http"
	"time"
)

const (
	// probeInterval is the time between two probes of a gateway's version.
	probeInterval = 100 * time.Millisecond
	// probeWait is how long a probe waits for its answer.
	probeWait = 2 * time.Second
	// probeWork is the run time of a probe's task.
	probeWork = 5 * time.Millisecond
	// applyLimit is how soon after its writing a version is in force, on processes
	// that nothing disturbs: config_apply_ms of the platform.
	applyLimit = 3 * time.Second
	// downgradeSlack is how long after the effect of a version a request may still be
	// handled by an older one on a disturbed process: eight times the platform's
	// downgrade slack of 250 ms.
	downgradeSlack = 2 * time.Second
)

// prober asks one gateway for the routes of single versions and checks that it
// takes up new versions in time and never goes back.
type prober struct {
	c       *callers
	gateway *node
	// newest is the newest version seen in force in an incarnation, and when.
	incarnation int
	newest      uint64
	seen        time.Time
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	for older := uint64(0); sleep(ctx, probeInterval); older = 1 - older {
		if version := p.c.b.newest(); version > older {
			p.probe(ctx, version-older)
		}
	}
}

// probe sends a short job to the route that only one version has.
func (p *prober) probe(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	job := newJob(p.c.nextID(), 1, taskSpec{cpu: taskCPU, work: probeWork})
	s := p.c.send(ctx, p.gateway, prefixOf(version), job)
	switch {
	case s.err != nil || s.incarnation != p.gateway.incarnation():
	case s.answer.Status == http.StatusNotFound:
		p.lacks(version, s)
	case !s.answer.Refused():
		p.has(version, s)
	}
}

// has takes in that a version was in force.
func (p *prober) has(version uint64, s send) {
	b := p.c.b
	if p.incarnation != s.incarnation {
		p.incarnation, p.newest = s.incarnation, 0
	}
	if version < p.newest && s.from.After(p.seen.Add(downgradeSlack)) {
		b.ledger.violation("CONFIG", "%s goes back from version %d to %d", s.gateway.name, p.newest, version)
	}
	if version > p.newest {
		p.newest, p.seen = version, s.to
	}
	next := b.written(version + 1)
	if !next.IsZero() && s.from.After(next.Add(applyLimit)) && b.timeline.calm(s.gateway.name, s.from.Add(-contact), s.to) {
		b.ledger.violation("CONFIG", "%s still has version %d, %v after the next one was written", s.gateway.name, version, s.from.Sub(next))
	}
}

// lacks takes in that a version was not in force.
func (p *prober) lacks(version uint64, s send) {
	b := p.c.b
	at := b.written(version)
	if at.IsZero() || b.newest() != version || !s.from.After(at.Add(applyLimit)) {
		return
	}
	if b.timeline.calm(s.gateway.name, s.from.Add(-contact), s.to) {
		b.ledger.violation("CONFIG", "%s lacks version %d, %v after it was written", s.gateway.name, version, s.from.Sub(at))
	}
}
