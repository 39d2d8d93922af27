package main

import (
	"syscall"
	"time"
)

func init() { plays["frozen-gateway"] = playFrozenGateway }

// playFrozenGateway freezes one gateway after the other for four seconds. Clients whose request is
// not answered within their time budget leave, and send their job again to another node after
// 1.3 s. It checks that no task runs twice at the same time.
func playFrozenGateway(rec *record, trouble bool) error {
	const (
		freezes   = 10
		freezeFor = 4 * time.Second
		calm      = 4 * time.Second
	)
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 10, checks: []string{"TWICE"}})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	go func() {
		time.Sleep(time.Second)
		for i := 0; trouble && i < freezes; i++ {
			g := d.gateways[i%len(d.gateways)]
			g.signal(d, syscall.SIGSTOP)
			time.Sleep(freezeFor)
			g.signal(d, syscall.SIGCONT)
			time.Sleep(calm)
		}
	}()
	traffic{
		perSecond: 90, lasts: freezes*(freezeFor+calm) + time.Second, wait: 1500 * time.Millisecond, tries: 3,
		newJob: func() job { return newJob(4, spec{work: 760 * time.Millisecond, cpu: 500}) },
	}.run(newClients(d), newBalancer(d.ctx, d.gateways))
	return nil
}
