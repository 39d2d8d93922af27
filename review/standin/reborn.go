package main

import (
	"math/rand/v2"
	"time"
)

func init() { plays["late-report"] = playLateReport }

// playLateReport cuts one runner after the other off for four seconds. Behind the cut the runner
// crashes and starts again under its id, as a machine of another kind. When the cut heals, it
// registers, and then a heartbeat of its earlier life arrives that the cut had held up. Each job
// needs the label of one kind. It checks that no task starts on a runner without its label.
func playLateReport(rec *record, trouble bool) error {
	const (
		cutFor    = 4 * time.Second
		crashAt   = 2 * time.Second
		backAfter = time.Second
		lateBy    = 30 * time.Millisecond
		calm      = 2500 * time.Millisecond
		rounds    = 14
	)
	d, err := newDeployment(rec, deploymentOptions{gateways: 3, sides: 8, checks: []string{"ROUTE"}, relays: true})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() {
		for i := range rounds {
			r := d.sides[i%len(d.sides)].runner
			before := r.current()
			if err := r.setCut(true); err != nil {
				failed <- err
				return
			}
			heldUp := before.beatBody()
			time.Sleep(crashAt)
			r.end()
			time.Sleep(backAfter)
			if err := r.startAs(before.id, otherKind(before.labels)); err != nil {
				failed <- err
				return
			}
			time.Sleep(cutFor - crashAt - backAfter)
			if err := r.setCut(false); err != nil {
				failed <- err
				return
			}
			for !r.current().beat() && d.ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			rec.write("registered", "runner", before.id, "labels", r.current().labels)
			if trouble {
				time.Sleep(lateBy)
				acknowledged := r.current().post("heartbeat", heldUp)
				rec.write("late heartbeat arrives", "runner", before.id, "labels", before.labels, "acknowledged", acknowledged)
			}
			time.Sleep(calm)
		}
		failed <- nil
	}()
	traffic{
		perSecond: 45, lasts: rounds * (cutFor + calm), wait: 3 * time.Second, tries: 1,
		newJob: func() job {
			return newJob(4, spec{work: 300 * time.Millisecond, cpu: 3100, label: []string{"a", "b"}[rand.IntN(2)]})
		},
	}.run(newClients(d), newBalancer(d.ctx, d.gateways))
	return <-failed
}

// otherKind returns the labels of a machine of the other kind in the same rack.
func otherKind(labels []string) []string {
	if labels[0] == "a" {
		return []string{"b", labels[1]}
	}
	return []string{"a", labels[1]}
}
