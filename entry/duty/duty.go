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
	// period is how often evidence is judged.
	period = 250 * clock.Millis(1)
	// rankStep is how long each further instance waits for the one before it to write.
	rankStep = 700 * clock.Millis(1)
	// shortSpan and longSpan are the recent spans that are judged besides the whole.
	shortSpan = 2500 * clock.Millis(1)
	longSpan  = 6 * clock.Second
	// assumedRate is the share of good answers assumed before any is counted.
	assumedRate = 0.95
	// leastAnswers is how many answers of the new release it takes to complete.
	leastAnswers = 10
	// commitWait bounds one try to write an outcome.
	commitWait = 2 * clock.Second
	// retryPause is the pause after a try that failed.
	retryPause = 400 * clock.Millis(1)
)

// Controller judges the orders under way.
type Controller struct {
	// Commit writes a status unless a final one stands already, and returns the
	// one that stands.
	Commit func(ctx context.Context, status registry.Status) (registry.Status, error)
	// OnCommitted is called with a status that stands.
	OnCommitted func(registry.Status)
	// InFlight returns the requests of all instances at the endpoints of a release.
	InFlight func(ticket.ServiceName, catalog.Release) map[routing.EndpointID]int

	registry *registry.Registry
	relay    *relay.Relay
	clock    *clock.Clock
	logger   hclog.Logger
	watches  map[catalog.OrderNumber]*watch
}

// watch is what is kept of one order.
type watch struct {
	history []sample
	// decided is when an outcome was due, or 0.
	decided clock.Millis
	outcome registry.Outcome
	// told is true once a running status was written or seen.
	told  bool
	retry clock.Millis
}

// sample holds the evidence on all routes at one time.
type sample struct {
	at     clock.Millis
	routes map[catalog.RouteName]tallies
	// endpoints is the number of the new release's endpoints, occupied counts the
	// requests at them.
	endpoints int
	occupied  map[routing.EndpointID]int
}

// tallies are the answers of both releases on one route.
type tallies struct {
	from, to evidence.Tally
	// bad counts the new release's bad answers at each endpoint.
	bad map[routing.EndpointID]int64
}

// New returns a Duty.
func New(r *registry.Registry, relay *relay.Relay, c *clock.Clock, logger hclog.Logger) *Controller {
	return &Controller{
		OnCommitted: func(registry.Status) {},
		InFlight:    func(ticket.ServiceName, catalog.Release) map[routing.EndpointID]int { return nil },
		registry:    r, relay: relay, clock: c, logger: logger.Named("duty"),
		watches: map[catalog.OrderNumber]*watch{},
	}
}

// Run judges until ctx ends.
func (d *Controller) Run(ctx context.Context) {
	for d.clock.Sleep(ctx, period) == nil {
		d.registry.RemoveExpired()
		view := d.registry.View()
		for service, order := range view.Orders {
			d.look(ctx, view, service, order)
		}
		d.forget(view)
	}
}

func (d *Controller) forget(view *registry.State) {
	for number := range d.watches {
		live := false
		for _, order := range view.Orders {
			live = live || order.Number == number
		}
		if !live {
			delete(d.watches, number)
			d.relay.ForgetOrder(number)
		}
	}
}

// look judges one order and writes its outcome if that is due and this
// instance's turn.
func (d *Controller) look(ctx context.Context, view *registry.State, service ticket.ServiceName, order *catalog.Order) {
	w := d.watches[order.Number]
	if w == nil {
		w = &watch{}
		d.watches[order.Number] = w
	}
	status, ok := view.Statuses[service]
	mine := ok && status.AppliesTo(order)
	if mine && status.Outcome.Final() {
		return
	}
	w.told = w.told || mine
	now := d.clock.Mono()
	if w.outcome == "" {
		d.judge(view, order, w, now)
	}
	rank := clock.Millis(d.relay.DutyRank(string(service)))
	switch {
	case w.outcome != "" && now >= w.decided+rank*rankStep && now >= w.retry:
		d.commit(ctx, registry.Status{Service: service, Target: order.Target, Order: order.Number, Outcome: w.outcome}, w)
	case !w.told && rank == 0 && now >= w.retry:
		d.commit(ctx, registry.Status{Service: service, Target: order.Target, Order: order.Number, Outcome: registry.OutcomeRunning}, w)
	}
}

// judge decides an order's outcome from the evidence of all instances.
func (d *Controller) judge(view *registry.State, order *catalog.Order, w *watch, now clock.Millis) {
	if d.relay.ReleaseStopped(order.Number) {
		w.outcome, w.decided = registry.OutcomeRolledBack, now
		return
	}
	if d.relay.Rank() != 0 {
		w.history = nil
		return // The zones' readers have the evidence; the others hear of a stop.
	}
	s := d.sample(view, order, now)
	w.history = append(w.history, s)
	for len(w.history) > 1 && now-w.history[1].at > longSpan {
		w.history = w.history[1:]
	}
	answers := int64(0)
	for route, t := range s.routes {
		answers = max(answers, t.to.Rated())
		spans := d.spans(w, route, now)
		prior := assumedRate
		switch route {
		case forward.CanaryPaceRoute:
			prior = forward.CanaryPaceGoodShare
		case forward.PostCanaryPaceRoute:
			prior = forward.PostCanaryPaceGoodShare
		}
		verdict, decisive := rollout.EvaluateWindows(spans, prior)
		if verdict == rollout.VerdictContinue {
			continue
		}
		fields := []any{"service", order.Service, "target", order.Target, "order", order.Number, "route", route,
			"good", t.to.Good, "bad", t.to.Bad, "old-good", t.from.Good, "old-bad", t.from.Bad, "bad-endpoints", len(t.bad), "busy", busy(w.history, nil),
			"span-good", decisive.To.Good, "span-bad", decisive.To.Bad, "span-old-good", decisive.From.Good, "span-old-bad", decisive.From.Bad,
			"span-bad-endpoints", decisive.BadEndpoints, "span-reached", decisive.ReachedEndpoints}
		if verdict == rollout.VerdictEndpoints {
			d.logger.Info("endpoints-bad", fields...)
			continue
		}
		d.logger.Warn("release-bad", fields...)
		d.relay.StopRelease(order.Number, "evidence")
		w.outcome, w.decided = registry.OutcomeRolledBack, now
		return
	}
	elapsed := now - order.StartedAt
	if rollout.PhaseAt(elapsed, order.Duration) == rollout.PhaseDone && answers >= leastAnswers {
		left := d.left(view, order)
		if left > 0 && rollout.MayWaitForDrain(elapsed, order.Duration) {
			return // To complete it would end the endpoints that still answer.
		}
		all, pace, moved, load := s.routes[allRoutes], s.routes[forward.CanaryPaceRoute], s.routes[forward.PostCanaryPaceRoute], s.routes[forward.HighLoadRoute]
		d.logger.Info("release-good", "service", order.Service, "target", order.Target, "order", order.Number, "answers", answers, "elapsed-ms", int64(elapsed), "old-left", left,
			"good", all.to.Good, "bad", all.to.Bad, "old-good", all.from.Good, "old-bad", all.from.Bad,
			"paced", pace.to.Rated(), "slower", pace.to.Bad, "old-paced", pace.from.Rated(), "old-slower", pace.from.Bad,
			"moved", moved.to.Rated(), "moved-slow", moved.to.Bad,
			"loaded-good", load.to.Good, "loaded-bad", load.to.Bad)
		w.outcome, w.decided = registry.OutcomeCompleted, now
	}
}

// allRoutes stands for the sum of all routes: a release that is bad on each of
// them shows there first.
const allRoutes catalog.RouteName = ""

// release counts the endpoints of an order's new release.
func release(view *registry.State, order *catalog.Order) int {
	count := 0
	for _, e := range view.Endpoints[order.Service] {
		if e.Release == order.Target {
			count++
		}
	}
	return count
}

// left returns the requests of all instances that are still at endpoints of other
// releases than the order's.
func (d *Controller) left(view *registry.State, order *catalog.Order) int {
	sum := 0
	seen := map[catalog.Release]bool{order.Target: true}
	for _, e := range view.Endpoints[order.Service] {
		if seen[e.Release] {
			continue
		}
		seen[e.Release] = true
		for _, n := range d.InFlight(order.Service, e.Release) {
			sum += n
		}
	}
	return sum
}

func (d *Controller) sample(view *registry.State, order *catalog.Order, now clock.Millis) sample {
	s := sample{
		at: now, routes: map[catalog.RouteName]tallies{},
		endpoints: release(view, order), occupied: d.InFlight(order.Service, order.Target),
	}
	read := func(route catalog.RouteName) tallies {
		to, from := forward.Series(order, route, evidence.ArmTo), forward.Series(order, route, evidence.ArmFrom)
		return tallies{from: d.relay.Sum(from), to: d.relay.Sum(to), bad: d.relay.BadEndpoints(to)}
	}
	all := tallies{bad: map[routing.EndpointID]int64{}}
	for _, route := range view.Config.RoutesOf(order.Service) {
		t := read(route)
		s.routes[route] = t
		all.from, all.to = all.from.Add(t.from), all.to.Add(t.to)
		for endpoint, bad := range t.bad {
			all.bad[endpoint] += bad
		}
	}
	s.routes[allRoutes] = all
	for _, route := range []catalog.RouteName{forward.HighLoadRoute, forward.CanaryPaceRoute, forward.PostCanaryPaceRoute} {
		s.routes[route] = read(route)
	}
	return s
}

// spans returns the evidence of the whole order and of its recent spans. The
// last sample of the watch is the newest.
func (d *Controller) spans(w *watch, route catalog.RouteName, now clock.Millis) []rollout.EvidenceWindow {
	last := w.history[len(w.history)-1]
	t := last.routes[route]
	list := []rollout.EvidenceWindow{{From: t.from, To: t.to, BadEndpoints: len(t.bad), ReachedEndpoints: last.endpoints}}
	for _, span := range []clock.Millis{shortSpan, longSpan} {
		first := slices.IndexFunc(w.history, func(s sample) bool { return now-s.at <= span })
		old := w.history[first].routes[route]
		bad := map[routing.EndpointID]bool{}
		for endpoint, n := range t.bad {
			if n > old.bad[endpoint] {
				bad[endpoint] = true
			}
		}
		s := rollout.EvidenceWindow{To: t.to.Sub(old.to), From: worse(t.from, t.from.Sub(old.from)), BadEndpoints: len(bad), ReachedEndpoints: last.endpoints}
		if route == forward.HighLoadRoute || route == forward.PostCanaryPaceRoute {
			// What these count comes from the endpoints that are filled.
			s.ReachedEndpoints = busy(w.history[first:], bad)
		}
		list = append(list, s)
	}
	return list
}

// busyPart is the part of the most requests at an endpoint from which another
// counts as busy too: a release that fails under load does so there.
const busyPart = 0.5

// busy counts the endpoints that bore the most requests over some samples, and
// those that are listed.
func busy(samples []sample, listed map[routing.EndpointID]bool) int {
	top, most := map[routing.EndpointID]int{}, 0
	for _, s := range samples {
		for endpoint, n := range s.occupied {
			top[endpoint] = max(top[endpoint], n)
			most = max(most, n)
		}
	}
	count := len(listed)
	for endpoint, n := range top {
		if !listed[endpoint] && float64(n) >= busyPart*float64(most) {
			count++
		}
	}
	return count
}

// worse returns the old release's recent record if it is worse than its whole
// one: trouble that hits both releases is no fault of the new one.
func worse(whole, recent evidence.Tally) evidence.Tally {
	if recent.Rated() >= leastAnswers && recent.Bad*whole.Rated() > whole.Bad*recent.Rated() {
		return recent
	}
	return whole
}

func (d *Controller) commit(ctx context.Context, status registry.Status, w *watch) {
	ctx, cancel := context.WithTimeout(ctx, commitWait.Duration())
	defer cancel()
	stands, err := d.Commit(ctx, status)
	if err != nil {
		w.retry = d.clock.Mono() + retryPause
		d.logger.Warn("status-not-written", "service", status.Service, "target", status.Target, "outcome", status.Outcome, "error", err)
		return
	}
	w.told = true
	d.logger.Info("status-stands", "service", status.Service, "target", stands.Target, "outcome", stands.Outcome, "wanted", status.Outcome)
	d.OnCommitted(stands)
}
