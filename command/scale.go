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

// scaleArguments are the arguments of "catkinline scale".
type scaleArguments struct {
	Sizes   []int   `arg:"--sizes" help:"numbers of agents [default: 10 40 160 640]"`
	Entries int     `arg:"--entries" default:"2" help:"number of entries"`
	Links   int     `arg:"--links" default:"0" help:"entries that each agent links to; 0: all"`
	Settle  float64 `arg:"--settle" default:"4" help:"seconds before the idle step; new links probe the path's packet size with some of their first packets"`
	Idle    float64 `arg:"--idle" default:"8" help:"seconds of the idle step"`
	Load    float64 `arg:"--load" default:"6" help:"seconds of each step with load"`
	Only    bool    `arg:"--idle-only" help:"measure only the links' opening and the idle fleet"`
	JSON    bool    `arg:"--json" help:"print JSON"`
	Agents  bool    `arg:"--agents" help:"be the process of agents of another scale"`
}

// Description implements arg.Described.
func (scaleArguments) Description() string {
	return "Measures processor time, memory, messages, bytes and store calls of fleets of several sizes on loopback and fits lines to them."
}

// Epilogue implements arg.Epilogued.
func (scaleArguments) Epilogue() string {
	return "Example: catkinline scale --sizes 10 40 --entries 2"
}

// runScale runs "catkinline scale" and returns the exit status.
func runScale(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a scaleArguments
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

func (a *scaleArguments) run(ctx context.Context, stdout, stderr io.Writer) error {
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
		IdleOnly:      a.Only,
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
