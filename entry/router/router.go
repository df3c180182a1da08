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

// Step names a point in a request's life, for tests that stop an instance there.
type Step string

// Steps of a request.
const (
	StepAdmitted   Step = "admitted"
	StepClaimed    Step = "claimed"
	StepDispatched Step = "dispatched"
	StepAnswered   Step = "answered"
	StepBilled     Step = "billed"
	StepFinished   Step = "finished"
)

// Dependencies are the parts of an instance that the router uses.
type Dependencies struct {
	Config  *config.Store
	Pool    *pool.Pool
	Claims  *claims.Claimer
	Ledger  *ledger.Ledger
	Gate    *gatekeeper.Gatekeeper
	Learner *learning.Learner
	Signer  *session.Signer
	// FetchOutcome asks another instance what became of a request that it claimed.
	FetchOutcome func(ctx context.Context, id claim.RequestID, holding claim.Holding, wait clock.Millis) claim.Outcome
}

// Router serves the requests of one instance.
type Router struct {
	// OnStep is called at each step of a request.
	OnStep func(step Step, id claim.RequestID)

	instance string
	parts    Dependencies
	clock    *clock.Clock
	logger   hclog.Logger
	metrics  tally.Scope
	journal  *DecisionLog
	queue    *queue

	mu      sync.Mutex
	random  *rand.Rand
	budget  *admission.RetryBudget
	raters  map[claim.RequestID]chan bool
	rated   ratedShare
	active  int
	drained chan struct{}
	closing bool
}

// New returns a Router for the instance.
func New(instance string, parts Dependencies, c *clock.Clock, random *rand.Rand, logger hclog.Logger, metrics tally.Scope) *Router {
	r := &Router{
		OnStep:   func(Step, claim.RequestID) {},
		instance: instance,
		parts:    parts,
		clock:    c,
		logger:   logger.Named("router"),
		metrics:  metrics,
		journal:  NewDecisionLog(),
		queue:    newQueue(c),
		random:   random,
		budget:   admission.NewRetryBudget(),
		raters:   map[claim.RequestID]chan bool{},
		drained:  make(chan struct{}),
	}
	parts.Learner.Rated = r.deliverRating
	return r
}

// Run keeps the admission limit and the queue in order until ctx ends.
func (r *Router) Run(ctx context.Context, instances func() int) {
	for r.clock.Sleep(ctx, queueTick) == nil {
		r.queue.setLimit(limitFor(r.parts.Pool.Slots(), instances()))
		r.queue.tick()
	}
}

// Decisions returns the recent decisions.
func (r *Router) Decisions() *DecisionLog {
	return r.journal
}

// enter counts a request in, unless the instance is draining or cannot serve.
func (r *Router) enter(id claim.RequestID, outcome claim.State) *caller.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.closing:
		return refuse(id, caller.CodeDraining, outcome, "this instance is shutting down", clock.Second)
	case !r.parts.Config.Ready():
		return refuse(id, caller.CodeNotReady, outcome, "this instance has no configuration yet", clock.Second)
	case !r.parts.Ledger.Accepting():
		return refuse(id, caller.CodeBillingBlocked, outcome, "bills can be made safe neither in the log nor with another instance", 5*clock.Second)
	}
	r.active++
	return nil
}

func (r *Router) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	if r.closing && r.active == 0 {
		close(r.drained)
	}
}

// Drain refuses new requests and waits until the running ones have ended, or ctx does.
func (r *Router) Drain(ctx context.Context) bool {
	r.mu.Lock()
	if !r.closing {
		r.closing = true
		if r.active == 0 {
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
	return r.closing
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.active
}

// chance draws whether something of the given probability happens.
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

func (r *Router) succeed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Succeed()
}

// refuse returns a problem of status 503.
func refuse(id claim.RequestID, code caller.Code, outcome claim.State, detail string, retryAfter clock.Millis) *caller.Problem {
	return problem(id, statusUnavailable, code, outcome, detail, retryAfter)
}

func problem(id claim.RequestID, status int, code caller.Code, outcome claim.State, detail string, retryAfter clock.Millis) *caller.Problem {
	p := caller.NewProblem(status, code, outcome, detail)
	p.RequestID = id
	p.RetryAfter = retryAfter
	return p
}
