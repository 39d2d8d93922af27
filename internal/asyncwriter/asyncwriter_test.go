package asyncwriter

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// gatedWriter blocks each Write until open is closed.
type gatedWriter struct {
	entered chan struct{} // receives a value when a write begins
	open    chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// Guards against a process that blocks because nobody reads its log, and against
// lines that are dropped without being counted.
func TestWriteDoesNotBlockWhenOutputIsBlocked(t *testing.T) {
	const capacity, lines = 10, 1000
	g := &gatedWriter{entered: make(chan struct{}, 1), open: make(chan struct{})}
	w := New(g, capacity)
	write := func(text string) {
		if _, err := w.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	write("line\n")
	// Wait until the background goroutine blocks, with one line taken from the buffer.
	<-g.entered
	for range lines {
		write("line\n")
	}
	close(g.open)
	w.Close()
	write("after the end\n")
	text := g.got.String()
	if got := strings.Count(text, "line\n"); got != 1+capacity {
		t.Errorf("%d lines were written, want %d", got, 1+capacity)
	}
	if report := fmt.Sprintf(`"msg":"log lines dropped","lines":%d}`, lines-capacity); !strings.Contains(text, report) {
		t.Errorf("the log lacks %s: %s", report, text)
	}
}
