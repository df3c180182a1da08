package cascade

import (
	"math"

	"foxtailbridge/policy/clock"
)

// StartModel is a model on which a request may start.
type StartModel struct {
	// Price is the price of the request at the model.
	Price float64
	// Answers holds its answers to such requests in the last seconds, on all instances.
	Answers Answers
}

// StartQuery holds the inputs for choosing the model on which a request starts.
type StartQuery struct {
	// Models holds the models of the route, smallest first.
	Models []StartModel
	// Value is the value of a good answer, in the unit of Price.
	Value float64
	// RetryPrice is what a retry costs other requests; see RetryPrice.
	RetryPrice float64
	// MayEscalate is true if a poor answer may be followed by a run on the largest model.
	MayEscalate bool
	// Draw is a random number from 0 to 1.
	Draw float64
}

const (
	// minAnswers is the number of answers from which their shares are believed by the first
	// requests; twice as many convince the last.
	minAnswers = 30
	// costMargin is the part of the smallest model's expected cost that another model must not
	// exceed for the first requests to start there, and costMarginRange what the last ask for less.
	// The share of dropped answers, of some 30, is known with an error of about this size. All
	// instances have the same answers and would otherwise change at once.
	costMargin      = 0.98
	costMarginRange = 0.03
	// manyTimes is the value of an answer, in prices of the largest model, from which valuableMargin
	// and valuableMarginRange replace them. At 30 prices, an error of 0.01 in the probability that
	// an answer is poor weighs 0.3 prices.
	manyTimes           = 30.0
	valuableMargin      = 1.25
	valuableMarginRange = 0.2
	// exploreShare is the share of requests that start on the smallest model in any case. Without
	// them, its answers would be forgotten and the choice would swing back and forth.
	exploreShare = 0.1
	// startLoad is the load at which the last requests of the most urgent rank start on a model
	// other than the smallest; it is scarceLoadPerRank less for each more urgent rank. It is below
	// scarceLoad, as escalations need capacity too.
	startLoad = 0.5
	// startLoadRange is the load below that at which the first requests no longer do: instances that
	// have the same load data would otherwise all change at once.
	startLoadRange = 0.15
)

// Start returns the index of the model with the least expected cost, or 0, the smallest, while too
// little is known. Whether there is capacity for it is for EscalationQuery.MayStartLarge to say.
func (q StartQuery) Start() int {
	largest, draw := len(q.Models)-1, (q.Draw-exploreShare)/(1-exploreShare)
	enough := minAnswers * (1 + draw)
	if largest < 1 || draw < 0 || q.Models[0].Answers.Total() < enough {
		return 0
	}
	margin := costMargin - costMarginRange*draw
	if q.Value >= manyTimes*q.Models[largest].Price {
		margin = valuableMargin - valuableMarginRange*draw
	}
	limit := margin * q.expectedCost(0)
	best := 0
	for i := 1; i <= largest; i++ {
		if i < largest && q.Models[i].Answers.Total() < enough {
			continue
		}
		if cost := q.expectedCost(i); cost < limit {
			best, limit = i, cost
		}
	}
	return best
}

// expectedCost returns the expected cost of a request that starts on a model: its price, and for
// each band of confidence, the lesser of a second run and of the loss if the answer is kept. What
// the largest model gets wrong too is lost in any case and left out.
func (q StartQuery) expectedCost(start int) float64 {
	model, largest := q.Models[start], q.Models[len(q.Models)-1]
	if start == len(q.Models)-1 {
		return model.Price
	}
	secondRun := math.Inf(1)
	if q.MayEscalate {
		secondRun = largest.Price + q.RetryPrice
	}
	recoverable := 1.0
	if largest.Answers.Total() >= minAnswers {
		recoverable -= largest.Answers.PoorShare()
	}
	cost, total := model.Price, model.Answers.Total()
	for i, n := range model.Answers {
		cost += n / total * min(secondRun, poorAnswerLoss*q.Value*recoverable*bandMiddles[i].PoorProbability())
	}
	return cost
}

// MayStartLarge reports whether there is free capacity for a request that starts on a model other
// than the smallest. The draw, 0 to 1, spreads the change over a range of loads.
func (q EscalationQuery) MayStartLarge(draw float64) bool {
	limit := startLoad - scarceLoadPerRank*float64(min(maxScarceRanks, urgentRanks(q.Urgent)))
	return q.urgentLoad() < limit-startLoadRange*draw
}

const (
	// retryPriceDecay is the time constant with which refused escalations lose weight: about the
	// window of the retry budget.
	retryPriceDecay = 8 * clock.Second
	// retryPricePrior is the weight of the assumption that none is refused, in escalations.
	retryPricePrior = 3.0
)

// RetryPrice is the expected loss if one retry less is left for escalations: the mean net gain of
// those that the retry budget refused in the last seconds, where an allowed one counts as 0. It is 0
// while the budget suffices. It is not safe for concurrent use.
type RetryPrice struct {
	mean decayingMean
}

// Allowed counts an escalation within the budget.
func (p *RetryPrice) Allowed(now clock.Millis) {
	p.mean.add(0, retryPriceDecay, now)
}

// Refused counts an escalation that the budget refused, and its net gain.
func (p *RetryPrice) Refused(gain float64, now clock.Millis) {
	p.mean.add(max(0, gain), retryPriceDecay, now)
}

// Value returns the price of a retry.
func (p *RetryPrice) Value(now clock.Millis) float64 {
	return p.mean.value(retryPricePrior, retryPriceDecay, now)
}

// NetGain returns the expected gain of a second run less its price.
func (q EscalationQuery) NetGain() float64 {
	return poorAnswerLoss*q.Confidence.PoorProbability()*max(q.Value, q.Floor) - q.Price
}
