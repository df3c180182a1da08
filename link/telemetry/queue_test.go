package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestQueueNeverBlocks(t *testing.T) {
	out := &stuck{}
	out.mu.Lock()
	q := NewAsyncWriter(out)
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			_, _ = q.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer waits for the output")
	}
	out.mu.Unlock()
	q.Close()
	if text := out.buf.String(); !strings.Contains(text, "log-lines-dropped: count=") || strings.Count(text, "line\n") < queueLines {
		t.Errorf("%d bytes written, dropped lines told: %v", len(text), strings.Contains(text, "log-lines-dropped"))
	}
	if _, err := q.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
}

// Guards against failures of requests that are missing from the log because lines on
// requests that were served took the queue.
func TestQueueKeepsRoomForFailures(t *testing.T) {
	out := &stuck{}
	out.mu.Lock()
	q := NewAsyncWriter(out)
	logger := NewLogger("a", "info", q).Named("forward")
	for range 2 * queueLines {
		logger.Info("request", "outcome", "served")
	}
	const failures = 100
	for range failures {
		logger.Warn("request", "outcome", "stream-cut")
	}
	out.mu.Unlock()
	q.Close()
	if got := strings.Count(out.buf.String(), "outcome=stream-cut"); got != failures {
		t.Errorf("%d of %d failures are in the log", got, failures)
	}
}

// Guards against a stop that waits for the log's reader until the process is killed.
func TestCloseDoesNotWaitForAReaderThatIsStuck(t *testing.T) {
	out := &stuck{}
	out.mu.Lock()
	defer out.mu.Unlock()
	q := NewAsyncWriter(out)
	_, _ = q.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		q.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("the log's end waits for its reader")
	}
}
