// Command standin plays the cases of the second review: it starts gateways and sidecars as
// processes, stands in for clients, runners and the platform, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With the
// variable TROUBLE set to 0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds from the site file.
const (
	cancelBound  = 3000 * time.Millisecond // cancel_ms
	ackBound     = 4000 * time.Millisecond // ack_ms
	contactBound = 3000 * time.Millisecond // contact_ms
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns what broke the rule, or an error if it could not run.
var cases = map[string]func(f *fleet, trouble bool) (violations []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{file: file, begun: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, disruption: %t", name, trouble)
	f, err := newFleet(rec)
	if err != nil {
		return rec.notRun(err)
	}
	defer f.close()
	violations, err := cases[name](f, trouble)
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		f.copyLogs(logs)
	}
	switch {
	case err != nil:
		return rec.notRun(err)
	case len(violations) > 0:
		rec.printf("BROKEN:\n  %s", strings.Join(violations, "\n  "))
		return exitBroken
	}
	rec.printf("HELD")
	return exitHeld
}

// copyLogs copies the logs of all processes to a folder.
func (f *fleet) copyLogs(folder string) {
	for name := range f.nodes {
		if data, err := os.ReadFile(filepath.Join(f.dir, name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(folder, name+".log"), data, 0o600) // the logs are only an aid
		}
	}
}

// record is the file with all that was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
	_, _ = r.file.WriteString(line) // the record is only an aid
	fmt.Print(line)
}

func (r *record) notRun(err error) int {
	r.printf("NOT RUN: %v", err)
	return exitNotRun
}
