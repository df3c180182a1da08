package cascade

import (
	"math"

	"foxtailbridge/policy/clock"
)

// Confidence is a model's own opinion of its answer, 0 to 100.
type Confidence int

// ConfidenceUnknown stands for an answer that came without an opinion.
const ConfidenceUnknown Confidence = -1

// EscalationQuery asks whether an answer should be made again by a larger model.
type EscalationQuery struct {
	Confidence Confidence
	// Value is what a good answer is worth, in the unit of Price.
	Value float64
	// Price is what the larger model costs for this request.
	Price float64
	// Utilization is the occupied share of the endpoints that could run it, 0 to 1 and above.
	Utilization float64
	// FirstTokenGoal is the time to the first token that is still in time.
	FirstTokenGoal clock.Millis
	// FirstTokenBudget is the time until the answer is due to begin.
	FirstTokenBudget clock.Millis
	// ExpectedFirstToken is the time that the larger model takes to its first token.
	ExpectedFirstToken clock.Millis
	// CompletionBudget is the time until the whole answer is due, and Whole how long
	// the larger model takes for it; 0 if that is not known.
	CompletionBudget   clock.Millis
	ExpectedCompletion clock.Millis
}

const (
	// evenConfidence is the confidence at which an answer is as likely poor as
	// good, confidenceScale how fast that changes. Measured on the users'
	// bench: answers below 40 hold most of the poor ones, above 60 hardly any.
	evenConfidence  = 45.0
	confidenceScale = 8.0
	// wholeMargin is how much longer than expected a whole answer may take.
	wholeMargin = 1.4
	// loss is the part of its value that a poor answer lacks.
	loss = 0.95
	// shadowLoad is the load above which capacity is scarce, and shadowPrice
	// how many times its price a run then costs others at full load.
	shadowLoad  = 0.6
	shadowPrice = 3.0
	// lateValue is what a good answer is worth if it begins late.
	lateValue = 0.3
	// busyGoals is the part of the goal that the first token takes at full load:
	// engines that read long prompts are busy long before their slots are taken.
	busyGoals = 0.5
)

// PoorProbability returns the chance that an answer of this confidence is poor.
func (c Confidence) PoorProbability() float64 {
	return 1 / (1 + math.Exp((float64(c)-evenConfidence)/confidenceScale))
}

// load is the larger of what the slots and the time to the first token show.
func (d EscalationQuery) load() float64 {
	if d.FirstTokenGoal <= 0 {
		return d.Utilization
	}
	return max(d.Utilization, float64(d.ExpectedFirstToken)/(busyGoals*float64(d.FirstTokenGoal)))
}

// Worthwhile reports whether a larger model should answer instead: whether what
// the better answer adds is worth more than it costs, and it comes in time.
func (d EscalationQuery) Worthwhile() bool {
	if d.Confidence == ConfidenceUnknown || float64(d.CompletionBudget) < wholeMargin*float64(d.ExpectedCompletion) {
		return false
	}
	scarcity := 1 + shadowPrice*min(2, max(0, d.load()-shadowLoad)/(1-shadowLoad))
	value := d.Value
	if d.FirstTokenBudget < d.ExpectedFirstToken {
		value *= lateValue
	}
	return loss*value*d.Confidence.PoorProbability() > d.Price*scarcity
}

const (
	// topValue is the worth of an answer of the most urgent rank, and rankFall
	// what remains of it for each rank below: operators rank by worth.
	topValue = 5.0
	rankFall = 0.25
	// sizeFloor is the part of an answer's worth that does not grow with its
	// size, sizeCap the most that size can make of it.
	sizeFloor = 0.3
	sizeCap   = 4.0
)

// AnswerValue estimates what a good answer is worth from the rank of its route and
// its size against the route's mean.
func AnswerValue(rank int, size, mean float64) float64 {
	factor := 1.0
	if mean > 0 {
		factor = min(sizeCap, sizeFloor+(1-sizeFloor)*size/mean)
	}
	return topValue * math.Pow(rankFall, float64(max(0, rank))) * factor
}

// readPart is the price of a read token as a part of that of a generated one.
const readPart = 0.25

// RequestPrice returns what a model of the given cost per 1,000 generated tokens takes
// for a request.
func RequestPrice(cost float64, read, write int) float64 {
	return cost * (float64(write) + readPart*float64(read)) / 1000
}
