package httpserve

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/catkinline/catkinline/ingress"
)

// exchange is one client with one kept-alive connection that sends requests with bodies of a size.
func exchange(b *testing.B, address string, size int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	request := "POST /frames/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	r := bufio.NewReader(c)
	response := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(c, request); err != nil {
			b.Fatal(err)
		}
		if _, err := r.Read(response); err != nil {
			b.Fatal(err)
		}
	}
}

// Sizes of bodies: that of an ordinary job, and the largest.
var sizes = []int{400, 256 << 10}

// BenchmarkRequest measures requests on a connection of this package.
func BenchmarkRequest(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) { exchange(b, serve(b, wide, ingress.DefaultRules).address, size) })
	}
}

// BenchmarkPlainRequest measures the same with net/http alone.
func BenchmarkPlainRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 256<<10))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, "%d bytes", len(data))
	}), ReadHeaderTimeout: ingress.DefaultRules.HeadTimeout, IdleTimeout: ingress.DefaultRules.IdleTimeout}
	go func() { _ = server.Serve(l) }() // ends with Close
	defer server.Close()
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) { exchange(b, l.Addr().String(), size) })
	}
}
