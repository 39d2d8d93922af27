package integration

import (
	"os"
	"testing"

	"github.com/catkinline/catkinline/command"
	"github.com/catkinline/catkinline/internal/fleet"
)

func TestMain(m *testing.M) {
	fleet.RunChild(func(arguments []string) int {
		return command.Main(arguments, os.Stdout, os.Stderr)
	})
	os.Exit(m.Run())
}
