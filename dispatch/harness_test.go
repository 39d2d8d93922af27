package dispatch

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/job"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/result"
	"github.com/catkinline/catkinline/settings"
	"github.com/catkinline/catkinline/slots"
	"github.com/catkinline/catkinline/wire"
)

// fleet connects schedulers and real slot tables by messages with a fixed latency
// on a simulated clock, so that every run has the same order of events.
type fleet struct {
	t       *testing.T
	now     time.Time
	events  eventHeap
	seq     int
	latency time.Duration
	entries []*fakeEntry
	agents  []*fakeAgent
	starts  map[wire.TaskID]int // number of starts by task identity
	counts  map[string]int64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

type fakeEntry struct {
	name string
	s    *Scheduler
	jobs uint64
}

// fakeAgent is a slot table whose tasks end after the run time in their payload.
type fakeAgent struct {
	f            *fleet
	name         string
	incarnation  wire.Incarnation
	table        *slots.Table
	down         bool
	failTasks    bool // every task fails immediately
	dropStarts   bool // starts are lost in transit
	domain       string
	region       string
	refuseTasks  bool // the target refuses every task without running it
	links        map[string]*fakeLink
	tasksStarted int // number of started tasks
}

// fakeLink is the scheduler's side of a link.
type fakeLink struct {
	a      *fakeAgent
	e      *fakeEntry
	closed bool
}

func (l *fakeLink) Send(m wire.Message) error {
	l.a.f.after(l.a.f.latency, func() {
		if !l.closed && !l.a.down {
			l.a.handle(l, m)
		}
	})
	return nil
}

// Add, RecordDuration and RecordRatio implement Recorder.
func (f *fleet) Add(name string, n int64, _ ...string)                    { f.counts[name] += n }
func (f *fleet) RecordDuration(name string, _ time.Duration, _ ...string) { f.counts[name]++ }
func (f *fleet) RecordRatio(name string, _ float64, _ ...string)          { f.counts[name]++ }

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, run})
}

// advance moves the clock forward by d and runs every event that is due by then.
func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

const testDocument = `{
	"services": {"frames": {
		"non_idempotent": true,
		"rules": [{"requests": "kind=panorama", "targets": "gpu=yes"}],
	}},
	"workspaces": {"a": {}, "b": {}, "c": {}, "capped": {"quota_slots": 2}},
}`

func compileRules(t *testing.T, revision uint64, document string) *config.Snapshot {
	t.Helper()
	parsed, errs := config.Parse([]byte(document))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	body, err := json.Marshal(parsed)
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.Compile(revision, body)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newFleet returns a fleet whose agents are linked to every entry and announced.
func newFleet(t *testing.T, entries, agents, slotsEach int, policy settings.Policy) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_800_000_000, 0), latency: time.Millisecond,
		starts: make(map[wire.TaskID]int), counts: make(map[string]int64),
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i, policy))
	}
	for i := range agents {
		f.agents = append(f.agents, f.newAgent(i, slotsEach, policy))
	}
	f.after(TickInterval, f.tick)
	for _, a := range f.agents {
		for _, e := range f.entries {
			a.connect(e)
		}
	}
	f.advance(100 * time.Millisecond)
	return f
}

func (f *fleet) newEntry(i int, policy settings.Policy) *fakeEntry {
	e := &fakeEntry{name: fmt.Sprintf("entry-%d", i)}
	e.s = New(Options{
		Service: "frames", Incarnation: wire.Incarnation(100 + i), FailureDomain: "saimaa", Region: "fi",
		Policy: policy, Random: rand.New(rand.NewPCG(1, uint64(i))), Recorder: f,
		NextJobSeq: func() uint64 { e.jobs++; return e.jobs },
	})
	e.s.SetConfig(compileRules(f.t, 5, testDocument), f.now)
	return e
}

func (f *fleet) newAgent(i, n int, policy settings.Policy) *fakeAgent {
	a := &fakeAgent{f: f, name: fmt.Sprintf("target-%d", i), incarnation: wire.Incarnation(1000 + i), links: make(map[string]*fakeLink), domain: "saimaa", region: "fi"}
	a.table = slots.New(a.incarnation, slots.Options{Slots: n, Policy: policy})
	return a
}

func (f *fleet) tick() {
	for _, e := range f.entries {
		e.s.Tick(f.now)
	}
	for _, a := range f.agents {
		if a.down {
			continue
		}
		for name := range a.links {
			a.table.Heartbeat(name, f.now)
		}
		a.table.Expire(f.now)
		a.flush()
	}
	f.after(TickInterval, f.tick)
}

func (a *fakeAgent) connect(e *fakeEntry) {
	l := &fakeLink{a: a, e: e}
	a.links[e.name] = l
	a.table.EntryConnected(e.name, e.s.opts.Incarnation, a.f.now)
	e.s.LinkUp(a.name, a.incarnation, l, a.f.now)
	e.s.HandleAnnounce(a.name, l, &wire.Announce{
		Target: a.name, Service: "frames", FailureDomain: a.domain, Region: a.region, Slots: 8,
	}, a.f.now)
	a.flush()
}

func (a *fakeAgent) disconnect(e *fakeEntry) {
	l := a.links[e.name]
	l.closed = true
	delete(a.links, e.name)
	a.table.EntryDisconnected(e.name, a.f.now)
	e.s.LinkDown(a.name, l, a.f.now)
}

func (a *fakeAgent) send(l *fakeLink, deliver func(now time.Time)) {
	a.f.after(a.f.latency, func() {
		if !l.closed {
			deliver(a.f.now)
		}
	})
}

// flush sends the revocations and grants of the table.
func (a *fakeAgent) flush() {
	for _, r := range a.table.Revocations(a.f.now) {
		l, m := a.links[r.Entry], r.Revoke
		a.send(l, func(now time.Time) { l.e.s.HandleRevoke(a.name, l, &m, now) })
	}
	a.grant("", nil)

}

// grant sends the grants that are due. A grant to the named entry is attached to
// the outcome o.
func (a *fakeAgent) grant(name string, o *wire.Outcome) {
	for _, g := range a.table.Allocate(a.f.now) {
		l, m := a.links[g.Entry], g.Grant
		if g.Entry == name && o.Grant == nil {
			o.Grant = &m
			continue
		}
		a.send(l, func(now time.Time) { l.e.s.HandleGrant(a.name, l, &m, now) })
	}
}

func (a *fakeAgent) outcome(l *fakeLink, o wire.Outcome) {
	a.send(l, func(now time.Time) { l.e.s.HandleOutcome(a.name, l, &o, now) })
}

func (a *fakeAgent) handle(l *fakeLink, m wire.Message) {
	now, name := a.f.now, l.e.name
	switch m := m.(type) {
	case *wire.Demand:
		a.table.SetDemand(name, *m, now)
	case *wire.Return:
		a.table.Return(name, *m, now)
	case *wire.Ack:
		a.table.Ack(name, m, now)
	case *wire.Start:
		a.start(l, m)
	case *wire.Query:
		for _, o := range a.table.Query(name, m, now) {
			a.outcome(l, o)
		}
	}
	a.flush()
}

func (a *fakeAgent) start(l *fakeLink, m *wire.Start) {
	if a.dropStarts {
		return
	}
	a.table.Ack(l.e.name, &wire.Ack{Tasks: m.Acks}, a.f.now)
	if ok, refusal := a.table.Start(l.e.name, m, a.f.now, a.f.now); !ok {
		a.outcome(l, refusal)
		return
	}
	if a.refuseTasks {
		o := wire.Outcome{Task: m.Task, State: wire.StateRefused, Code: result.TargetRefused}
		a.table.Finish(m.Task, o, a.f.now)
		a.outcome(l, o)
		return
	}
	a.f.starts[m.Task.Identity()]++
	a.tasksStarted++
	run, _ := time.ParseDuration(string(m.Payload))
	state := wire.StateDone
	if a.failTasks {
		run, state = 0, wire.StateFailed
	}
	a.f.after(run, func() {
		if a.down {
			return
		}
		o := wire.Outcome{Task: m.Task, State: state, RunTime: run, Result: []byte(m.Task.String())}
		a.table.Finish(m.Task, o, a.f.now)
		a.grant(l.e.name, &o)
		if current := a.links[l.e.name]; current != nil {
			a.outcome(current, o)
		}
		a.flush()
	})
}

// spec returns a job of n tasks with the given run time.
func spec(n int, run time.Duration) *job.Spec {
	s := &job.Spec{Key: "k", Workspace: "a", Deadline: time.Minute, Idempotent: true}
	for range n {
		s.Tasks = append(s.Tasks, job.Task{Payload: []byte(run.String()), RunTime: run})
	}
	return s
}

func withLabel(s *job.Spec, key, value string) *job.Spec {
	s.Labels = label.Set{key: value}
	return s
}

func (f *fleet) submit(entry int, s *job.Spec) *Ticket {
	f.t.Helper()
	ticket, refusal := f.entries[entry].s.Submit(s, false, f.now)
	if refusal != nil {
		f.t.Fatalf("Submit refused the job: %v", refusal)
	}
	return ticket
}

// pollAnswer returns the answer if there is one, without waiting.
func pollAnswer(t *Ticket) (job.Answer, bool) {
	select {
	case a := <-t.Done():
		return a, true
	default:
		return job.Answer{}, false
	}
}

// checkStarts fails the test if a task started twice, or if a scheduler's count of
// unused slots differs from the sum over its targets.
func (f *fleet) checkStarts() {
	f.t.Helper()
	for _, e := range f.entries {
		sum := 0
		for _, t := range e.s.sortedTargets {
			sum += t.grantedSlots(wire.ClassShort)
		}
		if sum != e.s.totalGrantedSlots {
			f.t.Errorf("scheduler of %s counts %d unused slots, its targets have %d", e.name, e.s.totalGrantedSlots, sum)
		}
	}
	for id, n := range f.starts {
		if n > 1 {
			f.t.Errorf("task %s started %d times", id, n)
		}
	}
}

func taskID(j wire.JobID, index int) wire.TaskID {
	return wire.TaskID{Job: j, Index: uint32(index)}
}
