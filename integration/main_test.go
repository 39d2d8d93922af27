// Package integration runs fleets of real processes and tests them under failures.
package integration

import (
	"os"
	"testing"

	"github.com/catkinline/catkinline/command"
	"github.com/catkinline/catkinline/internal/fleet"
)

// TestMain lets the processes of a fleet run the test binary as the catkinline program.
func TestMain(m *testing.M) {
	fleet.RunChild(func(arguments []string) int {
		return command.Main(arguments, os.Stdout, os.Stderr)
	})
	os.Exit(m.Run())
}
