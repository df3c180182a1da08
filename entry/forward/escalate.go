package forward

import (
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
)

// unsure reports whether a larger model should answer instead, and has room.
func (t *task) unsure(answer *Response) bool {
	ladder := t.route.Models
	if t.model == "" || t.begun || t.service.Engine == nil || len(ladder) == 0 || t.model == ladder[len(ladder)-1] {
		return false
	}
	larger := ladder[len(ladder)-1]
	q, next := t.query()
	q.Tried, q.Model, q.RelativeCost = nil, larger, t.service.Engine.RelativeCost(larger)
	room := t.endpoints.peek(next.view, t.service, q)
	if room.State == nil || t.runs >= t.route.Attempts || !t.endpoints.hasSpare(t.service.Name) {
		return false
	}
	now := t.clock.Mono()
	key := delayKey{t.route.Name, larger}
	events := t.request.MaxTokens
	if stride := t.service.Engine.TokensPerEvent; stride > 0 {
		events /= stride
	}
	doubt := cascade.EscalationQuery{
		Confidence:         answer.Confidence,
		Value:              cascade.AnswerValue(int(t.route.Rank), float64(t.size()), t.endpoints.meanSize(t.route.Name)),
		Price:              cascade.RequestPrice(t.service.Engine.Cost(larger), placement.Tokens(t.request.PromptParts), t.request.MaxTokens),
		Utilization:        1 - float64(room.FreeSlots)/float64(max(1, room.Slots)),
		FirstTokenGoal:     t.route.FirstByteGoal,
		FirstTokenBudget:   min(t.deadline, t.request.ReceivedAt+t.route.FirstByteGoal) - now,
		ExpectedFirstToken: clock.Millis(float64(t.endpoints.expected(key)) * t.relativeRead()),
		CompletionBudget:   t.deadline - now,
		ExpectedCompletion: t.endpoints.expected(key) + clock.Millis(float64(events)*t.endpoints.pause(larger)),
	}
	return doubt.Worthwhile()
}

// escalate drops an unsure answer for a larger model's, once an endpoint is sure to have
// room for that; it reports whether one has.
func (t *task) escalate(r *run) bool {
	model, tried, aim := t.model, t.tried, t.aim
	t.model, t.tried = t.route.Models[len(t.route.Models)-1], nil
	choice := t.find()
	if choice.State == nil {
		t.logger.Info("escalate-not", "request", t.request.ID, "model", t.model, "reason", choice.Reason, "verdicts", choice.Rejections.String())
		t.model, t.tried, t.aim = model, tried, aim
		return false
	}
	t.next = &choice
	next := t.aim
	t.aim = aim // The run counts for the aim by which it was sent.
	r.rate(false)
	r.close()
	t.aim = next
	t.logger.Info("escalate", "request", t.request.ID, "endpoint", r.endpoint.ID, "model", model, "confidence", r.answer.Confidence)
	t.endpoints.takeRetry(t.service.Name)
	return true
}

// relativeRead is how long reading this prompt takes against the route's mean.
func (t *task) relativeRead() float64 {
	mean := t.endpoints.meanSize(t.route.Name)
	if mean <= 0 {
		return 1
	}
	return readFloor + (1-readFloor)*float64(t.size())/mean
}

// readFloor is the part of the time to the first token that does not grow with
// the prompt.
const readFloor = 0.3

// writeWeight is how many read tokens a written one counts for in a request's size.
const writeWeight = 10

// size measures the request for what its answer is worth.
func (t *task) size() int {
	return placement.Tokens(t.request.PromptParts) + writeWeight*t.request.MaxTokens
}
