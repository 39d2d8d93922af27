package httpserve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/catkinline/catkinline/ingress"
)

// largeAnswer is larger than what the kernel's buffers of both sides hold.
const largeAnswer = 8 << 20

// answerLarge answers a request with largeAnswer bytes.
func answerLarge(w http.ResponseWriter, r *http.Request) {
	if !BeginAnswer(r, largeAnswer, testTimeout) {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
	_, _ = w.Write(bytes.Repeat([]byte("x"), largeAnswer)) // the client may have been closed
}

const answerRequest = "GET /answer HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

// Guards against answers that are kept for clients that do not read them while others' do not fit.
func TestUnreadAnswersMakeSpaceForOthers(t *testing.T) {
	b := serve(t, ingress.Limits{Connections: 100, Bytes: largeAnswer + largeAnswer/2}, ingress.Rules{})
	var unread []net.Conn
	for range 5 {
		c, _ := b.dial()
		b.write(c, answerRequest)
		unread = append(unread, c)
		time.Sleep(10 * time.Millisecond)
	}
	c, r := b.dial()
	b.write(c, answerRequest)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != largeAnswer || err != nil {
		t.Errorf("status %d, %d bytes, %v", resp.StatusCode, n, err)
	}
	closed := 0
	for _, c := range unread {
		if n, _ := io.Copy(io.Discard, c); n < largeAnswer {
			closed++
		}
	}
	if closed == 0 {
		t.Error("no client that does not read was closed")
	}
	b.expectUnused()
}

// Guards against a client that is closed because it reads slowly in calm.
func TestSlowReadersGetTheWholeAnswer(t *testing.T) {
	b := serve(t, wide, ingress.Rules{})
	c, r := b.dial()
	b.write(c, answerRequest)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	total := 0
	for buf := make([]byte, largeAnswer/20); ; {
		n, err := io.ReadFull(resp.Body, buf)
		total += n
		if err != nil {
			break
		}
		time.Sleep(300 * time.Millisecond) // 6 s in all, longer than writeTimeout
	}
	if total != largeAnswer {
		t.Errorf("%d bytes", total)
	}
}
