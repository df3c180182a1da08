package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

type endpointKey struct {
	id   routing.EndpointID
	born clock.Millis
}

// pool holds what this instance knows of one service's endpoints.
type pool struct {
	states []*placement.State
	// failures is the share of all runs that failed.
	failures placement.MovingAverage
	retries  share.RetryBudget
}

// endpoints holds the pools of all services. Its methods take the lock.
type endpoints struct {
	clock  *clock.Clock
	logger hclog.Logger
	limits *atomic.Pointer[Limits]
	// instances returns how many instances share the fleet's limits.
	instances func() int

	mu      sync.Mutex
	random  *rand.Rand
	version uint64
	pools   map[ticket.ServiceName]*pool
	known   map[endpointKey]*placement.State
	// delays holds the usual time to the first byte of each kind of work.
	delays map[delayKey]*placement.MovingAverage
	// paces holds the usual time between events of each model.
	paces map[ticket.ModelName]*pace
	// failing holds the usual share of failures on each route.
	failing map[catalog.RouteName]*placement.MovingAverage
	// sizes holds the mean size of each route's requests.
	sizes map[catalog.RouteName]*placement.MovingAverage
	// reach is what is known of the way to each zone.
	reach map[ticket.ZoneName]*reach
}

// reach counts the endpoints of a zone that could not be reached in a row.
type reach struct {
	misses int
	until  clock.Millis
}

const (
	// cutMisses is how many endpoints in a row show that a zone is cut off.
	cutMisses = 3
	// cutPause is how long the zone is then left alone; it doubles with each
	// further miss up to longestCut.
	cutPause   = clock.Second
	longestCut = 4 * clock.Second
)

type delayKey struct {
	route catalog.RouteName
	model ticket.ModelName
}

func newEndpoints(c *clock.Clock, logger hclog.Logger, limits *atomic.Pointer[Limits], random *rand.Rand) *endpoints {
	return &endpoints{
		clock: c, logger: logger, limits: limits, random: random,
		instances: func() int { return 1 },
		pools:     map[ticket.ServiceName]*pool{},
		known:     map[endpointKey]*placement.State{},
		delays:    map[delayKey]*placement.MovingAverage{},
		paces:     map[ticket.ModelName]*pace{},
		failing:   map[catalog.RouteName]*placement.MovingAverage{},
		sizes:     map[catalog.RouteName]*placement.MovingAverage{},
		reach:     map[ticket.ZoneName]*reach{},
	}
}

// sync follows the view; the caller holds the lock.
func (e *endpoints) sync(view *registry.State, now clock.Millis) {
	if view.Version == e.version {
		return
	}
	e.version = view.Version
	known := map[endpointKey]*placement.State{}
	for name, list := range view.Endpoints {
		p := e.pool(name)
		p.states = p.states[:0]
		for _, endpoint := range list {
			key := endpointKey{endpoint.ID, endpoint.StartedAt}
			s := e.known[key]
			if s == nil {
				s = placement.NewState(endpoint, now, e.random.Float64())
			}
			if endpoint.ColdFor > 0 && (s.Endpoint != endpoint || s.ColdUntil == 0) {
				s.ColdUntil = max(s.ColdUntil, now+endpoint.ColdFor)
			}
			s.ColdUntil = max(s.ColdUntil, view.ZoneColdUntil[endpoint.Zone])
			s.Endpoint = endpoint
			known[key] = s
			p.states = append(p.states, s)
		}
	}
	for name, p := range e.pools {
		if len(view.Endpoints[name]) == 0 {
			p.states = nil
		}
	}
	e.known = known
}

func (e *endpoints) pool(name ticket.ServiceName) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{retries: share.RetryBudget{Ratio: e.limits.Load().RetryRatio * ratioPart, WindowLength: e.limits.Load().RetryWindow}}
		e.pools[name] = p
	}
	return p
}

const (
	// ownPart is the part of a fleet limit that is used, so that windows that
	// are counted apart stay below it together.
	ownPart = 0.8
	// ratioPart is the same for a limit that grows with the requests: those of
	// all instances add up, only the windows differ.
	ratioPart = 0.9
)

// choose picks an endpoint and counts the request there.
func (e *endpoints) choose(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.prepare(view, service, q)
	choice := placement.Choose(p.states, q, e.random)
	if choice.State != nil && !q.Acquire(choice.State) {
		choice.State, choice.Endpoint, choice.Reason = nil, nil, routing.ReasonCold
	}
	return choice
}

// peek returns how an endpoint choice would go, without counting anything.
func (e *endpoints) peek(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placement.Choose(e.prepare(view, service, q).states, q, e.random)
}

// begun notes that the endpoint has read a request's prompt.
func (e *endpoints) begun(s *placement.State, parts []placement.Part, model ticket.ModelName, reading *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.PrefillTokens -= *reading
	*reading = 0
	s.RecordCached(parts, model, e.clock.Mono())
}

// ended takes a request off an endpoint.
func (e *endpoints) ended(s *placement.State, reading *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.OwnInFlight--
	s.PrefillTokens -= *reading
	*reading = 0
}

// heard notes an answer's head.
func (e *endpoints) heard(s *placement.State, service *catalog.Service, load *placement.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	*e.zone(s.Endpoint.Zone) = reach{}
	if s.MarkReachable(now) && service.ColdDuration > 0 {
		// An endpoint that was out of reach may have started anew.
		s.ClearCached()
	}
	if load != nil {
		s.SetReportedLoad(*load, now)
	}
}

func (e *endpoints) zone(name ticket.ZoneName) *reach {
	z := e.reach[name]
	if z == nil {
		z = &reach{}
		e.reach[name] = z
	}
	return z
}

// prepare completes a query with what this instance knows; the caller holds the lock.
func (e *endpoints) prepare(view *registry.State, service *catalog.Service, q *placement.Query) *pool {
	q.Now = e.clock.Mono()
	e.sync(view, q.Now)
	q.ColdRate = ownPart * service.ColdRate / float64(max(1, e.instances()))
	q.ZoneUnreachable = func(zone ticket.ZoneName) bool {
		z := e.reach[zone]
		return z != nil && zone != q.Zone && q.Now < z.until
	}
	return e.pool(service.Name)
}

// touched notes that any byte came from the endpoint.
func (e *endpoints) touched(s *placement.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.LastReceived = e.clock.Mono()
}

// lastHeard returns when any byte last came from the endpoint.
func (e *endpoints) lastHeard(s *placement.State) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.LastReceived
}

// lost notes that the endpoint could not be reached or fell silent.
func (e *endpoints) lost(s *placement.State, why Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	was := s.InBackoff(now)
	s.MarkUnreachable(now)
	z := e.zone(s.Endpoint.Zone)
	if why == KindRefused {
		*z = reach{} // The machine answered, so there is a way to its zone.
	}
	if !was && why == KindNotSent {
		z.misses++
		if z.misses >= cutMisses {
			pause := min(longestCut, cutPause<<min(z.misses-cutMisses, 4))
			z.until = now + pause
			e.logger.Info("zone-out", "zone", s.Endpoint.Zone, "misses", z.misses, "ms", int64(pause))
		}
	}
	if !was {
		e.logger.Info("endpoint-out", "endpoint", s.Endpoint.ID, "address", s.Endpoint.Address, "why", why, "heard-ms", int64(now-s.LastReceived))
	}
}

// excessFloor is the share of failures above twice the usual from which an
// endpoint counts as sick.
const (
	excessFloor = 0.2
	excessRuns  = 5
)

// rate counts a run for the endpoint and its route.
func (e *endpoints) rate(s *placement.State, route *catalog.Route, service ticket.ServiceName, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	}
	usual := average(e.failing, route.Name, placement.MovingAverage{Mean: assumedFailure, Count: assumedRuns})
	smooth(usual, value, usualFailureRuns)
	if failed {
		s.RecordFailure(usual.Mean < rareFailure, e.clock.Mono())
	}
	p := e.pool(service)
	s.FailureRate.Add(value)
	smooth(&p.failures, value, failureRuns)
	s.ExcessFailureRate = 0
	if s.FailureRate.Count >= excessRuns {
		s.ExcessFailureRate = max(0, s.FailureRate.Mean-2*p.failures.Mean-excessFloor)
	}
}

const (
	// rareFailure is the share of failures on a route below which one is more likely
	// the endpoint's fault than the request's.
	rareFailure = 0.08
	// assumedFailure is the share assumed on a new route, by the weight of assumedRuns.
	assumedFailure = 0.02
	assumedRuns    = 40
)

// doubtful reports whether a failure says little about the request: the endpoint
// fails more often than its peers, or requests of the route hardly ever fail. An
// instance of many sees an endpoint too seldom to know the first.
func (e *endpoints) doubtful(s *placement.State, route catalog.RouteName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usual := e.failing[route]
	return s.ExcessFailureRate > 0 || usual == nil || usual.Mean < rareFailure
}

const (
	// slowFactor and slowFloor say how much longer than usual an answer takes
	// that counts as slow.
	slowFactor = 3.5
	slowFloor  = 150.0
	// usualRuns is how many runs make a usual delay.
	usualRuns = 10
	// delayRuns, failureRuns and usualFailureRuns are how many runs those means look
	// back on; the last outlasts the faults of endpoints.
	delayRuns        = 16
	failureRuns      = 200
	usualFailureRuns = 500
)

// delay takes the time to the first byte of a run, and reports whether it was
// slow for its kind of work. Only runs of the usual release set the measure.
func (e *endpoints) delay(s *placement.State, key delayKey, span clock.Millis, usual bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := average(e.delays, key, placement.MovingAverage{})
	slow := a.Count >= usualRuns && float64(span) > slowFactor*a.Mean+slowFloor
	if a.Count >= usualRuns {
		s.LatencyRatio.Add(float64(span) / max(1, a.Mean))
	}
	if usual {
		smooth(a, float64(span), delayRuns)
	}
	return slow
}

// expected returns the usual time to the first byte, or 0 if it is not known.
func (e *endpoints) expected(key delayKey) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.delays[key]; a != nil && a.Count >= usualRuns {
		return clock.Millis(a.Mean)
	}
	return 0
}

// own returns this instance's requests at endpoints, with what failed runs count for.
func (e *endpoints) own() map[routing.EndpointID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	counts := map[routing.EndpointID]int{}
	for key, s := range e.known {
		if n := s.AdvertisedLoad(now); n > 0 {
			counts[key.id] += n
		}
	}
	return counts
}

// InFlight returns the requests of all instances at the endpoints of a release.
func (f *Forwarder) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	return f.endpoints.occupied(service, release)
}

func (e *endpoints) occupied(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	counts := map[routing.EndpointID]int{}
	for _, s := range e.pool(service).states {
		if n := s.InFlight(now); s.Endpoint.Release == release && n > 0 {
			counts[s.Endpoint.ID] = n
		}
	}
	return counts
}

// others takes the requests of all other instances at endpoints.
func (e *endpoints) others(counts map[routing.EndpointID]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	for key, s := range e.known {
		s.SetPeerLoad(counts[key.id], now)
	}
}

// average returns a key's mean; one that is not known yet begins as first.
func average[K comparable](means map[K]*placement.MovingAverage, key K, first placement.MovingAverage) *placement.MovingAverage {
	a := means[key]
	if a == nil {
		a = &first
		means[key] = a
	}
	return a
}

// smooth moves a mean towards a value, by the weight of one of so many runs.
func smooth(a *placement.MovingAverage, value float64, runs int) {
	a.Count++
	a.Mean += (value - a.Mean) / float64(min(a.Count, runs))
}

// sizeRuns is how many runs that mean looks back on.
const sizeRuns = 500

// note counts a request of a service.
func (e *endpoints) note(service ticket.ServiceName, route catalog.RouteName, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool(service).retries.AddRequest(e.clock.Mono())
	a := average(e.sizes, route, placement.MovingAverage{})
	smooth(a, float64(size), sizeRuns)
}

// meanSize returns the mean size of a route's requests.
func (e *endpoints) meanSize(route catalog.RouteName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.sizes[route]; a != nil {
		return a.Mean
	}
	return 0
}

// retries returns a service's budget with this instance's present part of the
// fleet's slack; the caller holds the lock.
func (e *endpoints) retries(service ticket.ServiceName) *share.RetryBudget {
	p := e.pool(service)
	p.retries.Slack = e.limits.Load().RetrySlack * ownPart / float64(max(1, e.instances()))
	return &p.retries
}

// takeRetry spends one repeat of this instance's part of the fleet's budget.
func (e *endpoints) takeRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Take(e.clock.Mono())
}

// hasSpare reports whether enough of the budget is left for a repeat that could
// be done without.
func (e *endpoints) hasSpare(service ticket.ServiceName) bool {
	return e.budget(service) > sparePart
}

// budget returns the part of this instance's budget that is left.
func (e *endpoints) budget(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Remaining(e.clock.Mono())
}

// sparePart is the part of the budget kept for repeats after failures.
const sparePart = 0.2

// hasRetry reports whether takeRetry would succeed.
func (e *endpoints) hasRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Available(e.clock.Mono())
}
