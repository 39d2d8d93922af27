package placement_test

import (
	"strings"
	"testing"

	"github.com/catkinline/catkinline/placement"
	"github.com/catkinline/catkinline/wire"
)

// Guards against thousands of starts with large specs that fill a link at once, and against large specs that no
// target takes or that keep others out after their runs have ended.
func TestLargeSpecsAreStartedFewAtATime(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	large := request("j1", 1000, 1)
	large.Job.Spec = strings.Repeat("x", 250<<10)
	submit(t, s, large, begin)
	if n := len(l.starts()); n != 4 {
		t.Fatalf("%d starts of 250 KB are on their way, want 4", n)
	}
	submit(t, s, request("j2", 1, 1), begin)
	if n := len(l.starts()); n != 5 {
		t.Fatalf("a small task does not start beside large ones: %d starts", n)
	}
	for i := range 100 {
		s.HandleRunEnd("a", l, newRunEnd(l, i, wire.EndDone), begin)
	}
	if n := len(l.starts()); n < 100 || n > 105 {
		t.Errorf("%d starts after 100 ends", n)
	}
}

// Guards against a spec over the limit that no target takes, though it is alone there.
func TestLargestSpecStartsOnAnEmptyTarget(t *testing.T) {
	s := placement.New(placement.Options{})
	l := join(s, "a", 1, begin)
	huge := request("j1", 2, 1)
	huge.Job.Spec = strings.Repeat("x", 2<<20)
	submit(t, s, huge, begin)
	if n := len(l.starts()); n != 1 {
		t.Errorf("%d starts", n)
	}
}
