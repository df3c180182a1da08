package endpoints

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

// Dependencies are the components that a Tracker uses.
type Dependencies struct {
	Zone   ticket.ZoneName
	Clock  *clock.Clock
	Random *rand.Rand
	Logger hclog.Logger
	// Instances returns how many instances share the fleet's limits.
	Instances func() int
	// RetryLimits returns the limits of retries that apply to all instances together.
	RetryLimits func() RetryLimits
}

// Tracker tracks the state of all endpoints and the retry budget of each service.
// Its exported methods may be called concurrently.
type Tracker struct {
	deps Dependencies

	// mu guards all fields below, the states that Choose returns and deps.Random.
	mu            sync.Mutex
	states        *stateTable
	routeFailures failureShares
	zones         zoneTable
	leaving       leavingRuns
	held          holdList
	// memoryLoggedAt is when a lack of memory was last logged, or 0.
	memoryLoggedAt clock.Millis
	// parts counts the requests by shared part.
	parts  placement.PartRates
	demand zoneDemand
}

// New returns a Tracker that knows no endpoints.
func New(deps Dependencies) *Tracker {
	t := &Tracker{deps: deps, routeFailures: failureShares{}, zones: zoneTable{}, leaving: leavingRuns{}}
	t.demand.own = map[ticket.ServiceName]*share.SlidingWindow{}
	t.states = newStateTable(deps.Random, func() *pool {
		return &pool{retries: newRetryBudget(deps.RetryLimits(), deps.Random.Float64()), speed: newServiceSpeed()}
	})
	return t
}

// Choose picks an endpoint and counts the request there.
func (t *Tracker) Choose(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.prepareQuery(view, service, q)
	choice := placement.Choose(p.states, q, t.deps.Random)
	t.logMemory(service.Name, q, &choice)
	if choice.State != nil && !q.Acquire(choice.State) {
		choice.State, choice.Endpoint, choice.Reason = nil, nil, routing.ReasonCold
	}
	if choice.State != nil && p.prompts.Add(q.RelativeCost*float64(placement.Tokens(q.Parts))) {
		t.deps.Logger.Info("prompt-sizes", "service", service.Name, "varied", p.prompts.Varied(), "ratio", p.prompts.Ratio())
	}
	if choice.State != nil {
		t.demand.add(service.Name, q.Now)
	}
	return choice
}

// Peek returns what Choose would pick, without counting anything.
func (t *Tracker) Peek(view *registry.State, service *catalog.Service, q *placement.Query) placement.Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return placement.Choose(t.prepareQuery(view, service, q).states, q, t.deps.Random)
}

// prepareQuery completes a query from this instance's state; the caller holds the lock.
func (t *Tracker) prepareQuery(view *registry.State, service *catalog.Service, q *placement.Query) *pool {
	q.Now = t.deps.Clock.Mono()
	t.syncView(view, q.Now)
	for _, s := range t.held.removeEnded(q.Now) {
		t.deps.Logger.Info("endpoint-hold-ended", "endpoint", s.Endpoint.ID, "started-at", int64(s.Endpoint.StartedAt))
	}
	instances := max(1, t.deps.Instances())
	q.ColdRate = share.FleetShare * service.ColdRate / float64(instances)
	q.ZoneUnreachable = func(zone ticket.ZoneName) bool { return zone != q.Zone && t.zones.inBackoff(zone, q.Now) }
	p := t.states.pool(service.Name)
	q.Prompts = p.prompts.Mix(p.states, q.Now)
	if service.Engine != nil {
		q.Memory.Capacity, q.Memory.OthersMean = service.Engine.KVCapacity, p.times.meanTokens()
	}
	q.ReadRate, q.Step = p.speed.readings.Rate(), p.speed.readings.Of(q.Model).Step()
	if instances > 1 {
		q.Arrivals = max(1, placement.StaleArrivals(p.states, p.times.mean(), instances, q.Now))
		t.setZones(q, service.Name, instances)
	}
	return p
}

// syncView updates the states to the view; the caller holds the lock.
func (t *Tracker) syncView(view *registry.State, now clock.Millis) {
	if t.states.sync(view, now, t.leaving) {
		t.leaving.prune(now, t.states.byRun)
	}
}

// CountRequest counts a request of a service by its shared part, for its retry budget too. It
// returns how many endpoints should share that part.
func (t *Tracker) CountRequest(service ticket.ServiceName, parts []placement.Part) (homes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, p := t.deps.Clock.Mono(), t.states.pool(service)
	slots := 0
	for _, s := range p.states {
		slots += s.Endpoint.Slots
	}
	homes = t.parts.Homes(parts, slots/max(1, len(p.states)), t.deps.Instances(), now)
	p.retries.AddRequest(now)
	return homes
}

// PromptRead records that the endpoint has read a request's prompt, of the given weighted
// number of tokens.
func (t *Tracker) PromptRead(s *placement.State, parts []placement.Part, model ticket.ModelName, prefillTokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.PrefillTokens -= prefillTokens
	s.RecordCached(parts, model, t.deps.Clock.Mono())
}

// EndedAttempt is an attempt at an endpoint that has ended.
type EndedAttempt struct {
	State   *placement.State
	Service ticket.ServiceName
	SentAt  clock.Millis
	// PrefillTokens is the weighted number of prompt tokens that the endpoint had yet to
	// read.
	PrefillTokens float64
	// Tokens is the number of tokens of the request, as in the query by which it was placed.
	Tokens int
	// PromptTokens is the weighted number of tokens of the whole prompt.
	PromptTokens float64
	Packable     bool
	// Rejected is true if the endpoint stated that it did not run the request.
	Rejected bool
}

// AttemptEnded removes an attempt from its endpoint's in-flight requests. It returns for how long
// the attempt occupied a slot.
func (t *Tracker) AttemptEnded(r EndedAttempt) (slotTime clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, p := t.deps.Clock.Mono(), t.states.pool(r.Service)
	slotTime = slotTimeOf(r.State, r.SentAt, now)
	r.State.OwnInFlight--
	r.State.PrefillTokens -= r.PrefillTokens
	r.State.OwnTokens -= r.Tokens
	p.times.add(now-r.SentAt, r.Packable, r.Tokens)
	p.prompts.AddRun(r.PromptTokens, now-r.SentAt)
	p.use.countAttempt(r.Rejected, now)
	return slotTime
}

// PackableShare returns the share of a service's in-flight requests that may be packed.
func (t *Tracker) PackableShare(service ticket.ServiceName) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states.pool(service).times.packableShare()
}

// RecordLatency records a run's time to the first byte relative to the usual one.
func (t *Tracker) RecordLatency(s *placement.State, ratio float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.LatencyRatio.Add(ratio)
}

// RecordOutcome counts a run for the endpoint, its service and its route.
func (t *Tracker) RecordOutcome(s *placement.State, route catalog.RouteName, service ticket.ServiceName, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.states.pool(service)
	t.routeFailures.add(route, failed)
	if failed {
		s.RecordFailure(t.routeFailures.rare(route), p.times.mean(), t.deps.Clock.Mono())
	}
	p.addOutcome(s, failed)
}

// FailureInconclusive reports whether a failure may be the endpoint's fault and not the
// request's: the endpoint fails more often than its peers, or requests of the route
// rarely fail. The second test is needed because an instance of a large fleet sees each
// endpoint too seldom for the first.
func (t *Tracker) FailureInconclusive(s *placement.State, route catalog.RouteName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.ExcessFailureRate > 0 || t.routeFailures.rare(route)
}
