package forward

import (
	"foxtailbridge/entry/endpoints"
	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// startModel returns the model on which the request runs first: the smallest, unless another has a
// lower expected cost and the endpoints have free capacity for it. A stream that the caller resumes
// keeps to the smallest, as the model that began it is not known.
func (t *task) startModel() ticket.ModelName {
	ladder := t.route.Models
	if t.service.Engine == nil || len(ladder) < 2 || t.request.LastEventID != "" {
		return ladder[0]
	}
	largest := ladder[len(ladder)-1]
	price := t.price(largest)
	value := max(cascade.AnswerValue(int(t.route.Rank), t.size(), t.sizes.Mean(t.route.Name)),
		cascade.ValueFloor(int(t.route.Rank), price, t.routeRequests(largest)))
	draw, loadDraw := t.request.draws()
	query := cascade.StartQuery{
		Value: value, RetryPrice: t.answers.RetryPrice(t.service.Name), MayEscalate: t.retryable() && t.route.Attempts > 1, Draw: draw,
	}
	for _, model := range ladder {
		query.Models = append(query.Models, cascade.StartModel{Price: t.price(model), Answers: t.answers.Recent(t.answerKind(model))})
	}
	start := ladder[query.Start()]
	if start == ladder[0] || !t.mayStartOn(start, loadDraw) {
		return ladder[0]
	}
	t.deps.Scope.Tagged(map[string]string{"route": string(t.route.Name), "model": string(start)}).Counter("started_larger").Inc(1)
	return start
}

// mayStartOn reports whether an endpoint has room for a model larger than the smallest and capacity
// is free.
func (t *task) mayStartOn(model ticket.ModelName, draw float64) bool {
	q, next := t.placementQuery()
	q.Model, q.RelativeCost = model, t.service.Engine.RelativeCost(model)
	choice := t.endpoints.Peek(next.view, t.service, q)
	return choice.State != nil && t.escalationQuery(choice, model, t.urgentRoutes(t.clock.Mono())).MayStartLarge(draw)
}

// answerKind returns the kind of the answers of a model to requests like the task's.
func (t *task) answerKind(model ticket.ModelName) endpoints.AnswerKind {
	size := cascade.SizeClassOf(float64(placement.Tokens(t.request.PromptParts)), t.sizes.Means(t.route.Name).Prompt)
	return endpoints.AnswerKind{Route: t.route.Name, Model: model, Size: size}
}

// draws returns two numbers from 0 to 1 that differ at random between requests.
func (r *Request) draws() (first, second float64) {
	const half = 1 << 32
	h := r.hash()
	return float64(h/half) / half, float64(h%half) / half
}
