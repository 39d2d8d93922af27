// Package command implements the subcommands of the catkinline binary as thin layers
// over the public packages.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit statuses of the subcommands.
const (
	exitOK      = 0
	exitFailed  = 1 // refused or failed; a change was not applied
	exitUsage   = 2
	exitUnknown = 3 // a change may have been applied
)

// subcommand is an element of the list below. Its name may consist of several words.
// run receives the arguments after the name; its context ends on SIGINT or SIGTERM.
type subcommand struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

// subcommands lists the subcommands in the order of the help text.
var subcommands = []subcommand{
	{"entry", "accept jobs from callers and dispatch their tasks", runEntry},
	{"agent", "run tasks on one target", runAgent},
	{"gateway", "accept jobs from callers on the platform and place their tasks", runGateway},
	{"sidecar", "start the runs of one target on the platform", runSidecar},
	{"submit", "send a job and print its result", runSubmit},
	{"demo", "run a complete system in one process", runDemo},
	{"load", "load a fleet of processes and measure it", runLoad},
	{"scale", "measure the resource use of each role at several sizes", runScale},
	{"soak", "inject random faults into processes and check the guarantees", runSoak},
	{"report", "write a page with plots from logs", runReport},
	{"standin store", "serve a stand-in for the platform's store", runStandinStore},
	{"standin target", "serve a stand-in target", runStandinTarget},
	{"ctl", "show and change the configuration and state of a running system", runCtl},
	{"config check", "check a settings file or a configuration document", runConfigCheck},
}

// Main runs the subcommand that args name and returns the exit status. args does not
// include the program's name.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && (args[0] == "--help" || args[0] == "-h" || args[0] == "help") {
		writeUsage(stdout)
		return exitOK
	}
	for _, s := range subcommands {
		rest, ok := cutWords(args, s.name)
		if !ok {
			continue
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return s.run(ctx, rest, stdout, stderr)
	}
	if len(args) > 0 {
		fmt.Fprintf(stderr, "error: unknown subcommand %q\n", strings.Join(args, " "))
	}
	writeUsage(stderr)
	return exitUsage
}

// cutWords returns the arguments after the words of a subcommand's name, or false if
// args do not begin with them.
func cutWords(args []string, name string) ([]string, bool) {
	words := strings.Fields(name)
	if len(args) < len(words) {
		return nil, false
	}
	for i, w := range words {
		if args[i] != w {
			return nil, false
		}
	}
	return args[len(words):], true
}

func writeUsage(w io.Writer) {
	fmt.Fprintln(w, "Usage: catkinline SUBCOMMAND [--help] ...")
	fmt.Fprintln(w, "\nSubcommands:")
	for _, s := range subcommands {
		fmt.Fprintf(w, "  %-16s %s\n", s.name, s.summary)
	}
	fmt.Fprintln(w, "\nExample:\n  catkinline config check --kind entry entry.json")
}
