package attempt

// Sent says how much of a request left this machine.
type Sent string

// Degrees of sending.
const (
	// SentNothing means that the endpoint cannot have seen the request.
	SentNothing Sent = "nothing"
	// SentSome means that the endpoint may have read all of it.
	SentSome Sent = "some"
)

// Result says what came back of an attempt.
type Result string

// Results of an attempt.
const (
	// ResultAnswered is a whole answer of success.
	ResultAnswered Result = "answered"
	// ResultFailed is the endpoint's own whole answer of failure after a run.
	ResultFailed Result = "failed"
	// ResultNotRun is the endpoint's word that it did not run the request.
	ResultNotRun Result = "not-run"
	// ResultBroken is an answer that ended early or was no answer.
	ResultBroken Result = "broken"
	// ResultTimeout means that nothing came in time.
	ResultTimeout Result = "silent"
	// ResultLowConfidence is a whole answer whose confidence is too low.
	ResultLowConfidence Result = "unsure"
)

// Step is what to do next.
type Step string

// Steps after an attempt.
const (
	StepDeliver Step = "deliver"
	StepRetry   Step = "repeat"
	// StepEscalate repeats on a larger model.
	StepEscalate Step = "escalate"
	// StepResume goes on behind the last whole event.
	StepResume Step = "resume"
	// StepRefuse ends with the promise that the request has not run.
	StepRefuse Step = "refuse"
	// StepReturnFailure hands the endpoint's own failure to the caller.
	StepReturnFailure Step = "pass"
	// StepFail ends without any promise.
	StepFail Step = "fail"
	// StepAbort breaks off an answer that has begun, so that it cannot look whole.
	StepAbort Step = "cut"
)

// Outcome describes one ended attempt and what is left.
type Outcome struct {
	Sent   Sent
	Result Result
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Resumable is true if its stream may go on elsewhere.
	Resumable bool
	// ResponseStarted is true once the caller has received a part of the answer.
	ResponseStarted bool
	// EarlierMayHaveRun is true if an earlier attempt may have run.
	EarlierMayHaveRun bool
	// RetryAllowed is true if attempts, time and budget allow one more run.
	RetryAllowed bool
	// EndpointSuspect is true if the endpoint fails more often than its peers, so
	// that its failure says little about the request.
	EndpointSuspect bool
}

// MayHaveRun reports whether the attempt may have run the request.
func (e Outcome) MayHaveRun() bool {
	return e.Sent != SentNothing && e.Result != ResultNotRun
}

// Next returns the step that follows.
func Next(e Outcome) Step {
	if e.ResponseStarted {
		return e.nextBegun()
	}
	switch {
	case e.Result == ResultAnswered:
		return StepDeliver
	case e.Result == ResultLowConfidence && e.RetryAllowed && e.Idempotent:
		return StepEscalate
	case e.Result == ResultLowConfidence:
		return StepDeliver
	case !e.MayHaveRun() && e.RetryAllowed:
		return StepRetry
	case !e.MayHaveRun() && !e.EarlierMayHaveRun:
		return StepRefuse
	case !e.MayHaveRun():
		return StepFail
	case e.Result == ResultFailed && !(e.EndpointSuspect && e.Idempotent && e.RetryAllowed):
		return StepReturnFailure
	case e.Idempotent && e.RetryAllowed:
		return StepRetry
	}
	return StepFail
}

func (e Outcome) nextBegun() Step {
	switch {
	case e.Result == ResultAnswered:
		return StepDeliver
	case e.Resumable && e.RetryAllowed:
		return StepResume
	}
	return StepAbort
}
