package forward

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
)

// untilTimeout waits until the Forwarder stops waiting for the next event, at the
// latest until the request's deadline, and returns a timeout.
func untilTimeout(a *Attempt) error {
	for waited := a.EventTimeout; waited < a.Remaining; waited += a.EventTimeout {
		time.Sleep(a.EventTimeout.Duration())
		if !a.KeepWaiting() {
			break
		}
	}
	return failWith(KindTimeout)
}

// Guards against abandoning a stream because its endpoint refuses new connections. At
// the end of a roll-out an endpoint drains: it finishes its in-flight requests, while
// the others of its release refuse connections too, so the abandoned stream was
// aborted.
func TestStreamOnDrainingEndpointFinishes(t *testing.T) {
	rows := []struct {
		name    string
		silence time.Duration
	}{
		{"it is silent for about the event timeout", 460 * time.Millisecond},
		{"it is silent for longer than the limit while another endpoint has room", 2 * time.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second)
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return nil, failWith(KindRefused)
					}
					for i := range 4 {
						h.refusing[routing.EndpointID(fmt.Sprint("engines", i))] = true
					}
					response, events := streamResponse(90, io.EOF, "1", "2"), 0
					next := response.Next
					response.Next = func() (Event, error) {
						if events++; events == 2 {
							for waited := a.EventTimeout.Duration(); waited < row.silence; waited += a.EventTimeout.Duration() {
								time.Sleep(a.EventTimeout.Duration())
								if !a.KeepWaiting() {
									return Event{}, failWith(KindTimeout)
								}
							}
						}
						return next()
					}
					return response, nil
				}
				if c := h.serve(t.Context(), "/note/x", nil); c.events != "1;2;" || c.Abort {
					t.Errorf("events %q, %+v", c.events, c.Result)
				}
			})
		})
	}
}

// breakAfterEvent returns a stream of one event that ends with the error of end.
func breakAfterEvent(id string, end func() error) *Response {
	response, events := streamResponse(90, nil, id), 0
	next := response.Next
	response.Next = func() (Event, error) {
		if events++; events > 1 {
			return Event{}, end()
		}
		return next()
	}
	return response
}

// Guards against aborting a stream with seconds left before its deadline because, at
// the moment it breaks, no endpoint has room, the retry budget is used up or no
// endpoint accepts connections.
func TestBrokenStreamWaitsForEndpoint(t *testing.T) {
	const full = 60
	rows := []struct {
		name string
		// breakStream is called when the first run breaks and returns its error.
		breakStream func(h *harness, a *Attempt) error
		// respond responds to later sends, given the time since the break.
		respond func(sinceBreak clock.Millis) (*Response, error)
		// within is the longest time until the stream resumes.
		within clock.Millis
	}{
		{"the others are full, and a probe of the silent endpoint fails", func(h *harness, a *Attempt) error {
			h.dead[a.Endpoint.ID] = true
			time.Sleep(a.EventTimeout.Duration())
			h.fillEndpoints(full, "")
			if a.KeepWaiting() {
				return untilTimeout(a)
			}
			return failWith(KindTimeout)
		}, nil, 4 * clock.Second},
		{"the endpoint is dead, and the others are full", func(h *harness, a *Attempt) error {
			h.dead[a.Endpoint.ID] = true
			h.fillEndpoints(full, a.Endpoint.ID)
			return failWith(KindBroken)
		}, nil, 3 * clock.Second},
		{"the budget is used up", func(h *harness, a *Attempt) error {
			h.dead[a.Endpoint.ID] = true
			for h.endpoints.TakeRetry("engines") {
			}
			return failWith(KindBroken)
		}, nil, 11 * clock.Second},
		{"the others reject it", func(h *harness, a *Attempt) error {
			h.dead[a.Endpoint.ID] = true
			return failWith(KindBroken)
		}, func(sinceBreak clock.Millis) (*Response, error) {
			if sinceBreak < clock.Second {
				return rejected(), nil
			}
			return streamResponse(90, io.EOF, "2"), nil
		}, 3 * clock.Second},
		{"the others are unreachable", func(h *harness, a *Attempt) error {
			h.dead[a.Endpoint.ID] = true
			return failWith(KindBroken)
		}, func(sinceBreak clock.Millis) (*Response, error) {
			if sinceBreak < 2*clock.Second {
				return nil, failWith(KindNotSent)
			}
			return streamResponse(90, io.EOF, "2"), nil
		}, 7 * clock.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				time.Sleep(time.Second) // Let the load estimates expire.
				var brokeAt clock.Millis
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n == 1 {
						return breakAfterEvent("1", func() error {
							brokeAt = h.clock.Mono()
							return row.breakStream(h, a)
						}), nil
					}
					if row.respond != nil {
						return row.respond(h.clock.Mono() - brokeAt)
					}
					return streamResponse(90, io.EOF, "2"), nil
				}
				c := h.serve(t.Context(), "/note/x", nil)
				if elapsed := h.clock.Mono() - brokeAt; c.Abort || c.events != "1;2;" || elapsed > row.within {
					t.Errorf("events %q, %+v, %d ms after the break", c.events, c.Result, elapsed)
				}
			})
		})
	}
}

// Guards against aborting a stream that was run only by endpoints that died: those
// found dead in a timeout counted as attempts.
func TestTimedOutDeadEndpointsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n < 4 {
				return breakAfterEvent(fmt.Sprint(n), func() error {
					h.dead[a.Endpoint.ID] = true
					return untilTimeout(a)
				}), nil
			}
			return streamResponse(90, io.EOF, "4"), nil
		}
		if c := h.serve(t.Context(), "/note/x", nil); c.events != "1;2;3;4;" || c.Abort {
			t.Errorf("events %q, %+v", c.events, c.Result)
		}
	})
}

// Guards against a stream that spends its last attempt on leaving a live but silent
// endpoint, so that it is aborted if the next endpoint breaks.
func TestLastAttemptIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second)
		keepWaiting := false
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n < 3 { // Two of three attempts; the first endpoint is left because it is silent.
				return breakAfterEvent(fmt.Sprint(n), func() error {
					if n == 2 {
						time.Sleep(5 * time.Second)
						keepWaiting = a.KeepWaiting()
					}
					return untilTimeout(a)
				}), nil
			}
			return streamResponse(90, io.EOF, "3"), nil
		}
		h.serve(t.Context(), "/note/x", nil)
		if !keepWaiting {
			t.Error("the last attempt was spent on leaving the second endpoint, which is alive")
		}
	})
}

// Guards against discarding a response for a larger model's when no endpoint has room
// for that any more: the caller gets neither.
func TestLowConfidenceResponseIsKeptIfEscalationFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		time.Sleep(time.Second) // Let the load estimates expire.
		h.respond = func(_ int, a *Attempt) (*Response, error) {
			response := streamResponse(10, io.EOF, "small")
			response.Close = func() { h.fillEndpoints(60, "") } // Other instances take the room at the same moment.
			if a.Model == large {
				response = streamResponse(90, io.EOF, "large")
			}
			return response, nil
		}
		if c := h.serve(t.Context(), "/note/x", nil); c.Reason != ReasonServed {
			t.Errorf("events %q, %+v", c.events, c.Result)
		}
	})
}

// Guards against avoiding all of a zone, with its new and plain endpoints, because
// draining endpoints there refuse connections.
func TestRefusedConnectionsDoNotBackOffZone(t *testing.T) {
	rows := []struct {
		kind    Kind
		backoff bool
	}{
		{KindRefused, false},
		{KindNotSent, true},
	}
	for _, row := range rows {
		t.Run(string(row.kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				service, q := &catalog.Service{Name: "engines"}, &placement.Query{Zone: "b", MaxUtilization: 1, Accept: func(*catalog.Endpoint) bool { return true }}
				for range endpoints.ZoneFailureThreshold {
					choice := h.endpoints.Peek(h.registry.View(), service, q)
					q.Tried = append(q.Tried, choice.State)
				}
				for _, s := range q.Tried {
					h.markUnreachable(s, row.kind)
				}
				h.endpoints.Peek(h.registry.View(), service, q)
				if avoided := q.ZoneUnreachable("a"); avoided != row.backoff {
					t.Errorf("zone avoided: %v, want %v", avoided, row.backoff)
				}
			})
		})
	}
}

// Guards against a caller waiting for endpoints that never come back because a roll-out
// has replaced their release.
func TestStreamOfRetiredReleaseIsAborted(t *testing.T) {
	rows := []struct {
		outcome registry.Outcome
		within  clock.Millis
		abort   bool
	}{
		{registry.OutcomeCompleted, clock.Second, true},
		{registry.OutcomeRunning, 4 * clock.Second, false},
	}
	for _, row := range rows {
		t.Run(string(row.outcome), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				order := h.order(5, 40*clock.Second)
				h.objects["statusx"] = registry.Object{Status: &registry.Status{Service: "engines", Target: order.Target, Order: 5, Outcome: row.outcome}}
				h.objects["backx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "back", StartedAt: 2, Service: "engines", Zone: "a", Release: "v1", Slots: 6}}
				time.Sleep(time.Second)
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return streamResponse(90, io.EOF, "2"), nil
					}
					response := breakAfterEvent("1", func() error {
						h.dead[a.Endpoint.ID] = true
						h.registry.Merge(registry.Batch{Feed: registry.FeedOutcomes, Records: []registry.Record{{Key: "status", Value: []byte("x")}}, Head: 1})
						var removed []registry.Record
						for i := range 4 {
							removed = append(removed, registry.Record{Key: fmt.Sprint("engines", i), Deleted: true, Offset: registry.Offset(9 + i)})
						}
						h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: removed, From: 9, Head: 13})
						time.AfterFunc(2*time.Second, func() {
							h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "back", Value: []byte("x"), Offset: 13}}, From: 13, Head: 14})
						})
						return failWith(KindBroken)
					})
					return response, nil
				}
				began := h.clock.Mono()
				c := h.serve(t.Context(), "/note/x", nil)
				if elapsed := h.clock.Mono() - began; c.Abort != row.abort || elapsed > row.within {
					t.Errorf("events %q, %+v, after %d ms", c.events, c.Result, elapsed)
				}
			})
		})
	}
}
