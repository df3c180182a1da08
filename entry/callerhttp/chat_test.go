package callerhttp

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// deadlineRecorder records the write deadlines of a response.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadlines = append(d.deadlines, t)
	return nil
}

// TestEachEventSetsWriteDeadline guards against an unreachable caller that occupies its
// engine until the kernel stops retransmitting.
func TestEachEventSetsWriteDeadline(t *testing.T) {
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	out := &chatResponseWriter{w: w, controller: http.NewResponseController(w)}
	out.startStream("small@1")
	startedAt := time.Now()
	for n := 1; n <= 2; n++ {
		if err := out.sendText("a"); err != nil {
			t.Fatal(err)
		}
		if len(w.deadlines) != n || w.deadlines[n-1].Before(startedAt.Add(eventWriteTimeout.Duration())) {
			t.Errorf("write deadlines after event %d: %v", n, w.deadlines)
		}
	}
}
