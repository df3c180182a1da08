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
	// maxAttempts bounds the dispatches that may have run, for one request and version.
	maxAttempts = 4
	// endpointWait is how soon a request without an endpoint looks again; the
	// wait doubles up to maxEndpointWait.
	endpointWait    = 25 * clock.Millis(1)
	maxEndpointWait = 400 * clock.Millis(1)
	// brokenWait bounds the search for an endpoint that continues a stream.
	brokenWait = 5 * clock.Second
)

// attempts dispatches a request to endpoints of one version until one answer is whole.
type attempts struct {
	job     *chatJob
	version ticket.VersionRef
	tried   []routing.EndpointID
	sent    bool
	alone   bool
	// pause is the last wait for an endpoint.
	pause clock.Millis
	// begun is set with the first token; another goroutine watches it.
	begun atomic.Bool
	// submitted is true once the answer was handed in to be rated.
	submitted bool

	text     strings.Builder
	received int
	end      *endpoint.StreamEnd
}

// run returns nil once the answer is whole.
func (a *attempts) run(ctx context.Context) *caller.Problem {
	a.job.router.parts.Learner.Expose(a.version)
	var last error
	for ran := 0; ran < maxAttempts; {
		if ran > 0 && !a.mayRetry(ctx) {
			return a.giveUp(ctx, last, "no retry budget")
		}
		a.alone = a.job.router.parts.Learner.Verdict(a.job.digest) == quarantine.VerdictSuspect
		dispatch, permit, p := a.find(ctx)
		if p != nil {
			return p
		}
		last = a.dispatch(ctx, dispatch, permit)
		if last == nil {
			return nil
		}
		if p := a.afterFailure(ctx, dispatch, last); p != nil {
			return p
		}
		if mayHaveRun(last) {
			ran++
		}
	}
	return a.giveUp(ctx, last, "too many attempts")
}

// mayRetry takes a repeat from the budget; a stream that has begun waits for one.
func (a *attempts) mayRetry(ctx context.Context) bool {
	r := a.job.router
	for until := r.clock.Mono() + brokenWait; !r.takeRetry(); {
		if a.received == 0 || r.clock.Mono()+maxEndpointWait > until || r.clock.Sleep(ctx, maxEndpointWait) != nil {
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

// afterFailure returns a problem if the request must not be tried again.
func (a *attempts) afterFailure(ctx context.Context, d *pool.Dispatch, err error) *caller.Problem {
	kind := fault.KindOf[endpoint.Kind](err)
	r := a.job.router
	r.decide("attempt-failed", "request", a.job.ID, "endpoint", d.ID, "kind", kind, "tokens", a.received, "error", err)
	if mayHaveRun(err) {
		a.sent = true
		a.job.ran = true
	}
	if kind != endpoint.KindIncomplete {
		// An engine that only cut the stream can resume it.
		a.tried = append(a.tried, d.ID)
	}
	switch {
	case kind == endpoint.KindCanceled:
		return a.canceled(ctx)
	case kind == endpoint.KindOverrun:
		return a.giveUp(ctx, err, "no answer")
	case r.parts.Learner.Verdict(a.job.digest) == quarantine.VerdictQuarantined:
		return a.job.quarantined()
	}
	return nil
}

func (a *attempts) canceled(ctx context.Context) *caller.Problem {
	if ctx.Err() != nil {
		return problem(a.job.ID, statusClientClosed, caller.CodeCanceled, claim.StateUnknown, "the caller went away", 0)
	}
	return problem(a.job.ID, http.StatusGatewayTimeout, caller.CodeDeadline, a.outcome(), "no first token within the workspace's deadline", clock.Second)
}

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

// outcome is what a refusal at this point may say.
func (a *attempts) outcome() claim.State {
	if a.job.ran || a.received > 0 {
		return claim.StateUnknown
	}
	return refusalOutcome(a.job.GeneratedID)
}

func (a *attempts) giveUp(ctx context.Context, last error, why string) *caller.Problem {
	if ctx.Err() != nil {
		return a.canceled(ctx)
	}
	code := caller.CodeEndpointFailed
	if a.received > 0 {
		code = caller.CodeIncomplete
	}
	return problem(a.job.ID, http.StatusBadGateway, code, a.outcome(), why+": "+errorText(last), clock.Second)
}

func errorText(err error) string {
	if err == nil {
		return "no attempt was made"
	}
	return err.Error()
}

// find waits for an endpoint until the deadline.
func (a *attempts) find(ctx context.Context) (*pool.Dispatch, *gatekeeper.Permit, *caller.Problem) {
	r := a.job.router
	deadline := a.job.deadline
	if a.received > 0 {
		deadline = max(deadline, r.clock.Mono()+brokenWait)
	}
	for {
		d, permit, reason := a.tryFind(ctx)
		if d != nil {
			return d, permit, nil
		}
		a.pause = min(max(2*a.pause, endpointWait), maxEndpointWait)
		if !waitable(reason) || r.clock.Mono()+a.pause > deadline {
			return nil, nil, a.nowhere(reason)
		}
		if r.clock.Sleep(ctx, a.pause) != nil {
			return nil, nil, a.canceled(ctx)
		}
		if reason == routing.ReasonTriedBefore {
			a.tried = nil
		}
	}
}

// waitable reports whether an endpoint may turn up soon.
func waitable(reason routing.Reason) bool {
	switch reason {
	case routing.ReasonCold, routing.ReasonDown, routing.ReasonFull, routing.ReasonTriedBefore, routing.ReasonEjected,
		routing.ReasonLeaving, routing.ReasonNoEndpoint, routing.ReasonStaleView:
		return true
	}
	return false
}

func (a *attempts) query() *routing.Query {
	parts := &a.job.router.parts
	return &routing.Query{
		View:      parts.Config.View(),
		Fresh:     parts.Config.Fresh(),
		Workspace: a.job.Workspace,
		Target:    routing.Target{Version: a.version},
		Prefix:    a.job.prefix,
		Tried:     a.tried,
		Alone:     a.alone,
	}
}

// tryFind looks once, among warm endpoints first, then among those in cold start.
func (a *attempts) tryFind(ctx context.Context) (*pool.Dispatch, *gatekeeper.Permit, routing.Reason) {
	r := a.job.router
	if reason := a.job.permit(a.version); reason != routing.Permitted {
		return nil, nil, reason
	}
	q := a.query()
	if d, permit := a.warmUp(ctx, q); d != nil {
		return d, permit, routing.ReasonWarmUp
	}
	d, choice := r.parts.Pool.Begin(q, a.job.digest)
	if d != nil {
		a.logRoute(d)
		return d, nil, choice.Reason
	}
	d, permit := a.findCold(ctx, q, routing.ReasonCold)
	if d == nil {
		return nil, nil, choice.Reason
	}
	return d, permit, routing.ReasonCold
}

// urgentWarmUp is the share of urgent requests that may warm an endpoint up.
const urgentWarmUp = 0.2

// warmUp sends some requests to a cold endpoint of the own zone although others
// are warm, since an endpoint without work would stay cold. Only the holder of
// the gate does so; urgent requests seldom, since a cold endpoint is slow.
func (a *attempts) warmUp(ctx context.Context, q *routing.Query) (*pool.Dispatch, *gatekeeper.Permit) {
	r := a.job.router
	if a.sent || !r.parts.Gate.HoldsLease() {
		return nil, nil
	}
	if a.job.workspace.Priority == ticket.PriorityUrgent && !r.chance(urgentWarmUp) {
		return nil, nil
	}
	return a.findCold(ctx, q, routing.ReasonWarmUp)
}

// findCold looks among endpoints in cold start, for which the gate must give a permit.
func (a *attempts) findCold(ctx context.Context, q *routing.Query, reason routing.Reason) (*pool.Dispatch, *gatekeeper.Permit) {
	r := a.job.router
	d := r.parts.Pool.BeginCold(q, a.job.digest, reason)
	if d == nil {
		return nil, nil
	}
	permit := r.parts.Gate.Acquire(ctx, d.Zone, d.ID, uuid.NewString(), d.ColdLimit)
	if permit == nil {
		r.parts.Pool.End(d, errNotDispatched)
		return nil, nil
	}
	a.logRoute(d)
	return d, permit
}

// errNotDispatched ends a dispatch that was begun and from which nothing was sent.
var errNotDispatched = fault.New("dispatch", endpoint.KindCanceled, "nothing was sent")

func (a *attempts) logRoute(d *pool.Dispatch) {
	a.job.router.decide("route", "request", a.job.ID, "workspace", a.job.Workspace, "version", a.version,
		"endpoint", d.ID, "zone", d.Zone, "candidates", d.Choice.Considered, "reason", d.Choice.Reason,
		"resume-at", a.received)
}

func (a *attempts) nowhere(reason routing.Reason) *caller.Problem {
	switch reason {
	case routing.ReasonWithdrawn, routing.ReasonRolloutStopped, routing.ReasonNotAllowed,
		routing.ReasonNoWorkspace, routing.ReasonUnknownWorkspace, routing.ReasonUnknownVersion:
		p := a.job.refuseVersion(reason, a.version)
		p.Outcome = a.outcome()
		return p
	}
	return refuse(a.job.ID, caller.CodeNoEndpoint, a.outcome(), "no endpoint: "+string(reason), clock.Second)
}

// dispatch sends the request to one endpoint and takes its answer.
func (a *attempts) dispatch(ctx context.Context, d *pool.Dispatch, permit *gatekeeper.Permit) error {
	r := a.job.router
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := a.newAttempt()
	if permit != nil {
		defer permit.Release()
		attempt.MayBeCold = true
		attempt.Fence = permit.Fence
		defer r.cancelUnless(ctx, permit.Deadline, never, cancel)()
	}
	if a.received == 0 {
		defer r.cancelUnless(ctx, a.job.deadline, a.begun.Load, cancel)()
	}
	body, err := a.job.Body.ForEngine(string(a.version))
	if err != nil {
		r.parts.Pool.End(d, errNotDispatched)
		return fault.New("dispatch", endpoint.KindFailed, "%w", err)
	}
	// The clock is read last, so that a pause since the permit is noticed.
	if permit != nil && r.clock.Mono() >= permit.Deadline {
		r.parts.Pool.End(d, errNotDispatched)
		return fault.New("dispatch", endpoint.KindNotSent, "the permit lapsed")
	}
	r.OnStep(StepDispatched, a.job.ID)
	request := &endpoint.StreamRequest{Body: body, ResumeAt: a.received}
	if a.job.Body.Bounded {
		request.MaxTokens = a.job.Body.MaxTokens
	}
	end, err := d.Endpoint.Stream(ctx, attempt, request, a.emit)
	r.parts.Pool.End(d, err)
	if err == nil {
		a.end = end
		a.clearSuspect()
	}
	return err
}

func (a *attempts) newAttempt() *endpoint.Attempt {
	return &endpoint.Attempt{
		ID:        endpoint.AttemptID(uuid.NewString()),
		Request:   string(a.job.ID),
		Workspace: a.job.Workspace,
		Priority:  a.job.workspace.Priority,
	}
}

func (a *attempts) clearSuspect() {
	if a.alone {
		a.job.router.parts.Learner.Clear(a.job.digest)
	}
}

func (a *attempts) emit(text string) error {
	if a.received == 0 {
		a.begun.Store(true)
		a.job.router.queue.begun(a.job.place)
		a.job.router.metrics.Timer("first-token").Record((a.job.router.clock.Mono() - a.job.began).Duration())
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

// cancelUnless cancels at a monotonic time unless the condition holds by then;
// the function that it returns stops that.
func (r *Router) cancelUnless(ctx context.Context, at clock.Millis, unless func() bool, cancel context.CancelFunc) func() {
	waiting, stop := context.WithCancel(ctx)
	go func() {
		if r.clock.Sleep(waiting, max(0, at-r.clock.Mono())) == nil && !unless() {
			cancel()
		}
	}()
	return stop
}
