package scale

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/standin"
)

const (
	taskMS      = 20  // run time of a task in the load steps
	tasksPerJob = 160 // largest job size at the target size
	// lowRate and highRate are task starts per second and agent, below the 400
	// that eight slots allow with tasks of taskMS. rateLimit bounds the starts
	// per second of all agents, so that the single process that submits the jobs
	// is not the bottleneck.
	lowRate   = 40
	highRate  = 120
	rateLimit = 4000
	// blockingTaskMS is the run time of tasks that occupy all slots, so that others wait.
	blockingTaskMS = 30_000
	// recoveryPeriod is the time after a store outage for which store calls are counted.
	recoveryPeriod = 12 * time.Second
)

// sample holds the usage and counters of all processes at one time.
type sample struct {
	at      time.Time
	entries map[int]usage // by process id
	agents  usage
	state   agentState
	calls   standin.StoreCalls
}

func (r *run) sample() (sample, error) {
	s := sample{at: time.Now(), entries: map[int]usage{}}
	for _, e := range r.entries {
		u, err := readUsage(e.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.entries[e.cmd.Process.Pid] = u
	}
	var err error
	if s.agents, err = readUsage(r.agentHost.cmd.Process.Pid); err != nil {
		return s, err
	}
	if s.state, err = r.agentHost.query(request{}); err != nil {
		return s, err
	}
	s.calls = r.store.Status().Calls
	return s, nil
}

// measureStep runs act and records the differences between the samples before and
// after it as a step.
func (r *run) measureStep(name string, act func(*Step) error) error {
	before, err := r.sample()
	if err != nil {
		return err
	}
	s := &Step{Name: name, Agents: r.agents, Entries: len(r.entries)}
	if err := act(s); err != nil {
		return err
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	s.setDifferences(before, after)
	r.steps = append(r.steps, s)
	if r.progress != nil {
		r.progress(s)
	}
	return nil
}

// measureSteps measures all steps in order. The first one adds the agents that the
// others use.
func (r *run) measureSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		r.measureLinks, r.measureIdle, r.measureLoads, r.measureChanges, r.measureQueues, r.measureRestart, r.measureOutage, r.measureDomainLoss,
	}
	if r.options.IdleOnly {
		steps = steps[:2]
	}
	for _, f := range steps {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) measureLinks(ctx context.Context) error {
	return r.measureStep("link", func(s *Step) error {
		_, err := r.agentHost.query(request{Start: r.agents, Service: service, Entries: r.linkAddresses(), Links: r.linksPerAgent()})
		if err != nil {
			return err
		}
		took, err := r.awaitState(ctx, convergeTimeout, r.converged)
		s.ConvergeMS = took.Milliseconds()
		return err
	})
}

func (r *run) measureIdle(ctx context.Context) error {
	if err := pause(ctx, r.options.Settle); err != nil {
		return err
	}
	return r.measureStep("idle", func(*Step) error { return pause(ctx, r.options.Idle) })
}

func (r *run) measureLoads(ctx context.Context) error {
	for _, l := range []struct {
		name string
		rate int
	}{{"load low", lowRate}, {"load high", highRate}} {
		err := r.measureStep(l.name, func(s *Step) error {
			return r.drive(ctx, s, min(l.rate*r.agents, rateLimit*l.rate/highRate), r.options.Load)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// drive submits jobs in an open loop at a rate of task starts per second and then
// waits for their responses.
func (r *run) drive(ctx context.Context, s *Step, rate int, d time.Duration) error {
	interval := time.Duration(float64(time.Second) * tasksPerJob / float64(rate))
	var submissions sync.WaitGroup
	var failed, done atomic.Int64
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		submissions.Go(func() {
			j := newJob(workspaceName(i%TargetWorkspaces), tasksPerJob, taskMS, 30_000)
			answer, err := r.entries[i%len(r.entries)].client.Submit(ctx, service, j)
			if err != nil || answer.State != api.StateComplete {
				failed.Add(1)
				s.noteFailure(answer, err)
				return
			}
			done.Add(1)
		})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	submissions.Wait()
	s.JobsDone, s.JobsFailed = done.Load(), failed.Load()
	return nil
}

// nextKey makes request keys unique within the process.
var nextKey atomic.Uint64

func newJob(workspace string, tasks, ms int, deadline int64) api.Job {
	j := api.Job{Key: strconv.FormatUint(nextKey.Add(1), 10), Workspace: workspace, DeadlineMS: deadline, Idempotent: true}
	for range tasks {
		j.Tasks = append(j.Tasks, api.Task{Payload: strconv.Itoa(ms), RunMS: float64(ms)})
	}
	return j
}

// measureChanges measures configuration changes that affect no view, one view, every
// view of a service, and every target's view and announcement.
func (r *run) measureChanges(ctx context.Context) error {
	d := document(r.agents, TargetWorkspaces, TargetServices, 0)
	workspace := d.Workspaces[workspaceName(0)]
	workspace.Weight = 9
	target := d.Targets[targetName(0)]
	target.Drain = true
	changed := d.Services[service]
	changed.Long.RunMS--
	for _, c := range []struct {
		name string
		edit func()
	}{
		{"change workspace", func() { d.Workspaces[workspaceName(0)] = workspace }},
		{"change target", func() { d.Targets[targetName(0)] = target }},
		{"change service", func() { d.Services[service] = changed }},
		{"change targets", func() { d = document(r.agents, TargetWorkspaces, TargetServices, 1) }},
	} {
		err := r.measureStep(c.name, func(s *Step) error {
			c.edit()
			start := time.Now()
			if err := r.apply(ctx, d); err != nil {
				return err
			}
			_, err := r.awaitState(ctx, convergeTimeout, r.converged)
			s.ConvergeMS = time.Since(start).Milliseconds()
			if err != nil {
				return err
			}
			return pause(ctx, 3*time.Second-time.Since(start))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureQueues measures entries with queued jobs while all slots are in use.
func (r *run) measureQueues(ctx context.Context) error {
	for _, q := range []struct {
		name             string
		workspaces, jobs int // jobs of each workspace
		tasks            int // of each job
	}{
		{"queue 39 workspaces", 39, 10, 10},
		{"queue 390 workspaces", TargetWorkspaces, 1, 10},
		{"queue 390 workspaces, 10 times the tasks", TargetWorkspaces, 1, 100},
	} {
		if err := r.measureQueue(ctx, q.name, q.workspaces, q.jobs, q.tasks); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) measureQueue(ctx context.Context, name string, workspaces, jobs, tasks int) error {
	submitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var submissions sync.WaitGroup
	slots := r.agents * 8 / tasksPerJob
	for i := range workspaces*jobs + slots + 1 {
		n := tasks
		if i <= slots {
			n = tasksPerJob // these jobs occupy the slots
		}
		submissions.Go(func() {
			_, _ = r.entries[i%len(r.entries)].client.Submit(submitCtx, service, newJob(workspaceName(i%workspaces), n, blockingTaskMS, 600_000))
		})
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	err := r.measureStep(name, func(s *Step) error {
		s.Waiting = workspaces * jobs * tasks
		return pause(ctx, 2*time.Second)
	})
	cancel()
	submissions.Wait()
	if err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

// restartEntries kills all entries, starts them again and waits until every agent has
// new links. It counts opened links, as the agents report links to the killed
// entries as open until they detect the loss.
func (r *run) restartEntries(ctx context.Context, s *Step) error {
	before, err := r.agentHost.query(request{})
	if err != nil {
		return err
	}
	start := time.Now()
	for _, e := range r.entries {
		e.kill()
	}
	for _, e := range r.entries {
		if err := e.start(r.options.Executable); err != nil {
			return err
		}
	}
	_, err = r.awaitState(ctx, convergeTimeout, func(a agentState) bool {
		return r.converged(a) && a.Opened >= before.Opened+r.agents*r.linksPerAgent()
	})
	s.ConvergeMS = time.Since(start).Milliseconds()
	return err
}

func (r *run) measureRestart(ctx context.Context) error {
	return r.measureStep("restart of all entries", func(s *Step) error { return r.restartEntries(ctx, s) })
}

// measureOutage restarts all entries while the store is down, and then counts the
// store calls after its return.
func (r *run) measureOutage(ctx context.Context) error {
	down, up := true, false
	if err := r.store.ChangeFaults(standin.StoreFaultChange{Down: &down}); err != nil {
		return err
	}
	err := r.measureStep("restart, store down", func(s *Step) error {
		if err := r.restartEntries(ctx, s); err != nil {
			return err
		}
		return r.drive(ctx, s, min(lowRate*r.agents, rateLimit/4), 2*time.Second)
	})
	if err != nil {
		return err
	}
	if err := r.store.ChangeFaults(standin.StoreFaultChange{Down: &up}); err != nil {
		return err
	}
	return r.measureStep("after the outage", func(*Step) error { return pause(ctx, recoveryPeriod) })
}

// measureDomainLoss kills a fifth of the agents under load, as the loss of a failure
// domain does, and starts them again.
func (r *run) measureDomainLoss(ctx context.Context) error {
	lost := r.agents / 5
	rate := min(lowRate*r.agents, rateLimit/4)
	err := r.measureStep("domain lost", func(s *Step) error {
		killError := make(chan error, 1)
		go func() {
			err := pause(ctx, time.Second)
			if err == nil {
				_, err = r.agentHost.query(request{Lose: lost})
			}
			killError <- err
		}()
		if err := r.drive(ctx, s, rate, 5*time.Second); err != nil {
			return err
		}
		return <-killError
	})
	if err != nil {
		return err
	}
	return r.measureStep("domain back", func(s *Step) error {
		_, err := r.agentHost.query(request{Start: lost, First: r.agents - lost, Service: service, Entries: r.linkAddresses(), Links: r.linksPerAgent()})
		if err != nil {
			return err
		}
		took, err := r.awaitState(ctx, convergeTimeout, r.converged)
		s.ConvergeMS = took.Milliseconds()
		return err
	})
}
