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

// CallRequest is a plain service call of a workspace.
type CallRequest struct {
	ID claim.RequestID
	// GeneratedID is true if no caller can have sent the id before.
	GeneratedID bool
	Workspace   ticket.WorkspaceName
	Service     ticket.ServiceName
	Call        string
	ContentType string
	Body        []byte
}

// callJob carries one service call through its steps.
type callJob struct {
	*CallRequest
	router     *Router
	workspace  *ticket.Workspace
	service    *ticket.Service
	idempotent bool
	digest     quarantine.Digest
	began      clock.Millis
	deadline   clock.Millis
	tried      []routing.EndpointID
}

// Call serves a plain service call; it returns the service's whole answer once
// its bill is safe, or a problem that says what became of the request.
func (r *Router) Call(ctx context.Context, request *CallRequest) (*endpoint.CallAnswer, *caller.Problem) {
	j, p := r.newCallJob(request)
	if p != nil {
		return nil, p
	}
	if p := r.enter(request.ID, refusalOutcome(request.GeneratedID)); p != nil {
		if !j.idempotent {
			p.Outcome = j.close(ctx)
		}
		return nil, p
	}
	defer r.leave()
	if answer, p, done := j.known(ctx); done {
		return answer, p
	}
	place, shed := r.queue.enter(ctx, j.workspace, j.deadline)
	if shed != nil {
		return nil, j.shed(ctx, shed)
	}
	defer r.queue.leave(place)
	r.OnStep(StepAdmitted, request.ID)
	if !j.idempotent {
		// A claimed request is not cut when its caller goes away.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, max(0, j.deadline-r.clock.Mono()).Duration()+callGrace)
	defer cancel()
	if j.idempotent {
		return j.runIdempotent(ctx)
	}
	return j.runOnce(ctx)
}

// callGrace lets a call that was dispatched shortly before its deadline end.
const callGrace = 5 * time.Second

func (r *Router) newCallJob(request *CallRequest) (*callJob, *caller.Problem) {
	view := r.parts.Config.View()
	target := routing.Target{Service: request.Service, Call: request.Call}
	outcome := refusalOutcome(request.GeneratedID)
	switch reason := routing.PermitTarget(view, request.Workspace, target); reason {
	case routing.Permitted:
	case routing.ReasonNoCall:
		return nil, problem(request.ID, http.StatusNotFound, caller.CodeNotFound, outcome, "the service has no such call", 0)
	default:
		return nil, problem(request.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, string(reason), 0)
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
		began:       began,
		deadline:    began + service.Deadline,
	}, nil
}

// close returns the outcome of a refusal before the request was claimed. For a
// caller's key the log has to be asked: a refusal record that comes first closes
// the request for good, so that no other instance runs it later.
func (j *callJob) close(ctx context.Context) claim.State {
	if j.GeneratedID {
		return claim.StateNotRun
	}
	holding, err := j.router.parts.Claims.Refuse(ctx, j.ID, string(j.digest))
	if err == nil || holding.Outcome.State == claim.StateNotRun {
		return claim.StateNotRun
	}
	return claim.StateUnknown
}

func (j *callJob) shed(ctx context.Context, shed *admission.Shed) *caller.Problem {
	outcome := refusalOutcome(j.GeneratedID)
	if !j.idempotent {
		outcome = j.close(context.WithoutCancel(ctx))
	}
	j.router.metrics.Counter("shed").Inc(1)
	j.router.decide("shed", "request", j.ID, "workspace", j.Workspace, "service", j.Service,
		"reason", shed.Reason, "outcome", outcome)
	return problem(j.ID, http.StatusTooManyRequests, caller.CodeOverload, outcome, "not admitted: "+string(shed.Reason), max(shed.RetryAfter, clock.Second))
}

// known answers from an earlier claim of the same key, if there is one.
func (j *callJob) known(ctx context.Context) (*endpoint.CallAnswer, *caller.Problem, bool) {
	if j.GeneratedID || j.idempotent {
		return nil, nil, false
	}
	holding, ok := j.router.parts.Claims.Lookup(j.ID)
	if !ok {
		return nil, nil, false
	}
	answer, p := j.relay(ctx, holding)
	return answer, p, true
}

// relay answers with the outcome of the claim that came first.
func (j *callJob) relay(ctx context.Context, holding claim.Holding) (*endpoint.CallAnswer, *caller.Problem) {
	r := j.router
	if holding.Digest != string(j.digest) {
		return nil, problem(j.ID, http.StatusUnprocessableEntity, caller.CodeKeyReused, claim.StateNotRun,
			"the idempotency key stands for another request; this content was not run", 0)
	}
	outcome := holding.Outcome
	if outcome.State == claim.StateRunning || outcome.State == claim.StateUnknown {
		wait := max(0, j.deadline-r.clock.Mono())
		if holding.Instance == r.instance {
			outcome = r.parts.Claims.Outcome(ctx, j.ID, holding.Nonce, wait)
		} else {
			outcome = r.parts.FetchOutcome(ctx, j.ID, holding, wait)
		}
	}
	r.decide("relay", "request", j.ID, "workspace", j.Workspace, "claimant", holding.Instance, "outcome", outcome.State)
	switch outcome.State {
	case claim.StateAnswered:
		return &endpoint.CallAnswer{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}, nil
	case claim.StateNotRun:
		return nil, problem(j.ID, http.StatusConflict, caller.CodeClosed, claim.StateNotRun,
			"the request was refused for good; send it again under a new key", 0)
	}
	return nil, problem(j.ID, http.StatusConflict, caller.CodeHeldElsewhere, claim.StateUnknown,
		"the request was claimed by "+holding.Instance+" and its outcome is not known", clock.Second)
}

// runOnce claims the request in the log and dispatches it at most once.
func (j *callJob) runOnce(ctx context.Context) (*endpoint.CallAnswer, *caller.Problem) {
	r := j.router
	grant, holding, err := r.parts.Claims.Acquire(ctx, j.ID, string(j.digest))
	switch fault.KindOf[claims.Kind](err) {
	case "":
	case claims.KindHeld:
		return j.relay(ctx, holding)
	default:
		return nil, refuse(j.ID, caller.CodeClaimUnreadable, refusalOutcome(j.GeneratedID), err.Error(), clock.Second)
	}
	r.OnStep(StepClaimed, j.ID)
	answer, p := j.dispatchOnce(ctx)
	j.finish(grant, answer, p)
	r.OnStep(StepFinished, j.ID)
	return answer, p
}

func (j *callJob) finish(grant *claims.Grant, answer *endpoint.CallAnswer, p *caller.Problem) {
	outcome := claim.Outcome{State: claim.StateAnswered}
	if p != nil {
		outcome.State = p.Outcome
	} else {
		outcome.Status = answer.Status
		outcome.ContentType = answer.ContentType
		outcome.Body = answer.Body
	}
	j.router.parts.Claims.Finish(grant, outcome)
}

// dispatchOnce tries endpoints until one took the request; what it then
// answers, or fails to answer, is final.
func (j *callJob) dispatchOnce(ctx context.Context) (*endpoint.CallAnswer, *caller.Problem) {
	for {
		d, p := j.find(ctx, claim.StateNotRun)
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
		return nil, problem(j.ID, http.StatusBadGateway, caller.CodeEndpointFailed, claim.StateUnknown, err.Error(), 0)
	}
}

// runIdempotent retries within the retry budget.
func (j *callJob) runIdempotent(ctx context.Context) (*endpoint.CallAnswer, *caller.Problem) {
	outcome := refusalOutcome(j.GeneratedID)
	for try := range maxAttempts {
		if outcome == claim.StateUnknown && try > 0 && !j.router.takeRetry() {
			break
		}
		d, p := j.find(ctx, outcome)
		if p != nil {
			return nil, p
		}
		answer, err := j.dispatch(ctx, d)
		if err == nil {
			j.router.succeed()
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
	return nil, problem(j.ID, http.StatusBadGateway, caller.CodeEndpointFailed, outcome, "no endpoint answered", clock.Second)
}

// find waits for an endpoint until the deadline.
func (j *callJob) find(ctx context.Context, outcome claim.State) (*pool.Dispatch, *caller.Problem) {
	r := j.router
	for {
		q := &routing.Query{
			View:      r.parts.Config.View(),
			Fresh:     r.parts.Config.Fresh(),
			Workspace: j.Workspace,
			Target:    routing.Target{Service: j.Service, Call: j.Call},
			Tried:     j.tried,
		}
		d, choice := r.parts.Pool.Begin(q, j.digest)
		if d != nil {
			r.decide("route", "request", j.ID, "workspace", j.Workspace, "service", j.Service, "call", j.Call,
				"endpoint", d.ID, "zone", d.Zone, "candidates", choice.Considered, "reason", choice.Reason)
			return d, nil
		}
		if !waitable(choice.Reason) || r.clock.Mono()+endpointWait > j.deadline {
			return nil, refuse(j.ID, caller.CodeNoEndpoint, outcome, "no endpoint: "+string(choice.Reason), clock.Second)
		}
		if choice.Reason == routing.ReasonTriedBefore {
			j.tried = nil
		}
		if r.clock.Sleep(ctx, endpointWait) != nil {
			return nil, refuse(j.ID, caller.CodeCanceled, outcome, "the caller went away", 0)
		}
	}
}

func (j *callJob) dispatch(ctx context.Context, d *pool.Dispatch) (*endpoint.CallAnswer, error) {
	r := j.router
	attempt := &endpoint.Attempt{
		ID:        endpoint.AttemptID(uuid.NewString()),
		Request:   string(j.ID),
		Workspace: j.Workspace,
		Priority:  j.workspace.Priority,
	}
	// The deadline is checked last, so that a pause does not run a request late.
	if r.clock.Mono() >= j.deadline {
		err := fault.New("dispatch", endpoint.KindNotSent, "the deadline has passed")
		r.parts.Pool.End(d, errNotDispatched)
		return nil, err
	}
	r.OnStep(StepDispatched, j.ID)
	request := &endpoint.CallRequest{Call: j.Call, ContentType: j.ContentType, Body: j.Body}
	answer, err := d.Endpoint.Call(ctx, attempt, request)
	r.parts.Pool.End(d, err)
	if err != nil {
		r.decide("attempt-failed", "request", j.ID, "endpoint", d.ID, "kind", fault.KindOf[endpoint.Kind](err), "error", err)
		return nil, err
	}
	r.OnStep(StepAnswered, j.ID)
	return answer, nil
}

// settle makes the bill safe; answers of status 500 and above cost nothing.
func (j *callJob) settle(ctx context.Context, answer *endpoint.CallAnswer) (*endpoint.CallAnswer, *caller.Problem) {
	r := j.router
	if answer.Status < http.StatusInternalServerError {
		bill := billing.Bill{
			ID:        j.ID,
			Workspace: j.Workspace,
			Serves:    string(j.Service) + "/" + j.Call,
			Cost:      billing.Micros(j.service.Cost),
			Attempts:  1,
			Instance:  r.instance,
			At:        r.clock.Wall(),
		}
		if err := r.parts.Ledger.Settle(ctx, bill); err != nil {
			return nil, refuse(j.ID, caller.CodeBillingBlocked, claim.StateUnknown, err.Error(), clock.Second)
		}
	}
	r.OnStep(StepBilled, j.ID)
	r.metrics.Counter("answered").Inc(1)
	return answer, nil
}
