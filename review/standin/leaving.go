package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { plays["leaving-runner"] = playLeavingRunner }

// playLeavingRunner has one runner after the other drain, deregister and end, while tasks that last
// longer than the drain run on it. A runner ends within endTime of the acknowledgement of its
// deregistration. It checks that no task runs twice at the same time.
func playLeavingRunner(rec *record, trouble bool) error {
	const (
		drainFor  = 2200 * time.Millisecond // drain_ms is 2,000
		emptyFor  = 1500 * time.Millisecond
		calm      = 2 * time.Second
		rounds    = 12
		roundTime = drainFor + emptyFor + calm
	)
	endTime := 5 * time.Millisecond
	if n, err := strconv.Atoi(os.Getenv("END_MS")); err == nil {
		endTime = time.Duration(n) * time.Millisecond
	}
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 8, checks: []string{"TWICE"}})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() {
		time.Sleep(3 * time.Second)
		for i := 0; trouble && i < rounds; i++ {
			r := d.sides[i%len(d.sides)].runner
			l := r.current()
			l.drain()
			time.Sleep(drainFor)
			rec.write("deregistered", "runner", l.id, "acknowledged", l.post("deregister", nil))
			time.Sleep(endTime)
			r.end()
			time.Sleep(emptyFor)
			if err := r.start(fmt.Sprintf("i-%02d-%d", i%len(d.sides), 2+i/len(d.sides))); err != nil {
				failed <- err
				return
			}
			time.Sleep(calm)
		}
		failed <- nil
	}()
	traffic{
		perSecond: 15, lasts: 3*time.Second + rounds*roundTime, wait: 12 * time.Second, tries: 1,
		newJob: func() job { return newJob(2, spec{work: 4 * time.Second, cpu: 400}) },
	}.run(newClients(d), newBalancer(d.ctx, d.gateways))
	if !trouble {
		return nil
	}
	return <-failed
}
