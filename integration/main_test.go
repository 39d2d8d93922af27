// Package integration tests whole fleets of real processes under failure.
package integration

import (
	"os"
	"testing"

	"github.com/catkinline/catkinline/command"
	"github.com/catkinline/catkinline/internal/fleet"
)

// TestMain runs the test binary as the program in the processes of a fleet.
func TestMain(m *testing.M) {
	fleet.RunChild(func(arguments []string) int {
		return command.Main(arguments, os.Stdout, os.Stderr)
	})
	os.Exit(m.Run())
}
