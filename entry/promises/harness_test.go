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

var errPartitioned = errors.New("network partition")

// testEnv holds the stand-ins and the instances of one test.
type testEnv struct {
	t         *testing.T
	clock     *clock.Clock
	log       *applog.Log
	directory *listing.Directory
	ratings   *rating.Service
	listing   platform.Listing
	engines   map[string]*engine.Engine
	services  map[string]*service.Service
	options   instance.Options
	// startCount counts how many times an instance was started.
	startCount int
	// logOutput receives the instances' logs.
	logOutput io.Writer

	mu         sync.Mutex
	nodes      map[string]*node
	partitions map[[2]string]bool
	inFlight   sync.WaitGroup
}

// node is one instance with controls to kill, freeze and partition it.
type node struct {
	*instance.Instance
	env      *testEnv
	name     string
	zone     string
	cancel   context.CancelFunc
	ctx      context.Context
	killed   chan struct{}
	killOnce sync.Once
	// thawed is closed by thaw; it is nil unless the instance is frozen.
	thawed chan struct{}
}

// runInEnv runs a named test in a synctest bubble, in virtual time.
func runInEnv(t *testing.T, name string, options instance.Options, test func(env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := clock.New()
		env := &testEnv{
			t:          t,
			clock:      c,
			log:        applog.New(c, applog.DefaultRetention),
			ratings:    rating.New(c),
			engines:    map[string]*engine.Engine{},
			services:   map[string]*service.Service{},
			nodes:      map[string]*node{},
			partitions: map[[2]string]bool{},
			options:    options,
			logOutput:  io.Discard,
		}
		env.directory = listing.New(c, platform.Listing{})
		Convey(name, t, func() {
			defer env.stop()
			test(env)
		})
	})
}

// stop kills every instance and waits until their goroutines have ended.
func (env *testEnv) stop() {
	for _, n := range env.nodes {
		n.kill()
	}
	env.inFlight.Wait()
	time.Sleep(2 * time.Minute)
	synctest.Wait()
}

// engine starts a model engine and adds it to the directory.
func (env *testEnv) engine(id, zone string, config engine.Config) *engine.Engine {
	config.ID = id
	if config.Slots == 0 {
		config.Slots = 8
	}
	e := engine.New(config, env.clock)
	env.engines[id] = e
	env.listing.Endpoints = append(env.listing.Endpoints, platform.EndpointListing{
		ID: platform.EndpointID(id), Zone: ticket.ZoneName(zone), Kind: platform.EndpointEngine,
		URL: "http://" + id, Version: config.Version, Presence: platform.PresenceLive,
	})
	env.directory.Set(env.listing)
	return e
}

// service starts a service endpoint and adds it to the directory.
func (env *testEnv) service(id, zone, name string) *service.Service {
	s := service.New(env.clock)
	env.services[id] = s
	env.listing.Endpoints = append(env.listing.Endpoints, platform.EndpointListing{
		ID: platform.EndpointID(id), Zone: ticket.ZoneName(zone), Kind: platform.EndpointService,
		URL: "http://" + id, Service: ticket.ServiceName(name), Presence: platform.PresenceLive,
	})
	env.directory.Set(env.listing)
	return s
}

// setPresence replaces the presence of a listed endpoint or instance.
func (env *testEnv) setPresence(id string, presence platform.Presence) {
	next := platform.Listing{}
	for _, e := range env.listing.Endpoints {
		if string(e.ID) == id {
			e.Presence = presence
		}
		next.Endpoints = append(next.Endpoints, e)
	}
	for _, i := range env.listing.Instances {
		if string(i.ID) == id {
			i.Presence = presence
		}
		next.Instances = append(next.Instances, i)
	}
	env.listing = next
	env.directory.Set(next)
}

// node starts an instance. A name that was used before restarts without local state.
func (env *testEnv) node(name, zone string) *node {
	n := &node{env: env, name: name, zone: zone, killed: make(chan struct{})}
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
	options := env.options
	if options.RunID == "" {
		// The run id also seeds the instance's random numbers, so it must be the same in each run of a test.
		env.startCount++
		options.RunID = fmt.Sprint("run-", env.startCount)
	}
	i, err := instance.New(s, outside, env.clock, env.logger(name), tally.NoopScope, options)
	if err != nil {
		env.t.Fatal(err)
	}
	n.Instance = i
	env.mu.Lock()
	listed := env.nodes[name] != nil
	env.nodes[name] = n
	env.mu.Unlock()
	if !listed {
		env.listing.Instances = append(env.listing.Instances, platform.InstanceListing{
			ID: platform.InstanceID(name), Zone: ticket.ZoneName(zone), Peer: name, Presence: platform.PresenceLive,
		})
		env.directory.Set(env.listing)
	}
	go i.Run(n.ctx)
	return n
}

func (env *testEnv) logger(name string) hclog.Logger {
	if env.logOutput == io.Discard {
		return hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	}
	return telemetry.NewLogger(name, "info", env.logOutput)
}

// kill stops the instance like kill -9: from now on nothing that it sends arrives.
func (n *node) kill() {
	n.killOnce.Do(func() { close(n.killed) })
	n.cancel()
}

func (n *node) isKilled() bool {
	select {
	case <-n.killed:
		return true
	default:
		return false
	}
}

// freeze blocks all outgoing calls of the instance until thaw.
func (n *node) freeze() {
	n.env.mu.Lock()
	defer n.env.mu.Unlock()
	if n.thawed == nil {
		n.thawed = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.env.mu.Lock()
	defer n.env.mu.Unlock()
	if n.thawed != nil {
		close(n.thawed)
		n.thawed = nil
	}
}

// checkReachable blocks while the instance is frozen and fails if it was killed or is partitioned from other.
func (n *node) checkReachable(other string) error {
	n.env.mu.Lock()
	thawed := n.thawed
	n.env.mu.Unlock()
	if thawed != nil {
		select {
		case <-thawed:
		case <-n.killed:
		}
	}
	if n.isKilled() || n.env.isPartitioned(n.name, other) || n.env.isPartitioned(n.zone, other) {
		return errPartitioned
	}
	return nil
}

// checkReachableContext is checkReachable for a request: like net/http, it sends nothing once ctx is done.
func (n *node) checkReachableContext(ctx context.Context, other string) error {
	if err := n.checkReachable(other); err != nil {
		return fault.New("dial", endpoint.KindNotSent, "%w", err)
	}
	if ctx.Err() != nil {
		return fault.New("dial", endpoint.KindCanceled, "%w", ctx.Err())
	}
	return nil
}

// partition drops traffic from one side to the other (one way). A side is an instance, a zone or the platform.
func (env *testEnv) partition(from, to string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.partitions[[2]string{from, to}] = true
}

// heal removes all partitions.
func (env *testEnv) heal() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.partitions = map[[2]string]bool{}
}

func (env *testEnv) isPartitioned(from, to string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.partitions[[2]string{from, to}]
}

func (n *node) logClient() *platform.Log {
	return &platform.Log{
		Append: func(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
			if err := n.checkReachable(platformSide); err != nil {
				return 0, fault.New("append", platform.KindUncertain, "%w", err)
			}
			offset, err := n.env.log.Append(ctx, stream, data)
			if n.isKilled() || n.env.isPartitioned(platformSide, n.name) {
				return 0, fault.New("append", platform.KindUncertain, "%w", errPartitioned)
			}
			return offset, err
		},
		Read: func(ctx context.Context, stream platform.Stream, from platform.Offset, limit int, wait clock.Millis) (*platform.Batch, error) {
			if err := n.checkReachable(platformSide); err != nil {
				return nil, fault.New("read", platform.KindUncertain, "%w", err)
			}
			batch, err := n.env.log.Read(ctx, stream, from, limit, wait)
			if err == nil {
				// A partition that started during the read drops the response.
				err = n.checkReachable(platformSide)
			}
			return batch, err
		},
	}
}

func (n *node) directoryClient() *platform.Directory {
	return &platform.Directory{List: func(ctx context.Context) (*platform.Listing, error) {
		if err := n.checkReachable(platformSide); err != nil {
			return nil, err
		}
		return n.env.directory.List(ctx)
	}}
}

func (n *node) ratingsClient() *platform.Ratings {
	client := n.env.ratings.Client(n.name)
	return &platform.Ratings{
		Submit: func(ctx context.Context, answers []platform.Answer) error {
			if err := n.checkReachable(platformSide); err != nil {
				return err
			}
			return client.Submit(ctx, answers)
		},
		After: func(ctx context.Context, sequence int64) ([]platform.Rating, error) {
			if err := n.checkReachable(platformSide); err != nil {
				return nil, err
			}
			return client.After(ctx, sequence)
		},
	}
}

// connect wraps the stand-in's client so that it fails while this instance can't reach the endpoint's zone.
func (n *node) connect(l platform.EndpointListing, observe func(*endpoint.Load), _ func(gate.BootID)) *endpoint.Endpoint {
	var direct *endpoint.Endpoint
	if e := n.env.engines[string(l.ID)]; e != nil {
		direct = e.Client(observe)
	} else {
		direct = n.env.services[string(l.ID)].Client()
	}
	zone := string(l.Zone)
	return &endpoint.Endpoint{
		Load: func(ctx context.Context) (*endpoint.Load, error) {
			if err := n.checkReachable(zone); err != nil {
				return nil, err
			}
			return direct.Load(ctx)
		},
		SendOrder: direct.SendOrder,
		Stream: func(ctx context.Context, a *endpoint.Attempt, r *endpoint.StreamRequest, emit func(string) error) (*endpoint.StreamResult, error) {
			if err := n.checkReachableContext(ctx, zone); err != nil {
				return nil, err
			}
			return direct.Stream(ctx, a, r, emit)
		},
		Call: func(ctx context.Context, a *endpoint.Attempt, r *endpoint.CallRequest) (*endpoint.CallResponse, error) {
			if err := n.checkReachableContext(ctx, zone); err != nil {
				return nil, err
			}
			return direct.Call(ctx, a, r)
		},
	}
}

// dial returns a peer client that calls the other instance's server in process.
func (n *node) dial(l platform.InstanceListing) *peer.Client {
	return &peer.Client{
		Sync:      peerCall(n, l, func(s *peer.Server) callFunc[peerv1.Update, peerv1.Update] { return s.Sync }),
		Outcome:   peerCall(n, l, func(s *peer.Server) callFunc[peerv1.OutcomeRequest, peerv1.OutcomeResponse] { return s.Outcome }),
		HoldBills: peerCall(n, l, func(s *peer.Server) callFunc[peerv1.HoldBillsRequest, peerv1.HoldBillsResponse] { return s.HoldBills }),
		Permit:    peerCall(n, l, func(s *peer.Server) callFunc[peerv1.PermitRequest, peerv1.PermitResponse] { return s.Permit }),
	}
}

type callFunc[Q, A any] func(context.Context, *Q) (*A, error)

func peerCall[Q, A any](n *node, l platform.InstanceListing, method func(*peer.Server) callFunc[Q, A]) callFunc[Q, A] {
	return func(ctx context.Context, request *Q) (*A, error) {
		if err := n.checkReachable(string(l.ID)); err != nil {
			return nil, err
		}
		n.env.mu.Lock()
		other := n.env.nodes[string(l.ID)]
		n.env.mu.Unlock()
		if other == nil || n.env.isPartitioned(n.zone, other.zone) && n.zone != other.zone {
			return nil, errPartitioned
		}
		if err := other.checkReachable(other.name); err != nil {
			return nil, err
		}
		answer, err := method(other.Mesh.Server())(ctx, request)
		if n.isKilled() || n.env.isPartitioned(string(l.ID), n.name) {
			return nil, errPartitioned
		}
		return answer, err
	}
}

// crashAt kills the instance when a request reaches the given step.
func (n *node) crashAt(step router.Step) {
	n.Router.OnStep = func(at router.Step, _ claim.RequestID) {
		if at == step {
			n.kill()
			runtime.Goexit()
		}
	}
}

// publish appends a ticket to the log and gives the instances a second to apply it.
func (env *testEnv) publish(yaml string) {
	env.t.Helper()
	t, err := ticket.Parse([]byte(yaml))
	if err != nil {
		env.t.Fatal(err)
	}
	record := fmt.Sprintf(`{"nonce":%q,"ticket":%s}`, uuid.NewString(), mustJSON(t))
	if _, err := env.log.Append(context.Background(), platform.StreamConfig, []byte(record)); err != nil {
		env.t.Fatal(err)
	}
	env.advance(time.Second)
}

// advance lets virtual time pass and waits until all goroutines are blocked.
func (env *testEnv) advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}

// reply is what a caller received.
type reply struct {
	status    int
	body      string
	header    http.Header
	outcome   claim.State
	code      string
	requestID claim.RequestID
	finished  bool
}

// completed reports whether the caller received a complete, successful answer.
func (r *reply) completed() bool {
	return r.finished && r.status < http.StatusBadRequest && r.outcome == ""
}

// send makes one HTTP request to the instance and returns what the caller got;
// finished is false if the instance was killed before it had responded.
func (n *node) send(method, path, body string, headers ...string) *reply {
	request := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(n.ctx)
	request.Header.Set("Authorization", "Bearer desk-key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	got := &reply{}
	served := make(chan struct{})
	n.env.inFlight.Add(1)
	go func() {
		defer n.env.inFlight.Done()
		defer close(served)
		n.Callers.Handler().ServeHTTP(recorder, request)
		got.finished = true
	}()
	<-served
	if n.isKilled() {
		got.finished = false
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

func (env *testEnv) newKey(serial int) string {
	return keyAt(env.clock.Wall(), serial)
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

// startSmall starts two zones with an instance and an engine for the small model each, and a service in zone a.
func (env *testEnv) startSmall() (a, b *node) {
	env.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.engine("engine-b", "b", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.service("stock-a", "a", "stock")
	a = env.node("node-a", "a")
	b = env.node("node-b", "b")
	env.publish(baseTicket)
	env.advance(2 * time.Second)
	return a, b
}

func withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, timeout)
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

// startEscalating starts an instance whose cheap version always gives bad answers.
func (env *testEnv) startEscalating() {
	env.engine("engine-small", "a", engine.Config{Version: "small@1", FirstTokenLatency: 20, TokenInterval: 5, PoorPercent: 100})
	env.engine("engine-large", "a", engine.Config{Version: "large@1", FirstTokenLatency: 20, TokenInterval: 5})
	env.node("node-a", "a")
	env.publish(baseTicket)
	env.publish(escalatingTicket)
	env.advance(2 * time.Second)
}
