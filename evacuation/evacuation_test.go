package evacuation

import (
	"slices"
	"testing"
)

// Guards against an older state that arrives late over another link and revokes an evacuation.
func TestOlderStateIsIgnored(t *testing.T) {
	var c Current
	if c.Load().Covers("a") {
		t.Error("covered before anything is known")
	}
	steps := []struct {
		revision uint64
		domains  []string
		adopted  bool
		covers   bool
	}{
		{5, nil, true, false},
		{9, []string{"b", "a", "a", ""}, true, true},
		{7, nil, false, true},
		{9, nil, false, true},
		{12, []string{"b"}, true, false},
	}
	for _, s := range steps {
		if got := c.Advance(New(s.revision, s.domains)); got != s.adopted {
			t.Errorf("revision %d adopted: %t", s.revision, got)
		}
		if got := c.Load().Covers("a"); got != s.covers {
			t.Errorf("after revision %d, a is covered: %t", s.revision, got)
		}
	}
}

// Guards against a key without a domain, or a list with duplicates, that covers targets whose
// domain is not known.
func TestDomainsAreDistinctAndNamed(t *testing.T) {
	s := New(1, []string{"b", "", "a", "b"})
	if !slices.Equal(s.Domains, []string{"a", "b"}) || s.Covers("") {
		t.Errorf("domains %q, unnamed covered: %t", s.Domains, s.Covers(""))
	}
}

// Guards against an evacuation that stays in force after its key has gone while the store's
// history was lost, and against changes that are applied out of order.
func TestViewFollowsStore(t *testing.T) {
	var v View
	s := v.List(10, []string{"a", "b"})
	if s.Revision != 10 || !s.Covers("a") || !s.Covers("b") {
		t.Errorf("listed: %+v", s)
	}
	s = v.Apply(14, []Change{{"c", false}, {"a", true}, {"a", false}, {"b", true}, {"never", true}})
	if s.Revision != 14 || !slices.Equal(s.Domains, []string{"a", "c"}) {
		t.Errorf("after changes: %+v", s)
	}
	s = v.List(20, []string{"c"})
	if s.Revision != 20 || !slices.Equal(s.Domains, []string{"c"}) {
		t.Errorf("listed again: %+v", s)
	}
}
