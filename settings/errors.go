package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxErrors is the maximum number of errors in a list. Without it, a document of 1 MB of
// unknown fields would produce a response that is larger than the document.
const MaxErrors = 200

// Error is one error in a JSON text. Line and Column count from 1, Column in
// bytes; both are 0 if the value did not come from a text. Field is the path
// of the invalid value, such as target.labels.zone or rules[0].requests.
type Error struct {
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`

	unknown bool // the field is not defined
}

// String returns line:column: field: message, without the parts that are empty.
func (e Error) String() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "%d:%d: ", e.Line, e.Column)
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Message)
	return b.String()
}

// Errors lists all errors found in one text, in the order of the text.
type Errors []Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns e as an error, nil if the list is empty.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// SplitUnknown separates unknown fields from other errors. A reader of data that a newer
// release wrote may ignore unknown fields.
func (e Errors) SplitUnknown() (unknown, other Errors) {
	for _, err := range e {
		if err.unknown {
			unknown = append(unknown, err)
		} else {
			other = append(other, err)
		}
	}
	return unknown, other
}

// ordered sorts the errors by position and field, and replaces those after the first MaxErrors
// by one that counts them.
func (e Errors) ordered() Errors {
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Field, b.Field))
	})
	if len(e) <= MaxErrors {
		return e
	}
	more := Error{Message: fmt.Sprintf("%d further errors are not listed", len(e)-MaxErrors)}
	return append(slices.Clip(e[:MaxErrors]), more)
}
