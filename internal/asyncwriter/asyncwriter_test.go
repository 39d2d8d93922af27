package asyncwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// gate is a reader that does not read until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// Guards against a process that waits for a blocked reader of its log, and against
// lines that vanish without being counted.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g, 10)
	for range 1000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(g.open)
	w.Close()
	if _, err := w.Write([]byte("after the end\n")); err != nil {
		t.Fatal(err)
	}
	text := g.got.String()
	if lines := strings.Count(text, "line\n"); lines < 10 || lines > 20 {
		t.Errorf("%d lines were written", lines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Errorf("the dropped lines are not reported: %s", text)
	}
}
