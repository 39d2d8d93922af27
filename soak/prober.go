package soak

import (
	"context"
	"net/http"
	"time"
)

const (
	// probeInterval is the time between two probes of a gateway.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds the time that a probe waits for its response.
	probeTimeout = 2 * time.Second
	// probeRunTime is the run time of a probe's task.
	probeRunTime = 5 * time.Millisecond
	// applyTimeout bounds the time from the write of a version until it is in effect on
	// processes without faults: config_apply_ms of the platform.
	applyTimeout = 3 * time.Second
	// downgradeTolerance is the time after a version took effect in which a process with
	// faults may still handle a request by an older one: eight times the platform's
	// downgrade slack of 250 ms.
	downgradeTolerance = 2 * time.Second
)

// prober sends jobs to one gateway on routes that exist in a single version, and checks
// that the gateway applies new versions in time and never returns to an older one.
type prober struct {
	callers *callers
	gateway *node
	// newest is the newest version seen in effect in this incarnation, at newestSeenAt.
	incarnation  int
	newest       uint64
	newestSeenAt time.Time
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	for older := uint64(0); sleep(ctx, probeInterval); older = 1 - older {
		if version := p.callers.b.newestVersion(); version > older {
			p.probe(ctx, version-older)
		}
	}
}

// probe sends a short job on the route that only one version has.
func (p *prober) probe(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	job := &callerJob{job: newJob(p.callers.nextID(), 1, taskSpec{cpu: taskCPU, runTime: probeRunTime})}
	s := p.callers.send(ctx, p.gateway, prefixOf(version), job)
	switch {
	case s.err != nil || s.incarnation != p.gateway.incarnation():
	case s.response.Status == http.StatusNotFound:
		p.recordAbsent(version, s)
	case !s.response.Refused():
		p.recordPresent(version, s)
	}
}

// recordPresent handles a probe that found a version in effect.
func (p *prober) recordPresent(version uint64, s send) {
	b := p.callers.b
	if p.incarnation != s.incarnation {
		p.incarnation, p.newest = s.incarnation, 0
	}
	if version < p.newest && s.from.After(p.newestSeenAt.Add(downgradeTolerance)) {
		b.runChecker.reportViolation("CONFIG", "%s returns from version %d to %d", s.gateway.name, p.newest, version)
	}
	if version > p.newest {
		p.newest, p.newestSeenAt = version, s.to
	}
	next := b.writeTime(version + 1)
	if !next.IsZero() && s.from.After(next.Add(applyTimeout)) && b.timeline.calm(s.gateway.name, s.from.Add(-quietPeriod), s.to) {
		b.runChecker.reportViolation("CONFIG", "%s still serves version %d, %v after the next one was written", s.gateway.name, version, s.from.Sub(next))
	}
}

// recordAbsent handles a probe that found a version not in effect.
func (p *prober) recordAbsent(version uint64, s send) {
	b := p.callers.b
	at := b.writeTime(version)
	if at.IsZero() || b.newestVersion() != version || !s.from.After(at.Add(applyTimeout)) {
		return
	}
	if b.timeline.calm(s.gateway.name, s.from.Add(-quietPeriod), s.to) {
		b.runChecker.reportViolation("CONFIG", "%s does not serve version %d, %v after it was written", s.gateway.name, version, s.from.Sub(at))
	}
}
