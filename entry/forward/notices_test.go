package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
)

// refuseWithHold is the response of an endpoint that wants no requests for some time.
func refuseWithHold(a *Attempt, hold clock.Millis) *Response {
	a.Notify(Notice{HoldOff: hold})
	return rejected()
}

// withoutPrompt makes a request that no endpoint has a part of cached.
func withoutPrompt(r *Request) { r.PromptParts = nil }

// sentTo returns how many attempts after the first ones went to an endpoint.
func (h *harness) sentTo(id routing.EndpointID, first int) int {
	count := 0
	for _, a := range h.sent[first:] {
		if a.Endpoint.ID == id {
			count++
		}
	}
	return count
}

// list lists an endpoint of the plain service anew.
func (h *harness) list(id routing.EndpointID, startedAt clock.Millis, at registry.Offset) {
	value := fmt.Sprint("listing ", at)
	h.objects[string(id)+value] = registry.Object{Endpoint: &catalog.Endpoint{ID: id, StartedAt: startedAt, Service: "plain", Zone: "a", Release: "v1", Slots: 6}}
	h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: string(id), Value: []byte(value), Offset: at}}, From: at, Head: at + 1})
}

// TestLeavingEndpoint checks that an endpoint that said so gets no more requests, whatever the
// listing says, until it has started again.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newEndpointLogHarness(&log)
		var leaving routing.EndpointID
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n == 1 {
				leaving = a.Endpoint.ID
			}
			if a.Endpoint.ID == leaving {
				a.Notify(Notice{Leaving: true})
			}
			return plainResponse(200), nil
		}
		serve := func(count int) {
			for range count {
				if c := h.serve(t.Context(), "/once/x", withoutPrompt); c.Status != 200 {
					t.Errorf("status %d", c.Status)
				}
			}
		}
		serve(60)
		if n := h.sentTo(leaving, 0); n != 1 {
			t.Errorf("%d requests at the leaving endpoint", n)
		}
		h.list(leaving, 1, 20) // Its listing says again that it is ready.
		serve(60)
		if n := h.sentTo(leaving, 0); n != 1 {
			t.Errorf("%d requests after a stale listing", n)
		}
		h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: string(leaving), Offset: 21, Deleted: true}}, From: 21, Head: 22})
		serve(1)
		h.list(leaving, 1, 22) // The listing lapsed and is back.
		serve(60)
		if n := h.sentTo(leaving, 0); n != 1 {
			t.Errorf("%d requests after its listing was back", n)
		}
		old := leaving
		leaving = ""
		h.list(old, 2, 23) // A new run.
		serve(60)
		if n := h.sentTo(old, 0); n < 2 {
			t.Error("the new run gets no requests")
		}
		if n := strings.Count(log.String(), "endpoint-leaving:"); n != 1 {
			t.Errorf("logged %d times\n%s", n, log.String())
		}
	})
}

// TestPeersWordOfLeavingEndpoint checks that an instance avoids an endpoint of which another
// heard that it is leaving.
func TestPeersWordOfLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network{}
		a, b := newNetworkHarness("a", n), newNetworkHarness("b", n)
		for _, h := range []*harness{a, b} {
			go h.relay.Run(t.Context())
		}
		time.Sleep(3 * time.Second)
		var leaving routing.EndpointID
		a.respond = func(_ int, attempt *Attempt) (*Response, error) {
			leaving = attempt.Endpoint.ID
			attempt.Notify(Notice{Leaving: true})
			return plainResponse(200), nil
		}
		b.respond = func(int, *Attempt) (*Response, error) { return plainResponse(200), nil }
		b.serve(t.Context(), "/once/x", nil)
		first := len(b.sent)
		a.serve(t.Context(), "/once/x", nil)
		time.Sleep(time.Second)
		for range 60 {
			b.serve(t.Context(), "/once/x", withoutPrompt)
		}
		if count := b.sentTo(leaving, first); count != 0 {
			t.Errorf("%d requests at the leaving endpoint", count)
		}
	})
}

// TestHeldOffEndpoint sends 20 requests at once to endpoints that refuse them all for two
// seconds. The endpoints must get none until then, the callers an answer at once, and requests
// must flow again afterwards.
func TestHeldOffEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		h := newEndpointLogHarness(&log)
		holding := true
		h.respond = func(_ int, a *Attempt) (*Response, error) {
			if holding {
				return refuseWithHold(a, 2*clock.Second), nil
			}
			return plainResponse(200), nil
		}
		results := make(chan *callerView, 20)
		for i := range 20 {
			go func() {
				results <- h.serve(t.Context(), "/once/x", func(r *Request) { r.ID = RequestID(fmt.Sprint(i)); r.Body = []byte(fmt.Sprint(i)) })
			}()
		}
		for range 20 {
			c := <-results
			if c.Status != http.StatusServiceUnavailable {
				t.Errorf("status %d", c.Status)
			}
		}
		synctest.Wait()
		first := len(h.sent)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			c := h.serve(t.Context(), "/once/x", nil)
			if c.Status != http.StatusServiceUnavailable || c.RetryAfter <= 0 || c.RetryAfter > 2*clock.Second {
				t.Errorf("status %d, Retry-After %d", c.Status, c.RetryAfter)
			}
		}
		if n := len(h.sent) - first; n != 0 {
			t.Errorf("%d requests while the endpoints wanted none", n)
		}
		holding = false
		time.Sleep(200 * time.Millisecond)
		if c := h.serve(t.Context(), "/once/x", nil); c.Status != 200 {
			t.Errorf("status %d after the hold", c.Status)
		}
		if held, ended := strings.Count(log.String(), "endpoint-held-off:"), strings.Count(log.String(), "endpoint-hold-ended:"); held != 4 || ended != 4 {
			t.Errorf("%d holds and %d ends logged, want 4 and 4\n%s", held, ended, log.String())
		}
	})
}

// TestHoldOffIsBounded checks that no endpoint is held off for good, and that the caller is not
// told to come back later than it can.
func TestHoldOffIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(_ int, a *Attempt) (*Response, error) { return refuseWithHold(a, 24*clock.Hour), nil }
		for range 4 {
			h.serve(t.Context(), "/once/x", nil)
		}
		c := h.serve(t.Context(), "/once/x", func(r *Request) { r.CallerTimeout = 900 })
		if c.RetryAfter > 300 {
			t.Errorf("Retry-After %d of a caller that waits 900 ms", c.RetryAfter)
		}
		h.respond = func(int, *Attempt) (*Response, error) { return plainResponse(200), nil }
		time.Sleep((maxHoldOff + clock.Second).Duration())
		if c := h.serve(t.Context(), "/once/x", nil); c.Status != 200 {
			t.Errorf("status %d", c.Status)
		}
	})
}

// TestStreamEndsAtLeavingEndpoint checks that a stream goes on at an endpoint that leaves, and
// that one that breaks resumes elsewhere.
func TestStreamEndsAtLeavingEndpoint(t *testing.T) {
	rows := []struct {
		name string
		err  error
		want string
		runs int
	}{
		{"complete", io.EOF, "1;2;", 1},
		{"broken", failWith(KindBroken), "1;2;3;4;", 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return streamResponse(90, io.EOF, "3", "4"), nil
					}
					a.Notify(Notice{Leaving: true})
					return streamResponse(90, row.err, "1", "2"), nil
				}
				if c := h.serve(t.Context(), "/note/x", nil); c.events != row.want || c.Abort {
					t.Errorf("events %q, aborted %v", c.events, c.Abort)
				}
				if len(h.sent) != row.runs {
					t.Errorf("%d attempts, want %d", len(h.sent), row.runs)
				}
				if row.runs == 2 && h.sent[0].Endpoint.ID == h.sent[1].Endpoint.ID {
					t.Error("resumed at the leaving endpoint")
				}
			})
		})
	}
}

// TestStillWanted checks that a request is not sent to an endpoint that said between the choice
// and the sending that it wants none, or that its listing withdrew.
func TestStillWanted(t *testing.T) {
	rows := []struct {
		name     string
		withdraw func(h *harness, a *Attempt)
	}{
		{"leaving", func(_ *harness, a *Attempt) { a.Notify(Notice{Leaving: true}) }},
		{"held off", func(_ *harness, a *Attempt) { a.Notify(Notice{HoldOff: clock.Second}) }},
		{"draining by its listing", func(h *harness, a *Attempt) {
			e := *a.Endpoint
			e.Draining = true
			h.objects[string(e.ID)+"z"] = registry.Object{Endpoint: &e}
			h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: string(e.ID), Value: []byte("z"), Offset: 20}}, From: 20, Head: 21})
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, a *Attempt) (*Response, error) {
					if n == 1 {
						if !a.StillWanted() {
							t.Error("not wanted before")
						}
						row.withdraw(h, a)
						if a.StillWanted() {
							t.Error("still wanted afterwards")
						}
						return nil, failWith(KindWithdrawn)
					}
					return plainResponse(200), nil
				}
				if c := h.serve(t.Context(), "/once/x", nil); c.Status != 200 {
					t.Errorf("status %d", c.Status)
				}
				if len(h.sent) != 2 || h.sent[0].Endpoint.ID == h.sent[1].Endpoint.ID {
					t.Errorf("%d attempts", len(h.sent))
				}
			})
		})
	}
}
