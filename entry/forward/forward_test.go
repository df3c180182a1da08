package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// harness is a Forwarder whose endpoints are scripted by a test.
type harness struct {
	*Forwarder
	registry *registry.Registry
	relay    *relay.Relay
	// respond returns the response to each send; n counts from 1.
	respond func(n int, a *Attempt) (*Response, error)
	// mu guards sent while requests are running.
	mu   sync.Mutex
	sent []*Attempt
	dead map[routing.EndpointID]bool
	// refusing holds endpoints that are alive and refuse connections.
	refusing map[routing.EndpointID]bool
	objects  map[string]registry.Object
}

const (
	small = ticket.ModelName("small")
	large = ticket.ModelName("large")
)

var routes = []*catalog.Route{
	{Name: "once", Host: "h", Prefix: "/once/", Split: split("plain"), Retry: catalog.RetryNever, Timeout: 800, FirstByteGoal: 100, Attempts: 1, Rank: 2},
	{Name: "safe", Host: "h", Prefix: "/safe/", Split: split("plain"), Retry: catalog.RetryFreely, Timeout: 800, FirstByteGoal: 100, Attempts: 2, Rank: 2},
	{Name: "note", Host: "h", Prefix: "/note/", Split: split("engines"), Retry: catalog.RetryNever, Stream: true, Resumable: true, Timeout: 15000, FirstByteGoal: 2000, GapGoal: 1000, Attempts: 3, Models: []ticket.ModelName{small, large}},
	{Name: "open", Host: "h", Prefix: "/open/", Split: split("plain"), Retry: catalog.RetryFreely, Timeout: 800, FirstByteGoal: 100, Attempts: 2, Public: true},
}

func split(service ticket.ServiceName) []catalog.WeightedService {
	return []catalog.WeightedService{{Service: service, Weight: 1}}
}

func config(keys ...catalog.APIKey) *catalog.Config {
	services := []*catalog.Service{
		{Name: "plain"},
		{Name: "engines", ColdRate: 17, ColdDuration: 3000, Engine: &catalog.Engine{TokensPerEvent: 7, Models: []catalog.Model{{Name: small, Cost: 0.016}, {Name: large, Cost: 0.24}}}},
	}
	return catalog.NewConfig(1, routes, services, []*catalog.Workspace{{Name: "w", Keys: keys}}, true, catalog.Limits{})
}

// network connects the relays of several harnesses by name.
type network map[string]http.Handler

func (n network) Do(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	n[r.URL.Host].ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func newHarness() *harness { return newNetworkHarness("i", network{}) }

// newEndpointLogHarness returns a harness that logs what it learns about endpoints, and
// nothing else.
func newEndpointLogHarness(log io.Writer) *harness {
	h := buildHarness("i", network{}, hclog.New(&hclog.LoggerOptions{Output: log}))
	h.logger = hclog.NewNullLogger()
	return h
}

// newNetworkHarness returns a harness whose relay reaches the others of the network.
func newNetworkHarness(name string, n network) *harness {
	return buildHarness(name, n, hclog.NewNullLogger())
}

func buildHarness(name string, n network, logger hclog.Logger) *harness {
	h := &harness{dead: map[routing.EndpointID]bool{}, refusing: map[routing.EndpointID]bool{}}
	c := clock.New()
	h.registry = registry.New(c, hclog.NewNullLogger())
	objects := map[string]registry.Object{}
	h.objects = objects
	h.registry.Decode = func(r *registry.Record) (registry.Object, error) { return objects[r.Key+string(r.Value)], nil }
	var seeds []string
	for seed := range n {
		seeds = append(seeds, seed)
	}
	h.relay = relay.New(relay.Member{Name: name, Zone: "a", Address: name, RunID: "1"}, seeds, relay.Dependencies{
		Registry: h.registry, Client: n, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	path, handler := h.relay.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	n[name] = mux
	limits := &Limits{Zone: "a", RetryRatio: 0.9, RetrySlack: 58, RetryWindow: 10000, Exposure: 0.15, SessionTTL: 5000, MaxViewAge: 3000}
	h.Forwarder = New(limits, Dependencies{
		Registry: h.registry, Relay: h.relay, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: logger, Scope: tally.NoopScope,
		Sender: Sender{
			Send: func(_ context.Context, a *Attempt) (*Response, error) {
				h.mu.Lock()
				h.sent = append(h.sent, a)
				n := len(h.sent)
				h.mu.Unlock()
				return h.respond(n, a)
			},
			Probe: func(_ context.Context, e *catalog.Endpoint) error {
				switch {
				case h.dead[e.ID]:
					return fault.New("probe", KindNotSent, "scripted")
				case h.refusing[e.ID]:
					return fault.New("probe", KindRefused, "scripted")
				}
				return nil
			},
		},
	})
	objects["configx"] = registry.Object{Config: config("key")}
	h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "config", Value: []byte("x")}}, Head: 1})
	var records []registry.Record
	for i := range 4 {
		for _, service := range []ticket.ServiceName{"plain", "engines"} {
			id := fmt.Sprint(service, i)
			objects[id+"x"] = registry.Object{Endpoint: &catalog.Endpoint{ID: routing.EndpointID(id), StartedAt: 1, Service: service, Zone: "a", Release: "v1", Slots: 6}}
			records = append(records, registry.Record{Key: id, Value: []byte("x"), Offset: registry.Offset(len(records))})
		}
	}
	h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: records, Head: registry.Offset(len(records))})
	return h
}

// callerView records what a caller receives.
type callerView struct {
	Result
	events string
	heads  int
}

func (h *harness) serve(ctx context.Context, path string, change func(*Request)) *callerView {
	r := &Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Path: path, Target: path, Body: []byte("body"), Key: "key",
		ReceivedAt: h.clock.Mono(), AnyModel: true, MaxTokens: 300, PromptParts: []placement.Part{{ID: "s", Tokens: 5000}, {ID: "own", Tokens: 6000}},
	}
	if change != nil {
		change(r)
	}
	c := &callerView{}
	c.Result = h.Serve(ctx, r, ResponseWriter{
		WriteHeader: func(int, http.Header) { c.heads++ },
		WriteEvent:  func(raw []byte) error { c.events += string(raw); return nil },
	})
	return c
}

func plainResponse(status int) *Response {
	return &Response{Status: status, Confidence: cascade.ConfidenceUnknown, Body: []byte("ok"), Close: func() {}}
}

func rejected() *Response {
	r := plainResponse(http.StatusServiceUnavailable)
	r.NotRun = true
	return r
}

// streamResponse returns a stream of one event for each ID, followed by the error.
func streamResponse(confidence cascade.Confidence, err error, ids ...string) *Response {
	sent := 0
	return &Response{
		Status: http.StatusOK, Confidence: confidence, Close: func() {},
		Next: func() (Event, error) {
			if sent == len(ids) {
				return Event{}, err
			}
			sent++
			return Event{ID: EventID(ids[sent-1]), Raw: []byte(ids[sent-1] + ";")}, nil
		},
	}
}

// pacedStream returns a stream of the given number of events, each after a pause.
func pacedStream(events int, pause time.Duration) *Response {
	sent := 0
	return &Response{Status: http.StatusOK, Confidence: 90, Close: func() {}, Next: func() (Event, error) {
		if sent++; sent > events {
			return Event{}, io.EOF
		}
		time.Sleep(pause)
		return Event{ID: EventID(fmt.Sprint(sent)), Raw: []byte("x")}, nil
	}}
}

func failWith(kind Kind) error { return fault.New("send", kind, "scripted") }

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

// order adds an order for a second release of the engines, with one endpoint of that
// release.
func (h *harness) order(number catalog.OrderNumber, duration clock.Millis) *catalog.Order {
	return h.orderOf("engines", number, duration)
}

// orderOf is like order for any service.
func (h *harness) orderOf(service ticket.ServiceName, number catalog.OrderNumber, duration clock.Millis) *catalog.Order {
	order := &catalog.Order{Number: number, Service: service, Target: "v2", Duration: duration}
	h.objects["orderx"] = registry.Object{Order: order}
	h.objects["newx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "new", StartedAt: 1, Service: service, Zone: "a", Release: "v2", Slots: 600}}
	h.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "new", Value: []byte("x"), Offset: 8}}, From: 8, Head: 9})
	h.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("x"), Offset: 1}}, From: 1, Head: 2})
	return order
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

// fillEndpoints lets other instances have inFlight requests at all endpoints except
// one.
func (h *harness) fillEndpoints(inFlight int, except routing.EndpointID) {
	counts := loadlist.Counts{}
	for i := range 4 {
		for _, service := range []string{"engines", "plain"} {
			if id := routing.EndpointID(fmt.Sprint(service, i)); id != except {
				counts[id] = inFlight
			}
		}
	}
	h.endpoints.SetPeerLoads(loadlist.Loads{InFlight: counts})
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
