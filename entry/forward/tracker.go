package forward

import (
	"math/rand/v2"
	"sync"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/share"
	"foxtailbridge/policy/ticket"
)

// trackerDeps are the components that a tracker uses.
type trackerDeps struct {
	Clock  *clock.Clock
	Random *rand.Rand
	Logger hclog.Logger
	// Instances returns how many instances share the fleet's limits.
	Instances func() int
	// RetryLimits returns the limits of retries that apply to all instances together.
	RetryLimits func() retryLimits
}

// tracker tracks the state of all endpoints and the retry budget of each service.
// Its exported methods may be called concurrently.
type tracker struct {
	deps trackerDeps

	// mu guards all fields below, the states that Choose returns and deps.Random.
	mu            sync.Mutex
	states        *stateTable
	routeFailures failureShares
	zones         zoneTable
	leaving       leavingRuns
	held          holdList
	// parts counts the requests by shared part.
	parts placement.PartRates
}

// newTracker returns a tracker that knows no endpoints.
func newTracker(deps trackerDeps) *tracker {
	e := &tracker{deps: deps, routeFailures: failureShares{}, zones: zoneTable{}, leaving: leavingRuns{}}
	e.states = newStateTable(deps.Random, func() *pool {
		return &pool{retries: newRetryBudget(deps.RetryLimits(), deps.Random.Float64())}
	})
	return e
}

// Choose picks an endpoint and counts the request there.
func (e *tracker) Choose(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.prepareQuery(view, service, q)
	choice := placement.Choose(p.states, q, e.deps.Random)
	if choice.State != nil && !q.Acquire(choice.State) {
		choice.State, choice.Endpoint, choice.Reason = nil, nil, routing.ReasonCold
	}
	return choice
}

// Peek returns what Choose would pick, without counting anything.
func (e *tracker) Peek(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	e.mu.Lock()
	defer e.mu.Unlock()
	return placement.Choose(e.prepareQuery(view, service, q).states, q, e.deps.Random)
}

// prepareQuery completes a query from this instance's state; the caller holds the lock.
func (e *tracker) prepareQuery(view *registry.State, service *catalog.Service, q *placement.Query) *pool {
	q.Now = e.deps.Clock.Mono()
	if e.states.sync(view, q.Now, e.leaving) {
		e.leaving.prune(q.Now, e.states.byRun)
	}
	for _, s := range e.held.removeEnded(q.Now) {
		e.deps.Logger.Info("endpoint-hold-ended", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt))
	}
	instances := max(1, e.deps.Instances())
	q.ColdRate = share.FleetShare * service.ColdRate / float64(instances)
	q.ZoneUnreachable = func(zone ticket.ZoneName) bool { return zone != q.Zone && e.zones.inBackoff(zone, q.Now) }
	p := e.states.pool(service.Name)
	if instances > 1 {
		q.Arrivals = max(1, placement.StaleArrivals(p.states, p.times.mean(), instances, q.Now))
	}
	return p
}

// CountRequest counts a request of a service by its shared part, for its retry budget too. It
// returns how many endpoints should share that part.
func (e *tracker) CountRequest(service ticket.ServiceName, parts []placement.Part) (homes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, p := e.deps.Clock.Mono(), e.states.pool(service)
	slots := 0
	for _, s := range p.states {
		slots += s.Endpoint.Slots
	}
	homes = e.parts.Homes(parts, slots/max(1, len(p.states)), e.deps.Instances(), now)
	p.retries.AddRequest(now)
	return homes
}

// PromptRead records that the endpoint has read a request's prompt, of the given weighted
// number of tokens.
func (e *tracker) PromptRead(s *placement.State, parts []placement.Part, model ticket.ModelName, prefillTokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.PrefillTokens -= prefillTokens
	s.RecordCached(parts, model, e.deps.Clock.Mono())
}

// endedRun is a run of a request that has ended.
type endedRun struct {
	State   *placement.State
	Service ticket.ServiceName
	SentAt  clock.Millis
	// PrefillTokens is the weighted number of prompt tokens that the endpoint had yet to
	// read.
	PrefillTokens float64
	Packable      bool
}

// RunEnded removes a run from its endpoint's in-flight requests.
func (e *tracker) RunEnded(r endedRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.State.OwnInFlight--
	r.State.PrefillTokens -= r.PrefillTokens
	e.states.pool(r.Service).times.add(e.deps.Clock.Mono()-r.SentAt, r.Packable)
}

// PackableShare returns the share of a service's in-flight requests that may be packed.
func (e *tracker) PackableShare(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states.pool(service).times.packableShare()
}

// RecordLatency records a run's time to the first byte relative to the usual one.
func (e *tracker) RecordLatency(s *placement.State, ratio float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.LatencyRatio.Add(ratio)
}

// RecordOutcome counts a run for the endpoint, its service and its route.
func (e *tracker) RecordOutcome(s *placement.State, route catalog.RouteName, service ticket.ServiceName, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.states.pool(service)
	e.routeFailures.add(route, failed)
	if failed {
		s.RecordFailure(e.routeFailures.rare(route), p.times.mean(), e.deps.Clock.Mono())
	}
	p.addOutcome(s, failed)
}

// FailureInconclusive reports whether a failure may be the endpoint's fault and not the
// request's: the endpoint fails more often than its peers, or requests of the route
// rarely fail. The second test is needed because an instance of a large fleet sees each
// endpoint too seldom for the first.
func (e *tracker) FailureInconclusive(s *placement.State, route catalog.RouteName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.ExcessFailureRate > 0 || e.routeFailures.rare(route)
}

// TakeRetry takes one retry from this instance's part of the fleet's budget.
func (e *tracker) TakeRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Take(e.deps.Clock.Mono())
}

// HasRetry reports whether TakeRetry would succeed.
func (e *tracker) HasRetry(service ticket.ServiceName) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Available(e.deps.Clock.Mono())
}

// RetryBudgetLeft returns the share of this instance's retry budget that is left.
func (e *tracker) RetryBudgetLeft(service ticket.ServiceName) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retries(service).Remaining(e.deps.Clock.Mono())
}

// retries returns a service's retry budget with this instance's current part of the fleet's
// slack; the caller holds the lock.
func (e *tracker) retries(service ticket.ServiceName) *share.RetryBudget {
	return e.states.pool(service).retries.withSlack(e.deps.RetryLimits(), e.deps.Instances())
}
