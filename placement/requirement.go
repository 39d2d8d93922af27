package placement

import "time"

const (
	// siblingSpread is the factor by which the longest of some tasks takes longer than expected:
	// tasks of one job differ by 15%, and a job is done with its last task.
	siblingSpread = 1.2
	// bestTargetWait is the time that a task may need to get capacity on one of the best targets: a
	// target completes a task every 50 ms, and there are several.
	bestTargetWait = 20 * time.Millisecond
	// lateDetour is how much longer than on the best target a task may take if its answer will be
	// late wherever it runs. Longer runs would take capacity from tasks that can be in time.
	lateDetour = 1.2
	// lastChance is the time before the end of a target's usefulness in which a late task starts
	// there in spite of that: several ticks, as it would be refused otherwise.
	lastChance = 50 * time.Millisecond
	// anyDuration accepts every run.
	anyDuration = time.Duration(1<<63 - 1)
)

// requirement is what a run has to meet for a task to start now. Other targets are left to other
// tasks, and the task waits for a better one.
type requirement struct {
	best    time.Duration // expected run time on the best target of all
	limit   time.Duration // runs that take this long at most are accepted
	lastEnd time.Duration // so are runs that take this long, or up to lastChance less
}

// requirement returns what a run of a step's task has to meet. A task waits for a target on which
// the job meets its objective while there is such a target and time for it. Once the job is late
// anywhere, it waits for a target that is not much slower than the best one, as long as its answer
// is useful; after that it takes any.
func (s *Scheduler) requirement(j *activeJob, step int, kind confinement, now time.Time) requirement {
	left := j.objective.Sub(now)
	if len(j.tasks) > 1 {
		left -= j.criticalPath() - j.expected[step]
	}
	late := (lateFactor - 1) * j.objective.Sub(j.arrived)
	inTime := time.Duration(float64(left) / siblingSpread)
	useful := time.Duration(float64(left+late) / siblingSpread)
	n := requirement{best: s.bestRunTime(j.expected[step], j.request.Route.Service, &j.request.Job.Steps[step])}
	switch {
	case kind != unconfined:
		n.limit = anyDuration // the targets that it may run on are few
	case n.best+bestTargetWait <= inTime:
		n.limit = inTime
	case n.best+bestTargetWait <= useful:
		n.limit, n.lastEnd = time.Duration(lateDetour*float64(n.best)), useful
	default:
		n.limit = anyDuration
	}
	return n
}

// accepts reports whether a run that takes a duration may start now.
func (n requirement) accepts(d time.Duration) bool {
	return d <= n.limit || d <= n.lastEnd && d > n.lastEnd-lastChance
}

// detour returns how much longer than on the best target a run takes, relative to that.
func (n requirement) detour(d time.Duration) float64 {
	if n.best <= 0 {
		return 0
	}
	return float64(d)/float64(n.best) - 1
}
