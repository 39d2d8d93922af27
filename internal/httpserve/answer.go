package httpserve

import (
	"net/http"
	"time"
)

// BeginAnswer records that an answer of some bytes is about to be sent, and that it has to be read within a
// time. A client that does not read it may be closed when memory is short. BeginAnswer returns false if the
// answer does not fit.
func BeginAnswer(r *http.Request, bytes int, limit time.Duration) bool {
	c := connOf(r.Context())
	return c == nil || c.beginAnswer(int64(bytes), limit)
}
