package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["killed-with-late-stops"] = killedWithLateStops }

const (
	retransmitDelay = 1300 * time.Millisecond // retransmit_ms
	lateShare       = 0.5
	lateTime        = 5500 * time.Millisecond
	// measureSlack leaves out overlaps of the size of the milliseconds in which leases are given.
	measureSlack = 2 * time.Millisecond
)

// killedWithLateStops kills gateways that have just started tasks, one at a time, while half of the
// orders to runners get no answer and are carried out late. The clients, whose channels break, send
// their jobs to another gateway after retransmitDelay.
func killedWithLateStops(f *fleet, trouble bool) ([]string, error) {
	const rounds = 14
	gateways, err := deploy(f, allSidecars, false)
	if err != nil {
		return nil, err
	}
	for _, r := range f.runners {
		r.mu.Lock()
		r.slow, r.stopTime = true, 50*time.Millisecond
		r.mu.Unlock()
	}
	for round := range rounds {
		f.record.printf("round %d", round+1)
		if err := killRound(f, gateways[round%3], gateways[(round+1)%3], trouble); err != nil {
			return nil, err
		}
		if twice := f.overlaps(); len(twice) > 0 {
			return twice, nil
		}
	}
	return nil, nil
}

func killRound(f *fleet, first, second *node, trouble bool) error {
	var clients sync.WaitGroup
	var started []job
	for range 2 {
		j := newSizedJob(1, 140, 500, 2500*time.Millisecond, 4*time.Second)
		started = append(started, j)
		clients.Go(func() {
			if r := f.send(first, http.MethodPost, j); r.err == nil {
				return
			}
			time.Sleep(retransmitDelay)
			f.send(second, http.MethodPost, j)
		})
	}
	limit := time.Now().Add(500 * time.Millisecond)
	for f.countStarts(started) < 170 && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
	}
	if f.countStarts(started) == 0 {
		return errors.New("no task has started")
	}
	if trouble {
		f.record.printf("%s is killed, and half of the orders are carried out late", first.name)
		first.signal(syscall.SIGKILL)
		for _, r := range f.runners {
			r.setLate(lateShare)
		}
		time.AfterFunc(lateTime, func() {
			for _, r := range f.runners {
				r.setLate(0)
			}
		})
		first.awaitExit()
		time.Sleep(restartDelay)
		if err := f.start(first); err != nil {
			return err
		}
	}
	clients.Wait()
	time.Sleep(1500 * time.Millisecond)
	return f.awaitReady(readyLimit)
}

func (f *fleet) countStarts(jobs []job) int {
	n := 0
	for _, j := range jobs {
		n += len(f.startsOf(j.id))
	}
	return n
}

// overlaps returns the pairs of runs of one task that were at work at the same time.
func (f *fleet) overlaps() []string {
	byTask := make(map[string][]interval)
	for _, r := range f.runners {
		r.mu.Lock()
		for _, i := range r.history {
			byTask[i.task] = append(byTask[i.task], i)
		}
		r.mu.Unlock()
	}
	var twice []string
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b interval) int { return a.begun.Compare(b.begun) })
		for i := 1; i < len(runs); i++ {
			a, b := runs[i-1], runs[i]
			if overlap := a.end.Sub(b.begun); overlap > measureSlack {
				twice = append(twice, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time for %.1f ms",
					task, a.run, a.on, b.run, b.on, overlap.Seconds()*1000))
			}
		}
	}
	return twice
}
