package gatekeeper

import (
	"context"
	"slices"
	"sync"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/fleet"
	"foxtailbridge/entry/pool"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Defaults of a Gatekeeper.
const (
	tickPeriod = clock.Second
	// turn is how much longer each instance of a zone waits than the one
	// ranked before it until it tries to take over.
	turn = 2 * clock.Second
	// renewShare is the part of the lease after which it is renewed.
	renewShare = 3
	// permitMargin is how much earlier than its end the owner of a permit stops.
	permitMargin = clock.Second
)

// Gatekeeper acts for one instance.
type Gatekeeper struct {
	// ZoneRank returns this instance's place among those of its zone.
	ZoneRank func() int
	// Engines returns the engines of the instance's zone.
	Engines func() []pool.Engine
	// RequestPermit sends a permit request to another instance.
	RequestPermit func(ctx context.Context, holder string, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error)

	instance string
	zone     ticket.ZoneName
	clock    *clock.Clock
	logger   hclog.Logger
	stream   *fleet.Stream
	duration clock.Millis
	// unguarded makes every instance grant permits by itself, the naive rule
	// that the tests compare with.
	unguarded bool

	mu       sync.Mutex
	leases   *gate.Leases
	tenure   *gate.Tenure
	permits  *gate.Permits
	released bool
}

// Option changes a Gatekeeper.
type Option func(*Gatekeeper)

// WithLeaseDuration sets the length of the lease.
func WithLeaseDuration(span clock.Millis) Option {
	return func(g *Gatekeeper) { g.duration = span }
}

// WithoutLease lets every instance grant permits by itself. It is the naive
// rule that the tests compare with.
func WithoutLease() Option {
	return func(g *Gatekeeper) { g.unguarded = true }
}

// New returns a Gatekeeper that holds nothing.
func New(instance string, zone ticket.ZoneName, stream *fleet.Stream, c *clock.Clock, logger hclog.Logger, opts ...Option) *Gatekeeper {
	g := &Gatekeeper{
		ZoneRank: func() int { return 0 },
		Engines:  func() []pool.Engine { return nil },
		instance: instance,
		zone:     zone,
		clock:    c,
		logger:   logger.Named("gate"),
		stream:   stream,
		duration: gate.DefaultLease,
		leases:   gate.NewLeases(),
		permits:  gate.NewPermits(c.Mono(), true),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.tenure = newTenure()
	return g
}

func newTenure() *gate.Tenure {
	return gate.NewTenure(gate.Nonce(uuid.NewString()))
}

// Apply folds a lease record that was read from the fleet stream.
func (g *Gatekeeper) Apply(offset platform.Offset, at clock.Millis, record gate.LeaseRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, existed := g.leases.Get(record.Scope)
	g.leases.Apply(offset, at, record)
	lease, _ := g.leases.Get(record.Scope)
	if !existed || lease.Nonce != before.Nonce {
		g.logger.Info("gate-lease", "scope", record.Scope, "holder", lease.Instance, "fence", lease.Fence)
	}
	if record.Scope == gate.ScopeOf(g.zone) {
		g.observe(lease, existed)
	}
}

func (g *Gatekeeper) observe(lease gate.Lease, existed bool) {
	now := g.clock.Mono()
	held := g.tenure.Holds(now)
	g.tenure.Observe(lease, g.duration, now)
	if !held && g.tenure.Holds(now) {
		_, whole := g.stream.Read()
		g.permits = gate.NewPermits(now, whole && !existed)
	}
}

// Run keeps or seeks the lease until ctx ends.
func (g *Gatekeeper) Run(ctx context.Context) {
	for {
		g.Tick()
		g.reconcile(ctx)
		if g.clock.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}

// Tick renews the lease, or asks for it if it has lapsed.
func (g *Gatekeeper) Tick() {
	if read, _ := g.stream.Read(); !read {
		return
	}
	if record, due := g.nextRecord(); due {
		g.stream.Append(fleet.Item{Lease: &record})
	}
}

func (g *Gatekeeper) nextRecord() (gate.LeaseRecord, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Mono()
	lease, ok := g.leases.Get(gate.ScopeOf(g.zone))
	mine := ok && lease.Nonce == g.tenure.Nonce() && !lease.Released
	switch {
	case g.released:
		return gate.LeaseRecord{}, false
	case mine && g.tenure.Remaining(now) > g.duration-g.duration/renewShare:
		return gate.LeaseRecord{}, false
	case mine:
	case ok && !lease.Released && g.clock.Wall() < lease.Until+clock.Millis(g.ZoneRank())*turn:
		return gate.LeaseRecord{}, false
	case g.tenure.Pending(now, g.duration):
		return gate.LeaseRecord{}, false
	default:
		g.tenure = newTenure()
	}
	return gate.LeaseRecord{
		Scope:    gate.ScopeOf(g.zone),
		Instance: g.instance,
		Nonce:    g.tenure.Nonce(),
		Duration: g.duration,
		Attempt:  g.tenure.Begin(now),
	}, true
}

// Release gives the lease up, for shutdown.
func (g *Gatekeeper) Release() <-chan error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = true
	done := make(chan error, 1)
	if !g.tenure.Holds(g.clock.Mono()) {
		done <- nil
		return done
	}
	g.tenure.Drop()
	return g.stream.Append(fleet.Item{Lease: &gate.LeaseRecord{
		Scope: gate.ScopeOf(g.zone), Instance: g.instance, Nonce: g.tenure.Nonce(), Release: true,
	}})
}

// HoldsLease reports whether this instance holds the gate of its zone now.
func (g *Gatekeeper) HoldsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure.Holds(g.clock.Mono())
}

// Grant answers a permit request as the holder of the gate.
func (g *Gatekeeper) Grant(request *peerv1.PermitRequest, bears int) *peerv1.PermitResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := gate.PermitID(request.RequestId)
	at := gate.EndpointID(request.Endpoint)
	if request.Release {
		g.permits.Release(at, id)
		return &peerv1.PermitResponse{}
	}
	now := g.clock.Mono()
	granted := (g.unguarded || g.tenure.Holds(now)) && g.permits.Grant(at, id, bears, now)
	return &peerv1.PermitResponse{
		Granted: granted,
		ValidMs: int64(gate.PermitSpan - permitMargin),
		Fence:   int64(g.tenure.Fence()),
	}
}

// Permit is the right to dispatch one request to an endpoint in cold start.
type Permit struct {
	Fence ticket.Offset
	// Deadline is the monotonic time by which the work must have ended.
	Deadline clock.Millis
	release  func()
}

// Release gives the permit back.
func (p *Permit) Release() {
	p.release()
}

// Acquire asks the holder of the zone's gate for a permit; it returns nil if none is to be had.
func (g *Gatekeeper) Acquire(ctx context.Context, zone ticket.ZoneName, at routing.EndpointID, id string, bears int) *Permit {
	request := &peerv1.PermitRequest{Instance: g.instance, Endpoint: string(at), RequestId: id, Bears: int32(bears)}
	sent := g.clock.Mono()
	ask := g.askFunc(zone, bears)
	if ask == nil {
		return nil
	}
	answer, err := ask(ctx, request)
	if err != nil || !answer.Granted {
		return nil
	}
	release := &peerv1.PermitRequest{Instance: g.instance, Endpoint: string(at), RequestId: id, Release: true}
	return &Permit{
		Fence:    ticket.Offset(answer.Fence),
		Deadline: sent + clock.Millis(answer.ValidMs),
		release:  func() { _, _ = ask(context.WithoutCancel(ctx), release) },
	}
}

type askFunc func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error)

// askFunc returns how to reach the holder of the zone's gate, or nil if nobody holds it.
func (g *Gatekeeper) askFunc(zone ticket.ZoneName, bears int) askFunc {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease, ok := g.leases.Get(gate.ScopeOf(zone))
	switch {
	case g.unguarded, ok && lease.Instance == g.instance && zone == g.zone:
		return func(_ context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
			return g.Grant(request, bears), nil
		}
	case !ok || lease.Released || g.RequestPermit == nil:
		return nil
	}
	return func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
		return g.RequestPermit(ctx, lease.Instance, request)
	}
}

// reconcile orders each engine of the zone to hold the version it is listed
// with, if its report says otherwise. The order carries the whole wanted state
// and is given again until the report agrees, so an older order that an engine
// carries out late is undone.
func (g *Gatekeeper) reconcile(ctx context.Context) {
	for _, engine := range g.Engines() {
		fence, holding := g.fence()
		if !holding {
			return
		}
		wanted := []ticket.VersionRef{engine.Listing.Version}
		if slices.Equal(engine.Load.Held, wanted) || engine.Load.Phase == endpoint.PhaseLeaving {
			continue
		}
		err := engine.Client.Give(ctx, &endpoint.Order{Fence: fence, Hold: wanted})
		g.logger.Info("order", "endpoint", engine.Listing.ID, "hold", wanted, "fence", fence, "error", err)
	}
}

func (g *Gatekeeper) fence() (ticket.Offset, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure.Fence(), g.tenure.Holds(g.clock.Mono())
}
