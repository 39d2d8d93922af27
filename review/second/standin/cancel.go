package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["cancelled-while-cut"] = cancelledWhileCut
	cases["home-cut-off"] = homeCutOff
	cases["cancelled-before-kill"] = cancelledBeforeKill
	cases["cancelled-after-storm"] = cancelledAfterStorm
}

const (
	// allSidecars is the number of the site; fewSidecars is for cases where it does not matter.
	allSidecars = 11
	fewSidecars = 4
	readyLimit  = 20 * time.Second
	// cutTime is how long a machine is cut off.
	cutTime = 5500 * time.Millisecond
)

// deploy starts three gateways and some sidecars with their runners, waits until all are ready, and
// lets steady state begin. The last gateway can be cut off.
func deploy(f *fleet, sidecars int, lastCanBeCut bool) (gateways []*node, err error) {
	for i, name := range []string{"edge-a", "edge-b", "edge-c"} {
		n, err := f.addGateway(name, 11+i, lastCanBeCut && i == 2)
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, n)
	}
	for i := range sidecars {
		if _, err := f.addSidecar(fmt.Sprintf("side-%c", 'a'+i), 31+i); err != nil {
			return nil, err
		}
	}
	if err := f.awaitReady(readyLimit); err != nil {
		return nil, err
	}
	time.Sleep(contactBound + time.Second)
	for _, n := range gateways {
		if r := f.send(n, http.MethodPost, newJob(1, 4, 50*time.Millisecond, 1500*time.Millisecond)); r.status != http.StatusOK {
			return nil, fmt.Errorf("%s serves no job in steady state: %s", n.name, r)
		}
	}
	return gateways, nil
}

// startsAfter returns the starts of a job's tasks later than cancelBound after its cancelling counts:
// from its acknowledgement, or from ackBound after it was sent without one.
func startsAfter(f *fleet, j job, counted time.Time) []string {
	var late []string
	for _, s := range f.startsOf(j.id) {
		if after := s.at.Sub(counted); after > cancelBound {
			late = append(late, fmt.Sprintf("%s began %s run %d %d ms after the cancelling counts; the bound is %d ms",
				s.on, s.task, s.run, after.Milliseconds(), cancelBound.Milliseconds()))
		}
	}
	return late
}

// cancelledWhileCut cancels a job of one gateway at another one that is cut off from all other
// machines of the system, and not from the clients.
func cancelledWhileCut(f *fleet, trouble bool) ([]string, error) {
	gateways, err := deploy(f, fewSidecars, true)
	if err != nil {
		return nil, err
	}
	home, cut := gateways[0], gateways[2]
	j := newJob(16, 2, 400*time.Millisecond, 8*time.Second)
	answered := make(chan response, 1)
	go func() { answered <- f.send(home, http.MethodPost, j) }()
	time.Sleep(500 * time.Millisecond)
	if len(f.startsOf(j.id)) == 0 {
		return nil, errors.New("no task of the job has started")
	}
	begun := time.Now()
	if trouble {
		f.record.printf("%s is cut off from the other machines and the store for %s", cut.name, cutTime)
		if err := cut.cut(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	cancel := f.send(cut, http.MethodDelete, job{id: j.id, waits: 1500 * time.Millisecond})
	acked := cancel.status/100 == 2 || cancel.status == http.StatusGone
	time.Sleep(time.Until(begun.Add(cutTime)))
	if trouble {
		f.record.printf("the cut is over")
		if err := cut.cut(false); err != nil {
			return nil, err
		}
	}
	<-answered
	time.Sleep(time.Second)
	if !acked {
		return nil, nil // the caller knows that it has to ask again
	}
	return startsAfter(f, j, cancel.at), nil
}

// homeCutOff cancels a job at another gateway than the one that has it, while that one is cut off from
// all other machines of the system. Whether the job is started again after the cut depends on the
// order in which links come back, so there are some rounds.
func homeCutOff(f *fleet, trouble bool) ([]string, error) {
	const rounds = 5
	gateways, err := deploy(f, allSidecars, true)
	if err != nil {
		return nil, err
	}
	for round := 1; round <= rounds; round++ {
		f.record.printf("round %d", round)
		violations, err := cutOffRound(f, gateways[2], gateways[0], trouble)
		if len(violations) > 0 || err != nil {
			return violations, err
		}
		time.Sleep(contactBound + time.Second)
	}
	return nil, nil
}

func cutOffRound(f *fleet, home, other *node, trouble bool) ([]string, error) {
	j := newJob(16, 8, 400*time.Millisecond, 8*time.Second)
	answered := make(chan response, 1)
	go func() { answered <- f.send(home, http.MethodPost, j) }()
	time.Sleep(500 * time.Millisecond)
	if len(f.startsOf(j.id)) == 0 {
		return nil, errors.New("no task of the job has started")
	}
	begun := time.Now()
	if trouble {
		f.record.printf("%s is cut off from the other machines and the store for %s", home.name, cutTime)
		if err := home.cut(true); err != nil {
			return nil, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	cancel := f.send(other, http.MethodDelete, job{id: j.id, waits: 1500 * time.Millisecond})
	if cancel.status/100 != 2 && cancel.status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was not acknowledged: %s", cancel)
	}
	time.Sleep(time.Until(begun.Add(cutTime)))
	if trouble {
		f.record.printf("the cut is over")
		if err := home.cut(false); err != nil {
			return nil, err
		}
	}
	<-answered
	time.Sleep(500 * time.Millisecond)
	return startsAfter(f, j, cancel.at), nil
}

// cancelledBeforeKill cancels a job, kills all gateways at once after that, and sends a late copy of
// the job's request to one of them when all are back in touch.
func cancelledBeforeKill(f *fleet, trouble bool) ([]string, error) {
	gateways, err := deploy(f, fewSidecars, false)
	if err != nil {
		return nil, err
	}
	j := newJob(1, 2, 4*time.Second, 8*time.Second)
	answered := make(chan response, 1)
	go func() { answered <- f.send(gateways[0], http.MethodPost, j) }()
	time.Sleep(500 * time.Millisecond)
	if len(f.startsOf(j.id)) == 0 {
		return nil, errors.New("no task of the job has started")
	}
	cancel := f.send(gateways[1], http.MethodDelete, job{id: j.id, waits: 1500 * time.Millisecond})
	if cancel.status/100 != 2 {
		return nil, fmt.Errorf("the cancelling was not acknowledged: %s", cancel)
	}
	if first := <-answered; first.status/100 != 2 {
		return nil, fmt.Errorf("the job's request got no 2xx: %s", first)
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.record.printf("all gateways are killed")
		for _, n := range gateways {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range gateways {
			n.awaitExit()
		}
		time.Sleep(restartDelay)
		for _, n := range gateways {
			if err := f.start(n); err != nil {
				return nil, err
			}
		}
	}
	if err := f.awaitReady(readyLimit); err != nil {
		return nil, err
	}
	time.Sleep(contactBound + 500*time.Millisecond)
	f.record.printf("a copy of the job's request arrives late")
	f.send(gateways[0], http.MethodPost, job{id: j.id, body: j.body, waits: 2 * time.Second})
	time.Sleep(time.Second)
	return startsAfter(f, j, cancel.at), nil
}

// cancelledAfterStorm cancels a job whose route a configuration has removed, after further
// configurations in quick succession.
func cancelledAfterStorm(f *fleet, trouble bool) ([]string, error) {
	const stormTime, stormGap = 1500 * time.Millisecond, 60 * time.Millisecond
	gateways, err := deploy(f, fewSidecars, false)
	if err != nil {
		return nil, err
	}
	j := newJob(28, 2, 400*time.Millisecond, 12*time.Second)
	answered := make(chan response, 1)
	go func() { answered <- f.send(gateways[0], http.MethodPost, j) }()
	time.Sleep(500 * time.Millisecond)
	if len(f.startsOf(j.id)) == 0 {
		return nil, errors.New("no task of the job has started")
	}
	if err := f.configure(false); err != nil {
		return nil, err
	}
	for begun := time.Now(); time.Since(begun) < stormTime; time.Sleep(stormGap) {
		if !trouble {
			continue
		}
		if err := f.configure(false); err != nil {
			return nil, err
		}
	}
	counted, acked := f.cancelAnywhere(gateways, j, answered)
	if !acked {
		counted = counted.Add(ackBound)
	}
	time.Sleep(500 * time.Millisecond)
	return startsAfter(f, j, counted), nil
}

// cancelAnywhere sends a job's cancelling to one gateway after the other until it is acknowledged or
// the job's request is answered. It returns when it was acknowledged, or else when it was first sent.
func (f *fleet) cancelAnywhere(gateways []*node, j job, answered <-chan response) (at time.Time, acked bool) {
	first := time.Now()
	for i := 0; ; i++ {
		r := f.send(gateways[i%len(gateways)], http.MethodDelete, job{id: j.id, waits: 1500 * time.Millisecond})
		if r.status/100 == 2 || r.status == http.StatusGone {
			return r.at, true
		}
		select {
		case <-answered:
			return first, false
		case <-time.After(500 * time.Millisecond):
		}
	}
}
