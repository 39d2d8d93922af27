// Package command holds the subcommands of the catkinline binary, each a thin
// layer over the public packages.
package command

import (
	"fmt"
	"io"
)

// Exit statuses of every subcommand.
const (
	exitUsage = 2
)

// Main runs one subcommand and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == "load" {
		return runLoad(args[1:], stdout, stderr)
	}
	fmt.Fprintln(stderr, "usage: catkinline SUBCOMMAND")
	return exitUsage
}
