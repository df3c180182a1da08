package promises

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/instance"
	"foxtailbridge/entry/router"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/peer"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/link/settings"
	"foxtailbridge/link/telemetry"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/ticket"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/listing"
	"foxtailbridge/standin/rating"
	"foxtailbridge/standin/service"
)

const platformSide = "platform"

var errCut = errors.New("network is cut")

// world holds the stand-ins and the instances of one test.
type world struct {
	t         *testing.T
	clock     *clock.Clock
	log       *applog.Log
	directory *listing.Directory
	ratings   *rating.Service
	listing   platform.Listing
	engines   map[string]*engine.Engine
	services  map[string]*service.Service
	options   instance.Options
	// runs counts the starts of instances.
	runs int
	// output takes the instances' logs.
	output io.Writer

	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[[2]string]bool
	calls sync.WaitGroup
}

// node is one instance with the switches of a test.
type node struct {
	*instance.Instance
	world  *world
	name   string
	zone   string
	cancel context.CancelFunc
	ctx    context.Context
	gone   chan struct{}
	once   sync.Once
	pause  chan struct{}
}

// inWorld runs a named test in a bubble of virtual time.
func inWorld(t *testing.T, name string, options instance.Options, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.New()
		w := &world{
			t:        t,
			clock:    c,
			log:      applog.New(c, applog.DefaultRetention),
			ratings:  rating.New(c),
			engines:  map[string]*engine.Engine{},
			services: map[string]*service.Service{},
			nodes:    map[string]*node{},
			cuts:     map[[2]string]bool{},
			options:  options,
			output:   io.Discard,
		}
		w.directory = listing.New(c, platform.Listing{})
		Convey(name, t, func() {
			defer w.stop()
			test(w)
		})
	})
}

// stop ends every instance and waits for what they still do.
func (w *world) stop() {
	for _, n := range w.nodes {
		n.kill()
	}
	w.calls.Wait()
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// engine adds a model engine to the list.
func (w *world) engine(id, zone string, config engine.Config) *engine.Engine {
	config.ID = id
	if config.Slots == 0 {
		config.Slots = 8
	}
	e := engine.New(config, w.clock)
	w.engines[id] = e
	w.listing.Endpoints = append(w.listing.Endpoints, platform.EndpointListing{
		ID: platform.EndpointID(id), Zone: ticket.ZoneName(zone), Kind: platform.EndpointEngine,
		URL: "http://" + id, Version: config.Version, Presence: platform.PresenceLive,
	})
	w.directory.Set(w.listing)
	return e
}

// service adds a plain service to the list.
func (w *world) service(id, zone, name string) *service.Service {
	s := service.New(w.clock)
	w.services[id] = s
	w.listing.Endpoints = append(w.listing.Endpoints, platform.EndpointListing{
		ID: platform.EndpointID(id), Zone: ticket.ZoneName(zone), Kind: platform.EndpointService,
		URL: "http://" + id, Service: ticket.ServiceName(name), Presence: platform.PresenceLive,
	})
	w.directory.Set(w.listing)
	return s
}

// present replaces the presence of a listed endpoint or instance.
func (w *world) present(id string, presence platform.Presence) {
	next := platform.Listing{}
	for _, e := range w.listing.Endpoints {
		if string(e.ID) == id {
			e.Presence = presence
		}
		next.Endpoints = append(next.Endpoints, e)
	}
	for _, i := range w.listing.Instances {
		if string(i.ID) == id {
			i.Presence = presence
		}
		next.Instances = append(next.Instances, i)
	}
	w.listing = next
	w.directory.Set(next)
}

// node starts an instance; a name that ran before starts afresh.
func (w *world) node(name, zone string) *node {
	n := &node{world: w, name: name, zone: zone, gone: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	s := &settings.Entry{
		Instance: name,
		Zone:     ticket.ZoneName(zone),
		Keys: settings.Keys{
			Callers:   []settings.CallerKey{{Workspace: "desk", Key: "desk-key"}, {Workspace: "audits", Key: "audits-key"}},
			Operators: []settings.OperatorKey{{Name: "op", Key: "op-key"}},
			Sessions:  []settings.SessionKey{{ID: "k1", Secret: "session-secret"}},
		},
		ClaimPartitions: 2,
	}
	outside := instance.ExternalClients{
		Log:       n.logClient(),
		Directory: n.directoryClient(),
		Ratings:   n.ratingsClient(),
		Connect:   n.connect,
		Dial:      n.dial,
	}
	options := w.options
	if options.RunID == "" {
		// The run also seeds what an instance draws: the same in each run of a test.
		w.runs++
		options.RunID = fmt.Sprint("run-", w.runs)
	}
	i, err := instance.New(s, outside, w.clock, w.logger(name), tally.NoopScope, options)
	if err != nil {
		w.t.Fatal(err)
	}
	n.Instance = i
	w.mu.Lock()
	known := w.nodes[name] != nil
	w.nodes[name] = n
	w.mu.Unlock()
	if !known {
		w.listing.Instances = append(w.listing.Instances, platform.InstanceListing{
			ID: platform.InstanceID(name), Zone: ticket.ZoneName(zone), Peer: name, Presence: platform.PresenceLive,
		})
		w.directory.Set(w.listing)
	}
	go i.Run(n.ctx)
	return n
}

func (w *world) logger(name string) hclog.Logger {
	if w.output == io.Discard {
		return hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	}
	return telemetry.NewLogger(name, "info", w.output)
}

// kill ends the instance as kill -9 does: nothing that it does reaches anybody any more.
func (n *node) kill() {
	n.once.Do(func() { close(n.gone) })
	n.cancel()
}

func (n *node) dead() bool {
	select {
	case <-n.gone:
		return true
	default:
		return false
	}
}

// freeze holds everything that the instance does towards others until thaw.
func (n *node) freeze() {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.pause == nil {
		n.pause = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.pause != nil {
		close(n.pause)
		n.pause = nil
	}
}

// reach blocks while the instance is frozen and fails if it is dead or cut off from the other side.
func (n *node) reach(other string) error {
	n.world.mu.Lock()
	pause := n.pause
	n.world.mu.Unlock()
	if pause != nil {
		select {
		case <-pause:
		case <-n.gone:
		}
	}
	if n.dead() || n.world.isCut(n.name, other) || n.world.isCut(n.zone, other) {
		return errCut
	}
	return nil
}

// reachLive is reach for a request: like net/http, it sends nothing once the context has ended.
func (n *node) reachLive(ctx context.Context, other string) error {
	if err := n.reach(other); err != nil {
		return fault.New("dial", endpoint.KindNotSent, "%w", err)
	}
	if ctx.Err() != nil {
		return fault.New("dial", endpoint.KindCanceled, "%w", ctx.Err())
	}
	return nil
}

// cut breaks the way from one side to another, each an instance, a zone or the platform.
func (w *world) cut(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = true
}

// heal mends every cut.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts = map[[2]string]bool{}
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

func (n *node) logClient() *platform.Log {
	return &platform.Log{
		Append: func(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
			if err := n.reach(platformSide); err != nil {
				return 0, fault.New("append", platform.KindUncertain, "%w", err)
			}
			offset, err := n.world.log.Append(ctx, stream, data)
			if n.dead() || n.world.isCut(platformSide, n.name) {
				return 0, fault.New("append", platform.KindUncertain, "%w", errCut)
			}
			return offset, err
		},
		Read: func(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait clock.Millis) (*platform.Batch, error) {
			if err := n.reach(platformSide); err != nil {
				return nil, fault.New("read", platform.KindUncertain, "%w", err)
			}
			batch, err := n.world.log.Read(ctx, stream, from, limit, wait)
			if err == nil {
				// A network that was cut meanwhile drops the answer.
				err = n.reach(platformSide)
			}
			return batch, err
		},
	}
}

func (n *node) directoryClient() *platform.Directory {
	return &platform.Directory{List: func(ctx context.Context) (*platform.Listing, error) {
		if err := n.reach(platformSide); err != nil {
			return nil, err
		}
		return n.world.directory.List(ctx)
	}}
}

func (n *node) ratingsClient() *platform.Ratings {
	client := n.world.ratings.Client(n.name)
	return &platform.Ratings{
		Submit: func(ctx context.Context, answers []platform.Answer) error {
			if err := n.reach(platformSide); err != nil {
				return err
			}
			return client.Submit(ctx, answers)
		},
		After: func(ctx context.Context, sequence int64) ([]platform.Rating, error) {
			if err := n.reach(platformSide); err != nil {
				return nil, err
			}
			return client.After(ctx, sequence)
		},
	}
}

// connect wraps the direct clients of the stand-ins with this instance's reach.
func (n *node) connect(l platform.EndpointListing, observe func(*endpoint.Load), _ func(gate.BootID)) *endpoint.Endpoint {
	var direct *endpoint.Endpoint
	if e := n.world.engines[string(l.ID)]; e != nil {
		direct = e.Client(observe)
	} else {
		direct = n.world.services[string(l.ID)].Client()
	}
	zone := string(l.Zone)
	return &endpoint.Endpoint{
		Load: func(ctx context.Context) (*endpoint.Load, error) {
			if err := n.reach(zone); err != nil {
				return nil, err
			}
			return direct.Load(ctx)
		},
		SendOrder: direct.SendOrder,
		Stream: func(ctx context.Context, a *endpoint.Attempt, r *endpoint.StreamRequest, emit func(string) error) (*endpoint.StreamResult, error) {
			if err := n.reachLive(ctx, zone); err != nil {
				return nil, err
			}
			return direct.Stream(ctx, a, r, emit)
		},
		Call: func(ctx context.Context, a *endpoint.Attempt, r *endpoint.CallRequest) (*endpoint.CallResponse, error) {
			if err := n.reachLive(ctx, zone); err != nil {
				return nil, err
			}
			return direct.Call(ctx, a, r)
		},
	}
}

// dial returns a client that calls the other instance directly.
func (n *node) dial(l platform.InstanceListing) *peer.Client {
	return &peer.Client{
		Sync:      over(n, l, func(s *peer.Server) callFunc[peerv1.Update, peerv1.Update] { return s.Sync }),
		Outcome:   over(n, l, func(s *peer.Server) callFunc[peerv1.OutcomeRequest, peerv1.OutcomeResponse] { return s.Outcome }),
		HoldBills: over(n, l, func(s *peer.Server) callFunc[peerv1.HoldBillsRequest, peerv1.HoldBillsResponse] { return s.HoldBills }),
		Permit:    over(n, l, func(s *peer.Server) callFunc[peerv1.PermitRequest, peerv1.PermitResponse] { return s.Permit }),
	}
}

type callFunc[Q, A any] func(context.Context, *Q) (*A, error)

func over[Q, A any](n *node, l platform.InstanceListing, method func(*peer.Server) callFunc[Q, A]) callFunc[Q, A] {
	return func(ctx context.Context, request *Q) (*A, error) {
		if err := n.reach(string(l.ID)); err != nil {
			return nil, err
		}
		n.world.mu.Lock()
		other := n.world.nodes[string(l.ID)]
		n.world.mu.Unlock()
		if other == nil || n.world.isCut(n.zone, other.zone) && n.zone != other.zone {
			return nil, errCut
		}
		if err := other.reach(other.name); err != nil {
			return nil, err
		}
		answer, err := method(other.Mesh.Server())(ctx, request)
		if n.dead() || n.world.isCut(string(l.ID), n.name) {
			return nil, errCut
		}
		return answer, err
	}
}

// dieAt kills the instance when a request reaches the step.
func (n *node) dieAt(step router.Step) {
	n.Router.OnStep = func(at router.Step, _ claim.RequestID) {
		if at == step {
			n.kill()
			runtime.Goexit()
		}
	}
}

// publish appends a ticket and waits until every live instance holds it.
func (w *world) publish(yaml string) {
	w.t.Helper()
	t, err := ticket.Parse([]byte(yaml))
	if err != nil {
		w.t.Fatal(err)
	}
	record := fmt.Sprintf(`{"nonce":%q,"ticket":%s}`, uuid.NewString(), mustJSON(t))
	if _, err := w.log.Append(context.Background(), platform.StreamConfig, []byte(record)); err != nil {
		w.t.Fatal(err)
	}
	w.settle(time.Second)
}

// settle lets virtual time pass.
func (w *world) settle(span time.Duration) {
	time.Sleep(span)
	synctest.Wait()
}

// reply is what a caller got.
type reply struct {
	status  int
	body    string
	header  http.Header
	outcome claim.State
	code    string
	id      claim.RequestID
	done    bool
}

// whole reports whether the caller got a whole answer.
func (r *reply) whole() bool {
	return r.done && r.status < http.StatusBadRequest && r.outcome == ""
}

// send makes one HTTP request to the instance and returns what the caller got;
// done is false if the instance died before it answered.
func (n *node) send(method, path, body string, headers ...string) *reply {
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(n.ctx)
	request.Header.Set("Authorization", "Bearer desk-key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	got := &reply{}
	finished := make(chan struct{})
	n.world.calls.Add(1)
	go func() {
		defer n.world.calls.Done()
		defer close(finished)
		n.Callers.Handler().ServeHTTP(recorder, request)
		got.done = true
	}()
	<-finished
	if n.dead() {
		got.done = false
	}
	got.status = recorder.Code
	got.body = recorder.Body.String()
	got.header = recorder.Result().Header
	got.parse()
	return got
}

func (n *node) chat(model, text string, headers ...string) *reply {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, model, text)
	return n.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}

func (n *node) stream(model, text string, headers ...string) *reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, model, text)
	return n.send(http.MethodPost, "/v1/chat/completions", body, headers...)
}

func (n *node) refund(key, body string) *reply {
	if key == "" {
		return n.send(http.MethodPost, "/v1/services/stock/refund", body)
	}
	return n.send(http.MethodPost, "/v1/services/stock/refund", body, "Idempotency-Key", key)
}

// keyAt returns a UUIDv7 of a given time and serial number.
func keyAt(at clock.Millis, serial int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at)<<16)
	binary.BigEndian.PutUint64(id[8:], rand.New(rand.NewPCG(uint64(serial), 7)).Uint64())
	id[6] = 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

func (w *world) key(serial int) string {
	return keyAt(w.clock.Wall(), serial)
}

const baseTicket = `
ticket: 1
author: test
zones: [{name: a, state: in}, {name: b, state: in}]
versions:
  - {ref: large@1, state: active, cost-micros: 1000, quality: 0.95}
  - {ref: small@1, state: active, cost-micros: 100, quality: 0.9}
  - {ref: small@2, state: active, cost-micros: 100, quality: 0.9}
workspaces:
  - {name: desk, allowed: [large@1, small@1, small@2], quality-target: 0.85, priority: urgent, deadline-ms: 5000}
  - {name: audits, allowed: [small@1], quality-target: 0.5, priority: deferrable, deadline-ms: 60000}
services:
  - name: stock
    workspaces: [desk]
    cost-micros: 50
    deadline-ms: 5000
    calls: [{name: lookup, idempotent: true}, {name: refund}]
`

// small starts two instances in two zones with one engine each and one service.
func (w *world) small() (a, b *node) {
	w.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.engine("engine-b", "b", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.service("stock-a", "a", "stock")
	a = w.node("node-a", "a")
	b = w.node("node-b", "b")
	w.publish(baseTicket)
	w.settle(2 * time.Second)
	return a, b
}

func contextUntil(parent context.Context, span time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, span)
}

const escalatingTicket = `
ticket: 2
author: test
versions:
  - {ref: large@1, state: active, cost-micros: 1000, quality: 0.99}
  - {ref: small@1, state: active, cost-micros: 100, quality: 0.6}
workspaces:
  - name: desk
    allowed: [large@1, small@1]
    quality-target: 0.9
    escalate: true
    deadline-ms: 20000
    classes: [{name: triage, cheaper: [small@1]}]
`

// escalating starts an instance whose cheap version always answers poorly.
func (w *world) escalating() {
	w.engine("engine-small", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5, PoorPercent: 100})
	w.engine("engine-large", "a", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	w.node("node-a", "a")
	w.publish(baseTicket)
	w.publish(escalatingTicket)
	w.settle(2 * time.Second)
}
