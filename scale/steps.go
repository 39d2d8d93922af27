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
	taskMS      = 20  // run time of a task under load
	tasksPerJob = 160 // the largest job of the target size
	// lowRate and highRate are starts a second and agent, below the 400 that
	// eight slots allow with such tasks; rateLimit keeps the caller's side,
	// which is one process, from being the limit.
	lowRate   = 40
	highRate  = 120
	rateLimit = 4000
	// heldMS is the run time of tasks that keep every slot while tasks wait.
	heldMS = 30_000
	// recovery is the time for which store calls are counted after an outage.
	recovery = 12 * time.Second
)

// sample is the counters of all processes at one time.
type sample struct {
	at      time.Time
	entries map[int]usage // by process
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
	if s.agents, err = readUsage(r.fleet.cmd.Process.Pid); err != nil {
		return s, err
	}
	if s.state, err = r.fleet.ask(request{}); err != nil {
		return s, err
	}
	s.calls = r.store.Status().Calls
	return s, nil
}

// step measures what happens during act.
func (r *run) step(name string, act func(*Step) error) error {
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
	s.difference(before, after)
	r.steps = append(r.steps, s)
	if r.progress != nil {
		r.progress(s)
	}
	return nil
}

func (r *run) allSteps(ctx context.Context) error {
	steps := []func(context.Context) error{
		r.linkAll, r.idle, r.loads, r.configuration, r.queues, r.restart, r.outage, r.domain,
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

func (r *run) linkAll(ctx context.Context) error {
	return r.step("link", func(s *Step) error {
		_, err := r.fleet.ask(request{Start: r.agents, Service: service, Entries: r.links(), Links: r.linksEach()})
		if err != nil {
			return err
		}
		took, err := r.await(ctx, linkLimit, r.whole)
		s.WholeMS = took.Milliseconds()
		return err
	})
}

func (r *run) idle(ctx context.Context) error {
	if err := pause(ctx, r.options.Settle); err != nil {
		return err
	}
	return r.step("idle", func(*Step) error { return pause(ctx, r.options.Idle) })
}

func (r *run) loads(ctx context.Context) error {
	for _, l := range []struct {
		name string
		rate int
	}{{"load low", lowRate}, {"load high", highRate}} {
		err := r.step(l.name, func(s *Step) error {
			return r.drive(ctx, s, min(l.rate*r.agents, rateLimit*l.rate/highRate), r.options.Load)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// drive sends jobs in an open loop and waits for their answers.
func (r *run) drive(ctx context.Context, s *Step, rate int, d time.Duration) error {
	interval := time.Duration(float64(time.Second) * tasksPerJob / float64(rate))
	var sent sync.WaitGroup
	var failed, done atomic.Int64
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		sent.Go(func() {
			j := job(workspaceName(i%TargetWorkspaces), tasksPerJob, taskMS, 30_000)
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
	sent.Wait()
	s.JobsDone, s.JobsFailed = done.Load(), failed.Load()
	return nil
}

// jobs numbers the request keys.
var jobs atomic.Uint64

func job(workspace string, tasks, ms int, deadline int64) api.Job {
	j := api.Job{Key: strconv.FormatUint(jobs.Add(1), 10), Workspace: workspace, DeadlineMS: deadline, Idempotent: true}
	for range tasks {
		j.Tasks = append(j.Tasks, api.Task{Payload: strconv.Itoa(ms), RunMS: float64(ms)})
	}
	return j
}

// configuration measures changes that alter no view, one view, every view of a
// service, and every target's view and announcement.
func (r *run) configuration(ctx context.Context) error {
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
		err := r.step(c.name, func(s *Step) error {
			c.edit()
			start := time.Now()
			if err := r.apply(ctx, d); err != nil {
				return err
			}
			_, err := r.await(ctx, linkLimit, r.whole)
			s.WholeMS = time.Since(start).Milliseconds()
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

// queues measures entries whose jobs wait while every slot is in use.
func (r *run) queues(ctx context.Context) error {
	for _, q := range []struct {
		name             string
		workspaces, jobs int // jobs of each workspace
		tasks            int // of each job
	}{
		{"queue 39 workspaces", 39, 10, 10},
		{"queue 390 workspaces", TargetWorkspaces, 1, 10},
		{"queue 390 workspaces, 10 times the tasks", TargetWorkspaces, 1, 100},
	} {
		if err := r.queue(ctx, q.name, q.workspaces, q.jobs, q.tasks); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) queue(ctx context.Context, name string, workspaces, jobs, tasks int) error {
	held, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent sync.WaitGroup
	slots := r.agents * 8 / tasksPerJob
	for i := range workspaces*jobs + slots + 1 {
		n := tasks
		if i <= slots {
			n = tasksPerJob // these take the slots
		}
		sent.Go(func() {
			_, _ = r.entries[i%len(r.entries)].client.Submit(held, service, job(workspaceName(i%workspaces), n, heldMS, 600_000))
		})
	}
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	err := r.step(name, func(s *Step) error {
		s.Waiting = workspaces * jobs * tasks
		return pause(ctx, 2*time.Second)
	})
	cancel()
	sent.Wait()
	if err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

// restartEntries ends every entry at once, starts it again and waits until every
// agent has new links; the old ones count until the agents notice.
func (r *run) restartEntries(ctx context.Context, s *Step) error {
	before, err := r.fleet.ask(request{})
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
	_, err = r.await(ctx, linkLimit, func(a agentState) bool {
		return r.whole(a) && a.Opened >= before.Opened+r.agents*r.linksEach()
	})
	s.WholeMS = time.Since(start).Milliseconds()
	return err
}

func (r *run) restart(ctx context.Context) error {
	return r.step("restart of all entries", func(s *Step) error { return r.restartEntries(ctx, s) })
}

// outage restarts every entry while the store is down.
func (r *run) outage(ctx context.Context) error {
	down, up := true, false
	if err := r.store.ChangeFaults(standin.StoreFaultChange{Down: &down}); err != nil {
		return err
	}
	err := r.step("restart, store down", func(s *Step) error {
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
	return r.step("after the outage", func(*Step) error { return pause(ctx, recovery) })
}

// domain ends a fifth of the agents under load and starts them again.
func (r *run) domain(ctx context.Context) error {
	lost := r.agents / 5
	rate := min(lowRate*r.agents, rateLimit/4)
	err := r.step("domain lost", func(s *Step) error {
		failure := make(chan error, 1)
		go func() {
			err := pause(ctx, time.Second)
			if err == nil {
				_, err = r.fleet.ask(request{Lose: lost})
			}
			failure <- err
		}()
		if err := r.drive(ctx, s, rate, 5*time.Second); err != nil {
			return err
		}
		return <-failure
	})
	if err != nil {
		return err
	}
	return r.step("domain back", func(s *Step) error {
		_, err := r.fleet.ask(request{Start: lost, First: r.agents - lost, Service: service, Entries: r.links(), Links: r.linksEach()})
		if err != nil {
			return err
		}
		took, err := r.await(ctx, linkLimit, r.whole)
		s.WholeMS = took.Milliseconds()
		return err
	})
}
