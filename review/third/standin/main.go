// Command third plays the cases of the third review that are scripts: it starts the programs of the deploy file as
// separate processes on loopback addresses, with stand-ins of clients, runners and the platform's store in this
// process.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: third CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	plays := map[string]func(program, record string, trouble bool) (broken bool, err error){
		"unlisted": playUnlisted,
		"alone":    playAlone,
		"evacuate": playEvacuate,
		"reborn":   playReborn,
		"stopping": playStopping,
	}
	play := plays[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	broken, err := play(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken; see", os.Args[3])
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
