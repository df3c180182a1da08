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
	// takeoverStagger is multiplied by the instance's rank in its zone to delay
	// its takeover of an expired lease, so that instances don't compete at once.
	takeoverStagger = 2 * clock.Second
	// renewFraction is the divisor of the lease duration: the lease is renewed
	// after duration/renewFraction.
	renewFraction = 3
	// permitMargin is how long before the expiry of a permit its owner must stop.
	permitMargin = clock.Second
)

// Gatekeeper manages the gate lease and permits on behalf of one instance.
type Gatekeeper struct {
	// ZoneRank returns this instance's rank among the instances of its zone.
	ZoneRank func() int
	// Engines returns the engines of the instance's zone.
	Engines func() []pool.Engine
	// RequestPermit sends a permit request to the instance that holds the lease.
	RequestPermit func(ctx context.Context, holder string, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error)

	instance      string
	zone          ticket.ZoneName
	clock         *clock.Clock
	logger        hclog.Logger
	stream        *fleet.Stream
	leaseDuration clock.Millis
	// leaseDisabled lets every instance grant permits without the lease. Tests
	// use this unsafe variant for comparison.
	leaseDisabled bool

	mu       sync.Mutex
	leases   *gate.Leases
	tenure   *gate.Tenure
	permits  *gate.Permits
	released bool
}

// Option configures a Gatekeeper.
type Option func(*Gatekeeper)

// WithLeaseDuration sets the duration of the lease.
func WithLeaseDuration(duration clock.Millis) Option {
	return func(g *Gatekeeper) { g.leaseDuration = duration }
}

// WithoutLease lets every instance grant permits without holding the lease. It
// is unsafe; tests use it for comparison.
func WithoutLease() Option {
	return func(g *Gatekeeper) { g.leaseDisabled = true }
}

// New returns a Gatekeeper that doesn't hold the lease.
func New(instance string, zone ticket.ZoneName, stream *fleet.Stream, c *clock.Clock, logger hclog.Logger, opts ...Option) *Gatekeeper {
	g := &Gatekeeper{
		ZoneRank:      func() int { return 0 },
		Engines:       func() []pool.Engine { return nil },
		instance:      instance,
		zone:          zone,
		clock:         c,
		logger:        logger.Named("gate"),
		stream:        stream,
		leaseDuration: gate.DefaultLeaseDuration,
		leases:        gate.NewLeases(),
		permits:       gate.NewPermits(c.Mono(), true),
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

// Apply applies a lease record that was read from the fleet stream.
func (g *Gatekeeper) Apply(offset platform.Offset, at clock.Millis, record gate.LeaseRecord) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before, existed := g.leases.Get(record.Scope)
	g.leases.Apply(offset, at, record)
	lease, _ := g.leases.Get(record.Scope)
	if !existed || lease.Nonce != before.Nonce {
		g.logger.Info("gate-lease", "scope", record.Scope, "holder", lease.Instance, "fence", lease.Fence)
	}
	if record.Scope == gate.ScopeForZone(g.zone) {
		g.updateTenure(lease, existed)
	}
}

// updateTenure applies the zone's lease to this instance's tenure. If the
// instance has just become the holder, permits of the previous holder may still
// be valid, unless the complete stream was read and there was no earlier lease.
func (g *Gatekeeper) updateTenure(lease gate.Lease, existed bool) {
	now := g.clock.Mono()
	heldBefore := g.tenure.Holds(now)
	g.tenure.Observe(lease, g.leaseDuration, now)
	if !heldBefore && g.tenure.Holds(now) {
		_, complete := g.stream.ReadStatus()
		g.permits = gate.NewPermits(now, complete && !existed)
	}
}

// Run acquires and renews the lease, and reconciles the zone's engines while
// holding it, until ctx is done.
func (g *Gatekeeper) Run(ctx context.Context) {
	for {
		g.Tick()
		g.reconcile(ctx)
		if g.clock.Sleep(ctx, tickPeriod) != nil {
			return
		}
	}
}

// Tick appends a lease record if the lease is due for renewal or has expired.
func (g *Gatekeeper) Tick() {
	if read, _ := g.stream.ReadStatus(); !read {
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
	lease, ok := g.leases.Get(gate.ScopeForZone(g.zone))
	held := ok && lease.Nonce == g.tenure.Nonce() && !lease.Released
	switch {
	case g.released:
		return gate.LeaseRecord{}, false
	case held && g.tenure.Remaining(now) > g.leaseDuration-g.leaseDuration/renewFraction:
		return gate.LeaseRecord{}, false
	case held:
	case ok && !lease.Released && g.clock.Wall() < lease.ExpiresAt+clock.Millis(g.ZoneRank())*takeoverStagger:
		return gate.LeaseRecord{}, false
	case g.tenure.Pending(now, g.leaseDuration):
		return gate.LeaseRecord{}, false
	default:
		g.tenure = newTenure()
	}
	return gate.LeaseRecord{
		Scope:    gate.ScopeForZone(g.zone),
		Instance: g.instance,
		Nonce:    g.tenure.Nonce(),
		Duration: g.leaseDuration,
		Attempt:  g.tenure.NextAttempt(now),
	}, true
}

// Release releases the lease for shutdown. The returned channel receives the
// result of the append.
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
		Scope: gate.ScopeForZone(g.zone), Instance: g.instance, Nonce: g.tenure.Nonce(), Release: true,
	}})
}

// HoldsLease reports whether this instance currently holds the gate lease of its
// zone.
func (g *Gatekeeper) HoldsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure.Holds(g.clock.Mono())
}

// Grant handles a permit request, or the release of a permit, as the lease
// holder.
func (g *Gatekeeper) Grant(request *peerv1.PermitRequest, coldLimit int) *peerv1.PermitResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := gate.PermitID(request.RequestId)
	at := gate.EndpointID(request.Endpoint)
	if request.Release {
		g.permits.Release(at, id)
		return &peerv1.PermitResponse{}
	}
	now := g.clock.Mono()
	granted := (g.leaseDisabled || g.tenure.Holds(now)) && g.permits.Grant(at, id, coldLimit, now)
	return &peerv1.PermitResponse{
		Granted: granted,
		ValidMs: int64(gate.PermitTTL - permitMargin),
		Fence:   int64(g.tenure.Fence()),
	}
}

// Permit is the right to dispatch one request to an endpoint in cold start.
type Permit struct {
	Fence ticket.Offset
	// Deadline is the monotonic time by which the request must have ended.
	Deadline clock.Millis
	release  func()
}

// Release returns the permit to the lease holder.
func (p *Permit) Release() {
	p.release()
}

// Acquire requests a permit from the holder of the zone's gate lease. It returns
// nil if none was granted.
func (g *Gatekeeper) Acquire(ctx context.Context, zone ticket.ZoneName, at routing.EndpointID, id string, coldLimit int) *Permit {
	request := &peerv1.PermitRequest{Instance: g.instance, Endpoint: string(at), RequestId: id, Bears: int32(coldLimit)}
	sent := g.clock.Mono()
	requestPermit := g.permitRequester(zone, coldLimit)
	if requestPermit == nil {
		return nil
	}
	response, err := requestPermit(ctx, request)
	if err != nil || !response.Granted {
		return nil
	}
	release := &peerv1.PermitRequest{Instance: g.instance, Endpoint: string(at), RequestId: id, Release: true}
	return &Permit{
		Fence:    ticket.Offset(response.Fence),
		Deadline: sent + clock.Millis(response.ValidMs),
		release:  func() { _, _ = requestPermit(context.WithoutCancel(ctx), release) },
	}
}

type permitRequester func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error)

// permitRequester returns a function that sends permit requests to the holder of
// the zone's gate lease, or nil if there is no holder.
func (g *Gatekeeper) permitRequester(zone ticket.ZoneName, coldLimit int) permitRequester {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease, ok := g.leases.Get(gate.ScopeForZone(zone))
	switch {
	case g.leaseDisabled, ok && lease.Instance == g.instance && zone == g.zone:
		return func(_ context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
			return g.Grant(request, coldLimit), nil
		}
	case !ok || lease.Released || g.RequestPermit == nil:
		return nil
	}
	return func(ctx context.Context, request *peerv1.PermitRequest) (*peerv1.PermitResponse, error) {
		return g.RequestPermit(ctx, lease.Instance, request)
	}
}

// reconcile orders each engine of the zone to hold the version it is listed
// with, if its load report differs. An order contains the complete desired state
// and is resent until the report matches, so an older order that an engine
// executes late is reverted.
func (g *Gatekeeper) reconcile(ctx context.Context) {
	for _, engine := range g.Engines() {
		fence, holdsLease := g.fence()
		if !holdsLease {
			return
		}
		wanted := []ticket.VersionRef{engine.Listing.Version}
		if slices.Equal(engine.Load.LoadedVersions, wanted) || engine.Load.Phase == endpoint.PhaseDraining {
			continue
		}
		err := engine.Client.SendOrder(ctx, &endpoint.Order{Fence: fence, Versions: wanted})
		g.logger.Info("order", "endpoint", engine.Listing.ID, "hold", wanted, "fence", fence, "error", err)
	}
}

func (g *Gatekeeper) fence() (ticket.Offset, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenure.Fence(), g.tenure.Holds(g.clock.Mono())
}
