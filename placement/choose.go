package placement

import "github.com/catkinline/catkinline/workload"

// Weights of a target's score. The room that is left spreads work over targets,
// so that entries that place at the same time meet less often.
const (
	roomWeight     = 1.0
	domainWeight   = 0.15 // own failure domain
	randomWeight   = 0.25 // keeps entries from choosing alike
	speedWeight    = 1.0  // per unit of relative slowness
	avoidPenalty   = 4.0  // where the task's last run failed
	dataRackWeight = 1.0
)

func (s *Scheduler) choose(j *activeJob, step int, k *task, view []candidate) *candidate {
	spec := &j.request.Job.Steps[step]
	var best *candidate
	bestScore := 0.0
	for i := range view {
		c := &view[i]
		if !spec.Need.FitsIn(c.free) || c.target.state.Service != j.request.Route.Service || !c.target.hasLabel(spec.RequiredLabel) {
			continue
		}
		if spec.MaxPerTarget > 0 && j.runsOn(step, c.target) >= spec.MaxPerTarget {
			continue
		}
		score := s.score(spec, k, c)
		if best == nil || score > bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

func (s *Scheduler) score(spec *workload.Step, k *task, c *candidate) float64 {
	t := c.target
	score := roomWeight * float64(c.free.CPU) / float64(max(1, t.state.Capacity.CPU))
	score += randomWeight * s.opts.Random.Float64()
	score -= speedWeight * (t.health.slowness() - 1)
	if t.state.FailureDomain == s.opts.FailureDomain {
		score += domainWeight
	}
	if spec.DataRack != "" && t.hasLabel(spec.DataRack) {
		score += dataRackWeight
	}
	if k.avoid == t {
		score -= avoidPenalty
	}
	return score
}

// runsOn counts a step's runs on a target.
func (j *activeJob) runsOn(step int, t *target) int {
	n := 0
	for i := range j.tasks[step] {
		if r := j.tasks[step][i].run; r != nil && r.target == t {
			n++
		}
	}
	return n
}
