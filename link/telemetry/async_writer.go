package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxQueuedLines bounds the log lines that wait to be written.
	maxQueuedLines = 2048
	// reservedLines is the part of them that only warnings and errors may use.
	reservedLines = maxQueuedLines / 4
	// closeTimeout bounds the wait for the output at the end; it fits into what a stop
	// leaves of the grace time.
	closeTimeout = 500 * time.Millisecond
)

// AsyncWriter is a writer that never blocks: lines that find it full are dropped and
// counted.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a Queue in front of the output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.drain(output)
	return w
}

// Write queues one line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	return w.LevelWrite(hclog.Warn, line)
}

// LevelWrite queues one line of a level; it makes the queue an hclog.LevelWriter.
func (w *AsyncWriter) LevelWrite(level hclog.Level, line []byte) (int, error) {
	if level < hclog.Warn && len(w.lines) >= maxQueuedLines-reservedLines {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
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
	_, _ = output.Write(line) // There is nowhere else to tell of a failure.
}

// Close writes what is queued, as far as the output takes it in time; what is written
// afterwards is lost.
func (w *AsyncWriter) Close() {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
