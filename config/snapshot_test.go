package config

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/catkinline/catkinline/label"
	"github.com/catkinline/catkinline/wire"
)

func readExample(t testing.TB) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/beads.json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mustCompile(t testing.TB, revision uint64, data []byte) *Snapshot {
	t.Helper()
	s, err := Compile(revision, data)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a rule that is ignored, a rule that applies to requests it does not match, and
// a label override that has no effect.
func TestEligible(t *testing.T) {
	s := mustCompile(t, 1, readExample(t))
	set := func(pairs ...string) label.Set {
		out := label.Set{}
		for i := 0; i < len(pairs); i += 2 {
			out[pairs[i]] = pairs[i+1]
		}
		return out
	}
	for _, c := range []struct {
		service         string
		request, target label.Set
		want            bool
	}{
		{"orders", set(), set("tier", "stock"), true},
		{"orders", set(), set("tier", "web"), false},
		{"orders", set("kind", "quote"), set("tier", "stock"), false},
		{"orders", set("kind", "quote"), set("tier", "stock", "memory", "large"), true},
		{"orders", set("kind", "quote", "shop", "varna"), set("tier", "stock", "memory", "large"), false},
		{"orders", set("kind", "quote", "shop", "varna"), set("tier", "stock", "memory", "large", "rack", "r2"), true},
		{"quotes", set(), set("tier", "stock"), false},
		{"orders", set(), s.TargetLabels("runner-2", set("tier", "stock")), false},
	} {
		if got := s.Eligible(c.service, c.request, c.target); got != c.want {
			t.Errorf("%s: request %v on target %v: %v", c.service, c.request, c.target, got)
		}
	}
}

// Guards against a document whose content changes when it is stored and read back.
func TestStoredFormIsStable(t *testing.T) {
	d, errs := Parse(readExample(t))
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	stored := d.withChange(Change{ID: "c1"}).encode()
	again, unknown, errs := ParseStored(7, stored)
	if len(unknown)+len(errs) > 0 || len(Diff(d, again)) > 0 || again.Changes[0].Revision != 7 {
		t.Errorf("unknown %v, errors %v, changes %v, differences %v", unknown, errs, again.Changes, Diff(d, again))
	}
	if s := again.Services["free"]; s.MaxEjectedShare != 0 || s.Short.RunMS != defaultShortRunMS {
		t.Errorf("got service %+v, want a MaxEjectedShare of 0 and the default run time", s)
	}
}

// Guards against different encodings of a view in entries with the same document, with which
// the view would be sent repeatedly, and against large views.
func TestViewsAreDeterministicAndSmall(t *testing.T) {
	first, err := mustCompile(t, 5, readExample(t)).View("orders", "runner-2")
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		again, _ := mustCompile(t, 5, readExample(t)).View("orders", "runner-2")
		if !bytes.Equal(first.Config, again.Config) {
			t.Fatal("two encodings differ")
		}
	}
	if len(first.Config) > 256 {
		t.Errorf("encoded view has %d bytes, want at most 256", len(first.Config))
	}
	v, err := DecodeView(first.Config)
	if err != nil || !v.Target.Drain || v.Compiled().Limits(wire.ClassLong).RunMS != defaultLongRunMS {
		t.Errorf("view %+v, error %v", v, err)
	}
}

// Guards against a merged view that reverts newer configuration, is lost when an older document
// arrives, or raises the revision of a service or target that it does not contain.
func TestMergeView(t *testing.T) {
	document := func(revision uint64, drain bool) *Snapshot {
		return mustCompile(t, revision, fmt.Appendf(nil, `{"services":{"s":{"short":{"run_ms":%d}}},"targets":{"a":{"drain":%v},"b":{"drain":%v}}}`, revision, drain, drain))
	}
	h := NewHolder()
	h.Adopt(document(5, false))
	changed, cancel := h.Subscribe()
	defer cancel()
	newer, _ := document(9, true).View("s", "a")
	if ok, err := h.MergeView(newer); !ok || err != nil {
		t.Fatal(ok, err)
	}
	<-changed
	older, _ := document(7, false).View("s", "a")
	if ok, _ := h.MergeView(older); ok {
		t.Error("an older view was merged")
	}
	check := func(when string, revision, revisionForA, revisionForB, runMS uint64, drainA, drainB bool) {
		t.Helper()
		s := h.Current()
		service, _ := s.Service("s")
		if s.Revision() != revision || s.RevisionFor("s", "a") != revisionForA || s.RevisionFor("s", "b") != revisionForB {
			t.Errorf("%s: revisions %d, %d, %d; want revision, revisionForA and revisionForB of this check", when, s.Revision(), s.RevisionFor("s", "a"), s.RevisionFor("s", "b"))
		}
		if service.Short.RunMS != int(runMS) || s.Target("a").Drain != drainA || s.Target("b").Drain != drainB {
			t.Errorf("%s: service %+v, targets %+v %+v; want runMS, drainA and drainB of this check", when, service.Service, s.Target("a"), s.Target("b"))
		}
	}
	check("merged", 5, 9, 5, 9, true, false)
	h.Adopt(document(7, false))
	check("older document", 7, 9, 7, 9, true, false)
	if h.Adopt(document(6, true)) {
		t.Error("a lower revision was adopted")
	}
	h.Adopt(document(10, false))
	check("newer document", 10, 10, 10, 10, false, false)
	if _, changed := h.Current().withNewerView(10, AgentView{ServiceName: "s", TargetName: "a"}); changed {
		t.Error("a view of the document's own revision was merged")
	}
	if _, err := h.MergeView(wire.View{Revision: 11, Config: []byte{0xff}}); err == nil {
		t.Error("a malformed view was merged")
	}
}

// Guards against an agent that applies a revision without a view to its current view although
// the sender never sent that view. Entry y has no revision 9 and sends the same view at 5 and
// 10, so its revision 10 refers to the view of revision 5.
func TestRevisionWithoutViewRefersToItsLink(t *testing.T) {
	var v ViewTracker
	v.Receive("y", wire.View{Revision: 5, Config: []byte("old")})
	v.Receive("x", wire.View{Revision: 9, Config: []byte("new")})
	if !v.ReceiveRevision("y", 10) || string(v.Current().Config) != "old" || v.Current().Revision != 10 {
		t.Errorf("got view %s at revision %d, want old at 10", v.Current().Config, v.Current().Revision)
	}
	if v.ReceiveRevision("x", 9) || v.ReceiveRevision("z", 20) {
		t.Error("a revision that is not newer, or of a link without a view, was adopted")
	}
}

// Guards against a sequence of documents and views in which a revision decreases.
func TestRevisionsNeverDecrease(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1)) // the same cases on every run
	properties.Property("no revision decreases", prop.ForAll(func(steps []uint8) bool {
		h, document, revisionForA := NewHolder(), uint64(0), uint64(0)
		for _, step := range steps {
			revision := uint64(step/2) + 1
			s := mustCompile(t, revision, []byte(`{"services":{"s":{}}}`))
			if step%2 == 0 {
				h.Adopt(s)
			} else {
				view, _ := s.View("s", "a")
				if _, err := h.MergeView(view); err != nil {
					return false
				}
			}
			now := h.Current()
			if now.Revision() < document || now.RevisionFor("s", "a") < max(revisionForA, revision) {
				return false
			}
			document, revisionForA = now.Revision(), now.RevisionFor("s", "a")
		}
		return true
	}, gen.SliceOf(gen.UInt8())))
	properties.TestingRun(t)
}

// Guards against a panic on arbitrary input, and against a valid document that cannot be
// compiled, stored or read back.
func FuzzDocument(f *testing.F) {
	f.Add(readExample(f))
	f.Add([]byte(`{"services":{"a b":{"rules":[{"requests":"x in (a|b","targets":"!"}],"max_ejected_share":1e999}}}`))
	f.Add([]byte(`{"changes":[{"id":"c1","revision":4},{"id":"c2"}],"workspaces":{"":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, errs := Parse(data)
		_, _ = Compile(1, data)
		if len(errs) > 0 {
			return
		}
		s, err := Compile(2, d.withChange(Change{ID: "c"}).encode())
		if err != nil || len(Diff(d, s.Document())) > 0 {
			t.Errorf("stored form: %v", err)
		}
	})
}

// Guards against a panic on arbitrary input, and against a selector that matches differently
// after it is printed and parsed again.
func FuzzSelector(f *testing.F) {
	for _, text := range []string{"", "a=b", "a!=b, !c ,d", "zone in (x|y)", "in in (in)", "a=b=c", "!=,=,!", "k in ()"} {
		f.Add(text, "a", "b")
	}
	f.Fuzz(func(t *testing.T, text, key, value string) {
		s, err := label.Parse(text)
		if err != nil {
			return
		}
		again, err := label.Parse(s.String())
		set := label.Set{key: value}
		if err != nil || again.Matches(set) != s.Matches(set) {
			t.Errorf("%q: %v", text, err)
		}
	})
}

// Guards against a panic on arbitrary input, and against a decoded view whose encoding is not
// deterministic.
func FuzzView(f *testing.F) {
	view, _ := mustCompile(f, 5, readExample(f)).View("orders", "runner-2")
	f.Add(view.Config)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, spec []byte) {
		v, err := DecodeView(spec)
		if err != nil {
			return
		}
		v.Compiled()
		first, _ := v.Encode()
		again, err := DecodeView(first)
		second, _ := again.Encode()
		if err != nil || !bytes.Equal(first, second) {
			t.Errorf("encodings differ: %v", err)
		}
	})
}
