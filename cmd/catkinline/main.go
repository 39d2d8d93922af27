// Command catkinline is a dispatcher for sub-second tasks. One binary holds the
// processes between callers and targets as subcommands.
package main

import (
	"os"

	"github.com/catkinline/catkinline/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
