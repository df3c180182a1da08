package duty

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/forward"
	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
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

// Duty judges the orders under way.
type Duty struct {
	// Commit writes a status unless a final one stands already, and returns the
	// one that stands.
	Commit func(ctx context.Context, status registry.Status) (registry.Status, error)
	// Stood is called with a status that stands.
	Stood func(registry.Status)

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

// sample holds the tallies of all routes at one time.
type sample struct {
	at       clock.Millis
	from, to map[catalog.RouteName]evidence.Tally
}

// New returns a Duty.
func New(r *registry.Registry, relay *relay.Relay, c *clock.Clock, logger hclog.Logger) *Duty {
	return &Duty{
		Stood:    func(registry.Status) {},
		registry: r, relay: relay, clock: c, logger: logger.Named("duty"),
		watches: map[catalog.OrderNumber]*watch{},
	}
}

// Run judges until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for d.clock.Sleep(ctx, period) == nil {
		d.registry.Tick()
		view := d.registry.View()
		for service, order := range view.Orders {
			d.look(ctx, view, service, order)
		}
		d.forget(view)
	}
}

func (d *Duty) forget(view *registry.State) {
	for number := range d.watches {
		live := false
		for _, order := range view.Orders {
			live = live || order.Number == number
		}
		if !live {
			delete(d.watches, number)
			d.relay.Forget(number)
		}
	}
}

// look judges one order and writes its outcome if that is due and this
// instance's turn.
func (d *Duty) look(ctx context.Context, view *registry.State, service ticket.ServiceName, order *catalog.Order) {
	w := d.watches[order.Number]
	if w == nil {
		w = &watch{}
		d.watches[order.Number] = w
	}
	status, ok := view.Statuses[service]
	mine := ok && status.Target == order.Target && (status.Order == 0 || status.Order == order.Number)
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
func (d *Duty) judge(view *registry.State, order *catalog.Order, w *watch, now clock.Millis) {
	if d.relay.Stopped(order.Number) {
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
	for route, to := range s.to {
		answers = max(answers, to.Rated())
		from, spans := d.spans(w, s, route, now)
		if rollout.JudgeSpans(from, spans, assumedRate) == rollout.VerdictStop {
			spread := d.relay.BadEndpoints(forward.Series(order, route, evidence.ArmTo))
			endpoints := release(view, order)
			if !rollout.Spread(spread, endpoints, to.Rated()) {
				d.logger.Info("endpoints-bad", "service", order.Service, "order", order.Number, "route", route, "bad-endpoints", spread,
					"endpoints", endpoints, "good", to.Good, "bad", to.Bad)
				continue
			}
			d.logger.Warn("release-bad", "service", order.Service, "target", order.Target, "order", order.Number, "route", route,
				"good", to.Good, "bad", to.Bad, "old-good", s.from[route].Good, "old-bad", s.from[route].Bad)
			d.relay.Stop(order.Number, "evidence")
			w.outcome, w.decided = registry.OutcomeRolledBack, now
			return
		}
	}
	elapsed := now - order.Seen
	if rollout.PhaseAt(elapsed, order.Span) == rollout.PhaseDone && answers >= leastAnswers {
		d.logger.Info("release-good", "service", order.Service, "target", order.Target, "order", order.Number, "answers", answers, "elapsed-ms", int64(elapsed))
		w.outcome, w.decided = registry.OutcomeCompleted, now
	}
}

// allRoutes stands for the sum of all routes: a release that is bad on each of
// them shows there first.
const allRoutes catalog.RouteName = ""

func plus(a, b evidence.Tally) evidence.Tally {
	return evidence.Tally{Exposed: a.Exposed + b.Exposed, Good: a.Good + b.Good, Bad: a.Bad + b.Bad}
}

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

func (d *Duty) sample(view *registry.State, order *catalog.Order, now clock.Millis) sample {
	s := sample{at: now, from: map[catalog.RouteName]evidence.Tally{}, to: map[catalog.RouteName]evidence.Tally{}}
	for _, route := range view.Config.RoutesOf(order.Service) {
		s.to[route] = d.relay.Sum(forward.Series(order, route, evidence.ArmTo))
		s.from[route] = d.relay.Sum(forward.Series(order, route, evidence.ArmFrom))
		s.to[allRoutes] = plus(s.to[allRoutes], s.to[route])
		s.from[allRoutes] = plus(s.from[allRoutes], s.from[route])
	}
	return s
}

// spans returns the evidence of the whole order and of its recent spans.
func (d *Duty) spans(w *watch, s sample, route catalog.RouteName, now clock.Millis) (from, to []evidence.Tally) {
	from, to = []evidence.Tally{s.from[route]}, []evidence.Tally{s.to[route]}
	for _, span := range []clock.Millis{shortSpan, longSpan} {
		for _, old := range w.history {
			if now-old.at <= span {
				to = append(to, minus(s.to[route], old.to[route]))
				from = append(from, worse(s.from[route], minus(s.from[route], old.from[route])))
				break
			}
		}
	}
	return from, to
}

// worse returns the old release's recent record if it is worse than its whole
// one: trouble that hits both releases is no fault of the new one.
func worse(whole, recent evidence.Tally) evidence.Tally {
	if recent.Rated() >= leastAnswers && recent.Bad*whole.Rated() > whole.Bad*recent.Rated() {
		return recent
	}
	return whole
}

func minus(a, b evidence.Tally) evidence.Tally {
	return evidence.Tally{Exposed: a.Exposed - b.Exposed, Good: a.Good - b.Good, Bad: a.Bad - b.Bad}
}

func (d *Duty) commit(ctx context.Context, status registry.Status, w *watch) {
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
	d.Stood(stands)
}
