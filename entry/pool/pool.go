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
	// How often an endpoint's report is read: those at which the instance is at
	// home most often, those of other zones least.
	homeReportPeriod  = 250 * clock.Millis(1)
	zoneReportPeriod  = 500 * clock.Millis(1)
	otherReportPeriod = clock.Second
	// reportsMissed is after how many failed reports an endpoint counts as down.
	reportsMissed = 2
	// ejectAfter is after how many failures in a row an endpoint is ejected, and ejectFor how long.
	ejectAfter = 5
	ejectFor   = 5 * clock.Second
	// ejectShare is the largest share of a group that may be ejected at once.
	ejectShare = 0.5
)

// Connect returns a client for a listed endpoint; observe takes each report
// that comes with a new connection, seeBoot the boot id of each answer.
type Connect func(listing platform.EndpointListing, observe func(*endpoint.Load), seeBoot func(gate.BootID)) *endpoint.Endpoint

// Pool holds the endpoints of one instance.
type Pool struct {
	// OnSuspicion is told of each request that was in flight when an endpoint died.
	OnSuspicion func(quarantine.Suspicion)
	// ZonePosition returns the instance's place among those of its zone.
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

// member is one endpoint with all that is known of it.
type member struct {
	listing  platform.EndpointListing
	client   *endpoint.Endpoint
	view     *routing.Endpoint
	warmth   gate.Warmth
	load     endpoint.Load
	reported clock.Millis
	missed   int
	failures int
	ejected  clock.Millis
	inFlight map[*Dispatch]bool
	stop     context.CancelFunc
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

// Run reads the reports of all listed endpoints until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, m := range p.members {
		p.follow(m)
	}
	p.mu.Unlock()
	<-ctx.Done()
}

// follow starts to read a member's reports; the caller holds the lock.
func (p *Pool) follow(m *member) {
	if p.ctx == nil || m.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	m.stop = cancel
	go func() {
		for {
			p.pollMember(ctx, m)
			if p.clock.Sleep(ctx, p.reportPeriod(m)) != nil {
				return
			}
		}
	}()
}

func (p *Pool) reportPeriod(m *member) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case m.view.Home:
		return homeReportPeriod
	case m.listing.Zone == p.zone:
		return zoneReportPeriod
	}
	return otherReportPeriod
}

func (p *Pool) pollMember(ctx context.Context, m *member) {
	load, err := m.client.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.missReport(m, err)
		return
	}
	p.observe(m, load)
}

func (p *Pool) missReport(m *member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.missed++
	m.warmth.Break()
	if m.missed == reportsMissed {
		p.logger.Warn("endpoint-down", "endpoint", m.listing.ID, "error", err)
	}
	p.refresh(m)
}

// observe takes a report, from a poll or from a new connection.
func (p *Pool) observe(m *member, load *endpoint.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.missed >= reportsMissed {
		p.logger.Info("endpoint-up", "endpoint", m.listing.ID)
	}
	m.missed = 0
	m.load = *load
	m.reported = p.clock.Mono()
	m.view.Reported = load.InFlight
	m.view.OwnAtReport = m.view.Own
	if m.warmth.Report(load.Boot, load.Phase == endpoint.PhaseWarm) {
		p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", load.Phase, "boot", load.Boot)
	}
	p.refresh(m)
}

// refresh derives what routing sees; the caller holds the lock.
func (p *Pool) refresh(m *member) {
	v := m.view
	v.Leaving = m.listing.Presence == platform.PresenceLeaving || m.load.Phase == endpoint.PhaseLeaving
	v.Warm = m.warmth.Warm()
	v.Down = m.missed >= reportsMissed || m.warmth.Boot() == ""
	v.Slots = max(1, m.load.Slots)
	v.Ejected = m.ejected > p.clock.Mono()
}

// SetListing takes a new list: it adds and removes endpoints.
func (p *Pool) SetListing(listing *platform.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[routing.EndpointID]bool{}
	changed := false
	for _, l := range listing.Endpoints {
		id := routing.EndpointID(l.ID)
		listed[id] = true
		m := p.members[id]
		if m != nil && m.listing.URL == l.URL && serves(&m.listing) == serves(&l) && m.listing.Zone == l.Zone {
			m.listing = l
			p.refresh(m)
			continue
		}
		p.drop(id)
		p.add(l)
		changed = true
	}
	for id := range p.members {
		if !listed[id] {
			p.drop(id)
			changed = true
		}
	}
	if changed {
		p.reindex()
	}
	at := p.ZonePosition()
	p.index.SetHome(p.zone, at.Rank, at.Instances)
}

func serves(l *platform.EndpointListing) routing.Serves {
	return routing.Target{Version: l.Version, Service: l.Service}.Serves()
}

func (p *Pool) add(l platform.EndpointListing) {
	m := &member{listing: l, inFlight: map[*Dispatch]bool{}}
	m.view = &routing.Endpoint{ID: routing.EndpointID(l.ID), Zone: l.Zone, Serves: serves(&l), Slots: 1}
	m.client = p.connect(l, func(load *endpoint.Load) { p.observe(m, load) }, func(boot gate.BootID) { p.seeBoot(m, boot) })
	p.refresh(m)
	p.members[m.view.ID] = m
	p.follow(m)
}

func (p *Pool) drop(id routing.EndpointID) {
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

func (p *Pool) seeBoot(m *member, boot gate.BootID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.warmth.See(boot) {
		p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", endpoint.PhaseCold, "boot", boot)
	}
	p.refresh(m)
}
