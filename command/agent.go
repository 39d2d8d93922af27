package command

import (
	"context"
	"io"
	"os"

	"github.com/catkinline/catkinline/agent"
	"github.com/catkinline/catkinline/settings"
)

type agentArgs struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments"`
}

// Description implements arg.Described.
func (agentArgs) Description() string {
	return "Runs beside one target: announces it and starts all of its tasks. SIGTERM begins a planned stop."
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
	log, err := settings.NewLogger(s.Log, os.Stderr)
	if err != nil {
		return failed(stderr, err)
	}
	defer settings.CaptureStandardLog(log)()
	store, err := newStore(s.Store)
	if err != nil {
		return failed(stderr, err)
	}
	process, err := agent.NewProcess(s, store, log)
	if err != nil {
		return failed(stderr, err)
	}
	if err := process.Run(ctx); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}
