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

// Arm says which release a request gets: the old or the new one of an order.
type Arm string

// Arms of an order.
const (
	// ArmAny means that the service has no order.
	ArmAny Arm = "any"
	ArmOld Arm = "old"
	ArmNew Arm = "new"
)

// releaseRouter decides which release a request gets while an order is under way.
type releaseRouter struct {
	logger hclog.Logger
	clock  *clock.Clock
	limits *atomic.Pointer[Limits]
	// stopped reports whether an order's new release was found bad.
	stopped func(catalog.OrderNumber) bool
	// lightLoad returns the plan for an order of a service under light load, or nil.
	lightLoad func(catalog.OrderNumber) *rollout.LightLoad
	// hold tells all instances to keep a session on the old release; held reports
	// whether any instance did.
	hold func(relay.SessionHold)
	held func(relay.SessionHold) bool

	mu        sync.Mutex
	sessions  map[string]pin
	lastSweep clock.Millis
	// rolledBack holds the releases that were rolled back.
	rolledBack map[serviceRelease]bool
	// heldOrders holds the orders whose old sessions were announced by holdSessions.
	heldOrders map[catalog.OrderNumber]bool
}

func newReleaseRouter(c *clock.Clock, limits *atomic.Pointer[Limits], r *relay.Relay, logger hclog.Logger) *releaseRouter {
	return &releaseRouter{
		logger: logger, clock: c, limits: limits, stopped: r.ReleaseStopped, lightLoad: r.LightLoad, hold: r.HoldSession, held: r.SessionHeld,
		sessions: map[string]pin{}, rolledBack: map[serviceRelease]bool{}, heldOrders: map[catalog.OrderNumber]bool{},
	}
}

type serviceRelease struct {
	service ticket.ServiceName
	release catalog.Release
}

// pin is the release on which a session ran last, and until when it must stay there.
type pin struct {
	release   catalog.Release
	expiresAt clock.Millis
}

// progress is the state of an order.
type progress struct {
	order    *catalog.Order
	outcome  registry.Outcome
	schedule rollout.Schedule
	elapsed  clock.Millis
}

// phaseOn returns the phase of a route.
func (p *progress) phaseOn(route catalog.RouteName) rollout.Phase {
	return p.schedule.PhaseOn(route, p.elapsed)
}

// progressOf returns the progress of a service's order, or nil if there is none. It
// also records rollbacks and, in the settle phase, announces the sessions to hold.
func (r *releaseRouter) progressOf(view *registry.State, service ticket.ServiceName) *progress {
	order := view.Orders[service]
	if order == nil {
		return nil
	}
	p := &progress{order: order, outcome: registry.OutcomeRunning, elapsed: r.clock.Mono() - order.StartedAt}
	p.schedule = rollout.Schedule{Duration: order.Duration, LightLoad: r.lightLoad(order.Number)}
	status, ok := view.Statuses[service]
	if ok && status.AppliesTo(order) && status.Outcome.Final() {
		p.outcome = status.Outcome
	} else if r.stopped(order.Number) {
		p.outcome = registry.OutcomeRolledBack
	}
	r.recordRollback(service, p)
	if p.schedule.PhaseAt(p.elapsed) == rollout.PhaseSettle {
		r.holdSessions(p)
	}
	return p
}

// recordRollback records whether an order's target was rolled back. Its endpoints run
// on for some seconds, and the next order must not take them for the old release.
func (r *releaseRouter) recordRollback(service ticket.ServiceName, p *progress) {
	key := serviceRelease{service, p.order.Target}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.outcome == registry.OutcomeRolledBack {
		r.rolledBack[key] = true
	} else {
		delete(r.rolledBack, key)
	}
}

// holdSessions announces to all instances, once per order, the sessions on the old
// release that the canary would otherwise move.
func (r *releaseRouter) holdSessions(p *progress) {
	now := r.clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heldOrders[p.order.Number] {
		return
	}
	r.heldOrders[p.order.Number] = true
	held := 0
	for session, last := range r.sessions {
		if now < last.expiresAt && r.holdIfCanary(p, session, last.release) {
			held++
		}
	}
	r.logger.Info("sessions-held", "service", p.order.Service, "target", p.order.Target, "order", p.order.Number, "sessions", held, "known", len(r.sessions))
}

// holdIfCanary announces one session if the canary would move it.
func (r *releaseRouter) holdIfCanary(p *progress, session string, release catalog.Release) bool {
	if release == p.order.Target || sessionBucket(p.order, session) >= rollout.CanaryShare(r.limits.Load().Exposure) {
		return false
	}
	r.hold(newHold(p.order, session))
	return true
}

func newHold(order *catalog.Order, session string) relay.SessionHold {
	return relay.SessionHold{Order: order.Number, Session: xxhash.Sum64String(session)}
}

// sessionBucket hashes a session to a value from 0 to 1 that is the same on every
// instance.
func sessionBucket(order *catalog.Order, session string) float64 {
	return float64(xxhash.Sum64String(string(order.Target)+"\x00"+session)) / math.MaxUint64
}

// usableFilter returns a filter for the endpoints that the view allows and whose
// release was not rolled back.
func (r *releaseRouter) usableFilter(view *registry.State) func(*catalog.Endpoint) bool {
	return func(e *catalog.Endpoint) bool {
		r.mu.Lock()
		rolledBack := r.rolledBack[serviceRelease{e.Service, e.Release}]
		r.mu.Unlock()
		return !rolledBack && view.Usable(e)
	}
}

// oldReleaseFilter returns a filter for the usable endpoints of the release that an
// order replaces.
func (r *releaseRouter) oldReleaseFilter(view *registry.State, p *progress) func(*catalog.Endpoint) bool {
	usable, target := r.usableFilter(view), p.order.Target
	return func(e *catalog.Endpoint) bool { return e.Release != target && usable(e) }
}

// releaseRetired reports whether a finished order has removed the release.
func (r *releaseRouter) releaseRetired(view *registry.State, service ticket.ServiceName, release catalog.Release) bool {
	p := r.progressOf(view, service)
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

// pickArm returns the arm for a request and a filter for its endpoints.
func (r *releaseRouter) pickArm(view *registry.State, service ticket.ServiceName, route catalog.RouteName, session string) (Arm, func(*catalog.Endpoint) bool, *progress) {
	p := r.progressOf(view, service)
	if p == nil {
		return ArmAny, r.usableFilter(view), nil
	}
	arm := r.armFor(p, route, session)
	target := p.order.Target
	if arm == ArmOld {
		return arm, r.oldReleaseFilter(view, p), p
	}
	return arm, func(e *catalog.Endpoint) bool { return e.Release == target && view.Usable(e) }, p
}

func (r *releaseRouter) armFor(p *progress, route catalog.RouteName, session string) Arm {
	switch p.outcome {
	case registry.OutcomeCompleted:
		return ArmNew
	case registry.OutcomeRolledBack:
		return ArmOld
	}
	switch last, pinned := r.pinnedRelease(session); {
	case pinned && last == p.order.Target:
		return ArmNew
	case pinned && rollout.SessionsPinned(p.elapsed, p.order.Duration):
		return ArmOld
	}
	if sessionBucket(p.order, session) >= p.schedule.Share(route, p.elapsed, r.limits.Load().Exposure) {
		return ArmOld
	}
	if rollout.SessionsPinned(p.elapsed, p.order.Duration) && r.held(newHold(p.order, session)) {
		return ArmOld
	}
	return ArmNew
}

// pinnedRelease returns the release to which a session is pinned, if it is.
func (r *releaseRouter) pinnedRelease(session string) (catalog.Release, bool) {
	now := r.clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.sessions[session]
	return last.release, ok && now < last.expiresAt
}

// pinSession pins a session to the release on which it runs, until SessionTTL after the
// known or expected end of its response. It also removes expired pins from time to
// time.
func (r *releaseRouter) pinSession(session string, release catalog.Release, end clock.Millis, p *progress) {
	now, ttl := r.clock.Mono(), r.limits.Load().SessionTTL
	r.mu.Lock()
	defer r.mu.Unlock()
	if p != nil && rollout.SessionsPinned(p.elapsed, p.order.Duration) {
		r.holdIfCanary(p, session, release)
	}
	r.sessions[session] = pin{release: release, expiresAt: end + ttl}
	if now-r.lastSweep < ttl {
		return
	}
	r.lastSweep = now
	for s, p := range r.sessions {
		if now >= p.expiresAt {
			delete(r.sessions, s)
		}
	}
}
