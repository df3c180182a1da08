package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/fault"
)

// script is what a scripted engine answers.
type script struct {
	name string
	// lines are sent as events after the headers.
	lines []string
	// cut breaks the connection after the lines.
	cut   bool
	echo  string
	state int
	kind  Kind
}

const (
	tokenA = `{"choices":[{"delta":{"content":"a"}}]}`
	tokenB = `{"choices":[{"delta":{"content":"b"}}]}`
	usage2 = `{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
	marker = "[DONE]"
)

func serveScript(s *script) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
			return
		}
		echo := s.echo
		if echo == "" {
			echo = r.Header.Get(HeaderAttempt)
		}
		w.Header().Set(HeaderAttempt, echo)
		if s.state != 0 {
			w.WriteHeader(s.state)
			return
		}
		for _, line := range s.lines {
			fmt.Fprintf(w, "data: %s\n\n", line)
		}
		_ = http.NewResponseController(w).Flush()
		if s.cut {
			panic(http.ErrAbortHandler)
		}
	}))
}

// naiveRead takes whatever came before the connection ended for the answer.
func naiveRead(url string) string {
	response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader("{}"))
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var text strings.Builder
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		if _, after, found := strings.Cut(scanner.Text(), `"content":"`); found {
			text.WriteString(after[:1])
		}
	}
	return text.String()
}

func TestStream(t *testing.T) {
	scripts := []script{
		{name: "whole", lines: []string{tokenA, tokenB, usage2, marker}},
		{name: "no final marker", lines: []string{tokenA, tokenB, usage2}, kind: KindIncomplete},
		{name: "no usage", lines: []string{tokenA, tokenB, marker}, kind: KindIncomplete},
		{name: "a token is missing", lines: []string{tokenA, usage2, marker}, kind: KindIncomplete},
		{name: "a token came twice", lines: []string{tokenA, tokenA, tokenB, usage2, marker}, kind: KindIncomplete},
		{name: "cut in the middle", lines: []string{tokenA}, cut: true, kind: KindIncomplete},
		{name: "bad event", lines: []string{tokenA, "{"}, kind: KindIncomplete},
		{name: "another attempt's answer", lines: []string{tokenA, tokenB, usage2, marker}, echo: "other", kind: KindMismatch},
		{name: "refused", state: http.StatusServiceUnavailable, kind: KindRefused},
		{name: "failed", state: http.StatusInternalServerError, kind: KindFailed},
	}
	for _, s := range scripts {
		Convey(s.name, t, func() {
			server := serveScript(&s)
			defer server.Close()
			client := New(server.URL)
			var text strings.Builder
			emit := func(piece string) error { text.WriteString(piece); return nil }
			end, err := client.Stream(context.Background(), &Attempt{ID: "mine"}, &StreamRequest{Body: []byte("{}")}, emit)
			So(fault.KindOf[Kind](err), ShouldEqual, s.kind)
			if s.kind == "" {
				So(text.String(), ShouldEqual, "ab")
				So(end.CompletionTokens, ShouldEqual, 2)
			}
			if s.name == "cut in the middle" {
				So(naiveRead(server.URL), ShouldEqual, "a")
			}
		})
	}
}

func TestDial(t *testing.T) {
	Convey("A refused connection is not sent", t, func() {
		server := httptest.NewServer(nil)
		server.Close()
		_, err := New(server.URL).Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x"})
		So(fault.KindOf[Kind](err), ShouldEqual, KindNotSent)
	})
	Convey("A new connection to an endpoint in cold start sends nothing without a permit", t, func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				fmt.Fprint(w, `{"boot-id":"b2","phase":"cold","bears":1}`)
				return
			}
			calls.Add(1)
			w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		}))
		defer server.Close()
		var seen *Load
		client := New(server.URL, WithObserveLoad(func(l *Load) { seen = l }))
		_, err := client.Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x"})
		So(fault.KindOf[Kind](err), ShouldEqual, KindNotSent)
		So(calls.Load(), ShouldEqual, 0)
		So(seen.Phase, ShouldEqual, PhaseCold)
		_, err = client.Call(context.Background(), &Attempt{ID: "2", AllowCold: true}, &CallRequest{Call: "x"})
		So(err, ShouldBeNil)
		So(calls.Load(), ShouldEqual, 1)
	})
	Convey("A call whose connection breaks is sent once only", t, func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/load" {
				fmt.Fprint(w, `{"boot-id":"b1","phase":"warm"}`)
				return
			}
			calls.Add(1)
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		_, err := New(server.URL).Call(context.Background(), &Attempt{ID: "1"}, &CallRequest{Call: "x", Body: []byte("{}")})
		So(fault.KindOf[Kind](err), ShouldEqual, KindBroken)
		So(calls.Load(), ShouldEqual, 1)
	})
}

// Guards against a stream that is broken off as idle while its caller is slow to take
// a piece: the engine is not silent, nobody listens.
func TestIdleDoesNotRunWhileTheCallerTakes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{"boot-id":"b1","phase":"warm","slots":1}`)
			return
		}
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		for _, line := range []string{tokenA, tokenB, usage2, marker} {
			fmt.Fprintf(w, "data: %s\n\n", line)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond) // So that the events are not read at once.
		}
	}))
	defer server.Close()
	const idle = 500
	slow := func(string) error { time.Sleep(2 * idle * time.Millisecond); return nil }
	end, err := New(server.URL, WithIdleTimeout(idle)).Stream(context.Background(), &Attempt{ID: "mine"}, &StreamRequest{Body: []byte("{}")}, slow)
	if err != nil || end.CompletionTokens != 2 {
		t.Errorf("the stream ended with %v", err)
	}
}
