package report

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Bin aggregates the jobs that were answered in one interval.
type Bin struct {
	Start        time.Duration // offset from the first answered job
	Counts       map[Result]int
	Latencies    []time.Duration // of the jobs that were done, ascending
	WaitingTasks float64         // mean number of tasks that waited at a gateway
	Targets      int             // lowest number that a gateway could reach; -1: unknown
}

// Jobs returns the number of jobs in the interval, whatever their result.
func (b *Bin) Jobs() int {
	n := 0
	for _, c := range b.Counts {
		n += c
	}
	return n
}

// Quantile returns the latency within which the given share of the done jobs, between 0 and 1,
// was answered. It returns 0 if no job was done.
func (b *Bin) Quantile(share float64) time.Duration {
	if len(b.Latencies) == 0 {
		return 0
	}
	i := int(math.Ceil(share*float64(len(b.Latencies)))) - 1
	return b.Latencies[min(max(i, 0), len(b.Latencies)-1)]
}

// Routes returns the distinct routes of the jobs, sorted.
func (d *LogData) Routes() []string {
	var out []string
	for _, j := range d.Jobs {
		if !slices.Contains(out, j.Route) {
			out = append(out, j.Route)
		}
	}
	sort.Strings(out)
	return out
}

// Start returns the time of the first answer, or the zero time if there are no jobs.
func (d *LogData) Start() time.Time {
	var first time.Time
	for _, j := range d.Jobs {
		if first.IsZero() || j.At.Before(first) {
			first = j.At
		}
	}
	return first
}

// Bins groups jobs into consecutive intervals of the given width, starting at Start. Route
// selects the jobs; an empty route selects all.
func (d *LogData) Bins(width time.Duration, route string) []Bin {
	start := d.Start()
	var bins []Bin
	for _, j := range d.Jobs {
		if route != "" && j.Route != route {
			continue
		}
		i := int(j.At.Sub(start) / width)
		for len(bins) <= i {
			bins = append(bins, Bin{Start: time.Duration(len(bins)) * width, Counts: make(map[Result]int), Targets: -1})
		}
		bins[i].add(j)
	}
	for i := range bins {
		slices.Sort(bins[i].Latencies)
		bins[i].WaitingTasks /= max(1, float64(bins[i].Jobs()))
	}
	return bins
}

func (b *Bin) add(j Job) {
	b.Counts[j.Result]++
	b.WaitingTasks += float64(j.WaitingTasks)
	if b.Targets < 0 || j.Targets < b.Targets {
		b.Targets = j.Targets
	}
	if j.Result == InTime || j.Result == Late {
		b.Latencies = append(b.Latencies, j.Latency)
	}
}
