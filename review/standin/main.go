// Command standin plays the scripted cases of the review: it starts gateways and sidecars as
// processes of the built program, with stand-ins of the platform, the runners and the clients,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"time"
)

// timeLimit is the longest time that a case may run.
const timeLimit = 118 * time.Second

// A play runs a case against the clock and records what it sees.
type play func(rec *record, trouble bool) error

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	play, known := plays[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	// The kernel ends the processes of the case with this one.
	time.AfterFunc(timeLimit, func() {
		fmt.Fprintln(os.Stderr, "the case did not end in time")
		os.Exit(2)
	})
	err = play(rec, os.Getenv("TROUBLE") != "0")
	broken := rec.breaches()
	rec.close()
	for i, b := range broken {
		if i == 5 {
			fmt.Printf("and %d more\n", len(broken)-i)
			break
		}
		fmt.Println(b)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case len(broken) > 0:
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
