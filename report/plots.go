package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of one plot on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.6 * vg.Inch
)

// resultColors range from green for jobs that were served well to gray for abandoned ones.
var resultColors = map[Result]color.RGBA{
	InTime:    {R: 0x4c, G: 0xa6, B: 0x6a, A: 0xff},
	Late:      {R: 0xe6, G: 0xb8, B: 0x3c, A: 0xff},
	Refused:   {R: 0xd9, G: 0x6f, B: 0x3a, A: 0xff},
	Failed:    {R: 0xb3, G: 0x2e, B: 0x3e, A: 0xff},
	Abandoned: {R: 0x9a, G: 0x9a, B: 0x9a, A: 0xff},
}

// lineColors are assigned to the lines of a plot in order.
var lineColors = []color.RGBA{
	{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}, {R: 0xb3, G: 0x2e, B: 0x3e, A: 0xff}, {R: 0x3c, G: 0x8d, B: 0x57, A: 0xff},
	{R: 0x8a, G: 0x4f, B: 0xa8, A: 0xff}, {R: 0xc0, G: 0x7a, B: 0x16, A: 0xff}, {R: 0x55, G: 0x55, B: 0x55, A: 0xff},
}

// headroom is the multiplier of the largest value that leaves space for the legend above the lines.
const headroom = 1.35

// minJobsPerInterval is the number of jobs below which quantiles and shares of an interval are
// not plotted.
const minJobsPerInterval = 5

// newPlot returns a plot whose time axis spans all intervals, from 0 to end.
func newPlot(title, y string, end time.Duration) *plot.Plot {
	p := plot.New()
	p.X.Min, p.X.Max, p.Y.Min = 0, end.Seconds(), 0
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Title.TextStyle.Font.Size, p.Title.Padding = 12, 4
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// resultPlot stacks the rates of jobs by result.
func resultPlot(title string, bins []Bin, width time.Duration) (*plot.Plot, error) {
	p := newPlot(title, "jobs per second", time.Duration(len(bins))*width)
	below := make([]float64, len(bins))
	for _, r := range Results {
		area := make(plotter.XYs, 0, 2*len(bins)+2)
		for i, b := range bins {
			area = append(area, plotter.XY{X: b.Start.Seconds(), Y: below[i]}, plotter.XY{X: (b.Start + width).Seconds(), Y: below[i]})
		}
		total := 0
		for i := len(bins) - 1; i >= 0; i-- {
			n := bins[i].Counts[r]
			total += n
			below[i] += float64(n) / width.Seconds()
			area = append(area, plotter.XY{X: (bins[i].Start + width).Seconds(), Y: below[i]}, plotter.XY{X: bins[i].Start.Seconds(), Y: below[i]})
		}
		if total == 0 {
			continue
		}
		polygon, err := plotter.NewPolygon(area)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		polygon.Color, polygon.LineStyle.Width = resultColors[r], 0
		p.Add(polygon)
		p.Legend.Add(fmt.Sprintf("%s %d", r, total), polygon)
	}
	p.Y.Max *= headroom
	return p, nil
}

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

func linesPlot(title, y string, end time.Duration, lines []series) (*plot.Plot, error) {
	p := newPlot(title, y, end)
	for i, s := range lines {
		if len(s.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(s.points)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		l.LineStyle = draw.LineStyle{Color: lineColors[i%len(lineColors)], Width: vg.Points(1.3)}
		p.Add(l)
		p.Legend.Add(s.name, l)
	}
	p.Y.Min, p.X.Min, p.X.Max = 0, 0, end.Seconds()
	p.Y.Max *= headroom
	return p, nil
}

// linePoints returns a point at the middle of each interval for which value is not NaN.
func linePoints(bins []Bin, width time.Duration, value func(*Bin) float64) plotter.XYs {
	var out plotter.XYs
	for i := range bins {
		if v := value(&bins[i]); !math.IsNaN(v) {
			out = append(out, plotter.XY{X: (bins[i].Start + width/2).Seconds(), Y: v})
		}
	}
	return out
}

// latencyPlot shows the latency of the jobs that were done.
func latencyPlot(bins []Bin, width time.Duration) (*plot.Plot, error) {
	at := func(share float64) plotter.XYs {
		return linePoints(bins, width, func(b *Bin) float64 {
			if len(b.Latencies) < minJobsPerInterval {
				return math.NaN()
			}
			return float64(b.Quantile(share).Milliseconds())
		})
	}
	return linesPlot("latency of done jobs", "ms", time.Duration(len(bins))*width, []series{{"p50", at(0.5)}, {"p99", at(0.99)}})
}

// inTimePlot shows the share of each route's jobs that were done in time. All routes share the
// time axis from 0 to end.
func (d *LogData) inTimePlot(end, width time.Duration) (*plot.Plot, error) {
	var lines []series
	for _, route := range d.Routes() {
		points := linePoints(d.Bins(width, route), width, func(b *Bin) float64 {
			if b.Jobs() < minJobsPerInterval {
				return math.NaN()
			}
			return float64(b.Counts[InTime]) / float64(b.Jobs())
		})
		lines = append(lines, series{route, points})
	}
	return linesPlot("share done in time, by route", "share", end, lines)
}

// capacityPlot shows how many tasks wait for room and how many targets a gateway can reach.
func capacityPlot(bins []Bin, width time.Duration) (*plot.Plot, error) {
	nonEmpty := func(value func(*Bin) float64) plotter.XYs {
		return linePoints(bins, width, func(b *Bin) float64 {
			if b.Jobs() == 0 {
				return math.NaN()
			}
			return value(b)
		})
	}
	return linesPlot("waiting tasks and reachable targets", "per gateway", time.Duration(len(bins))*width, []series{
		{"waiting tasks, mean", nonEmpty(func(b *Bin) float64 { return b.WaitingTasks })},
		{"reachable targets, minimum", nonEmpty(func(b *Bin) float64 { return float64(b.Targets) })},
	})
}

// svg renders a plot as an SVG element for the page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", Error.Wrap(err)
	}
	// An XML declaration is not allowed inside an HTML page.
	text := out.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil // safe: rendered here, and the canvas escapes texts
}
