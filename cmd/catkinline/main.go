// Command catkinline is the dispatcher: every process between callers and
// targets, in one binary.
package main

import (
	"os"

	"github.com/catkinline/catkinline/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
