package forward

import (
	"context"
	"errors"
	"net/http"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
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
	tried []*placement.State
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
	// rejections counts the attempts in a row that endpoints rejected without running
	// them.
	rejections int
	// resumeBackoff is how long a started stream last waited before it looked for an
	// endpoint again.
	resumeBackoff clock.Millis
}

// RetryDenial says why a request may not be retried.
type RetryDenial string

// Reasons to deny a retry.
const (
	DenialDeadline    RetryDenial = "time"
	DenialSends       RetryDenial = "sends"
	DenialUnreachable RetryDenial = "out-of-reach"
	DenialAttempts    RetryDenial = "attempts"
	DenialBudget      RetryDenial = "budget"
)

const (
	// extraSends is how many endpoints beyond the route's attempts may reject a request
	// without running it.
	extraSends = 2
	// maxUnsent is how many attempts may fail to reach an endpoint. With half of the
	// endpoints down, 12 tries are all but certain to find one that is up.
	maxUnsent = 12
	// plainQueueLimit and engineQueueLimit are the utilizations up to which requests
	// may queue at an endpoint. A plain endpoint frees a slot within about 10 ms, so
	// its queue may be longer.
	plainQueueLimit  = 2.5
	engineQueueLimit = 1.3
	// queueLimitPerRank is added for each rank of urgency above the lowest.
	queueLimitPerRank = 0.12
	lowestRank        = 3
	// minAttemptTime is the least time before the deadline at which an attempt may
	// start.
	minAttemptTime = 20 * clock.Millis(1)
)

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
	if t.request.AnyModel && len(t.route.Models) > 0 {
		t.model = t.route.Models[0]
	}
	t.homes = t.endpoints.countPart(t.service.Name, t.request.PromptParts)
	t.endpoints.countRequest(t.service.Name, t.route.Name, placement.Tokens(t.request.PromptParts), t.request.MaxTokens)
	for {
		choice := t.nextEndpoint(ctx)
		if choice.State == nil {
			return t.noEndpoint(ctx, choice)
		}
		outcome, r := t.attempt(ctx, choice)
		if result, done := t.handleOutcome(ctx, outcome, r); done {
			return result
		}
	}
}

// placementQuery returns a query for an endpoint against the current view, and the
// assignment to use if an attempt is sent by it. It leaves the task's own assignment
// alone, as a running attempt is counted under the assignment with which it was sent.
func (t *task) placementQuery() (*placement.Query, assignment) {
	next := assignment{view: t.deps.Registry.View(), arm: t.arm, progress: t.progress}
	var accept func(*catalog.Endpoint) bool
	if t.boundRelease != "" {
		accept = func(e *catalog.Endpoint) bool { return e.Release == t.boundRelease && next.view.Usable(e) }
	} else {
		next.arm, accept, next.progress = t.releases.pickArm(next.view, t.service.Name, t.route.Name, t.sessionKey())
	}
	queueLimit := plainQueueLimit
	if t.service.Engine != nil {
		queueLimit = engineQueueLimit
	}
	queueLimit += queueLimitPerRank * float64(max(0, lowestRank-t.rank))
	var pack *placement.Pack
	if t.boundRelease == "" && next.arm == ArmNew && next.progress.phaseOn(t.route.Name).PacksEndpoints() {
		// Packing requests onto few endpoints shows early whether a release fails under load.
		pack = &placement.Pack{Key: string(next.progress.order.Target)}
		if next.progress.schedule.LightLoad == nil {
			share := next.progress.schedule.Share(t.route.Name, next.progress.elapsed, t.limits.Load().Exposure)
			pack.LoadShare = share * t.endpoints.packableShare(t.service.Name)
		}
	}
	return &placement.Query{
		Pack:             pack,
		Zone:             t.limits.Load().Zone,
		Parts:            t.request.PromptParts,
		Model:            t.model,
		RelativeCost:     t.relativeCost(),
		CrossZoneBytes:   len(t.request.Body),
		Accept:           accept,
		Tried:            t.tried,
		Homes:            t.homes,
		MaxUtilization:   queueLimit,
		AllowUnconfirmed: t.retryable() && t.sends == 0,
	}, next
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

// findEndpoint picks an endpoint and counts the request there. If the new release has
// no room, it falls back to the old one, except for a session that already ran on the
// new one. If it finds none, the choice describes the release that was preferred, or
// the old one if the preferred release has no endpoints.
func (t *task) findEndpoint() placement.Choice {
	if t.outOfTime() {
		return placement.Choice{Reason: routing.Reason(ReasonDeadlinePassed)}
	}
	if t.quarantined() {
		return placement.Choice{Reason: reasonQuarantined}
	}
	var q *placement.Query
	q, t.assignment = t.placementQuery()
	type candidate struct {
		arm    Arm
		accept func(*catalog.Endpoint) bool
		pack   *placement.Pack
	}
	candidates := []candidate{{t.arm, q.Accept, q.Pack}}
	if t.boundRelease == "" && t.arm == ArmNew && !t.pinnedToNew() {
		candidates = append(candidates, candidate{ArmOld, t.releases.oldReleaseFilter(t.view, t.progress), nil})
	}
	var refusal placement.Choice
	keptAway := false
	for _, allowUnconfirmed := range []bool{false, true} {
		if q.AllowUnconfirmed && !allowUnconfirmed {
			continue // A first pass without unconfirmed endpoints would gain nothing.
		}
		q.AllowUnconfirmed = allowUnconfirmed
		for _, c := range candidates {
			q.Accept, q.Pack = c.accept, c.pack
			q.Model, q.RelativeCost = t.model, t.relativeCost()
			if c.pack != nil && t.fillsWithLargest() {
				q.Model = t.route.Models[len(t.route.Models)-1]
				q.RelativeCost = t.service.Engine.RelativeCost(q.Model)
			}
			choice := t.endpoints.choose(t.view, t.service, q)
			if choice.KeptAway > 0 && !keptAway {
				keptAway = true
				t.deps.Scope.Counter("kept_away").Inc(1)
			}
			if choice.State != nil {
				t.arm = c.arm
				t.model = q.Model
				return choice
			}
			if refusal.Considered == 0 {
				refusal = choice
			}
		}
	}
	return refusal
}

// fillsWithLargest reports whether the request runs on the largest model at once because it
// fills an endpoint under light load: it keeps a slot busy for longer and is not run twice, so
// that fewer requests are exposed to the new release.
func (t *task) fillsWithLargest() bool {
	return t.model != "" && t.service.Engine != nil && t.progress.schedule.LightLoad != nil && t.progress.phaseOn(t.route.Name) == rollout.PhaseLoad
}

// pinnedToNew reports whether the request's session is pinned to the new release.
func (t *task) pinnedToNew() bool {
	last, pinned := t.releases.pinnedRelease(t.sessionKey())
	return pinned && last == t.progress.order.Target
}

// reasonQuarantined means that the request was quarantined since it was admitted.
const reasonQuarantined = routing.Reason(ReasonQuarantined)

// quarantined reports whether the request, or a part of its prompt, is known to crash
// endpoints.
func (t *task) quarantined() bool {
	if t.digest != "" && t.deps.Relay.Verdict(t.digest) == quarantine.VerdictQuarantined {
		return true
	}
	for _, part := range t.sharedParts() {
		if !t.deps.Relay.PartQuarantined(part) {
			continue
		}
		t.onTrial = t.onTrial || t.sends == 0 && t.deps.Relay.TakePartTrial(part)
		if !t.onTrial || t.sends > 0 { // A trial is one attempt.
			t.logger.Info("part-quarantined", "request", t.request.ID, "part", part)
			return true
		}
		t.logger.Info("part-trial", "request", t.request.ID, "part", part)
	}
	return false
}

// sharedParts returns the parts of the prompt that other requests may share: all but the
// last, which is the request's or its session's own.
func (t *task) sharedParts() []quarantine.Part {
	var list []quarantine.Part
	for i := range len(t.request.PromptParts) - 1 {
		list = append(list, quarantine.Part(t.request.PromptParts[i].ID))
	}
	return list
}

// retryable reports whether the request may run more than once.
func (t *task) retryable() bool {
	return t.route.Retry == catalog.RetryFreely || t.route.Stream && t.route.Resumable
}

// noEndpoint returns the result of a request for which there is no endpoint.
func (t *task) noEndpoint(ctx context.Context, choice placement.Choice) Result {
	if ctx.Err() != nil {
		return t.canceled(ctx)
	}
	outOfTime := choice.Reason == routing.Reason(ReasonDeadlinePassed)
	t.logger.Info("no-endpoint", "request", t.request.ID, "reason", choice.Reason, "considered", choice.Considered,
		"verdicts", choice.Rejections.String(), "free", choice.FreeSlots, "slots", choice.Slots, "waiting", choice.Waiting, "runs", t.runs,
		"begun", t.headSent, "release", t.boundRelease, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
	switch {
	case choice.Reason == reasonQuarantined && t.headSent:
		return Result{Reason: ReasonQuarantined, Abort: true}
	case choice.Reason == reasonQuarantined:
		return localReply(http.StatusBadGateway, ReasonQuarantined, 0)
	case t.headSent:
		return t.abort()
	case t.mayHaveRun && outOfTime:
		return localReply(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0)
	case t.mayHaveRun:
		return localReply(http.StatusBadGateway, ReasonOutcomeUnknown, 0)
	case outOfTime:
		return localReply(http.StatusServiceUnavailable, ReasonDeadlinePassed, minRetryAfter)
	case choice.Reason == routing.ReasonFull:
		return localReply(http.StatusServiceUnavailable, ReasonEndpointsFull, t.estimateRetryAfter(choice))
	}
	return localReply(http.StatusServiceUnavailable, ReasonNoEndpoint, t.estimateRetryAfter(choice))
}

const (
	// minRetryAfter is the Retry-After if an endpoint may free a slot at any moment.
	minRetryAfter = 150 * clock.Millis(1)
	// maxRetryAfter bounds Retry-After: endpoints are back or replaced by then.
	maxRetryAfter = 2 * clock.Second
	// ShutdownRetryAfter is the Retry-After of a request that is refused because the instance
	// shuts down. Others can serve it at once.
	ShutdownRetryAfter = 50 * clock.Millis(1)
)

// estimateRetryAfter estimates when an endpoint will have room.
func (t *task) estimateRetryAfter(choice placement.Choice) clock.Millis {
	if choice.Slots == 0 && choice.HeldOffUntil > 0 {
		// Callers come back within a third of the time that they have left, if at all.
		now := t.clock.Mono()
		return max(minRetryAfter, min(choice.HeldOffUntil-now, (t.deadline-now)/3))
	}
	if choice.Slots == 0 {
		return clock.Second
	}
	usualDelay := t.endpoints.expectedDelay(delayKey{t.route.Name, t.model})
	queueRatio := float64(choice.Waiting+1) / float64(choice.Slots)
	return min(maxRetryAfter, max(minRetryAfter, minRetryAfter+clock.Millis(queueRatio*float64(max(usualDelay, 100)))))
}

// attempt sends the request to one endpoint and reads the response headers.
func (t *task) attempt(ctx context.Context, choice placement.Choice) (attempt.Outcome, *run) {
	s := choice.State
	r := &run{
		task: t, state: s, endpoint: choice.Endpoint, key: delayKey{t.route.Name, t.model}, sentAt: t.clock.Mono(),
		prefillTokens: t.relativeCost() * float64(placement.Tokens(t.request.PromptParts)), packedEndpoints: choice.PackedEndpoints,
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
	t.endpoints.recordResponse(s, t.service, response.Load)
	switch {
	case response.NotRun || response.AddressReassigned:
		outcome.Result = attempt.ResultNotRun
		t.rejections++
		response.Close()
		r.finish()
		if response.AddressReassigned {
			t.endpoints.markUnreachable(s, KindRefused)
		}
	case response.Status >= http.StatusBadRequest, t.headSent && response.Next == nil: // A stream cannot resume as a plain response.
		outcome.Result = attempt.ResultFailed
		t.countRun()
		r.recordOutcome(response.Status >= http.StatusInternalServerError)
		outcome.EndpointSuspect = t.endpoints.failureInconclusive(s, t.route.Name)
		r.finish()
	default:
		t.countRun()
		t.resumeBackoff, t.rejections = 0, 0
		outcome.Result = attempt.ResultAnswered
		r.recordHead()
		if t.shouldEscalate(response) {
			outcome.Result = attempt.ResultLowConfidence
		}
	}
	outcome.RetryAllowed = t.canRetry(&outcome)
	return outcome, r
}

// handleError records an attempt that failed without a complete response.
func (t *task) handleError(ctx context.Context, r *run, outcome *attempt.Outcome, err error) {
	kind := fault.KindOf[Kind](err)
	t.logger.Info("attempt-broken", "request", t.request.ID, "endpoint", r.endpoint.ID, "kind", kind,
		"ms", int64(t.clock.Mono()-r.sentAt), "error", err)
	switch kind {
	case KindNotSent, KindRefused:
		t.sends--
		t.unsent++
		outcome.Sent = attempt.SentNothing
		outcome.Result = attempt.ResultBroken
		t.endpoints.markUnreachable(r.state, kind)
	case KindWithdrawn:
		t.sends--
		t.unsent++
		outcome.Sent = attempt.SentNothing
		outcome.Result = attempt.ResultBroken
	case KindTimeout:
		t.countRun()
		outcome.Result = attempt.ResultTimeout
		if r.dead || t.endpoints.lastActivity(r.state) < r.sentAt {
			t.endpoints.markUnreachable(r.state, kind)
		}
		if r.dead && t.probe(context.WithoutCancel(ctx), r.endpoint) == KindNotSent {
			t.runs-- // A dead endpoint does not count; see checkAlive.
		}
		r.recordOutcome(true)
	case KindCanceled, KindNoRoom: // Neither says anything of the endpoint.
		t.countRun()
		outcome.Result = attempt.ResultTimeout
	default:
		t.countRun()
		outcome.Result = attempt.ResultBroken
		r.recordOutcome(true)
		if !t.checkAlive(ctx, r) {
			t.runs--
		}
	}
	outcome.RetryAllowed = t.canRetry(outcome)
}

// countRun counts an attempt that may have run.
func (t *task) countRun() {
	t.runs++
	t.mayHaveRun = true
}

// checkAlive probes whether an endpoint survived a broken attempt. If it died before the
// response's first event, the request is reported as a suspected cause of the crash: an
// endpoint sends the headers when it begins to run a request. Runs at endpoints that died
// do not count towards the route's attempts.
func (t *task) checkAlive(ctx context.Context, r *run) bool {
	e := r.endpoint
	if t.probe(context.WithoutCancel(ctx), e) == "" {
		return true
	}
	t.endpoints.markUnreachable(r.state, KindBroken)
	if r.streamed {
		return false
	}
	if t.digest != "" {
		t.deps.Relay.ReportSuspicion(quarantine.Suspicion{Digest: t.digest, Crash: crashID(e)})
	}
	if r.response != nil { // Before its headers the request may merely have waited for a slot.
		t.deps.Relay.ReportPartCrash(t.sharedParts(), crashID(e))
	}
	return false
}

// crashID identifies the crash of an endpoint; the same endpoint started again has another.
func crashID(e *catalog.Endpoint) quarantine.CrashID {
	return quarantine.CrashID(string(e.ID) + "/" + e.StartedAt.Time().Format("150405.000"))
}

// canRetry reports whether attempts, time and retry budget allow another attempt.
func (t *task) canRetry(outcome *attempt.Outcome) bool {
	t.retryDenied = t.retryDenial(outcome)
	return t.retryDenied == ""
}

// retryDenial returns why an attempt may not be followed by another, or "".
func (t *task) retryDenial(outcome *attempt.Outcome) RetryDenial {
	switch {
	case t.outOfTime():
		return DenialDeadline
	case t.runs >= t.route.Attempts:
		return DenialAttempts
	case t.headSent:
		return "" // Any other obstacle is temporary; nextEndpoint waits for it to pass.
	case t.sends >= t.route.Attempts+extraSends:
		return DenialSends
	case t.unsent >= maxUnsent:
		return DenialUnreachable
	case outcome.Sent != attempt.SentNothing && !t.endpoints.hasRetry(t.service.Name):
		return DenialBudget
	}
	return ""
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
		return localReply(http.StatusServiceUnavailable, ReasonEndpointsFull, minRetryAfter), true
	case attempt.StepAbort:
		return t.abort(), true
	}
	if t.outOfTime() {
		return localReply(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0), true
	}
	return localReply(http.StatusBadGateway, ReasonOutcomeUnknown, 0), true
}

// callerDisconnected returns the result of a request whose caller disconnected.
func (t *task) callerDisconnected() Result {
	return Result{Reason: ReasonCallerGone, LocalReply: true, Abort: t.headSent}
}

// canceled returns the result of a request whose context is done: the caller disconnected, or
// the instance shuts down and still owes the caller a response.
func (t *task) canceled(ctx context.Context) Result {
	switch {
	case !errors.Is(context.Cause(ctx), ErrShutdown):
		return t.callerDisconnected()
	case t.headSent:
		return Result{Reason: ReasonShutdown, Abort: true}
	case t.mayHaveRun:
		return localReply(http.StatusBadGateway, ReasonShutdown, 0)
	}
	return localReply(http.StatusServiceUnavailable, ReasonShutdown, ShutdownRetryAfter)
}

// abort returns the result of a started response that cannot be completed.
func (t *task) abort() Result {
	if t.outOfTime() {
		return Result{Reason: ReasonDeadlinePassed, Abort: true}
	}
	return Result{Reason: ReasonStreamCut, Abort: true}
}

// outOfTime reports whether too little time is left for another attempt.
func (t *task) outOfTime() bool {
	return t.clock.Mono()+minAttemptTime > t.deadline
}
