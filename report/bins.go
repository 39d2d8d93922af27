package report

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Bin is what came of the jobs that were answered in one interval.
type Bin struct {
	Start        time.Duration // since the day's first job
	Counts       map[Result]int
	Latencies    []time.Duration // sorted, of the jobs that were done
	WaitingTasks float64         // mean of the tasks that waited at a gateway
	Targets      int             // fewest that a gateway could reach; -1: not known
}

// Jobs returns the number of jobs.
func (b *Bin) Jobs() int {
	n := 0
	for _, c := range b.Counts {
		n += c
	}
	return n
}

// Quantile returns the time within which a share of the jobs were done, or 0 without
// any.
func (b *Bin) Quantile(share float64) time.Duration {
	if len(b.Latencies) == 0 {
		return 0
	}
	i := int(math.Ceil(share*float64(len(b.Latencies)))) - 1
	return b.Latencies[min(max(i, 0), len(b.Latencies)-1)]
}

// Routes returns the routes of a day's jobs, sorted.
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

// Start returns when the first job was answered.
func (d *LogData) Start() time.Time {
	var first time.Time
	for _, j := range d.Jobs {
		if first.IsZero() || j.At.Before(first) {
			first = j.At
		}
	}
	return first
}

// Bins cuts a day into intervals. Route selects the jobs; empty: all.
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
