package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/catkinline/catkinline/scale"
)

type scaleArgs struct {
	Sizes    []int   `arg:"--sizes" help:"numbers of agents [default: 10 40 160 640]"`
	Entries  int     `arg:"--entries" default:"2" help:"number of entries"`
	Links    int     `arg:"--links" default:"0" help:"number of entries that each agent links to; 0: all"`
	Settle   float64 `arg:"--settle" default:"4" help:"seconds before the idle step, in which new links probe the packet size of the path"`
	Idle     float64 `arg:"--idle" default:"8" help:"duration of the idle step in seconds"`
	Load     float64 `arg:"--load" default:"6" help:"duration of each step with load in seconds"`
	IdleOnly bool    `arg:"--idle-only" help:"measure only the opening of links and the idle fleet"`
	JSON     bool    `arg:"--json" help:"print JSON"`
	Agents   bool    `arg:"--agents" help:"internal: run the agents of another scale process"`
}

// Description implements arg.Described.
func (scaleArgs) Description() string {
	return "Measures CPU time, memory, messages, bytes and store calls of fleets of several sizes on loopback and fits lines to them."
}

// Epilogue implements arg.Epilogued.
func (scaleArgs) Epilogue() string {
	return "Example: catkinline scale --sizes 10 40 --entries 2"
}

func runScale(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a scaleArgs
	if exit, ok := parseArgs("scale", &a, args, stdout, stderr); !ok {
		return exit
	}
	run := a.run
	if a.Agents {
		run = func(context.Context, io.Writer, io.Writer) error { return scale.RunAgents(os.Stdin, stdout) }
	}
	if err := run(ctx, stdout, stderr); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

func (a *scaleArgs) run(ctx context.Context, stdout, stderr io.Writer) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if len(a.Sizes) == 0 {
		a.Sizes = []int{10, 40, 160, 640}
	}
	lines := stdout
	if a.JSON {
		lines = stderr
	}
	scale.PrintHeader(lines)
	report, err := scale.Run(ctx, scale.Options{
		Executable:    executable,
		Sizes:         a.Sizes,
		Entries:       a.Entries,
		LinksPerAgent: a.Links,
		Settle:        time.Duration(a.Settle * float64(time.Second)),
		Idle:          time.Duration(a.Idle * float64(time.Second)),
		Load:          time.Duration(a.Load * float64(time.Second)),
		IdleOnly:      a.IdleOnly,
	}, func(s *scale.Step) { s.Print(lines) })
	if err != nil {
		return err
	}
	if a.JSON {
		return json.NewEncoder(stdout).Encode(report)
	}
	fmt.Fprintln(stdout)
	report.Print(stdout)
	return nil
}
