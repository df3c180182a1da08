package attempt

// Sent says how much of a request has left this instance.
type Sent string

// How much of a request was sent.
const (
	// SentNothing means that the endpoint cannot have seen the request.
	SentNothing Sent = "nothing"
	// SentSome means that the endpoint may have read all of it.
	SentSome Sent = "some"
)

// Result classifies the response to an attempt.
type Result string

// Results of an attempt.
const (
	// ResultAnswered is a complete, successful answer.
	ResultAnswered Result = "answered"
	// ResultFailed is a complete error response, sent by the endpoint after it ran the request.
	ResultFailed Result = "failed"
	// ResultNotRun means that the endpoint declared that it did not run the request.
	ResultNotRun Result = "not-run"
	// ResultBroken is a truncated or invalid response, or none at all.
	ResultBroken Result = "broken"
	// ResultTimeout means that no data arrived in time.
	ResultTimeout Result = "silent"
	// ResultLowConfidence is a complete answer whose confidence is too low.
	ResultLowConfidence Result = "unsure"
)

// Step is what to do after an attempt.
type Step string

// Steps after an attempt.
const (
	// StepDeliver delivers the answer to the caller.
	StepDeliver Step = "deliver"
	// StepRetry sends the request again.
	StepRetry Step = "repeat"
	// StepEscalate sends the request again, to a larger model.
	StepEscalate Step = "escalate"
	// StepResume continues the stream after the last complete event.
	StepResume Step = "resume"
	// StepRefuse fails the request and guarantees that it has not run.
	StepRefuse Step = "refuse"
	// StepReturnFailure returns the endpoint's own error response to the caller.
	StepReturnFailure Step = "pass"
	// StepFail fails the request without saying whether it has run.
	StepFail Step = "fail"
	// StepAbort aborts a response that has started, so that the caller cannot
	// take it for complete.
	StepAbort Step = "cut"
)

// Outcome describes an attempt that has ended and what may follow it.
type Outcome struct {
	Sent   Sent
	Result Result
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Resumable is true if the stream can be resumed at another endpoint.
	Resumable bool
	// ResponseStarted is true once the caller has received part of the answer.
	ResponseStarted bool
	// EarlierMayHaveRun is true if an earlier attempt may have run the request.
	EarlierMayHaveRun bool
	// RetryAllowed is true if the attempt limit, the deadline and the retry
	// budget allow another attempt.
	RetryAllowed bool
	// ClaimsNotRun is true if callers take the response's status as a guarantee that the request
	// has not run.
	ClaimsNotRun bool
	// EndpointSuspect is true if the endpoint fails more often than its peers, so
	// that a failure there is probably not caused by the request.
	EndpointSuspect bool
}

// MayHaveRun reports whether the attempt may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o.Sent != SentNothing && o.Result != ResultNotRun
}

// Next returns the step to take after an attempt with this outcome.
func Next(o Outcome) Step {
	if o.ResponseStarted {
		return o.nextAfterResponseStarted()
	}
	switch {
	case o.Result == ResultAnswered:
		return StepDeliver
	case o.Result == ResultLowConfidence && o.RetryAllowed && o.Idempotent:
		return StepEscalate
	case o.Result == ResultLowConfidence:
		return StepDeliver
	case !o.MayHaveRun() && o.RetryAllowed:
		return StepRetry
	case !o.MayHaveRun() && !o.EarlierMayHaveRun:
		return StepRefuse
	case !o.MayHaveRun():
		return StepFail
	case o.Result == ResultFailed && !o.ClaimsNotRun && !(o.EndpointSuspect && o.Idempotent && o.RetryAllowed):
		return StepReturnFailure
	case o.Idempotent && o.RetryAllowed:
		return StepRetry
	}
	return StepFail
}

func (o Outcome) nextAfterResponseStarted() Step {
	switch {
	case o.Result == ResultAnswered:
		return StepDeliver
	case o.Resumable && o.RetryAllowed:
		return StepResume
	}
	return StepAbort
}
