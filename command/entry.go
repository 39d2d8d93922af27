package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/catkinline/catkinline/entry"
	"github.com/catkinline/catkinline/platform"
	"github.com/catkinline/catkinline/platform/httpstore"
	"github.com/catkinline/catkinline/settings"
)

type entryArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (entryArgs) Description() string {
	return "Takes jobs from callers and dispatches their tasks. SIGTERM begins a planned stop."
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
	log, err := settings.NewLogger(s.Log, os.Stderr)
	if err != nil {
		return failed(stderr, err)
	}
	defer settings.CaptureStandardLog(log)()
	store, err := newStore(s.Store)
	if err != nil {
		return failed(stderr, err)
	}
	e, err := entry.New(entry.Options{Settings: s, Log: log, Store: store})
	if err != nil {
		return failed(stderr, err)
	}
	if err := e.Run(ctx); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

// newStore returns the adapter of the platform's store, or nil without one.
func newStore(s settings.Store) (platform.Store, error) {
	if s.URL == "" {
		return nil, nil
	}
	timeout := time.Duration(s.TimeoutMS) * time.Millisecond
	return httpstore.New(s.URL, httpstore.Options{Timeout: timeout})
}

func failed(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "error: %v\n", err)
	return exitFailed
}
