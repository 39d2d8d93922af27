package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinline/catkinline/internal/faultproxy"
)

// runnerOptions sets how the runners of a case behave.
type runnerOptions struct {
	cpu    int64
	labels []string
}

// runner stands in for an application runner, as the pages on running tasks and on service
// discovery describe it. Each life of it has its own clock, counts and fence number.
type runner struct {
	opts    runnerOptions
	machine *machine
	checker *checker
	life    *life
	port    string          // that it listens on
	relay   *faultproxy.TCP // on the way from the sidecar; nil: none

	mu sync.Mutex
	// lateShare is the share of the orders to start and to stop that get no response and are carried
	// out two to twelve seconds later.
	lateShare float64
	// cut says that the runner and its sidecar do not reach each other.
	cut bool
}

// life is one process of a runner.
type life struct {
	r       *runner
	id      string
	born    time.Time
	labels  []string
	cpu     int64
	server  *http.Server
	stopped context.CancelFunc
	ctx     context.Context

	mu       sync.Mutex
	dead     bool
	draining bool
	sequence uint64
	fence    uint64
	leaseEnd time.Duration // on the runner's clock
	runs     map[string]*taskRun
	closed   map[string]int // highest run that was stopped or ended, by task
	ended    []endedRun
	lastEnd  uint64
	changed  chan struct{} // closed and replaced when a run ends
}

type taskRun struct {
	task  string
	run   int
	cpu   int64
	timer *time.Timer
}

type endedRun struct {
	number uint64
	task   string
	run    int
	how    string
}

func newRunner(c *checker, m *machine, o runnerOptions) *runner {
	if o.cpu == 0 {
		o.cpu = 32000
	}
	if o.labels == nil {
		o.labels = []string{"a", "r1-1"}
	}
	return &runner{opts: o, machine: m, checker: c, port: appPort}
}

// useRelay puts a relay between the sidecar and the runner, which can cut them off.
func (r *runner) useRelay() (err error) {
	r.port = behindRelayPort
	r.relay, err = faultproxy.NewTCP(faultproxy.TCPOptions{Listen: r.machine.ip + ":" + appPort, Upstream: r.machine.ip + ":" + r.port})
	return err
}

// start starts a life of the runner as a machine of the usual kind.
func (r *runner) start(id string) error { return r.startAs(id, r.opts.labels) }

// startAs starts a life of the runner with the labels of a kind. It listens before it registers.
func (r *runner) startAs(id string, labels []string) error {
	l := &life{
		r: r, id: id, born: time.Now(), labels: labels, cpu: r.opts.cpu,
		runs: make(map[string]*taskRun), closed: make(map[string]int), changed: make(chan struct{}),
	}
	l.ctx, l.stopped = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", r.machine.ip+":"+r.port)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", l.handleStart)
	mux.HandleFunc("POST /run-stop", l.handleStop)
	mux.HandleFunc("POST /hold", l.handleHold)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = l.server.Serve(listener) }()
	r.mu.Lock()
	r.life = l
	r.mu.Unlock()
	r.checker.record.write("runner started", "machine", r.machine.name, "id", id, "labels", l.labels, "cpu", l.cpu)
	go l.leaseLoop()
	go l.beatLoop()
	return nil
}

func (r *runner) current() *life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// end ends the runner's process with everything that runs on it.
func (r *runner) end() {
	l := r.current()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.dead = true
	for _, t := range l.runs {
		t.timer.Stop()
		r.checker.runEnded(l, t, "runner ended")
	}
	clear(l.runs)
	l.mu.Unlock()
	l.stopped()
	_ = l.server.Close()
	r.checker.record.write("runner ended", "machine", r.machine.name, "id", l.id)
}

func (r *runner) setLateShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateShare = share
}

// isLate draws whether an order gets no response and is carried out later.
func (r *runner) isLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.lateShare
}

// setCut cuts the runner off from its sidecar in both directions, or heals the cut.
func (r *runner) setCut(cut bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.checker.record.write("cut", "machine", r.machine.name, "cut", cut)
	if !cut {
		r.relay.Restore()
		return nil
	}
	return r.relay.SetFaults(faultproxy.Faults{Cut: faultproxy.CutBoth})
}

func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (l *life) clock() time.Duration { return time.Since(l.born) }

func (l *life) bornMS() int64 { return l.born.UnixMilli() }

// leaseLoop ends everything that runs when the lease has expired.
func (l *life) leaseLoop() {
	for l.ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		l.mu.Lock()
		if l.clock() >= l.leaseEnd {
			for task := range l.runs {
				l.endRun(task, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// extend renews the lease up to a time on the runner's clock, for maxHold from now at most.
func (l *life) extend(deadlineMS int64) {
	l.leaseEnd = max(l.leaseEnd, min(time.Duration(deadlineMS)*time.Millisecond, l.clock()+maxHold))
}

// endRun ends a run and lists its end. It must be called with mu held.
func (l *life) endRun(task, how string) {
	t := l.runs[task]
	t.timer.Stop()
	delete(l.runs, task)
	l.closed[task] = max(l.closed[task], t.run)
	l.lastEnd++
	l.ended = append(l.ended, endedRun{l.lastEnd, task, t.run, how})
	l.r.checker.runEnded(l, t, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence_token"`
	Ack      uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// abortIfEnded breaks the channel off without a response if the runner has ended.
func (l *life) abortIfEnded() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		panic(http.ErrAbortHandler)
	}
}

// read decodes a call. It returns false if the call is answered already.
func (l *life) read(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return b, false
	}
	l.abortIfEnded()
	if id := r.Header.Get("X-Catkinline-Target-Instance"); id != "" && id != l.id {
		l.answer(w, http.StatusMisdirectedRequest, "")
		return b, false
	}
	return b, true
}

func (l *life) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": l.clock().Milliseconds()}
	if reason != "" {
		body["reason"] = reason
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the sidecar has gone
}

// order serves an order. A late one gets no response and is carried out later.
func (l *life) order(w http.ResponseWriter, r *http.Request, kind string, apply func(orderBody) (int, string)) {
	b, ok := l.read(w, r)
	if !ok {
		return
	}
	if l.r.isLate() {
		delay := 2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second)))
		l.r.checker.record.write("late "+kind, "runner", l.id, "task", b.Task, "run", b.Run, "after_ms", delay.Milliseconds())
		time.AfterFunc(delay, func() { apply(b) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := apply(b)
	if kind == "start" && status == http.StatusConflict {
		l.r.checker.record.write("start rejected", "runner", l.id, "task", b.Task, "run", b.Run, "reason", reason)
	}
	l.answer(w, status, reason)
}

func (l *life) fenced(token uint64) bool {
	if token < l.fence {
		return true
	}
	l.fence = token
	return false
}

func (l *life) handleStart(w http.ResponseWriter, r *http.Request) {
	l.order(w, r, "start", l.startTask)
}
func (l *life) handleStop(w http.ResponseWriter, r *http.Request) { l.order(w, r, "stop", l.stopTask) }

func (l *life) startTask(b orderBody) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.dead:
		return http.StatusServiceUnavailable, ""
	case l.fenced(b.Fence):
		return http.StatusConflict, "fence"
	case time.Duration(b.Deadline)*time.Millisecond <= l.clock():
		return http.StatusConflict, "late"
	}
	l.extend(b.Deadline)
	if t := l.runs[b.Task]; t != nil {
		if t.run == b.Run {
			return http.StatusOK, ""
		}
		return http.StatusConflict, "old"
	}
	if b.Run <= l.closed[b.Task] {
		return http.StatusConflict, "old"
	}
	s := parseSpec(b.Spec)
	used := int64(0)
	for _, t := range l.runs {
		used += t.cpu
	}
	if used+s.cpu > l.cpu {
		return http.StatusConflict, "room"
	}
	t := &taskRun{task: b.Task, run: b.Run, cpu: s.cpu}
	t.timer = time.AfterFunc(s.work, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.runs[b.Task] == t {
			l.endRun(b.Task, "done")
		}
	})
	l.runs[b.Task] = t
	l.r.checker.runStarted(l, t, s)
	return http.StatusOK, ""
}

func (l *life) stopTask(b orderBody) (int, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.fenced(b.Fence) {
		return http.StatusConflict, "fence"
	}
	l.closed[b.Task] = max(l.closed[b.Task], b.Run)
	if t := l.runs[b.Task]; t != nil && t.run <= b.Run {
		l.endRun(b.Task, "stopped")
	}
	return http.StatusOK, ""
}

func (l *life) handleHold(w http.ResponseWriter, r *http.Request) {
	b, ok := l.read(w, r)
	if !ok {
		return
	}
	l.mu.Lock()
	if l.fenced(b.Fence) {
		l.mu.Unlock()
		l.answer(w, http.StatusConflict, "fence")
		return
	}
	l.extend(b.Deadline)
	for len(l.ended) > 0 && l.ended[0].number <= b.Ack {
		l.ended = l.ended[1:]
	}
	changed, wait := l.changed, len(l.ended) == 0 && b.Wait > 0
	l.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(b.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	l.abortIfEnded()
	l.mu.Lock()
	running, ended := [][]any{}, [][]any{}
	for _, t := range l.runs {
		running = append(running, []any{t.task, t.run, "", 50})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": l.clock().Milliseconds(), "born": l.bornMS(), "running": running, "ended": ended}
	l.mu.Unlock()
	writeBody(w, http.StatusOK, body)
}

// drain tells the sidecar that the runner is draining, and returns when that is acknowledged.
func (l *life) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for l.ctx.Err() == nil {
		if l.beat() {
			l.r.checker.record.write("draining acknowledged", "runner", l.id)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// beatLoop sends a heartbeat at once and then every beatEvery.
func (l *life) beatLoop() {
	var delay time.Duration
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = beatEvery
		if !l.beat() {
			delay = 200 * time.Millisecond
		}
	}
}

// beatBody returns the body of the next heartbeat.
func (l *life) beatBody() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{ // plain values always encode
		"service": service, "address": l.r.machine.ip + ":" + appPort, "zone": l.r.machine.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": map[string]int64{"cpu": l.cpu, "mem_mb": 131072, "gpu": 0}, "labels": l.labels,
		"clock_ms": l.clock().Milliseconds(), "sequence": l.sequence, "born": l.bornMS(),
	})
	return body
}

func (l *life) beat() bool { return l.post("heartbeat", l.beatBody()) }

// post sends a call about the runner itself and reports whether it was acknowledged.
func (l *life) post(call string, body []byte) bool {
	if l.r.isCut() {
		return false
	}
	ctx, cancel := context.WithTimeout(l.ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%s/instances/%s/%s", l.r.machine.ip, controlPort, l.id, call), strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// spec is the part of a task that the stand-in runner reads.
type spec struct {
	work  time.Duration
	cpu   int64
	label string
}

func (s spec) String() string {
	return fmt.Sprintf("work=%d cpu=%d label=%s", s.work.Milliseconds(), s.cpu, s.label)
}

func parseSpec(text string) spec {
	var s spec
	for field := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "work":
			s.work = time.Duration(n) * time.Millisecond
		case "cpu":
			s.cpu = n
		case "label":
			s.label = value
		}
	}
	return s
}
