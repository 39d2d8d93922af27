package asyncwriter

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
)

// gate is a reader that does not read until it is opened.
type gate struct {
	entered chan struct{} // Gets a value when a write begins.
	open    chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// Guards against a process that waits for a blocked reader of its log, and against
// lines that vanish without being counted.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	const room, lines = 10, 1000
	g := &gate{entered: make(chan struct{}, 1), open: make(chan struct{})}
	w := New(g, room)
	write := func(text string) {
		if _, err := w.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	write("line\n")
	// The writer takes lines out of the buffer until its reader blocks it.
	<-g.entered
	for range lines {
		write("line\n")
	}
	close(g.open)
	w.Close()
	write("after the end\n")
	text := g.got.String()
	if got := strings.Count(text, "line\n"); got != 1+room {
		t.Errorf("%d lines were written, expected %d", got, 1+room)
	}
	if report := fmt.Sprintf(`"msg":"log lines dropped","lines":%d}`, lines-room); !strings.Contains(text, report) {
		t.Errorf("the log lacks %s: %s", report, text)
	}
}
