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
	// floodBytes is where a test's endless endpoint stops.
	floodBytes = 64 << 20
	// floodGrowth bounds what an attempt may allocate, in bytes that are free again
	// too; the test's own server is in it.
	floodGrowth = 8 << 20
)

// flood is an endpoint that begins an answer as it should and goes on without end.
type flood struct {
	// report is true if its report goes on, head if that is in the head.
	report, head bool
	// begin comes once, piece over and over.
	begin, piece string
	closed       atomic.Bool
	// done waits for the flood's end: a server's Close doesn't wait for all.
	done sync.WaitGroup
}

func (f *flood) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if (r.URL.Path == "/load") != f.report {
		fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
		return
	}
	f.done.Add(1)
	defer f.done.Done()
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	out := io.Writer(w)
	if f.head {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		out = conn
	}
	_, _ = io.WriteString(out, f.begin) // A closed channel shows below.
	piece := []byte(strings.Repeat(f.piece, max(1, (16<<10)/len(f.piece))))
	for sent := 0; sent < floodBytes; sent += len(piece) {
		if _, err := out.Write(piece); err != nil {
			f.closed.Store(true)
			return
		}
	}
}

// TestEndless guards against an endpoint whose answer has no end: it was read, and
// its text kept, for as long as it came.
func TestEndless(t *testing.T) {
	const empty = `data: {"choices":[]}` + "\n\n"
	token := "data: " + tokenA + "\n\n"
	// A test need not parse a million tokens: these have a KB of text each.
	long := strings.Replace(token, `"a"`, `"`+strings.Repeat("a", 1<<10)+`"`, 1)
	whole := "data: " + tokenA + "\n\ndata: " + tokenB + "\n\ndata: " + usage2 + "\n\ndata: " + marker + "\n\n"
	stream := func(e *Endpoint, most int) error {
		_, err := e.Stream(context.Background(), &Attempt{ID: "1"}, &StreamRequest{Body: []byte("{}"), MaxTokens: most}, func(string) error { return nil })
		return err
	}
	named := func(e *Endpoint) error { return stream(e, 100) }
	unnamed := func(e *Endpoint) error { return stream(e, 0) }
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
		flood *flood
		send  func(e *Endpoint) error
		kind  Kind
	}{
		{"events without text", &flood{piece: empty}, unnamed, KindFailed},
		{"comments", &flood{begin: token, piece: ": x\n\n"}, unnamed, KindFailed},
		{"one event", &flood{begin: "data: ", piece: "x"}, unnamed, KindFailed},
		{"more tokens than asked for", &flood{piece: token}, named, KindOverrun},
		{"tokens without end", &flood{piece: long}, unnamed, KindOverrun},
		{"bytes behind a whole answer", &flood{begin: whole, piece: "x"}, unnamed, ""},
		{"a stream's head", &flood{head: true, begin: "HTTP/1.1 200 OK\r\nX: ", piece: "x"}, unnamed, KindBroken},
		{"a call's head", &flood{head: true, begin: "HTTP/1.1 200 OK\r\nX: ", piece: "x"}, call, KindBroken},
		{"a probe's head", &flood{report: true, head: true, begin: "HTTP/1.1 200 OK\r\nX: ", piece: "x"}, call, KindNotSent},
		{"a probe's body", &flood{report: true, begin: `{"boot-id":"`, piece: "x"}, call, KindNotSent},
		{"a report's head", &flood{report: true, head: true, begin: "HTTP/1.1 200 OK\r\nX: ", piece: "x"}, load, KindBroken},
		{"a report's body", &flood{report: true, begin: `{"boot-id":"`, piece: "x"}, load, KindIncomplete},
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
			if grown := after.TotalAlloc - before.TotalAlloc; grown > floodGrowth {
				t.Errorf("%.1f MB were allocated, want at most %d", float64(grown)/(1<<20), floodGrowth>>20)
			}
			server.Close()
			row.flood.done.Wait()
			if !row.flood.closed.Load() {
				t.Error("the channel was not closed while the endpoint wrote")
			}
		})
	}
}

// TestTrickledEvents guards against an endpoint that sends events without text, slowly:
// each began the wait for the next piece of text anew.
func TestTrickledEvents(t *testing.T) {
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
			began := time.Now()
			_, err := e.Stream(context.Background(), &Attempt{ID: "1"}, &StreamRequest{Body: []byte("{}"), ResumeAt: row.resumeAt}, func(string) error { return nil })
			if kind := fault.KindOf[Kind](err); kind != row.kind {
				t.Errorf("kind %q, want %q: %v", kind, row.kind, err)
			}
			if took := time.Since(began); took > 5*idle.Duration() {
				t.Errorf("the stream took %v, want at most %v", took, 5*idle.Duration())
			}
		})
	}
}
