package ingress

import (
	"sync/atomic"
	"time"
)

// maxLogLines is the number of lines in a second about requests that clients outside the system cause. Callers
// who are inside the limits cause fewer, but where an operator has removed a route, of which a second shows enough.
const maxLogLines = 20

// maxLoggedText is how many bytes of a text from a client a log line shows.
const maxLoggedText = 200

// LogLimiter bounds the log lines that clients cause. It is safe for concurrent use.
type LogLimiter struct {
	second atomic.Int64 // Unix time in s
	lines  atomic.Int64 // in that second
}

// Allow reports whether one more line may be written.
func (l *LogLimiter) Allow(now time.Time) bool {
	second := now.Unix()
	if before := l.second.Load(); before != second && l.second.CompareAndSwap(before, second) {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLogLines
}

// Shorten returns the start of a text from a client, for a log line.
func Shorten(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return text[:maxLoggedText] + "..."
}
