package label

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a selector that matches the wrong targets.
func TestSelectorMatches(t *testing.T) {
	set := Set{"gpu": "yes", "rack": "r1", "empty": ""}
	for text, want := range map[string]bool{
		"":                        true,
		"  ":                      true,
		"gpu=yes":                 true,
		" gpu = yes , rack = r1 ": true,
		"gpu=yes,rack=r2":         false,
		"gpu=no":                  false,
		"gpu=Yes":                 false,
		"gpu!=yes":                false,
		"gpu!=no":                 true,
		"missing!=no":             true,
		"missing=":                false,
		"empty=":                  true,
		"gpu":                     true,
		"empty":                   true,
		"missing":                 false,
		"!missing":                true,
		"!gpu":                    false,
		"rack in (r1|r2)":         true,
		"rack in ( r2 | r3 )":     false,
		"missing in (r1|)":        false,
		"empty in (|x)":           true,
		"!missing,rack in (r1)":   true,
	} {
		s, err := Parse(text)
		if err != nil {
			t.Errorf("%q: %v", text, err)
		} else if s.Matches(set) != want {
			t.Errorf("%q: matches is %v", text, !want)
		}
	}
	if s, _ := Parse("!gpu"); !s.Matches(nil) {
		t.Error("a set without labels has a label")
	}
}

// Guards against a text that parses with another meaning than intended, and against
// unbounded memory for a long text.
func TestParseRejectsInvalidSelectors(t *testing.T) {
	for _, text := range []string{
		",", "gpu=yes,", "=yes", "!", "gpu==yes", "gpu=a=b", "gpu=a b", "a b=c", "rack in r1",
		"rack in (r1", "rack in (r1,r2)", "rack in (a b)", "in (a)", "gpu>1", "gpu=\x00", "gpü=1", "!!gpu",
		strings.Repeat("k", MaxKeyBytes+1),
		"k=" + strings.Repeat("v", MaxValueBytes+1),
		strings.Repeat("a,", MaxTerms) + "a",
	} {
		if _, err := Parse(text); err == nil || !ErrSyntax.Has(err) {
			t.Errorf("%q: error %v", text, err)
		}
	}
}

// Guards against a term and its negation that have the same result, and against two
// different sets with the same canonical key.
func TestSelectorProperties(t *testing.T) {
	word := gen.OneConstOf("a", "b", "c", "x.y", "0-_/")
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("exactly one of k=v and k!=v holds", prop.ForAll(
		func(key, value, other string) bool {
			set := Set{key: other}
			equal, err := Parse(key + "=" + value)
			differ, err2 := Parse(key + "!=" + value)
			return err == nil && err2 == nil && equal.Matches(set) != differ.Matches(set)
		},
		word, word, word,
	))
	properties.Property("the list form holds where one of its values does", prop.ForAll(
		func(key, first, second, value string) bool {
			set := Set{key: value}
			s, err := Parse(key + " in (" + first + "|" + second + ")")
			return err == nil && s.Matches(set) == (value == first || value == second)
		},
		word, word, word, word,
	))
	properties.Property("Key tells sets apart", prop.ForAll(
		func(k1, v1, k2, v2 string) bool {
			one, two := Set{k1: v1}, Set{k2: v2}
			return (one.Key() == two.Key()) == (k1 == k2 && v1 == v2) && one.Merge(two)[k2] == v2
		},
		word, word, word, word,
	))
	properties.TestingRun(t)
}

// FuzzParse guards against a text that makes Parse panic, exceeds a limit without
// an error, or changes its meaning when its String is parsed again.
func FuzzParse(f *testing.F) {
	set := Set{"gpu": "yes", "rack": "r1"}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		if len(s.terms) > MaxTerms {
			t.Fatalf("%d terms", len(s.terms))
		}
		for _, term := range s.terms {
			if term.key == "" || len(term.key) > MaxKeyBytes || !ValidName(term.key) {
				t.Fatalf("key %q", term.key)
			}
		}
		again, err := Parse(s.String())
		if err != nil || again.Matches(set) != s.Matches(set) || again.Matches(nil) != s.Matches(nil) {
			t.Fatalf("%q read again: error %v", s.String(), err)
		}
	})
}
