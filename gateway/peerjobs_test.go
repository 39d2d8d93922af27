package gateway

import (
	"strings"
	"testing"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/wire"
	"github.com/catkinline/catkinline/workload"
)

// Guards against a placer that takes from ten peers what each of them has admitted from its callers, and against
// memory that counts as held after the jobs were answered.
func TestPeersJobsAreBounded(t *testing.T) {
	g := &Gateway{plan: ingress.Plan{Clients: ingress.Limits{Bytes: 2 << 20}}}
	m := &wire.JobForward{Job: workload.Job{Spec: strings.Repeat("x", 256<<10)}}
	for range 3 {
		held := 0
		for g.holdPeerJob(m) {
			held++
		}
		if held != 4 {
			t.Fatalf("%d jobs of 256 KB fit into 1 MB", held)
		}
		for range held {
			g.releasePeerJob(m)
		}
	}
}
