package cascade

import (
	"math"

	"foxtailbridge/policy/clock"
)

// Confidence is the confidence that a model reports in its own answer, 0 to 100.
type Confidence int

// ConfidenceUnknown stands for an answer without a reported confidence.
const ConfidenceUnknown Confidence = -1

// EscalationQuery holds the inputs for deciding whether a larger model should answer
// a request again.
type EscalationQuery struct {
	Confidence Confidence
	// Value is the value of a good answer, in the unit of Price.
	Value float64
	// Floor is the least value of a good answer that is not a matter of rank, or 0; see
	// ValueFloor.
	Floor float64
	// Price is the price of this request at the larger model.
	Price float64
	// Utilization is the slot utilization of the endpoints that could run the
	// request; it may exceed 1.
	Utilization float64
	// WaitingShare is the number of requests that wait for a slot of these endpoints, relative
	// to the slots.
	WaitingShare float64
	// ReadTime is how long the larger model takes to read the prompt.
	ReadTime clock.Millis
	// Urgent holds the routes of the service that are more urgent than the request's.
	Urgent []UrgentRoute
	// FirstTokenGoal is the longest time to the first token that counts as in time.
	FirstTokenGoal clock.Millis
	// FirstTokenBudget is the time left until the first token is due.
	FirstTokenBudget clock.Millis
	// ExpectedFirstToken is the expected time to the first token of the larger model.
	ExpectedFirstToken clock.Millis
	// CompletionBudget is the time left until the complete answer is due, and
	// ExpectedCompletion how long the larger model takes for it, or 0 if unknown.
	CompletionBudget   clock.Millis
	ExpectedCompletion clock.Millis
}

const (
	// midConfidence is the confidence at which an answer is as likely poor as good,
	// and confidenceScale the scale of the logistic curve around it. In the users'
	// benchmark most poor answers have a confidence below 40, hardly any above 60.
	midConfidence   = 45.0
	confidenceScale = 8.0
	// completionMargin is the factor on the expected completion time that must fit
	// into the completion budget.
	completionMargin = 1.4
	// poorAnswerLoss is the share of its value that a poor answer loses.
	poorAnswerLoss = 0.95
	// scarceLoad is the load above which capacity is scarce, and scarcityPrice the
	// multiple of a run's price that it costs other requests at full load.
	scarceLoad    = 0.6
	scarcityPrice = 3.0
	// lateValueFactor is the share of its value that a good answer keeps if its
	// first token is late.
	lateValueFactor = 0.3
	// fullLoadGoalShare is the share of the first-token goal at which the time to
	// the first token indicates full load: engines that prefill long prompts are
	// saturated long before all their slots are busy.
	fullLoadGoalShare = 0.5
)

// PoorProbability returns the probability that an answer of this confidence is poor.
func (c Confidence) PoorProbability() float64 {
	return 1 / (1 + math.Exp((float64(c)-midConfidence)/confidenceScale))
}

// load returns the higher of the slot utilization and the load that the time to the
// first token indicates.
func (q EscalationQuery) load() float64 {
	if q.FirstTokenGoal <= 0 {
		return q.Utilization
	}
	return max(q.Utilization, float64(q.ExpectedFirstToken)/(fullLoadGoalShare*float64(q.FirstTokenGoal)))
}

// Basis says what justifies a second run.
type Basis string

// What justifies a second run.
const (
	// BasisNone means that nothing does.
	BasisNone Basis = ""
	// BasisRank is the value that the rank of the route gives the answer.
	BasisRank Basis = "rank"
	// BasisFloor is the value floor.
	BasisFloor Basis = "floor"
)

// Worthwhile reports whether a larger model should answer the request.
func (q EscalationQuery) Worthwhile() bool {
	return q.Basis() != BasisNone
}

// Basis returns what justifies that a larger model answers the request: the expected gain in
// value must exceed the price, and the answer must complete in time.
func (q EscalationQuery) Basis() Basis {
	if q.Confidence == ConfidenceUnknown || float64(q.CompletionBudget) < completionMargin*float64(q.ExpectedCompletion) {
		return BasisNone
	}
	gainShare := poorAnswerLoss * q.Confidence.PoorProbability()
	if q.FirstTokenBudget < q.ExpectedFirstToken {
		gainShare *= lateValueFactor
	}
	switch {
	case gainShare*q.Value > q.Price*scarcity(q.load(), scarceLoad):
		return BasisRank
	case gainShare*q.Floor > q.Price*q.floorScarcity():
		return BasisFloor
	}
	return BasisNone
}

const (
	// topRankValue is the value of an answer of the most urgent rank, and rankDecay
	// the factor for each rank below it: operators rank routes by value.
	topRankValue = 5.0
	rankDecay    = 0.25
	// minSizeFactor is the share of an answer's value that does not grow with the
	// request size, and maxSizeFactor the maximum factor for the size.
	minSizeFactor = 0.3
	maxSizeFactor = 4.0
)

// AnswerValue estimates the value of a good answer from the rank of its route, and
// from the request size relative to the route's mean.
func AnswerValue(rank int, size, mean float64) float64 {
	factor := 1.0
	if mean > 0 {
		factor = min(maxSizeFactor, minSizeFactor+(1-minSizeFactor)*size/mean)
	}
	return rankValue(rank) * factor
}

// promptTokenPrice is the price of a prompt token relative to a generated token.
const promptTokenPrice = 0.25

// RequestPrice returns the price of a request at a model with the given cost per
// 1,000 generated tokens.
func RequestPrice(cost float64, promptTokens, generatedTokens int) float64 {
	return cost * (float64(generatedTokens) + promptTokenPrice*float64(promptTokens)) / 1000
}
