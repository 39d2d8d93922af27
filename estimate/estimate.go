// Package estimate predicts the run times of a service's tasks by key from observed
// run times, and finds the boundary between short and long tasks.
//
// All statistics are of the logarithm of run times, because run times span four
// orders of magnitude and a single outlier must not shift a mean. Only tasks with a
// result are observed, since a failed task says nothing about its run time.
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

// Options configure an Estimator. Zero fields take the defaults.
type Options struct {
	MaxKeys     int           // bound on the number of keys, the least recently used is evicted first; default 4096
	HalfLife    time.Duration // time after which the weight of an observation halves; default 10 min
	MinBoundary time.Duration // lower bound of the boundary between short and long tasks; default 1.5 s
	MaxBoundary time.Duration // upper bound of the boundary; default 8 s
	UseDeclared bool          // expect declared run times unchanged; a baseline for comparisons
}

func (o Options) withDefaults() Options {
	options.Default(&o.MaxKeys, 4096) // about 1 MB
	options.Default(&o.HalfLife, 10*time.Minute)
	options.Default(&o.MinBoundary, 1500*time.Millisecond) // above the 50 ms to 1 s of most tasks
	options.Default(&o.MaxBoundary, 8*time.Second)         // below the rare tasks of 10 to 30 s
	return o
}

const (
	// defaultRunTime is expected of a task without any observation: the geometric
	// mean of 50 ms and 1 s, between which most run times are, rounded up.
	defaultRunTime = 300 * time.Millisecond
	minRunTime     = time.Millisecond
	maxRunTime     = time.Hour
	// priorWeight is the number of observations at which a key's own mean counts as
	// much as that of the service.
	priorWeight = 3
	// minConfidentWeight is the number of recent observations from which on a job may
	// be refused because of an estimate.
	minConfidentWeight = 8
	// maxMeanVariance bounds the variance of the logarithm that is used to convert
	// the median to the mean, so that the mean is at most e times the median.
	maxMeanVariance = 2
)

// Key returns the key for tasks with a canonical label text and a declared size in
// bytes. Each size bucket spans a factor of four; tasks without a declared size have
// a bucket of their own.
func Key(labels string, sizeBytes int64) string {
	if sizeBytes <= 0 {
		return labels
	}
	bucket := int(math.Log2(float64(sizeBytes)) / 2)
	return labels + "#" + strconv.Itoa(bucket)
}

// KeyOf is Key for a label set instead of its canonical text.
func KeyOf(set label.Set, sizeBytes int64) string { return Key(set.Key(), sizeBytes) }

// Estimate is the prediction of a task's run time.
type Estimate struct {
	Expected  time.Duration // mean run time
	P95       time.Duration // 95th percentile of the run time
	Class     wire.Class
	Samples   float64 // recent observations of the key, decayed
	Confident bool    // there are enough observations to refuse a job because of the estimate
}

// Estimator holds the statistics of one service. It is not safe for concurrent
// use.
type Estimator struct {
	options   Options
	service   *runTimeStats
	keys      map[string]*list.Element // of *runTimeStats
	lru       *list.List               // of *runTimeStats, most recently used first
	histogram *histogram
}

// New returns an estimator without observations.
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

// Keys returns the number of keys with statistics, at most Options.MaxKeys.
func (e *Estimator) Keys() int { return len(e.keys) }

// Boundary returns the shortest run time of a long task.
func (e *Estimator) Boundary() time.Duration { return e.histogram.boundary }

// LongShare returns the share of recent slot time that was used by tasks that
// ran at least as long as the boundary; 0 before any observation.
func (e *Estimator) LongShare() float64 { return e.histogram.longShare() }

// ExpectedRunTime returns the predicted mean run time of a task. declared is the
// caller's hint; zero means none.
func (e *Estimator) ExpectedRunTime(key string, declared time.Duration) time.Duration {
	return e.Estimate(key, declared).Expected
}

// Class returns the class of a task by its expected run time.
func (e *Estimator) Class(key string, declared time.Duration) wire.Class {
	return e.Estimate(key, declared).Class
}

// Estimate predicts the run time of a task with a key and declared run time; zero
// means none declared.
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
	meanVariance := min(predicted.variance, maxMeanVariance)
	out := Estimate{
		Expected:  fromLog(mu + meanVariance/2),
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

// Observe records the actual run time of a task that ended with a result.
func (e *Estimator) Observe(key string, declared, actual time.Duration, now time.Time) {
	e.observeRunTime(key, declared, actual, now)
	e.histogram.add(actual, now)
}

// ObserveOverrun records a task that is still running. Call it once per task, when
// HasOverrun first returns true. Without it, further jobs with the same key would be
// classed as short until the first such task ends. It assumes twice the elapsed
// time, about the expected run time if run times are heavy-tailed.
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

// earlyOverrunDeviations is the number of standard deviations above the expected run
// time beyond which a task is classed as long before it reaches the boundary.
const earlyOverrunDeviations = 3

// HasOverrun reports whether a running task is to be classed as long: it has reached
// the boundary, or half of it and far more than the expected run time of a key with
// enough observations. The waiting tasks of its job should then be classed as long
// as well.
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

// RemainingTime returns the expected remaining run time of a running task. A task
// that exceeds its expected run time is expected to take as long again as it has run.
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
