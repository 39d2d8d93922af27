package fleet

import "os"

// childVariable is set for every process of a fleet. It tells a re-executed
// test binary to act as the program, and Start refuses to work where it is set:
// a test binary without the hook would otherwise start fleets without end.
const childVariable = "CATKINLINE_FLEET_CHILD"

// RunChild is the hook for TestMain: in a process of a fleet it runs the program's main function with the arguments and exits. Elsewhere it
// returns at once.
func RunChild(program func(arguments []string) int) {
	if os.Getenv(childVariable) != "" {
		os.Exit(program(os.Args[1:]))
	}
}

// TestOptions returns options whose processes are the test binary itself; its
// TestMain must call RunChild.
func TestOptions() (Options, error) {
	executable, err := os.Executable()
	if err != nil {
		return Options{}, Error.Wrap(err)
	}
	return Options{Executable: executable}, nil
}
