package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/catkinline/catkinline/config"
	"github.com/catkinline/catkinline/settings"
)

type configCheckArgs struct {
	File string `arg:"positional,required" help:"JSON with comments"`
	Kind string `arg:"--kind" default:"config" help:"kind of the file: config (configuration document), entry or agent (settings)"`
}

// Description implements arg.Described.
func (configCheckArgs) Description() string {
	return "Checks a file and prints every error with line, column and field."
}

// Epilogue implements arg.Epilogued.
func (configCheckArgs) Epilogue() string {
	return "Example:\n  catkinline config check --kind agent agent.json"
}

// checkers are the functions that return the errors of a file, by its kind.
var checkers = map[string]func([]byte) error{
	"config": func(data []byte) error { _, errs := config.Parse(data); return errs.Err() },
	"entry":  func(data []byte) error { _, err := settings.ParseEntry(data); return err },
	"agent":  func(data []byte) error { _, err := settings.ParseAgent(data); return err },
}

func runConfigCheck(_ context.Context, args []string, stdout, stderr io.Writer) int {
	var a configCheckArgs
	if exit, ok := parseArgs("config check", &a, args, stdout, stderr); !ok {
		return exit
	}
	check, ok := checkers[a.Kind]
	if !ok {
		return usageError(stderr, fmt.Errorf("--kind %q is not one of: config, entry, agent", a.Kind))
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		fmt.Fprintf(stderr, "error: %v\n", err)
		return exitFailed
	}
	err = check(data)
	var invalid settings.Errors
	switch {
	case err == nil:
		fmt.Fprintf(stdout, "%s: valid (%s)\n", a.File, a.Kind)
		return exitOK
	case errors.As(err, &invalid):
		writeErrors(stdout, a.File+":", invalid)
	default:
		fmt.Fprintf(stderr, "error: %v\n", err)
	}
	return exitFailed
}

// writeErrors writes one line for each error.
func writeErrors(w io.Writer, prefix string, errs settings.Errors) {
	for _, e := range errs {
		fmt.Fprintln(w, prefix+e.String())
	}
}
