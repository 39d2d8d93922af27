package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the balancer, as the users' load balancers are configured.
const (
	balancerInterval = 250 * time.Millisecond
	balancerTimeout  = time.Second
)

// balancer stands for the platform's load balancer: it sends each job to one of
// the entries that are ready.
type balancer struct {
	callers []string // addresses for jobs
	probes  []string // readiness addresses
	ready   []atomic.Bool
	client  *http.Client
}

func newBalancer(callers, entries []string) *balancer {
	b := &balancer{
		callers: callers,
		ready:   make([]atomic.Bool, len(callers)),
		client:  &http.Client{Timeout: balancerTimeout},
	}
	for i := range callers {
		b.probes = append(b.probes, entries[i]+"/readyz")
		b.ready[i].Store(true)
	}
	return b
}

// watch probes readiness until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	var probes sync.WaitGroup
	for i := range b.probes {
		probes.Go(func() {
			for sleepUntil(ctx, time.Now().Add(balancerInterval)) {
				b.ready[i].Store(b.probe(ctx, b.probes[i]))
			}
		})
	}
	probes.Wait()
}

func (b *balancer) probe(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// pick returns the address for a job with a draw from 0 to 1. If no entry is
// ready, it picks from all of them.
func (b *balancer) pick(draw float64) string {
	var ready []string
	for i := range b.callers {
		if b.ready[i].Load() {
			ready = append(ready, b.callers[i])
		}
	}
	if len(ready) == 0 {
		ready = b.callers
	}
	return ready[int(draw*float64(len(ready)))]
}
