package fleet

import "os"

// childVariable is an environment variable that is set for every process of a
// fleet. A re-executed test binary that finds it set acts as the program. Start
// fails if it is set, because a test binary that does not call RunChild would
// otherwise start fleets recursively.
const childVariable = "CATKINLINE_FLEET_CHILD"

// RunChild is to be called first in TestMain. In a process of a fleet it runs
// program with the command line arguments and exits with the status that program
// returns; otherwise it does nothing.
func RunChild(program func(arguments []string) int) {
	if os.Getenv(childVariable) != "" {
		os.Exit(program(os.Args[1:]))
	}
}

// TestOptions returns options with the running test binary as the executable. Its
// TestMain must call RunChild.
func TestOptions() (Options, error) {
	executable, err := os.Executable()
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	return Options{Executable: executable}, nil
}
