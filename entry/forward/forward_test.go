package forward

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/quarantine"
)

func TestRequestOutcomes(t *testing.T) {
	rows := []struct {
		name       string
		path       string
		respond    func(n int, a *Attempt) (*Response, error)
		status     int
		sends      int
		localReply bool
	}{
		{"served", "/once/x", func(int, *Attempt) (*Response, error) { return plainResponse(200), nil }, 200, 1, false},
		{"at most once, connection breaks: outcome unknown, not retried", "/once/x", func(int, *Attempt) (*Response, error) { return nil, failWith(KindBroken) }, 502, 1, true},
		{"at most once, not sent: retried", "/once/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failWith(KindNotSent)
			}
			return plainResponse(200), nil
		}, 200, 2, false},
		{"at most once, connection refused: retried", "/once/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failWith(KindRefused)
			}
			return plainResponse(200), nil
		}, 200, 2, false},
		{"every endpoint refuses the connection: refused", "/once/x", func(int, *Attempt) (*Response, error) { return nil, failWith(KindRefused) }, 503, 4, true},
		{"every endpoint rejects it: refused", "/once/x", func(int, *Attempt) (*Response, error) { return rejected(), nil }, 503, 3, true},
		{"retryable, connection breaks: retried", "/safe/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failWith(KindBroken)
			}
			return plainResponse(200), nil
		}, 200, 2, false},
		{"retryable, connection breaks twice: attempts are used up", "/safe/x", func(int, *Attempt) (*Response, error) { return nil, failWith(KindBroken) }, 502, 2, true},
		{"broken, then rejected: outcome unknown", "/safe/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failWith(KindBroken)
			}
			return rejected(), nil
		}, 502, 4, true},
		{"at most once, endpoint fails: its response is passed on", "/once/x", func(int, *Attempt) (*Response, error) { return plainResponse(500), nil }, 500, 1, false},
		{"two endpoints fail: the response is passed on", "/safe/x", func(int, *Attempt) (*Response, error) { return plainResponse(500), nil }, 500, 2, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = row.respond
				c := h.serve(t.Context(), row.path, nil)
				if c.Status != row.status || len(h.sent) != row.sends || c.LocalReply != row.localReply {
					t.Errorf("status %d, sends %d, local reply %v; want %d, %d, %v", c.Status, len(h.sent), c.LocalReply, row.status, row.sends, row.localReply)
				}
				if c.Status == 503 && c.RetryAfter == 0 {
					t.Error("a refusal without Retry-After")
				}
			})
		})
	}
}

// TestUndeclaredRefusalIsNotPassedOn guards against callers that repeat a request which has run:
// an endpoint that fails after it began to run a request may use a status that callers take as a
// guarantee that it has not run.
func TestUndeclaredRefusalIsNotPassedOn(t *testing.T) {
	rows := []struct {
		name     string
		path     string
		statuses []int
		want     int
		sends    int
	}{
		{"at most once, 408", "/once/x", []int{408}, 502, 1},
		{"at most once, 429", "/once/x", []int{429}, 502, 1},
		{"at most once, 503", "/once/x", []int{503}, 502, 1},
		{"retryable, served by the second endpoint", "/safe/x", []int{503, 200}, 200, 2},
		{"retryable, attempts are used up", "/safe/x", []int{503, 429}, 502, 2},
		{"retryable, the second endpoint fails with another status", "/safe/x", []int{503, 500}, 500, 2},
		{"resumable stream, served by the second endpoint", "/note/x", []int{503, 200}, 200, 2},
		{"resumable stream, attempts are used up", "/note/x", []int{503, 408, 429}, 502, 3},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, _ *Attempt) (*Response, error) { return plainResponse(row.statuses[n-1]), nil }
				c := h.serve(t.Context(), row.path, nil)
				if c.Status != row.want || len(h.sent) != row.sends || c.LocalReply != (row.want == http.StatusBadGateway) {
					t.Errorf("status %d, sends %d, local reply %v; want %d, %d", c.Status, len(h.sent), c.LocalReply, row.want, row.sends)
				}
			})
		})
	}
}

func TestAdmit(t *testing.T) {
	rows := []struct {
		name   string
		path   string
		key    catalog.APIKey
		wait   time.Duration
		status int
	}{
		{"unknown route", "/none/x", "key", 0, 404},
		{"unknown key", "/safe/x", "bad", 0, 401},
		{"a public route needs no key", "/open/x", "", 0, 200},
		{"unknown route in a stale view", "/none/x", "key", 4 * time.Second, 503},
		{"unknown key in a stale view", "/safe/x", "bad", 4 * time.Second, 503},
		{"known route and key in a stale view", "/safe/x", "key", 4 * time.Second, 200},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(int, *Attempt) (*Response, error) { return plainResponse(200), nil }
				time.Sleep(row.wait)
				if c := h.serve(t.Context(), row.path, func(r *Request) { r.Key = row.key }); c.Status != row.status {
					t.Errorf("status %d, want %d", c.Status, row.status)
				}
			})
		})
	}
}

// TestPoisonRequestIsQuarantined sends a request that crashes each endpoint that starts
// to run it.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(_ int, a *Attempt) (*Response, error) {
			h.dead[a.Endpoint.ID] = true
			return nil, failWith(KindBroken)
		}
		for range 3 {
			h.serve(t.Context(), "/note/x", nil)
		}
		sent := len(h.sent)
		if c := h.serve(t.Context(), "/note/x", nil); c.Status != http.StatusBadGateway || len(h.sent) != sent {
			t.Errorf("status %d after %d sends, then %d more", c.Status, sent, len(h.sent)-sent)
		}
		if sent > 4 {
			t.Errorf("%d endpoints were crashed", sent)
		}
		other := h.serve(t.Context(), "/note/y", nil)
		if other.Reason == ReasonQuarantined || h.relay.Verdict("") == quarantine.VerdictQuarantined {
			t.Error("another request is quarantined")
		}
	})
}

// TestRetryUsesCurrentView changes the view between the attempts of one request.
func TestRetryUsesCurrentView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(n int, a *Attempt) (*Response, error) {
			if n == 1 {
				var removed []registry.Record
				for i := range 4 {
					if id := fmt.Sprint("plain", i); id != "plain3" {
						removed = append(removed, registry.Record{Key: id, Deleted: true, Offset: registry.Offset(20 + i)})
					}
				}
				h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: removed, From: 8, Head: 30})
				return nil, failWith(KindBroken)
			}
			return plainResponse(200), nil
		}
		c := h.serve(t.Context(), "/safe/x", nil)
		for _, a := range h.sent[1:] {
			if a.Endpoint.ID != "plain3" {
				t.Errorf("sent to %s after it was removed", a.Endpoint.ID)
			}
		}
		if c.Status != 200 && len(h.sent) > 1 {
			t.Errorf("status %d", c.Status)
		}
	})
}

// TestOverloadIsRefusedAtOnce simulates the days of highest load, with many more long
// streams than the engines have slots. Requests that do not fit must be refused at once
// with a Retry-After instead of being held.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		endStreams := make(chan struct{})
		h.respond = func(int, *Attempt) (*Response, error) {
			return &Response{Status: 200, Confidence: 90, Close: func() {}, Next: func() (Event, error) {
				<-endStreams
				return Event{}, io.EOF
			}}, nil
		}
		results := make(chan *callerView, 200)
		var longestRefusal atomic.Int64
		for i := range 60 {
			go func() {
				began := h.clock.Mono()
				c := h.serve(t.Context(), "/note/x", func(r *Request) { r.ID = RequestID(fmt.Sprint(i)); r.Body = []byte(fmt.Sprint(i)) })
				if c.Status == 503 {
					longestRefusal.Store(max(longestRefusal.Load(), int64(h.clock.Mono()-began)))
				}
				results <- c
			}()
			time.Sleep(time.Millisecond)
		}
		close(endStreams)
		served, refused := 0, 0
		for range 60 {
			c := <-results
			switch {
			case c.Status == 503 && c.RetryAfter > 0:
				refused++
			case c.heads == 1:
				served++
			}
		}
		if served < 24 || refused == 0 || served+refused != 60 {
			t.Errorf("%d served and %d refused of 60 with 24 slots", served, refused)
		}
		if delay := longestRefusal.Load(); delay > 5 {
			t.Errorf("a refusal took %d ms", delay)
		}
	})
}

// TestUnreachableEndpointsAreSkipped guards against failed requests and spent retries
// while endpoints are down that still look free: each fails the connection at once.
func TestUnreachableEndpointsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.respond = func(_ int, a *Attempt) (*Response, error) {
			if a.Endpoint.ID != "plain3" {
				return nil, failWith(KindNotSent)
			}
			return plainResponse(200), nil
		}
		before := h.endpoints.RetryBudgetLeft("plain")
		for _, path := range []string{"/once/x", "/safe/x"} {
			if c := h.serve(t.Context(), path, nil); c.Status != 200 {
				t.Errorf("%s: status %d after %d sends", path, c.Status, len(h.sent))
			}
		}
		if left := h.endpoints.RetryBudgetLeft("plain"); left < before {
			t.Errorf("unsent attempts were charged to the retry budget: %.2f left of %.2f", left, before)
		}
	})
}

// TestRareFailures has an endpoint fail a request, on a fleet so large that each
// instance uses each endpoint seldom. On routes that rarely fail, the request is
// retried at another endpoint; on routes that often fail, the failure is passed on.
func TestRareFailures(t *testing.T) {
	rows := []struct {
		name      string
		failEvery int // one in this many requests fails by itself, at any endpoint; 0 for none
		status    int
		sends     int
	}{
		{"failures are rare: retried at another endpoint", 0, 200, 2},
		{"a seventh of the requests fail anyway: passed on", 7, 500, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.respond = func(n int, _ *Attempt) (*Response, error) {
					if row.failEvery > 0 && n%row.failEvery == 0 {
						return plainResponse(500), nil
					}
					return plainResponse(200), nil
				}
				for range 60 {
					h.serve(t.Context(), "/safe/x", nil)
				}
				before := len(h.sent)
				h.respond = func(n int, _ *Attempt) (*Response, error) {
					if n == before+1 {
						return plainResponse(500), nil
					}
					return plainResponse(200), nil
				}
				c := h.serve(t.Context(), "/safe/x", nil)
				if sends := len(h.sent) - before; c.Status != row.status || sends != row.sends {
					t.Errorf("status %d after %d sends, want %d after %d", c.Status, sends, row.status, row.sends)
				}
			})
		})
	}
}
