package report

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"sort"
	"time"

	"gonum.org/v1/plot"
)

//go:embed page.html
var templates embed.FS

var pageTemplate = template.Must(template.ParseFS(templates, "page.html"))

// maxChanges bounds the list of changes on the page; the logs contain all of them.
const maxChanges = 400

// row is the line of one route in the page's table.
type row struct {
	Route    string
	Jobs     int
	Counts   []int // in the order of Results
	P50, P99 time.Duration
}

type change struct {
	At, Message, Detail string
}

type page struct {
	Title   string
	Start   string
	Results []Result
	Rows    []row
	Plots   []template.HTML
	Changes []change
	More    int // number of changes that are left out
	Skipped int
}

// WritePage writes an HTML page about the logs, with jobs aggregated in intervals of the given
// width. It returns an error if there are no jobs.
func (d *LogData) WritePage(w io.Writer, title string, width time.Duration) error {
	if len(d.Jobs) == 0 {
		return Error.New("the logs contain no ended jobs")
	}
	plots, err := d.plots(width)
	if err != nil {
		return err
	}
	p := page{Title: title, Start: d.Start().UTC().Format(time.RFC3339), Results: Results, Plots: plots, Skipped: d.Skipped}
	p.Rows = append(p.Rows, d.row("", "all"))
	for _, route := range d.Routes() {
		p.Rows = append(p.Rows, d.row(route, route))
	}
	p.Changes, p.More = d.changes()
	return Error.Wrap(pageTemplate.Execute(w, p))
}

func (d *LogData) plots(width time.Duration) ([]template.HTML, error) {
	bins := d.Bins(width, "")
	draws := []func() (*plot.Plot, error){
		func() (*plot.Plot, error) { return resultPlot("jobs by result", bins, width) },
		func() (*plot.Plot, error) { return latencyPlot(bins, width) },
		func() (*plot.Plot, error) { return d.inTimePlot(time.Duration(len(bins))*width, width) },
		func() (*plot.Plot, error) { return capacityPlot(bins, width) },
	}
	for _, route := range d.Routes() {
		draws = append(draws, func() (*plot.Plot, error) {
			return resultPlot("jobs by result, route "+route, d.Bins(width, route), width)
		})
	}
	var out []template.HTML
	for _, draw := range draws {
		p, err := draw()
		if err != nil {
			return nil, err
		}
		element, err := svg(p)
		if err != nil {
			return nil, err
		}
		out = append(out, element)
	}
	return out, nil
}

// row summarizes a route; an empty route stands for all.
func (d *LogData) row(route, name string) row {
	// A single interval that is longer than any log.
	bins := d.Bins(365*24*time.Hour, route)
	r := row{Route: name, Jobs: bins[0].Jobs(), P50: bins[0].Quantile(0.5), P99: bins[0].Quantile(0.99)}
	for _, result := range Results {
		r.Counts = append(r.Counts, bins[0].Counts[result])
	}
	return r
}

func (d *LogData) changes() (list []change, more int) {
	sorted := append([]Change(nil), d.Changes...)
	start := d.Start()
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	for i, c := range sorted {
		if i == maxChanges {
			return list, len(sorted) - maxChanges
		}
		at := fmt.Sprintf("%.2f", c.At.Sub(start).Seconds())
		list = append(list, change{At: at, Message: c.Message, Detail: c.Detail})
	}
	return list, 0
}

// Milliseconds formats a duration for the template.
func (r row) Milliseconds(d time.Duration) int64 { return d.Milliseconds() }
