package sidecar_test

import (
	"fmt"
	"sync"
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
