package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sync/errgroup"

	"github.com/catkinline/catkinline/soak"
)

type soakArgs struct {
	FirstSeed uint64  `arg:"--seed" default:"1" help:"first seed"`
	Seeds     int     `arg:"--seeds" default:"1" help:"number of seeds, each in a run of its own"`
	Parallel  int     `arg:"--parallel" default:"2" help:"number of runs at the same time"`
	Gateways  int     `arg:"--gateways" default:"3" help:"number of gateways in each run"`
	Targets   int     `arg:"--targets" default:"5" help:"number of targets in each run, each with a sidecar"`
	Rate      float64 `arg:"--rate" default:"15" help:"jobs a second in each run"`
	Dir       string  `arg:"--dir" help:"parent directory for the logs of runs with violations (default: the directory for temporary files)"`
}

// Description implements arg.Described.
func (soakArgs) Description() string {
	return "Injects random faults into gateway and sidecar processes with stand-ins for the platform, and checks the guarantees to callers and targets. Prints one line of JSON for each seed."
}

// Epilogue implements arg.Epilogued.
func (soakArgs) Epilogue() string {
	return "Example:\n  catkinline soak --seed 1 --seeds 50 --parallel 3"
}

func runSoak(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a soakArgs
	if exit, ok := parseArgs("soak", &a, args, stdout, stderr); !ok {
		return exit
	}
	dir, err := os.MkdirTemp(a.Dir, "catkinline-soak-")
	if err != nil {
		return failed(stderr, err)
	}
	reports := make(chan soak.Report)
	runError := make(chan error, 1)
	go func() {
		defer close(reports)
		runError <- a.runSeeds(ctx, dir, reports)
	}()
	failedSeeds := 0
	for r := range reports {
		line, err := json.Marshal(r)
		if err != nil {
			return failed(stderr, err)
		}
		fmt.Fprintf(stdout, "%s\n", line)
		if len(r.Violations) > 0 {
			failedSeeds++
		}
	}
	if err := <-runError; err != nil {
		return failed(stderr, err)
	}
	if failedSeeds > 0 {
		fmt.Fprintf(stderr, "%d of %d seeds showed violations; their logs are in %s\n", failedSeeds, a.Seeds, dir)
		return exitFailed
	}
	// The directory is empty, as the logs of runs without violations are removed.
	_ = os.Remove(dir)
	return exitOK
}

// runSeeds runs the seeds, a.Parallel at a time, and removes the logs of runs without
// violations.
func (a soakArgs) runSeeds(ctx context.Context, dir string, reports chan<- soak.Report) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(a.Parallel, 1))
	for seed := a.FirstSeed; seed < a.FirstSeed+uint64(a.Seeds); seed++ {
		group.Go(func() error {
			logs := filepath.Join(dir, fmt.Sprint("seed-", seed))
			if err := os.Mkdir(logs, 0o700); err != nil {
				return err
			}
			r, err := soak.Run(ctx, soak.Options{Seed: seed, Gateways: a.Gateways, Targets: a.Targets, Rate: a.Rate, Dir: logs})
			if err != nil {
				return err
			}
			reports <- r
			if len(r.Violations) > 0 {
				return nil
			}
			return os.RemoveAll(logs)
		})
	}
	return group.Wait()
}
