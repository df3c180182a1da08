package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"foxtailbridge/entry/claims"
	"foxtailbridge/entry/pool"
	"foxtailbridge/link/caller"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// CallRequest is a workspace's unary call to a service.
type CallRequest struct {
	ID claim.RequestID
	// GeneratedID is true if this instance generated the id. Otherwise the id
	// is the caller's idempotency key and may have been used before.
	GeneratedID bool
	Workspace   ticket.WorkspaceName
	Service     ticket.ServiceName
	Call        string
	ContentType string
	Body        []byte
}

// callJob is the state of one service call.
type callJob struct {
	*CallRequest
	router     *Router
	workspace  *ticket.Workspace
	service    *ticket.Service
	idempotent bool
	digest     quarantine.Digest
	startedAt  clock.Millis
	deadline   clock.Millis
	tried      []routing.EndpointID
}

// Call serves a service call. It returns the service's complete answer once the
// bill is durable, or a problem that states the outcome of the request.
func (r *Router) Call(ctx context.Context, request *CallRequest) (*endpoint.CallResponse, *caller.Problem) {
	j, p := r.newCallJob(request)
	if p != nil {
		return nil, p
	}
	if p := r.beginRequest(request.ID, refusalOutcome(request.GeneratedID)); p != nil {
		if !j.idempotent {
			p.Outcome = j.closeUnclaimed(ctx)
		}
		return nil, p
	}
	defer r.endRequest()
	ctx, release := r.untilStopped(ctx)
	defer release()
	if answer, p, done := j.answerFromEarlierClaim(ctx); done {
		return answer, p
	}
	slot, shed := r.queue.acquire(ctx, j.workspace, j.deadline)
	if shed != nil {
		return nil, j.handleShed(ctx, shed)
	}
	defer r.queue.release(slot)
	r.OnStep(StepAdmitted, request.ID)
	if !j.idempotent {
		// A claimed request must not be canceled when its caller disconnects.
		ctx, release = r.untilStopped(context.WithoutCancel(ctx))
		defer release()
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, j.deadline-r.clock.Mono()).Duration()+callGrace)
	defer cancel()
	if j.idempotent {
		return j.runIdempotent(ctx)
	}
	return j.runOnce(ctx)
}

// callGrace is added to the deadline so that a call that was dispatched shortly
// before the deadline can complete.
const callGrace = 5 * time.Second

func (r *Router) newCallJob(request *CallRequest) (*callJob, *caller.Problem) {
	view := r.deps.Config.View()
	target := routing.Target{Service: request.Service, Call: request.Call}
	outcome := refusalOutcome(request.GeneratedID)
	switch reason := routing.CheckTarget(view, request.Workspace, target); reason {
	case routing.Permitted:
	case routing.ReasonCallNotDeclared:
		return nil, newProblem(request.ID, http.StatusNotFound, caller.CodeNotFound, outcome, "the service has no such call", 0)
	default:
		return nil, newProblem(request.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, string(reason), 0)
	}
	service := view.Services[request.Service]
	began := r.clock.Mono()
	return &callJob{
		CallRequest: request,
		router:      r,
		workspace:   view.Workspaces[request.Workspace],
		service:     service,
		idempotent:  service.Call(request.Call).Idempotent,
		digest:      DigestOf(request.Workspace, append([]byte(request.Call+"\x00"), request.Body...)),
		startedAt:   began,
		deadline:    began + service.Deadline,
	}, nil
}

// closeUnclaimed returns the outcome to report for a request that is refused
// before it was claimed. If the id is a caller's idempotency key, it appends a
// refusal record to the log: if that is the first record for the key, the
// request is closed permanently and no other instance can run it later.
func (j *callJob) closeUnclaimed(ctx context.Context) claim.State {
	if j.GeneratedID {
		return claim.StateNotRun
	}
	entry, err := j.router.deps.Claims.Refuse(ctx, j.ID, string(j.digest))
	if err == nil || entry.Outcome.State == claim.StateNotRun {
		return claim.StateNotRun
	}
	return claim.StateUnknown
}

func (j *callJob) handleShed(ctx context.Context, shed *admission.Shed) *caller.Problem {
	outcome := refusalOutcome(j.GeneratedID)
	if !j.idempotent {
		outcome = j.closeUnclaimed(context.WithoutCancel(ctx))
	}
	j.router.metrics.Counter("shed").Inc(1)
	j.router.logDecision("shed", "request", j.ID, "workspace", j.Workspace, "service", j.Service,
		"reason", shed.Reason, "outcome", outcome)
	return newProblem(j.ID, http.StatusTooManyRequests, caller.CodeOverload, outcome, "not admitted: "+string(shed.Reason), max(shed.RetryAfter, clock.Second))
}

// answerFromEarlierClaim answers from an earlier claim of the same idempotency
// key. The last result is false if there is none.
func (j *callJob) answerFromEarlierClaim(ctx context.Context) (*endpoint.CallResponse, *caller.Problem, bool) {
	if j.GeneratedID || j.idempotent {
		return nil, nil, false
	}
	entry, ok := j.router.deps.Claims.Lookup(j.ID)
	if !ok {
		return nil, nil, false
	}
	answer, p := j.answerFromClaim(ctx, entry)
	return answer, p, true
}

// answerFromClaim answers with the outcome of the winning claim, and waits for
// it until the deadline if the request is still running.
func (j *callJob) answerFromClaim(ctx context.Context, entry claim.Entry) (*endpoint.CallResponse, *caller.Problem) {
	r := j.router
	if entry.Digest != string(j.digest) {
		return nil, newProblem(j.ID, http.StatusUnprocessableEntity, caller.CodeKeyReused, claim.StateNotRun,
			"the idempotency key stands for another request; this content was not run", 0)
	}
	outcome := entry.Outcome
	if outcome.State == claim.StateRunning || outcome.State == claim.StateUnknown {
		wait := max(0, j.deadline-r.clock.Mono())
		if entry.Instance == r.instance {
			outcome = r.deps.Claims.Outcome(ctx, j.ID, entry.Nonce, wait)
		} else {
			outcome = r.deps.FetchOutcome(ctx, j.ID, entry, wait)
		}
	}
	r.logDecision("relay", "request", j.ID, "workspace", j.Workspace, "claimant", entry.Instance, "outcome", outcome.State)
	switch outcome.State {
	case claim.StateAnswered:
		return &endpoint.CallResponse{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, nil
	case claim.StateNotRun:
		return nil, newProblem(j.ID, http.StatusConflict, caller.CodeClosed, claim.StateNotRun,
			"the request was refused for good; send it again under a new key", 0)
	}
	return nil, newProblem(j.ID, http.StatusConflict, caller.CodeClaimedElsewhere, claim.StateUnknown,
		"the request was claimed by "+entry.Instance+" and its outcome is not known", clock.Second)
}

// runOnce claims the request in the log and dispatches it at most once.
func (j *callJob) runOnce(ctx context.Context) (*endpoint.CallResponse, *caller.Problem) {
	r := j.router
	grant, entry, err := r.deps.Claims.Acquire(ctx, j.ID, string(j.digest))
	switch fault.KindOf[claims.Kind](err) {
	case "":
	case claims.KindHeld:
		return j.answerFromClaim(ctx, entry)
	default:
		return nil, unavailableProblem(j.ID, caller.CodeClaimUnreadable, refusalOutcome(j.GeneratedID), err.Error(), clock.Second)
	}
	r.OnStep(StepClaimed, j.ID)
	answer, p := j.dispatchOnce(ctx)
	j.finishClaim(grant, answer, p)
	r.OnStep(StepFinished, j.ID)
	return answer, p
}

func (j *callJob) finishClaim(grant *claims.Grant, answer *endpoint.CallResponse, p *caller.Problem) {
	outcome := claim.Outcome{State: claim.StateAnswered}
	if p != nil {
		outcome.State = p.Outcome
	} else {
		outcome.Status = answer.Status
		outcome.ContentType = answer.ContentType
		outcome.Body = answer.Body
	}
	j.router.deps.Claims.Finish(grant, outcome)
}

// dispatchOnce tries endpoints until one accepts the request. The result of that
// endpoint, success or failure, is final.
func (j *callJob) dispatchOnce(ctx context.Context) (*endpoint.CallResponse, *caller.Problem) {
	for {
		d, p := j.findEndpoint(ctx, claim.StateNotRun)
		if p != nil {
			return nil, p
		}
		answer, err := j.dispatch(ctx, d)
		switch fault.KindOf[endpoint.Kind](err) {
		case "":
			return j.settle(ctx, answer)
		case endpoint.KindNotSent, endpoint.KindRefused:
			j.tried = append(j.tried, d.ID)
			continue
		}
		if isStopped(ctx) {
			return nil, interruptedProblem(ctx, j.ID, claim.StateUnknown)
		}
		return nil, newProblem(j.ID, http.StatusBadGateway, caller.CodeEndpointFailed, claim.StateUnknown, err.Error(), 0)
	}
}

// runIdempotent dispatches the request without a claim, with retries within the
// retry budget.
func (j *callJob) runIdempotent(ctx context.Context) (*endpoint.CallResponse, *caller.Problem) {
	outcome := refusalOutcome(j.GeneratedID)
	for try := range maxAttempts {
		if outcome == claim.StateUnknown && try > 0 && !j.router.takeRetry() {
			break
		}
		d, p := j.findEndpoint(ctx, outcome)
		if p != nil {
			return nil, p
		}
		answer, err := j.dispatch(ctx, d)
		if err == nil {
			j.router.recordSuccess()
			return j.settle(ctx, answer)
		}
		j.tried = append(j.tried, d.ID)
		switch fault.KindOf[endpoint.Kind](err) {
		case endpoint.KindNotSent, endpoint.KindRefused:
		default:
			outcome = claim.StateUnknown
		}
		if ctx.Err() != nil {
			break
		}
	}
	if isStopped(ctx) {
		return nil, interruptedProblem(ctx, j.ID, outcome)
	}
	return nil, newProblem(j.ID, http.StatusBadGateway, caller.CodeEndpointFailed, outcome, "no endpoint answered", clock.Second)
}

// findEndpoint looks for an endpoint repeatedly until the deadline.
func (j *callJob) findEndpoint(ctx context.Context, outcome claim.State) (*pool.Dispatch, *caller.Problem) {
	r := j.router
	for {
		q := &routing.Query{
			View:      r.deps.Config.View(),
			Freshness: r.deps.Config.Freshness(),
			Workspace: j.Workspace,
			Target:    routing.Target{Service: j.Service, Call: j.Call},
			Tried:     j.tried,
		}
		d, choice := r.deps.Pool.Begin(q, j.digest)
		if d != nil {
			r.logDecision("route", "request", j.ID, "workspace", j.Workspace, "service", j.Service, "call", j.Call,
				"endpoint", d.ID, "zone", d.Zone, "candidates", choice.Considered, "reason", choice.Reason)
			return d, nil
		}
		if !isTransient(choice.Reason) || r.clock.Mono()+endpointBackoff > j.deadline {
			return nil, unavailableProblem(j.ID, caller.CodeNoEndpoint, outcome, "no endpoint: "+string(choice.Reason), clock.Second)
		}
		if choice.Reason == routing.ReasonTriedBefore {
			j.tried = nil
		}
		if r.clock.Sleep(ctx, endpointBackoff) != nil {
			if isStopped(ctx) {
				return nil, interruptedProblem(ctx, j.ID, outcome)
			}
			return nil, unavailableProblem(j.ID, caller.CodeCanceled, outcome, "the caller went away", 0)
		}
	}
}

func (j *callJob) dispatch(ctx context.Context, d *pool.Dispatch) (*endpoint.CallResponse, error) {
	r := j.router
	attempt := &endpoint.Attempt{
		ID:        endpoint.AttemptID(uuid.NewString()),
		Request:   string(j.ID),
		Workspace: j.Workspace,
		Priority:  j.workspace.Priority,
	}
	// Checked last, right before sending, so that no request is run after its
	// deadline because the process was paused.
	if r.clock.Mono() >= j.deadline {
		err := fault.New("dispatch", endpoint.KindNotSent, "the deadline has passed")
		r.deps.Pool.End(d, errNotDispatched)
		return nil, err
	}
	r.OnStep(StepDispatched, j.ID)
	request := &endpoint.CallRequest{Call: j.Call, ContentType: j.ContentType, Body: j.Body}
	answer, err := d.Endpoint.Call(ctx, attempt, request)
	r.deps.Pool.End(d, err)
	if err != nil {
		r.logDecision("attempt-failed", "request", j.ID, "endpoint", d.ID, "kind", fault.KindOf[endpoint.Kind](err), "error", err)
		return nil, err
	}
	r.OnStep(StepAnswered, j.ID)
	return answer, nil
}

// settle waits until the bill is durable. Answers with status 500 and above are
// not billed.
func (j *callJob) settle(ctx context.Context, answer *endpoint.CallResponse) (*endpoint.CallResponse, *caller.Problem) {
	r := j.router
	if answer.Status < http.StatusInternalServerError {
		bill := billing.Bill{
			ID:        j.ID,
			Workspace: j.Workspace,
			Serves:    string(j.Service) + "/" + j.Call,
			Cost:      billing.MicroEuros(j.service.Cost),
			Attempts:  1,
			Instance:  r.instance,
			At:        r.clock.Wall(),
		}
		if err := r.deps.Ledger.Settle(ctx, bill); err != nil {
			return nil, unavailableProblem(j.ID, caller.CodeBillingBlocked, claim.StateUnknown, err.Error(), clock.Second)
		}
	}
	r.OnStep(StepBilled, j.ID)
	r.metrics.Counter("answered").Inc(1)
	return answer, nil
}
