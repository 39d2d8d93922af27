// Package asyncwriter writes log lines without blocking the caller. Lines are
// queued in a bounded buffer; when it is full, new lines are dropped and counted.
package asyncwriter

import (
	"fmt"
	"io"
	"sync/atomic"
)

// DefaultCapacity is the default number of lines that a Writer buffers: a few
// seconds of output of a busy process, about 1 MB.
const DefaultCapacity = 4096

// Writer writes lines to another writer from a background goroutine. It is safe
// for concurrent use.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a Writer that buffers up to the given number of lines, and starts
// its goroutine, which Close ends.
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

// Dropped returns the number of dropped lines that no log line has reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// maxBatchBytes limits how many queued lines are joined into one write.
const maxBatchBytes = 32 << 10

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

// write writes a line together with the lines queued behind it.
func (w *Writer) write(batch []byte) {
	for len(batch) < maxBatchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)...)
	}
	// A failure to write the log cannot be logged.
	_, _ = w.to.Write(batch)
}

// Close writes the queued lines and ends the goroutine. Lines passed to Write
// afterwards are not written. It must be called once.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}
