package pool

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// Suspect is told of each request that was in flight when an endpoint died.
	Suspect func(quarantine.Suspicion)
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
		Suspect:      func(quarantine.Suspicion) {},
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

// Dispatch is one attempt at one endpoint.
type Dispatch struct {
	// Endpoint is the client of the chosen endpoint.
	Endpoint *endpoint.Endpoint
	ID       routing.EndpointID
	Zone     ticket.ZoneName
	Choice   routing.Choice
	// Cold is true if the dispatch needs a permit of the gate.
	Cold  bool
	Bears int

	member *member
	digest quarantine.Digest
	boot   gate.BootID
	alone  bool
}

// Begin chooses an endpoint and counts the attempt in flight. It checks the
// configuration at this moment, so call it right before the dispatch.
func (p *Pool) Begin(q *routing.Query, digest quarantine.Digest) (*Dispatch, routing.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice := p.index.Choose(q, p.random)
	if choice.Endpoint == nil {
		return nil, choice
	}
	return p.begin(p.members[choice.Endpoint.ID], choice, digest), choice
}

// BeginCold chooses an endpoint in cold start, for which the caller must get a
// permit; to warm one up it must be in the instance's own zone.
func (p *Pool) BeginCold(q *routing.Query, digest quarantine.Digest, reason routing.Reason) *Dispatch {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *routing.Endpoint
	looked := 0
	p.index.All(q.Target.Serves(), func(e *routing.Endpoint) {
		looked++
		usable := !e.Down && !e.Warm && !slices.Contains(q.Tried, e.ID)
		usable = usable && (reason != routing.ReasonWarmUp || e.Zone == p.zone)
		if !usable || routing.PermitDispatch(q.View, q.Fresh, q.Workspace, q.Target, e) != routing.Permitted {
			return
		}
		if best == nil || e.Zone == q.Fresh.Zone && best.Zone != q.Fresh.Zone || e.Zone == best.Zone && e.Load() < best.Load() {
			best = e
		}
	})
	if best == nil {
		return nil
	}
	d := p.begin(p.members[best.ID], routing.Choice{Endpoint: best, Reason: reason, Considered: looked}, digest)
	d.Cold = true
	return d
}

func (p *Pool) begin(m *member, choice routing.Choice, digest quarantine.Digest) *Dispatch {
	d := &Dispatch{
		Endpoint: m.client,
		ID:       m.view.ID,
		Zone:     m.view.Zone,
		Choice:   choice,
		Bears:    max(1, m.load.Bears),
		member:   m,
		digest:   digest,
		boot:     m.warmth.Boot(),
		alone:    m.view.Load() == 0,
	}
	m.inFlight[d] = true
	m.view.Own++
	for other := range m.inFlight {
		other.alone = other.alone && len(m.inFlight) == 1
	}
	return d
}

// End counts the attempt out and draws conclusions from its result.
func (p *Pool) End(d *Dispatch, err error) {
	kind := fault.KindOf[endpoint.Kind](err)
	p.mu.Lock()
	m := d.member
	delete(m.inFlight, d)
	m.view.Own--
	p.judgeFailure(m, kind)
	p.refresh(m)
	p.mu.Unlock()
	if kind == endpoint.KindBroken {
		crash := quarantine.Crash(string(d.ID) + "/" + string(d.boot))
		p.Suspect(quarantine.Suspicion{Digest: d.digest, Crash: crash, Alone: d.alone})
	}
}

func (p *Pool) judgeFailure(m *member, kind endpoint.Kind) {
	switch kind {
	case "":
		m.failures = 0
		return
	case endpoint.KindCanceled, endpoint.KindRefused:
		return
	case endpoint.KindBroken, endpoint.KindNotSent:
		if m.warmth.Break() {
			p.logger.Info("endpoint-warmth", "endpoint", m.listing.ID, "phase", endpoint.PhaseCold, "cause", kind)
		}
	}
	m.failures++
	if m.failures >= ejectAfter && p.mayEject(m) {
		m.ejected = p.clock.Mono() + ejectFor
		m.failures = 0
		p.logger.Warn("endpoint-ejected", "endpoint", m.listing.ID, "for-ms", ejectFor)
	}
}

func (p *Pool) mayEject(m *member) bool {
	total, ejected := 0, 1
	now := p.clock.Mono()
	for _, other := range p.members {
		if other.view.Serves != m.view.Serves {
			continue
		}
		total++
		if other.ejected > now {
			ejected++
		}
	}
	return float64(ejected) <= ejectShare*float64(total)
}

// Slots sums the usable slots for what is served.
func (p *Pool) Slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, m := range p.members {
		if m.listing.Kind == platform.EndpointEngine && !m.view.Down && !m.view.Leaving {
			total += m.view.Slots
		}
	}
	return total
}

// Serving reports whether an endpoint that is up serves s.
func (p *Pool) Serving(s routing.Serves) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	p.index.All(s, func(e *routing.Endpoint) { found = found || !e.Down && !e.Leaving })
	return found
}

// Status describes an endpoint for operators.
type Status struct {
	Listing   platform.EndpointListing
	Phase     endpoint.Phase
	Down      bool
	Ejected   bool
	InFlight  int
	ReportAge clock.Millis
}

// Statuses describes all endpoints.
func (p *Pool) Statuses() []Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, Status{
			Listing:   m.listing,
			Phase:     m.load.Phase,
			Down:      m.view.Down,
			Ejected:   m.ejected > now,
			InFlight:  m.view.Own,
			ReportAge: now - m.reported,
		})
	}
	return list
}

// ZoneEngines returns the reports and clients of a zone's engines, for orders.
func (p *Pool) ZoneEngines(zone ticket.ZoneName) []Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var engines []Engine
	for _, m := range p.members {
		if m.listing.Zone == zone && m.listing.Kind == platform.EndpointEngine && !m.view.Down {
			engines = append(engines, Engine{Listing: m.listing, Load: m.load, Client: m.client})
		}
	}
	return engines
}

// Engine is a model engine with its last report.
type Engine struct {
	Listing platform.EndpointListing
	Load    endpoint.Load
	Client  *endpoint.Endpoint
}
