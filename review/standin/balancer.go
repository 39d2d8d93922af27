package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer stands in for the platform's ingress. Each new channel of a client goes to the node of
// the client's zone or, if that is out of rotation, to another one. Once a second it asks each
// node whether it is ready. After two misses in a row a node gets no new channels until it is
// ready again.
type balancer struct {
	nodes []*machine

	mu     sync.Mutex
	misses map[*machine]int
}

func newBalancer(ctx context.Context, nodes []*machine) *balancer {
	b := &balancer{nodes: nodes, misses: make(map[*machine]int)}
	for _, n := range nodes {
		go b.checkLoop(ctx, n)
	}
	return b
}

func (b *balancer) checkLoop(ctx context.Context, n *machine) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		ready := false
		if response, err := client.Get("http://" + n.ip + ":" + readinessPort + "/readyz"); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		b.mu.Lock()
		if ready {
			b.misses[n] = 0
		} else {
			b.misses[n]++
		}
		b.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// node returns the node for a new channel of a client. Retries reach other nodes than before.
func (b *balancer) node(client int, before *machine) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	fallback := b.nodes[client%len(b.nodes)]
	for i := range b.nodes {
		n := b.nodes[(client+i)%len(b.nodes)]
		if n == before {
			continue
		}
		if b.misses[n] < 2 {
			return n
		}
		fallback = n
	}
	return fallback
}
