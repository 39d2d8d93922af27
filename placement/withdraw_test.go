package placement_test

import (
	"testing"
	"time"

	"github.com/catkinline/catkinline/placement"
)

// Guards against handing a job to another entry that has a run here, for which two callers wait, or whose
// earlier request has runs that have not ended, and against keeping one that only waits.
func TestWithdrawnJobsHaveNoRunHere(t *testing.T) {
	s := placement.New(placement.Options{})
	join(s, "a", 1, begin)
	join(s, "b", 1, begin)
	running := submit(t, s, request("running", 1, 8000), begin)
	earlier := submit(t, s, request("sent again", 1, 8000), begin)
	earlier.Cancel(begin) // its run has not ended
	again := submit(t, s, request("sent again", 1, 8000), begin)
	twice := submit(t, s, request("asked twice", 1, 8000), begin)
	submit(t, s, request("asked twice", 1, 8000), begin)
	waiting := submit(t, s, request("waiting", 1, 8000), begin)
	if n := s.Withdraw(after(time.Second)); n != 1 {
		t.Errorf("%d jobs withdrawn, want 1", n)
	}
	if a, ok := answered(waiting); !ok || a.Outcome != placement.Withdrawn {
		t.Errorf("waiting job: got %+v, want withdrawn", a)
	}
	for name, ticket := range map[string]*placement.Ticket{"running": running, "of an earlier run": again, "of two callers": twice} {
		if _, ok := answered(ticket); ok {
			t.Errorf("the job %s is given back", name)
		}
	}
}
