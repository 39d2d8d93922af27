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
	body     []byte
	response []byte // the whole response, with the body
}

// refusals are those of a group. Nothing of such a request has run.
type refusals struct{ head, slowHead, busy *refusal }

// newRefusals returns refusals whose bodies are made by a function.
func newRefusals(body func(status int, reason string) []byte) refusals {
	return refusals{
		head:     newRefusal(metrics.ReasonHeadTooLarge, true, http.StatusRequestHeaderFieldsTooLarge, body, "the head of the request is too large"),
		slowHead: newRefusal(metrics.ReasonHeadTimeout, false, http.StatusRequestTimeout, body, "the head of the request did not arrive in time"),
		busy:     newRefusal(metrics.ReasonBusy, true, http.StatusServiceUnavailable, body, busyText),
	}
}

// busyText tells a caller that its connection was closed for others, or that its request does not fit.
const busyText = "clients hold too much of this process; not run"

func reasonBody(_ int, reason string) []byte { return fmt.Appendf(nil, "{\"reason\":%q}", reason) }

func newRefusal(reason string, linger bool, status int, encode func(status int, reason string) []byte, text string) *refusal {
	body, header := encode(status, text), ""
	if status == http.StatusServiceUnavailable {
		header = "Retry-After: 1\r\n"
	}
	return &refusal{reason: reason, linger: linger, body: body, response: fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)}
}
