package main

import (
	"net/http"
	"os"
	"time"
)

func init() { plays["late-stops"] = playLateStops }

// playLateStops has the runners leave half of the orders unanswered, and carry them out later, for
// 5.5 s at a time. Some jobs take longer than their clients wait: the gateway answers 504, and the
// client sends the job again to another node after 1.3 s. It checks that no task runs twice at the
// same time.
//
// With WITHIN_BUDGET=1 clients wait for 12 s, and only those send again whose channel broke: one gateway
// is killed in each of the spells, and starts again.
func playLateStops(rec *record, trouble bool) error {
	const (
		spells    = 9
		spellFor  = 5500 * time.Millisecond
		killAfter = time.Second
		calm      = 3500 * time.Millisecond
	)
	withinBudget := os.Getenv("WITHIN_BUDGET") == "1"
	wait, again := 1500*time.Millisecond, func(a answer) bool { return a.status == http.StatusGatewayTimeout }
	if withinBudget {
		wait, again = 12*time.Second, func(a answer) bool { return a.err != nil }
	}
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 8, checks: []string{"TWICE"}})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	setLate := func(share float64) {
		for _, m := range d.sides {
			m.runner.setLateShare(share)
		}
	}
	go func() {
		for i := 0; trouble && i < spells; i++ {
			time.Sleep(calm)
			rec.write("orders are late")
			setLate(0.5)
			time.Sleep(killAfter)
			if withinBudget {
				if err := d.gateways[i%len(d.gateways)].killAndStart(d); err != nil {
					rec.write("gateway not started", "error", err.Error())
				}
			}
			time.Sleep(spellFor - killAfter)
			rec.write("orders are not late any more")
			setLate(0)
		}
	}()
	number := 0
	traffic{
		perSecond: 40, lasts: spells * (spellFor + calm), wait: wait, slack: 100 * time.Millisecond, tries: 2,
		again: again,
		newJob: func() job {
			number++
			if number%2 == 0 {
				return newJob(4, spec{work: 4 * time.Second, cpu: 400})
			}
			return newJob(2, spec{work: 170 * time.Millisecond, cpu: 400})
		},
	}.run(newClients(d), newBalancer(d.ctx, d.gateways))
	return nil
}
