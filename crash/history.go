package crash

import (
	"slices"
	"time"

	"github.com/catkinline/catkinline/workload"
)

const (
	// recordTTL is how long a crash is remembered. It covers the time in which callers send the
	// same job again.
	recordTTL = time.Minute
	// maxRecords bounds the memory of a history.
	maxRecords = 512
)

// History is the crashes of the last minute that a process knows of. Processes exchange their
// records, since a job may continue at another process than the one that saw its crashes.
type History struct {
	records []*Record // in the order in which they were added
	tasks   map[workload.TaskID]*involvement
}

// involvement is what the crashes say about a task.
type involvement struct {
	crashes int // targets that crashed under it
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{tasks: make(map[workload.TaskID]*involvement)}
}

// Add adds a record and reports whether it says anything new.
func (h *History) Add(r Record, now time.Time) bool {
	if now.Sub(r.At) > recordTTL {
		return false
	}
	if at := slices.IndexFunc(h.records, func(o *Record) bool { return o.id() == r.id() }); at >= 0 {
		if !h.records[at].merge(r) {
			return false
		}
	} else {
		r.Suspects = slices.Clone(r.Suspects)
		h.records = append(h.records, &r)
	}
	h.expire(now)
	h.update()
	return true
}

func (h *History) expire(now time.Time) {
	h.records = slices.DeleteFunc(h.records, func(r *Record) bool { return now.Sub(r.At) > recordTTL })
	if extra := len(h.records) - maxRecords; extra > 0 {
		h.records = slices.Delete(h.records, 0, extra)
	}
}

// update derives the involvement of the tasks from the records.
func (h *History) update() {
	clear(h.tasks)
	for _, r := range h.records {
		for _, s := range r.Suspects {
			k := h.tasks[s.Task]
			if k == nil {
				k = &involvement{}
				h.tasks[s.Task] = k
			}
			k.crashes++
		}
	}
}

// Records returns the records that are not older than a minute.
func (h *History) Records(now time.Time) []Record {
	var records []Record
	for _, r := range h.records {
		if now.Sub(r.At) <= recordTTL {
			copied := *r
			copied.Suspects = slices.Clone(r.Suspects)
			records = append(records, copied)
		}
	}
	return records
}

// Crashes returns the number of targets that crashed under a task.
func (h *History) Crashes(task workload.TaskID) int {
	if k := h.tasks[task]; k != nil {
		return k.crashes
	}
	return 0
}
