// Package overload forecasts when waiting jobs are served while demand is above capacity, and
// decides which of them cannot be answered in useful time. It does no I/O and takes the time as an
// argument.
//
// Work is expected run time times CPU need, in thousandths of core-seconds.
package overload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

const (
	// memory is the time in which the weight of past observations falls to 1/e. It is the shortest
	// time over which a placer with 100 jobs a second sees enough runs, and shorter than the
	// shortest bursts, 3 s.
	memory = time.Second
	// minObservedWork is the work, in thousandths of core-seconds, below which expected and actual
	// run times are not compared: about 20 runs of 50 ms on 3 cores.
	minObservedWork = 3000
	// minYield and maxYield bound the measured ratio of expected to actual run times: callers'
	// estimates are off by a factor of 1.5, and targets' speeds differ by a factor of 2.4.
	minYield, maxYield = 0.25, 4
)

// Supply is the rate at which the targets of one service complete a placer's work. The share that
// other placers take is not in it, since a placer's runs occupy only what the others leave.
type Supply struct {
	inFlight         int64 // CPU of the runs in flight, in thousandths of a core
	capacity         int64 // CPU of the linked targets, in thousandths of a core
	placers          int64 // placers that share the capacity
	expected, actual float64
	flows            map[flowKey]*flow
	agedAt           time.Time
}

// flowKey names jobs of a kind with about the same aging delay: those that can be answered in time,
// or the late ones.
type flowKey struct {
	kind string
	late bool
}

// flow is the recently started work of one kind of job.
type flow struct {
	work  float64
	delay float64 // mean aging delay of its jobs in seconds, weighted by work
}

// NewSupply returns a Supply without observations.
func NewSupply() *Supply { return &Supply{flows: make(map[flowKey]*flow)} }

// SetCapacity sets the CPU of the targets, in thousandths of a core, and the number of placers that share it.
func (s *Supply) SetCapacity(cpu int64, placers int) {
	s.capacity, s.placers = cpu, int64(max(1, placers))
}

// Started records the start of a run of a kind of job, whose key in the queue is the arrival of its
// job plus delay.
func (s *Supply) Started(kind string, late bool, cpu int64, expected, delay time.Duration) {
	s.inFlight += cpu
	key := flowKey{kind, late}
	f := s.flows[key]
	if f == nil {
		f = &flow{}
		s.flows[key] = f
	}
	work := workOf(cpu, expected)
	if f.work += work; f.work > 0 {
		f.delay += (delay.Seconds() - f.delay) * work / f.work
	}
}

// Ended records the end of a run; took is its run time if it is done, or 0.
func (s *Supply) Ended(cpu int64, expected, took time.Duration) {
	s.inFlight -= cpu
	if took > 0 {
		s.expected += workOf(cpu, expected)
		s.actual += workOf(cpu, took)
	}
}

// Age lowers the weight of past observations. It has to be called several times in a second.
func (s *Supply) Age(now time.Time) {
	elapsed := now.Sub(s.agedAt)
	first := s.agedAt.IsZero()
	s.agedAt = now
	if first || elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(memory))
	s.expected *= keep
	s.actual *= keep
	for key, f := range s.flows {
		if f.work *= keep; f.work < 1 {
			delete(s.flows, key)
		}
	}
}

// Rate returns the work completed in a second, or 0 if nothing is in flight. It is at least this placer's share of
// the capacity: when a burst begins, the runs in flight are fewer than the placer will get.
func (s *Supply) Rate() float64 {
	if s.inFlight == 0 {
		return 0
	}
	cpu := s.inFlight
	if s.placers > 0 {
		cpu = max(cpu, s.capacity/s.placers)
	}
	return float64(cpu) * s.yield()
}

// yield returns the recent ratio of expected to actual run times.
func (s *Supply) yield() float64 {
	if s.actual < minObservedWork {
		return 1
	}
	return min(max(s.expected/s.actual, minYield), maxYield)
}

// ShortestWait returns how long a job waits at least, with the work ahead of it in the queue: all of the capacity serves
// this queue, and nothing overtakes the job. Without a known capacity it returns 0.
func (s *Supply) ShortestWait(ahead float64) time.Duration {
	rate := float64(max(s.capacity, s.inFlight)) * max(1, s.yield())
	if s.capacity <= 0 || rate <= 0 {
		return 0
	}
	return seconds(ahead / rate)
}

// horizon is how long the present demand is expected to last. Demand changes within seconds.
const horizon = 4 * time.Second

// overtaker is work that arrives at a rate and goes ahead of a waiting job until a time, in seconds
// from now.
type overtaker struct{ rate, until float64 }

// Wait returns how long a job waits until its first task starts, with the work ahead of it in the
// queue and the work that will arrive and overtake it. delay is the time until the job's key: a job
// of a kind with a shorter aging delay overtakes it if it arrives before the difference. Without a
// known rate it returns 0.
func (s *Supply) Wait(ahead float64, delay time.Duration) time.Duration {
	rate := s.Rate()
	if rate <= 0 {
		return 0
	}
	var space [8]overtaker
	list := space[:0]
	net := -rate // change of the work ahead in a second
	for _, f := range s.flows {
		until := min(delay.Seconds()-f.delay, horizon.Seconds())
		if until <= 0 {
			continue
		}
		o := overtaker{f.work / memory.Seconds(), until}
		list = append(list, o)
		net += o.rate
	}
	slices.SortFunc(list, func(a, b overtaker) int { return cmp.Compare(a.until, b.until) })
	at := 0.0
	for _, o := range list {
		if left := ahead + net*(o.until-at); left <= 0 {
			break
		} else {
			ahead, at = left, o.until
		}
		net -= o.rate
	}
	return seconds(at + ahead/max(-net, rate*minNetShare))
}

// minNetShare bounds the rate that is left to a waiting job from below, so that rates which are
// measured a little off do not make a wait endless.
const minNetShare = 0.2

// Queue has the waiting work of one service by key, as of one moment.
type Queue struct {
	keys  []float64
	until []float64 // work up to and with the key
}

// Reset empties the queue.
func (q *Queue) Reset() { q.keys, q.until = q.keys[:0], q.until[:0] }

// Add appends a job; keys must not decrease.
func (q *Queue) Add(key, work float64) {
	q.until = append(q.until, q.Total()+work)
	q.keys = append(q.keys, key)
}

// Total returns the work of all jobs.
func (q *Queue) Total() float64 {
	if len(q.until) == 0 {
		return 0
	}
	return q.until[len(q.until)-1]
}

// Ahead returns the work of the jobs with smaller keys.
func (q *Queue) Ahead(key float64) float64 {
	at := sort.SearchFloat64s(q.keys, key)
	if at == 0 {
		return 0
	}
	return q.until[at-1]
}

// waitMargin is the share of the expected wait that an arriving job is taken to wait at least: demand
// changes within the wait, and a refused job might have been served when it falls. 0.5 raised the share of
// unserved jobs in bursts on the simulated fleet.
const waitMargin = 0.4

// sunkShare is the share of a job's objective after which a refusal costs its whole value, as callers value it.
const sunkShare = 0.25

// Job has the times of a job of which nothing has run.
type Job struct {
	Arrived   time.Time
	Objective time.Time     // an answer by then is in time
	Useful    time.Time     // when its answer loses its value
	Run       time.Duration // expected time from its first start to its end
}

// InTime reports whether a job may be answered in time after an expected wait.
func (j Job) InTime(now time.Time, wait time.Duration) bool {
	return !j.earliestEnd(now, wait).After(j.Objective)
}

// Hopeless reports whether an arriving job cannot be answered in useful time, even if its wait is
// shorter than expected by the margin.
func (j Job) Hopeless(now time.Time, wait time.Duration) bool {
	return j.earliestEnd(now, wait).After(j.Useful)
}

// CertainlyLate reports whether a job cannot be answered in useful time after its shortest wait. It is false after
// sunkShare of the objective: a refusal costs the whole value then, so that a small chance to be served, when others
// give up, is worth more.
func (j Job) CertainlyLate(now time.Time, shortest time.Duration) bool {
	if now.Sub(j.Arrived).Seconds() > sunkShare*j.Objective.Sub(j.Arrived).Seconds() {
		return false
	}
	return now.Add(shortest + j.Run).After(j.Useful)
}

func (j Job) earliestEnd(now time.Time, wait time.Duration) time.Time {
	return now.Add(time.Duration(waitMargin*float64(wait)) + j.Run)
}

// Bounds of RetryAfter. Demand changes within seconds.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// retryJitter is more than the unit of the answer, a second, so that callers that were refused
	// together do not return together.
	retryJitter = 2 * time.Second
)

// RetryAfter returns after what time a refused job may be submitted again: when the waiting work
// is expected to be done, with jitter.
func RetryAfter(work, rate float64, random *rand.Rand) time.Duration {
	wait := minRetryAfter
	if rate > 0 {
		wait = seconds(min(work/rate, maxRetryAfter.Seconds()))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(random.Float64()*float64(retryJitter))
}

func workOf(cpu int64, d time.Duration) float64 { return float64(cpu) * d.Seconds() }

func seconds(s float64) time.Duration {
	const longest = 3600.0
	return time.Duration(min(s, longest) * float64(time.Second))
}
