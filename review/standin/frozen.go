package main

import (
	"os"
	"syscall"
	"time"
)

func init() { plays["frozen-gateway"] = playFrozenGateway }

// playFrozenGateway freezes one gateway after the other for four seconds. Clients whose request is
// not answered within their time budget leave, and send their job again to another node after
// 1.3 s. It checks that no task runs twice at the same time.
//
// With WITHIN_BUDGET=1 clients wait for 8 s, and only those send again whose channel was reset: all
// channels to the frozen gateway are, 2.3 s after the freeze began.
func playFrozenGateway(rec *record, trouble bool) error {
	const (
		freezes    = 14
		freezeFor  = 4 * time.Second
		resetAfter = 2300 * time.Millisecond
		calm       = 2500 * time.Millisecond
	)
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 12, checks: []string{"TWICE"}})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	c, wait := newClients(d), 1500*time.Millisecond
	withinBudget := os.Getenv("WITHIN_BUDGET") == "1"
	if withinBudget {
		wait = 8 * time.Second
	}
	go func() {
		time.Sleep(time.Second)
		for i := 0; trouble && i < freezes; i++ {
			g := d.gateways[i%len(d.gateways)]
			g.signal(d, syscall.SIGSTOP)
			time.Sleep(resetAfter)
			if withinBudget {
				c.resetChannels(g.front())
			}
			time.Sleep(freezeFor - resetAfter)
			g.signal(d, syscall.SIGCONT)
			time.Sleep(calm)
		}
	}()
	traffic{
		perSecond: 150, lasts: freezes*(freezeFor+calm) + time.Second, wait: wait, tries: 3,
		newJob: func() job { return newJob(4, spec{work: 760 * time.Millisecond, cpu: 500}) },
	}.run(c, newBalancer(d.ctx, d.gateways))
	return nil
}
