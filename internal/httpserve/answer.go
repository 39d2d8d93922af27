package httpserve

import (
	"net/http"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// HoldResult counts bytes of a coming answer as held by the client of a request until BeginAnswer, or until the request
// is answered. It does not block, and returns false if they do not fit. It must not be called after the handler has
// returned.
func HoldResult(r *http.Request, bytes int) bool {
	c := connOf(r.Context())
	return c == nil || bytes <= ingress.SmallRequest || c.hold(int64(bytes), time.Now())
}

// BeginAnswer records that an answer of some bytes is about to be sent, and that it has to be read within a
// time. A client that does not read it may be closed when memory is short. BeginAnswer returns false if the
// answer does not fit.
func BeginAnswer(r *http.Request, bytes int, limit time.Duration) bool {
	c := connOf(r.Context())
	return c == nil || c.beginAnswer(int64(bytes), limit)
}
