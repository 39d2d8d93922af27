package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinline/catkinline/api"
	"github.com/catkinline/catkinline/result"
)

// Guards against a refusal without a result code, or one that does not say that nothing has run: callers would have
// to take the job for one that may have.
func TestRefusedRequestsGetAResultCode(t *testing.T) {
	e, _ := newTestEntry(t)
	e.settings.CallerAddress = "127.0.0.1:0"
	if err := e.serveCallers(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		e.tomb.Kill(nil)
		if err := e.tomb.Wait(); err != nil {
			t.Error(err)
		}
	})
	long := "X: " + strings.Repeat("x", e.settings.Limits.HeadBytes) + "\r\n"
	for _, c := range []struct {
		request string
		status  int
		code    result.Code
	}{
		{"POST " + framesPath + " HTTP/1.1\r\nHost: a\r\n" + long + "\r\n", 431, result.HeadTooLarge},
		{"POST " + framesPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n", 413, result.BodyTooLarge},
		{"POST " + framesPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 400, result.MissingKey},
	} {
		conn, err := net.Dial("tcp", e.CallerAddress())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		if _, err := io.WriteString(conn, c.request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		var a api.Answer
		err = json.NewDecoder(resp.Body).Decode(&a)
		if err != nil || resp.StatusCode != c.status || a.State != api.StateFailed || a.Code != c.code || a.Ran != result.NotRun {
			t.Errorf("status %d, answer %+v, %v; want %d %s", resp.StatusCode, a, err, c.status, c.code)
		}
		_ = conn.Close()
	}
	if a := refusalOf(http.StatusServiceUnavailable); a.Code != result.Busy || a.Ran != result.NotRun || a.RetryAfter == 0 {
		t.Errorf("%+v", a)
	}
}

// Guards against a full queue that does not fit into the memory for callers where the machine is not described.
func TestDefaultPlanHoldsAFullQueue(t *testing.T) {
	e, _ := newTestEntry(t)
	e.settings.Limits.QueuedBytes, e.settings.Limits.BodyBytes = 256<<20, 32<<20
	if p := e.plan(); p.Clients.Bytes < 256<<20+4*2*32<<20 {
		t.Errorf("%d bytes", p.Clients.Bytes)
	}
	e.settings.Machine.MemoryMB = 512
	if p := e.plan(); p.Clients.Bytes > 512<<20/2 {
		t.Errorf("%d bytes of a machine with 512 MB", p.Clients.Bytes)
	}
}
