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
	// refreshInterval limits how often completed tasks are applied: each time looks at all records.
	refreshInterval = 50 * time.Millisecond
	// maxRecords bounds the memory of a history.
	maxRecords = 512
	// recentStart is how much longer than the youngest suspect of a crash a run may have been on
	// the target to count as started shortly before. Crashes are detected within some 50 ms.
	recentStart = 50 * time.Millisecond
	// guiltyCrashes is the number of crashes after which a task is the cause, if it was alone on one
	// of the targets, or is the only suspect left of that many. A crash without a cause among the
	// runs leaves one suspect in the end too.
	guiltyCrashes = 2
	// maxCrashes is the number of crashes after which a task is given up although it always had
	// company. Two more crashes are permitted after three.
	maxCrashes = 4
	// alertTTL is how long first crashes are taken seriously after a task was on two targets that
	// crashed. Without an alert most crashes have a cause outside of the runs.
	alertTTL = 10 * time.Second
	// blamedCrashes is the number of crashes under nothing but young runs of one route from which
	// on it is blamed during an alert, before the cause of any crash is known.
	blamedCrashes = 2
	// blameTTL is how long after its last crash a route is blamed: a little longer than targets
	// take to come back.
	blameTTL = 4 * time.Second
)

// Verdict is what the crashes say about a task, from harmless to certain.
type Verdict uint8

// Verdicts.
const (
	// Clear: no reason to treat the task differently.
	Clear Verdict = iota
	// Suspected: a cause of a crash, like others; the task should run where a crash harms nobody.
	Suspected
	// PrimeSuspect: the only suspect of one of its crashes.
	PrimeSuspect
	// Guilty: the task crashes its targets and should not start again.
	Guilty
)

var verdictNames = [...]string{"clear", "suspected", "prime_suspect", "guilty"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictNames[v] }

// History is the crashes of the last minute that a process knows of. Processes exchange their
// records, since a job may continue at another process than the one that saw its crashes.
type History struct {
	records []*Record // in the order in which they were added
	cleared map[workload.TaskID]time.Time
	tasks   map[workload.TaskID]*involvement
	alertAt time.Time // the last crash under a task that had been on a crashed target before
	last    time.Time // the last known crash
	changed bool      // a task was cleared since the last update
	updated time.Time
	routes  map[string]*routeCrashes
}

// routeCrashes is what the crashes say about a route.
type routeCrashes struct {
	guiltyJobs map[string]bool // jobs with a guilty task
	// only is the number of crashes, under different tasks, of targets on which nothing but runs of
	// the route had just started.
	only int
	// unexplained says that a run of the route had just started on a target whose crash no guilty
	// task explains.
	unexplained bool
	last        time.Time // the last crash that runs of the route have most likely caused
}

// involvement is what the crashes say about a task.
type involvement struct {
	crashes int  // targets that crashed under it
	sole    int  // of them, those of which no other job is suspected any more
	alone   bool // no other job was on one of the targets
	recent  bool // it had started shortly before one of them
	route   string
	last    time.Time // its last crash
}

func (k *involvement) guilty() bool {
	return k.crashes >= guiltyCrashes && k.alone || k.sole >= guiltyCrashes || k.crashes >= maxCrashes
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{tasks: make(map[workload.TaskID]*involvement), cleared: make(map[workload.TaskID]time.Time), routes: make(map[string]*routeCrashes)}
}

// Add adds a record and reports whether it says anything new.
func (h *History) Add(r Record, now time.Time) bool {
	if now.Sub(r.At) > recordTTL {
		return false
	}
	if r.At.After(now) {
		r.At = now // the clock was set back since the record was saved
	}
	if at := slices.IndexFunc(h.records, func(o *Record) bool { return o.id() == r.id() }); at >= 0 {
		if !h.records[at].merge(r) {
			return false
		}
	} else {
		r.Suspects = slices.Clone(r.Suspects)
		h.records = append(h.records, &r)
	}
	h.update()
	return true
}

// Done records that a run of a task has completed, so that the task caused no crash. What follows
// for other tasks is worked out by Refresh.
func (h *History) Done(task workload.TaskID, now time.Time) {
	if h.tasks[task] == nil {
		return
	}
	h.cleared[task] = now
	delete(h.tasks, task)
	h.changed = true
}

// Refresh applies completed tasks to the verdicts on others, at most once in refreshInterval, and
// forgets the records that are too old. It reports whether verdicts may have become graver.
func (h *History) Refresh(now time.Time) bool {
	h.expire(now)
	if !h.changed || now.Sub(h.updated) < refreshInterval {
		return false
	}
	h.updated = now
	h.update()
	return true
}

func (h *History) expire(now time.Time) {
	old := func(r *Record) bool { return now.Sub(r.At) > recordTTL }
	if len(h.records) <= maxRecords && !slices.ContainsFunc(h.records, old) {
		return
	}
	h.records = slices.DeleteFunc(h.records, old)
	if extra := len(h.records) - maxRecords; extra > 0 {
		h.records = slices.Delete(h.records, 0, extra)
	}
	for task, at := range h.cleared {
		if now.Sub(at) > recordTTL {
			delete(h.cleared, task)
		}
	}
	h.update()
}

// update derives the involvement of the tasks from the records.
func (h *History) update() {
	h.changed = false
	clear(h.tasks)
	h.alertAt, h.last = time.Time{}, time.Time{}
	for _, r := range h.records {
		if r.At.After(h.last) {
			h.last = r.At
		}
		suspects := h.remaining(r)
		youngest, jobs := Summarize(suspects)
		for _, s := range suspects {
			k := h.tasks[s.Task]
			if k == nil {
				k = &involvement{route: s.Route}
				h.tasks[s.Task] = k
			}
			k.crashes++
			if r.At.After(k.last) {
				k.last = r.At
			}
			if jobs == 1 && !r.Partial {
				k.sole++
				k.alone = k.alone || len(suspects) == len(r.Suspects)
			}
			k.recent = k.recent || s.RunTime <= youngest.RunTime+recentStart
			if k.crashes >= guiltyCrashes && r.At.After(h.alertAt) {
				h.alertAt = r.At
			}
		}
	}
	h.updateRoutes()
}

func (h *History) updateRoutes() {
	clear(h.routes)
	for task, k := range h.tasks {
		if k.guilty() && h.current(k.last) {
			h.route(k.route).guiltyJobs[task.Job] = true
		}
	}
	counted := make(map[workload.TaskID]bool)
	for _, r := range h.records {
		if !h.current(r.At) {
			continue
		}
		started, only := h.recentOfOneRoute(r)
		if !only || slices.ContainsFunc(started, func(s Suspect) bool { return counted[s.Task] }) {
			continue // the same task may have caused both
		}
		h.route(started[0].Route).only++
		for _, s := range started {
			counted[s.Task] = true
		}
	}
	for _, r := range h.records {
		if h.current(r.At) {
			h.updateRoutesFrom(r)
		}
	}
}

// current reports whether a crash belongs to the same series as the last one. A route that had
// deadly jobs a while ago is not the cause of what crashes targets now.
func (h *History) current(at time.Time) bool { return h.last.Sub(at) < alertTTL }

func (h *History) route(name string) *routeCrashes {
	if h.routes[name] == nil {
		h.routes[name] = &routeCrashes{guiltyJobs: make(map[string]bool)}
	}
	return h.routes[name]
}

// recent returns the suspects of a crash that had just started.
func recent(suspects []Suspect) []Suspect {
	youngest, _ := Summarize(suspects)
	return slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool { return s.RunTime > youngest.RunTime+recentStart })
}

// recentOfOneRoute returns the runs that had just started on a crashed target, and whether all of
// them are of one route.
func (h *History) recentOfOneRoute(r *Record) (started []Suspect, only bool) {
	started = recent(h.remaining(r))
	other := func(s Suspect) bool { return s.Route != started[0].Route }
	return started, len(started) > 0 && !r.Partial && !slices.ContainsFunc(started, other)
}

// updateRoutesFrom adds a crash to those of the routes with a guilty task that had just started
// a run on the target.
func (h *History) updateRoutesFrom(r *Record) {
	suspects := h.remaining(r)
	explained := slices.ContainsFunc(suspects, func(s Suspect) bool { return h.tasks[s.Task].guilty() })
	for _, s := range recent(suspects) {
		route := h.routes[s.Route]
		if route == nil || explained && !h.tasks[s.Task].guilty() {
			continue
		}
		route.unexplained = route.unexplained || !explained
		if r.At.After(route.last) {
			route.last = r.At
		}
	}
}

// remaining returns the suspects of a crash that have not completed since.
func (h *History) remaining(r *Record) []Suspect {
	var left []Suspect
	for _, s := range r.Suspects {
		if _, ok := h.cleared[s.Task]; !ok {
			left = append(left, s)
		}
	}
	return left
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

// Crashes returns the number of targets that crashed under a task that has not completed since.
func (h *History) Crashes(task workload.TaskID) int {
	if k := h.tasks[task]; k != nil {
		return k.crashes
	}
	return 0
}

// Empty reports whether no crash is known.
func (h *History) Empty() bool { return len(h.records) == 0 }

// LastCrash returns the time of the last known crash.
func (h *History) LastCrash() time.Time { return h.last }

// Unexplained reports whether targets have just crashed and no route is blamed for it.
func (h *History) Unexplained(now time.Time) bool {
	return h.Alert(now) && now.Sub(h.last) < blameTTL && len(h.BlamedRoutes(now)) == 0
}

// Alert reports whether a task that crashes its targets is likely to be around.
func (h *History) Alert(now time.Time) bool {
	return !h.alertAt.IsZero() && now.Sub(h.alertAt) < alertTTL
}

// Verdict returns what the crashes say about a task. Without an alert a first crash says
// nothing: harmless tasks have to start again at once. While a route is blamed, it says nothing
// about tasks of others.
func (h *History) Verdict(task workload.TaskID, now time.Time) Verdict {
	k := h.tasks[task]
	switch {
	case k == nil:
		return Clear
	case k.guilty():
		return Guilty
	case k.crashes >= guiltyCrashes && k.sole > 0:
		return PrimeSuspect
	case k.crashes >= guiltyCrashes:
		return Suspected
	case !h.Alert(now):
		return Clear
	case len(h.BlamedRoutes(now)) > 0 && !h.Blamed(k.route, now):
		return Clear
	case k.sole > 0:
		return PrimeSuspect
	case k.recent:
		return Suspected
	}
	return Clear
}

// Blamed reports whether jobs of a route crash targets again and again, so that the targets of
// other routes should be kept from them. One deadly job says nothing about the others: there is
// a second one, or a further crash that one of them has most likely caused. While nobody is
// guilty yet, two crashes under young runs of one route alone are enough.
func (h *History) Blamed(route string, now time.Time) bool {
	r := h.routes[route]
	if r == nil || now.Sub(r.last) >= blameTTL {
		return false
	}
	return len(r.guiltyJobs) > 1 || len(r.guiltyJobs) == 1 && r.unexplained || r.only >= blamedCrashes && h.Alert(now)
}

// BlamedRoutes returns the names of the blamed routes.
func (h *History) BlamedRoutes(now time.Time) []string {
	var names []string
	for name := range h.routes {
		if h.Blamed(name, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
