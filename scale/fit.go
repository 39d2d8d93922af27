package scale

import (
	"fmt"
	"math"
	"os"
	"strings"
	"time"
)

// parseStat reads processor time and resident memory from the text of
// /proc/PID/stat. The command name in parentheses may contain spaces and
// parentheses, so the fields are counted from the last closing one.
func parseStat(text string) (usage, error) {
	var user, system, virtual, pages int64
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	if len(fields) < 22 {
		return usage{}, fmt.Errorf("scale: /proc/PID/stat has %d fields after the command name, want at least 22", len(fields))
	}
	line := strings.Join([]string{fields[11], fields[12], fields[20], fields[21]}, " ")
	if _, err := fmt.Sscan(line, &user, &system, &virtual, &pages); err != nil {
		return usage{}, fmt.Errorf("scale: parsing /proc/PID/stat: %w", err)
	}
	return usage{CPU: time.Duration(user+system) * clockTick, RSS: pages * int64(os.Getpagesize())}, nil
}

// Fit is a least-squares line through the measurements of a quantity by number of
// agents.
type Fit struct {
	Quantity  string  `json:"quantity"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Error     float64 `json:"error"` // standard error of the slope; 0 with two points
	Points    int     `json:"points"`
	Largest   float64 `json:"largest"` // largest number of agents that was measured
	Target    float64 `json:"target"`  // value extrapolated to TargetAgents
}

// At returns the value of the line for a number of agents.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// fitLine fits a line to points (x, y), which must be in ascending order of x, and
// extrapolates it to target.
func fitLine(quantity string, x, y []float64, target float64) Fit {
	n := float64(len(x))
	f := Fit{Quantity: quantity, Points: len(x), Largest: x[len(x)-1]}
	var sx, sy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
	}
	var sxx, sxy float64
	for i := range x {
		sxx += (x[i] - sx/n) * (x[i] - sx/n)
		sxy += (x[i] - sx/n) * (y[i] - sy/n)
	}
	if sxx > 0 {
		f.Slope = sxy / sxx
	}
	f.Intercept = (sy - f.Slope*sx) / n
	var residual float64
	for i := range x {
		d := y[i] - f.At(x[i])
		residual += d * d
	}
	if len(x) > 2 && sxx > 0 {
		f.Error = math.Sqrt(residual / (n - 2) / sxx)
	}
	f.Target = f.At(target)
	return f
}
