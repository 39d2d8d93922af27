package settings

import (
	"slices"
	"strconv"
	"strings"

	"github.com/catkinline/catkinline/label"
)

// SourceMap maps the field paths of a decoded text to their positions. A nil
// SourceMap stands for a value that did not come from a text.
type SourceMap struct {
	lines   []int           // offset at which each line starts
	offsets map[string]int  // by field path
	failed  map[string]bool // paths at which decoding failed
}

func newSourceMap(data []byte) *SourceMap {
	s := &SourceMap{lines: []int{0}, offsets: map[string]int{}, failed: map[string]bool{}}
	for i, c := range data {
		if c == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	return s
}

// Has reports whether the text contains the field.
func (s *SourceMap) Has(field string) bool {
	if s == nil {
		return false
	}
	_, ok := s.offsets[field]
	return ok
}

// ErrorAt returns an error for a field. For a field absent from the text, the position
// is that of the closest enclosing value.
func (s *SourceMap) ErrorAt(field, message string) Error {
	e := Error{Field: field, Message: message}
	if s == nil {
		return e
	}
	for f, more := field, true; more; f, more = parent(f) {
		if offset, ok := s.offsets[f]; ok {
			e.Line, e.Column = s.position(offset)
			return e
		}
	}
	return e
}

func (s *SourceMap) position(offset int) (line, column int) {
	i, found := slices.BinarySearch(s.lines, offset)
	if !found {
		i--
	}
	return i + 1, offset - s.lines[i] + 1
}

// reported reports whether decoding already failed at the field or an enclosing value.
func (s *SourceMap) reported(field string) bool {
	if s == nil || len(s.failed) == 0 {
		return false
	}
	for f, more := field, true; more; f, more = parent(f) {
		if s.failed[f] {
			return true
		}
	}
	return false
}

// MemberPath returns the path of a member of the value at path. Names with other
// characters than label.ValidName's, or with dots, are quoted in brackets.
func MemberPath(path, name string) string {
	if name == "" || !label.ValidName(name) || strings.Contains(name, ".") {
		return path + "[" + strconv.Quote(name) + "]"
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// IndexPath returns the path of an element of the array at path.
func IndexPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// parent returns the path of the enclosing value. The root's path is empty and
// has no parent.
func parent(path string) (string, bool) {
	if path == "" {
		return "", false
	}
	if !strings.HasSuffix(path, "]") {
		return path[:max(strings.LastIndexByte(path, '.'), 0)], true
	}
	if !strings.HasSuffix(path, `"]`) {
		return path[:strings.LastIndexByte(path, '[')], true
	}
	// Within a quoted name every quote is escaped, so that `["` only opens one.
	return path[:strings.LastIndex(path[:len(path)-2], `["`)], true
}
