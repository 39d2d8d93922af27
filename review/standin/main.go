// Command standin plays the scripted cases of the review: it starts the project's own programs as
// processes on loopback addresses, with stand-ins of clients, runners and the platform, and
// checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case gets: a running store and a record.
type scene struct {
	*deployment
	client  *client
	trouble bool // whether the disruption happens
}

// cases returns the violations that a case saw, or an error if it could not run.
var cases = map[string]func(*scene) ([]string, error){
	"foreign-report": foreignReport,
	"leaving-runner": leavingRunner,
	"other-kind":     otherKind,
	"frozen-gateway": frozenGateway,
	"late-copy":      lateCopy,
	"late-orders":    lateOrders,
	"dropped-route":  droppedRoute,
	"waiting-cancel": waitingCancel,
	"cancel-retried": cancelRetried,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, dir string) int {
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	d, err := newDeployment(rec)
	if d != nil {
		defer d.stop()
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-interrupted
			d.stop()
			os.Exit(exitNotRun)
		}()
	}
	var violations []string
	if err == nil {
		s := &scene{deployment: d, client: newClient(rec), trouble: os.Getenv("TROUBLE") != "0"}
		rec.printf("case %s, trouble %v", name, s.trouble)
		violations, err = cases[name](s)
	}
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	slices.Sort(violations)
	for _, v := range violations {
		rec.printf("BROKEN %s", v)
	}
	if len(violations) > 0 {
		fmt.Printf("broken, %d times:\n%s\n", len(violations), strings.Join(violations[:min(len(violations), 10)], "\n"))
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
