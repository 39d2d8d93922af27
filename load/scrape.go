package load

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Names of the counters in the entries' /metrics, without the suffix _total.
const (
	metricSent   = "catkinline_messages_sent"
	metricWasted = "catkinline_messages_wasted"
	metricStarts = "catkinline_task_starts"
)

// counters are sums over all entries by metric name. A name is absent if no entry
// exports it.
type counters map[string]float64

// scrape reads the counters of all entries. Entries that don't respond are left out.
func scrape(ctx context.Context, entries []string) counters {
	out := counters{}
	for _, entry := range entries {
		page, err := doRequest(ctx, http.MethodGet, entry+"/metrics", nil)
		if err != nil {
			continue
		}
		parseMetrics(string(page), out)
	}
	return out
}

// parseMetrics adds the counters of a page in the Prometheus text format to into,
// summed over all label values. It skips lines that it can't parse.
func parseMetrics(page string, into counters) {
	for line := range strings.Lines(page) {
		line = strings.TrimSpace(line)
		name := line
		if cut := strings.IndexAny(line, "{ \t"); cut >= 0 {
			name = line[:cut]
		}
		name = strings.TrimSuffix(name, "_total")
		if name != metricSent && name != metricWasted && name != metricStarts {
			continue
		}
		// Label values may contain spaces, so the value is read after the closing brace.
		fields := strings.Fields(line[strings.LastIndexByte(line, '}')+1:])
		if !strings.Contains(line, "{") {
			fields = fields[1:]
		}
		if len(fields) == 0 {
			continue
		}
		value, err := strconv.ParseFloat(fields[0], 64)
		if err == nil && !math.IsNaN(value) {
			into[name] += value
		}
	}
}

// since returns the increase of the counters. A counter that is lower than before
// has been reset by the restart of an entry: its full value counts as the increase.
func (c counters) since(before counters) counters {
	out := counters{}
	for name, value := range c {
		if value >= before[name] {
			value -= before[name]
		}
		out[name] = value
	}
	return out
}
