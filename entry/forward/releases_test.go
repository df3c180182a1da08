package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
)

// TestSlowReleaseIsCountedEarly rolls out a release whose first bytes are on time and
// whose events are eight times slower. The evidence must exist long before its streams
// end.
func TestSlowReleaseIsCountedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		pause := 100 * time.Millisecond
		h.respond = func(int, *Attempt) (*Response, error) { return pacedStream(12, pause), nil }
		for range 2 * endpoints.MinBaselineRuns {
			h.serve(t.Context(), "/note/x", nil)
		}
		order := h.order(5, 20*clock.Second)
		pause *= 8
		// In the full phase every session gets the new release.
		time.Sleep(16 * time.Second)
		go h.serve(t.Context(), "/note/x", nil)
		time.Sleep(5 * time.Second)
		series := Series(order, "note", evidence.ArmTo)
		if got := h.relay.Sum(series); got.Bad != 1 {
			t.Errorf("%+v counted 5 s into a stream of 10 s", got)
		}
		time.Sleep(10 * time.Second)
		if got := h.relay.Sum(series); got.Rated() != 1 {
			t.Errorf("%+v counted for one stream", got)
		}
	})
}

// TestSlowReleaseOnIdleEndpoints guards against a release that is several times slower
// and passes, because its idle endpoints are no slower than the old, loaded ones, or
// because its canary's responses are too short to judge.
func TestSlowReleaseOnIdleEndpoints(t *testing.T) {
	rows := []struct {
		name   string
		pause  time.Duration
		events int
		slow   bool
	}{
		{"as good as the old release", 22 * time.Millisecond, 8, false},
		{"several times slower", 97 * time.Millisecond, 8, true},
		{"as good, with short responses", 22 * time.Millisecond, 2, false},
		{"several times slower, with short responses", 97 * time.Millisecond, 2, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				n := 0
				h.respond = func(_ int, a *Attempt) (*Response, error) {
					if a.Endpoint.Release == "v2" {
						response := pacedStream(row.events, row.pause)
						response.Load = &placement.Load{Running: 1, Slots: 64}
						return response, nil
					}
					n++
					running := 4 + n*7%16 // 4 to 19 requests at a time, in turn.
					pause := time.Duration(18+3*running) * time.Millisecond
					if n%2 == 0 && running > 8 {
						pause += 100 * time.Millisecond // Long prompts are read concurrently.
					}
					response := pacedStream(row.events, pause)
					response.Load = &placement.Load{Running: running, Slots: 64}
					return response, nil
				}
				send := func(i int) {
					h.serve(t.Context(), "/note/x", func(r *Request) {
						r.ID, r.Session = RequestID(fmt.Sprint(i)), fmt.Sprint("session", i)
					})
					time.Sleep(2 * time.Second) // Let the reported load expire.
				}
				for i := range 48 {
					send(i)
				}
				order := h.order(5, 2000*clock.Second)
				time.Sleep(3 * time.Second)
				for i := range 200 {
					send(100 + i)
				}
				got := h.relay.Sum(Series(order, CanaryPaceRoute, evidence.ArmTo))
				if got.Rated() < 4 || row.slow && got.Good > 0 || !row.slow && got.Bad > 0 {
					t.Errorf("%+v counted in the canary", got)
				}
			})
		})
	}
}

// TestSessionsStayOnOldReleaseAcrossInstances runs sessions on the old release at one
// instance and continues them at another when a canary begins. A caller's session may
// use many instances.
func TestSessionsStayOnOldReleaseAcrossInstances(t *testing.T) {
	const sessions = 400
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := network{}
		first, second := newNetworkHarness("first", n), newNetworkHarness("second", n)
		for _, h := range []*harness{first, second} {
			h.respond = func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1"), nil }
			go h.relay.Run(ctx)
		}
		send := func(h *harness, i int) {
			h.serve(ctx, "/note/x", func(r *Request) {
				r.ID, r.Session = RequestID(fmt.Sprint(len(h.sent))), fmt.Sprint("session", i)
			})
		}
		for i := range sessions {
			send(first, i)
		}
		for _, h := range []*harness{first, second} {
			h.order(5, 20*clock.Second)
		}
		send(first, sessions)
		time.Sleep(3 * time.Second)
		for i := range sessions {
			send(second, i)
		}
		for i := range sessions {
			send(second, sessions+1+i)
		}
		cancel()
		time.Sleep(10 * time.Second)
		moved, started := 0, 0
		for i, a := range second.sent {
			switch {
			case a.Endpoint.Release != "v2":
			case i < sessions:
				moved++
			default:
				started++
			}
		}
		if moved > 0 || started == 0 {
			t.Errorf("%d sessions of %d changed the release in the first half of the order; %d new ones started on the new release", moved, sessions, started)
		}
	})
}

// TestSlowFirstEvent moves all traffic to a release whose first event takes longer than
// six events may.
func TestSlowFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		pause := 50 * time.Millisecond
		h.respond = func(int, *Attempt) (*Response, error) { return pacedStream(8, pause), nil }
		for range 2 * endpoints.MinBaselineRuns {
			h.serve(t.Context(), "/note/x", nil)
		}
		order := h.order(5, 20*clock.Second)
		time.Sleep(16 * time.Second)
		pause = 5 * time.Second
		if c := h.serve(t.Context(), "/note/x", nil); c.events != "xxxxxxxx" {
			t.Errorf("the caller got %q", c.events)
		}
		if got := h.relay.Sum(Series(order, PostCanaryPaceRoute, evidence.ArmTo)); got.Bad != 1 || got.Good != 0 {
			t.Errorf("%+v counted", got)
		}
	})
}

// TestNextOrderAfterRollback orders a third release while endpoints of the second,
// which was rolled back, still run.
func TestNextOrderAfterRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1"), nil }
		h.objects["orderv2"] = registry.Object{Order: &catalog.Order{Number: 5, Service: "engines", Target: "v2", Duration: 20 * clock.Second}}
		h.objects["orderv3"] = registry.Object{Order: &catalog.Order{Number: 9, Service: "engines", Target: "v3", Duration: 20 * clock.Second}}
		h.objects["badx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "bad", StartedAt: 1, Service: "engines", Zone: "a", Release: "v2", Slots: 600}}
		h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "bad", Value: []byte("x"), Offset: 8}}, From: 8, Head: 9})
		h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("v2"), Offset: 1}}, From: 1, Head: 2})
		h.relay.StopRelease(5, "evidence")
		h.serve(t.Context(), "/note/x", nil)
		h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("v3"), Offset: 2}}, From: 2, Head: 3})
		for i := range 40 {
			h.serve(t.Context(), "/note/x", func(r *Request) {
				r.ID = RequestID(fmt.Sprint(i))
				r.PromptParts = []placement.Part{{ID: placement.PartID(fmt.Sprint("s", i)), Tokens: 500}, {ID: "own", Tokens: 600}}
			})
		}
		for _, a := range h.sent {
			if a.Endpoint.ID == "bad" {
				t.Fatal("a request went to the release that was rolled back")
			}
		}
	})
}

// TestRolloutFillsFewEndpoints guards against completing a release that fails under
// load: on a deployment with little traffic, half of the sessions fill no endpoint if
// they are spread over all.
func TestRolloutFillsFewEndpoints(t *testing.T) {
	const (
		span     = 20 * clock.Second
		requests = 40
	)
	rows := []struct {
		name string
		wait time.Duration
		// minInFlight is the least number of requests at the busiest endpoint.
		minInFlight int
	}{
		{"half of the sessions", 13 * time.Second, requests / 3},
		{"all of them", 16 * time.Second, requests},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(int, *Attempt) (*Response, error) { return pacedStream(20, 100*time.Millisecond), nil }
				order := h.order(5, span)
				h.addNewEndpoints(3, 600)
				time.Sleep(row.wait)
				for i := range requests {
					go h.serve(t.Context(), "/note/x", func(r *Request) {
						r.ID, r.Session = RequestID(fmt.Sprint(i)), fmt.Sprint("session", i)
						r.PromptParts = []placement.Part{{ID: "s", Tokens: 100}, {ID: placement.PartID(fmt.Sprint("own", i)), Tokens: 100}}
					})
					synctest.Wait()
				}
				inFlight, busiest := h.InFlight("engines", order.Target), 0
				for _, n := range inFlight {
					busiest = max(busiest, n)
				}
				if busiest < row.minInFlight {
					t.Errorf("%v, want %d at one of them", inFlight, row.minInFlight)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against moving a session back to the old release because the new one, on which
// it ran and which is good, has no room.
func TestPinnedSessionStaysOnNewRelease(t *testing.T) {
	rows := []struct {
		name    string
		session string
		// rolledBack is true if the new release was rolled back in the meantime.
		rolledBack bool
		release    catalog.Release
	}{
		{"a session that ran on the new release", "pinned", false, "v2"},
		{"a session that did not run on it", "fresh", false, "v1"},
		{"no session", "", false, "v1"},
		{"a session that ran on a release that was rolled back", "pinned", true, "v1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				full := false
				h.respond = func(_ int, a *Attempt) (*Response, error) {
					if full && a.Endpoint.Release == "v2" {
						return rejected(), nil
					}
					return streamResponse(90, io.EOF, "1"), nil
				}
				const span = 20 * clock.Second
				h.order(5, span)
				time.Sleep(16 * time.Second) // All sessions get the new release.
				h.serve(t.Context(), "/note/x", func(r *Request) { r.Session = "pinned" })
				if first := h.sent[0].Endpoint.Release; first != "v2" {
					t.Fatalf("the session started on %s", first)
				}
				full = true
				if row.rolledBack {
					h.relay.StopRelease(5, "evidence")
				}
				c := h.serve(t.Context(), "/note/x", func(r *Request) { r.ID, r.Session = "r2", row.session })
				last := h.sent[len(h.sent)-1].Endpoint.Release
				if last != row.release {
					t.Errorf("the request went to %s, want %s", last, row.release)
				}
				if refused := c.Status == http.StatusServiceUnavailable; refused != (row.release == "v2") {
					t.Errorf("status %d, sent to %s last", c.Status, last)
				}
			})
		})
	}
}

// Guards against a refusal computed from a release whose endpoints are gone, with the
// default Retry-After of a second, when the endpoints of its successor are full.
func TestRefusalReportsReleaseInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.order(5, 20*clock.Second)
		var removed []registry.Record
		for i := range 4 {
			removed = append(removed, registry.Record{Key: fmt.Sprint("engines", i), Deleted: true, Offset: registry.Offset(9 + i)})
		}
		h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: removed, From: 9, Head: 13})
		time.Sleep(16 * time.Second) // All sessions get the new release.
		h.respond = func(int, *Attempt) (*Response, error) { return streamResponse(90, io.EOF, "1"), nil }
		if c := h.serve(t.Context(), "/note/x", nil); c.Reason != ReasonServed {
			t.Fatalf("%+v", c.Result)
		}
		h.endpoints.SetPeerLoads(loadlist.Loads{InFlight: loadlist.Counts{"new": 6000}})
		c := h.serve(t.Context(), "/note/x", func(r *Request) { r.ID = "r2" })
		if c.Reason != ReasonEndpointsFull || c.RetryAfter == 0 || c.RetryAfter == clock.Second {
			t.Errorf("%+v, want %s", c.Result, ReasonEndpointsFull)
		}
	})
}
