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
	"go.uber.org/zap"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/routing"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
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

// modelHost is an agent with its target.
type modelHost struct {
	m      *model
	name   string
	runner *standin.Runner
	client *platform.TargetClient

	mu          sync.Mutex
	sidecar     *sidecar.Sidecar
	incarnation wire.Incarnation
	links       map[*modelEntry]*modelLink
	number      uint64
	down        bool // no process of the agent runs
	processes   int  // of the target
}

// RunStarted implements standin.RunnerObserver.
func (h *modelHost) RunStarted(_, task, _ string) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	for other := range h.m.running[task] {
		if other != h && time.Now().Before(other.runner.LeaseEnd()) {
			h.m.problems = append(h.m.problems, fmt.Sprintf("%s starts on %s while it runs on %s", task, h.name, other.name))
			h.m.note("both at once: %s on %s and %s", task, h.name, other.name)
		}
	}
	if h.m.running[task] == nil {
		h.m.running[task] = make(map[*modelHost]bool)
	}
	h.m.running[task][h] = true
	h.m.note("%s starts on %s", task, h.name)
}

// RunEnded implements standin.RunnerObserver.
func (h *modelHost) RunEnded(_, task, how string) {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	h.m.note("%s ends on %s: %s", task, h.name, how)
	delete(h.m.running[task], h)
}

// modelLink is a link between an agent and an entry; it is the agent's end.
type modelLink struct {
	host    *modelHost
	entry   *modelEntry
	process *sidecar.Sidecar

	mu    sync.Mutex
	cut   bool              // messages are lost in both directions
	gone  [2]bool           // by end: the agent's, the entry's
	queue [2][]modelMessage // by receiving end, in the order in which they were sent
}

// modelMessage is a message on its way.
type modelMessage struct {
	at     time.Time
	handle func()
}

const (
	agentEnd = iota
	entryEnd
)

// deliver passes a message on after a hop, in order, unless the link is cut or the receiving end is gone.
func (l *modelLink) deliver(to int, handle func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue[to] = append(l.queue[to], modelMessage{time.Now().Add(modelHop), handle})
	if len(l.queue[to]) == 1 {
		go l.drain(to)
	}
}

func (l *modelLink) drain(to int) {
	for {
		l.mu.Lock()
		next := l.queue[to][0]
		l.mu.Unlock()
		time.Sleep(time.Until(next.at))
		l.mu.Lock()
		lost := l.cut || l.gone[to]
		l.mu.Unlock()
		switch {
		case lost || l.host.m.ended():
		case to == entryEnd:
			l.entry.inputs <- next.handle
		default:
			next.handle()
		}
		l.mu.Lock()
		l.queue[to] = l.queue[to][1:]
		empty := len(l.queue[to]) == 0
		l.mu.Unlock()
		if empty {
			return
		}
	}
}

// Send implements sidecar.Link: a message to the entry.
func (l *modelLink) Send(message wire.Message) error {
	name, end := l.host.name, modelEntryEnd{l}
	l.deliver(entryEnd, func() {
		switch message := message.(type) {
		case *wire.TargetState:
			l.entry.scheduler.HandleState(name, end, message, time.Now())
		case *wire.Room:
			l.entry.scheduler.HandleRoom(name, end, message, time.Now())
		case *wire.RunEnd:
			l.entry.scheduler.HandleRunEnd(name, end, message, time.Now())
		}
	})
	return nil
}

// Name implements sidecar.Link.
func (l *modelLink) Name() string { return l.entry.name }

// Incarnation implements sidecar.Link.
func (l *modelLink) Incarnation() wire.Incarnation { return 1 }

// Close implements sidecar.Link.
func (l *modelLink) Close(error) error {
	time.AfterFunc(0, func() { l.end(agentEnd) })
	return nil
}

// end ends one end of a link; the other end follows a hop later, or by its timeout if the link is cut.
func (l *modelLink) end(which int) {
	l.mu.Lock()
	if l.gone[which] {
		l.mu.Unlock()
		return
	}
	l.gone[which] = true
	cut := l.cut
	l.mu.Unlock()
	l.host.m.noteEvent("link of %s to %s ends at end %d, cut %t", l.host.name, l.entry.name, which, cut)
	if which == agentEnd {
		l.process.LinkDown(l, nil)
	} else {
		l.entry.inputs <- func() { l.entry.scheduler.LinkDown(l.host.name, modelEntryEnd{l}, time.Now()) }
	}
	if !cut {
		time.AfterFunc(modelHop, func() { l.end(1 - which) })
	}
}

// modelEntryEnd is the entry's end of a link.
type modelEntryEnd struct{ *modelLink }

// Send implements placement.Sender: a message to the agent.
func (e modelEntryEnd) Send(message wire.Message) error {
	l := e.modelLink
	l.deliver(agentEnd, func() { l.process.Handle(l, message) })
	return nil
}

// link links a host to an entry. It must be called with the host's mu held.
func (h *modelHost) link(e *modelEntry) {
	l := &modelLink{host: h, entry: e, process: h.sidecar}
	h.links[e] = l
	incarnation := h.incarnation
	time.AfterFunc(modelHop, func() {
		e.inputs <- func() {
			if e.scheduler.LinkUp(h.name, incarnation, modelEntryEnd{l}) {
				time.AfterFunc(modelHop, func() { l.process.LinkUp(l) })
			}
		}
	})
}

// startProcess starts the agent's next process and links it to all entries.
func (h *modelHost) startProcess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.m.ended() {
		return
	}
	h.incarnation++
	h.down = false
	h.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: h.client, Log: zap.NewNop(), Metrics: discardMetrics{}})
	h.sidecar.Start()
	for _, e := range h.m.entries {
		h.link(e)
	}
}

// silence cuts a link for d, which both ends notice by its silence, and opens another one afterwards.
func (h *modelHost) silence(e *modelEntry, d, agentNotices, entryNotices time.Duration) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	busy := l.cut || l.gone[agentEnd]
	l.cut = true
	l.mu.Unlock()
	if busy {
		return
	}
	time.AfterFunc(agentNotices, func() { l.end(agentEnd) })
	time.AfterFunc(entryNotices, func() { l.end(entryEnd) })
	time.AfterFunc(max(d, agentNotices, entryNotices)+100*time.Millisecond, func() { h.relink(l) })
}

// closeByEntry ends the link to an entry that closes all of its links; the agent dials again.
func (h *modelHost) closeByEntry(e *modelEntry) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l != nil {
		time.AfterFunc(0, func() { l.end(entryEnd) })
		time.AfterFunc(modelPeerTimeout+modelTick, func() { h.relink(l) })
	}
}

func (h *modelHost) relink(l *modelLink) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.entry] == l && h.sidecar == l.process && !h.m.ended() {
		h.link(l.entry)
	}
}

// restartProcess kills the agent's process; entries notice by its silence.
func (h *modelHost) restartProcess(down time.Duration) {
	h.mu.Lock()
	if h.down {
		h.mu.Unlock()
		return
	}
	h.down = true
	process, links := h.sidecar, h.links
	h.links = make(map[*modelEntry]*modelLink)
	h.mu.Unlock()
	for _, l := range links {
		l.mu.Lock()
		l.cut, l.gone[agentEnd] = true, true
		l.mu.Unlock()
		time.AfterFunc(modelPeerTimeout, func() { l.end(entryEnd) })
	}
	_ = process.Kill()
	time.AfterFunc(down, h.startProcess)
}

// report sends the agent a report of the target's current process.
func (h *modelHost) report() {
	h.mu.Lock()
	h.number++
	r := targets.Report{
		Target: h.runner.ID(), Service: "frames", Capacity: workload.Resources{CPU: 32000, Memory: 131072},
		Born: h.runner.Report("frames", "ready", 0)["born"].(int64), Sequence: h.number,
	}
	process := h.sidecar
	h.mu.Unlock()
	process.HandleReport(r)
}

func (h *modelHost) current() *sidecar.Sidecar {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sidecar
}

// leave has the target deregister and end a while later; another one takes its place.
func (h *modelHost) leave(ends time.Duration) {
	h.current().HandleDeregistration(h.runner.ID())
	time.AfterFunc(ends, h.replace)
}

func (h *modelHost) replace() {
	h.mu.Lock()
	h.processes++
	id := fmt.Sprintf("%s-%d", h.name, h.processes)
	h.mu.Unlock()
	h.runner.Replace(id, 0)
}

// event applies one event that a number encodes.
func (m *model) event(code uint32) {
	h, e := m.hosts[code>>8%uint32(len(m.hosts))], m.entries[code>>16%uint32(len(m.entries))]
	part := time.Duration(code>>20) * time.Second / (1 << 12) // up to a second
	notices := func(n uint32) time.Duration {
		return modelPeerTimeout - modelTick + time.Duration(code>>n%2)*modelTick + part*modelTick/time.Second
	}
	m.noteEvent("event %d at %s and %s, part %v", code%11, h.name, e.name, part)
	switch code % 11 {
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
		h.runner.Restart()
	case 4:
		h.replace()
	case 5:
		h.leave(part / 4)
	case 6:
		h.runner.SetFaults(standin.RunnerFaults{DropStarts: int(code >> 9 % 4), DropStops: int(code >> 11 % 16), DropPolls: int(code >> 15 % 4), ApplyDelay: 3 * part})
	case 7:
		h.runner.SetFaults(standin.RunnerFaults{DropPolls: 1 << 20})
		time.AfterFunc(2*part, func() { h.runner.SetFaults(standin.RunnerFaults{}) })
	case 8:
		h.current().HandleReport(targets.Report{Target: "w-71c0", Service: "frames", Capacity: workload.Resources{CPU: 1000}, Born: time.Now().UnixMilli(), Sequence: 1})
	case 9:
		h.current().HandleReport(targets.Report{Target: h.runner.ID(), Service: "frames", Capacity: workload.Resources{CPU: 1000}, Born: 1, Sequence: 1 << 40})
	default:
		h.current().HandleDeregistration("w-71c0")
	}
}

// silencePaused ends the links of a paused entry at the agent, which hears nothing of it. The entry
// learns it when it wakes.
func (h *modelHost) silencePaused(e *modelEntry, d, notices time.Duration) {
	h.mu.Lock()
	l := h.links[e]
	h.mu.Unlock()
	if l == nil {
		return
	}
	time.AfterFunc(notices, func() { l.end(agentEnd) })
	time.AfterFunc(d+100*time.Millisecond, func() { h.relink(l) })
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

// runModel plays events that come at even distances while callers send jobs, and returns what went
// wrong.
func runModel(t *testing.T, events []uint32) (problems []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &model{running: make(map[string]map[*modelHost]bool), began: time.Now()}
		closeTargets := m.start()
		for n := range 40 {
			time.AfterFunc(time.Duration(n)*modelLength/40, func() {
				m.callers.Go(func() { m.call(n, 1+n%3, time.Duration(50+n*37%900)*time.Millisecond) })
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
		h.client = platform.NewTargetClientWithDialer("target", listener.dial)
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
