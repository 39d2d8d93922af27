// Package label holds label sets and the selectors over them.
package label

import (
	"sort"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Limits on labels and selectors; each protects memory that callers or
// operators could otherwise grow at will.
const (
	MaxKeyBytes   = 63
	MaxValueBytes = 63
	MaxLabels     = 32
	MaxTerms      = 16
)

// ErrSyntax is the class of selector syntax errors.
var ErrSyntax = errs.Class("selector")

// Set is a set of labels, key to value.
type Set map[string]string

// Key returns a canonical text of the set, equal for equal sets.
func (s Set) Key() string {
	keys := make([]string, 0, len(s))
	for k := range s {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, k := range keys {
		b.WriteString(k)
		b.WriteByte('=')
		b.WriteString(s[k])
		b.WriteByte(',')
	}
	return b.String()
}

// Merge returns a set with the labels of s and, over them, those of over.
func (s Set) Merge(over Set) Set {
	out := make(Set, len(s)+len(over))
	for k, v := range s {
		out[k] = v
	}
	for k, v := range over {
		out[k] = v
	}
	return out
}

// ValidName reports whether a label's key or value has only the allowed
// characters: letters, digits, '.', '_', '/' and '-'.
func ValidName(s string) bool {
	for i := 0; i < len(s); i++ {
		if !validByte(s[i]) {
			return false
		}
	}
	return true
}

func validByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return c == '.' || c == '_' || c == '/' || c == '-'
}

// maxQuoted bounds how much of a caller's text an error repeats.
const maxQuoted = 64

// Quote returns a caller's text, shortened and quoted, for an error message.
func Quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted]
	}
	return strconv.Quote(s)
}
