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
	// ModelAuto asks for the cheapest version that meets the quality target.
	ModelAuto = "auto"
)

// ChatRequest is a chat completion of a workspace.
type ChatRequest struct {
	ID claim.RequestID
	// GeneratedID is true if no caller can have sent the id before.
	GeneratedID bool
	Workspace   ticket.WorkspaceName
	Class       ticket.Class
	// Pin is the session's version, or nil.
	Pin  *session.Pin
	Body *chat.Request
	// OnStart is called once before the first text with the version that answers.
	OnStart func(version ticket.VersionRef)
	// OnText is called with each piece of the answer.
	OnText func(text string) error
}

// ChatAnswer is a whole answer whose bill is safe.
type ChatAnswer struct {
	Version      ticket.VersionRef
	Text         string
	PromptTokens int
	Tokens       int
	// Session is the token that pins the caller's session to the version.
	Session string
}

// refusalOutcome is the outcome of a refusal before anything ran: another
// instance may hold a request whose id came from the caller.
func refusalOutcome(minted bool) claim.State {
	if minted {
		return claim.StateNotRun
	}
	return claim.StateUnknown
}

// chatJob carries one chat request through its steps.
type chatJob struct {
	*ChatRequest
	router    *Router
	workspace *ticket.Workspace
	digest    quarantine.Digest
	prefix    uint64
	deadline  clock.Millis
	began     clock.Millis
	attempts  int
	cost      billing.Micros
	tokens    billing.Tokens
	streaming bool
	place     *place
	// ran is true once any attempt, also of an earlier step, may have run.
	ran bool
}

// Chat serves a chat completion; it returns the whole answer once its bill is
// safe, or a problem that says what became of the request.
func (r *Router) Chat(ctx context.Context, request *ChatRequest) (*ChatAnswer, *caller.Problem) {
	outcome := refusalOutcome(request.GeneratedID)
	if p := r.enter(request.ID, outcome); p != nil {
		return nil, p
	}
	defer r.leave()
	j := r.newChatJob(request)
	if j.workspace == nil || j.workspace.State != ticket.PermitActive {
		return nil, problem(request.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, "the workspace is not configured", 0)
	}
	if r.parts.Learner.Verdict(j.digest) == quarantine.VerdictQuarantined {
		return nil, j.quarantined()
	}
	plan, p := j.plan()
	if p != nil {
		return nil, p
	}
	place, shed := r.queue.enter(ctx, j.workspace, j.deadline)
	if shed != nil {
		return nil, j.shed(shed)
	}
	defer r.queue.leave(place)
	j.place = place
	r.OnStep(StepAdmitted, request.ID)
	return j.run(ctx, plan)
}

func (r *Router) newChatJob(request *ChatRequest) *chatJob {
	j := &chatJob{
		ChatRequest: request,
		router:      r,
		workspace:   r.parts.Config.View().Workspaces[request.Workspace],
		digest:      DigestOf(request.Workspace, request.Body.Content(false)),
		began:       r.clock.Mono(),
	}
	if len(request.Body.Messages) > 1 {
		j.prefix = xxhash.Sum64(request.Body.Content(true))
	}
	if j.workspace != nil {
		j.deadline = j.began + j.workspace.Deadline
	}
	return j
}

// DigestOf identifies a request by its content within a workspace.
func DigestOf(workspace ticket.WorkspaceName, content []byte) quarantine.Digest {
	h := xxhash.New()
	_, _ = h.WriteString(string(workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(content)
	return quarantine.Digest(hex.EncodeToString(h.Sum(nil)))
}

func (j *chatJob) quarantined() *caller.Problem {
	return problem(j.ID, http.StatusUnprocessableEntity, caller.CodeQuarantined, claim.StateUnknown,
		"this request crashed the endpoints that ran it and is not run again", 0)
}

func (j *chatJob) shed(shed *admission.Shed) *caller.Problem {
	j.router.metrics.Counter("shed").Inc(1)
	j.router.decide("shed", "request", j.ID, "workspace", j.Workspace, "reason", shed.Reason)
	return problem(j.ID, http.StatusTooManyRequests, caller.CodeOverload, refusalOutcome(j.GeneratedID),
		"not admitted: "+string(shed.Reason), max(shed.RetryAfter, clock.Second))
}

// plan decides which versions to try, in order.
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
	asked := j.Body.Model
	if asked != ModelAuto && asked != string(version) && asked != string(version.Model()) {
		return nil, problem(j.ID, http.StatusBadRequest, caller.CodeBadSession, refusalOutcome(j.GeneratedID),
			"the session is pinned to "+string(version), 0)
	}
	return j.explicitPlan(version)
}

func (j *chatJob) explicitPlan(version ticket.VersionRef) ([]ticket.VersionRef, *caller.Problem) {
	reason := j.permit(version)
	j.router.decide("plan", "request", j.ID, "workspace", j.Workspace, "class", j.Class,
		"steps", version, "pinned", j.Pin != nil, "reason", reason)
	if reason != routing.Permitted {
		return nil, j.refuseVersion(reason, version)
	}
	return []ticket.VersionRef{version}, nil
}

// permit adds to the configuration what the evidence says of a version.
func (j *chatJob) permit(version ticket.VersionRef) routing.Reason {
	view := j.router.parts.Config.View()
	reason := routing.PermitTarget(view, j.Workspace, routing.Target{Version: version})
	if reason == routing.Permitted && j.router.parts.Learner.Stopped(version) {
		return routing.ReasonRolloutStopped
	}
	return reason
}

func (j *chatJob) refuseVersion(reason routing.Reason, version ticket.VersionRef) *caller.Problem {
	outcome := refusalOutcome(j.GeneratedID)
	detail := string(version) + ": " + string(reason)
	switch reason {
	case routing.ReasonWithdrawn, routing.ReasonRolloutStopped:
		return problem(j.ID, http.StatusGone, caller.CodeWithdrawn, outcome, detail, 0)
	case routing.ReasonUnknownVersion:
		return problem(j.ID, http.StatusNotFound, caller.CodeUnknownModel, outcome, detail, 0)
	}
	return problem(j.ID, http.StatusForbidden, caller.CodeNotAllowed, outcome, detail, 0)
}

func (j *chatJob) cascadePlan() ([]ticket.VersionRef, *caller.Problem) {
	learner := j.router.parts.Learner
	view := j.router.parts.Config.View()
	known := false
	query := cascade.Query{
		View:      view,
		Workspace: j.workspace,
		Class:     j.Class,
		Usable: func(ref ticket.VersionRef) bool {
			named := j.Body.Model == ModelAuto || ticket.ModelName(j.Body.Model) == ref.Model()
			known = known || named
			usable := named && !learner.RolledOut(ref) && j.permit(ref) == routing.Permitted
			return usable && j.router.parts.Pool.Serving(routing.Serves(ref))
		},
		Count:       learner.Count,
		RatedInTime: j.router.ratedInTime(),
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
	j.router.decide("plan", "request", j.ID, "workspace", j.Workspace, "class", j.Class,
		"steps", steps, "roll-out", assigned, "reason", plan.Reason)
	switch {
	case len(steps) > 0:
		return steps, nil
	case known:
		return nil, refuse(j.ID, caller.CodeNoEndpoint, refusalOutcome(j.GeneratedID), "no version of "+j.Body.Model+" is available now", clock.Second)
	}
	return nil, problem(j.ID, http.StatusNotFound, caller.CodeUnknownModel, refusalOutcome(j.GeneratedID), "model "+j.Body.Model+" is not known to this workspace", 0)
}

// run tries the planned versions in order; an answer that fails, or is rated bad
// in time, gives way to the next version's.
func (j *chatJob) run(ctx context.Context, plan []ticket.VersionRef) (*ChatAnswer, *caller.Problem) {
	for step, version := range plan {
		last := step == len(plan)-1
		j.streaming = j.Body.Stream && last
		a := &attempts{job: j, version: version}
		if p := a.run(ctx); p != nil {
			p = j.failed(ctx, a, p)
			if last || ctx.Err() != nil || p.Code == caller.CodeQuarantined {
				return nil, p
			}
			continue
		}
		j.charge(a)
		j.router.OnStep(StepAnswered, j.ID)
		if !last && j.ratedBad(ctx, a) {
			j.router.decide("escalate", "request", j.ID, "from", version, "to", plan[step+1])
			continue
		}
		return j.settle(ctx, a)
	}
	return nil, refuse(j.ID, caller.CodeNoEndpoint, refusalOutcome(j.GeneratedID), "no version to try", clock.Second)
}

func (j *chatJob) charge(a *attempts) {
	tokens := billing.Tokens(a.end.PromptTokens + a.end.CompletionTokens)
	j.ran = true
	j.tokens += tokens
	j.attempts++
	if version := j.router.parts.Config.View().Versions[a.version]; version != nil {
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

// settle makes the bill safe before the answer counts as whole.
func (j *chatJob) settle(ctx context.Context, a *attempts) (*ChatAnswer, *caller.Problem) {
	r := j.router
	if err := r.parts.Ledger.Settle(ctx, j.bill(a.version)); err != nil {
		return nil, refuse(j.ID, caller.CodeBillingBlocked, claim.StateUnknown, err.Error(), clock.Second)
	}
	r.OnStep(StepBilled, j.ID)
	r.succeed()
	token, err := r.parts.Signer.Sign(j.pinFor(a.version))
	if err != nil {
		return nil, refuse(j.ID, caller.CodeIncomplete, claim.StateUnknown, err.Error(), 0)
	}
	if !a.submitted {
		r.parts.Learner.Submit(j.answer(a))
	}
	r.metrics.Counter("answered").Inc(1)
	r.metrics.Timer("total").Record((r.clock.Mono() - j.began).Duration())
	r.OnStep(StepFinished, j.ID)
	return &ChatAnswer{
		Version:      a.version,
		Text:         a.text.String(),
		PromptTokens: a.end.PromptTokens,
		Tokens:       a.end.CompletionTokens,
		Session:      token,
	}, nil
}

func (j *chatJob) answer(a *attempts) platform.Answer {
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
		Session:   uuid.NewString(),
		Workspace: j.Workspace,
		Version:   version,
		Number:    j.router.parts.Config.View().Number(ticket.ObjectVersion, string(version)),
	}
}

// failed bills a caller that went away for what was generated, and counts a
// failure of the version otherwise.
func (j *chatJob) failed(ctx context.Context, a *attempts, p *caller.Problem) *caller.Problem {
	r := j.router
	r.metrics.Counter("failed").Inc(1)
	r.decide("failed", "request", j.ID, "workspace", j.Workspace, "version", a.version,
		"code", p.Code, "outcome", p.Outcome, "tokens", a.received, "detail", p.Detail)
	switch {
	case ctx.Err() != nil && a.received > 0:
		a.end = &endpoint.StreamEnd{CompletionTokens: a.received}
		j.charge(a)
		_ = r.parts.Ledger.Settle(ctx, j.bill(a.version))
	case p.Code == caller.CodeEndpointFailed || p.Code == caller.CodeIncomplete:
		r.parts.Learner.Fail(a.version)
	}
	return p
}
