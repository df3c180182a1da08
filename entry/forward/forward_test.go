package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// bench is a forwarder over endpoints that a test scripts.
type bench struct {
	*Forwarder
	registry *registry.Registry
	relay    *relay.Relay
	// answer scripts each send, counted from 1.
	answer func(n int, a *Attempt) (*Response, error)
	sent   []*Attempt
	dead   map[routing.EndpointID]bool
	// refusing holds endpoints that live and accept no channel.
	refusing map[routing.EndpointID]bool
	facts    map[string]registry.Object
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

// network lets the relays of several benches reach each other by name.
type network map[string]http.Handler

func (n network) Do(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	n[r.URL.Host].ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

func newBench() *bench { return newMember("i", network{}) }

// newMember returns a bench whose relay reaches the others of the network.
func newMember(name string, n network) *bench {
	b := &bench{dead: map[routing.EndpointID]bool{}, refusing: map[routing.EndpointID]bool{}}
	c := clock.New()
	b.registry = registry.New(c, hclog.NewNullLogger())
	facts := map[string]registry.Object{}
	b.facts = facts
	b.registry.Decode = func(r *registry.Record) (registry.Object, error) { return facts[r.Key+string(r.Value)], nil }
	var seeds []string
	for seed := range n {
		seeds = append(seeds, seed)
	}
	b.relay = relay.New(relay.Member{Name: name, Zone: "a", Address: name, RunID: "1"}, seeds, relay.Dependencies{
		Registry: b.registry, Client: n, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	path, handler := b.relay.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	n[name] = mux
	limits := &Limits{Zone: "a", RetryRatio: 0.9, RetrySlack: 58, RetryWindow: 10000, Exposure: 0.15, SessionTTL: 5000, MaxViewAge: 3000}
	b.Forwarder = New(limits, Dependencies{
		Registry: b.registry, Relay: b.relay, Clock: c, Random: rand.New(rand.NewPCG(1, 2)), Logger: hclog.NewNullLogger(), Scope: tally.NoopScope,
		Sender: Sender{
			Send: func(_ context.Context, a *Attempt) (*Response, error) {
				b.sent = append(b.sent, a)
				return b.answer(len(b.sent), a)
			},
			Probe: func(_ context.Context, e *catalog.Endpoint) error {
				switch {
				case b.dead[e.ID]:
					return fault.New("probe", KindNotSent, "scripted")
				case b.refusing[e.ID]:
					return fault.New("probe", KindRefused, "scripted")
				}
				return nil
			},
		},
	})
	facts["configx"] = registry.Object{Config: config("key")}
	b.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "config", Value: []byte("x")}}, Head: 1})
	var records []registry.Record
	for i := range 4 {
		for _, service := range []ticket.ServiceName{"plain", "engines"} {
			id := fmt.Sprint(service, i)
			facts[id+"x"] = registry.Object{Endpoint: &catalog.Endpoint{ID: routing.EndpointID(id), StartedAt: 1, Service: service, Zone: "a", Release: "v1", Slots: 6}}
			records = append(records, registry.Record{Key: id, Value: []byte("x"), Offset: registry.Offset(len(records))})
		}
	}
	b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: records, Head: registry.Offset(len(records))})
	return b
}

// caller collects what a caller sees.
type caller struct {
	Result
	events string
	begun  int
}

func (b *bench) serve(ctx context.Context, path string, change func(*Request)) *caller {
	r := &Request{
		ID: "r1", Method: http.MethodPost, Host: "h", Path: path, Target: path, Body: []byte("body"), Key: "key",
		ReceivedAt: b.clock.Mono(), AnyModel: true, MaxTokens: 300, PromptParts: []placement.Part{{ID: "s", Tokens: 5000}, {ID: "own", Tokens: 6000}},
	}
	if change != nil {
		change(r)
	}
	c := &caller{}
	c.Result = b.Serve(ctx, r, ResponseWriter{
		WriteHeader: func(int, http.Header) { c.begun++ },
		WriteEvent:  func(raw []byte) error { c.events += string(raw); return nil },
	})
	return c
}

func whole(status int) *Response {
	return &Response{Status: status, Confidence: cascade.ConfidenceUnknown, Body: []byte("ok"), Close: func() {}}
}

func turnedAway() *Response {
	a := whole(http.StatusServiceUnavailable)
	a.NotRun = true
	return a
}

// stream answers with the events of the names, and then with the error.
func stream(confidence cascade.Confidence, end error, names ...string) *Response {
	at := 0
	return &Response{
		Status: http.StatusOK, Confidence: confidence, Close: func() {},
		Next: func() (Event, error) {
			if at == len(names) {
				return Event{}, end
			}
			at++
			return Event{ID: EventID(names[at-1]), Raw: []byte(names[at-1] + ";")}, nil
		},
	}
}

// pacedStream answers with so many events, each after the pause.
func pacedStream(events int, pause time.Duration) *Response {
	at := 0
	return &Response{Status: http.StatusOK, Confidence: 90, Close: func() {}, Next: func() (Event, error) {
		if at++; at > events {
			return Event{}, io.EOF
		}
		time.Sleep(pause)
		return Event{ID: EventID(fmt.Sprint(at)), Raw: []byte("x")}, nil
	}}
}

func failure(kind Kind) error { return fault.New("send", kind, "scripted") }

func TestEnds(t *testing.T) {
	rows := []struct {
		name   string
		path   string
		answer func(n int, a *Attempt) (*Response, error)
		status int
		sends  int
		own    bool
	}{
		{"served", "/once/x", func(int, *Attempt) (*Response, error) { return whole(200), nil }, 200, 1, false},
		{"may run once and breaks: no promise, no repeat", "/once/x", func(int, *Attempt) (*Response, error) { return nil, failure(KindBroken) }, 502, 1, true},
		{"may run once and was never sent: another endpoint", "/once/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failure(KindNotSent)
			}
			return whole(200), nil
		}, 200, 2, false},
		{"may run once and found no channel: another endpoint", "/once/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failure(KindRefused)
			}
			return whole(200), nil
		}, 200, 2, false},
		{"no endpoint accepts a channel: a true refusal", "/once/x", func(int, *Attempt) (*Response, error) { return nil, failure(KindRefused) }, 503, 4, true},
		{"turned away everywhere: a true refusal", "/once/x", func(int, *Attempt) (*Response, error) { return turnedAway(), nil }, 503, 3, true},
		{"may repeat and breaks: repeated", "/safe/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failure(KindBroken)
			}
			return whole(200), nil
		}, 200, 2, false},
		{"may repeat and breaks twice: attempts are used up", "/safe/x", func(int, *Attempt) (*Response, error) { return nil, failure(KindBroken) }, 502, 2, true},
		{"ran once, turned away then: no promise", "/safe/x", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return nil, failure(KindBroken)
			}
			return turnedAway(), nil
		}, 502, 4, true},
		{"may run once and fails: the endpoint's own failure is passed on", "/once/x", func(int, *Attempt) (*Response, error) { return whole(500), nil }, 500, 1, false},
		{"fails at two endpoints, which is rare: the failure is passed on", "/safe/x", func(int, *Attempt) (*Response, error) { return whole(500), nil }, 500, 2, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = row.answer
				c := b.serve(t.Context(), row.path, nil)
				if c.Status != row.status || len(b.sent) != row.sends || c.LocalReply != row.own {
					t.Errorf("status %d, sends %d, own %v; want %d, %d, %v", c.Status, len(b.sent), c.LocalReply, row.status, row.sends, row.own)
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
		{"no such route", "/none/x", "key", 0, 404},
		{"no such key", "/safe/x", "bad", 0, 401},
		{"a public route needs no key", "/open/x", "", 0, 200},
		{"an old view does not say that a route is missing", "/none/x", "key", 4 * time.Second, 503},
		{"an old view does not say that a key is wrong", "/safe/x", "bad", 4 * time.Second, 503},
		{"an old view serves what it knows", "/safe/x", "key", 4 * time.Second, 200},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = func(int, *Attempt) (*Response, error) { return whole(200), nil }
				time.Sleep(row.wait)
				if c := b.serve(t.Context(), row.path, func(r *Request) { r.Key = row.key }); c.Status != row.status {
					t.Errorf("status %d, want %d", c.Status, row.status)
				}
			})
		})
	}
}

func TestStreams(t *testing.T) {
	rows := []struct {
		name   string
		answer func(n int, a *Attempt) (*Response, error)
		events string
		cut    bool
		models string
		after  EventID
	}{
		{"a sure small answer is delivered", func(int, *Attempt) (*Response, error) { return stream(90, io.EOF, "1", "2"), nil }, "1;2;", false, "small", ""},
		{"an unsure one is made again by the largest model", func(_ int, a *Attempt) (*Response, error) {
			if a.Model == small {
				return stream(10, io.EOF, "bad"), nil
			}
			return stream(80, io.EOF, "1", "2"), nil
		}, "1;2;", false, "small large", ""},
		{"a cut stream goes on behind its last whole event, on the same model", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return stream(90, failure(KindBroken), "1", "2"), nil
			}
			return stream(5, io.EOF, "3"), nil
		}, "1;2;3;", false, "small small", "2"},
		{"a stream beyond what was asked for is cut: behind its ids all would look whole", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return stream(90, failure(KindOverrun), "1", "2"), nil
			}
			return stream(90, io.EOF), nil
		}, "1;2;", true, "small", ""},
		{"a stream that cannot go on is cut, never ended as whole", func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return stream(90, failure(KindBroken), "1"), nil
			}
			return turnedAway(), nil
		}, "1;", true, "", "1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = row.answer
				c := b.serve(t.Context(), "/note/x", nil)
				models := ""
				for _, a := range b.sent {
					models += " " + string(a.Model)
				}
				if c.events != row.events || c.Abort != row.cut || row.models != "" && models != " "+row.models {
					t.Errorf("events %q, cut %v, models%s", c.events, c.Abort, models)
				}
				if last := b.sent[len(b.sent)-1]; last.LastEventID != row.after {
					t.Errorf("went on behind %q, want %q", last.LastEventID, row.after)
				}
				if c.begun > 1 {
					t.Error("the head was sent twice")
				}
			})
		})
	}
}

// Guards against a channel that is closed without an answer because its stream broke
// between the head and the first event, of which the caller has seen nothing.
func TestHeadWithoutAnEvent(t *testing.T) {
	rows := []struct {
		name   string
		then   func() *Response
		status int
		events string
	}{
		{"no other place: an answer without a promise", turnedAway, 502, ""},
		{"another place: the whole stream", func() *Response { return stream(90, io.EOF, "1") }, 0, "1;"},
		{"an endpoint's own failure is passed on", func() *Response { return whole(500) }, 500, ""},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = func(n int, _ *Attempt) (*Response, error) {
					if n == 1 {
						return stream(90, failure(KindBroken)), nil
					}
					return row.then(), nil
				}
				c := b.serve(t.Context(), "/note/x", nil)
				if c.Abort || c.Status != row.status || c.events != row.events {
					t.Errorf("cut %v, status %d, events %q; want status %d, events %q", c.Abort, c.Status, c.events, row.status, row.events)
				}
				if begun := min(1, len(row.events)); c.begun != begun {
					t.Errorf("%d heads, want %d", c.begun, begun)
				}
			})
		})
	}
}

// Guards against a cut stream that looks whole since the endpoint that should go on
// with it gives another kind of answer.
func TestAStreamDoesNotGoOnAsAPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return stream(90, failure(KindBroken), "1"), nil
			}
			return whole(302), nil
		}
		if c := b.serve(t.Context(), "/note/x", nil); !c.Abort {
			t.Errorf("the stream ends as whole after %q", c.events)
		}
	})
}

// TestDeadEndpointsDoNotCount has engines die one after the other under a stream.
func TestDeadEndpointsDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n < 4 {
				b.dead[a.Endpoint.ID] = true
				return stream(90, failure(KindBroken), fmt.Sprint(n)), nil
			}
			return stream(90, io.EOF, "4"), nil
		}
		if c := b.serve(t.Context(), "/note/x", nil); c.events != "1;2;3;4;" || c.Abort {
			t.Errorf("events %q, cut %v", c.events, c.Abort)
		}
	})
}

// TestPoison has one request crash each endpoint that begins to run it.
func TestPoison(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(_ int, a *Attempt) (*Response, error) {
			b.dead[a.Endpoint.ID] = true
			return nil, failure(KindBroken)
		}
		for range 3 {
			b.serve(t.Context(), "/note/x", nil)
		}
		sent := len(b.sent)
		if c := b.serve(t.Context(), "/note/x", nil); c.Status != http.StatusBadGateway || len(b.sent) != sent {
			t.Errorf("status %d after %d sends, then %d more", c.Status, sent, len(b.sent)-sent)
		}
		if sent > 4 {
			t.Errorf("%d endpoints were crashed", sent)
		}
		other := b.serve(t.Context(), "/note/y", nil)
		if other.Reason == ReasonQuarantined || b.relay.Verdict("") == quarantine.VerdictQuarantined {
			t.Error("another request is quarantined")
		}
	})
}

// TestWorkKeepsToOrders changes the view between the attempts of one request.
func TestWorkKeepsToOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(n int, a *Attempt) (*Response, error) {
			if n == 1 {
				var gone []registry.Record
				for i := range 4 {
					if id := fmt.Sprint("plain", i); id != "plain3" {
						gone = append(gone, registry.Record{Key: id, Deleted: true, Offset: registry.Offset(20 + i)})
					}
				}
				b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: gone, From: 8, Head: 30})
				return nil, failure(KindBroken)
			}
			return whole(200), nil
		}
		c := b.serve(t.Context(), "/safe/x", nil)
		for _, a := range b.sent[1:] {
			if a.Endpoint.ID != "plain3" {
				t.Errorf("sent to %s after it had left", a.Endpoint.ID)
			}
		}
		if c.Status != 200 && len(b.sent) > 1 {
			t.Errorf("status %d", c.Status)
		}
	})
}

// TestMonthEnd is the load of the heaviest days: many more long streams than the
// engines have places. What does not fit is refused at once with a time to come
// back, nothing is held, and the urgent are served before the others.
func TestMonthEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		ends := make(chan struct{})
		b.answer = func(int, *Attempt) (*Response, error) {
			return &Response{Status: 200, Confidence: 90, Close: func() {}, Next: func() (Event, error) {
				<-ends
				return Event{}, io.EOF
			}}, nil
		}
		results := make(chan *caller, 200)
		var refusedAt atomic.Int64
		for i := range 60 {
			go func() {
				began := b.clock.Mono()
				c := b.serve(t.Context(), "/note/x", func(r *Request) { r.ID = RequestID(fmt.Sprint(i)); r.Body = []byte(fmt.Sprint(i)) })
				if c.Status == 503 {
					refusedAt.Store(max(refusedAt.Load(), int64(b.clock.Mono()-began)))
				}
				results <- c
			}()
			time.Sleep(time.Millisecond)
		}
		close(ends)
		served, refused := 0, 0
		for range 60 {
			c := <-results
			switch {
			case c.Status == 503 && c.RetryAfter > 0:
				refused++
			case c.begun == 1:
				served++
			}
		}
		if served < 24 || refused == 0 || served+refused != 60 {
			t.Errorf("%d served and %d refused of 60 with 24 places", served, refused)
		}
		if held := refusedAt.Load(); held > 5 {
			t.Errorf("a refusal was held for %d ms", held)
		}
	})
}

// TestHalfOfTheEndpointsDown has callers wait while endpoints that nobody has
// found dead yet look free: each refuses the channel at once.
func TestHalfOfTheEndpointsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(_ int, a *Attempt) (*Response, error) {
			if a.Endpoint.ID != "plain3" {
				return nil, failure(KindNotSent)
			}
			return whole(200), nil
		}
		used := b.endpoints.pool("plain").retries.Remaining(b.clock.Mono())
		for _, path := range []string{"/once/x", "/safe/x"} {
			if c := b.serve(t.Context(), path, nil); c.Status != 200 {
				t.Errorf("%s: status %d after %d sends", path, c.Status, len(b.sent))
			}
		}
		if left := b.endpoints.pool("plain").retries.Remaining(b.clock.Mono()); left < used {
			t.Errorf("what was never sent used up repeats: %.2f left of %.2f", left, used)
		}
	})
}

// TestRareFailures has one of four endpoints fail all it gets, on a fleet so large
// that each instance meets it seldom: callers of routes that hardly ever fail are
// served elsewhere, on routes whose requests often fail they get their answer.
func TestRareFailures(t *testing.T) {
	rows := []struct {
		name   string
		every  int // each so many requests fail by their own nature
		status int
		sends  int
	}{
		{"a failure is rare and mended elsewhere", 0, 200, 2},
		{"a seventh of the requests fail anyway", 7, 500, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = func(n int, _ *Attempt) (*Response, error) {
					if row.every > 0 && n%row.every == 0 {
						return whole(500), nil
					}
					return whole(200), nil
				}
				for range 60 {
					b.serve(t.Context(), "/safe/x", nil)
				}
				before := len(b.sent)
				b.answer = func(n int, _ *Attempt) (*Response, error) {
					if n == before+1 {
						return whole(500), nil
					}
					return whole(200), nil
				}
				c := b.serve(t.Context(), "/safe/x", nil)
				if sends := len(b.sent) - before; c.Status != row.status || sends != row.sends {
					t.Errorf("status %d after %d sends, want %d after %d", c.Status, sends, row.status, row.sends)
				}
			})
		})
	}
}

// TestSlowReleaseIsCountedEarly brings in a release whose first bytes come in time
// and whose events come eight times slower: the evidence is there long before its
// streams end.
func TestSlowReleaseIsCountedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		pause := 100 * time.Millisecond
		b.answer = func(int, *Attempt) (*Response, error) { return pacedStream(12, pause), nil }
		for range 2 * usualRuns {
			b.serve(t.Context(), "/note/x", nil)
		}
		order := b.order(5, 20*clock.Second)
		pause *= 8
		// In the full phase every session gets the new release.
		time.Sleep(16 * time.Second)
		go b.serve(t.Context(), "/note/x", nil)
		time.Sleep(5 * time.Second)
		series := Series(order, "note", evidence.ArmTo)
		if got := b.relay.Sum(series); got.Bad != 1 {
			t.Errorf("%+v counted 5 s into a stream of 10 s", got)
		}
		time.Sleep(10 * time.Second)
		if got := b.relay.Sum(series); got.Rated() != 1 {
			t.Errorf("%+v counted for one stream", got)
		}
	})
}

// TestSlowReleaseOnIdleEndpoints guards against a release that is several times
// slower and passes, as its idle endpoints are no slower than the old, loaded ones,
// or as the answers of its canary are too short to tell.
func TestSlowReleaseOnIdleEndpoints(t *testing.T) {
	rows := []struct {
		name   string
		pause  time.Duration
		events int
		slow   bool
	}{
		{"as good as the old release", 22 * time.Millisecond, 8, false},
		{"several times slower", 97 * time.Millisecond, 8, true},
		{"as good, with short answers", 22 * time.Millisecond, 2, false},
		{"several times slower, with short answers", 97 * time.Millisecond, 2, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				n := 0
				b.answer = func(_ int, a *Attempt) (*Response, error) {
					if a.Endpoint.Release == "v2" {
						answer := pacedStream(row.events, row.pause)
						answer.Load = &placement.Load{Running: 1, Slots: 64}
						return answer, nil
					}
					n++
					running := 4 + n*7%16 // 4 to 19 at once, in turn.
					pause := time.Duration(18+3*running) * time.Millisecond
					if n%2 == 0 && running > 8 {
						pause += 100 * time.Millisecond // Long prompts are read beside it.
					}
					answer := pacedStream(row.events, pause)
					answer.Load = &placement.Load{Running: running, Slots: 64}
					return answer, nil
				}
				ask := func(i int) {
					b.serve(t.Context(), "/note/x", func(r *Request) {
						r.ID, r.Session = RequestID(fmt.Sprint(i)), fmt.Sprint("session", i)
					})
					time.Sleep(2 * time.Second) // What the endpoint told of its load is forgotten.
				}
				for i := range 48 {
					ask(i)
				}
				order := b.order(5, 2000*clock.Second)
				time.Sleep(3 * time.Second)
				for i := range 200 {
					ask(100 + i)
				}
				got := b.relay.Sum(Series(order, CanaryPaceRoute, evidence.ArmTo))
				if got.Rated() < 4 || row.slow && got.Good > 0 || !row.slow && got.Bad > 0 {
					t.Errorf("%+v counted in the canary", got)
				}
			})
		})
	}
}

// order gives the bench an order for a second release, with one endpoint of it.
func (b *bench) order(number catalog.OrderNumber, span clock.Millis) *catalog.Order {
	order := &catalog.Order{Number: number, Service: "engines", Target: "v2", Duration: span}
	b.facts["orderx"] = registry.Object{Order: order}
	b.facts["newx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "new", StartedAt: 1, Service: "engines", Zone: "a", Release: "v2", Slots: 600}}
	b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "new", Value: []byte("x"), Offset: 8}}, From: 8, Head: 9})
	b.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("x"), Offset: 1}}, From: 1, Head: 2})
	return order
}

// TestSessionsOfOtherInstances has sessions run on the old release at one instance
// and go on at another as a canary begins: callers' sessions reach many instances.
func TestSessionsOfOtherInstances(t *testing.T) {
	const sessions = 400
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := network{}
		first, second := newMember("first", n), newMember("second", n)
		for _, b := range []*bench{first, second} {
			b.answer = func(int, *Attempt) (*Response, error) { return stream(90, io.EOF, "1"), nil }
			go b.relay.Run(ctx)
		}
		turn := func(b *bench, i int) {
			b.serve(ctx, "/note/x", func(r *Request) {
				r.ID, r.Session = RequestID(fmt.Sprint(len(b.sent))), fmt.Sprint("session", i)
			})
		}
		for i := range sessions {
			turn(first, i)
		}
		for _, b := range []*bench{first, second} {
			b.order(5, 20*clock.Second)
		}
		turn(first, sessions)
		time.Sleep(3 * time.Second)
		for i := range sessions {
			turn(second, i)
		}
		for i := range sessions {
			turn(second, sessions+1+i)
		}
		cancel()
		time.Sleep(10 * time.Second)
		moved, fresh := 0, 0
		for i, a := range second.sent {
			switch {
			case a.Endpoint.Release != "v2":
			case i < sessions:
				moved++
			default:
				fresh++
			}
		}
		if moved > 0 || fresh == 0 {
			t.Errorf("%d sessions of %d changed the release in the first half of the order; %d new ones began on the new release", moved, sessions, fresh)
		}
	})
}

// TestSlowFirstEvent moves all traffic to a release whose first event takes longer
// than six events may.
func TestSlowFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		pause := 50 * time.Millisecond
		b.answer = func(int, *Attempt) (*Response, error) { return pacedStream(8, pause), nil }
		for range 2 * usualRuns {
			b.serve(t.Context(), "/note/x", nil)
		}
		order := b.order(5, 20*clock.Second)
		time.Sleep(16 * time.Second)
		pause = 5 * time.Second
		if c := b.serve(t.Context(), "/note/x", nil); c.events != "xxxxxxxx" {
			t.Errorf("the caller got %q", c.events)
		}
		if got := b.relay.Sum(Series(order, PostCanaryPaceRoute, evidence.ArmTo)); got.Bad != 1 || got.Good != 0 {
			t.Errorf("%+v counted", got)
		}
	})
}

// silences lists what decides whether the silence of an endpoint is waited out.
var silences = []struct {
	name string
	// occupied is how many requests each other endpoint has.
	occupied int
	dead     bool
	waits    bool
}{
	{"the others are full", 60, false, true},
	{"the others are full, and the endpoint is gone", 60, true, false},
	{"another has room", 0, false, false},
}

// Guards against a stream that is given up for its endpoint's silence, and then ends
// in the middle because no other endpoint has room.
func TestSilenceWithoutAnotherPlace(t *testing.T) {
	for _, row := range silences {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return stream(90, io.EOF, "2"), nil
					}
					answer, events := stream(90, io.EOF, "1", "2"), 0
					next := answer.Next
					answer.Next = func() (Event, error) {
						if events++; events == 2 {
							time.Sleep(4 * time.Second)
							b.dead[a.Endpoint.ID] = row.dead
							b.crowd(row.occupied, a.Endpoint.ID)
							if waits := a.KeepWaiting(); waits != row.waits {
								t.Errorf("waits %v, want %v", waits, row.waits)
							}
							if !row.waits {
								return Event{}, failure(KindTimeout)
							}
						}
						return next()
					}
					return answer, nil
				}
				c := b.serve(t.Context(), "/note/x", nil)
				if whole := row.occupied == 0 || row.waits; whole && c.events != "1;2;" {
					t.Errorf("the caller got %q, %+v", c.events, c.Result)
				}
			})
		})
	}
}

// Guards against a plain request that may be repeated and leaves a slow endpoint for a
// place that does not exist: it ended with 502.
func TestPlainSilenceWithoutAnotherPlace(t *testing.T) {
	for _, row := range silences {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				time.Sleep(time.Second) // Loads that no endpoint told are old by now.
				b.answer = func(n int, a *Attempt) (*Response, error) {
					if n > 1 {
						return whole(200), nil
					}
					time.Sleep(a.HeadTimeout.Duration())
					b.dead[a.Endpoint.ID] = row.dead
					b.crowd(row.occupied, a.Endpoint.ID)
					if waits := a.KeepWaiting(); waits != row.waits {
						t.Errorf("waits %v, want %v", waits, row.waits)
					}
					if !row.waits {
						return nil, failure(KindTimeout)
					}
					return whole(200), nil
				}
				c := b.serve(t.Context(), "/safe/x", nil)
				if whole := row.occupied == 0 || row.waits; whole && c.Status != 200 {
					t.Errorf("status %d", c.Status)
				}
			})
		})
	}
}

// crowd has other instances fill all endpoints but one.
func (b *bench) crowd(occupied int, but routing.EndpointID) {
	counts := map[routing.EndpointID]int{}
	for i := range 4 {
		for _, service := range []string{"engines", "plain"} {
			if id := routing.EndpointID(fmt.Sprint(service, i)); id != but {
				counts[id] = occupied
			}
		}
	}
	b.endpoints.others(counts)
}

// TestNextOrderAfterARollBack has an operator order a third release while endpoints
// of the second, which was rolled back, still run.
func TestNextOrderAfterARollBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.answer = func(int, *Attempt) (*Response, error) { return stream(90, io.EOF, "1"), nil }
		b.facts["orderv2"] = registry.Object{Order: &catalog.Order{Number: 5, Service: "engines", Target: "v2", Duration: 20 * clock.Second}}
		b.facts["orderv3"] = registry.Object{Order: &catalog.Order{Number: 9, Service: "engines", Target: "v3", Duration: 20 * clock.Second}}
		b.facts["badx"] = registry.Object{Endpoint: &catalog.Endpoint{ID: "bad", StartedAt: 1, Service: "engines", Zone: "a", Release: "v2", Slots: 600}}
		b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: "bad", Value: []byte("x"), Offset: 8}}, From: 8, Head: 9})
		b.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("v2"), Offset: 1}}, From: 1, Head: 2})
		b.relay.StopRelease(5, "evidence")
		b.serve(t.Context(), "/note/x", nil)
		b.registry.Merge(registry.Batch{Feed: registry.FeedOrders, Records: []registry.Record{{Key: "order", Value: []byte("v3"), Offset: 2}}, From: 2, Head: 3})
		for i := range 40 {
			b.serve(t.Context(), "/note/x", func(r *Request) {
				r.ID = RequestID(fmt.Sprint(i))
				r.PromptParts = []placement.Part{{ID: placement.PartID(fmt.Sprint("s", i)), Tokens: 500}, {ID: "own", Tokens: 600}}
			})
		}
		for _, a := range b.sent {
			if a.Endpoint.ID == "bad" {
				t.Fatal("a request went to the release that was rolled back")
			}
		}
	})
}

// TestFillsEndpointsWhileAllMoves guards against a release that fails under load and
// is completed, as on a calm deployment half of the sessions fill no endpoint.
func TestFillsEndpointsWhileAllMoves(t *testing.T) {
	const (
		span     = 20 * clock.Second
		requests = 40
	)
	rows := []struct {
		name string
		wait time.Duration
		// filled is how many requests the busiest endpoint has at least.
		filled int
	}{
		{"half of the sessions", 13 * time.Second, requests / 3},
		{"all of them", 16 * time.Second, requests},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				b.answer = func(int, *Attempt) (*Response, error) { return pacedStream(20, 100*time.Millisecond), nil }
				order := b.order(5, span)
				for i := range 3 {
					id := routing.EndpointID(fmt.Sprint("more", i))
					b.facts[string(id)+"x"] = registry.Object{Endpoint: &catalog.Endpoint{ID: id, StartedAt: 1, Service: "engines", Zone: "a", Release: "v2", Slots: 600}}
					at := registry.Offset(9 + i)
					b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: []registry.Record{{Key: string(id), Value: []byte("x"), Offset: at}}, From: at, Head: at + 1})
				}
				time.Sleep(row.wait)
				for i := range requests {
					go b.serve(t.Context(), "/note/x", func(r *Request) {
						r.ID, r.Session = RequestID(fmt.Sprint(i)), fmt.Sprint("session", i)
						r.PromptParts = []placement.Part{{ID: "s", Tokens: 100}, {ID: placement.PartID(fmt.Sprint("own", i)), Tokens: 100}}
					})
					synctest.Wait()
				}
				occupied, most := b.InFlight("engines", order.Target), 0
				for _, n := range occupied {
					most = max(most, n)
				}
				if most < row.filled {
					t.Errorf("%v, want %d at one of them", occupied, row.filled)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a session that goes back to the old release when the new one, on which
// it ran and which is good, has no endpoint with room.
func TestPinnedSessionDoesNotGoBack(t *testing.T) {
	rows := []struct {
		name    string
		session string
		// stopped is true if the new release was rolled back meanwhile.
		stopped bool
		release catalog.Release
	}{
		{"a session that ran on the new release", "pinned", false, "v2"},
		{"a session that did not", "fresh", false, "v1"},
		{"no session", "", false, "v1"},
		{"a session that ran on a release that was rolled back", "pinned", true, "v1"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				full := false
				b.answer = func(_ int, a *Attempt) (*Response, error) {
					if full && a.Endpoint.Release == "v2" {
						return turnedAway(), nil
					}
					return stream(90, io.EOF, "1"), nil
				}
				const span = 20 * clock.Second
				b.order(5, span)
				time.Sleep(16 * time.Second) // All sessions get the new release.
				b.serve(t.Context(), "/note/x", func(r *Request) { r.Session = "pinned" })
				if first := b.sent[0].Endpoint.Release; first != "v2" {
					t.Fatalf("the session began on %s", first)
				}
				full = true
				if row.stopped {
					b.relay.StopRelease(5, "evidence")
				}
				c := b.serve(t.Context(), "/note/x", func(r *Request) { r.ID, r.Session = "r2", row.session })
				last := b.sent[len(b.sent)-1].Endpoint.Release
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

// Guards against a caller that is told of a release that is gone, to come back in a
// second, when the endpoints of the one that replaced it are full.
func TestRefusalTellsOfTheReleaseInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.order(5, 20*clock.Second)
		var gone []registry.Record
		for i := range 4 {
			gone = append(gone, registry.Record{Key: fmt.Sprint("engines", i), Deleted: true, Offset: registry.Offset(9 + i)})
		}
		b.registry.Merge(registry.Batch{Feed: registry.FeedEndpoints, Records: gone, From: 9, Head: 13})
		time.Sleep(16 * time.Second) // All sessions get the new release.
		b.answer = func(int, *Attempt) (*Response, error) { return stream(90, io.EOF, "1"), nil }
		if c := b.serve(t.Context(), "/note/x", nil); c.Reason != ReasonServed {
			t.Fatalf("%+v", c.Result)
		}
		b.endpoints.others(map[routing.EndpointID]int{"new": 6000})
		c := b.serve(t.Context(), "/note/x", func(r *Request) { r.ID = "r2" })
		if c.Reason != ReasonEndpointsFull || c.RetryAfter == 0 || c.RetryAfter == clock.Second {
			t.Errorf("%+v, want %s", c.Result, ReasonEndpointsFull)
		}
	})
}
