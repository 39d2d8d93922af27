package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/runs"
	"github.com/catkinline/catkinline/topology"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// simFleet simulates a deployment in virtual time: entries with their schedulers, agents
// with their run tables, and targets. Messages are delayed by linkDelay.
type simFleet struct {
	now     time.Time
	events  events
	seq     int
	random  *rand.Rand
	entries []*simEntry
	hosts   []*simHost
	served  []served
	kinds   []jobKind
	taskCPU float64 // mean need of a task, in thousandths of a core
	placers []*simEntry
	// crashing has the jobs whose first task crashes each target that starts it.
	crashing map[string]bool
	// crashShare returns the share of such jobs of a kind at a time; nil: none.
	crashShare func(kind int, at time.Duration) float64
	// crashes counts the targets that crashed under each task of crashing.
	crashes            map[workload.TaskID]int
	ejections, stopped int // targets distrusted, runs that ended as stopped
	mix                mix // unequal targets and data racks; zero: none
	// pickEntry returns the entry that a caller uses; nil: a random one.
	pickEntry func() *simEntry
	// messages counts the agents' reports of free capacity other than with ends of runs.
	messages int
	declined int // jobs that a placer declined so that another one was asked
}

// event is a function to be called at a time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *simFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
}

// run executes events until the duration has passed.
func (f *simFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

type simEntry struct {
	f       *simFleet
	s       *placement.Scheduler
	n       int
	pending map[string]pending
	waiting map[*simEntry]int64 // waiting work of the placers, as their last answers said
	turn    int                 // jobs forwarded to placers
}

// simHost is an agent with its target.
type simHost struct {
	f           *simFleet
	name        string
	incarnation wire.Incarnation
	table       *runs.Table
	offers      runs.Offers
	links       []*simLink
	speed       float64
	slow        float64 // multiplier of run times
	failing     bool
	hanging     bool
	unreachable bool // the agent drops all messages
	running     map[workload.RunID]*simRun
	rejected    int
	started     int
	runTime     time.Duration
	cpuTime     float64 // thousandths of core-seconds
	wastedTime  time.Duration
	typicalNeed workload.Resources
	born        int64 // number of the target's process
	down        bool  // its process has crashed
	cpu         int64 // capacity, thousandths of a core
	rack        string
	freeSince   time.Time         // when it last became free for a task of the largest need
	told        *wire.TargetSpeed // the speed that an entry told last
}

type simRun struct {
	cpu     int64
	route   string
	link    *simLink
	started time.Time
	ended   bool
}

// simLink is the link between an agent and an entry. Send is the entry's side.
type simLink struct {
	host           *simHost
	entry          *simEntry
	startsReceived uint64
	lastSent       wire.Room
	down           bool
}

// Send implements placement.Sender.
func (l *simLink) Send(m wire.Message) error {
	if l.down || l.host.unreachable {
		return nil
	}
	l.host.f.after(linkDelay, func() { l.host.receive(l, m) })
	return nil
}

func (l *simLink) toEntry(do func(now time.Time)) {
	if l.down || l.host.unreachable {
		return
	}
	l.host.f.after(linkDelay, func() { do(l.host.f.now) })
}

func newFleet(seed uint64, entries, hosts int) *simFleet {
	rules := topology.Rules{}
	f := &simFleet{now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 7)), kinds: userKinds(), taskCPU: meanTaskCPU, crashing: map[string]bool{}, crashes: map[workload.TaskID]int{}}
	for i := range entries {
		e := &simEntry{f: f, n: i, pending: make(map[string]pending), waiting: make(map[*simEntry]int64)}
		e.s = placement.New(placement.Options{
			FailureDomain: fmt.Sprint("d", i%3),
			Random:        rand.New(rand.NewPCG(seed, uint64(i))),
			Entries:       func() int { return rules.LinksPerTarget(entries) },
			Observer:      e,
		})
		f.entries = append(f.entries, e)
	}
	placers := rules.Placers(f.peers(), nil)
	for _, p := range placers {
		f.placers = append(f.placers, f.entryOf(p))
	}
	speeds := []float64{0.8, 1, 1.25}
	for i := range hosts {
		h := &simHost{f: f, name: fmt.Sprint("agent-", i), incarnation: 1, table: runs.New(), speed: speeds[f.random.IntN(3)], slow: 1, running: map[workload.RunID]*simRun{}, born: 1, cpu: hostCPU}
		h.table.SetCapacity(workload.Resources{CPU: hostCPU, Memory: 131072})
		f.hosts = append(f.hosts, h)
		for _, p := range topology.Subset(h.name, placers, rules.LinksPerTarget(entries)) {
			h.link(f.entryOf(p))
		}
	}
	for _, e := range f.entries {
		f.tick(e)
	}
	return f
}

// peers returns the entries as their processes list each other.
func (f *simFleet) peers() []wire.Peer {
	var peers []wire.Peer
	for _, e := range f.entries {
		peers = append(peers, wire.Peer{Name: fmt.Sprintf("%03d", e.n), FailureDomain: fmt.Sprint("d", e.n%3), CPU: 800})
	}
	return peers
}

func (f *simFleet) entryOf(p wire.Peer) *simEntry {
	n, err := strconv.Atoi(p.Name)
	if err != nil {
		panic(err)
	}
	return f.entries[n]
}

func (f *simFleet) tick(e *simEntry) {
	e.s.Tick(f.now)
	f.after(placement.TickInterval, func() { f.tick(e) })
}

func (h *simHost) link(e *simEntry) {
	l := &simLink{host: h, entry: e}
	h.links = append(h.links, l)
	e.s.LinkUp(h.name, h.incarnation, l)
	e.s.HandleState(h.name, l, h.state(l), h.f.now)
}

func (h *simHost) state(l *simLink) *wire.TargetState {
	l.lastSent = h.room(l)
	return &wire.TargetState{
		Target: h.name, Service: "frames", FailureDomain: fmt.Sprint("d", len(h.f.hosts)%3), Closed: h.down, Born: h.born,
		Capacity: workload.Resources{CPU: h.cpu, Memory: 131072}, Room: l.lastSent, Labels: h.labels(), Speed: h.told,
	}
}

func (l *simLink) owner() runs.Owner {
	return runs.Owner{Name: fmt.Sprint(l.entry.n), Incarnation: 1}
}

func (h *simHost) room(l *simLink) wire.Room {
	aloneOwner, reserved := h.table.AloneOwner()
	if !h.offers.VisibleTo(l.owner()) || reserved && aloneOwner != l.owner() {
		return wire.Room{StartsReceived: l.startsReceived}
	}
	return wire.Room{Free: h.table.Free(), StartsReceived: l.startsReceived}
}

func (h *simHost) receive(l *simLink, m wire.Message) {
	switch m := m.(type) {
	case *wire.RunStart:
		l.startsReceived++
		h.start(l, m)
	case *wire.Backlog:
		h.setBacklog(l, m)
	case *wire.RunStop:
		for _, id := range m.Runs {
			if h.running[id] != nil {
				h.end(l, id, wire.EndStopped)
			}
		}
	}
	h.sendRoom()
}

// freeAfter is how long a target has to be free to count as free: capacity that was just freed is offered and taken
// in four link delays.
const freeAfter = 2 * placement.TickInterval

// recordFree records since when the target has had free capacity for a task of any need.
func (h *simHost) recordFree() {
	largest := int64(h.f.taskCPU * maxTaskCPU / meanTaskCPU)
	if h.down || h.table.Free().CPU < largest {
		h.freeSince = time.Time{}
	} else if h.freeSince.IsZero() {
		h.freeSince = h.f.now
	}
}

// hasRoom reports whether a target has had free capacity for a need for some time.
func (f *simFleet) hasRoom(need workload.Resources) bool {
	for _, h := range f.hosts {
		if !h.freeSince.IsZero() && f.now.Sub(h.freeSince) >= freeAfter && need.FitsIn(h.table.Free()) {
			return true
		}
	}
	return false
}

func (h *simHost) sendRoom() {
	h.recordFree()
	if again := h.offers.Update(h.table.Free(), h.f.now); !again.IsZero() {
		h.f.after(again.Sub(h.f.now), h.sendRoom)
	}
	for _, l := range h.links {
		room := h.room(l)
		if !h.offers.ShouldNotify(l.owner(), l.lastSent.Free, room.Free, h.typicalNeed) {
			continue
		}
		h.f.messages++
		l.lastSent = room
		l.toEntry(func(now time.Time) { l.entry.s.HandleRoom(h.name, l, &room, now) })
	}
}

func (h *simHost) setBacklog(l *simLink, m *wire.Backlog) {
	h.offers.SetBacklog(l.owner(), runs.Backlog{Tasks: int(m.Tasks), Key: h.f.now.Add(m.Urgency), MinNeed: m.MinNeed})
}

func (h *simHost) start(l *simLink, m *wire.RunStart) {
	if m.Backlog != nil {
		h.setBacklog(l, m.Backlog)
	}
	if m.Speed != nil {
		h.told = m.Speed
	}
	if h.down {
		h.report(l, &wire.RunEnd{Run: m.Run, Status: wire.EndNotRun})
		return
	}
	if end := h.table.Admit(runs.Run{ID: m.Run, Need: m.Need, Owner: l.owner(), Route: m.Route, Alone: m.Alone, SentAt: h.f.now}); end != 0 {
		h.rejected++
		h.report(l, &wire.RunEnd{Run: m.Run, Status: end})
		return
	}
	h.typicalNeed = m.Need
	h.recordFree()
	h.started++
	h.running[m.Run] = &simRun{started: h.f.now, cpu: m.Need.CPU, route: m.Route, link: l}
	work, err := time.ParseDuration(m.Spec)
	if err != nil {
		panic(err)
	}
	if h.hanging {
		return
	}
	if h.f.crashing[m.Run.Task.Job] && m.Run.Task.Index == 0 {
		h.crashAfterStart(m.Run)
		return
	}
	end := wire.EndDone
	if h.failing {
		end, work = wire.EndFailed, work/4
	}
	r := h.running[m.Run]
	factor := h.slow / h.speed * h.f.mix.factor(h, m.Run)
	h.f.after(time.Duration(float64(work)*factor), func() {
		if !r.ended {
			h.end(l, m.Run, end)
			h.sendRoom()
		}
	})
}

func (h *simHost) end(l *simLink, id workload.RunID, end wire.EndStatus) {
	r := h.running[id]
	r.ended = true
	delete(h.running, id)
	h.table.Remove(id)
	h.recordFree()
	took := h.f.now.Sub(r.started)
	h.runTime += took
	h.cpuTime += took.Seconds() * float64(r.cpu)
	if end != wire.EndDone {
		h.wastedTime += took
	}
	h.report(l, &wire.RunEnd{Run: id, Status: end, RunTime: took})
}

func (h *simHost) report(l *simLink, m *wire.RunEnd) {
	h.offers.Update(h.table.Free(), h.f.now)
	m.Room = h.room(l)
	l.lastSent = m.Room
	l.toEntry(func(now time.Time) { l.entry.s.HandleRunEnd(h.name, l, m, now) })
}
