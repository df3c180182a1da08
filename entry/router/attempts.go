package router

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/google/uuid"

	"foxtailbridge/entry/gatekeeper"
	"foxtailbridge/entry/pool"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

const (
	// maxAttempts limits, per request and version, the attempts that may have
	// reached an engine.
	maxAttempts = 4
	// endpointBackoff is the initial backoff of a request for which no endpoint
	// is available. For chat requests it doubles with each try, up to
	// maxEndpointBackoff; service calls use it unchanged.
	endpointBackoff    = 25 * clock.Millis(1)
	maxEndpointBackoff = 400 * clock.Millis(1)
	// resumeTimeout limits the wait for a retry token, and then for an endpoint,
	// to resume an interrupted stream.
	resumeTimeout = 5 * clock.Second
)

// attemptRunner dispatches a request to endpoints of one version, and retries
// and resumes until the answer is complete.
type attemptRunner struct {
	job     *chatJob
	version ticket.VersionRef
	// tried lists the endpoints at which an attempt failed.
	tried []routing.EndpointID
	// reachedEngine is true once an attempt may have reached an engine.
	reachedEngine bool
	// isolate asks for an endpoint without other requests, since this request
	// is suspected of crashing engines.
	isolate bool
	// backoff is the most recent wait for an endpoint.
	backoff clock.Millis
	// started is set with the first token. The goroutine of cancelAt reads it.
	started atomic.Bool
	// submittedForRating is true once the answer was submitted for rating.
	submittedForRating bool

	text strings.Builder
	// received counts the tokens received so far.
	received int
	end      *endpoint.StreamResult
}

// run returns nil once the answer is complete.
func (a *attemptRunner) run(ctx context.Context) *caller.Problem {
	a.job.router.deps.Learner.RecordExposure(a.version)
	var last error
	for executed := 0; executed < maxAttempts; {
		if executed > 0 && !a.acquireRetry(ctx) {
			return a.giveUp(ctx, last, "no retry budget")
		}
		a.isolate = a.job.router.deps.Learner.Verdict(a.job.digest) == quarantine.VerdictSuspect
		dispatch, permit, p := a.findEndpoint(ctx)
		if p != nil {
			return p
		}
		last = a.dispatch(ctx, dispatch, permit)
		if last == nil {
			return nil
		}
		if p := a.handleFailure(ctx, dispatch, last); p != nil {
			return p
		}
		if mayHaveRun(last) {
			executed++
		}
	}
	return a.giveUp(ctx, last, "too many attempts")
}

// acquireRetry takes a retry from the retry budget. If tokens were already
// received, it waits up to resumeTimeout for one.
func (a *attemptRunner) acquireRetry(ctx context.Context) bool {
	r := a.job.router
	for until := r.clock.Mono() + resumeTimeout; !r.takeRetry(); {
		if a.received == 0 || r.clock.Mono()+maxEndpointBackoff > until || r.clock.Sleep(ctx, maxEndpointBackoff) != nil {
			return false
		}
	}
	return true
}

// mayHaveRun reports whether a failed attempt may have reached an engine.
func mayHaveRun(err error) bool {
	kind := fault.KindOf[endpoint.Kind](err)
	return kind != endpoint.KindNotSent && kind != endpoint.KindRefused
}

// handleFailure records a failed attempt. It returns a problem if the request
// must not be retried.
func (a *attemptRunner) handleFailure(ctx context.Context, d *pool.Dispatch, err error) *caller.Problem {
	kind := fault.KindOf[endpoint.Kind](err)
	r := a.job.router
	r.logDecision("attempt-failed", "request", a.job.ID, "endpoint", d.ID, "kind", kind, "tokens", a.received, "error", err)
	if mayHaveRun(err) {
		a.reachedEngine = true
		a.job.mayHaveRun = true
	}
	if kind != endpoint.KindIncomplete {
		// An engine that only interrupted the stream can resume it, so it
		// stays a candidate.
		a.tried = append(a.tried, d.ID)
	}
	switch {
	case kind == endpoint.KindCanceled:
		return a.canceledProblem(ctx)
	case kind == endpoint.KindOverrun:
		return a.giveUp(ctx, err, "no answer")
	case r.deps.Learner.Verdict(a.job.digest) == quarantine.VerdictQuarantined:
		return a.job.quarantinedProblem()
	}
	return nil
}

func (a *attemptRunner) canceledProblem(ctx context.Context) *caller.Problem {
	if ctx.Err() != nil {
		return interruptedProblem(ctx, a.job.ID, a.outcome())
	}
	return newProblem(a.job.ID, http.StatusGatewayTimeout, caller.CodeDeadline, a.outcome(), "no first token within the workspace's deadline", clock.Second)
}

// statusClientClosed is the non-standard status that nginx introduced for a
// client that closed its connection.
const statusClientClosed = 499

// outcome returns the outcome to report if the request is refused now.
func (a *attemptRunner) outcome() claim.State {
	if a.job.mayHaveRun || a.received > 0 {
		return claim.StateUnknown
	}
	return refusalOutcome(a.job.GeneratedID)
}

func (a *attemptRunner) giveUp(ctx context.Context, last error, why string) *caller.Problem {
	if ctx.Err() != nil {
		return a.canceledProblem(ctx)
	}
	code := caller.CodeEndpointFailed
	if a.received > 0 {
		code = caller.CodeIncomplete
	}
	return newProblem(a.job.ID, http.StatusBadGateway, code, a.outcome(), why+": "+errorText(last), clock.Second)
}

func errorText(err error) string {
	if err == nil {
		return "no attempt was made"
	}
	return err.Error()
}

// findEndpoint looks for an endpoint, with backoff, until the request's
// deadline. If an endpoint in cold start is chosen, it also returns a permit.
func (a *attemptRunner) findEndpoint(ctx context.Context) (*pool.Dispatch, *gatekeeper.Permit, *caller.Problem) {
	r := a.job.router
	deadline := a.job.deadline
	if a.received > 0 {
		deadline = max(deadline, r.clock.Mono()+resumeTimeout)
	}
	for {
		d, permit, reason := a.tryFindEndpoint(ctx)
		if d != nil {
			return d, permit, nil
		}
		a.backoff = min(max(2*a.backoff, endpointBackoff), maxEndpointBackoff)
		if !isTransient(reason) || r.clock.Mono()+a.backoff > deadline {
			return nil, nil, a.noEndpointProblem(reason)
		}
		if r.clock.Sleep(ctx, a.backoff) != nil {
			return nil, nil, a.canceledProblem(ctx)
		}
		if reason == routing.ReasonTriedBefore {
			a.tried = nil
		}
	}
}

// isTransient reports whether an endpoint may become available soon although
// the last search failed for the given reason.
func isTransient(reason routing.Reason) bool {
	switch reason {
	case routing.ReasonCold, routing.ReasonDown, routing.ReasonFull, routing.ReasonTriedBefore, routing.ReasonEjected,
		routing.ReasonDraining, routing.ReasonNoEndpoint, routing.ReasonViewStale:
		return true
	}
	return false
}

func (a *attemptRunner) query() *routing.Query {
	deps := &a.job.router.deps
	return &routing.Query{
		View:        deps.Config.View(),
		Freshness:   deps.Config.Freshness(),
		Workspace:   a.job.Workspace,
		Target:      routing.Target{Version: a.version},
		Prefix:      a.job.prefix,
		Tried:       a.tried,
		RequireIdle: a.isolate,
	}
}

// tryFindEndpoint makes one search. It prefers warm endpoints, except for
// requests that tryWarmUp sends to a cold one, and falls back to endpoints in
// cold start.
func (a *attemptRunner) tryFindEndpoint(ctx context.Context) (*pool.Dispatch, *gatekeeper.Permit, routing.Reason) {
	r := a.job.router
	if reason := a.job.checkVersion(a.version); reason != routing.Permitted {
		return nil, nil, reason
	}
	q := a.query()
	if d, permit := a.tryWarmUp(ctx, q); d != nil {
		return d, permit, routing.ReasonWarmUp
	}
	d, choice := r.deps.Pool.Begin(q, a.job.digest)
	if d != nil {
		a.logRoute(d)
		return d, nil, choice.Reason
	}
	d, permit := a.findColdEndpoint(ctx, q, routing.ReasonCold)
	if d == nil {
		return nil, nil, choice.Reason
	}
	return d, permit, routing.ReasonCold
}

// urgentWarmUpRatio is the fraction of urgent requests that may be used to warm
// up an endpoint.
const urgentWarmUpRatio = 0.2

// tryWarmUp picks a cold endpoint for the request even if warm endpoints are
// available, since an endpoint that gets no requests stays cold. Only the
// instance that holds the zone's gate lease does this. Urgent requests are
// rarely used, since a cold endpoint is slow.
func (a *attemptRunner) tryWarmUp(ctx context.Context, q *routing.Query) (*pool.Dispatch, *gatekeeper.Permit) {
	r := a.job.router
	if a.reachedEngine || !r.deps.Gate.HoldsLease() {
		return nil, nil
	}
	if a.job.workspace.Priority == ticket.PriorityUrgent && !r.chance(urgentWarmUpRatio) {
		return nil, nil
	}
	return a.findColdEndpoint(ctx, q, routing.ReasonWarmUp)
}

// findColdEndpoint chooses an endpoint in cold start and acquires the permit
// that is required to dispatch to it. It returns nil without both.
func (a *attemptRunner) findColdEndpoint(ctx context.Context, q *routing.Query, reason routing.Reason) (*pool.Dispatch, *gatekeeper.Permit) {
	r := a.job.router
	d := r.deps.Pool.BeginCold(q, a.job.digest, reason)
	if d == nil {
		return nil, nil
	}
	permit := r.deps.Gate.Acquire(ctx, d.Zone, d.ID, uuid.NewString(), d.ColdLimit)
	if permit == nil {
		r.deps.Pool.End(d, errNotDispatched)
		return nil, nil
	}
	a.logRoute(d)
	return d, permit
}

// errNotDispatched is passed to Pool.End for a dispatch that was aborted before
// anything was sent. It doesn't count as a failure of the endpoint.
var errNotDispatched = fault.New("dispatch", endpoint.KindCanceled, "nothing was sent")

func (a *attemptRunner) logRoute(d *pool.Dispatch) {
	a.job.router.logDecision("route", "request", a.job.ID, "workspace", a.job.Workspace, "version", a.version,
		"endpoint", d.ID, "zone", d.Zone, "candidates", d.Choice.Considered, "reason", d.Choice.Reason,
		"resume-at", a.received)
}

func (a *attemptRunner) noEndpointProblem(reason routing.Reason) *caller.Problem {
	switch reason {
	case routing.ReasonVersionWithdrawn, routing.ReasonRolloutStopped, routing.ReasonVersionNotAllowed,
		routing.ReasonWorkspaceRemoved, routing.ReasonWorkspaceUnknown, routing.ReasonVersionUnknown:
		p := a.job.versionProblem(reason, a.version)
		p.Outcome = a.outcome()
		return p
	}
	return unavailableProblem(a.job.ID, caller.CodeNoEndpoint, a.outcome(), "no endpoint: "+string(reason), clock.Second)
}

// dispatch sends the request to one endpoint and receives its answer.
func (a *attemptRunner) dispatch(ctx context.Context, d *pool.Dispatch, permit *gatekeeper.Permit) error {
	r := a.job.router
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := a.newAttempt()
	if permit != nil {
		defer permit.Release()
		attempt.AllowCold = true
		attempt.Fence = permit.Fence
		defer r.cancelAt(ctx, permit.Deadline, never, cancel)()
	}
	if a.received == 0 {
		defer r.cancelAt(ctx, a.job.deadline, a.started.Load, cancel)()
	}
	body, err := a.job.Body.ForEngine(string(a.version))
	if err != nil {
		r.deps.Pool.End(d, errNotDispatched)
		return fault.New("dispatch", endpoint.KindFailed, "%w", err)
	}
	// Checked last, right before sending, so that a process pause after the
	// permit was granted is detected.
	if permit != nil && r.clock.Mono() >= permit.Deadline {
		r.deps.Pool.End(d, errNotDispatched)
		return fault.New("dispatch", endpoint.KindNotSent, "the permit expired")
	}
	r.OnStep(StepDispatched, a.job.ID)
	request := &endpoint.StreamRequest{Body: body, ResumeAt: a.received}
	if a.job.Body.HasMaxTokens {
		request.MaxTokens = a.job.Body.MaxTokens
	}
	end, err := d.Endpoint.Stream(ctx, attempt, request, a.emit)
	r.deps.Pool.End(d, err)
	if err == nil {
		a.end = end
		a.clearSuspicion()
	}
	return err
}

func (a *attemptRunner) newAttempt() *endpoint.Attempt {
	return &endpoint.Attempt{
		ID:        endpoint.AttemptID(uuid.NewString()),
		Request:   string(a.job.ID),
		Workspace: a.job.Workspace,
		Priority:  a.job.workspace.Priority,
	}
}

func (a *attemptRunner) clearSuspicion() {
	if a.isolate {
		a.job.router.deps.Learner.MarkCompletedAlone(a.job.digest)
	}
}

func (a *attemptRunner) emit(text string) error {
	if a.received == 0 {
		a.started.Store(true)
		a.job.router.queue.recordFirstToken(a.job.slot)
		a.job.router.metrics.Timer("first-token").Record((a.job.router.clock.Mono() - a.job.startedAt).Duration())
		if a.job.streaming && a.job.OnStart != nil {
			a.job.OnStart(a.version)
		}
	}
	a.received++
	a.text.WriteString(text)
	if !a.job.streaming {
		return nil
	}
	return a.job.OnText(text)
}

func never() bool { return false }

// cancelAt calls cancel at the given monotonic time unless the condition holds
// by then. The returned function stops the timer.
func (r *Router) cancelAt(ctx context.Context, at clock.Millis, unless func() bool, cancel context.CancelFunc) func() {
	timerCtx, stop := context.WithCancel(ctx)
	go func() {
		if r.clock.Sleep(timerCtx, max(0, at-r.clock.Mono())) == nil && !unless() {
			cancel()
		}
	}()
	return stop
}
