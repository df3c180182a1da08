package forward

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// endpointKey identifies one run of an endpoint: a restarted one has another start time.
type endpointKey struct {
	id        routing.EndpointID
	startedAt clock.Millis
}

// pool holds what this instance knows about one service's endpoints.
type pool struct {
	states []*placement.State
	// failures is the moving share of failed runs over all endpoints.
	failures    placement.MovingAverage
	retryBudget share.RetryBudget
	// runTime is the mean time of a run in milliseconds. packableTime is the same with the
	// time of runs that may not be packed taken as 0.
	runTime, packableTime placement.MovingAverage
}

const (
	// runTimeWindow is how many runs the mean times cover.
	runTimeWindow = 200
	// assumedPackableShare is the packable share before any run has ended.
	assumedPackableShare = 0.6
	// assumedRunTime is the mean time of a run before any has ended.
	assumedRunTime = 500 * clock.Millis(1)
)

// addTime counts the time of a run that has ended.
func (p *pool) addTime(took clock.Millis, packable bool) {
	updateAverage(&p.runTime, float64(took), runTimeWindow)
	if !packable {
		took = 0
	}
	updateAverage(&p.packableTime, float64(took), runTimeWindow)
}

// meanRunTime returns the mean time of a run.
func (p *pool) meanRunTime() clock.Millis {
	if p.runTime.Count == 0 {
		return assumedRunTime
	}
	return clock.Millis(p.runTime.Mean)
}

// packableShare returns the share of a service's in-flight requests that may be packed.
func (e *endpointTracker) packableShare(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.pool(service)
	if p.runTime.Mean <= 0 {
		return assumedPackableShare
	}
	return p.packableTime.Mean / p.runTime.Mean
}

// endpointTracker tracks the endpoints, retry budgets and usual delays of all services.
// Its methods take the lock unless stated otherwise.
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
	// delays holds the usual time to the first byte for each route and model.
	delays map[delayKey]*delayBaseline
	// paces holds the usual time between stream events for each model.
	paces map[ticket.ModelName]*paceBaseline
	// routeFailures holds the usual share of failed runs on each route.
	routeFailures map[catalog.RouteName]*placement.MovingAverage
	// sizes holds the mean size of each route's requests.
	sizes map[catalog.RouteName]*routeSize
	// zones holds the reachability of each zone.
	zones map[ticket.ZoneName]*zoneStatus
	// leaving holds when each run of an endpoint was last said to be leaving, and heldOff the
	// endpoints that want no requests for some time.
	leaving map[endpointKey]clock.Millis
	heldOff []*placement.State
	// parts counts the requests by shared part.
	parts placement.PartRates
}

// zoneStatus counts a zone's endpoints that could not be reached in a row, and holds
// the end of the resulting backoff.
type zoneStatus struct {
	consecutiveFailures int
	backoffUntil        clock.Millis
}

const (
	// zoneFailureThreshold is how many unreachable endpoints in a row indicate that a
	// zone is cut off.
	zoneFailureThreshold = 3
	// zoneBackoff is how long the zone is then avoided. It doubles with each further
	// failure up to maxZoneBackoff.
	zoneBackoff    = clock.Second
	maxZoneBackoff = 4 * clock.Second
)

// delayKey identifies a kind of work with its own usual delay.
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
		delays:        map[delayKey]*delayBaseline{},
		paces:         map[ticket.ModelName]*paceBaseline{},
		routeFailures: map[catalog.RouteName]*placement.MovingAverage{},
		sizes:         map[catalog.RouteName]*routeSize{},
		zones:         map[ticket.ZoneName]*zoneStatus{},
		leaving:       map[endpointKey]clock.Millis{},
	}
}

// syncView updates the pools to a new view; the caller holds the lock.
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
			key := endpointKey{endpoint.ID, endpoint.StartedAt}
			s := e.byKey[key]
			if s == nil {
				s = placement.NewState(endpoint, now, e.random.Float64())
				if _, leaving := e.leaving[key]; leaving {
					s.MarkLeaving()
				}
			}
			if endpoint.ColdFor > 0 && (s.Endpoint != endpoint || s.ColdUntil == 0) {
				s.ColdUntil = max(s.ColdUntil, now+endpoint.ColdFor)
			}
			s.ColdUntil = max(s.ColdUntil, view.ZoneColdUntil[endpoint.Zone])
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
	e.pruneLeaving(now)
}

func (e *endpointTracker) pool(name ticket.ServiceName) *pool {
	p := e.pools[name]
	if p == nil {
		p = &pool{retryBudget: share.RetryBudget{Ratio: e.limits.Load().RetryRatio * retryRatioShare, WindowLength: e.limits.Load().RetryWindow, Rounding: e.random.Float64()}}
		e.pools[name] = p
	}
	return p
}

const (
	// retryRatioShare is share.FleetShare for a limit proportional to the number of requests.
	// The requests of all instances add up exactly and only the windows differ, so the
	// margin is smaller.
	retryRatioShare = 0.9
)

// choose picks an endpoint and counts the request there.
func (e *endpointTracker) choose(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.prepareQuery(view, service, q)
	choice := placement.Choose(p.states, q, e.random)
	if choice.State != nil && !q.Acquire(choice.State) {
		choice.State, choice.Endpoint, choice.Reason = nil, nil, routing.ReasonCold
	}
	return choice
}

// peek returns what choose would pick, without counting anything.
func (e *endpointTracker) peek(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placement.Choose(e.prepareQuery(view, service, q).states, q, e.random)
}

// promptRead records that the endpoint has read a request's prompt.
func (e *endpointTracker) promptRead(s *placement.State, parts []placement.Part, model ticket.ModelName, prefillTokens *float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.PrefillTokens -= *prefillTokens
	*prefillTokens = 0
	s.RecordCached(parts, model, e.clock.Mono())
}

// requestEnded removes a run from its endpoint's in-flight requests.
func (e *endpointTracker) requestEnded(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.state.OwnInFlight--
	r.state.PrefillTokens -= r.prefillTokens
	r.prefillTokens = 0
	e.pool(r.task.service.Name).addTime(e.clock.Mono()-r.sentAt, r.packable)
}

// recordResponse records that response headers arrived.
func (e *endpointTracker) recordResponse(s *placement.State, service *catalog.Service, load *placement.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	*e.zoneStatusOf(s.Endpoint.Zone) = zoneStatus{}
	if s.MarkReachable(now) && service.ColdDuration > 0 {
		// An endpoint that was unreachable may have restarted, with an empty cache.
		s.ClearCached()
	}
	if load != nil {
		s.SetReportedLoad(*load, now)
	}
}

func (e *endpointTracker) zoneStatusOf(name ticket.ZoneName) *zoneStatus {
	z := e.zones[name]
	if z == nil {
		z = &zoneStatus{}
		e.zones[name] = z
	}
	return z
}

// prepareQuery completes a query from this instance's state; the caller holds the lock.
func (e *endpointTracker) prepareQuery(view *registry.State, service *catalog.Service, q *placement.Query) *pool {
	q.Now = e.clock.Mono()
	e.syncView(view, q.Now)
	e.endHolds(q.Now)
	instances := max(1, e.instances())
	q.ColdRate = share.FleetShare * service.ColdRate / float64(instances)
	q.ZoneUnreachable = func(zone ticket.ZoneName) bool {
		z := e.zones[zone]
		return z != nil && zone != q.Zone && q.Now < z.backoffUntil
	}
	p := e.pool(service.Name)
	if instances > 1 {
		q.Arrivals = max(1, placement.StaleArrivals(p.states, p.meanRunTime(), instances, q.Now))
	}
	return p
}

// countPart counts a request by its shared part and returns how many endpoints should share
// that part.
func (e *endpointTracker) countPart(service ticket.ServiceName, parts []placement.Part) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	slots, states := 0, e.pool(service).states
	for _, s := range states {
		slots += s.Endpoint.Slots
	}
	return e.parts.Homes(parts, slots/max(1, len(states)), e.instances(), e.clock.Mono())
}

// recordActivity records that data arrived from the endpoint.
func (e *endpointTracker) recordActivity(s *placement.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.LastReceived = e.clock.Mono()
}

// lastActivity returns when data last arrived from the endpoint.
func (e *endpointTracker) lastActivity(s *placement.State) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.LastReceived
}

// markUnreachable records that the endpoint could not be reached or timed out.
func (e *endpointTracker) markUnreachable(s *placement.State, kind Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	wasDown := s.InBackoff(now)
	s.MarkUnreachable(now)
	z := e.zoneStatusOf(s.Endpoint.Zone)
	if kind == KindRefused {
		*z = zoneStatus{} // The host responded, so its zone is reachable.
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
		e.logger.Info("endpoint-out", "endpoint", s.Endpoint.ID, "address", s.Endpoint.Address, "why", kind, "heard-ms", int64(now-s.LastReceived))
	}
}

// An endpoint counts as failing too often if its share of failures exceeds twice its
// pool's by minExcessFailures, over at least minExcessRuns runs.
const (
	minExcessFailures = 0.2
	minExcessRuns     = 5
)

// recordOutcome counts a run for the endpoint, its service and its route.
func (e *endpointTracker) recordOutcome(s *placement.State, route *catalog.Route, service ticket.ServiceName, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	value := 0.0
	if failed {
		value = 1
	}
	usualFailures := averageFor(e.routeFailures, route.Name, placement.MovingAverage{Mean: initialFailureShare, Count: initialFailureWeight})
	updateAverage(usualFailures, value, routeFailureWindow)
	if failed {
		s.RecordFailure(usualFailures.Mean < rareFailureShare, e.pool(service).meanRunTime(), e.clock.Mono())
	}
	p := e.pool(service)
	s.FailureRate.Add(value)
	updateAverage(&p.failures, value, failureWindow)
	s.ExcessFailureRate = 0
	if s.FailureRate.Count >= minExcessRuns {
		s.ExcessFailureRate = max(0, s.FailureRate.Mean-2*p.failures.Mean-minExcessFailures)
	}
}

const (
	// rareFailureShare is the share of failures on a route below which a failure is
	// more likely the endpoint's fault than the request's.
	rareFailureShare = 0.08
	// initialFailureShare is the share of failures assumed for a new route, with the
	// weight of initialFailureWeight runs.
	initialFailureShare  = 0.02
	initialFailureWeight = 40
)

// failureInconclusive reports whether a failure may be the endpoint's fault and not the
// request's: the endpoint fails more often than its peers, or requests of the route
// rarely fail. The second test is needed because an instance of a large fleet sees each
// endpoint too seldom for the first.
func (e *endpointTracker) failureInconclusive(s *placement.State, route catalog.RouteName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usualFailures := e.routeFailures[route]
	return s.ExcessFailureRate > 0 || usualFailures == nil || usualFailures.Mean < rareFailureShare
}

const (
	// A stream is slow to begin if it takes longer than slowDelayFactor times the usual
	// delay plus slowDelayMargin milliseconds, as prompts differ in length.
	slowDelayFactor = 3.5
	slowDelayMargin = 150.0
	// minBaselineRuns is how many runs it takes to know the usual delay or pace.
	minBaselineRuns = 10
	// delayWindow, failureWindow and routeFailureWindow are how many runs these means
	// cover. routeFailureWindow is long enough to outlast the faults of endpoints.
	delayWindow        = 16
	failureWindow      = 200
	routeFailureWindow = 500
)

// recordDelay records a run's time to the first byte and reports whether it was slow
// for its route and model, if that is known. Only runs with baseline set update the usual
// delay.
func (e *endpointTracker) recordDelay(r *run, delay clock.Millis, baseline bool) (slow, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.delayBaseline(r.key)
	route := r.task.route
	if route.Stream {
		slow, known = b.judgeStream(delay)
	} else {
		slow, known = b.judgePlain(delay, route.FirstByteGoal, r.response.Load)
	}
	if b.mean.Count >= minBaselineRuns {
		r.state.LatencyRatio.Add(float64(delay) / max(1, b.mean.Mean))
	}
	if baseline {
		b.add(delay)
	}
	return slow, known
}

// delayBaseline returns a key's baseline; the caller holds the lock.
func (e *endpointTracker) delayBaseline(key delayKey) *delayBaseline {
	b := e.delays[key]
	if b == nil {
		b = &delayBaseline{}
		e.delays[key] = b
	}
	return b
}

// expectedDelay returns the usual time to the first byte, or 0 if it is not known.
func (e *endpointTracker) expectedDelay(key delayKey) clock.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b := e.delays[key]; b != nil && b.mean.Count >= minBaselineRuns {
		return clock.Millis(b.mean.Mean)
	}
	return 0
}

// localLoads returns this instance's in-flight requests and recent failures at each endpoint.
func (e *endpointTracker) localLoads() loadlist.Loads {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	loads := loadlist.NewLoads()
	for key, s := range e.byKey {
		if s.OwnInFlight > 0 {
			loads.InFlight[key.id] += s.OwnInFlight
		}
		if n := s.AdvertisedFailures(now); n > 0 {
			loads.Failures[key.id] += n
		}
	}
	return loads
}

// InFlight returns the in-flight requests of all instances at each endpoint of a
// release.
func (f *Forwarder) InFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
	return f.endpoints.inFlight(service, release)
}

func (e *endpointTracker) inFlight(service ticket.ServiceName, release catalog.Release) map[routing.EndpointID]int {
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

// setPeerLoads sets the loads of all other instances at each endpoint.
func (e *endpointTracker) setPeerLoads(loads loadlist.Loads) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Mono()
	for key, s := range e.byKey {
		s.SetPeerLoad(loads.InFlight[key.id], loads.Failures[key.id], now)
	}
}

// averageFor returns a key's mean, which starts as initial.
func averageFor[K comparable](means map[K]*placement.MovingAverage, key K, initial placement.MovingAverage) *placement.MovingAverage {
	a := means[key]
	if a == nil {
		a = &initial
		means[key] = a
	}
	return a
}

// updateAverage adds a value to a mean that covers the given number of runs.
func updateAverage(a *placement.MovingAverage, value float64, window int) {
	a.Count++
	a.Mean += (value - a.Mean) / float64(min(a.Count, window))
}

// retryBudget returns a service's retry budget with this instance's current part of the
// fleet's slack; the caller holds the lock.
func (e *endpointTracker) retryBudget(service ticket.ServiceName) *share.RetryBudget {
	p := e.pool(service)
	p.retryBudget.Slack = e.limits.Load().RetrySlack * share.FleetShare / float64(max(1, e.instances()))
	return &p.retryBudget
}

// takeRetry takes one retry from this instance's part of the fleet's budget.
func (e *endpointTracker) takeRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Take(e.clock.Mono())
}

// hasSpareRetry reports whether enough of the budget is left for an optional retry.
func (e *endpointTracker) hasSpareRetry(service ticket.ServiceName) bool {
	return e.retryBudgetLeft(service) > retryReserve
}

// retryBudgetLeft returns the share of this instance's budget that is left.
func (e *endpointTracker) retryBudgetLeft(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Remaining(e.clock.Mono())
}

// retryReserve is the share of the budget reserved for retries after failures.
const retryReserve = 0.2

// hasRetry reports whether takeRetry would succeed.
func (e *endpointTracker) hasRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget(service).Available(e.clock.Mono())
}
