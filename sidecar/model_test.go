package sidecar_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/workload"
)

// Times of the model, as in the deployment.
const (
	modelHop         = time.Millisecond
	modelPeerTimeout = 500 * time.Millisecond
	modelTick        = 150 * time.Millisecond // links are checked for a silent peer this often
	modelLostRuns    = 1200 * time.Millisecond
	modelMaxPause    = 600 * time.Millisecond
	modelBudget      = 1500 * time.Millisecond
	modelLength      = 8 * time.Second
	modelQuiet       = 15 * time.Second
)

// model is a fleet in virtual time: entries and agents with their real code, stand-in targets, and
// links and callers that can fail in any order.
type model struct {
	entries []*modelEntry
	hosts   []*modelHost
	callers sync.WaitGroup

	mu       sync.Mutex
	running  map[string]map[*modelHost]bool // hosts whose target runs a task
	problems []string
	trace    []string // what happened, for the report of a failure
	began    time.Time
	stopped  bool
}

func (m *model) problem(format string, values ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.problems = append(m.problems, fmt.Sprintf(format, values...))
}

// note adds a line to the trace. It must be called with mu held.
func (m *model) note(format string, values ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ms ", time.Since(m.began).Milliseconds())+fmt.Sprintf(format, values...))
}

func (m *model) noteEvent(format string, values ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(format, values...)
}

func (m *model) ended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped
}

// modelEntry is an entry process: a scheduler, whose inputs wait while the process is paused.
type modelEntry struct {
	m         *model
	name      string
	scheduler *placement.Scheduler
	inputs    chan func()

	mu          sync.Mutex
	pausedUntil time.Time
	woke        bool // a long pause has ended that the scheduler was not asked about
}

// run handles inputs one after the other. After a pause, links from before it are not used.
func (e *modelEntry) run() {
	for input := range e.inputs {
		e.mu.Lock()
		until := e.pausedUntil
		e.mu.Unlock()
		if d := time.Until(until); d > 0 {
			time.Sleep(d)
		}
		e.mu.Lock()
		woke := e.woke && !time.Now().Before(e.pausedUntil)
		if woke {
			e.woke = false
		}
		e.mu.Unlock()
		if woke {
			e.scheduler.AbandonAll("paused", time.Now())
			e.scheduler.DropLinks(time.Now())
			for _, h := range e.m.hosts {
				h.closeByEntry(e)
			}
		}
		input()
	}
}

func (e *modelEntry) pause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
	e.woke = e.woke || d > modelMaxPause
}

func (e *modelEntry) paused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.pausedUntil)
}

// event applies one event that a number encodes.
func (m *model) event(code uint32) {
	h, e := m.hosts[code>>8%uint32(len(m.hosts))], m.entries[code>>16%uint32(len(m.entries))]
	part := time.Duration(code>>20) * time.Second / (1 << 12) // up to a second
	notices := func(n uint32) time.Duration {
		return modelPeerTimeout - modelTick + time.Duration(code>>n%2)*modelTick + part*modelTick/time.Second
	}
	m.noteEvent("event %d at %s and %s, part %v", code%15, h.name, e.name, part)
	switch code % 15 {
	case 0:
		h.silence(e, 3*part, notices(9), notices(10))
	case 1:
		e.pause(3 * part)
		for _, host := range m.hosts {
			if 3*part > notices(11) {
				host.silencePaused(e, 3*part, notices(12))
			}
		}
	case 2:
		h.restartProcess(part / 2)
	case 3:
		h.crash()
	case 4:
		h.replace()
	case 5:
		h.leave(part/4, part/4, true)
	case 6:
		h.runner.SetFaults(standin.RunnerFaults{DropStarts: int(code >> 9 % 4), DropStops: int(code >> 11 % 16), DropPolls: int(code >> 15 % 4), ApplyDelay: 3 * part})
	case 7:
		h.runner.SetFaults(standin.RunnerFaults{DropPolls: 1 << 20})
		time.AfterFunc(2*part, func() { h.runner.SetFaults(standin.RunnerFaults{}) })
	case 8:
		h.current().HandleReport(targets.Report{Target: "w-71c0", Service: "frames", Capacity: workload.Resources{CPU: 1000}, Born: time.Now().UnixMilli(), Sequence: 1})
	case 9:
		h.current().HandleReport(targets.Report{Target: h.runner.ID(), Service: "frames", Capacity: workload.Resources{CPU: 1000}, Born: 1, Sequence: 1 << 40})
	case 10:
		h.runner.SetFaults(standin.RunnerFaults{DropStops: 1 << 20, ApplyDelay: 2*time.Second + part})
		time.AfterFunc(time.Second+2*part, func() { h.runner.SetFaults(standin.RunnerFaults{}) })
	case 11:
		h.leave(part/8, 5*part, code>>9%2 == 0)
	case 12: // the agent is killed as its target leaves
		h.leave(part/4, 5*part, true)
		h.restartProcess(part / 4)
	case 13: // the agent and its target start again while requests are late
		h.runner.SetFaults(standin.RunnerFaults{DropStarts: 6, ApplyDelay: time.Second + 2*part})
		time.AfterFunc(part/2, func() {
			h.crash()
			h.restartProcess(part / 4)
		})
	default:
		h.current().HandleDeregistration("w-71c0")
	}
}

// call submits a job as a caller: it leaves when its time is over, and sends the job again, elsewhere,
// after no answer or an unknown outcome.
func (m *model) call(n int, tasks int, runTime time.Duration) {
	id := fmt.Sprintf("%016x", n)
	for attempt := range 3 {
		e := m.entries[(n+attempt)%len(m.entries)]
		answered, left := make(chan placement.Answer, 1), time.Now().Add(modelBudget)
		e.inputs <- func() { e.submit(id, tasks, runTime, left, answered) }
		select {
		case a := <-answered:
			if a.Outcome != placement.Expired {
				return
			}
		case <-time.After(modelBudget):
		}
		time.Sleep(resendAfter)
	}
}

// submit hands a request to the scheduler, as a gateway does: unless its caller's time is over.
func (e *modelEntry) submit(id string, tasks int, runTime time.Duration, left time.Time, answered chan placement.Answer) {
	now := time.Now()
	if !now.Before(left) {
		return
	}
	ticket, refusal := e.scheduler.Submit(placement.Request{
		Job:      workload.Job{ID: id, Spec: fmt.Sprint(runTime.Milliseconds()), Steps: []workload.Step{{Tasks: tasks, Need: workload.Resources{CPU: 2000}, Estimate: runTime}}},
		Route:    routing.Route{Name: "r", Service: "frames", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 10 * time.Second},
		Deadline: left,
	}, now)
	if refusal != nil {
		answered <- *refusal
		return
	}
	go func() {
		select {
		case a := <-ticket.Done():
			answered <- a
		case <-time.After(time.Until(left)):
			e.inputs <- func() { ticket.Cancel(time.Now()) }
			<-ticket.Done()
		}
	}()
}

// modelRunTime returns the run time of a job's tasks. Every eighth job cannot be done within its caller's time, so
// that its runs would go on when the job is sent again.
func modelRunTime(n int) time.Duration {
	if n%8 == 7 {
		return 4 * time.Second
	}
	return time.Duration(50+n*37%900) * time.Millisecond
}

// runModel plays events that come at even distances while callers send jobs, and returns what went
// wrong.
func runModel(t *testing.T, events []uint32) (problems []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &model{running: make(map[string]map[*modelHost]bool), began: time.Now()}
		closeTargets := m.start()
		for n := range 40 {
			time.AfterFunc(time.Duration(n)*modelLength/40, func() {
				m.callers.Go(func() { m.call(n, 1+n%3, modelRunTime(n)) })
			})
		}
		for i, code := range events {
			time.AfterFunc(time.Duration(i+1)*modelLength/time.Duration(len(events)+1), func() { m.event(code) })
		}
		time.Sleep(modelLength)
		for _, h := range m.hosts {
			h.runner.SetFaults(standin.RunnerFaults{})
		}
		time.Sleep(modelQuiet)
		m.callers.Wait()
		m.checkIdle()
		m.stop(closeTargets)
		if problems = m.problems; len(problems) > 0 && testing.Verbose() {
			t.Log(strings.Join(m.trace, "\n"))
		}
	})
	return problems
}

func (m *model) start() (closeTargets func()) {
	for i := range 2 {
		e := &modelEntry{m: m, name: fmt.Sprint("e", i), inputs: make(chan func(), 1<<14)}
		e.scheduler = placement.New(placement.Options{LostRunTimeout: modelLostRuns, Random: rand.New(rand.NewPCG(uint64(i), 3))})
		m.entries = append(m.entries, e)
		go e.run()
		go func() {
			for !m.ended() {
				if !e.paused() {
					e.inputs <- func() { e.scheduler.Tick(time.Now()) }
				}
				time.Sleep(placement.TickInterval)
			}
		}()
	}
	var closers []func()
	for i := range 3 {
		h := &modelHost{m: m, name: fmt.Sprint("h", i), links: make(map[*modelEntry]*modelLink)}
		work := func(_, spec string) (time.Duration, bool) {
			d, err := time.ParseDuration(spec + "ms")
			return d, err != nil
		}
		h.runner = standin.NewRunner(standin.RunnerOptions{ID: h.name + "-0", Work: work, Observer: h, StopTime: time.Duration(i) * 20 * time.Millisecond})
		listener := newPipeListener()
		server := &http.Server{Handler: h.runner.Handler()}
		go server.Serve(listener)
		h.client = &modelAddress{TargetClient: platform.NewTargetClientWithDialer("target", listener.dial)}
		closers = append(closers, func() { h.client.Close(); server.Close() })
		m.hosts = append(m.hosts, h)
		h.startProcess()
		go func() {
			for !m.ended() {
				h.report()
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	return func() {
		for _, c := range closers {
			c()
		}
	}
}

// checkIdle checks that nothing is left once all callers have gone.
func (m *model) checkIdle() {
	for _, e := range m.entries {
		if l := e.scheduler.Load(); l.Jobs != 0 || l.Targets != len(m.hosts) {
			m.problem("%s is left with %+v", e.name, l)
		}
	}
	for _, h := range m.hosts {
		if s := h.current().Stats(); s.Runs != 0 || s.Links != len(m.entries) || !s.Accepting || len(h.runner.Running()) != 0 {
			m.problem("%s is left with %+v and %v on the target", h.name, s, h.runner.Running())
		}
	}
}

func (m *model) stop(closeTargets func()) {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	time.Sleep(5 * time.Second)
	for _, h := range m.hosts {
		_ = h.current().Kill()
	}
	closeTargets()
	for _, e := range m.entries {
		close(e.inputs)
	}
}

// modelCases is the number of random cases that CI plays.
const modelCases = 60

// Guards against two runs of one task at a time, and against runs or jobs whose end is never known,
// under any order of link losses, pauses, restarts of agents and targets, planned ends, reports of other
// writers, and requests that are lost, late, or without a response.
func TestNoTaskRunsTwiceInRandomOrders(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(28)
	parameters.MinSuccessfulTests, parameters.MaxShrinkCount = modelCases, 30
	properties := gopter.NewProperties(parameters)
	properties.Property("no task runs twice, and all ends are known", prop.ForAll(
		func(events []uint32) (string, error) {
			if problems := runModel(t, events); len(problems) > 0 {
				return strings.Join(problems, "; "), nil
			}
			return "", nil
		},
		gen.SliceOfN(16, gen.UInt32()),
	))
	properties.TestingRun(t)
}
