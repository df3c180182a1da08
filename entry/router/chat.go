package router

import (
	"context"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"foxtailbridge/link/caller"
	"foxtailbridge/link/chat"
	"foxtailbridge/link/endpoint"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/admission"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/quarantine"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/session"
	"foxtailbridge/policy/ticket"
)

const (
	statusUnavailable = http.StatusServiceUnavailable
	// ModelAuto is the model name that selects the cheapest version that meets
	// the quality target.
	ModelAuto = "auto"
)

// ChatRequest is a workspace's chat completion request.
type ChatRequest struct {
	ID claim.RequestID
	// GeneratedID is true if this instance generated the id. Otherwise the id
	// is the caller's idempotency key and may have been used before.
	GeneratedID bool
	Workspace   ticket.WorkspaceName
	Class       ticket.Class
	// Pin is the session's version, or nil.
	Pin  *session.Pin
	Body *chat.Request
	// OnStart is called once, before the first OnText, with the version that
	// generates the answer.
	OnStart func(version ticket.VersionRef)
	// OnText is called with each chunk of the answer.
	OnText func(text string) error
}

// ChatAnswer is a complete answer whose bill is durable.
type ChatAnswer struct {
	Version      ticket.VersionRef
	Text         string
	PromptTokens int
	Tokens       int
	// Session is the token that pins the caller's session to the version.
	Session string
}

// refusalOutcome returns the outcome to report for a request that is refused
// before anything ran here. It is unknown if the id came from the caller, since
// another instance may have received the same request.
func refusalOutcome(generatedID bool) claim.State {
	if generatedID {
		return claim.StateNotRun
	}
	return claim.StateUnknown
}

// chatJob is the state of one chat request.
type chatJob struct {
	*ChatRequest
	router    *Router
	workspace *ticket.Workspace
	digest    quarantine.Digest
	prefix    uint64
	deadline  clock.Millis
	startedAt clock.Millis
	attempts  int
	cost      billing.MicroEuros
	tokens    billing.Tokens
	streaming bool
	slot      *admissionSlot
	// mayHaveRun is true once any attempt, including those for versions tried
	// earlier, may have reached an engine.
	mayHaveRun bool
}

// Chat serves a chat completion. It returns the complete answer once the bill is
// durable, or a problem that states the outcome of the request.
func (r *Router) Chat(ctx context.Context, request *ChatRequest) (*ChatAnswer, *caller.Problem) {
	outcome := refusalOutcome(request.GeneratedID)
	if p := r.beginRequest(request.ID, outcome); p != nil {
		return nil, p
	}
	defer r.endRequest()
	ctx, release := r.untilStopped(ctx)
	defer release()
	j := r.newChatJob(request)
	if j.workspace == nil || j.workspace.State != ticket.LifecycleActive {
		return nil, newProblem(request.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, "the workspace is not configured", 0)
	}
	if r.deps.Learner.Verdict(j.digest) == quarantine.VerdictQuarantined {
		return nil, j.quarantinedProblem()
	}
	plan, p := j.plan()
	if p != nil {
		return nil, p
	}
	slot, shed := r.queue.acquire(ctx, j.workspace, j.deadline)
	if shed != nil {
		return nil, j.handleShed(shed)
	}
	defer r.queue.release(slot)
	j.slot = slot
	r.OnStep(StepAdmitted, request.ID)
	return j.run(ctx, plan)
}

func (r *Router) newChatJob(request *ChatRequest) *chatJob {
	j := &chatJob{
		ChatRequest: request,
		router:      r,
		workspace:   r.deps.Config.View().Workspaces[request.Workspace],
		digest:      DigestOf(request.Workspace, request.Body.Content(false)),
		startedAt:   r.clock.Mono(),
	}
	if len(request.Body.Messages) > 1 {
		j.prefix = xxhash.Sum64(request.Body.Content(true))
	}
	if j.workspace != nil {
		j.deadline = j.startedAt + j.workspace.Deadline
	}
	return j
}

// DigestOf returns a digest that identifies a request's content within its
// workspace.
func DigestOf(workspace ticket.WorkspaceName, content []byte) quarantine.Digest {
	h := xxhash.New()
	_, _ = h.WriteString(string(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return quarantine.Digest(hex.EncodeToString(h.Sum(nil)))
}

func (j *chatJob) quarantinedProblem() *caller.Problem {
	return newProblem(j.ID, http.StatusUnprocessableEntity, caller.CodeQuarantined, claim.StateUnknown,
		"this request crashed the endpoints that ran it and is not run again", 0)
}

func (j *chatJob) handleShed(shed *admission.Shed) *caller.Problem {
	j.router.metrics.Counter("shed").Inc(1)
	j.router.logDecision("shed", "request", j.ID, "workspace", j.Workspace, "reason", shed.Reason)
	return newProblem(j.ID, http.StatusTooManyRequests, caller.CodeOverload, refusalOutcome(j.GeneratedID),
		"not admitted: "+string(shed.Reason), max(shed.RetryAfter, clock.Second))
}

// plan returns the versions to try, in order.
func (j *chatJob) plan() ([]ticket.VersionRef, *caller.Problem) {
	if j.Pin != nil {
		return j.pinnedPlan()
	}
	if strings.Contains(j.Body.Model, "@") {
		return j.explicitPlan(ticket.VersionRef(j.Body.Model))
	}
	return j.cascadePlan()
}

func (j *chatJob) pinnedPlan() ([]ticket.VersionRef, *caller.Problem) {
	version := j.Pin.Version
	requested := j.Body.Model
	if requested != ModelAuto && requested != string(version) && requested != string(version.Model()) {
		return nil, newProblem(j.ID, http.StatusBadRequest, caller.CodeBadSession, refusalOutcome(j.GeneratedID),
			"the session is pinned to "+string(version), 0)
	}
	return j.explicitPlan(version)
}

func (j *chatJob) explicitPlan(version ticket.VersionRef) ([]ticket.VersionRef, *caller.Problem) {
	reason := j.checkVersion(version)
	j.router.logDecision("plan", "request", j.ID, "workspace", j.Workspace, "class", j.Class,
		"steps", version, "pinned", j.Pin != nil, "reason", reason)
	if reason != routing.Permitted {
		return nil, j.versionProblem(reason, version)
	}
	return []ticket.VersionRef{version}, nil
}

// checkVersion reports whether the configuration permits the version and, if so,
// whether its rollout was stopped.
func (j *chatJob) checkVersion(version ticket.VersionRef) routing.Reason {
	view := j.router.deps.Config.View()
	reason := routing.CheckTarget(view, j.Workspace, routing.Target{Version: version})
	if reason == routing.Permitted && j.router.deps.Learner.VersionStopped(version) {
		return routing.ReasonRolloutStopped
	}
	return reason
}

func (j *chatJob) versionProblem(reason routing.Reason, version ticket.VersionRef) *caller.Problem {
	outcome := refusalOutcome(j.GeneratedID)
	detail := string(version) + ": " + string(reason)
	switch reason {
	case routing.ReasonVersionWithdrawn, routing.ReasonRolloutStopped:
		return newProblem(j.ID, http.StatusGone, caller.CodeWithdrawn, outcome, detail, 0)
	case routing.ReasonVersionUnknown:
		return newProblem(j.ID, http.StatusNotFound, caller.CodeUnknownModel, outcome, detail, 0)
	}
	return newProblem(j.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, detail, 0)
}

func (j *chatJob) cascadePlan() ([]ticket.VersionRef, *caller.Problem) {
	learner := j.router.deps.Learner
	view := j.router.deps.Config.View()
	modelKnown := false
	query := cascade.Query{
		View:      view,
		Workspace: j.workspace,
		Class:     j.Class,
		Usable: func(ref ticket.VersionRef) bool {
			modelMatches := j.Body.Model == ModelAuto || ticket.ModelName(j.Body.Model) == ref.Model()
			modelKnown = modelKnown || modelMatches
			usable := modelMatches && !learner.RolloutOnly(ref) && j.checkVersion(ref) == routing.Permitted
			return usable && j.router.deps.Pool.Serving(routing.ServedName(ref))
		},
		Ratings:     learner.RatingCount,
		RatedInTime: j.router.timelyRatingShare(),
	}
	if j.Body.Stream {
		query.RatedInTime = 0
	}
	j.router.mu.Lock()
	plan := query.Plan(j.router.random)
	j.router.mu.Unlock()
	steps := make([]ticket.VersionRef, 0, len(plan.Steps))
	assigned := rollout.AssignFrom
	for _, step := range plan.Steps {
		version, assignment := learner.Assign(step, string(j.ID), j.workspace.Allows)
		steps = append(steps, version)
		assigned = assignment
	}
	j.router.logDecision("plan", "request", j.ID, "workspace", j.Workspace, "class", j.Class,
		"steps", steps, "roll-out", assigned, "reason", plan.Reason)
	switch {
	case len(steps) > 0:
		return steps, nil
	case modelKnown:
		return nil, unavailableProblem(j.ID, caller.CodeNoEndpoint, refusalOutcome(j.GeneratedID), "no version of "+j.Body.Model+" is available now", clock.Second)
	}
	return nil, newProblem(j.ID, http.StatusNotFound, caller.CodeUnknownModel, refusalOutcome(j.GeneratedID), "model "+j.Body.Model+" is not known to this workspace", 0)
}

// run tries the planned versions in order. It escalates to the next version if
// an attempt fails, or if its answer is rated bad within ratingTimeout.
func (j *chatJob) run(ctx context.Context, plan []ticket.VersionRef) (*ChatAnswer, *caller.Problem) {
	for step, version := range plan {
		last := step == len(plan)-1
		j.streaming = j.Body.Stream && last
		a := &attemptRunner{job: j, version: version}
		if p := a.run(ctx); p != nil {
			p = j.handleFailure(ctx, a, p)
			if last || ctx.Err() != nil || p.Code == caller.CodeQuarantined {
				return nil, p
			}
			continue
		}
		j.charge(a)
		j.router.OnStep(StepAnswered, j.ID)
		if !last && j.ratedBadInTime(ctx, a) {
			j.router.logDecision("escalate", "request", j.ID, "from", version, "to", plan[step+1])
			continue
		}
		return j.settle(ctx, a)
	}
	return nil, unavailableProblem(j.ID, caller.CodeNoEndpoint, refusalOutcome(j.GeneratedID), "no version to try", clock.Second)
}

func (j *chatJob) charge(a *attemptRunner) {
	tokens := billing.Tokens(a.end.PromptTokens + a.end.CompletionTokens)
	j.mayHaveRun = true
	j.tokens += tokens
	j.attempts++
	if version := j.router.deps.Config.View().Versions[a.version]; version != nil {
		j.cost += billing.Price(version.Cost, tokens)
	}
}

func (j *chatJob) bill(version ticket.VersionRef) billing.Bill {
	return billing.Bill{
		ID:        j.ID,
		Workspace: j.Workspace,
		Serves:    string(version),
		Tokens:    j.tokens,
		Cost:      j.cost,
		Attempts:  j.attempts,
		Instance:  j.router.instance,
		At:        j.router.clock.Wall(),
	}
}

// settle waits until the bill is durable, and returns the answer with the
// session token.
func (j *chatJob) settle(ctx context.Context, a *attemptRunner) (*ChatAnswer, *caller.Problem) {
	r := j.router
	if err := r.deps.Ledger.Settle(ctx, j.bill(a.version)); err != nil {
		return nil, unavailableProblem(j.ID, caller.CodeBillingBlocked, claim.StateUnknown, err.Error(), clock.Second)
	}
	r.OnStep(StepBilled, j.ID)
	r.recordSuccess()
	token, err := r.deps.Signer.Sign(j.pinFor(a.version))
	if err != nil {
		return nil, unavailableProblem(j.ID, caller.CodeIncomplete, claim.StateUnknown, err.Error(), 0)
	}
	if !a.submittedForRating {
		r.deps.Learner.QueueAnswer(j.answerToRate(a))
	}
	r.metrics.Counter("answered").Inc(1)
	r.metrics.Timer("total").Record((r.clock.Mono() - j.startedAt).Duration())
	r.OnStep(StepFinished, j.ID)
	return &ChatAnswer{
		Version:      a.version,
		Text:         a.text.String(),
		PromptTokens: a.end.PromptTokens,
		Tokens:       a.end.CompletionTokens,
		Session:      token,
	}, nil
}

func (j *chatJob) answerToRate(a *attemptRunner) platform.Answer {
	return platform.Answer{
		RequestID: string(j.ID),
		Workspace: j.Workspace,
		Class:     j.Class,
		Version:   a.version,
		Text:      a.text.String(),
	}
}

func (j *chatJob) pinFor(version ticket.VersionRef) session.Pin {
	if j.Pin != nil {
		return *j.Pin
	}
	return session.Pin{
		Session:      uuid.NewString(),
		Workspace:    j.Workspace,
		Version:      version,
		TicketNumber: j.router.deps.Config.View().TicketNumber(ticket.ObjectVersion, string(version)),
	}
}

// handleFailure records a failed version. If the caller disconnected, the tokens
// generated so far are billed, but not if the instance shuts down; otherwise a failure
// of the endpoint is counted against the version.
func (j *chatJob) handleFailure(ctx context.Context, a *attemptRunner, p *caller.Problem) *caller.Problem {
	r := j.router
	r.metrics.Counter("failed").Inc(1)
	r.logDecision("failed", "request", j.ID, "workspace", j.Workspace, "version", a.version,
		"code", p.Code, "outcome", p.Outcome, "tokens", a.received, "detail", p.Detail)
	switch {
	case isStopped(ctx):
	case ctx.Err() != nil && a.received > 0:
		a.end = &endpoint.StreamResult{CompletionTokens: a.received}
		j.charge(a)
		_ = r.deps.Ledger.Settle(ctx, j.bill(a.version))
	case p.Code == caller.CodeEndpointFailed || p.Code == caller.CodeIncomplete:
		r.deps.Learner.RecordFailure(a.version)
	}
	return p
}
