package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/catkinline/catkinline/standin"
)

const (
	// stopGap is the time between the stops of two gateways. A gateway without work serves on for 2.2 s.
	stopGap = 2300 * time.Millisecond
	// storeSilent is for_s of platform_down on the page of zlatna-line.
	storeSilent = 4500 * time.Millisecond
)

// playStopping plays planned stops of two gateways, one after the other, while the store gives no answers.
func playStopping(program, recordPath string, trouble bool) (bool, error) {
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
	time.Sleep(4 * time.Second)
	if trouble {
		d.record.printf("the store gives no answers")
		d.silence(true)
		time.AfterFunc(storeSilent, func() { d.silence(false) })
	}
	first, second := d.edges[1], d.edges[0]
	d.signal(first, syscall.SIGTERM)
	time.Sleep(stopGap)
	d.signal(second, syscall.SIGTERM)
	broken := false
	for _, m := range []*machine{first, second} {
		select {
		case <-m.exited:
		case <-time.After(7 * time.Second):
			return false, fmt.Errorf("%s has not ended within its grace", m.name)
		}
		code := m.command.ProcessState.ExitCode()
		d.record.printf("%-22s exit code %d", m.name, code)
		if code != 0 {
			broken = true
			d.recordPanic(m)
		}
	}
	return broken, nil
}

// silence sets whether the store leaves all calls without an answer.
func (d *deployment) silence(on bool) {
	_ = d.store.ChangeFaults(standin.StoreFaultChange{Hang: &on}) // fails only for leases
}

// recordPanic records the line with which the process of a machine said why it ended.
func (d *deployment) recordPanic(m *machine) {
	log, err := os.Open(filepath.Join(d.dir, m.name+".log"))
	if err != nil {
		return
	}
	defer log.Close()
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if line := lines.Text(); strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.HasPrefix(line, "github.com/catkinline/") {
			d.record.printf("%-22s %s", m.name, line)
		}
	}
}
