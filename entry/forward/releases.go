package forward

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"foxtailbridge/entry/registry"
	"foxtailbridge/entry/relay"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// Arm says which release a request gets.
type Arm string

// Arms.
const (
	// ArmAny means that no order is under way.
	ArmAny Arm = "any"
	ArmOld Arm = "old"
	ArmNew Arm = "new"
)

// releases decides which release a request gets while an order is under way.
type releases struct {
	logger hclog.Logger
	clock  *clock.Clock
	limits *atomic.Pointer[Limits]
	// stopped reports whether an order's new release was found bad.
	stopped func(catalog.OrderNumber) bool
	// hold tells all instances to keep a session on the old release, held
	// reports whether any did.
	hold func(relay.SessionHold)
	held func(relay.SessionHold) bool

	mu       sync.Mutex
	sessions map[string]pin
	swept    clock.Millis
	// bad holds the releases that an order brought in and that were rolled back.
	bad map[badRelease]bool
	// met holds the orders whose old sessions were told.
	met map[catalog.OrderNumber]bool
}

func newReleases(c *clock.Clock, limits *atomic.Pointer[Limits], r *relay.Relay, logger hclog.Logger) *releases {
	return &releases{
		logger: logger, clock: c, limits: limits, stopped: r.ReleaseStopped, hold: r.HoldSession, held: r.SessionHeld,
		sessions: map[string]pin{}, bad: map[badRelease]bool{}, met: map[catalog.OrderNumber]bool{},
	}
}

type badRelease struct {
	service ticket.ServiceName
	release catalog.Release
}

// pin is the release on which a session ran last.
type pin struct {
	release catalog.Release
	until   clock.Millis
}

// progress is where an order stands.
type progress struct {
	order   *catalog.Order
	outcome registry.Outcome
	phase   rollout.Phase
	elapsed clock.Millis
}

// orderOf returns the progress of a service's order, or nil if there is none.
func (r *releases) orderOf(view *registry.State, service ticket.ServiceName) *progress {
	order := view.Orders[service]
	if order == nil {
		return nil
	}
	p := &progress{order: order, outcome: registry.OutcomeRunning, elapsed: r.clock.Mono() - order.StartedAt}
	p.phase = rollout.PhaseAt(p.elapsed, order.Duration)
	status, ok := view.Statuses[service]
	if ok && status.AppliesTo(order) && status.Outcome.Final() {
		p.outcome = status.Outcome
	} else if r.stopped(order.Number) {
		p.outcome = registry.OutcomeRolledBack
	}
	r.note(service, p)
	if p.phase == rollout.PhaseSettle {
		r.holdAll(p)
	}
	return p
}

// note remembers a release that was rolled back: its endpoints go on for some
// seconds, and the next order must not take them for the old release.
func (r *releases) note(service ticket.ServiceName, p *progress) {
	key := badRelease{service, p.order.Target}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.outcome == registry.OutcomeRolledBack {
		r.bad[key] = true
	} else {
		delete(r.bad, key)
	}
}

// holdAll tells all instances of the sessions that ran on the old release
// before the order and that the canary would take.
func (r *releases) holdAll(p *progress) {
	now := r.clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.met[p.order.Number] {
		return
	}
	r.met[p.order.Number] = true
	held := 0
	for session, last := range r.sessions {
		if now < last.until && r.holdOne(p, session, last.release) {
			held++
		}
	}
	r.logger.Info("sessions-held", "service", p.order.Service, "target", p.order.Target, "order", p.order.Number, "sessions", held, "known", len(r.sessions))
}

// holdOne tells of one session if the canary would take it.
func (r *releases) holdOne(p *progress, session string, release catalog.Release) bool {
	if release == p.order.Target || bucket(p.order, session) >= rollout.CanaryShare(r.limits.Load().Exposure) {
		return false
	}
	r.hold(holdOf(p.order, session))
	return true
}

func holdOf(order *catalog.Order, session string) relay.SessionHold {
	return relay.SessionHold{Order: order.Number, Session: xxhash.Sum64String(session)}
}

// bucket places a session between 0 and 1, the same at every instance.
func bucket(order *catalog.Order, session string) float64 {
	return float64(xxhash.Sum64String(string(order.Target)+"\x00"+session)) / math.MaxUint64
}

// sound filters out the endpoints of releases that were rolled back.
func (r *releases) sound(view *registry.State) func(*catalog.Endpoint) bool {
	return func(e *catalog.Endpoint) bool {
		r.mu.Lock()
		bad := r.bad[badRelease{e.Service, e.Release}]
		r.mu.Unlock()
		return !bad && view.Usable(e)
	}
}

// old filters the endpoints of the release that an order replaces.
func (r *releases) old(view *registry.State, p *progress) func(*catalog.Endpoint) bool {
	sound, target := r.sound(view), p.order.Target
	return func(e *catalog.Endpoint) bool { return e.Release != target && sound(e) }
}

// ended reports whether an order that is over has taken the release away.
func (r *releases) ended(view *registry.State, service ticket.ServiceName, release catalog.Release) bool {
	p := r.orderOf(view, service)
	if p == nil {
		return false
	}
	switch p.outcome {
	case registry.OutcomeCompleted:
		return release != p.order.Target
	case registry.OutcomeRolledBack:
		return release == p.order.Target
	}
	return false
}

// pick returns the arm for a request and a filter for its endpoints.
func (r *releases) pick(view *registry.State, service ticket.ServiceName, session string) (Arm, func(*catalog.Endpoint) bool, *progress) {
	p := r.orderOf(view, service)
	if p == nil {
		return ArmAny, r.sound(view), nil
	}
	arm := r.arm(p, session)
	target := p.order.Target
	if arm == ArmOld {
		return arm, r.old(view, p), p
	}
	return arm, func(e *catalog.Endpoint) bool { return e.Release == target && view.Usable(e) }, p
}

func (r *releases) arm(p *progress, session string) Arm {
	switch p.outcome {
	case registry.OutcomeCompleted:
		return ArmNew
	case registry.OutcomeRolledBack:
		return ArmOld
	}
	switch last, pinned := r.pinned(session); {
	case pinned && last == p.order.Target:
		return ArmNew
	case pinned && rollout.SessionsPinned(p.elapsed, p.order.Duration):
		return ArmOld
	}
	if bucket(p.order, session) >= rollout.Share(p.elapsed, p.order.Duration, r.limits.Load().Exposure) {
		return ArmOld
	}
	if rollout.SessionsPinned(p.elapsed, p.order.Duration) && r.held(holdOf(p.order, session)) {
		return ArmOld
	}
	return ArmNew
}

// pinned returns the release on which a session ran last, if that binds it still.
func (r *releases) pinned(session string) (catalog.Release, bool) {
	now := r.clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.sessions[session]
	return last.release, ok && now < last.until
}

// remember pins a session to the release on which it runs, until the session's
// span after the time at which it is known or expected to end.
func (r *releases) remember(session string, release catalog.Release, ends clock.Millis, p *progress) {
	now, span := r.clock.Mono(), r.limits.Load().SessionTTL
	r.mu.Lock()
	defer r.mu.Unlock()
	if p != nil && rollout.SessionsPinned(p.elapsed, p.order.Duration) {
		r.holdOne(p, session, release)
	}
	r.sessions[session] = pin{release: release, until: ends + span}
	if now-r.swept < span {
		return
	}
	r.swept = now
	for s, p := range r.sessions {
		if now >= p.until {
			delete(r.sessions, s)
		}
	}
}
