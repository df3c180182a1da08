package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// queueLines bounds the log lines that wait to be written.
	queueLines = 2048
	// failureLines is the part of them that only warnings and errors may use.
	failureLines = queueLines / 4
	// closeWait bounds the wait for the output at the end; it fits into what a stop
	// leaves of the grace time.
	closeWait = 500 * time.Millisecond
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
	q := &AsyncWriter{lines: make(chan []byte, queueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go q.drain(output)
	return q
}

// Write queues one line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	return q.LevelWrite(hclog.Warn, line)
}

// LevelWrite queues one line of a level; it makes the queue an hclog.LevelWriter.
func (q *AsyncWriter) LevelWrite(level hclog.Level, line []byte) (int, error) {
	if level < hclog.Warn && len(q.lines) >= queueLines-failureLines {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *AsyncWriter) drain(output io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.put(output, line)
			continue
		case <-q.quit:
		}
		break
	}
	for {
		select {
		case line := <-q.lines:
			q.put(output, line)
		default:
			return
		}
	}
}

func (q *AsyncWriter) put(output io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(output, "[WARN] log-lines-dropped: count=%d\n", n)
	}
	_, _ = output.Write(line) // There is nowhere else to tell of a failure.
}

// Close writes what is queued, as far as the output takes it in time; what is written
// afterwards is lost.
func (q *AsyncWriter) Close() {
	close(q.quit)
	select {
	case <-q.done:
	case <-time.After(closeWait):
	}
}
