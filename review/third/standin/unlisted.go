package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/catkinline/catkinline/member"
	"github.com/catkinline/catkinline/standin"
)

// Figures of the page of zlatna-line, and of its disruptions.
const (
	cancelBound  = 3 * time.Second // cancel_ms
	turnedAway   = 9 * time.Second // for_s of platform_down, how nodes
	restartDelay = 500 * time.Millisecond
	taskTime     = 760 * time.Millisecond // that of a lot-quote
	chainLength  = 12
	callerWaits  = 12 * time.Second
)

// chain is the body of a job whose tasks run one after the other.
func chain(length int, estimate time.Duration) ([]byte, error) {
	var steps []map[string]any
	for i := range length {
		step := map[string]any{"count": 1, "cpu": 3100, "mem_mb": 256, "est_runtime_ms": estimate.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	return json.Marshal(map[string]any{"spec": "quote", "best_effort": true, "steps": steps})
}

// playUnlisted plays a planned restart of one gateway while the store turns another one away, and cancels at the
// restarted gateway a job that the other one runs.
func playUnlisted(program, recordPath string, trouble bool) (bool, error) {
	return playRestartBeside(program, recordPath, trouble, 1, syscall.SIGTERM)
}

// playAlone plays the same with a gateway that is killed, while the store turns both other gateways away.
func playAlone(program, recordPath string, trouble bool) (bool, error) {
	return playRestartBeside(program, recordPath, trouble, 2, syscall.SIGKILL)
}

// playRestartBeside plays the restart of a gateway, which a signal ends, while the store turns a number of others away.
func playRestartBeside(program, recordPath string, trouble bool, turned int, end syscall.Signal) (bool, error) {
	d, err := newDeployment(site{
		zones: []string{"gabrovo-a", "sevlievo-c", "tarnovo-b"}, sidesPerZone: 3, service: "order-desk", host: "orders.example", prefix: "/quotes/",
		graceS: 6, farPenalty: 1.5, maxHoldMS: 1000, stopTime: 20 * time.Millisecond,
		work: func(string, string) (time.Duration, bool) { return taskTime, false },
	}, program, recordPath)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if err := d.configure(15 * time.Second); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	restarted, away := d.edges[0], d.edges[2]

	d.signal(restarted, end)
	select {
	case <-restarted.exited:
	case <-time.After(7 * time.Second):
		return false, fmt.Errorf("%s has not ended within its grace", restarted.name)
	}
	if trouble {
		for _, m := range d.edges[len(d.edges)-turned:] {
			if err := d.turnAwayUnlisted(m); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(restartDelay)
	if err := d.start(restarted); err != nil {
		return false, err
	}
	if err := d.awaitReady(restarted, 5*time.Second); err != nil {
		return false, err
	}
	id := jobID()
	body, err := chain(chainLength, taskTime)
	if err != nil {
		return false, err
	}
	done := make(chan answer, 1)
	go func() { done <- d.request(away, "POST", id, body, callerWaits) }()
	time.Sleep(500 * time.Millisecond)
	started := len(d.record.starts(func(e runEvent) bool { return strings.HasPrefix(e.task, id) }))
	if started == 0 {
		return false, fmt.Errorf("the job has not started at %s", away.name)
	}
	acknowledged, err := d.cancelAt(restarted, id)
	if err != nil {
		return false, err
	}
	<-done
	late := d.record.starts(func(e runEvent) bool {
		return strings.HasPrefix(e.task, id) && !e.late && e.at.Sub(acknowledged) > cancelBound
	})
	for _, e := range late {
		d.record.printf("UNASKED: %s started %s %.3f s after the acknowledgement", e.machine, e.task, e.at.Sub(acknowledged).Seconds())
	}
	d.record.printf("%d starts later than %v after the acknowledgement", len(late), cancelBound)
	return len(late) > 0, nil
}

// cancelAt cancels a job at a gateway, again after each refusal, and returns when that was acknowledged.
func (d *deployment) cancelAt(m *machine, id string) (time.Time, error) {
	for range 10 {
		a := d.request(m, "DELETE", id, nil, 2*time.Second)
		if a.status/100 == 2 || a.status == 410 {
			return a.at, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s did not acknowledge the cancelling", m.name)
}

// turnAwayUnlisted makes the store turn a gateway away for a time, and take its keys away at once.
func (d *deployment) turnAwayUnlisted(m *machine) error {
	d.record.printf("the store turns %s away and takes its keys away", m.name)
	m.store.turnAway(true)
	time.AfterFunc(turnedAway, func() {
		d.record.printf("the store serves %s again", m.name)
		m.store.turnAway(false)
	})
	return d.store.ChangeFaults(standin.StoreFaultChange{ExpireLeaseOf: member.Prefix + m.name})
}
