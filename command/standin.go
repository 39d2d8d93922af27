package command

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/catkinline/catkinline/standin"
)

type standinStoreArgs struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"TCP ip:port to serve"`
}

// Description implements arg.Described.
func (standinStoreArgs) Description() string {
	return "Serves an in-memory stand-in for the platform's store. POST /faults sets the faults that it injects."
}

// Epilogue implements arg.Epilogued.
func (standinStoreArgs) Epilogue() string {
	return "Example:\n  catkinline standin store --address 127.0.0.1:2380"
}

func runStandinStore(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a standinStoreArgs
	if exit, ok := parseArgs("standin store", &a, args, stdout, stderr); !ok {
		return exit
	}
	listening := func(addr net.Addr) { fmt.Fprintf(stdout, "store listens on %s\n", addr) }
	if err := standin.RunStore(ctx, a.Address, standin.RunStoreOptions{Listening: listening}); err != nil {
		return failed(stderr, err)
	}
	return exitOK
}

type standinTargetArgs struct {
	Address string `arg:"--address" default:"127.0.0.1:0" help:"TCP ip:port to serve"`
	Slots   int    `arg:"--slots" default:"8" help:"number of tasks that may run at once; 0: unlimited"`
}

// Description implements arg.Described.
func (standinTargetArgs) Description() string {
	return "Serves a stand-in target whose tasks only wait. POST /faults sets the faults that it injects; GET /starts returns the number of starts."
}

// Epilogue implements arg.Epilogued.
func (standinTargetArgs) Epilogue() string {
	return "Example:\n  catkinline standin target --address 127.0.0.1:9000 --slots 8"
}

func runStandinTarget(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a standinTargetArgs
	if exit, ok := parseArgs("standin target", &a, args, stdout, stderr); !ok {
		return exit
	}
	listening := func(address string) { fmt.Fprintf(stdout, "target listens on %s\n", address) }
	err := standin.RunTarget(ctx, a.Address, standin.TargetOptions{Slots: a.Slots, Listening: listening})
	if err != nil {
		return failed(stderr, err)
	}
	return exitOK
}
