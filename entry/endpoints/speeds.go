package endpoints

import (
	"math"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/speed"
	"foxtailbridge/policy/ticket"
)

const (
	// rateLogStep is the ratio by which a learned rate must have changed to be logged again, and
	// rateLogPeriod the least time between two such lines for a service: the estimate moves
	// with every sample.
	rateLogStep   = 1.25
	rateLogPeriod = 10 * clock.Second
	// An endpoint is logged as slower above slowerFactor and as usual again below usualFactor. The
	// gap takes several samples to cross, which bounds the number of lines.
	slowerFactor = 1.2
	usualFactor  = 1.1
)

// serviceSpeed holds how fast the endpoints of a service read prompts.
type serviceSpeed struct {
	readings *speed.Readings
	// loggedRate is the rate in the latest log line.
	loggedRate float64
	loggedAt   clock.Millis
}

func newServiceSpeed() serviceSpeed {
	return serviceSpeed{readings: speed.NewReadings(placement.StartReadRate), loggedRate: placement.StartReadRate}
}

// StartedResponse is a response of an engine that has started.
type StartedResponse struct {
	State   *placement.State
	Service ticket.ServiceName
	Model   ticket.ModelName
	Parts   []placement.Part
	// RelativeCost is the cost of the model relative to that of the largest one.
	RelativeCost float64
	// PrefillTokens is the weighted number of tokens of the response's own prompt.
	PrefillTokens float64
	Delay         clock.Millis
	// Load is what the endpoint reported with the response, or nil.
	Load *placement.Load
}

// LearnSpeed learns from the time that a response took to start how fast the service's models
// read and how fast the endpoint is. Responses that waited for others say nothing. It must be
// called before PromptRead, which records the prompt as cached. It returns the rate at which the
// service's endpoints read, and whether it has learned anything.
func (t *Tracker) LearnSpeed(r StartedResponse) (rate float64, learned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, p := t.deps.Clock.Mono(), t.states.pool(r.Service)
	tokens, known := r.State.UncachedTokens(r.Parts, r.Model, now)
	othersUnread := r.State.PrefillTokens - r.PrefillTokens
	if !known || !r.Load.ShowsSpeed() || othersUnread >= 1 {
		return 0, false
	}
	ratio, settled := p.speed.readings.Add(r.Model, r.RelativeCost*float64(tokens), r.Delay)
	if settled {
		r.State.RelativeTime.Add(ratio, now)
		t.logEndpointSpeed(r.State, now)
	}
	rate = p.speed.readings.Rate()
	if math.Abs(math.Log(rate/p.speed.loggedRate)) >= math.Log(rateLogStep) && (p.speed.loggedAt == 0 || now-p.speed.loggedAt >= rateLogPeriod) {
		p.speed.loggedRate, p.speed.loggedAt = rate, now
		m := p.speed.readings.Of(r.Model)
		t.deps.Logger.Info("read-rate", "service", r.Service, "tokens-per-ms", round(rate, 1),
			"model", r.Model, "model-scale", round(m.Scale(), 2), "step-ms", int64(m.Step()), "samples", m.Count())
	}
	return rate, true
}

// logEndpointSpeed logs when an endpoint has become slower than its peers, and when it is no more.
func (t *Tracker) logEndpointSpeed(s *placement.State, now clock.Millis) {
	factor := s.RelativeTime.Factor(now)
	slower := factor > slowerFactor || s.LoggedSlower && factor >= usualFactor
	if slower != s.LoggedSlower {
		s.LoggedSlower = slower
		t.deps.Logger.Info("endpoint-speed", "endpoint", s.Endpoint.ID, "service", s.Endpoint.Service, "slower", slower, "factor", round(float64(factor), 2))
	}
}

// round rounds a number for a log line.
func round(value float64, digits int) float64 {
	unit := math.Pow10(digits)
	return math.Round(unit*value) / unit
}

// ReadScale returns how fast a service's endpoints read prompts of a model relative to the
// assumed rate.
func (t *Tracker) ReadScale(service ticket.ServiceName, model ticket.ModelName) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states.pool(service).speed.readings.Of(model).Scale()
}
