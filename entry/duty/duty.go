package duty

import (
	"context"
	"slices"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/forward"
	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

const (
	// evaluationInterval is how often the evidence is evaluated.
	evaluationInterval = 250 * clock.Millis(1)
	// rankDelay, times an instance's rank, is how long it waits for lower-ranked
	// instances to write a due outcome before it writes it itself.
	rankDelay = 700 * clock.Millis(1)
	// shortWindow and longWindow are the recent time windows that are evaluated in
	// addition to the order's whole duration.
	shortWindow = 2500 * clock.Millis(1)
	longWindow  = 6 * clock.Second
	// assumedGoodRate is the share of good answers assumed before any answer is rated.
	assumedGoodRate = 0.95
	// minAnswers is how many rated answers the new release needs before its order
	// can complete, and the old release before its recent tally is used.
	minAnswers = 10
	// commitTimeout limits one attempt to write a status.
	commitTimeout = 2 * clock.Second
	// retryDelay is the delay before the next attempt after a write failed.
	retryDelay = 400 * clock.Millis(1)
)

// Controller evaluates the orders in progress and writes their status.
type Controller struct {
	// Commit writes a status unless a final one has already been written, and
	// returns the status that is in effect afterwards.
	Commit func(ctx context.Context, status registry.Status) (registry.Status, error)
	// OnCommitted is called with the status that Commit returned.
	OnCommitted func(registry.Status)
	// InFlight returns the number of in-flight requests, over all instances, at
	// each endpoint of a release.
	InFlight func(ticket.ServiceName, catalog.Release) map[routing.EndpointID]int
	// RouteLoads returns what this instance knows of the requests on a service's routes.
	RouteLoads func(ticket.ServiceName) []rollout.RouteLoad

	registry *registry.Registry
	relay    *relay.Relay
	clock    *clock.Clock
	logger   hclog.Logger
	orders   map[catalog.OrderNumber]*orderState
}

// orderState is the controller's state for one order.
type orderState struct {
	history []sample
	// decidedAt is when the outcome was decided, or 0.
	decidedAt clock.Millis
	outcome   registry.Outcome
	// announced is true once a status of the order was written or seen.
	announced bool
	// loadMeasured is true once the service's load was measured for a rollout.LightLoad.
	loadMeasured bool
	retryAt      clock.Millis
	// lostAt is when the status of the order was found to be lost, or 0.
	lostAt clock.Millis
}

// sample is a snapshot of the evidence on all routes.
type sample struct {
	at     clock.Millis
	routes map[catalog.RouteName]tallies
	// endpoints is the number of the new release's endpoints; inFlight is the
	// number of in-flight requests at each.
	endpoints int
	inFlight  map[routing.EndpointID]int
	// beforeLoad holds the tallies of forward.BeforeLoadRoute.
	beforeLoad map[routing.EndpointID]evidence.Tally
}

// tallies holds the counts of both releases on one route.
type tallies struct {
	from, to evidence.Tally
	// badByEndpoint counts the new release's bad answers at each endpoint.
	badByEndpoint map[routing.EndpointID]int64
}

func newTallies() tallies {
	return tallies{badByEndpoint: map[routing.EndpointID]int64{}}
}

// add adds the counts of another route.
func (t *tallies) add(other tallies) {
	t.from, t.to = t.from.Add(other.from), t.to.Add(other.to)
	for endpoint, bad := range other.badByEndpoint {
		t.badByEndpoint[endpoint] += bad
	}
}

// New returns a Controller.
func New(r *registry.Registry, relay *relay.Relay, c *clock.Clock, logger hclog.Logger) *Controller {
	return &Controller{
		OnCommitted: func(registry.Status) {},
		InFlight:    func(ticket.ServiceName, catalog.Release) map[routing.EndpointID]int { return nil },
		RouteLoads:  func(ticket.ServiceName) []rollout.RouteLoad { return nil },
		registry:    r, relay: relay, clock: c, logger: logger.Named("duty"),
		orders: map[catalog.OrderNumber]*orderState{},
	}
}

// Run evaluates the orders periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for c.clock.Sleep(ctx, evaluationInterval) == nil {
		c.registry.RemoveExpired()
		view := c.registry.View()
		for service, order := range view.Orders {
			c.reconcile(ctx, view, service, order)
		}
		c.prune(view)
	}
}

// prune drops the state of orders that are no longer in the view.
func (c *Controller) prune(view *registry.State) {
	for number := range c.orders {
		active := false
		for _, order := range view.Orders {
			active = active || order.Number == number
		}
		if !active {
			delete(c.orders, number)
			c.relay.ForgetOrder(number)
		}
	}
}

// reconcile evaluates one order. It writes the outcome once it is decided and it
// is this instance's turn by rank; before that, rank 0 writes a running status.
func (c *Controller) reconcile(ctx context.Context, view *registry.State, service ticket.ServiceName, order *catalog.Order) {
	state := c.orders[order.Number]
	if state == nil {
		state = &orderState{}
		c.orders[order.Number] = state
	}
	status, ok := view.Statuses[service]
	forOrder := ok && status.AppliesTo(order)
	now := c.clock.Mono()
	if forOrder && status.Lost {
		c.rewriteLost(ctx, order, status, state, now)
	}
	if forOrder && status.Outcome.Final() {
		return
	}
	state.announced = state.announced || forOrder
	if state.outcome == "" {
		c.evaluate(view, order, state, now)
	}
	rank := clock.Millis(c.relay.DutyRank(string(service)))
	switch {
	case state.outcome != "" && now >= state.decidedAt+rank*rankDelay && now >= state.retryAt:
		c.commit(ctx, registry.Status{Service: service, Target: order.Target, Order: order.Number, Outcome: state.outcome}, state)
	case !state.announced && rank == 0 && now >= state.retryAt:
		c.commit(ctx, registry.Status{Service: service, Target: order.Target, Order: order.Number, Outcome: registry.OutcomeRunning}, state)
	}
}

// rewriteLost writes a status again that the store lost, once it is this instance's turn by rank.
func (c *Controller) rewriteLost(ctx context.Context, order *catalog.Order, status registry.Status, state *orderState, now clock.Millis) {
	if state.lostAt == 0 {
		state.lostAt = now
	}
	rank := clock.Millis(c.relay.DutyRank(string(order.Service)))
	if now < state.lostAt+rank*rankDelay || now < state.retryAt {
		return
	}
	state.lostAt = 0
	c.logger.Warn("status-lost", "service", order.Service, "target", status.Target, "order", order.Number, "outcome", status.Outcome)
	c.commit(ctx, registry.Status{Service: order.Service, Target: status.Target, Order: status.Order, Outcome: status.Outcome}, state)
}

// evaluate decides an order's outcome from the evidence of all instances, if
// there is enough of it. A release that was stopped is rolled back.
func (c *Controller) evaluate(view *registry.State, order *catalog.Order, state *orderState, now clock.Millis) {
	if c.relay.ReleaseStopped(order.Number) {
		state.outcome, state.decidedAt = registry.OutcomeRolledBack, now
		return
	}
	if c.relay.Rank() != 0 {
		state.history = nil
		return // Only each zone's reader has the evidence; the others learn of a stop through the relay.
	}
	s := c.takeSample(view, order, now)
	state.history = append(state.history, s)
	for len(state.history) > 1 && now-state.history[1].at > longWindow {
		state.history = state.history[1:]
	}
	answers := int64(0)
	elapsed := now - order.StartedAt
	if !state.loadMeasured && rollout.MeasuresLoad(elapsed, order.Duration) {
		state.loadMeasured = true
		c.planLightLoad(view, order)
	}
	phase := rollout.Schedule{Duration: order.Duration, LightLoad: c.relay.LightLoad(order.Number)}.PhaseAt(elapsed)
	for route, t := range s.routes {
		answers = max(answers, t.to.Rated())
		windows := c.windows(state, route, phase, now)
		verdict, decisive := rollout.EvaluateWindows(windows, assumedGoodShare(route))
		if verdict == rollout.VerdictContinue {
			continue
		}
		fields := []any{"service", order.Service, "target", order.Target, "order", order.Number, "route", route,
			"good", t.to.Good, "bad", t.to.Bad, "old-good", t.from.Good, "old-bad", t.from.Bad, "bad-endpoints", len(t.badByEndpoint), "busy", countBusy(state.history, nil),
			"span-good", decisive.To.Good, "span-bad", decisive.To.Bad, "span-old-good", decisive.From.Good, "span-old-bad", decisive.From.Bad,
			"span-bad-endpoints", decisive.BadEndpoints, "span-reached", decisive.ReachedEndpoints}
		if verdict == rollout.VerdictEndpoints {
			c.logger.Info("endpoints-bad", fields...)
			continue
		}
		c.logger.Warn("release-bad", fields...)
		c.relay.StopRelease(order.Number, "evidence")
		state.outcome, state.decidedAt = registry.OutcomeRolledBack, now
		return
	}
	if phase == rollout.PhaseDone && answers >= minAnswers {
		left := c.inFlightOnOldReleases(view, order)
		if left > 0 && rollout.MayWaitForDrain(elapsed, order.Duration) {
			return // Completing the order would shut down endpoints with requests in flight.
		}
		all, pace, load := s.routes[allRoutes], s.routes[forward.CanaryPaceRoute], s.routes[forward.HighLoadRoute]
		moved, delayed := s.routes[forward.PostCanaryPaceRoute], s.routes[forward.DelayRoute]
		c.logger.Info("release-good", "service", order.Service, "target", order.Target, "order", order.Number, "answers", answers, "elapsed-ms", int64(elapsed), "old-left", left,
			"good", all.to.Good, "bad", all.to.Bad, "old-good", all.from.Good, "old-bad", all.from.Bad,
			"paced", pace.to.Rated(), "slower", pace.to.Bad, "old-paced", pace.from.Rated(), "old-slower", pace.from.Bad,
			"moved", moved.to.Rated(), "moved-slow", moved.to.Bad,
			"plain", delayed.to.Rated(), "plain-slow", delayed.to.Bad, "old-plain", delayed.from.Rated(), "old-plain-slow", delayed.from.Bad,
			"loaded-good", load.to.Good, "loaded-bad", load.to.Bad)
		state.outcome, state.decidedAt = registry.OutcomeCompleted, now
	}
}

// assumedGoodShare returns the share of good answers assumed on a route before any answer
// of the old release is rated.
func assumedGoodShare(route catalog.RouteName) float64 {
	switch {
	case route == forward.CanaryPaceRoute:
		return forward.CanaryPaceGoodShare
	case route == forward.PostCanaryPaceRoute:
		return forward.PostCanaryPaceGoodShare
	case forward.IsDelay(route):
		return forward.DelayGoodShare
	}
	return assumedGoodRate
}

// allRoutes is the key of the sum over all routes. A release that is bad on every
// route is detected there first, because the sum gathers evidence fastest.
const allRoutes catalog.RouteName = ""

// countNewEndpoints counts the endpoints of an order's new release and their slots.
func countNewEndpoints(view *registry.State, order *catalog.Order) (count, slots int) {
	for _, e := range view.Endpoints[order.Service] {
		if e.Release == order.Target {
			count++
			slots += e.Slots
		}
	}
	return count, slots
}

// planLightLoad tells all instances the plan for the order if its service is under light load.
func (c *Controller) planLightLoad(view *registry.State, order *catalog.Order) {
	count, slots := countNewEndpoints(view, order)
	inFlight := c.inFlightOnOldReleases(view, order)
	for _, n := range c.InFlight(order.Service, order.Target) {
		inFlight += n
	}
	plan := rollout.PlanLightLoad(inFlight, float64(slots)/float64(max(1, count)), c.RouteLoads(order.Service), c.relay.Self().Name)
	c.logger.Info("load-measured", "service", order.Service, "target", order.Target, "order", order.Number,
		"in-flight", inFlight, "slots", slots, "endpoints", count, "light", plan != nil)
	if plan != nil {
		c.relay.PlanLightLoad(order.Number, plan)
	}
}

// inFlightOnOldReleases returns the number of requests, over all instances, that
// are still in flight at endpoints of releases other than the order's target.
func (c *Controller) inFlightOnOldReleases(view *registry.State, order *catalog.Order) int {
	sum := 0
	seen := map[catalog.Release]bool{order.Target: true}
	for _, e := range view.Endpoints[order.Service] {
		if seen[e.Release] {
			continue
		}
		seen[e.Release] = true
		for _, n := range c.InFlight(order.Service, e.Release) {
			sum += n
		}
	}
	return sum
}

// takeSample returns the current evidence on each route and on their sum.
func (c *Controller) takeSample(view *registry.State, order *catalog.Order, now clock.Millis) sample {
	endpoints, _ := countNewEndpoints(view, order)
	s := sample{
		at: now, routes: map[catalog.RouteName]tallies{},
		endpoints: endpoints, inFlight: c.InFlight(order.Service, order.Target),
		beforeLoad: c.relay.ByEndpoint(forward.Series(order, forward.BeforeLoadRoute, evidence.ArmTo)),
	}
	read := func(route catalog.RouteName) tallies {
		to, from := forward.Series(order, route, evidence.ArmTo), forward.Series(order, route, evidence.ArmFrom)
		t := newTallies()
		t.from, t.to = c.relay.Sum(from), c.relay.Sum(to)
		for endpoint, tally := range c.relay.ByEndpoint(to) {
			if tally.Bad > 0 {
				t.badByEndpoint[endpoint] = tally.Bad
			}
		}
		return t
	}
	all, delayed := newTallies(), newTallies()
	for _, route := range view.Config.RoutesOf(order.Service) {
		s.routes[route] = read(route)
		all.add(s.routes[route])
		delay := forward.DelayOn(route)
		s.routes[delay] = read(delay)
		delayed.add(s.routes[delay])
	}
	s.routes[allRoutes], s.routes[forward.DelayRoute] = all, delayed
	for _, route := range []catalog.RouteName{forward.HighLoadRoute, forward.CanaryPaceRoute, forward.PostCanaryPaceRoute} {
		s.routes[route] = read(route)
	}
	return s
}

// windows returns the evidence on a route over the order's whole duration and over
// each recent time window. The last sample of the history must be the current one.
func (c *Controller) windows(state *orderState, route catalog.RouteName, phase rollout.Phase, now clock.Millis) []rollout.EvidenceWindow {
	last := state.history[len(state.history)-1]
	t := last.routes[route]
	list := []rollout.EvidenceWindow{{From: t.from, To: t.to, BadEndpoints: len(t.badByEndpoint), ReachedEndpoints: last.endpoints}}
	for _, window := range []clock.Millis{shortWindow, longWindow} {
		first := slices.IndexFunc(state.history, func(s sample) bool { return now-s.at <= window })
		old := state.history[first].routes[route]
		bad := map[routing.EndpointID]bool{}
		for endpoint, n := range t.badByEndpoint {
			if n > old.badByEndpoint[endpoint] {
				bad[endpoint] = true
			}
		}
		s := rollout.EvidenceWindow{To: t.to.Sub(old.to), From: worseTally(t.from, t.from.Sub(old.from)), BadEndpoints: len(bad), ReachedEndpoints: last.endpoints}
		if route == forward.HighLoadRoute || route == forward.PostCanaryPaceRoute || forward.IsDelay(route) && phase.PastCanary() {
			// These answers come from the busiest endpoints only.
			s.ReachedEndpoints = countBusy(state.history[first:], bad)
		}
		if route == forward.HighLoadRoute {
			s.LoadDependentEndpoints = countLoadDependent(last, bad)
		}
		list = append(list, s)
	}
	return list
}

// busyThreshold is the fraction of the busiest endpoint's peak of in-flight requests
// from which an endpoint counts as busy. A release that fails under load fails at
// its busy endpoints.
const busyThreshold = 0.5

// countBusy counts the endpoints that were busy in the samples. The endpoints in
// included are counted in any case.
func countBusy(samples []sample, included map[routing.EndpointID]bool) int {
	peak, highest := map[routing.EndpointID]int{}, 0
	for _, s := range samples {
		for endpoint, n := range s.inFlight {
			peak[endpoint] = max(peak[endpoint], n)
			highest = max(highest, n)
		}
	}
	count := len(included)
	for endpoint, n := range peak {
		if !included[endpoint] && float64(n) >= busyThreshold*float64(highest) {
			count++
		}
	}
	return count
}

// countLoadDependent counts the bad endpoints that answered well before they were under high
// load. The good answers under high load of all endpoints stand for each one's, which makes it
// look less bad than it is.
func countLoadDependent(s sample, bad map[routing.EndpointID]bool) int {
	count, high := 0, s.routes[forward.HighLoadRoute]
	for endpoint := range bad {
		if rollout.LoadDependent(s.beforeLoad[endpoint], evidence.Tally{Good: high.to.Good, Bad: high.badByEndpoint[endpoint]}) {
			count++
		}
	}
	return count
}

// worseTally returns the old release's recent tally if its share of bad answers is
// higher than in total, and else the total. Comparing with the worse of the two
// keeps a problem that affects both releases from being blamed on the new one.
func worseTally(total, recent evidence.Tally) evidence.Tally {
	if recent.Rated() >= minAnswers && recent.Bad*total.Rated() > total.Bad*recent.Rated() {
		return recent
	}
	return total
}

// commit writes a status, or schedules a retry if that fails.
func (c *Controller) commit(ctx context.Context, status registry.Status, state *orderState) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	committed, err := c.Commit(ctx, status)
	if err != nil {
		state.retryAt = c.clock.Mono() + retryDelay
		c.logger.Warn("status-not-written", "service", status.Service, "target", status.Target, "outcome", status.Outcome, "error", err)
		return
	}
	state.announced = true
	c.logger.Info("status-stands", "service", status.Service, "target", committed.Target, "outcome", committed.Outcome, "wanted", status.Outcome)
	c.OnCommitted(committed)
}
