package forward

import (
	"strconv"

	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// shouldEscalate reports whether a larger model should answer instead and an endpoint
// has room for it.
func (t *task) shouldEscalate(response *Response) bool {
	ladder := t.route.Models
	if t.model == "" || t.headSent || t.service.Engine == nil || len(ladder) == 0 || t.model == ladder[len(ladder)-1] {
		return false
	}
	larger := ladder[len(ladder)-1]
	q, next := t.placementQuery()
	q.Tried, q.Model, q.RelativeCost = nil, larger, t.service.Engine.RelativeCost(larger)
	choice := t.endpoints.Peek(next.view, t.service, q)
	if choice.State == nil || t.runs >= t.route.Attempts {
		return false
	}
	urgent := t.urgentRoutes(t.clock.Mono())
	query := t.escalationQuery(choice, larger, urgent)
	query.Confidence = response.Confidence
	t.basis = query.Basis()
	if t.basis == cascade.BasisNone {
		return false
	}
	allowed := t.endpoints.RetryBudgetLeft(t.service.Name) > cascade.RetryReserve(urgent)
	t.answers.RecordEscalation(t.service.Name, query.NetGain(), allowed)
	if !allowed {
		t.deps.Scope.Tagged(map[string]string{"rank": strconv.Itoa(int(t.route.Rank))}).Counter("escalations_over_budget").Inc(1)
	}
	return allowed
}

// escalationQuery returns the query whether a larger model should run the request, for an answer of
// unknown confidence.
func (t *task) escalationQuery(choice placement.Choice, larger ticket.ModelName, urgent []cascade.UrgentRoute) cascade.EscalationQuery {
	now := t.clock.Mono()
	usualDelay := t.delays.Expected(t.route.Name, larger)
	events := t.request.MaxTokens
	if stride := t.service.Engine.TokensPerEvent; stride > 0 {
		events /= stride
	}
	price := t.price(larger)
	return cascade.EscalationQuery{
		Confidence:         cascade.ConfidenceUnknown,
		Value:              cascade.AnswerValue(int(t.route.Rank), t.size(), t.sizes.Mean(t.route.Name)),
		Floor:              cascade.ValueFloor(int(t.route.Rank), price, t.routeRequests(larger)),
		Price:              price,
		Utilization:        1 - float64(choice.FreeSlots)/float64(max(1, choice.Slots)),
		WaitingShare:       float64(max(choice.Waiting, choice.Excess)) / float64(max(1, choice.Slots)),
		ReadTime:           placement.PrefillTime(float64(placement.Tokens(t.request.PromptParts))),
		Urgent:             urgent,
		FirstTokenGoal:     t.route.FirstByteGoal,
		FirstTokenBudget:   min(t.deadline, t.request.ReceivedAt+t.route.FirstByteGoal) - now,
		ExpectedFirstToken: clock.Millis(float64(usualDelay) * t.relativeReadTime()),
		CompletionBudget:   t.deadline - now,
		ExpectedCompletion: usualDelay + clock.Millis(float64(events)*t.paces.Mean(larger)),
	}
}

// urgentRoutes returns the routes of the service that are more urgent than the task's.
func (t *task) urgentRoutes(now clock.Millis) []cascade.UrgentRoute {
	var urgent []cascade.UrgentRoute
	for _, route := range t.view.Config.ServiceRoutes(t.service.Name) {
		if route.Rank < t.route.Rank {
			urgent = append(urgent, cascade.UrgentRoute{Rank: int(route.Rank), Goal: route.FirstByteGoal, Delay: t.delays.Recent(route.Name, now)})
		}
	}
	return urgent
}

// escalate discards a low-confidence response in favor of a larger model's. It first
// reserves an endpoint for that; if there is none, it keeps the response and returns
// false.
func (t *task) escalate(r *run) bool {
	model, tried, sent := t.model, t.tried, t.assignment
	t.model, t.tried = t.route.Models[len(t.route.Models)-1], nil
	choice := t.findEndpoint()
	if choice.State == nil {
		t.logger.Info("escalate-not", "request", t.request.ID, "model", t.model, "reason", choice.Reason, "verdicts", choice.Rejections.String())
		t.model, t.tried, t.assignment = model, tried, sent
		return false
	}
	t.reserved = &choice
	escalated := t.assignment
	t.assignment = sent // The run counts for the assignment by which it was sent.
	r.recordOutcome(false)
	r.close()
	t.assignment = escalated
	t.logger.Info("escalate", "request", t.request.ID, "endpoint", r.endpoint.ID, "model", model, "confidence", r.response.Confidence,
		"rank", t.route.Rank, "basis", t.basis)
	t.deps.Scope.Tagged(map[string]string{"basis": string(t.basis)}).Counter("escalations").Inc(1)
	t.endpoints.TakeRetry(t.service.Name)
	return true
}

// price returns the price of the request at a model.
func (t *task) price(model ticket.ModelName) float64 {
	return cascade.RequestPrice(t.service.Engine.Cost(model), placement.Tokens(t.request.PromptParts), t.request.MaxTokens)
}

// routeRequests returns what is known of the requests on the task's route, at the prices of a model.
func (t *task) routeRequests(model ticket.ModelName) cascade.RouteRequests {
	means := t.sizes.Means(t.route.Name)
	price := cascade.RequestPrice(t.service.Engine.Cost(model), int(means.Prompt), int(means.Output))
	return cascade.RouteRequests{Count: means.Requests, MeanPrice: price}
}

// size returns the weighted number of tokens by which the value of a request's response
// is estimated.
func (t *task) size() float64 {
	return endpoints.WeightedSize(float64(placement.Tokens(t.request.PromptParts)), float64(t.request.MaxTokens))
}

// relativeReadTime is the time to read this prompt relative to the route's mean.
func (t *task) relativeReadTime() float64 {
	mean := t.sizes.Mean(t.route.Name)
	if mean <= 0 {
		return 1
	}
	return fixedReadShare + (1-fixedReadShare)*t.size()/mean
}

// fixedReadShare is the part of the time to the first token that does not grow with the
// prompt.
const fixedReadShare = 0.3
