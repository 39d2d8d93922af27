package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class is the errs class of all errors that carry a result code.
var Class = errs.Class("catkinline")

// Error is an error with a result code. Ran is RanUnknown unless the sender knows for
// certain whether a task ran.
type Error struct {
	Code       Code
	Reason     string
	Ran        Ran
	RetryAfter time.Duration
}

// Error returns the code's number, its name and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Reason)
}

// New returns an error for a code with the code's default value of Ran. A detail is
// appended to the code's reason unless it is empty.
func New(c Code, detail string) *Error {
	info := table[c]
	reason := info.Reason
	if detail != "" {
		reason = reason + ": " + detail
	}
	return &Error{Code: c, Reason: reason, Ran: info.Ran}
}

// Newf is New with a formatted detail.
func Newf(c Code, format string, args ...any) *Error {
	return New(c, fmt.Sprintf(format, args...))
}

// WithRan returns a copy with another value of Ran.
func (e *Error) WithRan(r Ran) *Error {
	out := *e
	out.Ran = r
	return &out
}

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// From returns the result error in err's chain.
func From(err error) (*Error, bool) {
	var e *Error
	ok := errors.As(err, &e)
	return e, ok
}
