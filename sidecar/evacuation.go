package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/wire"
)

// setEvacuations applies the evacuated failure domains that an entry knows, unless another entry
// knows newer ones.
func (s *Sidecar) setEvacuations(state *linkState, m *wire.Evacuations) {
	state.evacuations = true
	before, next := s.evacuations.Load(), m.State()
	if !s.evacuations.Advance(next) || next.SameDomains(before) {
		return
	}
	s.saidRefusal = false
	s.log.Info("evacuations changed", zap.Strings("domains", next.Domains), zap.Uint64("revision", next.Revision),
		zap.String("source", "entry "+state.link.Name()), zap.Bool("evacuated", s.evacuated()))
}

// evacuated reports whether the target's failure domain is evacuated: that of this process, which
// entries are told, or the one that the target reports, should they differ.
func (s *Sidecar) evacuated() bool {
	known := s.evacuations.Load()
	return known.Covers(s.opts.FailureDomain) || known.Covers(s.report.FailureDomain)
}

// refuseEvacuated reports that a run is not started because the target's failure domain is
// evacuated. The entry is told the state with it, so that it sends no more.
func (s *Sidecar) refuseEvacuated(r *runs.Run) {
	known := s.evacuations.Load()
	s.opts.Metrics.StartRefusedEvacuated()
	if !s.saidRefusal {
		s.saidRefusal = true
		s.log.Info("start refused, its failure domain is evacuated", zap.Stringer("run", r.ID), zap.String("entry", r.Owner.Name),
			zap.Uint64("revision", known.Revision))
	}
	s.sendEnd(r, &wire.RunEnd{
		Run: r.ID, Status: wire.EndNotRun, RunTime: time.Since(r.SentAt), Reason: "the target's failure domain is evacuated", Evacuations: wire.NewEvacuations(known),
	})
}
