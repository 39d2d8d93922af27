package sidecar_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/sidecar"
	"github.com/catkinline/catkinline/standin"
	"github.com/catkinline/catkinline/targets"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// modelHost is an agent with its target.
type modelHost struct {
	m      *model
	name   string
	runner *standin.Runner
	client *modelAddress

	mu          sync.Mutex
	sidecar     *sidecar.Sidecar
	incarnation wire.Incarnation
	links       map[*modelEntry]*modelLink
	number      uint64
	down        bool           // no process of the agent runs
	processes   int            // of the target
	ends        int            // planned ends of the target, and crashes
	quiet       bool           // the target sends no reports
	saved       targets.Report // by the agent, in the store
}

// modelAddress is a client of a target that may close its address while its process works on.
type modelAddress struct {
	*platform.TargetClient
	closed atomic.Bool
}

func (a *modelAddress) Start(ctx context.Context, target string, q targets.StartRequest) targets.StartResponse {
	if a.closed.Load() {
		return targets.StartResponse{Result: targets.StartNotRun, Reason: "nothing listens"}
	}
	return a.TargetClient.Start(ctx, target, q)
}

func (a *modelAddress) Stop(ctx context.Context, target string, run workload.RunID, token uint64) bool {
	return !a.closed.Load() && a.TargetClient.Stop(ctx, target, run, token)
}

func (a *modelAddress) Poll(ctx context.Context, q targets.PollRequest) (targets.PollResponse, error) {
	if a.closed.Load() {
		return targets.PollResponse{}, targets.ErrNotListening
	}
	return a.TargetClient.Poll(ctx, q)
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

// startProcess starts the agent's next process and links it to all entries.
func (h *modelHost) startProcess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.m.ended() {
		return
	}
	h.incarnation++
	h.down = false
	incarnation := h.incarnation
	h.sidecar = sidecar.New(sidecar.Options{FailureDomain: "a", Target: h.client, Log: zap.NewNop(), Metrics: discardMetrics{},
		SaveReport: func(r targets.Report) { time.AfterFunc(modelStoreDelay, func() { h.save(incarnation, r) }) }})
	h.sidecar.Start()
	time.AfterFunc(modelStoreDelay, h.restore)
	for _, e := range h.m.entries {
		h.link(e)
	}
}

// modelStoreDelay is how long a call to the store takes.
const modelStoreDelay = 5 * time.Millisecond

// save saves a report of the target, unless the process of the agent that sent it has been killed.
func (h *modelHost) save(incarnation wire.Incarnation, r targets.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation == h.incarnation && !h.down {
		h.saved = r
	}
}

// restore passes the saved report to the agent's current process.
func (h *modelHost) restore() {
	h.mu.Lock()
	r, process := h.saved, h.sidecar
	h.mu.Unlock()
	if r.Target != "" {
		process.RestoreReport(r)
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
	process, quiet := h.sidecar, h.quiet
	h.mu.Unlock()
	if !quiet {
		process.HandleReport(r)
	}
}

func (h *modelHost) current() *sidecar.Sidecar {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sidecar
}

// modelAnnouncement is how long a target tries to announce its planned end.
const modelAnnouncement = 2 * time.Second

// leave ends the target as planned: it announces its end, which its agent hears of if acked is set,
// closes its address, and works on until its process has ended. Another one takes its place.
func (h *modelHost) leave(closes, ends time.Duration, acked bool) {
	h.mu.Lock()
	h.ends++
	end := h.ends
	h.quiet = true
	h.mu.Unlock()
	if acked {
		h.current().HandleDeregistration(h.runner.ID())
	} else {
		closes += modelAnnouncement
	}
	unless := func(f func()) func() {
		return func() {
			h.mu.Lock()
			ended := h.ends != end
			h.mu.Unlock()
			if !ended {
				f()
			}
		}
	}
	time.AfterFunc(closes, unless(func() { h.client.closed.Store(true) }))
	time.AfterFunc(closes+ends, unless(h.replace))
}

// crash ends the target's process; the next one has the same id.
func (h *modelHost) crash() {
	h.runner.Restart()
	h.opens()
}

func (h *modelHost) replace() {
	h.mu.Lock()
	h.processes++
	id := fmt.Sprintf("%s-%d", h.name, h.processes)
	h.mu.Unlock()
	h.runner.Replace(id, 0)
	h.opens()
}

// opens opens the target's address after the start of a process.
func (h *modelHost) opens() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends++
	h.quiet = false
	h.client.closed.Store(false)
}
