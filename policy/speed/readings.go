package speed

import (
	"math"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// Readings holds the estimates for the models of one service. Tokens are weighted by the relative
// cost of the model, so that the rate of all models starts with the same value. It is not safe
// for concurrent use.
type Readings struct {
	startRate float64
	byModel   map[ticket.ModelName]*Reading
}

// NewReadings returns estimates that start with the given rate, in tokens a millisecond.
func NewReadings(startRate float64) *Readings {
	return &Readings{startRate: startRate, byModel: map[ticket.ModelName]*Reading{}}
}

// Add adds the time that a response took to start, as Reading.Add does.
func (r *Readings) Add(model ticket.ModelName, tokens float64, delay clock.Millis) (ratio float64, settled bool) {
	m := r.byModel[model]
	if m == nil {
		m = NewReading(r.startRate)
		r.byModel[model] = m
	}
	return m.Add(tokens, delay)
}

// Of returns the estimate for a model.
func (r *Readings) Of(model ticket.ModelName) *Reading {
	if m := r.byModel[model]; m != nil {
		return m
	}
	return NewReading(r.startRate)
}

// Rate returns the number of weighted prompt tokens that an endpoint reads in a millisecond,
// whatever their models: the geometric mean of the models' rates, each weighted by what its
// samples say. The prompts at an endpoint are of several models, so that one rate for
// each model would count the same backlog differently.
func (r *Readings) Rate() float64 {
	sum, total := 0.0, 1.0 // The start value counts once.
	for _, m := range r.byModel {
		weight := m.information()
		sum += weight * math.Log(m.Scale())
		total += weight
	}
	return r.startRate * math.Exp(sum/total)
}
