package forward

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/entry/registry"
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
	clock  *clock.Clock
	limits *atomic.Pointer[Limits]
	// stopped reports whether an order's new release was found bad.
	stopped func(catalog.OrderNumber) bool

	mu       sync.Mutex
	sessions map[string]pin
	swept    clock.Millis
	// bad holds the releases that an order brought in and that were rolled back.
	bad map[badRelease]bool
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
	p := &progress{order: order, outcome: registry.OutcomeRunning, elapsed: r.clock.Mono() - order.Seen}
	p.phase = rollout.PhaseAt(p.elapsed, order.Span)
	status, ok := view.Statuses[service]
	if ok && status.Target == order.Target && status.Outcome.Final() && (status.Order == 0 || status.Order == order.Number) {
		p.outcome = status.Outcome
	} else if r.stopped(order.Number) {
		p.outcome = registry.OutcomeRolledBack
	}
	r.note(service, p)
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

// sound filters out the endpoints of releases that were rolled back.
func (r *releases) sound(view *registry.State) func(*catalog.Endpoint) bool {
	return func(e *catalog.Endpoint) bool {
		r.mu.Lock()
		bad := r.bad[badRelease{e.Service, e.Release}]
		r.mu.Unlock()
		return !bad && view.Holds(e)
	}
}

// old filters the endpoints of the release that an order replaces.
func (r *releases) old(view *registry.State, p *progress) func(*catalog.Endpoint) bool {
	sound, target := r.sound(view), p.order.Target
	return func(e *catalog.Endpoint) bool { return e.Release != target && sound(e) }
}

// shareBuckets is the resolution of a canary's share.
const shareBuckets = 10000

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
	return arm, func(e *catalog.Endpoint) bool { return e.Release == target && view.Holds(e) }, p
}

func (r *releases) arm(p *progress, session string) Arm {
	switch p.outcome {
	case registry.OutcomeCompleted:
		return ArmNew
	case registry.OutcomeRolledBack:
		return ArmOld
	}
	now := r.clock.Mono()
	r.mu.Lock()
	last, pinned := r.sessions[session]
	r.mu.Unlock()
	if pinned && now < last.until {
		if last.release == p.order.Target {
			return ArmNew
		}
		if rollout.FirstHalf(p.elapsed, p.order.Span) {
			return ArmOld
		}
	}
	share := rollout.CanaryShare(p.phase, r.limits.Load().Exposure)
	bucket := xxhash.Sum64String(string(p.order.Target)+"\x00"+session) % shareBuckets
	if float64(bucket) < share*shareBuckets {
		return ArmNew
	}
	return ArmOld
}

// remember pins a session to the release on which it ran.
func (r *releases) remember(session string, release catalog.Release) {
	if session == "" {
		return
	}
	now := r.clock.Mono()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[session] = pin{release: release, until: now + r.limits.Load().SessionSpan}
	if now-r.swept < r.limits.Load().SessionSpan {
		return
	}
	r.swept = now
	for s, p := range r.sessions {
		if now >= p.until {
			delete(r.sessions, s)
		}
	}
}
