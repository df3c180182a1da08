package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
)

func TestStreams(t *testing.T) {
	rows := []struct {
		name    string
		respond func(n int, a *Attempt) (*Response, error)
		events  string
		abort   bool
		models  string
		after   EventID
	}{
		{"a high-confidence response of the small model is delivered", func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1", "2"), nil }, "1;2;", false, "small", ""},
		{"a low-confidence one is escalated to the largest model", func(_ int, a *Attempt) (*Response, error) {
			if a.Model == small {
				return streamResponse(10, io.EOF, "bad"), nil
			}
			return streamResponse(80, io.EOF, "1", "2"), nil
		}, "1;2;", false, "small large", ""},
		{"a broken stream resumes after its last complete event, on the same model", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return streamResponse(90, failWith(KindBroken), "1", "2"), nil
			}
			return streamResponse(5, io.EOF, "3"), nil
		}, "1;2;3;", false, "small small", "2"},
		{"a stream longer than requested is aborted: resuming after its IDs would make it look complete", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return streamResponse(90, failWith(KindOverrun), "1", "2"), nil
			}
			return streamResponse(90, io.EOF), nil
		}, "1;2;", true, "small", ""},
		{"a stream that cannot resume is aborted, not ended as if complete", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return streamResponse(90, failWith(KindBroken), "1"), nil
			}
			return rejected(), nil
		}, "1;", true, "", "1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = row.respond
				c := h.serve(t.Context(), "/note/x", nil)
				models := ""
				for _, a := range h.sent {
					models += " " + string(a.Model)
				}
				if c.events != row.events || c.Abort != row.abort || row.models != "" && models != " "+row.models {
					t.Errorf("events %q, abort %v, models%s", c.events, c.Abort, models)
				}
				if last := h.sent[len(h.sent)-1]; last.LastEventID != row.after {
					t.Errorf("resumed after %q, want %q", last.LastEventID, row.after)
				}
				if c.heads > 1 {
					t.Error("the headers were sent twice")
				}
			})
		})
	}
}

// Guards against a connection closed without a response when a stream breaks between
// its headers and its first event: the caller has seen nothing yet.
func TestStreamBreaksBeforeFirstEvent(t *testing.T) {
	rows := []struct {
		name   string
		then   func() *Response
		status int
		events string
	}{
		{"no other endpoint: outcome unknown", rejected, 502, ""},
		{"another endpoint: the complete stream", func() *Response { return streamResponse(90, io.EOF, "1") }, 0, "1;"},
		{"an endpoint's error response is passed on", func() *Response { return plainResponse(500) }, 500, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, _ *Attempt) (*Response, error) {
					if n == 1 {
						return streamResponse(90, failWith(KindBroken)), nil
					}
					return row.then(), nil
				}
				c := h.serve(t.Context(), "/note/x", nil)
				if c.Abort || c.Status != row.status || c.events != row.events {
					t.Errorf("abort %v, status %d, events %q; want status %d, events %q", c.Abort, c.Status, c.events, row.status, row.events)
				}
				if wantHeads := min(1, len(row.events)); c.heads != wantHeads {
					t.Errorf("headers sent %d times, want %d", c.heads, wantHeads)
				}
			})
		})
	}
}

// Guards against a broken stream that appears complete, or that holds the text of an error,
// because the endpoint that should resume it returns a plain response.
func TestStreamDoesNotResumeAsPlainResponse(t *testing.T) {
	rows := []struct {
		name string
		then func() *Response
	}{
		{"redirect", func() *Response { return plainResponse(302) }},
		{"plain success", func() *Response { return plainResponse(200) }},
		{"no content", func() *Response { return plainResponse(204) }},
		{"rejected", rejected},
		{"internal error", func() *Response { return plainResponse(500) }},
		{"deadline passed", func() *Response { return plainResponse(504) }},
		{"client error", func() *Response { return plainResponse(400) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, _ *Attempt) (*Response, error) {
					if n == 1 {
						return streamResponse(90, failWith(KindBroken), "1"), nil
					}
					return row.then(), nil
				}
				c := h.serve(t.Context(), "/note/x", nil)
				if !c.Abort || c.events != "1;" || len(c.Body) > 0 || c.heads != 1 {
					t.Errorf("abort %v, events %q, body %q, headers sent %d times", c.Abort, c.events, c.Body, c.heads)
				}
			})
		})
	}
}

// TestDeadEndpointsDoNotCount lets the endpoints of a stream die one after the other.
func TestDeadEndpointsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n < 4 {
				h.dead[a.Endpoint.ID] = true
				return streamResponse(90, failWith(KindBroken), fmt.Sprint(n)), nil
			}
			return streamResponse(90, io.EOF, "4"), nil
		}
		if c := h.serve(t.Context(), "/note/x", nil); c.events != "1;2;3;4;" || c.Abort {
			t.Errorf("events %q, abort %v", c.events, c.Abort)
		}
	})
}
