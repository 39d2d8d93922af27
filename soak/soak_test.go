package soak_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/catkinline/catkinline/command"
	"github.com/catkinline/catkinline/internal/fleet"
	"github.com/catkinline/catkinline/soak"
)

// TestMain runs the program if the test binary is a child process of a soak.
func TestMain(m *testing.M) {
	fleet.RunChild(func(arguments []string) int {
		return command.Main(arguments, os.Stdout, os.Stderr)
	})
	os.Exit(m.Run())
}

// runSoak runs a soak and fails the test with each violation.
func runSoak(t *testing.T, o soak.Options) {
	t.Helper()
	o.Dir = t.TempDir()
	r, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Counts.Served == 0 {
		t.Error("no job was served")
	}
	if t.Failed() {
		showLogs(t, o.Dir)
	}
}

// showLogs prints the soak's own log, which lists the faults in order.
func showLogs(t *testing.T, dir string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "soak.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", text)
}

// Guards against violations of the rules under overlapping faults. To run more seeds:
// catkinline soak --seeds 50.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	runSoak(t, soak.Options{Seed: 7, Gateways: 2, Targets: 3, Planned: 2 * time.Second, Overlapping: 4 * time.Second, Rate: 8})
}

// regression is a seed that has failed, and the cause.
type regression struct {
	seed  uint64
	cause string
}

// regressions are seeds of bugs that are fixed.
var regressions = []regression{
	{46, "a target restarted under its id while requests were in flight: the new process applied them, and rejected requests of its agent for as long as the previous process had run"},
	{1010, "a target did not respond while requests to it were delayed in flight, so its agent reported its runs as stopped; the target restarted under the same id, and the new process, which had seen no fencing token, applied the requests"},
}

// Guards against the return of bugs that a soak has found.
func TestSoakRegressions(t *testing.T) { runSeeds(t, regressions) }

func runSeeds(t *testing.T, seeds []regression) {
	for _, r := range seeds {
		t.Run(fmt.Sprint("seed-", r.seed), func(t *testing.T) {
			t.Parallel()
			t.Log(r.cause)
			runSoak(t, soak.Options{Seed: r.seed, Plain: true})
		})
	}
}
