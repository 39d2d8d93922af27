package label

import (
	"slices"
	"strings"
)

type operator uint8

const (
	opEqual operator = iota
	opNotEqual
	opIn
	opExists
	opNotExists
)

type term struct {
	key    string
	op     operator
	values []string
}

// Selector is a conjunction of terms. The zero Selector matches every set.
type Selector struct {
	terms []term
	text  string
}

// Parse parses a selector: terms joined by commas, each one of "k=v", "k!=v", "k in
// (a|b)", "k" (the label is present) and "!k" (the label is absent). An empty text
// matches every set. Errors are of class ErrSyntax.
func Parse(text string) (Selector, error) {
	s := Selector{text: strings.TrimSpace(text)}
	if s.text == "" {
		return s, nil
	}
	parts := strings.Split(s.text, ",")
	if len(parts) > MaxTerms {
		return Selector{}, ErrSyntax.New("%d terms, the limit is %d", len(parts), MaxTerms)
	}
	for _, p := range parts {
		t, err := parseTerm(strings.TrimSpace(p))
		if err != nil {
			return Selector{}, err
		}
		s.terms = append(s.terms, t)
	}
	return s, nil
}

func parseTerm(p string) (term, error) {
	if k, rest, ok := strings.Cut(p, " in "); ok {
		return parseIn(strings.TrimSpace(k), strings.TrimSpace(rest))
	}
	if k, v, ok := strings.Cut(p, "!="); ok {
		return newTerm(k, opNotEqual, v)
	}
	if k, v, ok := strings.Cut(p, "="); ok {
		return newTerm(k, opEqual, v)
	}
	if k, ok := strings.CutPrefix(p, "!"); ok {
		return newTerm(k, opNotExists)
	}
	return newTerm(p, opExists)
}

func parseIn(key, list string) (term, error) {
	inner, open := strings.CutPrefix(list, "(")
	inner, closed := strings.CutSuffix(inner, ")")
	if !open || !closed {
		return term{}, ErrSyntax.New("term %q: the list of values needs parentheses", key+" in "+list)
	}
	return newTerm(key, opIn, strings.Split(inner, "|")...)
}

func newTerm(key string, op operator, values ...string) (term, error) {
	key = strings.TrimSpace(key)
	if key == "" || len(key) > MaxKeyBytes || !ValidName(key) {
		return term{}, ErrSyntax.New("label key %q is empty, too long or has invalid characters", key)
	}
	t := term{key: key, op: op}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if len(v) > MaxValueBytes || !ValidName(v) {
			return term{}, ErrSyntax.New("value %q of label %q is too long or has invalid characters", v, key)
		}
		t.values = append(t.values, v)
	}
	return t, nil
}

// String returns the text from which the selector was parsed, without surrounding
// space. Parse accepts it again.
func (s Selector) String() string { return s.text }

// Matches reports whether the set satisfies every term.
func (s Selector) Matches(set Set) bool {
	for _, t := range s.terms {
		if !t.matches(set) {
			return false
		}
	}
	return true
}

func (t term) matches(set Set) bool {
	v, ok := set[t.key]
	switch t.op {
	case opExists:
		return ok
	case opNotExists:
		return !ok
	case opNotEqual:
		return !ok || v != t.values[0]
	default:
		return ok && slices.Contains(t.values, v)
	}
}
