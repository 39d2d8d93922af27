// Package estimate learns how long the tasks of one service run, by key, and
// where the boundary between short and long work lies.
//
// All statistics are of the logarithm of run times: run times span four orders
// of magnitude, and one straggler must not move a mean by itself. Only tasks that
// were done are observed; a task that fails says nothing about its run time.
package estimate

import (
	"container/list"
	"math"
	"strconv"
	"time"

	"github.com/catkinline/catkinline/internal/options"
	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/wire"
)

// Options set the estimator. Zero fields take the defaults.
type Options struct {
	MaxKeys     int           // keys kept, the least recently used goes first; default 4096
	HalfLife    time.Duration // after which an observation counts half; default 10 min
	MinBoundary time.Duration // lower bound of the boundary between short and long; default 1.5 s
	MaxBoundary time.Duration // upper bound; default 8 s
	UseDeclared bool          // baseline: use declared run times as they are
}

func (o Options) withDefaults() Options {
	options.Default(&o.MaxKeys, 4096) // about 1 MB
	options.Default(&o.HalfLife, 10*time.Minute)
	options.Default(&o.MinBoundary, 1500*time.Millisecond) // above the usual 50 ms to 1 s
	options.Default(&o.MaxBoundary, 8*time.Second)         // below the rare tasks of 10 to 30 s
	return o
}

const (
	// defaultRunTime is expected where nothing is known: the geometric middle of
	// the usual range of 50 ms to 1 s, rounded up.
	defaultRunTime = 300 * time.Millisecond
	minRunTime     = time.Millisecond
	maxRunTime     = time.Hour
	// priorWeight is the number of observations that a key needs to count as
	// much as the service's average.
	priorWeight = 3
	// minConfidentWeight is the number of recent observations from which an
	// estimate may be a reason to refuse a job.
	minConfidentWeight = 8
	// maxMeanVariance bounds the variance of the logarithm in the step from the
	// median to the mean, a factor of e at most.
	maxMeanVariance = 2
)

// Key returns the key of tasks with a canonical label text and a declared size.
// Sizes share a bucket within a factor of four; zero is a bucket of its own.
func Key(labels string, sizeBytes int64) string {
	if sizeBytes <= 0 {
		return labels
	}
	bucket := int(math.Log2(float64(sizeBytes)) / 2)
	return labels + "#" + strconv.Itoa(bucket)
}

// KeyOf is Key for a label set.
func KeyOf(set label.Set, sizeBytes int64) string { return Key(set.Key(), sizeBytes) }

// Estimate is what is known about a task before it runs.
type Estimate struct {
	Expected  time.Duration // mean
	P95       time.Duration // 95th percentile
	Class     wire.Class
	Samples   float64 // recent observations of the key, decayed
	Confident bool    // enough observations to refuse a job for
}

// Estimator holds the statistics of one service. It is not safe for concurrent
// use.
type Estimator struct {
	options   Options
	service   *runTimeStats
	keys      map[string]*list.Element // of *series
	lru       *list.List               // front: most recently used
	histogram *histogram
}

// New returns an estimator that knows nothing.
func New(o Options) *Estimator {
	o = o.withDefaults()
	return &Estimator{
		options:   o,
		service:   &runTimeStats{},
		keys:      map[string]*list.Element{},
		lru:       list.New(),
		histogram: newHistogram(o),
	}
}

// Keys returns the number of keys kept.
func (e *Estimator) Keys() int { return len(e.keys) }

// Boundary returns the run time from which a task is long.
func (e *Estimator) Boundary() time.Duration { return e.histogram.boundary }

// LongShare returns the share of recent slot time that was used by tasks that
// ran at least as long as the boundary; 0 before any observation.
func (e *Estimator) LongShare() float64 { return e.histogram.longShare() }

// ExpectedRunTime returns the mean run time of a task. Declared is the caller's hint;
// zero means none.
func (e *Estimator) ExpectedRunTime(key string, declared time.Duration) time.Duration {
	return e.Estimate(key, declared).Expected
}

// Class returns the class that a task is expected to have.
func (e *Estimator) Class(key string, declared time.Duration) wire.Class {
	return e.Estimate(key, declared).Class
}

// Estimate returns all that is known about a task.
func (e *Estimator) Estimate(key string, declared time.Duration) Estimate {
	if e.options.UseDeclared {
		return e.declaredEstimate(declared)
	}
	predicted := e.service.refine(prior(), declared)
	samples := 0.0
	if s := e.lookup(key); s != nil {
		predicted = s.refine(predicted, declared)
		samples = s.all.weight
	}
	mu := predicted.predictLog(declared)
	variance := min(predicted.variance, maxMeanVariance)
	out := Estimate{
		Expected:  fromLog(mu + variance/2),
		P95:       fromLog(mu + 1.645*math.Sqrt(predicted.variance)),
		Samples:   samples,
		Confident: samples >= minConfidentWeight,
	}
	out.Class = e.classOf(out.Expected)
	return out
}

func (e *Estimator) declaredEstimate(d time.Duration) Estimate {
	if d <= 0 {
		d = defaultRunTime
	}
	return Estimate{Expected: d, P95: d, Class: e.classOf(d), Confident: true}
}

func (e *Estimator) classOf(d time.Duration) wire.Class {
	if d >= e.histogram.boundary {
		return wire.ClassLong
	}
	return wire.ClassShort
}

// Observe takes in the run time of a task that was done.
func (e *Estimator) Observe(key string, declared, actual time.Duration, now time.Time) {
	e.observeRunTime(key, declared, actual, now)
	e.histogram.add(actual, now)
}

// ObserveOverrun takes in a task that still runs, once per task, when HasOverrun
// first holds. Without it, further jobs with the same key would be taken for
// short until the first such task ends. The expected run time of a task with a
// heavy-tailed run time is about twice what has passed.
func (e *Estimator) ObserveOverrun(key string, declared, elapsed time.Duration, now time.Time) {
	e.observeRunTime(key, declared, 2*elapsed, now)
}

func (e *Estimator) observeRunTime(key string, declared, actual time.Duration, now time.Time) {
	e.service.observe(declared, actual, now, e.options.HalfLife)
	s := e.lookup(key)
	if s == nil {
		s = e.insert(key)
	}
	s.observe(declared, actual, now, e.options.HalfLife)
}

// earlyOverrunDeviations is the number of standard deviations above the expected run time
// beyond which a task is taken for long before it reaches the boundary.
const earlyOverrunDeviations = 3

// HasOverrun reports whether a running task must be long: it has reached the
// boundary, or half of it and far more than tasks of a well-known key take. Its
// waiting siblings are then to be taken for long as well.
func (e *Estimator) HasOverrun(key string, declared, elapsed time.Duration) bool {
	if elapsed >= e.histogram.boundary {
		return true
	}
	s := e.lookup(key)
	if e.options.UseDeclared || s == nil || s.all.weight < minConfidentWeight || elapsed < e.histogram.boundary/2 {
		return false
	}
	predicted := s.refine(e.service.refine(prior(), declared), declared)
	return elapsed > fromLog(predicted.predictLog(declared)+earlyOverrunDeviations*math.Sqrt(predicted.variance))
}

// RemainingTime returns the time that a running task is expected to need further. A
// task past its expectation needs about as long as it has run.
func RemainingTime(expected, elapsed time.Duration) time.Duration {
	if elapsed < expected {
		return max(expected-elapsed, minRunTime)
	}
	return elapsed
}

func (e *Estimator) lookup(key string) *runTimeStats {
	el, ok := e.keys[key]
	if !ok {
		return nil
	}
	e.lru.MoveToFront(el)
	return el.Value.(*runTimeStats)
}

func (e *Estimator) insert(key string) *runTimeStats {
	if len(e.keys) >= e.options.MaxKeys {
		oldest := e.lru.Back()
		delete(e.keys, oldest.Value.(*runTimeStats).key)
		e.lru.Remove(oldest)
	}
	s := &runTimeStats{key: key}
	e.keys[key] = e.lru.PushFront(s)
	return s
}

func toLog(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

func fromLog(l float64) time.Duration {
	d := time.Duration(math.Exp(min(l, 10)) * float64(time.Second))
	return min(max(d, minRunTime), maxRunTime)
}
