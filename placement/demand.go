package placement

import (
	"slices"
	"time"
)

const (
	// demandHalfLife is the time in which the weight of past jobs in a route's demand halves. It
	// is short since demand swings within seconds.
	demandHalfLife = 3 * time.Second
	// demandInterval is how often the demand is aged.
	demandInterval = demandHalfLife / 6
	// agingPerInterval is the sixth root of 2.
	agingPerInterval = 1.1225
)

// routeOfService names a route together with its service.
type routeOfService struct{ service, route string }

// demand is the recent work that callers asked for, by route, in thousandths of core-seconds.
type demand struct {
	work   map[routeOfService]float64
	agedAt time.Time
}

func newDemand() demand { return demand{work: make(map[routeOfService]float64)} }

func (d *demand) add(j *activeJob) {
	route := &j.request.Route
	for i, step := range j.request.Job.Steps {
		d.work[routeOfService{route.Service, route.Name}] += float64(step.Tasks) * j.expected[i].Seconds() * float64(step.Need.CPU)
	}
}

// age lowers the weight of past jobs. It has to be called at least once in demandInterval.
func (d *demand) age(now time.Time) {
	if now.Sub(d.agedAt) < demandInterval {
		return
	}
	d.agedAt = now
	for route, work := range d.work {
		if work /= agingPerInterval; work < 1 {
			delete(d.work, route)
		} else {
			d.work[route] = work
		}
	}
}

// share returns the share of some routes of the demand on a service.
func (d *demand) share(service string, routes []string) float64 {
	part, all := 0.0, 0.0
	for k, work := range d.work {
		if k.service != service {
			continue
		}
		all += work
		if slices.Contains(routes, k.route) {
			part += work
		}
	}
	if all == 0 {
		return 0
	}
	return part / all
}
