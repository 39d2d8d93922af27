package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/catkinline/catkinline/load"
)

// loadArguments are the arguments of "catkinline load".
type loadArguments struct {
	Experiment  string   `arg:"positional,required" help:"experiment file, JSON with comments"`
	Variant     string   `arg:"--variant" default:"default" help:"variant of the experiment to run"`
	Compare     []string `arg:"--compare" placeholder:"VARIANT" help:"run these variants in turn and print ratios to the first"`
	Repetitions int      `arg:"--repetitions" default:"3" help:"runs of each variant with --compare"`
	Seed        uint64   `arg:"--seed" help:"added to the experiment's seed"`
	Quick       bool     `arg:"--quick" help:"use the experiment's short form"`
	JSON        bool     `arg:"--json" help:"print JSON"`
	Directory   string   `arg:"--directory" help:"keep settings and logs of the last run here"`
}

// Description implements arg.Described.
func (loadArguments) Description() string {
	return "Drives a fleet of its own with an open loop of jobs and reports response, goodput, cost and violations."
}

// Epilogue implements arg.Epilogued.
func (loadArguments) Epilogue() string {
	return "Example: catkinline load experiments/leijakuva.json --quick --compare default fifo"
}

// runLoad runs "catkinline load" and returns the exit status, which is non-zero
// if a run could not be made or showed a violation.
func runLoad(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a loadArguments
	if exit, ok := parseArgs("load", &a, args, stdout, stderr); !ok {
		return exit
	}
	if err := a.run(ctx, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "error:", err)
		return exitFailed
	}
	return 0
}

func (a *loadArguments) run(ctx context.Context, stdout, stderr io.Writer) error {
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

func (a *loadArguments) compare(ctx context.Context, e *load.Experiment, options load.RunOptions, stdout, stderr io.Writer) error {
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

// print writes a value as JSON or by its own text form.
func (a *loadArguments) print(w io.Writer, value any, text func(io.Writer)) error {
	if !a.JSON {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
