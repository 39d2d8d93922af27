package metrics

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally exports values to the Prometheus registry.
const reportInterval = 500 * time.Millisecond

// durationBuckets double from 1 ms to 65 s. Task run times are between 50 ms and 30 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

// ratioBuckets cover ratios of response time to run time from 1 to about 440.
var ratioBuckets = tally.MustMakeExponentialValueBuckets(1, 1.5, 16)

// Registry records the metrics of one process. Its methods are safe for concurrent use.
// Recording a known metric takes no lock, only a lookup in a copy-on-write map.
type Registry struct {
	scope      tally.Scope
	closer     io.Closer
	handler    http.Handler
	counters   metricCache[tally.Counter]
	gauges     metricCache[tally.Gauge]
	histograms metricCache[tally.Histogram]
}

// New returns an empty registry and starts its periodic export, which Close stops. The tags
// are added to every metric.
func New(tags map[string]string) *Registry {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{
		scope:   scope,
		closer:  closer,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
}

// Close exports the values a last time and stops the periodic export.
func (r *Registry) Close() error { return r.closer.Close() }

// Handler returns the handler of the metrics page in the Prometheus text format.
func (r *Registry) Handler() http.Handler { return r.handler }

// Add adds n to a counter. Tags are alternating keys and values, here and in all methods.
func (r *Registry) Add(name string, n int64, tags ...string) {
	c := r.counters.get(name, tags, func() tally.Counter { return r.taggedScope(tags).Counter(name) })
	c.Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(name string, value float64, tags ...string) {
	g := r.gauges.get(name, tags, func() tally.Gauge { return r.taggedScope(tags).Gauge(name) })
	g.Update(value)
}

// RecordDuration adds an observation to a histogram that is exported in seconds.
func (r *Registry) RecordDuration(name string, d time.Duration, tags ...string) {
	h := r.histograms.get(name, tags, func() tally.Histogram {
		return r.taggedScope(tags).Histogram(name, durationBuckets)
	})
	h.RecordDuration(d)
}

// RecordRatio adds an observation to a histogram of ratios.
func (r *Registry) RecordRatio(name string, v float64, tags ...string) {
	h := r.histograms.get(name, tags, func() tally.Histogram {
		return r.taggedScope(tags).Histogram(name, ratioBuckets)
	})
	h.RecordValue(v)
}

func (r *Registry) taggedScope(tags []string) tally.Scope {
	if len(tags) == 0 {
		return r.scope
	}
	m := make(map[string]string, len(tags)/2)
	for i := 0; i+1 < len(tags); i += 2 {
		m[tags[i]] = tags[i+1]
	}
	return r.scope.Tagged(m)
}

// metricCache caches metrics by name and tags, so that the request path neither
// takes a lock nor builds tally's tag maps.
type metricCache[M any] struct {
	mu       sync.Mutex
	snapshot atomic.Pointer[map[string]M]
}

func (c *metricCache[M]) get(name string, tags []string, create func() M) M {
	key := name
	if len(tags) > 0 {
		key = name + "\x00" + strings.Join(tags, "\x00")
	}
	if known := c.snapshot.Load(); known != nil {
		if m, ok := (*known)[key]; ok {
			return m
		}
	}
	return c.add(key, create)
}

func (c *metricCache[M]) add(key string, create func() M) M {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]M{}
	if old := c.snapshot.Load(); old != nil {
		if m, ok := (*old)[key]; ok {
			return m
		}
		known = maps.Clone(*old)
	}
	m := create()
	known[key] = m
	c.snapshot.Store(&known)
	return m
}
