package speed

import (
	"math"

	"foxtailbridge/policy/clock"
)

const (
	// maxScale bounds how far a learned rate may be from the start value, each way: samples of an
	// unusual load must not switch off the cost of prompts, or let it hide all other costs.
	maxScale = 4.0
	// startStep is the assumed time until a response starts whose prompt is cached, and minStep
	// and maxStep bound the learned one, in milliseconds.
	startStep = 30.0
	minStep   = 1.0
	maxStep   = 500.0
	// readingWindow is about how many samples an estimate covers: enough to average over
	// endpoints of unequal speed, few enough to follow a new release.
	readingWindow = 100
	// priorSamples is the weight of the start values in samples.
	priorSamples = 3.0
	// maxSurprise bounds the ratio of a delay to the expected one, each way. A response that was
	// delayed by something else, as a lost packet, moves the estimate no further.
	maxSurprise = 2.0
	// settledSamples is the number of samples from which an estimate is good enough to compare
	// endpoints with it. Before, all of them would look slower or faster than expected.
	settledSamples = 30
)

// Reading estimates how long a model takes until a response starts: the time of a step, plus the
// time to read the prompt tokens that are not cached. It is a weighted least squares fit over the
// latest samples, with the start values as further samples.
type Reading struct {
	startRate float64
	// These are the sums over samples, decayed and weighted by the inverse square of the
	// expected delay, as errors grow with the delay.
	weight, x, y, xx, xy float64
	count                int
	// step is in milliseconds, perToken in milliseconds for a token.
	step, perToken float64
}

// NewReading returns an estimate that starts with the given rate, in tokens a millisecond.
func NewReading(startRate float64) *Reading {
	return &Reading{startRate: startRate, step: startStep, perToken: 1 / startRate}
}

// Expected returns the expected time until a response starts, in milliseconds.
func (r *Reading) Expected(tokens float64) float64 {
	return r.step + r.perToken*tokens
}

// Rate returns the number of prompt tokens read in a millisecond.
func (r *Reading) Rate() float64 { return 1 / r.perToken }

// Scale returns the rate relative to the start value, from 1/maxScale to maxScale.
func (r *Reading) Scale() float64 { return r.Rate() / r.startRate }

// Step returns the time until a response starts whose prompt is cached, in milliseconds.
func (r *Reading) Step() float64 { return r.step }

// Count returns the number of samples.
func (r *Reading) Count() int { return r.count }

// Add adds the time that a response with a number of uncached prompt tokens took to start. It
// returns the ratio of that time to the one expected before, and whether the latter had settled.
func (r *Reading) Add(tokens float64, delay clock.Millis) (ratio float64, settled bool) {
	expected := r.Expected(tokens)
	ratio = math.Max(1, float64(delay)) / expected
	y := expected * math.Min(maxSurprise, math.Max(1/maxSurprise, ratio))
	const keep = 1 - 1.0/readingWindow
	w := 1 / (expected * expected)
	r.weight = keep*r.weight + w
	r.x = keep*r.x + w*tokens
	r.y = keep*r.y + w*y
	r.xx = keep*r.xx + w*tokens*tokens
	r.xy = keep*r.xy + w*tokens*y
	r.count++
	r.fit()
	return ratio, r.count > settledSamples
}

// fit sets step and perToken to the least squares solution within their bounds.
func (r *Reading) fit() {
	start := 1 / r.startRate
	stepPrior, tokenPrior := priorSamples/(startStep*startStep), priorSamples/(start*start)
	weight, y := r.weight+stepPrior, r.y+stepPrior*startStep
	xx, xy := r.xx+tokenPrior, r.xy+tokenPrior*start
	boundToken := func(v float64) float64 { return math.Min(start*maxScale, math.Max(start/maxScale, v)) }
	r.perToken = boundToken((weight*xy - r.x*y) / (weight*xx - r.x*r.x))
	r.step = math.Min(maxStep, math.Max(minStep, (y-r.x*r.perToken)/weight))
	r.perToken = boundToken((xy - r.x*r.step) / xx)
}

// information says how well the samples and the start value determine the rate, in
// multiples of what the start value alone does.
func (r *Reading) information() float64 {
	if r.count == 0 {
		return 0
	}
	spread := r.xx - r.x*r.x/r.weight
	return math.Max(0, spread) / (priorSamples * r.startRate * r.startRate)
}
