package load

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// Comparison holds repeated runs of several variants and the ratios of their
// measurements to those of the first variant.
type Comparison struct {
	Experiment string     `json:"experiment"`
	Variants   []string   `json:"variants"`
	Runs       [][]Report `json:"runs"` // by repetition, then in the order of Variants
	Ratios     []Ratio    `json:"ratios"`
}

// Ratio compares a measurement of a variant with that of the first variant.
// Values are paired by repetition, as runs of one repetition have the same jobs.
type Ratio struct {
	Measure string  `json:"measure"`
	Variant string  `json:"variant"`
	Base    float64 `json:"base"` // median of the first variant
	Median  float64 `json:"median"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
	Count   int     `json:"count"` // repetitions in which both were measured
}

// Limits on the arguments of Compare.
const (
	maxVariants    = 10
	maxRepetitions = 20
)

// Compare runs every variant once in each repetition and calls progress after each
// run. The first variant to run rotates with the repetition, so that a change in
// the background load of the machine affects all variants. A repetition adds its
// index to the seed. Violations are in the reports, not in the error.
func Compare(ctx context.Context, e *Experiment, variants []string, repetitions int, options RunOptions, progress func(*Report)) (*Comparison, error) {
	if len(variants) < 2 || len(variants) > maxVariants || repetitions < 1 || repetitions > maxRepetitions {
		return nil, Err.New("compare needs 2 to %d variants and 1 to %d repetitions", maxVariants, maxRepetitions)
	}
	for _, name := range variants {
		if _, err := e.resolve(name, options.Quick); err != nil {
			return nil, err
		}
	}
	c := &Comparison{Experiment: e.Name, Variants: variants}
	for repetition := range repetitions {
		runs := make([]Report, len(variants))
		for turn := range variants {
			i := (turn + repetition) % len(variants)
			variantOptions := options
			variantOptions.Variant = variants[i]
			variantOptions.Seed = options.Seed + uint64(repetition)
			report, err := Run(ctx, e, variantOptions)
			if err != nil {
				return nil, err
			}
			progress(report)
			runs[i] = *report
		}
		c.Runs = append(c.Runs, runs)
	}
	c.Ratios = ratios(variants, c.Runs)
	return c, nil
}

// measurement is one number of a report.
type measurement struct {
	name  string
	value float64
}

// measurements returns the numbers that are compared between variants. A value of
// zero means that it was not measured.
func (report *Report) measurements() []measurement {
	out := []measurement{{"complete jobs", float64(report.Jobs.Complete)}}
	for _, g := range report.Groups {
		if g.Kind != "class" && g.Kind != "workspace" && g.Kind != "class and arrival" {
			continue
		}
		name := g.Name + ": response over ideal "
		out = append(out,
			measurement{name + "p50", g.OverIdeal.P50},
			measurement{name + "p90", g.OverIdeal.P90},
			measurement{name + "p99", g.OverIdeal.P99},
			measurement{name + "max", g.OverIdeal.Max},
		)
	}
	for _, g := range report.Goodput {
		out = append(out,
			measurement{"jobs/s, " + g.Phase, g.JobsPerSecond},
			measurement{"task seconds/s, " + g.Phase, g.TaskSecondsPerSecond},
		)
	}
	if report.Messages != nil {
		out = append(out,
			measurement{"messages per task", report.Messages.SentPerTask},
			measurement{"wasted messages per task", report.Messages.WastedPerTask},
		)
	}
	for _, use := range report.Processor {
		out = append(out, measurement{use.Role + " µs per task", use.MicrosecondsPerTask})
	}
	return out
}

// ratios compares each variant with the first. It omits measurements that no
// repetition has for both.
func ratios(variants []string, runs [][]Report) []Ratio {
	var out []Ratio
	if len(runs) == 0 {
		return out
	}
	for _, m := range runs[0][0].measurements() {
		for i := 1; i < len(variants); i++ {
			var bases, quotients []float64
			for _, run := range runs {
				base, other := run[0].value(m.name), run[i].value(m.name)
				if base > 0 && other > 0 {
					bases = append(bases, base)
					quotients = append(quotients, other/base)
				}
			}
			if len(quotients) == 0 {
				continue
			}
			out = append(out, Ratio{
				Measure: m.name,
				Variant: variants[i],
				Base:    median(bases),
				Median:  median(quotients),
				Lowest:  slices.Min(quotients),
				Highest: slices.Max(quotients),
				Count:   len(quotients),
			})
		}
	}
	return out
}

// value returns the measurement with a name, or 0 if the report has none.
func (report *Report) value(name string) float64 {
	for _, m := range report.measurements() {
		if m.name == name {
			return m.value
		}
	}
	return 0
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Err returns an error that names the variant, the seed and the first violation
// of the first run that has any, or nil.
func (c *Comparison) Err() error {
	for _, run := range c.Runs {
		for i := range run {
			if err := run[i].Err(); err != nil {
				return Err.New("variant %s, seed %d: %w", run[i].Variant, run[i].Seed, err)
			}
		}
	}
	return nil
}

// Print writes the ratios as a text table.
func (c *Comparison) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: ratio to %s, median over repetitions with the lowest and the highest:\n", c.Experiment, c.Variants[0])
	table(w, "measure\t"+c.Variants[0]+"\tvariant\tratio\tlowest\thighest\tn\t", func(t io.Writer) {
		for _, r := range c.Ratios {
			fmt.Fprintf(t, "%s\t%.3f\t%s\t%.3f\t%.3f\t%.3f\t%d\t\n",
				r.Measure, r.Base, r.Variant, r.Median, r.Lowest, r.Highest, r.Count)
		}
	})
}
