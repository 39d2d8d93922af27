// Package soak plays random faults against the real programs and checks what the
// platform was promised, as callers and targets see it. Gateways and sidecars are
// processes of their own on loopback addresses; the stand-ins of the store and of
// the targets, the callers and the relays that disturb the connections are in the
// process that runs the soak.
package soak

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"github.com/catkinline/catkinline/internal/options"
)

// Error is the class of errors of a soak.
var Error = errs.Class("soak")

// Bounds that the platform's pages give.
const (
	// contact is how long nothing must have disturbed a process for the bounds of
	// time to hold there.
	contact = 4 * time.Second
	// recoveryLimit is how soon after the last fault every gateway serves again.
	recoveryLimit = 15 * time.Second
	// cancelLimit is how soon after the last answer nothing runs any more.
	cancelLimit = 4 * time.Second
	// pollInterval is the time between two looks at something that is awaited.
	pollInterval = 50 * time.Millisecond
	// settledTime is how long callers go on after the faults and the contact time.
	settledTime = 2 * time.Second
)

// Options describe a soak. Zero fields take the defaults.
type Options struct {
	Seed        uint64
	Gateways    int           // default 3
	Targets     int           // default 5
	Planned     time.Duration // planned work only; default 5 s
	Overlapping time.Duration // faults that overlap; default 8 s
	Rate        float64       // jobs a second; default 15, half of what the targets can do
	Dir         string        // takes the logs and settings files of the processes
}

// Report is what came of a soak.
type Report struct {
	Seed       uint64   `json:"seed"`
	Faults     int      `json:"faults"`
	Counts     counts   `json:"counts"`
	Repeated   int      `json:"repeated"`    // starts of tasks that were done, of jobs that were sent again
	RecoveryMS int64    `json:"recovery_ms"` // from the end of the last fault until every gateway served
	Violations []string `json:"violations"`  // broken promises
}

// Run plays one soak.
func Run(ctx context.Context, o Options) (Report, error) {
	options.Default(&o.Gateways, 3)
	options.Default(&o.Targets, 5)
	options.Default(&o.Planned, 5*time.Second)
	options.Default(&o.Overlapping, 8*time.Second)
	options.Default(&o.Rate, 15)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	log, err := newLog(filepath.Join(o.Dir, "soak.log"))
	if err != nil {
		return Report{}, err
	}
	b, err := newTestbed(ctx, o, log)
	defer b.close()
	if err != nil {
		return Report{}, Error.Wrap(err)
	}
	s := &soak{o: o, b: b, callers: newCallers(b)}
	report := s.play(ctx)
	return report, Error.Wrap(ctx.Err())
}

func newLog(path string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.OutputPaths, c.Sampling = []string{path}, nil
	log, err := c.Build()
	return log, Error.Wrap(err)
}

type soak struct {
	o       Options
	b       *testbed
	callers *callers
}

// play goes through the phases: planned work, faults, recovery, the end.
func (s *soak) play(ctx context.Context) Report {
	d := newGenerator(s.b, s.o.Seed)
	planned, overlapping := d.planned(s.o.Planned), d.overlapping(s.o.Overlapping)
	report := Report{Seed: s.o.Seed, Faults: len(planned) + len(overlapping)}
	s.awaitServing(ctx)

	load, end := context.WithCancel(ctx)
	var clients sync.WaitGroup
	clients.Go(func() { s.callers.run(load, rand.New(rand.NewPCG(s.o.Seed, 2)), s.o.Rate) })
	for _, g := range s.b.gateways {
		p := &prober{c: s.callers, gateway: g}
		clients.Go(func() { p.run(load) })
	}
	s.b.play(ctx, planned)
	s.b.play(ctx, overlapping)
	report.RecoveryMS = s.awaitServing(ctx).Milliseconds()
	sleep(ctx, contact+settledTime)
	end()
	clients.Wait()
	s.callers.jobs.Wait()
	s.awaitIdle(ctx)
	s.callers.checkRefused()
	report.Counts, report.Violations, report.Repeated = s.callers.counts(), s.b.ledger.broken(), s.b.ledger.repeats()
	for _, v := range report.Violations {
		s.b.log.Error("promise broken", zap.String("promise", v))
	}
	return report
}

// awaitServing waits until every gateway has served a job, and returns how long
// that took.
func (s *soak) awaitServing(ctx context.Context) time.Duration {
	begin := time.Now()
	for _, g := range s.b.gateways {
		for !s.serves(ctx, g) {
			if time.Since(begin) > recoveryLimit {
				s.b.ledger.violation("RECOVER", "%s serves nothing %v after the last fault", g.name, recoveryLimit)
				return time.Since(begin)
			}
			if !sleep(ctx, pollInterval) {
				return 0
			}
		}
	}
	return time.Since(begin)
}

func (s *soak) serves(ctx context.Context, g *node) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	job := newJob(s.callers.nextID(), 1, taskSpec{cpu: taskCPU, work: probeWork})
	answer := s.callers.send(ctx, g, steadyPrefix, job)
	return answer.err == nil && answer.answer.State == "done"
}

// awaitIdle checks that nothing goes on running once all jobs have ended.
func (s *soak) awaitIdle(ctx context.Context) {
	begin := time.Now()
	for len(s.b.ledger.running()) > 0 {
		if time.Since(begin) > cancelLimit {
			s.b.ledger.violation("UNASKED", "%v after the last answer these run: %v", cancelLimit, s.b.ledger.running())
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}
