package main

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/catkinline/catkinline/platform"
)

// evacuateBound is evacuate_ms on the page of tdc-lisboa.
const evacuateBound = 5 * time.Second

// playEvacuate plays an evacuation while the store turns all gateways away and serves all sidecars.
func playEvacuate(program, recordPath string, trouble bool) (bool, error) {
	d, err := newDeployment(site{
		zones: []string{"lisboa-a", "lisboa-b", "lisboa-c"}, sidesPerZone: 3, service: "marker", host: "marks.example", prefix: "/hints/",
		graceS: 6, farPenalty: 1.5, maxHoldMS: 1000, stopTime: 20 * time.Millisecond,
		work: func(string, string) (time.Duration, bool) { return 200 * time.Millisecond, false },
	}, program, recordPath)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if err := d.configure(5 * time.Second); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // all machines are in touch
	if trouble {
		for _, m := range d.edges {
			d.record.printf("the store turns %s away", m.name)
			m.store.turnAway(true)
		}
	}
	ended := time.Now().Add(turnedAway)
	time.Sleep(300 * time.Millisecond)
	zone := d.edges[0].zone
	if err := d.write(platform.EvacuationPrefix+zone, []byte("{}")); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	body, err := json.Marshal(map[string]any{"spec": "hint", "best_effort": true, "steps": []any{
		map[string]any{"count": 2, "cpu": 2900, "mem_mb": 256, "est_runtime_ms": 200},
	}})
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	for i := 0; time.Now().Before(ended); i++ {
		m := d.edges[i%len(d.edges)]
		clients.Go(func() { d.request(m, "POST", jobID(), body, 1500*time.Millisecond) })
		time.Sleep(40 * time.Millisecond)
	}
	for _, m := range d.edges {
		m.store.turnAway(false)
	}
	clients.Wait()
	late := d.record.starts(func(e runEvent) bool {
		return e.zone == zone && !e.late && e.at.Sub(acknowledged) > evacuateBound
	})
	for _, e := range late {
		d.record.printf("EVAC: %s started %s %.3f s after the acknowledgement", e.machine, e.task, e.at.Sub(acknowledged).Seconds())
	}
	d.record.printf("%d starts in %s later than %v after the acknowledgement", len(late), zone, evacuateBound)
	return len(late) > 0, nil
}
