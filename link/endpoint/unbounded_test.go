package endpoint

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

const (
	// maxSentBytes is where a test's endless endpoint stops.
	maxSentBytes = 64 << 20
	// maxAllocBytes bounds what an attempt may allocate, in bytes that are free again
	// too; the test's own server is in it.
	maxAllocBytes = 8 << 20
)

// endlessEndpoint is an endpoint that begins an answer as it should and goes on without end.
type endlessEndpoint struct {
	// inReport is true if its report goes on, head if that is in the head.
	inReport, inHeader bool
	// prefix comes once, piece over and over.
	prefix, chunk string
	closed        atomic.Bool
	// handlers waits for the flood's end: a server's Close doesn't wait for all.
	handlers sync.WaitGroup
}

func (f *endlessEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if (r.URL.Path == "/load") != f.inReport {
		fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
		return
	}
	f.handlers.Add(1)
	defer f.handlers.Done()
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	out := io.Writer(w)
	if f.inHeader {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		out = conn
	}
	_, _ = io.WriteString(out, f.prefix) // A closed channel shows below.
	piece := []byte(strings.Repeat(f.chunk, max(1, (16<<10)/len(f.chunk))))
	for sent := 0; sent < maxSentBytes; sent += len(piece) {
		if _, err := out.Write(piece); err != nil {
			f.closed.Store(true)
			return
		}
	}
}

// TestUnboundedResponses guards against an endpoint whose answer has no end: it was read, and
// its text kept, for as long as it came.
func TestUnboundedResponses(t *testing.T) {
	const empty = `data: {"choices":[]}` + "\n\n"
	token := "data: " + tokenA + "\n\n"
	// A test need not parse a million tokens: these have a KB of text each.
	longToken := strings.Replace(token, `"a"`, `"`+strings.Repeat("a", 1<<10)+`"`, 1)
	complete := "data: " + tokenA + "\n\ndata: " + tokenB + "\n\ndata: " + usage2 + "\n\ndata: " + doneMarker + "\n\n"
	stream := func(e *Endpoint, maxTokens int) error {
		_, err := e.Stream(context.Background(), &Attempt{ID: "1"}, &StreamRequest{Body: []byte("{}"), MaxTokens: maxTokens}, func(string) error { return nil })
		return err
	}
	streamWithMaxTokens := func(e *Endpoint) error { return stream(e, 100) }
	streamWithoutMaxTokens := func(e *Endpoint) error { return stream(e, 0) }
	call := func(e *Endpoint) error {
		_, err := e.Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x"})
		return err
	}
	load := func(e *Endpoint) error {
		_, err := e.Load(context.Background())
		return err
	}
	rows := []struct {
		name  string
		flood *endlessEndpoint
		send  func(e *Endpoint) error
		kind  Kind
	}{
		{"events without text", &endlessEndpoint{chunk: empty}, streamWithoutMaxTokens, KindFailed},
		{"comments", &endlessEndpoint{prefix: token, chunk: ": x\n\n"}, streamWithoutMaxTokens, KindFailed},
		{"one event", &endlessEndpoint{prefix: "data: ", chunk: "x"}, streamWithoutMaxTokens, KindFailed},
		{"more tokens than asked for", &endlessEndpoint{chunk: token}, streamWithMaxTokens, KindOverrun},
		{"tokens without end", &endlessEndpoint{chunk: longToken}, streamWithoutMaxTokens, KindOverrun},
		{"bytes behind a whole answer", &endlessEndpoint{prefix: complete, chunk: "x"}, streamWithoutMaxTokens, ""},
		{"a stream's head", &endlessEndpoint{inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, streamWithoutMaxTokens, KindBroken},
		{"a call's head", &endlessEndpoint{inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, call, KindBroken},
		{"a probe's head", &endlessEndpoint{inReport: true, inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, call, KindNotSent},
		{"a probe's body", &endlessEndpoint{inReport: true, prefix: `{"boot-id":"`, chunk: "x"}, call, KindNotSent},
		{"a report's head", &endlessEndpoint{inReport: true, inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, load, KindBroken},
		{"a report's body", &endlessEndpoint{inReport: true, prefix: `{"boot-id":"`, chunk: "x"}, load, KindIncomplete},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(row.flood)
			e := New(server.URL)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := row.send(e)
			runtime.ReadMemStats(&after)
			if kind := fault.KindOf[Kind](err); kind != row.kind {
				t.Errorf("kind %q, want %q: %.200v", kind, row.kind, err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocBytes {
				t.Errorf("%.1f MB were allocated, want at most %d", float64(allocated)/(1<<20), maxAllocBytes>>20)
			}
			server.Close()
			row.flood.handlers.Wait()
			if !row.flood.closed.Load() {
				t.Error("the channel was not closed while the endpoint wrote")
			}
		})
	}
}

// TestIdleTimeoutIgnoresEventsWithoutText guards against an endpoint that sends events without text, slowly:
// each began the wait for the next piece of text anew.
func TestIdleTimeoutIgnoresEventsWithoutText(t *testing.T) {
	const idle, pause = 200 * clock.Millis(1), 20 * clock.Millis(1)
	token := "data: " + tokenA + "\n\n"
	rows := []struct {
		name     string
		begin    string
		resumeAt int
		kind     Kind
	}{
		{"behind some text", token, 0, KindBroken},
		{"in a stream that goes on", "", 1, KindBroken},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/load" {
					fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
					return
				}
				w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
				fmt.Fprint(w, row.begin)
				for range 100 {
					fmt.Fprint(w, `data: {"choices":[]}`+"\n\n")
					if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
						return
					}
					time.Sleep(pause.Duration())
				}
			}))
			defer server.Close()
			e := New(server.URL, WithIdleTimeout(idle))
			start := time.Now()
			_, err := e.Stream(context.Background(), &Attempt{ID: "1"}, &StreamRequest{Body: []byte("{}"), ResumeAt: row.resumeAt}, func(string) error { return nil })
			if kind := fault.KindOf[Kind](err); kind != row.kind {
				t.Errorf("kind %q, want %q: %v", kind, row.kind, err)
			}
			if elapsed := time.Since(start); elapsed > 5*idle.Duration() {
				t.Errorf("the stream took %v, want at most %v", elapsed, 5*idle.Duration())
			}
		})
	}
}
