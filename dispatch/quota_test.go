package dispatch

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
)

// fixedQuotas gives workspaces a fixed number of slots.
type fixedQuotas struct {
	limits  map[string]int
	running map[string]int
	most    int
}

func (q *fixedQuotas) Allow(workspace string) bool {
	limit, limited := q.limits[workspace]
	return !limited || q.running[workspace] < limit
}

func (q *fixedQuotas) TaskStarted(workspace string) {
	q.running[workspace]++
	if workspace == "capped" {
		q.most = max(q.most, q.running[workspace])
	}
}

func (q *fixedQuotas) TaskEnded(workspace string) { q.running[workspace]-- }

// Guards against a workspace at its quota whose waiting work holds up other workspaces,
// against a start over the quota, and against work that is never started after
// the quota has grown without any other event.
func TestWorkspaceAtItsQuotaHoldsUpNobody(t *testing.T) {
	f := newFleet(t, 1, 1, 8, settings.Policy{})
	s := f.entries[0].s
	q := &fixedQuotas{limits: map[string]int{"capped": 2}, running: map[string]int{}}
	s.opts.Quotas = q
	capped := spec(40, time.Second)
	capped.Workspace = "capped"
	first := f.submit(0, capped)
	f.advance(100 * time.Millisecond)
	other := f.submit(0, spec(12, 300*time.Millisecond))
	f.advance(700 * time.Millisecond)
	if a, ok := answer(other); !ok || a.Err != nil {
		t.Errorf("12 tasks of 300 ms on 6 free slots: answered %v, error %v", ok, a.Err)
	}
	if q.most != 2 {
		t.Errorf("%d slots used of a quota of 2", q.most)
	}
	waiting := map[string]int{}
	s.AddWaiting(waiting)
	if waiting["capped"] != 38 || waiting["a"] != 0 {
		t.Errorf("waiting %v", waiting)
	}
	q.limits["capped"] = 8
	f.advance(100 * time.Millisecond)
	if q.running["capped"] != 8 {
		t.Errorf("%d tasks run after the quota grew to 8", q.running["capped"])
	}
	f.advance(6 * time.Second)
	if a, ok := answer(first); !ok || a.Err != nil {
		t.Errorf("the capped job: answered %v, error %v", ok, a.Err)
	}
	f.checkStarts()
}
