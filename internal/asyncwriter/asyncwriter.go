// Package asyncwriter writes log lines without ever blocking the caller: lines
// wait in a bounded buffer, and those that find it full are counted and dropped.
package asyncwriter

import (
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultCapacity is the default capacity of a Writer: some seconds of lines of a busy
// process, about 1 MB.
const DefaultCapacity = 4096

// Writer passes lines on to another writer from a goroutine of its own.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a writer with room for a number of lines.
func New(to io.Writer, lines int) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, lines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of lines that were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// maxBatch bounds what is joined into one write.
const maxBatch = 32 << 10

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// write writes a line and those that wait behind it.
func (w *Writer) write(batch []byte) {
	for len(batch) < maxBatch && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)...)
	}
	// There is nowhere to report that the log cannot be written.
	_, _ = w.to.Write(batch)
}

// Close writes what is queued. Lines that are written later are dropped.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}
