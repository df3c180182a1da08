package pool

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindNoEndpoint Kind = "no-endpoint"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Defaults of a Pool.
const (
	// Periods at which load reports of endpoints are polled: most often for the
	// instance's home endpoints, least often for endpoints in other zones.
	homePollPeriod      = 250 * clock.Millis(1)
	zonePollPeriod      = 500 * clock.Millis(1)
	otherZonePollPeriod = clock.Second
	// downAfterMissed is the number of consecutive failed polls after which an
	// endpoint counts as down.
	downAfterMissed = 2
	// ejectAfterFailures is the number of consecutive failed attempts after which
	// an endpoint is ejected, for ejectDuration.
	ejectAfterFailures = 5
	ejectDuration      = 5 * clock.Second
	// maxEjectedRatio limits the fraction of the endpoints that serve the same
	// target and may be ejected at once.
	maxEjectedRatio = 0.5
)

// Connect returns a client for a listed endpoint. The client calls onReport with
// the load report of each new connection, and onBoot with the boot id of each
// response.
type Connect func(listing platform.EndpointListing, onReport func(*endpoint.Load), onBoot func(gate.BootID)) *endpoint.Endpoint

// Pool holds the endpoints known to one instance, with their health and load.
type Pool struct {
	// OnSuspicion is called for each request whose connection broke while it was
	// in flight, since it may have crashed the endpoint.
	OnSuspicion func(quarantine.Suspicion)
	// ZonePosition returns the instance's rank among the instances of its zone,
	// and their number.
	ZonePosition func() rollout.Position

	zone    ticket.ZoneName
	clock   *clock.Clock
	logger  hclog.Logger
	connect Connect
	random  *rand.Rand

	mu      sync.Mutex
	members map[routing.EndpointID]*member
	index   *routing.Pool
	ctx     context.Context
}

// member is an endpoint with its client, health and load.
type member struct {
	listing       platform.EndpointListing
	client        *endpoint.Endpoint
	view          *routing.Endpoint
	warmup        gate.WarmupState
	load          endpoint.Load
	reportedAt    clock.Millis
	missedReports int
	failures      int
	ejectedUntil  clock.Millis
	inFlight      map[*Dispatch]bool
	stop          context.CancelFunc
}

// New returns an empty Pool of an instance in the zone.
func New(zone ticket.ZoneName, connect Connect, c *clock.Clock, random *rand.Rand, logger hclog.Logger) *Pool {
	return &Pool{
		OnSuspicion:  func(quarantine.Suspicion) {},
		ZonePosition: func() rollout.Position { return rollout.Position{Instances: 1} },
		zone:         zone,
		clock:        c,
		logger:       logger.Named("pool"),
		connect:      connect,
		random:       random,
		members:      map[routing.EndpointID]*member{},
		index:        routing.NewPool(nil),
	}
}

// Run polls the load reports of all listed endpoints until ctx is done.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, m := range p.members {
		p.startPolling(m)
	}
	p.mu.Unlock()
	<-ctx.Done()
}

// startPolling starts a goroutine that polls a member's load reports. The caller
// holds p.mu.
func (p *Pool) startPolling(m *member) {
	if p.ctx == nil || m.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	m.stop = cancel
	go func() {
		for {
			p.pollMember(ctx, m)
			if p.clock.Sleep(ctx, p.pollPeriod(m)) != nil {
				return
			}
		}
	}()
}

func (p *Pool) pollPeriod(m *member) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case m.view.Home:
		return homePollPeriod
	case m.listing.Zone == p.zone:
		return zonePollPeriod
	}
	return otherZonePollPeriod
}

func (p *Pool) pollMember(ctx context.Context, m *member) {
	load, err := m.client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.recordPollFailure(m, err)
		return
	}
	p.applyReport(m, load)
}

func (p *Pool) recordPollFailure(m *member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.missedReports++
	m.warmup.MarkCold()
	if m.missedReports == downAfterMissed {
		p.logger.Warn("endpoint-down", "endpoint", m.listing.ID, "error", err)
	}
	p.refresh(m)
}

// applyReport applies a load report from a poll or from a new connection.
func (p *Pool) applyReport(m *member, load *endpoint.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.missedReports >= downAfterMissed {
		p.logger.Info("endpoint-up", "endpoint", m.listing.ID)
	}
	m.missedReports = 0
	m.load = *load
	m.reportedAt = p.clock.Mono()
	m.view.ReportedInFlight = load.InFlight
	m.view.OwnAtReport = m.view.OwnInFlight
	if m.warmup.ApplyReport(load.Boot, load.Phase == endpoint.PhaseWarm) {
		p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", load.Phase, "boot", load.Boot)
	}
	p.refresh(m)
}

// refresh updates the routing view of a member from its state. The caller holds
// p.mu.
func (p *Pool) refresh(m *member) {
	v := m.view
	v.Draining = m.listing.Presence == platform.PresenceDraining || m.load.Phase == endpoint.PhaseDraining
	v.Warm = m.warmup.Warm()
	v.Down = m.missedReports >= downAfterMissed || m.warmup.Boot() == ""
	v.Slots = max(1, m.load.Slots)
	v.Ejected = m.ejectedUntil > p.clock.Mono()
}

// SetListing applies a new list of endpoints. An endpoint whose URL, zone or
// served target changed is replaced and loses its state.
func (p *Pool) SetListing(listing *platform.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[routing.EndpointID]bool{}
	changed := false
	for _, l := range listing.Endpoints {
		id := routing.EndpointID(l.ID)
		listed[id] = true
		m := p.members[id]
		if m != nil && m.listing.URL == l.URL && servesOf(&m.listing) == servesOf(&l) && m.listing.Zone == l.Zone {
			m.listing = l
			p.refresh(m)
			continue
		}
		p.remove(id)
		p.add(l)
		changed = true
	}
	for id := range p.members {
		if !listed[id] {
			p.remove(id)
			changed = true
		}
	}
	if changed {
		p.reindex()
	}
	position := p.ZonePosition()
	p.index.AssignHomes(p.zone, position.Rank, position.Instances)
}

func servesOf(l *platform.EndpointListing) routing.ServedName {
	return routing.Target{Version: l.Version, Service: l.Service}.ServedName()
}

func (p *Pool) add(l platform.EndpointListing) {
	m := &member{listing: l, inFlight: map[*Dispatch]bool{}}
	m.view = &routing.Endpoint{ID: routing.EndpointID(l.ID), Zone: l.Zone, Serves: servesOf(&l), Slots: 1}
	m.client = p.connect(l, func(load *endpoint.Load) { p.applyReport(m, load) }, func(boot gate.BootID) { p.observeBoot(m, boot) })
	p.refresh(m)
	p.members[m.view.ID] = m
	p.startPolling(m)
}

func (p *Pool) remove(id routing.EndpointID) {
	if m := p.members[id]; m != nil {
		if m.stop != nil {
			m.stop()
		}
		delete(p.members, id)
	}
}

func (p *Pool) reindex() {
	views := make([]*routing.Endpoint, 0, len(p.members))
	for _, m := range p.members {
		views = append(views, m.view)
	}
	p.index = routing.NewPool(views)
}

func (p *Pool) observeBoot(m *member, boot gate.BootID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.warmup.ObserveBoot(boot) {
		p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", endpoint.PhaseCold, "boot", boot)
	}
	p.refresh(m)
}
