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
	First    uint64  `arg:"--seed" default:"1" help:"first seed"`
	Seeds    int     `arg:"--seeds" default:"1" help:"number of seeds"`
	Parallel int     `arg:"--parallel" default:"2" help:"soaks at the same time"`
	Gateways int     `arg:"--gateways" default:"3" help:"gateways of each soak"`
	Targets  int     `arg:"--targets" default:"5" help:"targets of each soak, each with its sidecar"`
	Rate     float64 `arg:"--rate" default:"15" help:"jobs a second of each soak"`
	Dir      string  `arg:"--dir" help:"keeps the logs of seeds that broke a promise (default: a directory for temporary files)"`
}

// Description implements arg.Described.
func (soakArgs) Description() string {
	return "Plays random faults against gateways and sidecars as processes, with stand-ins of the platform, and checks what callers and targets see. Prints one line of JSON for each seed."
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
	played := make(chan error, 1)
	go func() {
		defer close(reports)
		played <- a.playAll(ctx, dir, reports)
	}()
	broken := 0
	for r := range reports {
		line, err := json.Marshal(r)
		if err != nil {
			return failed(stderr, err)
		}
		fmt.Fprintf(stdout, "%s\n", line)
		if len(r.Violations) > 0 {
			broken++
		}
	}
	if err := <-played; err != nil {
		return failed(stderr, err)
	}
	if broken > 0 {
		fmt.Fprintf(stderr, "%d of %d seeds broke a promise; their logs are in %s\n", broken, a.Seeds, dir)
		return exitFailed
	}
	// What is left over is empty directories for temporary files.
	_ = os.Remove(dir)
	return exitOK
}

// playAll plays the seeds, a few at a time, and removes the logs of those that kept
// all promises.
func (a soakArgs) playAll(ctx context.Context, dir string, reports chan<- soak.Report) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(a.Parallel, 1))
	for seed := a.First; seed < a.First+uint64(a.Seeds); seed++ {
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
