package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/catkinline/catkinline/agent"
	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/internal/httpserve"
	"github.com/catkinline/catkinline/kv"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/settings"
	"go.uber.org/zap"
)

// process is a long-running role. Cancelling the context of Run begins a planned
// stop; Run returns when the stop is complete.
type process interface {
	Run(ctx context.Context) error
}

type entryArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (entryArgs) Description() string {
	return "Accepts jobs from callers and dispatches their tasks. SIGTERM begins a planned stop."
}

// Epilogue implements arg.Epilogued.
func (entryArgs) Epilogue() string {
	return "Example:\n  catkinline entry --settings entry.json"
}

func runEntry(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a entryArgs
	if exit, ok := parseArgs("entry", &a, args, stdout, stderr); !ok {
		return exit
	}
	s, err := settings.LoadEntry(a.Settings)
	if err != nil {
		return failed(stderr, err)
	}
	limitGoMemory(httpserve.Machine(s.Machine))
	return runProcess(ctx, stderr, s.Log, s.Store, func(log *zap.Logger, store kv.Store) (process, error) {
		return entry.New(entry.Options{Settings: s, Log: log, Store: store})
	})
}

type agentArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (agentArgs) Description() string {
	return "Runs next to one target, announces it and starts all of its tasks. SIGTERM begins a planned stop."
}

// Epilogue implements arg.Epilogued.
func (agentArgs) Epilogue() string {
	return "Example:\n  catkinline agent --settings agent.json"
}

func runAgent(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a agentArgs
	if exit, ok := parseArgs("agent", &a, args, stdout, stderr); !ok {
		return exit
	}
	s, err := settings.LoadAgent(a.Settings)
	if err != nil {
		return failed(stderr, err)
	}
	limitGoMemory(httpserve.Machine(s.Machine))
	return runProcess(ctx, stderr, s.Log, s.Store, func(log *zap.Logger, store kv.Store) (process, error) {
		return agent.NewProcess(s, store, log)
	})
}

// runProcess creates the logger and the store client of a role, builds the role and
// runs it.
func runProcess(ctx context.Context, stderr io.Writer, l settings.Log, s settings.Store,
	build func(*zap.Logger, kv.Store) (process, error)) int {
	log, err := settings.NewLogger(l, os.Stderr)
	if err != nil {
		return failed(stderr, err)
	}
	defer settings.CaptureStandardLog(log)()
	store, err := newStore(s)
	if err != nil {
		return failed(stderr, err)
	}
	p, err := build(log, store)
	if err != nil {
		return failed(stderr, err)
	}
	if err := p.Run(ctx); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

// newStore returns a client of the platform's store, or nil if no URL is set.
func newStore(s settings.Store) (kv.Store, error) {
	if s.URL == "" {
		return nil, nil
	}
	timeout := time.Duration(s.TimeoutMS) * time.Millisecond
	return platform.NewStore(s.URL, platform.StoreOptions{Timeout: timeout})
}

func failed(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "error: %v\n", err)
	return exitFailed
}
