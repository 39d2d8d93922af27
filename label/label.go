// Package label implements label sets and selectors over them.
package label

import (
	"sort"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Limits on labels and selectors. Each bounds memory that a caller or operator
// could otherwise grow without limit.
const (
	MaxKeyBytes   = 63
	MaxValueBytes = 63
	MaxLabels     = 32
	MaxTerms      = 16
)

// ErrSyntax is the class of the errors that Parse returns.
var ErrSyntax = errs.Class("selector")

// Set maps label keys to values.
type Set map[string]string

// Key returns a canonical encoding of the set: equal sets have equal keys, and sets
// of valid names that differ have different keys.
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

// Merge returns a new set with the labels of s and of over. Labels of over take
// precedence.
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

// ValidName reports whether a label key or value consists only of the allowed
// characters: letters, digits, '.', '_', '/' and '-'. It does not check the length.
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

// maxQuoted is the maximum number of bytes of a caller's text that an error message
// repeats.
const maxQuoted = 64

// Quote returns s as a quoted string for an error message, cut to maxQuoted bytes.
func Quote(s string) string {
	if len(s) > maxQuoted {
		s = s[:maxQuoted]
	}
	return strconv.Quote(s)
}
