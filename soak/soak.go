// Package soak injects random faults into the real programs and checks the guarantees
// given to the platform, as callers and targets observe them. Gateways and sidecars are
// processes on loopback addresses. The process that runs the soak contains the callers,
// the stand-ins for the store and the targets, and the relays for network faults.
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

// Error is the class of errors returned by a soak.
var Error = errs.Class("soak")

// Bounds from the platform's documentation.
const (
	// quietPeriod is the time without faults after which the time bounds hold.
	quietPeriod = 4 * time.Second
	// recoveryTimeout bounds the time from the last fault until every gateway serves.
	recoveryTimeout = 15 * time.Second
	// idleTimeout bounds the time from the last response until no task runs.
	idleTimeout = 4 * time.Second
	// pollInterval is the interval at which awaited conditions are checked.
	pollInterval = 50 * time.Millisecond
	// postFaultLoad is the time that callers go on after the faults and the quiet period.
	postFaultLoad = 2 * time.Second
)

// Options configures a soak. Zero fields take the defaults.
type Options struct {
	Seed        uint64
	Gateways    int           // default 3
	Targets     int           // default 5
	Planned     time.Duration // phase of planned operations only; default 5 s
	Overlapping time.Duration // phase of overlapping faults; default 8 s
	Rate        float64       // jobs a second; default 15, half of the targets' capacity
	Plain       bool          // only the faults and callers with which the regression seeds were found
	Dir         string        // for the logs and settings files of the processes
}

// Report is the result of a soak.
type Report struct {
	Seed       uint64   `json:"seed"`
	Faults     int      `json:"faults"`
	Counts     counts   `json:"counts"`
	Repeated   int      `json:"repeated"`    // starts of tasks that were done, in jobs that were resent
	RecoveryMS int64    `json:"recovery_ms"` // from the end of the last fault until every gateway served
	Violations []string `json:"violations"`  // rule, time and detail of each violation
}

// Run runs one soak. Violations are in the report; the error is for a soak that could
// not be set up or was cancelled.
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
	report := s.runPhases(ctx)
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

// runPhases runs the phases: planned operations, overlapping faults, recovery, shutdown.
func (s *soak) runPhases(ctx context.Context) Report {
	gen := newGenerator(s.b, s.o.Seed)
	planned, overlapping := gen.planned(s.o.Planned), gen.overlapping(s.o.Overlapping)
	if !s.o.Plain {
		overlapping = append(overlapping, gen.crashing(s.o.Overlapping, s.o.Seed)...)
		overlapping = append(overlapping, gen.adverse(s.o.Overlapping, s.callers)...)
	}
	report := Report{Seed: s.o.Seed, Faults: len(planned) + len(overlapping)}
	s.waitServing(ctx)

	load, end := context.WithCancel(ctx)
	var clients sync.WaitGroup
	clients.Go(func() { s.callers.run(load, rand.New(rand.NewPCG(s.o.Seed, 2)), s.o.Rate) })
	if !s.o.Plain {
		clients.Go(func() { s.callers.cancelJobs(load, rand.New(rand.NewPCG(s.o.Seed, 7))) })
		clients.Go(func() { s.b.evacuate(load, rand.New(rand.NewPCG(s.o.Seed, 9))) })
	}
	for _, g := range s.b.gateways {
		p := &prober{callers: s.callers, gateway: g}
		clients.Go(func() { p.run(load) })
	}
	s.b.inject(ctx, planned)
	s.b.inject(ctx, overlapping)
	report.RecoveryMS = s.waitServing(ctx).Milliseconds()
	sleep(ctx, quietPeriod+postFaultLoad)
	end()
	clients.Wait()
	s.callers.jobs.Wait()
	s.waitIdle(ctx)
	s.callers.checkRefused()
	report.Counts, report.Violations, report.Repeated = s.callers.counts(), s.b.runChecker.recordedViolations(), s.b.runChecker.repeatedStarts()
	for _, v := range report.Violations {
		s.b.log.Error("rule violated", zap.String("promise", v))
	}
	return report
}

// waitServing waits until every gateway has served a job, and returns the time taken.
func (s *soak) waitServing(ctx context.Context) time.Duration {
	begin := time.Now()
	for _, g := range s.b.gateways {
		for !s.servesJob(ctx, g) {
			if time.Since(begin) > recoveryTimeout {
				s.b.runChecker.reportViolation("RECOVER", "%s serves no job %v after the last fault", g.name, recoveryTimeout)
				return time.Since(begin)
			}
			if !sleep(ctx, pollInterval) {
				return 0
			}
		}
	}
	return time.Since(begin)
}

func (s *soak) servesJob(ctx context.Context, g *node) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	job := &callerJob{job: newJob(s.callers.nextID(), 1, taskSpec{cpu: taskCPU, runTime: probeRunTime})}
	attempt := s.callers.send(ctx, g, commonPrefix, job)
	return attempt.err == nil && attempt.response.State == "done"
}

// waitIdle checks that no task keeps running after all jobs have ended.
func (s *soak) waitIdle(ctx context.Context) {
	begin := time.Now()
	for len(s.b.runChecker.runningTasks()) > 0 {
		if time.Since(begin) > idleTimeout {
			s.b.runChecker.reportViolation("UNASKED", "tasks still run %v after the last response: %v", idleTimeout, s.b.runChecker.runningTasks())
			return
		}
		if !sleep(ctx, pollInterval) {
			return
		}
	}
}
