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
	// maxSentBytes is where the endless endpoint of a test stops.
	maxSentBytes = 64 << 20
	// maxAllocBytes limits the total allocations of an attempt, including memory freed
	// since and the allocations of the test's server.
	maxAllocBytes = 8 << 20
)

// endlessEndpoint starts a valid response and never ends it.
type endlessEndpoint struct {
	// inReport makes the load report endless instead of the response to a request;
	// inHeader makes its header endless instead of its body.
	inReport, inHeader bool
	// prefix is sent once, then chunk repeatedly.
	prefix, chunk string
	closed        atomic.Bool
	// handlers waits for the endless handlers, since Server.Close doesn't wait for all of them.
	handlers sync.WaitGroup
}

func (e *endlessEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if (r.URL.Path == "/load") != e.inReport {
		fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
		return
	}
	e.handlers.Add(1)
	defer e.handlers.Done()
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	out := io.Writer(w)
	if e.inHeader {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		out = conn
	}
	_, _ = io.WriteString(out, e.prefix) // A closed connection is detected below.
	piece := []byte(strings.Repeat(e.chunk, max(1, (16<<10)/len(e.chunk))))
	for sent := 0; sent < maxSentBytes; sent += len(piece) {
		if _, err := out.Write(piece); err != nil {
			e.closed.Store(true)
			return
		}
	}
}

// TestUnboundedResponses guards against an endpoint whose response never ends: the client
// read it, and kept its text in memory, without limit.
func TestUnboundedResponses(t *testing.T) {
	const empty = `data: {"choices":[]}` + "\n\n"
	token := "data: " + tokenA + "\n\n"
	// Tokens of 1 KB reach the limit without parsing a million of them.
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
		name     string
		endpoint *endlessEndpoint
		send     func(e *Endpoint) error
		kind     Kind
	}{
		{"events without text", &endlessEndpoint{chunk: empty}, streamWithoutMaxTokens, KindFailed},
		{"comments", &endlessEndpoint{prefix: token, chunk: ": x\n\n"}, streamWithoutMaxTokens, KindFailed},
		{"one event", &endlessEndpoint{prefix: "data: ", chunk: "x"}, streamWithoutMaxTokens, KindFailed},
		{"more tokens than requested", &endlessEndpoint{chunk: token}, streamWithMaxTokens, KindOverrun},
		{"tokens without end", &endlessEndpoint{chunk: longToken}, streamWithoutMaxTokens, KindOverrun},
		{"bytes after a complete response", &endlessEndpoint{prefix: complete, chunk: "x"}, streamWithoutMaxTokens, ""},
		{"a stream's header", &endlessEndpoint{inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, streamWithoutMaxTokens, KindBroken},
		{"a call's header", &endlessEndpoint{inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, call, KindBroken},
		{"a probe's header", &endlessEndpoint{inReport: true, inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, call, KindNotSent},
		{"a probe's body", &endlessEndpoint{inReport: true, prefix: `{"boot-id":"`, chunk: "x"}, call, KindNotSent},
		{"a report's header", &endlessEndpoint{inReport: true, inHeader: true, prefix: "HTTP/1.1 200 OK\r\nX: ", chunk: "x"}, load, KindBroken},
		{"a report's body", &endlessEndpoint{inReport: true, prefix: `{"boot-id":"`, chunk: "x"}, load, KindIncomplete},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(row.endpoint)
			e := New(server.URL)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := row.send(e)
			runtime.ReadMemStats(&after)
			if kind := fault.KindOf[Kind](err); kind != row.kind {
				t.Errorf("kind %q, want %q: %.200v", kind, row.kind, err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocBytes {
				t.Errorf("%.1f MB were allocated, want at most %d MB", float64(allocated)/(1<<20), maxAllocBytes>>20)
			}
			server.Close()
			row.endpoint.handlers.Wait()
			if !row.endpoint.closed.Load() {
				t.Error("the connection was not closed while the endpoint was writing")
			}
		})
	}
}

// TestIdleTimeoutIgnoresEventsWithoutText guards against an endpoint that slowly sends
// events without text: each event restarted the idle timeout.
func TestIdleTimeoutIgnoresEventsWithoutText(t *testing.T) {
	const idle, pause = 200 * clock.Millis(1), 20 * clock.Millis(1)
	token := "data: " + tokenA + "\n\n"
	rows := []struct {
		name     string
		prefix   string
		resumeAt int
		kind     Kind
	}{
		{"after some text", token, 0, KindBroken},
		{"in a resumed stream", "", 1, KindBroken},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/load" {
					fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
					return
				}
				w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
				fmt.Fprint(w, row.prefix)
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
