package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of what was sent, answered and run, and the finding of the rule's check.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
	counts  map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), counts: make(map[string]int)}, nil
}

// write adds a line: the seconds since the start, what happened, and pairs of names and values.
func (r *record) write(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[event]++
	r.line(event, pairs...)
}

func (r *record) line(event string, pairs ...any) {
	text := fmt.Sprintf("%9.4f %s", time.Since(r.started).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		value, err := json.Marshal(pairs[i+1])
		if err != nil {
			value = []byte(fmt.Sprintf("%q", fmt.Sprint(pairs[i+1])))
		}
		text += fmt.Sprintf(" %v=%s", pairs[i], value)
	}
	fmt.Fprintln(r.file, text)
}

// breach records that the rule was broken.
func (r *record) breach(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, values...)
	r.broken = append(r.broken, text)
	r.line("BROKEN", "what", text)
}

func (r *record) breaches() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// close writes the counts of all events and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("counts", "events", r.counts, "broken", len(r.broken))
	_ = r.file.Close()
}
