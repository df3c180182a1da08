package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
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
	// mu guards sent while requests are running, and dead and refusing while probes are.
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
				h.mu.Lock()
				defer h.mu.Unlock()
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
