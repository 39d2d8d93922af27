package httpserve

import (
	"fmt"
	"net/http"

	"github.com/catkinline/catkinline/metrics"
)

// refusal is what a client gets whose request did not get to a handler.
type refusal struct {
	reason   string // for the metric
	linger   bool   // the client may still be sending
	response []byte
}

// Refusals of heads. Nothing of such a request has run.
var (
	refusedHead     = newRefusal(metrics.ReasonHeadTooLarge, true, http.StatusRequestHeaderFieldsTooLarge, "", "the head of the request is too large")
	refusedSlowHead = newRefusal(metrics.ReasonHeadTimeout, false, http.StatusRequestTimeout, "", "the head of the request did not arrive in time")
	refusedBusy     = newRefusal(metrics.ReasonBusy, true, http.StatusServiceUnavailable, "Retry-After: 1\r\n", busyText)
)

// busyText tells a caller that its connection was closed for others, or that its request does not fit.
const busyText = "clients hold too much of this process; not run"

// busyBody is the body of answers with busyText.
var busyBody = reasonBody(busyText)

func reasonBody(text string) []byte { return fmt.Appendf(nil, "{\"reason\":%q}", text) }

func newRefusal(reason string, linger bool, status int, header, text string) *refusal {
	body := reasonBody(text)
	return &refusal{reason: reason, linger: linger, response: fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)}
}
