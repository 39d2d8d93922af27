package dispatch

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/settings"
)

// fixedQuotas limits workspaces to fixed numbers of slots.
type fixedQuotas struct {
	limits     map[string]int
	running    map[string]int
	maxRunning int
}

func (q *fixedQuotas) Allow(workspace string) bool {
	limit, limited := q.limits[workspace]
	return !limited || q.running[workspace] < limit
}

func (q *fixedQuotas) TaskStarted(workspace string) {
	q.running[workspace]++
	if workspace == "capped" {
		q.maxRunning = max(q.maxRunning, q.running[workspace])
	}
}

func (q *fixedQuotas) TaskEnded(workspace string) { q.running[workspace]-- }

// Guards against a workspace at its quota whose waiting tasks block other
// workspaces, against starts over the quota, and against tasks that do not start
// after the quota was raised because no other event follows.
func TestWorkspaceAtQuotaDoesNotBlockOthers(t *testing.T) {
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
	if a, ok := pollAnswer(other); !ok || a.Err != nil {
		t.Errorf("12 tasks of 300 ms on 6 free slots: answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	if q.maxRunning != 2 {
		t.Errorf("the capped workspace used %d slots, quota 2", q.maxRunning)
	}
	waiting := map[string]int{}
	s.AddWaiting(waiting)
	if waiting["capped"] != 38 || waiting["a"] != 0 {
		t.Errorf("waiting tasks %v, want 38 of workspace \"capped\" and none of workspace \"a\"", waiting)
	}
	q.limits["capped"] = 8
	f.advance(100 * time.Millisecond)
	if q.running["capped"] != 8 {
		t.Errorf("%d tasks run after the quota was raised to 8", q.running["capped"])
	}
	f.advance(6 * time.Second)
	if a, ok := pollAnswer(first); !ok || a.Err != nil {
		t.Errorf("the capped job: answered %v, error %v; want an answer without an error", ok, a.Err)
	}
	f.checkStarts()
}
