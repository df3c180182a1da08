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
	id        routing.EndpointID
	startedAt clock.Millis
}

// pool holds what this instance knows of one service's endpoints.
type pool struct {
	states []*placement.State
	// failures is the share of all runs that failed.
	failures    placement.Average
	retryBudget share.Retries
}

// endpointTracker holds the pools of all services. Its methods take the lock.
type endpointTracker struct {
	clock  *clock.Clock
	logger hclog.Logger
	limits *atomic.Pointer[Limits]
	// instances returns how many instances share the fleet's limits.
	instances func() int

	mu          sync.Mutex
	random      *rand.Rand
	viewVersion uint64
	pools       map[ticket.ServiceName]*pool
	byKey       map[endpointKey]*placement.State
	// delays holds the usual time to the first byte of each kind of work.
	delays map[delayKey]*placement.Average
	// paces holds the usual time between events of each model.
	paces map[ticket.ModelName]*paceBaseline
	// routeFailures holds the usual share of failures on each route.
	routeFailures map[catalog.RouteName]*placement.Average
	// sizes holds the mean size of each route's requests.
	sizes map[catalog.RouteName]*placement.Average
	// zones is what is known of the way to each zone.
	zones map[ticket.ZoneName]*zoneStatus
}

// zoneStatus counts the endpoints of a zone that could not be reached in a row.
type zoneStatus struct {
	consecutiveFailures int
	backoffUntil        clock.Millis
}

const (
	// zoneFailureThreshold is how many endpoints in a row show that a zone is cut off.
	zoneFailureThreshold = 3
	// zoneBackoff is how long the zone is then left alone; it doubles with each
	// further miss up to longestCut.
	zoneBackoff    = clock.Second
	maxZoneBackoff = 4 * clock.Second
)

type delayKey struct {
	route catalog.RouteName
	model ticket.ModelName
}

func newEndpointTracker(c *clock.Clock, logger hclog.Logger, limits *atomic.Pointer[Limits], random *rand.Rand) *endpointTracker {
	return &endpointTracker{
		clock: c, logger: logger, limits: limits, random: random,
		instances:     func() int { return 1 },
		pools:         map[ticket.ServiceName]*pool{},
		byKey:         map[endpointKey]*placement.State{},
		delays:        map[delayKey]*placement.Average{},
		paces:         map[ticket.ModelName]*paceBaseline{},
		routeFailures: map[catalog.RouteName]*placement.Average{},
		sizes:         map[catalog.RouteName]*placement.Average{},
		zones:         map[ticket.ZoneName]*zoneStatus{},
	}
}

// syncView follows the view; the caller holds the lock.
func (e *endpointTracker) syncView(view *registry.State, now clock.Millis) {
	if view.Version == e.viewVersion {
		return
	}
	e.viewVersion = view.Version
	byKey := map[endpointKey]*placement.State{}
	for name, list := range view.Endpoints {
		p := e.pool(name)
		p.states = p.states[:0]
		for _, endpoint := range list {
			key := endpointKey{endpoint.ID, endpoint.Born}
			s := e.byKey[key]
			if s == nil {
				s = placement.NewState(endpoint, now, e.random.Float64())
			}
			if endpoint.Cold > 0 && (s.Endpoint != endpoint || s.ColdUntil == 0) {
				s.ColdUntil = max(s.ColdUntil, now+endpoint.Cold)
			}
			s.ColdUntil = max(s.ColdUntil, view.Chilled[endpoint.Zone])
			s.Endpoint = endpoint
			byKey[key] = s
			p.states = append(p.states, s)
		}
	}
	for name, p := range e.pools {
		if len(view.Endpoints[name]) == 0 {
			p.states = nil
		}
	}
	e.byKey = byKey
}

func (e *endpointTracker) pool(name ticket.ServiceName) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{retryBudget: share.Retries{Ratio: e.limits.Load().RetryRatio * retryRatioShare, Span: e.limits.Load().RetryWindow}}
		e.pools[name] = p
	}
	return p
}

const (
	// fleetLimitShare is the part of a fleet limit that is used, so that windows that
	// are counted apart stay below it together.
	fleetLimitShare = 0.8
	// retryRatioShare is the same for a limit that grows with the requests: those of
	// all instances add up, only the windows differ.
	retryRatioShare = 0.9
)

// choose picks an endpoint and counts the request there.
func (e *endpointTracker) choose(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.prepareQuery(view, service, q)
	choice := placement.Choose(p.states, q, e.random)
	if choice.State != nil && !q.Begin(choice.State) {
		choice.State, choice.Endpoint, choice.Reason = nil, nil, routing.ReasonCold
	}
	return choice
}

// peek returns how an endpoint choice would go, without counting anything.
func (e *endpointTracker) peek(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placement.Choose(e.prepareQuery(view, service, q).states, q, e.random)
}

// promptRead notes that the endpoint has read a request's prompt.
func (e *endpointTracker) promptRead(s *placement.State, parts []placement.Part, model ticket.ModelName, unreadTokens *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Reading -= *unreadTokens
	*unreadTokens = 0
	s.Keep(parts, model, e.clock.Mono())
}

// requestEnded takes a request off an endpoint.
func (e *endpointTracker) requestEnded(s *placement.State, unreadTokens *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Own--
	s.Reading -= *unreadTokens
	*unreadTokens = 0
}

// recordResponse notes an answer's head.
func (e *endpointTracker) recordResponse(s *placement.State, service *catalog.Service, load *placement.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	*e.zoneStatus(s.Endpoint.Zone) = zoneStatus{}
	if s.Hear(now) && service.ColdSpan > 0 {
		// An endpoint that was out of reach may have started anew.
		s.Forget()
	}
	if load != nil {
		s.Report(*load, now)
	}
}

func (e *endpointTracker) zoneStatus(name ticket.ZoneName) *zoneStatus {
	z := e.zones[name]
	if z == nil {
		z = &zoneStatus{}
		e.zones[name] = z
	}
	return z
}

// prepareQuery completes a query with what this instance knows; the caller holds the lock.
func (e *endpointTracker) prepareQuery(view *registry.State, service *catalog.Service, q *placement.Query) *pool {
	q.Now = e.clock.Mono()
	e.syncView(view, q.Now)
	q.ColdRate = fleetLimitShare * service.ColdRate / float64(max(1, e.instances()))
	q.CutOff = func(zone ticket.ZoneName) bool {
		z := e.zones[zone]
		return z != nil && zone != q.Zone && q.Now < z.backoffUntil
	}
	return e.pool(service.Name)
}

// recordActivity notes that any byte came from the endpoint.
func (e *endpointTracker) recordActivity(s *placement.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.LastHeard = e.clock.Mono()
}

// lastActivity returns when any byte last came from the endpoint.
func (e *endpointTracker) lastActivity(s *placement.State) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.LastHeard
}

// markUnreachable notes that the endpoint could not be reached or fell silent.
func (e *endpointTracker) markUnreachable(s *placement.State, kind Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	wasDown := s.Down(now)
	s.Fail(now)
	z := e.zoneStatus(s.Endpoint.Zone)
	if kind == KindRefused {
		*z = zoneStatus{} // The machine answered, so there is a way to its zone.
	}
	if !wasDown && kind == KindNotSent {
		z.consecutiveFailures++
		if z.consecutiveFailures >= zoneFailureThreshold {
			backoff := min(maxZoneBackoff, zoneBackoff<<min(z.consecutiveFailures-zoneFailureThreshold, 4))
			z.backoffUntil = now + backoff
			e.logger.Info("zone-out", "zone", s.Endpoint.Zone, "misses", z.consecutiveFailures, "ms", int64(backoff))
		}
	}
	if !wasDown {
		e.logger.Info("endpoint-out", "endpoint", s.Endpoint.ID, "address", s.Endpoint.Address, "why", kind, "heard-ms", int64(now-s.LastHeard))
	}
}

// minExcessFailures is the share of failures above twice the usual from which an
// endpoint counts as sick.
const (
	minExcessFailures = 0.2
	minExcessRuns     = 5
)

// recordOutcome counts a run for the endpoint and its route.
func (e *endpointTracker) recordOutcome(s *placement.State, route *catalog.Route, service ticket.ServiceName, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	}
	usualFailures := averageFor(e.routeFailures, route.Name, placement.Average{Mean: initialFailureShare, Count: initialFailureWeight})
	updateAverage(usualFailures, value, routeFailureWindow)
	if failed {
		s.Fault(usualFailures.Mean < rareFailureShare, e.clock.Mono())
	}
	p := e.pool(service)
	s.Failures.Add(value)
	updateAverage(&p.failures, value, failureWindow)
	s.Excess = 0
	if s.Failures.Count >= minExcessRuns {
		s.Excess = max(0, s.Failures.Mean-2*p.failures.Mean-minExcessFailures)
	}
}

const (
	// rareFailureShare is the share of failures on a route below which one is more likely
	// the endpoint's fault than the request's.
	rareFailureShare = 0.08
	// initialFailureShare is the share assumed on a new route, by the weight of assumedRuns.
	initialFailureShare  = 0.02
	initialFailureWeight = 40
)

// failureInconclusive reports whether a failure says little about the request: the endpoint
// fails more often than its peers, or requests of the route hardly ever fail. An
// instance of many sees an endpoint too seldom to know the first.
func (e *endpointTracker) failureInconclusive(s *placement.State, route catalog.RouteName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usualFailures := e.routeFailures[route]
	return s.Excess > 0 || usualFailures == nil || usualFailures.Mean < rareFailureShare
}

const (
	// slowDelayFactor and slowFloor say how much longer than usual an answer takes
	// that counts as slow.
	slowDelayFactor = 3.5
	slowDelayMargin = 150.0
	// minBaselineRuns is how many runs make a usual delay.
	minBaselineRuns = 10
	// delayWindow, failureRuns and usualFailureRuns are how many runs those means look
	// back on; the last outlasts the faults of endpoints.
	delayWindow        = 16
	failureWindow      = 200
	routeFailureWindow = 500
)

// recordDelay takes the time to the first byte of a run, and reports whether it was
// slow for its kind of work. Only runs of the usual release set the measure.
func (e *endpointTracker) recordDelay(s *placement.State, key delayKey, delay clock.Millis, baseline bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := averageFor(e.delays, key, placement.Average{})
	slow := a.Count >= minBaselineRuns && float64(delay) > slowDelayFactor*a.Mean+slowDelayMargin
	if a.Count >= minBaselineRuns {
		s.Delay.Add(float64(delay) / max(1, a.Mean))
	}
	if baseline {
		updateAverage(a, float64(delay), delayWindow)
	}
	return slow
}

// expectedDelay returns the usual time to the first byte, or 0 if it is not known.
func (e *endpointTracker) expectedDelay(key delayKey) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.delays[key]; a != nil && a.Count >= minBaselineRuns {
		return clock.Millis(a.Mean)
	}
	return 0
}

// localInFlight returns this instance's requests at endpoints, with what failed runs count for.
func (e *endpointTracker) localInFlight() map[routing.EndpointID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	counts := map[routing.EndpointID]int{}
	for key, s := range e.byKey {
		if n := s.Told(now); n > 0 {
			counts[key.id] += n
		}
	}
	return counts
}

// InFlight returns the requests of all instances at the endpoints of a release.
func (f *Forwarder) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	return f.endpoints.inFlight(service, release)
}

func (e *endpointTracker) inFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	counts := map[routing.EndpointID]int{}
	for _, s := range e.pool(service).states {
		if n := s.Occupied(now); s.Endpoint.Release == release && n > 0 {
			counts[s.Endpoint.ID] = n
		}
	}
	return counts
}

// setRemoteInFlight takes the requests of all other instances at endpoints.
func (e *endpointTracker) setRemoteInFlight(counts map[routing.EndpointID]int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	for key, s := range e.byKey {
		s.Others(counts[key.id], now)
	}
}

// averageFor returns a key's mean; one that is not known yet begins as first.
func averageFor[K comparable](means map[K]*placement.Average, key K, initial placement.Average) *placement.Average {
	a := means[key]
	if a == nil {
		a = &initial
		means[key] = a
	}
	return a
}

// updateAverage moves a mean towards a value, by the weight of one of so many runs.
func updateAverage(a *placement.Average, value float64, window int) {
	a.Count++
	a.Mean += (value - a.Mean) / float64(min(a.Count, window))
}

// sizeWindow is how many runs that mean looks back on.
const sizeWindow = 500

// countRequest counts a request of a service.
func (e *endpointTracker) countRequest(service ticket.ServiceName, route catalog.RouteName, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool(service).retryBudget.Note(e.clock.Mono())
	a := averageFor(e.sizes, route, placement.Average{})
	updateAverage(a, float64(size), sizeWindow)
}

// meanSize returns the mean size of a route's requests.
func (e *endpointTracker) meanSize(route catalog.RouteName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.sizes[route]; a != nil {
		return a.Mean
	}
	return 0
}

// retryBudget returns a service's budget with this instance's present part of the
// fleet's slack; the caller holds the lock.
func (e *endpointTracker) retryBudget(service ticket.ServiceName) *share.Retries {
	p := e.pool(service)
	p.retryBudget.Slack = e.limits.Load().RetrySlack * fleetLimitShare / float64(max(1, e.instances()))
	return &p.retryBudget
}

// takeRetry spends one repeat of this instance's part of the fleet's budget.
func (e *endpointTracker) takeRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Take(e.clock.Mono())
}

// hasSpareRetry reports whether enough of the budget is left for a repeat that could
// be done without.
func (e *endpointTracker) hasSpareRetry(service ticket.ServiceName) bool {
	return e.retryBudgetLeft(service) > retryReserve
}

// retryBudgetLeft returns the part of this instance's budget that is left.
func (e *endpointTracker) retryBudgetLeft(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Left(e.clock.Mono())
}

// retryReserve is the part of the budget kept for repeats after failures.
const retryReserve = 0.2

// hasRetry reports whether takeRetry would succeed.
func (e *endpointTracker) hasRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Has(e.clock.Mono())
}
