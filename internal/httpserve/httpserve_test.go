package httpserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/catkinline/catkinline/ingress"
	"github.com/catkinline/catkinline/metrics"
)

// testTimeout is far above the limits of the tests.
const testTimeout = 30 * time.Second

// bed is a server whose handler answers with the size of the body.
type bed struct {
	t       testing.TB
	servers *Servers
	address string
	hold    chan struct{} // closed: requests for /wait are answered
}

func serve(t testing.TB, limits ingress.Limits, rules ingress.Rules) *bed {
	t.Helper()
	b := newBed(t, ingress.Plan{Clients: limits})
	b.servers.SetRules(rules)
	address, err := b.servers.Serve(Callers, "127.0.0.1:0", http.HandlerFunc(b.handle))
	if err != nil {
		t.Fatal(err)
	}
	b.address = address.String()
	return b
}

// newBed returns a bed whose servers are ended with the test.
func newBed(t testing.TB, plan ingress.Plan) *bed {
	t.Helper()
	var life tomb.Tomb
	b := &bed{t: t, hold: make(chan struct{})}
	registry := metrics.New(nil)
	b.servers = New(&life, Options{Log: zap.NewNop(), Metrics: registry, Plan: plan})
	t.Cleanup(func() {
		for _, s := range b.servers.servers {
			_ = s.Close()
		}
		life.Kill(nil)
		if err := life.Wait(); err != nil {
			t.Error(err)
		}
		_ = registry.Close()
	})
	return b
}

func (b *bed) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/answer" {
		answerLarge(w, r)
		return
	}
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	data, err := ReadBody(w, r, 0)
	if err != nil {
		w.WriteHeader(BodyStatus(err))
		return
	}
	if r.URL.Path == "/wait" {
		select {
		case <-b.hold:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprintf(w, "%d bytes", len(data))
}

func (b *bed) dial() (net.Conn, *bufio.Reader) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

func (b *bed) write(c net.Conn, text string) {
	b.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		b.t.Fatal(err)
	}
}

// expect reads a response with a status and returns it with its body.
func (b *bed) expect(r *bufio.Reader, status int) (*http.Response, string) {
	b.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		b.t.Fatalf("want status %d: %v", status, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		b.t.Fatalf("status %d, %q, %v; want %d", resp.StatusCode, text, err, status)
	}
	return resp, string(text)
}

// expectUnused waits until connections hold nothing but themselves.
func (b *bed) expectUnused() {
	b.t.Helper()
	var connections int
	var bytes int64
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if connections, bytes = b.servers.groups[Callers].budget.Usage(); bytes == int64(connections)*ingress.ConnectionBytes {
			return
		}
	}
	b.t.Errorf("%d connections hold %d bytes", connections, bytes)
}

var wide = ingress.Limits{Connections: 100, Bytes: 64 << 20}

// Guards against requests that are lost, delayed or refused by the way in which their bytes arrive: at once, byte by
// byte, several in one segment, and divided at every place.
func TestRequestsAreServedHoweverTheyArrive(t *testing.T) {
	b := serve(t, wide, ingress.Rules{HeadTimeout: testTimeout})
	requests := []string{
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab\ncd",
		"POST /2 HTTP/1.1\nHost: a\nContent-Length: 1\n\n\n",
		"GET /3 HTTP/1.1\r\nHost: a\r\n\r\n",
		"\r\nPOST /4 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\n\n\r\n0\r\n\r\n",
		"POST /5 HTTP/1.1\r\nHost: a\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("\n", 6000),
		"POST /6 HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 1500) + "Content-Length: 3\r\n\r\nabc",
		"GET /7 HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	answers := []string{"5 bytes", "1 bytes", "0 bytes", "3 bytes", "6000 bytes", "3 bytes", "0 bytes"}
	// Without the line before the fourth request, which only follows a POST where requests are not pipelined.
	requests[3] = strings.TrimPrefix(requests[3], "\r\n")
	all := strings.Join(requests, "")
	for _, piece := range []int{1, 2, 3, 7, 61, 1000, 4096, 5000, len(all)} {
		c, r := b.dial()
		go func() {
			for at := 0; at < len(all); at += piece {
				if _, err := io.WriteString(c, all[at:min(at+piece, len(all))]); err != nil {
					return // the answers show it
				}
				if piece >= 61 && piece < len(all) {
					time.Sleep(100 * time.Microsecond)
				}
			}
		}()
		for i, want := range answers {
			if _, got := b.expect(r, http.StatusOK); got != want {
				t.Errorf("pieces of %d, request %d: %q, want %q", piece, i+1, got, want)
			}
		}
	}
	b.expectUnused()
}

// Guards against a head of the largest legal size that is refused, and one byte more that is served.
func TestHeadLimitIsExact(t *testing.T) {
	const limit = 2000
	b := serve(t, wide, ingress.Rules{MaxHead: limit})
	head := func(size int) string {
		const start, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
		return start + strings.Repeat("x", size-len(start)-len(end)) + end
	}
	c, r := b.dial()
	for range 2 {
		b.write(c, head(limit))
		b.expect(r, http.StatusOK)
	}
	b.write(c, head(limit+1))
	b.expect(r, http.StatusRequestHeaderFieldsTooLarge)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the connection stays open: %v", err)
	}
	b.expectUnused()
}

// Guards against bodies over the limit that are read or waited for, declared or not.
func TestBodyLimitIsExact(t *testing.T) {
	const limit = 10_000
	b := serve(t, wide, ingress.Rules{MaxBody: limit})
	chunked := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))
	}
	declared := func(size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	}
	c, r := b.dial()
	b.write(c, declared(limit)+strings.Repeat("x", limit)+chunked(limit))
	b.expect(r, http.StatusOK)
	b.expect(r, http.StatusOK)
	b.write(c, declared(limit+1))
	b.expect(r, http.StatusRequestEntityTooLarge)
	c, r = b.dial()
	b.write(c, chunked(limit+1))
	b.expect(r, http.StatusRequestEntityTooLarge)
	b.expectUnused()
}

// Guards against heads and bodies that stop, and connections that say nothing, and that stay for ever.
func TestStoppedRequestsEnd(t *testing.T) {
	b := serve(t, wide, ingress.Rules{HeadTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond})
	c, r := b.dial()
	b.write(c, "GET / HTTP/1.1\r\nHost: a\r\n")
	b.expect(r, http.StatusRequestTimeout)
	c, r = b.dial()
	b.write(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") // and then half of another
	b.expect(r, http.StatusOK)
	b.write(c, "GET / HTTP/1.1\r\n")
	b.expect(r, http.StatusRequestTimeout)
	c, r = b.dial()
	b.write(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	b.expect(r, http.StatusRequestTimeout)
	c, r = b.dial()
	b.write(c, "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
	b.expect(r, http.StatusNotFound)
	if _, err := r.ReadByte(); err == nil {
		t.Error("a connection whose body was not read goes on")
	}
	_, r = b.dial()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("a silent connection stays: %v", err)
	}
	b.expectUnused()
}

// Guards against a time limit that also ends requests that wait for their answer.
func TestWaitingRequestsOutlastTheTimeLimits(t *testing.T) {
	b := serve(t, wide, ingress.Rules{HeadTimeout: 20 * time.Millisecond, IdleTimeout: 40 * time.Millisecond})
	var readers []*bufio.Reader
	for _, request := range []string{
		"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
		"POST /wait HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	} {
		c, r := b.dial()
		b.write(c, request)
		readers = append(readers, r)
	}
	time.Sleep(200 * time.Millisecond)
	close(b.hold)
	for _, r := range readers {
		b.expect(r, http.StatusOK)
	}
}

// Guards against refusals that keep the promise of the pages badly: a request whose connection is closed for others
// gets 503 with Retry-After, and one that is whole gets its answer.
func TestRequestsThatAreClosedForOthersAreRefused(t *testing.T) {
	b := serve(t, ingress.Limits{Connections: 100, Bytes: 1 << 20}, ingress.Rules{})
	held, heldReader := b.dial()
	b.write(held, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
	var slowReaders []*bufio.Reader
	for i := range 2 {
		slow, r := b.dial()
		b.write(slow, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 260000\r\n\r\n"+strings.Repeat("x", 250_000))
		slowReaders = append(slowReaders, r)
		for {
			if _, bytes := b.servers.groups[Callers].budget.Usage(); bytes > int64(i+1)*250_000 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond) // the first one holds for longer than the second
	}
	c, r := b.dial()
	b.write(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 256000\r\n\r\n"+strings.Repeat("x", 256_000))
	b.expect(r, http.StatusOK)
	resp, _ := b.expect(slowReaders[0], http.StatusServiceUnavailable)
	if resp.Header.Get("Connection") != "close" && !resp.Close {
		t.Error("the connection of a refused request stays open")
	}
	close(b.hold)
	b.expect(heldReader, http.StatusOK)
}

// Guards against a client that sends requests and reads no answers.
func TestAnswersThatAreNotReadEndTheConnection(t *testing.T) {
	if testing.Short() {
		t.Skip("takes the time limit of writes")
	}
	b := serve(t, wide, ingress.Rules{})
	c, _ := b.dial()
	var err error
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 100))
	}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if connections, _ := b.servers.groups[Callers].budget.Usage(); connections == 0 {
			return
		}
	}
	t.Error("the connection stays")
}
