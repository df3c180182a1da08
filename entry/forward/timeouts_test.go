package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// timeoutCases lists when to wait out an endpoint's silence.
var timeoutCases = []struct {
	name string
	// inFlight is the number of requests at each other endpoint.
	inFlight    int
	dead        bool
	keepWaiting bool
}{
	{"the others are full", 60, false, true},
	{"the others are full, and the endpoint is dead", 60, true, false},
	{"another has room", 0, false, false},
}

// Guards against a stream that leaves a silent endpoint and is then aborted because no
// other endpoint has room.
func TestStreamTimeoutWithoutAlternative(t *testing.T) {
	for _, row := range timeoutCases {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return streamResponse(90, io.EOF, "2"), nil
					}
					response, events := streamResponse(90, io.EOF, "1", "2"), 0
					next := response.Next
					response.Next = func() (Event, error) {
						if events++; events == 2 {
							time.Sleep(4 * time.Second)
							h.dead[a.Endpoint.ID] = row.dead
							h.fillEndpoints(row.inFlight, a.Endpoint.ID)
							if keepWaiting := a.KeepWaiting(); keepWaiting != row.keepWaiting {
								t.Errorf("KeepWaiting returned %v, want %v", keepWaiting, row.keepWaiting)
							}
							if !row.keepWaiting {
								return Event{}, failWith(KindTimeout)
							}
						}
						return next()
					}
					return response, nil
				}
				c := h.serve(t.Context(), "/note/x", nil)
				if complete := row.inFlight == 0 || row.keepWaiting; complete && c.events != "1;2;" {
					t.Errorf("the caller got %q, %+v", c.events, c.Result)
				}
			})
		})
	}
}

// Guards against a retryable plain request that leaves a slow endpoint although no
// other has room, which ended with status 502.
func TestPlainTimeoutWithoutAlternative(t *testing.T) {
	for _, row := range timeoutCases {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second) // Let the load estimates expire.
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return plainResponse(200), nil
					}
					time.Sleep(a.HeadTimeout.Duration())
					h.dead[a.Endpoint.ID] = row.dead
					h.fillEndpoints(row.inFlight, a.Endpoint.ID)
					if keepWaiting := a.KeepWaiting(); keepWaiting != row.keepWaiting {
						t.Errorf("KeepWaiting returned %v, want %v", keepWaiting, row.keepWaiting)
					}
					if !row.keepWaiting {
						return nil, failWith(KindTimeout)
					}
					return plainResponse(200), nil
				}
				c := h.serve(t.Context(), "/safe/x", nil)
				if complete := row.inFlight == 0 || row.keepWaiting; complete && c.Status != 200 {
					t.Errorf("status %d", c.Status)
				}
			})
		})
	}
}
