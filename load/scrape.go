package load

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// Names of the entries' counters on /metrics.
const (
	metricSent   = "catkinline_messages_sent"
	metricWasted = "catkinline_messages_wasted"
	metricStarts = "catkinline_task_starts"
)

// counters are sums over all entries; a name is absent if no entry has it.
type counters map[string]float64

// scrape reads the counters of every entry that answers.
func scrape(ctx context.Context, entries []string) counters {
	out := counters{}
	for _, entry := range entries {
		page, err := exchange(ctx, http.MethodGet, entry+"/metrics", nil)
		if err != nil {
			continue
		}
		parseMetrics(string(page), out)
	}
	return out
}

// parseMetrics adds the counters of one page in the Prometheus text format,
// summed over their labels.
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
		// Labels may contain spaces; the value follows the closing brace.
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

// since returns the growth of the counters. After a restart of an entry a
// counter may have fallen; what it had before is lost.
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
