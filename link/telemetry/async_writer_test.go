package telemetry

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput is an output whose writes block while mu is held.
type blockedOutput struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// closeDrained closes w and waits until the output has all lines: Close itself gives up after
// DefaultCloseTimeout.
func closeDrained(w *AsyncWriter) {
	w.Close()
	<-w.done
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{}
	out.mu.Lock()
	w := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range 3 * maxQueuedLines {
			_, _ = w.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks on the output")
	}
	out.mu.Unlock()
	closeDrained(w)
	if text := out.buf.String(); !strings.Contains(text, "log-lines-dropped: count=") || strings.Count(text, "line\n") < maxQueuedLines {
		t.Errorf("%d bytes written, dropped lines reported: %v", len(text), strings.Contains(text, "log-lines-dropped"))
	}
	if _, err := w.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
}

// TestLongLinesAreTruncated guards against bytes that endpoints and callers choose, such as an
// event id of 64 KiB, filling the memory through the queue of log lines while the output is slow.
func TestLongLinesAreTruncated(t *testing.T) {
	const perLine = maxLineBytes + 512 // The queue's own bytes included.
	out := &blockedOutput{}
	out.mu.Lock()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := NewAsyncWriter(out)
	long := []byte("repeat: after=" + strings.Repeat("7", 64<<10) + "\n")
	for range maxQueuedLines + 1 {
		_, _ = w.Write(long)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > (maxQueuedLines+1)*perLine {
		t.Errorf("%d queued lines hold %d bytes, want at most %d", maxQueuedLines, grown, (maxQueuedLines+1)*perLine)
	}
	out.mu.Unlock()
	closeDrained(w)
	first, _, _ := strings.Cut(out.buf.String(), "\n")
	if len(first) != maxLineBytes-1 || !strings.HasPrefix(first, "repeat: after=777") || !strings.HasSuffix(first, "7...") {
		t.Errorf("a line of %d bytes is written as %d", len(long), len(first)+1)
	}
}

// TestAsyncWriterReservesLinesForWarnings guards against a queue full of info lines on
// served requests: the lines on failed requests were dropped.
func TestAsyncWriterReservesLinesForWarnings(t *testing.T) {
	out := &blockedOutput{}
	out.mu.Lock()
	w := NewAsyncWriter(out)
	logger := NewLogger("a", "info", w).Named("forward")
	for range 2 * maxQueuedLines {
		logger.Info("request", "outcome", "served")
	}
	const failures = 100
	for range failures {
		logger.Warn("request", "outcome", "stream-cut")
	}
	out.mu.Unlock()
	closeDrained(w)
	if got := strings.Count(out.buf.String(), "outcome=stream-cut"); got != failures {
		t.Errorf("%d of %d failures are in the log", got, failures)
	}
}

// TestCloseTimesOutWhenOutputBlocks guards against a shutdown that waits for the reader
// of the log until the process is killed.
func TestCloseTimesOutWhenOutputBlocks(t *testing.T) {
	out := &blockedOutput{}
	out.mu.Lock()
	defer out.mu.Unlock()
	w := NewAsyncWriter(out)
	_, _ = w.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		w.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("Close blocks on the output")
	}
}
