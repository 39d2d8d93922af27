package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// parseArgs parses the arguments of a subcommand into the struct that dest points
// to, as its arg tags say. If ok is false, the help text or a usage error has been
// written, and exit is the exit status.
func parseArgs(name string, dest any, args []string, stdout, stderr io.Writer) (exit int, ok bool) {
	config := arg.Config{
		Program:   "catkinline " + name,
		IgnoreEnv: true,
		Exit:      func(int) {},
		Out:       stderr,
	}
	parser, err := arg.NewParser(config, dest)
	if err != nil {
		return usageError(stderr, err), false
	}
	err = parser.Parse(args)
	switch {
	case err == nil:
		return exitOK, true
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return usageError(stderr, err), false
		}
		return exitOK, false
	}
	if err := parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...); err != nil {
		return usageError(stderr, err), false
	}
	return usageError(stderr, err), false
}

func usageError(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "error: %v\n", err)
	return exitUsage
}
