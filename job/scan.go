package job

import (
	"bytes"
	"slices"
	"strconv"
	"unicode/utf16"

	"github.com/catkinline/catkinline/result"
)

// Nesting levels of a request body: the job, its labels or list of tasks, a task.
const (
	jobLevel  = 1
	listLevel = 2
	taskLevel = 3
)

var (
	jobFields  = []string{"key", "workspace", "labels", "deadline_ms", "idempotent", "tasks"}
	taskFields = []string{"payload", "size_bytes", "run_ms"}
)

// scanner checks a request body for what encoding/json does not check: the nesting
// depth, the exact case of field names, repeated fields (encoding/json would merge
// their values), the number of items before memory is allocated for them, and
// unpaired surrogate escapes (encoding/json would replace them). It accepts some
// invalid JSON, which encoding/json refuses afterwards.
type scanner struct {
	raw    []byte
	pos    int
	limits Limits
	open   []container
}

// container is an object or array whose closing bracket has not been read.
type container struct {
	object    bool
	expectKey bool
	commas    int
	keys      []string
}

func scan(raw []byte, l Limits) *result.Error {
	s := &scanner{raw: raw, limits: l}
	for s.pos < len(raw) {
		if err := s.scanByte(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) scanByte() *result.Error {
	c := s.raw[s.pos]
	s.pos++
	switch c {
	case '{', '[':
		return s.push(c == '{')
	case '}', ']':
		s.pop()
	case ',':
		return s.comma()
	case '"':
		return s.skipString()
	}
	return nil
}

func (s *scanner) push(object bool) *result.Error {
	if len(s.open) >= s.limits.Nesting {
		return result.Newf(result.NestingTooDeep, "the limit is %d levels", s.limits.Nesting)
	}
	s.open = append(s.open, container{object: object, expectKey: object})
	return nil
}

func (s *scanner) pop() {
	if len(s.open) > 0 {
		s.open = s.open[:len(s.open)-1]
	}
}

func (s *scanner) comma() *result.Error {
	if len(s.open) == 0 {
		return nil
	}
	top := &s.open[len(s.open)-1]
	top.commas++
	top.expectKey = top.object
	if !top.object && len(s.open) == listLevel && top.commas >= s.limits.Tasks {
		return result.Newf(result.TooManyTasks, "the limit is %d", s.limits.Tasks)
	}
	return nil
}

// skipString reads the rest of a string whose opening quote has been read, and
// checks it if it is a key.
func (s *scanner) skipString() *result.Error {
	start := s.pos
	end, err := s.skipToClosingQuote()
	if err != nil {
		return err
	}
	if len(s.open) == 0 {
		return nil
	}
	top := &s.open[len(s.open)-1]
	if !top.expectKey {
		return nil
	}
	top.expectKey = false
	return s.checkKey(top, string(s.raw[start:end]))
}

func (s *scanner) skipToClosingQuote() (int, *result.Error) {
	for s.pos < len(s.raw) {
		next := bytes.IndexAny(s.raw[s.pos:], `"\`)
		if next < 0 {
			break
		}
		at := s.pos + next
		s.pos = at + 1
		if s.raw[at] == '"' {
			return at, nil
		}
		if err := s.skipEscape(); err != nil {
			return 0, err
		}
	}
	s.pos = len(s.raw)
	return 0, result.New(result.BadRequest, "a string has no closing quote")
}

// skipEscape reads the rest of an escape sequence whose backslash has been read. It
// returns an error for an unpaired surrogate.
func (s *scanner) skipEscape() *result.Error {
	if s.pos < len(s.raw) && s.raw[s.pos] != 'u' {
		s.pos++
		return nil
	}
	first := s.escapedCodeUnit(s.pos - 1)
	s.pos = min(s.pos+5, len(s.raw))
	if !utf16.IsSurrogate(first) {
		return nil
	}
	second := s.escapedCodeUnit(s.pos)
	if utf16.DecodeRune(first, second) == '\uFFFD' {
		return result.New(result.BadRequest, "a string has an unpaired surrogate")
	}
	s.pos += 6
	return nil
}

// escapedCodeUnit returns the UTF-16 code unit of the escape \uXXXX at a position,
// or -1 if there is none.
func (s *scanner) escapedCodeUnit(at int) rune {
	if at+6 > len(s.raw) || s.raw[at] != '\\' || s.raw[at+1] != 'u' {
		return -1
	}
	v, err := strconv.ParseUint(string(s.raw[at+2:at+6]), 16, 16)
	if err != nil {
		return -1
	}
	return rune(v)
}

// checkKey checks a field name or a label key in its raw form, since no valid name
// needs an escape.
func (s *scanner) checkKey(top *container, key string) *result.Error {
	switch len(s.open) {
	case jobLevel:
		if !slices.Contains(jobFields, key) {
			return result.Newf(result.UnknownField, "%q in the job", truncate(key))
		}
	case listLevel:
		if len(top.keys) >= s.limits.Labels {
			return result.Newf(result.TooManyLabels, "the limit is %d", s.limits.Labels)
		}
		if bytes.IndexByte([]byte(key), '\\') >= 0 {
			return result.Newf(result.BadLabel, "label %q", truncate(key))
		}
	case taskLevel:
		if !slices.Contains(taskFields, key) {
			return result.Newf(result.UnknownField, "%q in a task", truncate(key))
		}
	default:
		return nil
	}
	if slices.Contains(top.keys, key) {
		return result.Newf(result.BadRequest, "field %q is repeated", truncate(key))
	}
	top.keys = append(top.keys, key)
	return nil
}

// maxQuotedBytes bounds how much of a caller's text an error quotes.
const maxQuotedBytes = 64

func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return s[:maxQuotedBytes] + "..."
}
