package forward

import (
	"context"
	"net/http"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fairshare"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/ticket"
)

// assignment is the view used to send a request, and the release arm and rollout
// progress that the view yields for it.
type assignment struct {
	view     *registry.State
	arm      Arm
	progress *progress
}

// task carries one request through its attempts. It is used by one goroutine only.
type task struct {
	*Forwarder
	request *Request
	writer  ResponseWriter
	assignment
	route     *catalog.Route
	service   *catalog.Service
	workspace ticket.WorkspaceName
	rank      catalog.Rank
	// digest is the hash of the request's content, or "" if it cannot be quarantined.
	digest quarantine.Digest

	deadline clock.Millis
	model    ticket.ModelName
	// homes is the number of endpoints that share the prompt's last shared part.
	homes int
	// promptChoice says what the prompt's length decided about the last attempt, or is nil.
	promptChoice *placement.PromptChoice
	tried        []*placement.State
	// onTrial is true if the request finds out whether a quarantined prompt part still
	// crashes endpoints.
	onTrial bool
	// runs counts attempts that may have run at endpoints that are still alive; sends
	// counts all attempts except those in unsent.
	runs  int
	sends int
	// unsent counts attempts that cannot have reached an endpoint.
	unsent int
	// mayHaveRun is true once any attempt may have run.
	mayHaveRun bool
	// lastEndpoint is the endpoint of the last attempt.
	lastEndpoint *catalog.Endpoint
	// boundRelease and weightsVersion restrict where a started stream may resume.
	boundRelease   catalog.Release
	weightsVersion string
	// lastEventID is the last event that the caller has.
	lastEventID EventID
	// headSent is true once the stream's headers were sent to the caller.
	headSent    bool
	firstByteAt clock.Millis
	// lastAnswered is the last run whose response's delay was judged, or nil.
	lastAnswered *run
	// longestEventGap is the longest wait for an event after the first byte.
	longestEventGap clock.Millis
	// retryDenied is why the last attempt may not be followed by another, or "".
	retryDenied RetryDenial
	// chargeRetry is true if the next attempt must be charged to the retry budget.
	chargeRetry bool
	// reserved is the endpoint that escalate chose for the next attempt, or nil.
	reserved *placement.Choice
	// basis is what justifies the escalation that was last considered.
	basis cascade.Basis
	// rejections counts the attempts in a row that endpoints rejected without running
	// them.
	rejections int
	// resumeBackoff is how long a started stream last waited before it looked for an
	// endpoint again.
	resumeBackoff clock.Millis
	// slotTime is how long the request occupied slots of endpoints.
	slotTime clock.Millis
	// fair is the decision whether the request may take capacity.
	fair fairshare.Decision
	// waited is how long the request waited for capacity, and waitEnd how the last wait ended.
	waited  clock.Millis
	waitEnd fairshare.WaitEnd
}

func (t *task) serve(ctx context.Context) Result {
	if result, ok := t.admit(); !ok {
		return result
	}
	t.deadline = t.request.ReceivedAt + t.route.Timeout
	if t.request.CallerTimeout > 0 {
		t.deadline = min(t.deadline, t.request.ReceivedAt+t.request.CallerTimeout)
	}
	if t.writer.OnDeadline != nil {
		t.writer.OnDeadline(t.deadline)
	}
	t.lastEventID = t.request.LastEventID
	t.homes = t.endpoints.CountRequest(t.service.Name, t.request.PromptParts)
	t.sizes.Add(t.route.Name, placement.Tokens(t.request.PromptParts), t.request.MaxTokens)
	if result, ok := t.takeShare(ctx); !ok {
		return result
	}
	defer t.recordSlotTime()
	if t.request.AnyModel && len(t.route.Models) > 0 {
		t.model = t.startModel()
	}
	for {
		choice := t.nextEndpoint(ctx)
		if t.mayWait(ctx, choice) {
			result, ok := t.awaitCapacity(ctx, true)
			if ok {
				continue
			}
			if result.Reason != "" {
				return result
			}
		}
		if choice.State == nil {
			return t.noEndpoint(ctx, choice)
		}
		outcome, r := t.attempt(ctx, choice)
		if result, done := t.handleOutcome(ctx, outcome, r); done {
			return result
		}
	}
}

// relativeCost returns the cost of reading one token with the request's model, relative
// to the largest model.
func (t *task) relativeCost() float64 {
	if t.model == "" || t.service.Engine == nil {
		return 1
	}
	return t.service.Engine.RelativeCost(t.model)
}

// sessionKey groups requests that must stay on one release.
func (t *task) sessionKey() string {
	if t.request.Session != "" {
		return t.request.Session
	}
	return string(t.request.ID)
}

// retryable reports whether the request may run more than once.
func (t *task) retryable() bool {
	return t.route.Retry == catalog.RetryFreely || t.route.Stream && t.route.Resumable
}

// attempt sends the request to one endpoint and reads the response headers.
func (t *task) attempt(ctx context.Context, choice placement.Choice) (attempt.Outcome, *run) {
	s := choice.State
	promptTokens := t.relativeCost() * float64(placement.Tokens(t.request.PromptParts))
	r := &run{
		task: t, state: s, endpoint: choice.Endpoint, model: t.model, sentAt: t.clock.Mono(),
		prefillTokens: promptTokens, promptTokens: promptTokens, packedEndpoints: choice.PackedEndpoints,
		packable: placement.Packable(t.request.PromptParts, t.relativeCost()),
	}
	t.lastEndpoint = r.endpoint
	t.sends++
	t.tried = append(t.tried, s)
	response, err := t.deps.Sender.Send(ctx, t.newAttempt(ctx, r))
	outcome := attempt.Outcome{
		Sent:              attempt.SentSome,
		Idempotent:        t.retryable(),
		Resumable:         t.route.Resumable,
		ResponseStarted:   t.headSent,
		EarlierMayHaveRun: t.mayHaveRun,
	}
	if err != nil {
		t.handleError(ctx, r, &outcome, err)
		r.finish()
		return outcome, r
	}
	r.response = response
	t.endpoints.RecordResponse(s, t.service, response.Load)
	switch {
	case response.NotRun || response.AddressReassigned:
		outcome.Result = attempt.ResultNotRun
		t.rejections++
		response.Close()
		r.finish()
		if response.AddressReassigned {
			t.markUnreachable(s, KindRefused)
		}
	case response.Status >= http.StatusBadRequest, t.headSent && response.Next == nil: // A stream cannot resume as a plain response.
		outcome.Result = attempt.ResultFailed
		outcome.ClaimsNotRun = claimsNotRun(response.Status)
		t.countRun()
		r.recordOutcome(response.Status >= http.StatusInternalServerError)
		outcome.EndpointSuspect = t.endpoints.FailureInconclusive(s, t.route.Name)
		r.finish()
	default:
		t.countRun()
		t.resumeBackoff, t.rejections = 0, 0
		outcome.Result = attempt.ResultAnswered
		r.recordHead()
		if !t.headSent && t.model != "" && response.Confidence != cascade.ConfidenceUnknown {
			t.answers.Record(t.answerKind(t.model), response.Confidence)
		}
		if t.shouldEscalate(response) {
			outcome.Result = attempt.ResultLowConfidence
		}
	}
	outcome.RetryAllowed = t.canRetry(&outcome)
	return outcome, r
}

// countRun counts an attempt that may have run.
func (t *task) countRun() {
	t.runs++
	t.mayHaveRun = true
}

// handleOutcome takes the next step after an attempt; it returns true when the request
// has ended.
func (t *task) handleOutcome(ctx context.Context, outcome attempt.Outcome, r *run) (Result, bool) {
	if ctx.Err() != nil {
		answered := outcome.Result == attempt.ResultAnswered || outcome.Result == attempt.ResultLowConfidence
		if answered && r.response.Next == nil {
			return t.deliver(ctx, r) // The response is complete.
		}
		r.close()
		return t.canceled(ctx), true
	}
	step := attempt.Next(outcome)
	switch step {
	case attempt.StepDeliver:
		return t.deliver(ctx, r)
	case attempt.StepReturnFailure:
		response := r.response
		return Result{Status: response.Status, Header: response.Header, Body: response.Body, Reason: ReasonEndpointFailed}, true
	case attempt.StepEscalate:
		if !t.escalate(r) {
			return t.deliver(ctx, r)
		}
		return Result{}, false
	case attempt.StepRetry, attempt.StepResume:
		t.chargeRetry = outcome.Sent != attempt.SentNothing
		t.deps.Scope.Counter(string(step)).Inc(1)
		t.logger.Info(string(step), "request", t.request.ID, "endpoint", r.endpoint.ID, "result", outcome.Result, "sent", outcome.Sent,
			"after", t.lastEventID, "runs", t.runs)
		return Result{}, false
	case attempt.StepRefuse:
		return localReply(http.StatusServiceUnavailable, ReasonEndpointsFull, t.returnTime()), true
	case attempt.StepAbort:
		return t.abort(), true
	}
	if outcome.ClaimsNotRun {
		t.logger.Info("status-withheld", "request", t.request.ID, "endpoint", r.endpoint.ID, "status", r.response.Status, "runs", t.runs)
	}
	if t.outOfTime() {
		return localReply(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0), true
	}
	return localReply(http.StatusBadGateway, ReasonOutcomeUnknown, 0), true
}

// claimsNotRun reports whether callers take a response with this status as a guarantee that the
// request has not run and never will.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// minAttemptTime is the least time before the deadline at which an attempt may
// start.
const minAttemptTime = 20 * clock.Millis(1)

// outOfTime reports whether too little time is left for another attempt.
func (t *task) outOfTime() bool {
	return t.clock.Mono()+minAttemptTime > t.deadline
}
