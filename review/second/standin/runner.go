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
)

// Bounds of the site file that the stand-ins keep to.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = time.Second
	maxHoldWait       = 2 * time.Second
	runnerCPU         = 32000 // thousandths of a core
	minLate           = 2 * time.Second
	maxLate           = 12 * time.Second
	slowClock         = 0.98
	runnerMemory      = 131072
)

// runner is a stand-in for a platform's runner, as PROTOCOL.md describes it. It guards its
// capacity. The spec of a task is its run time in milliseconds.
type runner struct {
	id      string
	service string
	address string
	control string // address that its liveness reports go to
	record  *record

	mu        sync.Mutex
	born      time.Time
	fence     uint64
	leaseEnd  time.Time
	runs      map[string]*activeRun
	highest   map[string]int // the highest run of a task that was stopped or has ended
	ended     []endedRun
	lastEnd   uint64
	usedCPU   int64
	changed   chan struct{}
	starts    []startEvent
	sequence  uint64
	server    *http.Server
	cancelled context.CancelFunc

	late     float64       // share of the orders that get no answer and are carried out late
	stopTime time.Duration // from the acknowledgement of a stop to the end of the run
	slow     bool          // the steady clock, which leases are measured on, runs 2% slow
	history  []interval
}

// interval is the time that a run was at work, until its end or the end of its lease.
type interval struct {
	task       string
	run        int
	on         string
	begun, end time.Time
}

type activeRun struct {
	run   int
	begun time.Time
	cpu   int64
	timer *time.Timer
}

type endedRun struct {
	number uint64
	task   string
	run    int
	how    string
}

// startEvent is a task that a runner has begun.
type startEvent struct {
	at   time.Time
	task string
	run  int
	on   string
}

func newRunner(id, service, address, control string, rec *record) *runner {
	return &runner{
		id: id, service: service, address: address, control: control, record: rec, born: time.Now(),
		runs: make(map[string]*activeRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
}

func (r *runner) serve() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Catkinline-Instance-Id", r.id)
	})
	r.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancelled = cancel
	go func() { _ = r.server.Serve(l) }()
	go r.sendReports(ctx)
	go r.watchLease(ctx)
	return nil
}

func (r *runner) close() {
	r.cancelled()
	_ = r.server.Close()
}

// call is the body of any call to a runner.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fence_token"`
	Cursor   uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

type answer struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

func (r *runner) handle(apply func(context.Context, call) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var c call
		if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if named := req.Header.Get("X-Catkinline-Target-Instance"); named != "" && named != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if req.URL.Path != "/hold" && r.isLate() {
			time.AfterFunc(minLate+rand.N(maxLate-minLate), func() { apply(context.Background(), c) })
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, a := apply(req.Context(), c)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(a) // an error means that the caller has gone
	}
}

// isLate reports whether the next order gets no answer and is carried out late.
func (r *runner) isLate() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.late
}

func (r *runner) setLate(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = share
}

// clock returns the runner's steady clock in milliseconds.
func (r *runner) clock() int64 {
	return time.Duration(float64(time.Since(r.born)) * r.clockRate()).Milliseconds()
}

func (r *runner) clockRate() float64 {
	if r.slow {
		return slowClock
	}
	return 1
}

func (r *runner) answer(reason string) answer {
	return answer{Clock: r.clock(), Born: r.born.UnixMilli(), Reason: reason}
}

// checkFence reports whether a call may be carried out, and keeps the highest token.
func (r *runner) checkFence(token uint64) bool {
	if token < r.fence {
		return false
	}
	r.fence = token
	return true
}

func (r *runner) extendLease(deadline int64) {
	end := r.born.Add(time.Duration(float64(deadline) / r.clockRate() * float64(time.Millisecond)))
	if latest := time.Now().Add(time.Duration(float64(maxHold) / r.clockRate())); end.After(latest) {
		end = latest
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

func (r *runner) start(_ context.Context, c call) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.checkFence(c.Fence) {
		return http.StatusConflict, r.answer("fence")
	}
	if c.Deadline < r.clock() {
		return http.StatusConflict, r.answer("late")
	}
	r.extendLease(c.Deadline)
	known := r.runs[c.Task]
	if known != nil && known.run == c.Run {
		return http.StatusOK, r.answer("")
	}
	if known != nil || c.Run <= r.highest[c.Task] {
		return http.StatusConflict, r.answer("old")
	}
	// A task's need stands in its spec, since a start does not name it.
	var work, cpu int64
	if _, err := fmt.Sscanf(c.Spec, "work_ms=%d cpu=%d", &work, &cpu); err != nil {
		return http.StatusBadRequest, r.answer("")
	}
	if r.usedCPU+cpu > runnerCPU {
		return http.StatusConflict, r.answer("room")
	}
	run := &activeRun{run: c.Run, begun: time.Now(), cpu: cpu}
	r.runs[c.Task] = run
	r.usedCPU += cpu
	run.timer = time.AfterFunc(time.Duration(work)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs[c.Task] == run {
			r.end(c.Task, "done")
		}
	})
	r.starts = append(r.starts, startEvent{time.Now(), c.Task, c.Run, r.id})
	r.record.printf("%s begins task %s run %d", r.id, c.Task, c.Run)
	return http.StatusOK, r.answer("")
}

func (r *runner) stop(_ context.Context, c call) (int, answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.checkFence(c.Fence) {
		return http.StatusConflict, r.answer("fence")
	}
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if run := r.runs[c.Task]; run != nil && run.run <= c.Run {
		if r.stopTime == 0 {
			r.end(c.Task, "stopped")
			return http.StatusOK, r.answer("")
		}
		time.AfterFunc(r.stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.runs[c.Task] == run {
				r.end(c.Task, "stopped")
			}
		})
	}
	return http.StatusOK, r.answer("")
}

// end ends a run. It is called with mu held.
func (r *runner) end(task, how string) {
	run := r.runs[task]
	run.timer.Stop()
	delete(r.runs, task)
	r.usedCPU -= run.cpu
	r.highest[task] = max(r.highest[task], run.run)
	ended := time.Now()
	if ended.After(r.leaseEnd) {
		ended = r.leaseEnd
	}
	r.history = append(r.history, interval{task, run.run, r.id, run.begun, ended})
	r.lastEnd++
	r.ended = append(r.ended, endedRun{r.lastEnd, task, run.run, how})
	r.record.printf("%s ends task %s run %d: %s", r.id, task, run.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) hold(ctx context.Context, c call) (int, answer) {
	r.mu.Lock()
	if !r.checkFence(c.Fence) {
		defer r.mu.Unlock()
		return http.StatusConflict, r.answer("fence")
	}
	r.extendLease(c.Deadline)
	for len(r.ended) > 0 && r.ended[0].number <= c.Cursor {
		r.ended = r.ended[1:]
	}
	changed, wait := r.changed, min(time.Duration(c.Wait)*time.Millisecond, maxHoldWait)
	if len(r.ended) == 0 && wait > 0 {
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	a := r.answer("")
	a.Running, a.Ended = [][]any{}, [][]any{}
	for task, run := range r.runs {
		a.Running = append(a.Running, []any{task, run.run, "", 100, run.cpu})
	}
	for _, e := range r.ended {
		a.Ended = append(a.Ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, a
}

// watchLease ends the runs whose lease has expired.
func (r *runner) watchLease(ctx context.Context) {
	for sleep(ctx, 2*time.Millisecond) {
		r.mu.Lock()
		if time.Now().After(r.leaseEnd) {
			for task := range r.runs {
				r.end(task, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// sendReports sends a liveness report each heartbeatInterval, and sooner where one got no answer.
func (r *runner) sendReports(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	rack := "r1-" + strconv.Itoa(len(r.id)%3)
	for {
		r.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": runnerCPU, "mem_mb": runnerMemory, "gpu": 0}, "labels": []string{"a", rack},
			"clock_ms": r.clock(), "sequence": r.sequence, "born": r.born.UnixMilli(),
		}) // plain values always encode
		pause := heartbeatInterval
		response, err := client.Post("http://"+r.control+"/instances/"+r.id+"/heartbeat", "application/json", strings.NewReader(string(body)))
		if err != nil || response.StatusCode/100 != 2 {
			pause = 300 * time.Millisecond
		}
		if err == nil {
			_ = response.Body.Close()
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// startsOf returns the starts of a job's tasks.
func (r *runner) startsOf(job string) []startEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []startEvent
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			starts = append(starts, s)
		}
	}
	return starts
}

// sleep waits for d and returns true, or returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
