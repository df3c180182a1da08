package router

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"foxtailbridge/entry/claims"
	"foxtailbridge/entry/config"
	"foxtailbridge/entry/gatekeeper"
	"foxtailbridge/entry/learning"
	"foxtailbridge/entry/ledger"
	"foxtailbridge/entry/pool"
	"foxtailbridge/link/caller"
	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/session"
)

// Step names a point in the processing of a request. Tests use it to crash an
// instance there.
type Step string

// Steps of a request, in order.
const (
	StepAdmitted   Step = "admitted"
	StepClaimed    Step = "claimed"
	StepDispatched Step = "dispatched"
	StepAnswered   Step = "answered"
	StepBilled     Step = "billed"
	StepFinished   Step = "finished"
)

// Dependencies are the components of an instance that the router uses.
type Dependencies struct {
	Config  *config.Store
	Pool    *pool.Pool
	Claims  *claims.Claimer
	Ledger  *ledger.Ledger
	Gate    *gatekeeper.Gatekeeper
	Learner *learning.Learner
	Signer  *session.Signer
	// FetchOutcome asks the instance that claimed a request for its outcome,
	// and waits up to the given time while the request is running.
	FetchOutcome func(ctx context.Context, id claim.RequestID, entry claim.Entry, wait clock.Millis) claim.Outcome
}

// Router serves the requests of one instance.
type Router struct {
	// OnStep is called when a request reaches a step.
	OnStep func(step Step, id claim.RequestID)

	instance  string
	deps      Dependencies
	clock     *clock.Clock
	logger    hclog.Logger
	metrics   tally.Scope
	decisions *DecisionLog
	queue     *admissionQueue

	mu            sync.Mutex
	random        *rand.Rand
	budget        *admission.RetryBudget
	ratingWaiters map[claim.RequestID]chan bool
	timelyRatings timelyRatingRatio
	inFlight      int
	drained       chan struct{}
	draining      bool
	// waiting is done once StopWaiting was called.
	waiting     context.Context
	stopWaiting context.CancelFunc
}

// New returns a Router for the instance.
func New(instance string, deps Dependencies, c *clock.Clock, random *rand.Rand, logger hclog.Logger, metrics tally.Scope) *Router {
	waiting, stopWaiting := context.WithCancel(context.Background())
	r := &Router{
		OnStep:        func(Step, claim.RequestID) {},
		instance:      instance,
		deps:          deps,
		clock:         c,
		logger:        logger.Named("router"),
		metrics:       metrics,
		decisions:     NewDecisionLog(),
		queue:         newQueue(c),
		random:        random,
		budget:        admission.NewRetryBudget(),
		ratingWaiters: map[claim.RequestID]chan bool{},
		drained:       make(chan struct{}),
		waiting:       waiting,
		stopWaiting:   stopWaiting,
	}
	deps.Learner.OnRating = r.deliverRating
	return r
}

// Run periodically updates the admission limit and processes the queue until ctx
// is done.
func (r *Router) Run(ctx context.Context, instances func() int) {
	for r.clock.Sleep(ctx, queueTickPeriod) == nil {
		r.queue.setLimit(inFlightLimit(r.deps.Pool.Slots(), instances()))
		r.queue.tick()
	}
}

// Decisions returns the log of recent decisions.
func (r *Router) Decisions() *DecisionLog {
	return r.decisions
}

// beginRequest counts a request as in flight. It returns a problem if the
// instance is draining or can't serve requests.
func (r *Router) beginRequest(id claim.RequestID, outcome claim.State) *caller.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.draining:
		return unavailableProblem(id, caller.CodeDraining, outcome, "this instance is shutting down", clock.Second)
	case !r.deps.Config.Ready():
		return unavailableProblem(id, caller.CodeNotReady, outcome, "this instance has no configuration yet", clock.Second)
	case !r.deps.Ledger.Accepting():
		return unavailableProblem(id, caller.CodeBillingBlocked, outcome, "bills can be made safe neither in the log nor with another instance", 5*clock.Second)
	}
	r.inFlight++
	return nil
}

func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	if r.draining && r.inFlight == 0 {
		close(r.drained)
	}
}

// Drain refuses new requests and waits for the in-flight requests to complete.
// It returns false if ctx is done first.
func (r *Router) Drain(ctx context.Context) bool {
	r.mu.Lock()
	if !r.draining {
		r.draining = true
		if r.inFlight == 0 {
			close(r.drained)
		}
	}
	r.mu.Unlock()
	select {
	case <-r.drained:
		return true
	case <-ctx.Done():
		return false
	}
}

// Draining reports whether Drain was called.
func (r *Router) Draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// InFlight returns the number of in-flight requests.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inFlight
}

// chance returns true with the given probability.
func (r *Router) chance(probability float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < probability
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take()
}

func (r *Router) recordSuccess() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordSuccess()
}

// unavailableProblem returns a problem with status 503.
func unavailableProblem(id claim.RequestID, code caller.Code, outcome claim.State, detail string, retryAfter clock.Millis) *caller.Problem {
	return newProblem(id, statusUnavailable, code, outcome, detail, retryAfter)
}

func newProblem(id claim.RequestID, status int, code caller.Code, outcome claim.State, detail string, retryAfter clock.Millis) *caller.Problem {
	p := caller.NewProblem(status, code, outcome, detail)
	p.RequestID = id
	p.RetryAfter = retryAfter
	return p
}
