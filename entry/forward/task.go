package forward

import (
	"context"
	"net/http"

	"foxtailbridge/entry/registry"
	"foxtailbridge/policy/attempt"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// aim is the view by which a request is sent, and what it says of the request's release.
type aim struct {
	view     *registry.State
	arm      Arm
	progress *progress
}

// task carries one request through its attempts. It belongs to one goroutine.
type task struct {
	*Forwarder
	request *Request
	reply   ResponseWriter
	aim
	route     *catalog.Route
	service   *catalog.Service
	workspace ticket.WorkspaceName
	rank      catalog.Rank
	digest    quarantine.Digest

	deadline clock.Millis
	model    ticket.ModelName
	tried    []*placement.State
	// runs counts attempts that may have run at endpoints that still live, sends
	// all that were tried.
	runs  int
	sends int
	// unsent counts attempts that cannot have reached an endpoint.
	unsent int
	// ran is true once any attempt may have run.
	ran bool
	// last is the endpoint of the last attempt.
	last *catalog.Endpoint
	// release and weights bind a begun stream.
	release catalog.Release
	weights string
	after   EventID
	begun   bool
	firstAt clock.Millis
	// pause is the longest wait for an event after the first byte.
	pause clock.Millis
	// denied is why the last attempt may not be followed by another, or "".
	denied RetryDenial
	// owes is true if the next attempt has to be taken from the budget first.
	owes bool
	// next is the place found before the last attempt was given up, or nil.
	next *placement.Choice
	// refused counts endpoints in a row that turned the request away.
	refused int
	// rest is how long a begun stream last waited for a place.
	rest clock.Millis
}

// RetryDenial says why a request may not run once more.
type RetryDenial string

// Denials.
const (
	DenialDeadline    RetryDenial = "time"
	DenialSends       RetryDenial = "sends"
	DenialUnreachable RetryDenial = "out-of-reach"
	DenialAttempts    RetryDenial = "attempts"
	DenialBudget      RetryDenial = "budget"
)

const (
	// extraSends is how many endpoints beyond the route's attempts may turn a
	// request away without running it.
	extraSends = 2
	// mostUnsent is how many endpoints in a row may be out of reach: with half of
	// them down, the chance to find one after that many is all but certain.
	mostUnsent = 12
	// plainPatience and enginePatience are the fills up to which requests queue
	// at endpoints: a plain endpoint drains a slot in some 10 ms.
	plainPatience  = 2.5
	enginePatience = 1.3
	// urgentPatience is added for each rank of urgency above the lowest.
	urgentPatience = 0.12
	lowestRank     = 3
	// leastLeft is the time that an attempt must still have.
	leastLeft = 20 * clock.Millis(1)
)

func (t *task) serve(ctx context.Context) Result {
	if result, ok := t.admit(); !ok {
		return result
	}
	t.deadline = t.request.ReceivedAt + t.route.Timeout
	if t.request.CallerTimeout > 0 {
		t.deadline = min(t.deadline, t.request.ReceivedAt+t.request.CallerTimeout)
	}
	if t.reply.OnDeadline != nil {
		t.reply.OnDeadline(t.deadline)
	}
	t.after = t.request.LastEventID
	if t.request.AnyModel && len(t.route.Models) > 0 {
		t.model = t.route.Models[0]
	}
	t.endpoints.note(t.service.Name, t.route.Name, t.size())
	for {
		choice := t.place(ctx)
		if choice.State == nil {
			return t.unplaced(ctx, choice)
		}
		end, answer := t.attempt(ctx, choice)
		if result, done := t.follow(ctx, end, answer); done {
			return result
		}
	}
}

// query asks for an endpoint for an attempt by the view of now. What a run counts for is
// the aim by which it was sent, so the task's own stays as it is.
func (t *task) query() (*placement.Query, aim) {
	next := aim{view: t.parts.Registry.View(), arm: t.arm, progress: t.progress}
	var accept func(*catalog.Endpoint) bool
	if t.release != "" {
		accept = func(e *catalog.Endpoint) bool { return e.Release == t.release && next.view.Usable(e) }
	} else {
		next.arm, accept, next.progress = t.releases.pick(next.view, t.service.Name, t.sessionKey())
	}
	patience := plainPatience
	if t.service.Engine != nil {
		patience = enginePatience
	}
	patience += urgentPatience * float64(max(0, lowestRank-t.rank))
	pack := ""
	if t.release == "" && next.arm == ArmNew && next.progress.phase.PacksEndpoints() {
		// A release that fails under load shows that on the first endpoints filled.
		pack = string(next.progress.order.Target)
	}
	return &placement.Query{
		PackKey:          pack,
		Zone:             t.limits.Load().Zone,
		Parts:            t.request.PromptParts,
		Model:            t.model,
		RelativeCost:     t.effort(),
		CrossZoneBytes:   len(t.request.Body),
		Accept:           accept,
		Tried:            t.tried,
		MaxUtilization:   patience,
		AllowUnconfirmed: t.repeatable() && t.sends == 0,
	}, next
}

// effort is what reading a token takes the request's model against the largest.
func (t *task) effort() float64 {
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

// find picks an endpoint; a new release without room gives way to the old one, except
// for a session that ran on it. Without an endpoint it tells of the release that the
// request should have, if that has any.
func (t *task) find() placement.Choice {
	if t.late() {
		return placement.Choice{Reason: routing.Reason(ReasonDeadlinePassed)}
	}
	var q *placement.Query
	q, t.aim = t.query()
	type side struct {
		arm    Arm
		accept func(*catalog.Endpoint) bool
		pack   string
	}
	sides := []side{{t.arm, q.Accept, q.PackKey}}
	if t.release == "" && t.arm == ArmNew && !t.pinnedToNew() {
		sides = append(sides, side{ArmOld, t.releases.old(t.view, t.progress), ""})
	}
	var told placement.Choice
	for _, risky := range []bool{false, true} {
		if q.AllowUnconfirmed && !risky {
			continue // Nothing is gained by a first look.
		}
		q.AllowUnconfirmed = risky
		for _, s := range sides {
			q.Accept, q.PackKey = s.accept, s.pack
			choice := t.endpoints.choose(t.view, t.service, q)
			if choice.State != nil {
				t.arm = s.arm
				return choice
			}
			if told.Considered == 0 {
				told = choice
			}
		}
	}
	return told
}

// pinnedToNew reports whether the request's session is pinned to the new release.
func (t *task) pinnedToNew() bool {
	last, pinned := t.releases.pinned(t.sessionKey())
	return pinned && last == t.progress.order.Target
}

func (t *task) repeatable() bool {
	return t.route.Retry == catalog.RetryFreely || t.route.Stream && t.route.Resumable
}

// unplaced ends a request for which there is no endpoint.
func (t *task) unplaced(ctx context.Context, choice placement.Choice) Result {
	if ctx.Err() != nil {
		return t.gone()
	}
	late := choice.Reason == routing.Reason(ReasonDeadlinePassed)
	t.logger.Info("no-endpoint", "request", t.request.ID, "reason", choice.Reason, "considered", choice.Considered,
		"verdicts", choice.Rejections.String(), "free", choice.FreeSlots, "slots", choice.Slots, "waiting", choice.Waiting, "runs", t.runs,
		"begun", t.begun, "release", t.release, "left-ms", int64(max(0, t.deadline-t.clock.Mono())))
	switch {
	case t.begun:
		return t.cut()
	case t.ran && late:
		return own(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0)
	case t.ran:
		return own(http.StatusBadGateway, ReasonOutcomeUnknown, 0)
	case late:
		return own(http.StatusServiceUnavailable, ReasonDeadlinePassed, shortPause)
	case choice.Reason == routing.ReasonFull:
		return own(http.StatusServiceUnavailable, ReasonEndpointsFull, t.drain(choice))
	}
	return own(http.StatusServiceUnavailable, ReasonNoEndpoint, t.drain(choice))
}

const (
	// shortPause is when a caller may come back if an endpoint frees up any moment.
	shortPause = 150 * clock.Millis(1)
	// longestPause bounds Retry-After: endpoints are back or replaced by then.
	longestPause = 2 * clock.Second
)

// drain estimates when an endpoint will have room.
func (t *task) drain(choice placement.Choice) clock.Millis {
	if choice.Slots == 0 {
		return clock.Second
	}
	usual := t.endpoints.expected(delayKey{t.route.Name, t.model})
	over := float64(choice.Waiting+1) / float64(choice.Slots)
	return min(longestPause, max(shortPause, shortPause+clock.Millis(over*float64(max(usual, 100)))))
}

// attempt sends the request to one endpoint and reads the answer's head.
func (t *task) attempt(ctx context.Context, choice placement.Choice) (attempt.Outcome, *run) {
	s := choice.State
	r := &run{task: t, state: s, endpoint: choice.Endpoint, reading: t.effort() * float64(placement.Tokens(t.request.PromptParts)), sentAt: t.clock.Mono(), key: delayKey{t.route.Name, t.model}}
	t.last = r.endpoint
	t.sends++
	t.tried = append(t.tried, s)
	answer, err := t.parts.Sender.Send(ctx, t.outgoing(ctx, r))
	end := attempt.Outcome{
		Sent:              attempt.SentSome,
		Idempotent:        t.repeatable(),
		Resumable:         t.route.Resumable,
		ResponseStarted:   t.begun,
		EarlierMayHaveRun: t.ran,
	}
	if err != nil {
		t.broken(ctx, r, &end, err)
		r.end()
		return end, r
	}
	r.answer = answer
	t.endpoints.heard(s, t.service, answer.Load)
	switch {
	case answer.NotRun || answer.AddressReassigned:
		end.Result = attempt.ResultNotRun
		t.refused++
		answer.Close()
		r.end()
		if answer.AddressReassigned {
			t.endpoints.lost(s, KindRefused)
		}
	case answer.Status >= http.StatusBadRequest, t.begun && answer.Next == nil: // A stream does not go on as a plain answer.
		end.Result = attempt.ResultFailed
		t.count()
		r.rate(answer.Status >= http.StatusInternalServerError)
		end.EndpointSuspect = t.endpoints.doubtful(s, t.route.Name)
		r.end()
	default:
		t.count()
		t.rest, t.refused = 0, 0
		end.Result = attempt.ResultAnswered
		r.first()
		if t.unsure(answer) {
			end.Result = attempt.ResultLowConfidence
		}
	}
	end.RetryAllowed = t.another(&end)
	return end, r
}

// broken fills in the end of an attempt that brought no answer.
func (t *task) broken(ctx context.Context, r *run, end *attempt.Outcome, err error) {
	kind := fault.KindOf[Kind](err)
	t.logger.Info("attempt-broken", "request", t.request.ID, "endpoint", r.endpoint.ID, "kind", kind,
		"ms", int64(t.clock.Mono()-r.sentAt), "error", err)
	switch kind {
	case KindNotSent, KindRefused:
		t.sends--
		t.unsent++
		end.Sent = attempt.SentNothing
		end.Result = attempt.ResultBroken
		t.endpoints.lost(r.state, kind)
	case KindTimeout:
		t.count()
		end.Result = attempt.ResultTimeout
		if r.dead || t.endpoints.lastHeard(r.state) < r.sentAt {
			t.endpoints.lost(r.state, kind)
		}
		if r.dead && t.probe(context.WithoutCancel(ctx), r.endpoint) == KindNotSent {
			t.runs-- // It does not count for the attempts; see alive.
		}
		r.rate(true)
	case KindCanceled:
		t.count()
		end.Result = attempt.ResultTimeout
	default:
		t.count()
		end.Result = attempt.ResultBroken
		r.rate(true)
		if !t.alive(ctx, r) {
			t.runs--
		}
	}
	end.RetryAllowed = t.another(end)
}

// count notes that an attempt may have run.
func (t *task) count() {
	t.runs++
	t.ran = true
}

// alive asks whether an endpoint outlived a broken attempt. A request is a
// suspect if its endpoint died before the answer began. Endpoints that ended do
// not count for the attempts of a request.
func (t *task) alive(ctx context.Context, r *run) bool {
	e := r.endpoint
	if t.probe(context.WithoutCancel(ctx), e) == "" {
		return true
	}
	t.endpoints.lost(r.state, KindBroken)
	if t.digest != "" && r.answer == nil {
		t.parts.Relay.ReportSuspicion(quarantine.Suspicion{Digest: t.digest, Crash: crash(e)})
	}
	return false
}

func crash(e *catalog.Endpoint) quarantine.CrashID {
	return quarantine.CrashID(string(e.ID) + "/" + e.StartedAt.Time().Format("150405.000"))
}

// another reports whether attempts, time and budget allow one more.
func (t *task) another(end *attempt.Outcome) bool {
	t.denied = t.denial(end)
	return t.denied == ""
}

func (t *task) denial(end *attempt.Outcome) RetryDenial {
	switch {
	case t.late():
		return DenialDeadline
	case t.runs >= t.route.Attempts:
		return DenialAttempts
	case t.begun:
		return "" // What else may stand in its way passes; see place.
	case t.sends >= t.route.Attempts+extraSends:
		return DenialSends
	case t.unsent >= mostUnsent:
		return DenialUnreachable
	case end.Sent != attempt.SentNothing && !t.endpoints.hasRetry(t.service.Name):
		return DenialBudget
	}
	return ""
}

// follow takes the step after an attempt; done is true at the request's end.
func (t *task) follow(ctx context.Context, end attempt.Outcome, r *run) (Result, bool) {
	if ctx.Err() != nil {
		r.close()
		return t.gone(), true
	}
	step := attempt.Next(end)
	switch step {
	case attempt.StepDeliver:
		return t.deliver(ctx, r)
	case attempt.StepReturnFailure:
		answer := r.answer
		return Result{Status: answer.Status, Header: answer.Header, Body: answer.Body, Reason: ReasonEndpointFailed}, true
	case attempt.StepEscalate:
		if !t.escalate(r) {
			return t.deliver(ctx, r)
		}
		return Result{}, false
	case attempt.StepRetry, attempt.StepResume:
		t.owes = end.Sent != attempt.SentNothing
		t.parts.Scope.Counter(string(step)).Inc(1)
		t.logger.Info(string(step), "request", t.request.ID, "endpoint", r.endpoint.ID, "result", end.Result, "sent", end.Sent,
			"after", t.after, "runs", t.runs)
		return Result{}, false
	case attempt.StepRefuse:
		return own(http.StatusServiceUnavailable, ReasonEndpointsFull, shortPause), true
	case attempt.StepAbort:
		return t.cut(), true
	}
	if t.late() {
		return own(http.StatusGatewayTimeout, ReasonDeadlinePassed, 0), true
	}
	return own(http.StatusBadGateway, ReasonOutcomeUnknown, 0), true
}

// gone ends a request whose caller has left.
func (t *task) gone() Result {
	return Result{Reason: ReasonCallerGone, LocalReply: true, Abort: t.begun}
}

// cut ends a begun answer that cannot go on.
func (t *task) cut() Result {
	if t.late() {
		return Result{Reason: ReasonDeadlinePassed, Abort: true}
	}
	return Result{Reason: ReasonStreamCut, Abort: true}
}

// late reports whether too little time is left for a further attempt.
func (t *task) late() bool {
	return t.clock.Mono()+leastLeft > t.deadline
}
