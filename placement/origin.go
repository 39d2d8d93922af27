package placement

import "time"

// Origin is another entry that received a job from its caller and forwarded it to this one. When it
// dies, its caller sends the job again elsewhere.
type Origin interface {
	SinceAlive() time.Duration // since the entry was last known to be alive
}

// originAges caches how long ago entries were known to be alive, during one pass over jobs.
type originAges map[Origin]time.Duration

// of returns how long ago an entry that waits for a job's answer was known to be alive.
func (a originAges) of(j *activeJob) time.Duration {
	youngest := time.Duration(-1)
	for _, c := range j.callers {
		if c.origin == nil {
			return 0
		}
		age, known := a[c.origin]
		if !known {
			age = c.origin.SinceAlive()
			a[c.origin] = age
		}
		if youngest < 0 || age < youngest {
			youngest = age
		}
	}
	return max(0, youngest)
}

// OriginAge returns how long ago the entries whose jobs have runs at an agent were all known to be
// alive. Runs that the agent was told to stop do not count.
func (s *Scheduler) OriginAge(agent string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[agent]
	if t == nil {
		return 0
	}
	oldest, ages := time.Duration(0), make(originAges)
	for _, r := range t.runs {
		if !r.stopping {
			oldest = max(oldest, ages.of(r.job))
		}
	}
	return oldest
}
