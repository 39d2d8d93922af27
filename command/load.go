package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/catkinline/catkinline/load"
)

type loadArgs struct {
	Experiment  string   `arg:"positional,required" help:"experiment file, JSON with comments"`
	Variant     string   `arg:"--variant" default:"default" help:"variant of the experiment to run"`
	Compare     []string `arg:"--compare" placeholder:"VARIANT" help:"run these variants in turn and print ratios to the first"`
	Repetitions int      `arg:"--repetitions" default:"3" help:"runs of each variant with --compare"`
	Seed        uint64   `arg:"--seed" help:"added to the experiment's seed"`
	Quick       bool     `arg:"--quick" help:"run the short form of the experiment"`
	JSON        bool     `arg:"--json" help:"print JSON"`
	Directory   string   `arg:"--directory" help:"directory for the settings and logs of the last run"`
}

// Description implements arg.Described.
func (loadArgs) Description() string {
	return "Starts a fleet, sends jobs at the rate of the experiment regardless of responses (open loop) and reports response times, goodput, cost and violations."
}

// Epilogue implements arg.Epilogued.
func (loadArgs) Epilogue() string {
	return "Example: catkinline load experiments/leijakuva.json --quick --compare default fifo"
}

// runLoad returns a non-zero status if a run failed or showed a violation.
func runLoad(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a loadArgs
	if exit, ok := parseArgs("load", &a, args, stdout, stderr); !ok {
		return exit
	}
	if err := a.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitFailed
	}
	return 0
}

func (a *loadArgs) run(ctx context.Context, stdout, stderr io.Writer) error {
	experiment, err := load.Read(a.Experiment)
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	options := load.RunOptions{
		Executable: executable,
		Directory:  a.Directory,
		Variant:    a.Variant,
		Seed:       a.Seed,
		Quick:      a.Quick,
	}
	if len(a.Compare) > 0 {
		return a.compare(ctx, experiment, options, stdout, stderr)
	}
	report, err := load.Run(ctx, experiment, options)
	if err != nil {
		return err
	}
	if err := a.print(stdout, report, report.Print); err != nil {
		return err
	}
	return report.Err()
}

func (a *loadArgs) compare(ctx context.Context, e *load.Experiment, options load.RunOptions, stdout, stderr io.Writer) error {
	progress := func(report *load.Report) {
		if a.JSON {
			fmt.Fprintf(stderr, "%s, variant %s, seed %d: done\n", report.Experiment, report.Variant, report.Seed)
			return
		}
		report.Print(stdout)
		fmt.Fprintln(stdout)
	}
	comparison, err := load.Compare(ctx, e, a.Compare, a.Repetitions, options, progress)
	if err != nil {
		return err
	}
	if err := a.print(stdout, comparison, comparison.Print); err != nil {
		return err
	}
	return comparison.Err()
}

// print writes a value as JSON, or with its text function.
func (a *loadArgs) print(w io.Writer, value any, text func(io.Writer)) error {
	if !a.JSON {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
