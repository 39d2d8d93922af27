package placement_test

import (
	"slices"
	"strings"
	"time"

	"github.com/catkinline/catkinline/crash"
	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// The users' targets crash within milliseconds and are back after 3 to 3.4 s; agents notice a
// crash within some 20 ms.
const (
	crashDelay       = 25 * time.Millisecond // from the start of a task to the crash
	crashDetection   = 20 * time.Millisecond
	crashRestartTime = 3200 * time.Millisecond
)

// crashAfterStart crashes the target a moment after a run has started, if that still runs.
func (h *simHost) crashAfterStart(id workload.RunID) {
	r := h.running[id]
	h.f.after(crashDelay, func() {
		if !r.ended {
			h.f.crashes[id.Task]++
			h.crash()
		}
	})
}

// crash ends the target's process and all of its runs; the next process starts after
// crashRestartTime.
func (h *simHost) crash() {
	for _, r := range h.running {
		r.ended = true
	}
	h.down = true
	h.f.after(crashDetection, h.reportCrash)
	h.f.after(crashRestartTime, func() {
		h.down = false
		h.born++
		h.broadcastState()
	})
}

func (h *simHost) reportCrash() {
	var ids []workload.RunID
	for id := range h.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b workload.RunID) int { return strings.Compare(a.String(), b.String()) })
	record := crash.Record{Target: h.name, Born: h.born, At: h.f.now}
	for _, id := range ids {
		r := h.running[id]
		record.Suspects = append(record.Suspects, crash.Suspect{Task: id.Task, Route: r.route, RunTime: h.f.now.Sub(r.started)})
	}
	for _, l := range h.links {
		l.toEntry(func(now time.Time) { l.entry.s.HandleCrash(record, now) })
	}
	for _, id := range ids {
		r := h.running[id]
		delete(h.running, id)
		h.table.Remove(id)
		h.wastedTime += h.f.now.Sub(r.started)
		h.report(r.link, &wire.RunEnd{Run: id, Status: wire.EndCrashed})
	}
	h.broadcastState()
}

func (h *simHost) broadcastState() {
	for _, l := range h.links {
		state := h.state(l)
		l.toEntry(func(now time.Time) { l.entry.s.HandleState(h.name, l, state, now) })
	}
}

// mostCrashes returns the highest number of targets that crashed under one task, and the number
// of all crashes.
func (f *simFleet) mostCrashes() (most, total int) {
	for _, n := range f.crashes {
		most = max(most, n)
		total += n
	}
	return most, total
}

// failedHarmless returns the number of jobs without a crashing task that were answered as failed.
func (f *simFleet) failedHarmless() int {
	n := 0
	for _, s := range f.served {
		if s.value > 0 && s.answer == placement.Failed {
			n++
		}
	}
	return n
}
