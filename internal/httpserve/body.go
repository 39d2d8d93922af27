package httpserve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/metrics"
)

// Reasons why a body was not read. Nothing of its request has run.
var (
	ErrBodyTooLarge = errors.New("the body of the request is too large")
	ErrBodyTimeout  = errors.New("the body of the request did not arrive in time")
	ErrBusy         = errors.New(busyText)
)

// BodyStatus returns the status of the answer for an error of ReadBody.
func BodyStatus(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBodyTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// maxPart is the largest part in which a body is read.
const maxPart = 32 << 10

// ReadBody reads the body of a request of at most limit bytes; with 0, of what the operators' limit allows. What it holds until the request is answered is
// counted in the budget of the client's group. After an error that BodyStatus knows the connection is closed.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, error) {
	b := body{r: r, c: connOf(r.Context()), limit: limit}
	if total := b.rules().BodyTimeout; total > 0 {
		b.end = time.Now().Add(total)
	}
	if limit == 0 {
		b.limit = b.rules().MaxBody
	}
	data, err := b.read()
	if err == nil && b.c != nil && !b.c.setWhole(time.Now()) {
		err = ErrBusy
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		b.count(err)
	}
	return data, err
}

// KeepOfBody records how many bytes of a request and its body are kept until it is answered, if they are fewer than
// those counted by ReadBody.
func KeepOfBody(r *http.Request, bytes int64) {
	if c := connOf(r.Context()); c != nil {
		c.client.Reset(bytes + int64(c.group.rules().MaxHead)) // part of the next head may be held
	}
}

// body is the body of a request that is being read.
type body struct {
	r     *http.Request
	c     *conn // nil: not a connection of this package
	limit int
	end   time.Time // when it has to be whole; zero: no limit
}

func (b *body) read() ([]byte, error) {
	declared := b.r.ContentLength
	switch {
	case declared > int64(b.limit):
		return nil, ErrBodyTooLarge
	case declared == 0:
		return nil, nil
	case declared > 0 && declared <= ingress.SmallRequest:
		data, _, err := b.fill(make([]byte, declared))
		return data, err
	}
	return b.readParts()
}

// readParts reads a body in parts that grow with it, so that what is only declared costs nothing, and joins
// them once all are there.
func (b *body) readParts() ([]byte, error) {
	b.growReceiveBuffer()
	var parts [][]byte
	total, size := 0, ingress.SmallRequest/2
	for {
		size = min(2*size, maxPart)
		size = min(size, b.remaining(total))
		if size == 0 {
			return b.join(parts, total)
		}
		if !b.hold(size) {
			return nil, ErrBusy
		}
		part, ended, err := b.fill(make([]byte, size))
		if err != nil {
			return nil, err
		}
		parts, total = append(parts, part), total+len(part)
		switch {
		case total > b.limit:
			return nil, ErrBodyTooLarge
		case ended && len(parts) == 1:
			return part, nil
		case ended:
			return b.join(parts, total)
		}
	}
}

// growReceiveBuffer lets the kernel receive more ahead: a large body takes fewer round trips.
func (b *body) growReceiveBuffer() {
	if b.c == nil {
		return
	}
	if tcp, ok := b.c.drainConn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bodyReceiveBuffer) // fails only on a closed connection
	}
}

// remaining returns how many bytes may follow those that were read. Where the size is not declared, one more than
// is legal shows that a body is too large.
func (b *body) remaining(total int) int {
	if b.r.ContentLength > 0 {
		return int(b.r.ContentLength) - total
	}
	return b.limit + 1 - total
}

// join returns the parts as one. Until the request ends, they count twice: as the body and as what is decoded
// from it.
func (b *body) join(parts [][]byte, total int) ([]byte, error) {
	if !b.hold(total) {
		return nil, ErrBusy
	}
	data := make([]byte, 0, total)
	for _, part := range parts {
		data = append(data, part...)
	}
	return data, nil
}

// fill reads until a buffer is full or the body ends. A body that is shorter than declared is an error.
func (b *body) fill(buf []byte) (part []byte, ended bool, err error) {
	n := 0
	for n < len(buf) {
		if b.c != nil {
			_ = b.c.SetReadDeadline(b.deadline(time.Now())) // fails only on a closed connection
		}
		read, err := b.r.Body.Read(buf[n:])
		n += read
		if err == io.EOF {
			return buf[:n], true, nil
		}
		if err != nil {
			return nil, false, b.readError(err)
		}
	}
	return buf, false, nil
}

// deadline returns when the next byte has to arrive.
func (b *body) deadline(now time.Time) time.Time {
	next := now.Add(b.rules().IdleTimeout)
	if !b.end.IsZero() && b.end.Before(next) {
		return b.end
	}
	return next
}

func (b *body) readError(err error) error {
	switch {
	case b.c != nil && b.c.isEvicted():
		return ErrBusy
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrBodyTimeout
	}
	return err
}

func (b *body) rules() *ingress.Rules {
	if b.c == nil {
		return &ingress.DefaultRules
	}
	return b.c.group.rules()
}

func (b *body) hold(bytes int) bool { return b.c == nil || b.c.hold(int64(bytes), time.Now()) }

func (b *body) count(err error) {
	if b.c == nil {
		return
	}
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		b.c.group.count(metrics.ReasonBodyTooLarge)
	case errors.Is(err, ErrBodyTimeout):
		b.c.group.count(metrics.ReasonBodyTimeout)
	case errors.Is(err, ErrBusy):
		b.c.group.count(metrics.ReasonBusy)
	}
}
