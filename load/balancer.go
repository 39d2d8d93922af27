package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Readiness probe timing, which matches that of the users' load balancers.
const (
	probeInterval = 250 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer simulates the platform's load balancer: it assigns each job to one of
// the entries that pass their readiness probe.
type balancer struct {
	jobURLs []string // base URLs for jobs
	probes  []string // URLs of the readiness probes
	ready   []atomic.Bool
	client  *http.Client
}

func newBalancer(jobURLs, probeBaseURLs []string) *balancer {
	b := &balancer{
		jobURLs: jobURLs,
		ready:   make([]atomic.Bool, len(jobURLs)),
		client:  &http.Client{Timeout: probeTimeout},
	}
	for i := range jobURLs {
		b.probes = append(b.probes, probeBaseURLs[i]+"/readyz")
		b.ready[i].Store(true)
	}
	return b
}

// watch probes the readiness of all entries until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	var probes sync.WaitGroup
	for i := range b.probes {
		probes.Go(func() {
			for sleepUntil(ctx, time.Now().Add(probeInterval)) {
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

// pick returns the base URL of the entry for a job. The draw, a random number in
// [0, 1), selects among the ready entries, or among all if none is ready.
func (b *balancer) pick(draw float64) string {
	var ready []string
	for i := range b.jobURLs {
		if b.ready[i].Load() {
			ready = append(ready, b.jobURLs[i])
		}
	}
	if len(ready) == 0 {
		ready = b.jobURLs
	}
	return ready[int(draw*float64(len(ready)))]
}
