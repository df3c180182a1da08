package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxQueuedLines limits the log lines that are queued for writing.
	maxQueuedLines = 2048
	// reservedLines is the part of the queue reserved for warnings and errors.
	reservedLines = maxQueuedLines / 4
	// maxLineBytes limits a line. Lines name ids and errors that callers and endpoints choose, up to
	// the 64 KiB of a header or an event, while usual lines have less than 1 KiB.
	maxLineBytes = 4 << 10
	// truncationMark ends a line that was longer.
	truncationMark = "...\n"
	// DefaultCloseTimeout limits how long Close waits for the output.
	DefaultCloseTimeout = 500 * time.Millisecond
)

// AsyncWriter is a writer that never blocks: lines are queued, truncated if they are too long, and
// dropped and counted when the queue is full.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to the output in the background.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.drain(output)
	return w
}

// Write queues one line at level Warn.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	return w.LevelWrite(hclog.Warn, line)
}

// LevelWrite queues one line of the given level; it implements hclog.LevelWriter.
func (w *AsyncWriter) LevelWrite(level hclog.Level, line []byte) (int, error) {
	if level < hclog.Warn && len(w.lines) >= maxQueuedLines-reservedLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- copyLine(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// copyLine returns a copy of a line, truncated to maxLineBytes.
func copyLine(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return append([]byte(nil), line...)
	}
	return append(append([]byte(nil), line[:maxLineBytes-len(truncationMark)]...), truncationMark...)
}

func (w *AsyncWriter) drain(output io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(output, line)
			continue
		case <-w.quit:
		}
		break
	}
	for {
		select {
		case line := <-w.lines:
			w.writeLine(output, line)
		default:
			return
		}
	}
}

func (w *AsyncWriter) writeLine(output io.Writer, line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(output, "[WARN] log-lines-dropped: count=%d\n", n)
	}
	_, _ = output.Write(line) // A failed log write can't be reported anywhere else.
}

// Close writes the queued lines, giving up after DefaultCloseTimeout. Lines written after
// Close are lost.
func (w *AsyncWriter) Close() {
	w.CloseWithin(DefaultCloseTimeout)
}

// CloseWithin is like Close with another timeout, for a process that has to exit in time.
func (w *AsyncWriter) CloseWithin(timeout time.Duration) {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
